/// Aggregation of the versions in force: each node sums up its subtree of the
/// zone's tree and sends the sum to its parent; relays hold the sum of their
/// zone. Performs no I/O.
#ifndef HAWTHORNSEAM_COORDINATION_REPORT_H
#define HAWTHORNSEAM_COORDINATION_REPORT_H

#include "coordination/ring.h"

#define REPORT_FANOUT 8
#define REPORT_LAGGING_MAX 4
#define REPORT_SOON_MS 250  ///< shortest time between reports of changes
#define REPORT_IDLE_MS 5000 ///< time between reports without change
/// A child's report older than this no longer counts.
#define REPORT_STALE_MS 12000
#define REPORT_CHILDREN_MAX 32

struct report
{
  uint32_t members;                     ///< nodes that are summed up
  uint64_t lowest;                      ///< lowest version in force among them
  uint64_t lagging[REPORT_LAGGING_MAX]; ///< slot ids that hold less than the
                                        ///< sender's own version
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
  struct report sent; ///< last report to the parent
  uint64_t sent_ms;
  uint64_t sent_parent;
};

/// @param ring  of the own zone; kept fresh by the caller, outlives the tree
void report_tree_init (struct report_tree *tree, const struct ring *ring,
                       uint64_t self);

/// @return the parent of a member in the zone's tree: 0 at the root, which is
/// the zone's first relay
uint64_t report_parent (const struct ring *ring, uint64_t slot_id);

/// Takes the report of a child.
void report_receive (struct report_tree *tree, uint64_t from,
                     const struct report *report, uint64_t now_ms);

/// Sums up this node and its children.
void report_sum (struct report_tree *tree, uint64_t version, uint64_t now_ms,
                 struct report *sum);

/// Decides whether to send a report now.
/// @param sum  set when a report is due
/// @return slot id of the parent to send it to, 0 when nothing is due
uint64_t report_due (struct report_tree *tree, uint64_t version,
                     uint64_t now_ms, struct report *sum);

#endif
