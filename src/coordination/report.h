/// Aggregation of the configuration versions in force. The nodes of a zone
/// form a tree; each node sums up the reports of its subtree and sends the sum
/// to its parent. Relays hold the sum of their zone. Performs no I/O.
#ifndef HAWTHORNSEAM_COORDINATION_REPORT_H
#define HAWTHORNSEAM_COORDINATION_REPORT_H

#include "coordination/ring.h"

#define REPORT_FANOUT 8            ///< children of a node in the tree
#define REPORT_LAGGING_MAX 4       ///< slot ids of lagging nodes in a report
#define REPORT_INTERVAL_MIN_MS 250 ///< shortest interval between reports
#define REPORT_IDLE_MS 5000 ///< interval between reports without a change
/// A child's report that is older than this is dropped.
#define REPORT_STALE_MS 12000
#define REPORT_CHILDREN_MAX 32

struct report
{
  uint32_t members;                     ///< number of nodes in the sum
  uint64_t lowest;                      ///< lowest version in force among them
  uint64_t lagging[REPORT_LAGGING_MAX]; ///< slot ids whose version is lower
                                        ///< than that of their parent
  uint32_t lagging_count;
};

struct report_child
{
  uint64_t slot_id;
  uint64_t heard_ms;
  struct report report;
};

struct report_tree
{
  const struct ring *ring;
  uint64_t self;
  struct report_child children[REPORT_CHILDREN_MAX];
  uint32_t child_count;
  struct report sent;   ///< last report to the parent
  uint64_t sent_ms;     ///< 0: none yet
  uint64_t sent_parent; ///< slot id of the parent it went to
};

/// @param ring  of the own zone; kept up to date by the caller, outlives the
///              tree
/// @param self  slot id of this node
void report_tree_init (struct report_tree *tree, const struct ring *ring,
                       uint64_t self);

/// @return slot id of a member's parent in the zone's tree; 0 for the root,
///         which is the zone's first relay
uint64_t report_parent (const struct ring *ring, uint64_t slot_id);

/// Takes the report of a child.
void report_receive (struct report_tree *tree, uint64_t from,
                     const struct report *report, uint64_t now_ms);

/// Sums up this node and the reports of its children.
/// @param version  version in force at this node
void report_sum (struct report_tree *tree, uint64_t version, uint64_t now_ms,
                 struct report *sum);

/// Decides whether to send a report now.
/// @param sum  set to the report when one is due
/// @return slot id of the parent to send it to, 0 when nothing is due
uint64_t report_due (struct report_tree *tree, uint64_t version,
                     uint64_t now_ms, struct report *sum);

#endif
