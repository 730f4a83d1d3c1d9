/// Table of the members of the mesh: one record per slot, addressed by handle.
#ifndef HAWTHORNSEAM_STATE_MEMBER_H
#define HAWTHORNSEAM_STATE_MEMBER_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMBER_NAME_MAX 31 ///< bytes of slot, zone, region, service, version
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
  TARGET_ABSENT, ///< no announcement
  TARGET_READY,
  TARGET_DRAINING,
  TARGET_DOWN ///< announced, but its node cannot connect to it
};

struct member
{
  uint64_t slot_id; ///< hash_place_string (slot)
  char slot[MEMBER_NAME_MAX + 1];
  char availability_zone[MEMBER_NAME_MAX + 1];
  char region[MEMBER_NAME_MAX + 1];
  uint64_t incarnation;
  enum member_state state;
  uint32_t address; ///< IPv4, host byte order
  uint16_t peer_port;
  uint16_t call_port;
  enum target_state target_state;
  char service[MEMBER_NAME_MAX + 1];        ///< of the target
  char target_version[MEMBER_NAME_MAX + 1]; ///< of the target
  uint16_t target_slots;
  uint64_t changed_ms; ///< local monotonic time of the last change
};

/// Members in insertion order; handles are indexes and stay valid until
/// member_table_finish. Dead members keep their handle.
struct member_table
{
  struct member *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t *index; ///< open addressing by slot_id, MEMBER_NONE when free
  uint32_t index_size;
  uint64_t generation; ///< grows with every change
};

void member_table_init (struct member_table *table);
void member_table_finish (struct member_table *table);

/// @return handle of a slot or MEMBER_NONE
uint32_t member_find (const struct member_table *table, uint64_t slot_id);

/// @return the record of a valid handle
const struct member *member_get (const struct member_table *table,
                                 uint32_t handle);

/// Merges a record: a higher incarnation wins; at the same incarnation the
/// order is alive < suspect < left < dead, and a differing target state of the
/// same incarnation does not win (its owner raises the incarnation).
/// @param changed  set to true when the table changed
/// @return STATUS_OK, or STATUS_NO_MEMORY
enum status member_merge (struct member_table *table,
                          const struct member *record, uint64_t now_ms,
                          bool *changed);

/// @return true when calls may be sent to the member's target
bool member_serves (const struct member *member, const char *service,
                    const char *target_version);

#endif
