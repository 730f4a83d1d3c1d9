/// Notices of leaving targets that a node holds for the nodes beside them,
/// because the store could not record the leave. Bounded; the oldest notice
/// makes room.
#ifndef HAWTHORNSEAM_STATE_LEAVE_TABLE_H
#define HAWTHORNSEAM_STATE_LEAVE_TABLE_H

#include "state/directory.h"

/// Notices held at once: more targets than a mesh replaces during an outage,
/// spread over its nodes.
#define LEAVE_TABLE_MAX 64

/// A notice is dropped after this time. A leaving target ends within seconds;
/// an outage of the store may outlast it by minutes.
#define LEAVE_HOLD_MS (10u * 60 * 1000)

struct leave_notice
{
  struct directory_entry entry; ///< of the leaving target; node "": unused
  uint64_t held_ms;             ///< when the notice arrived
  uint64_t lease; ///< lease under which the store has it; 0: not in the store
  bool writing;   ///< a write to the store is in progress
  uint64_t next_write_ms; ///< no earlier write after one that failed
};

struct leave_table
{
  struct leave_notice notices[LEAVE_TABLE_MAX];
};

/// Holds a notice. The newest incarnation of a node's target is kept.
/// @return the notice of that node
struct leave_notice *leave_table_put (struct leave_table *table,
                                      const struct directory_entry *entry,
                                      uint64_t now_ms);

/// @return the notice of a node, or NULL
struct leave_notice *leave_table_find (struct leave_table *table,
                                       const char *node);

/// @param entry  current entry of the notice's node
/// @return true when the entry records the leave, or a later incarnation of
///         the target
bool leave_notice_is_settled (const struct leave_notice *notice,
                              const struct directory_entry *entry);

/// @return true when the notice is too old to be of use
bool leave_notice_is_expired (const struct leave_notice *notice,
                              uint64_t now_ms);

/// Frees the place of a notice.
void leave_notice_drop (struct leave_notice *notice);

#endif
