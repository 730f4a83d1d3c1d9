/// Table of the members of the mesh: one record per slot, addressed by handle.
#ifndef HAWTHORNSEAM_STATE_MEMBER_H
#define HAWTHORNSEAM_STATE_MEMBER_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest size of a slot, zone, region, service or version name, bytes.
#define MEMBER_NAME_MAX 31
/// No handle.
#define MEMBER_NONE UINT32_MAX

enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_LEFT,
  MEMBER_DEAD
};

enum target_state
{
  TARGET_ABSENT,   ///< no target has announced itself to the node
  TARGET_READY,    ///< accepts calls
  TARGET_DRAINING, ///< completes the calls that it has
  TARGET_DOWN      ///< announced itself, but refuses connections or is frozen
};

struct member
{
  uint64_t slot_id; ///< hash_placement_string (slot)
  char slot[MEMBER_NAME_MAX + 1];
  char availability_zone[MEMBER_NAME_MAX + 1];
  char region[MEMBER_NAME_MAX + 1];
  uint64_t incarnation; ///< raised by the member itself; a higher one is newer
  enum member_state state;
  uint32_t address; ///< IPv4, host byte order
  uint16_t peer_port;
  uint16_t call_port;
  enum target_state target_state;
  char service[MEMBER_NAME_MAX + 1];        ///< of the target
  char target_version[MEMBER_NAME_MAX + 1]; ///< of the target
  uint16_t target_slots;
  uint64_t changed_ms; ///< local monotonic time of the last merge, ms
};

/// Members in insertion order. Handles are indexes and stay valid until
/// member_table_finish; dead members keep theirs.
struct member_table
{
  struct member *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t *index; ///< open addressing by slot_id, MEMBER_NONE when free
  uint32_t index_size;
  uint64_t generation; ///< incremented with every change
};

void member_table_init (struct member_table *table);
void member_table_finish (struct member_table *table);

/// @return handle of a slot or MEMBER_NONE
uint32_t member_find (const struct member_table *table, uint64_t slot_id);

/// @return the record of a valid handle
const struct member *member_get (const struct member_table *table,
                                 uint32_t handle);

/// Merges a record that this node or another one reported. It replaces the
/// current record of its slot when its incarnation is higher, or when its
/// incarnation is equal and its state later in the order alive, suspect, left,
/// dead. Other fields do not decide: a member raises its incarnation when its
/// target's state changes.
/// @param now_ms   monotonic time
/// @param changed  set to whether the table changed
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status member_merge (struct member_table *table,
                          const struct member *record, uint64_t now_ms,
                          bool *changed);

/// @return true when calls may be sent to the member's target
bool member_serves (const struct member *member, const char *service,
                    const char *target_version);

#endif
