/// Owns the last report of each child of a node.
#include "coordination/report.h"

#include <string.h>

void
report_tree_init (struct report_tree *tree, const struct ring *ring,
                  uint64_t self)
{
  *tree = (struct report_tree){ .ring = ring, .self = self };
}

/// The tree is laid out on the ring like a heap in an array, with the first
/// relay as the root: the parent of the member at distance d after the root is
/// at distance (d - 1) / REPORT_FANOUT.
uint64_t
report_parent (const struct ring *ring, uint64_t slot_id)
{
  const struct ring_zone *zone = ring_find_zone (ring, ring->own_zone);
  if (zone == NULL || ring->count == 0 || zone->relays[0] == 0)
    return 0;
  uint32_t root = ring_lower_bound (ring, zone->relays[0]);
  uint32_t at = ring_lower_bound (ring, slot_id);
  if (at == ring->count || ring->slots[at] != slot_id)
    return zone->relays[0];
  uint32_t distance = (at + ring->count - root) % ring->count;
  if (distance == 0)
    return 0;
  return ring->slots[(root + (distance - 1) / REPORT_FANOUT) % ring->count];
}

void
report_receive (struct report_tree *tree, uint64_t from,
                const struct report *report, uint64_t now_ms)
{
  uint32_t oldest = 0;
  for (uint32_t i = 0; i < tree->child_count; i++)
    {
      if (tree->children[i].slot_id == from)
        {
          tree->children[i].report = *report;
          tree->children[i].heard_ms = now_ms;
          return;
        }
      if (tree->children[i].heard_ms < tree->children[oldest].heard_ms)
        oldest = i;
    }
  if (tree->child_count < REPORT_CHILDREN_MAX)
    oldest = tree->child_count++;
  tree->children[oldest] = (struct report_child){ .slot_id = from,
                                                  .heard_ms = now_ms,
                                                  .report = *report };
}

static void
add_lagging (struct report *sum, uint64_t slot_id)
{
  if (sum->lagging_count < REPORT_LAGGING_MAX)
    sum->lagging[sum->lagging_count++] = slot_id;
}

void
report_sum (struct report_tree *tree, uint64_t version, uint64_t now_ms,
            struct report *sum)
{
  *sum = (struct report){ .members = 1, .lowest = version };
  for (uint32_t i = 0; i < tree->child_count;)
    {
      const struct report_child *child = &tree->children[i];
      /* Drop children that have died or now have another parent, which counts
         them. */
      if (now_ms - child->heard_ms > REPORT_STALE_MS
          || report_parent (tree->ring, child->slot_id) != tree->self)
        {
          tree->children[i] = tree->children[--tree->child_count];
          continue;
        }
      sum->members += child->report.members;
      if (child->report.lowest < sum->lowest)
        sum->lowest = child->report.lowest;
      for (uint32_t j = 0; j < child->report.lagging_count; j++)
        add_lagging (sum, child->report.lagging[j]);
      /* A leaf does not know that it lags behind; its parent does. */
      if (child->report.members == 1 && child->report.lowest < version)
        add_lagging (sum, child->slot_id);
      i++;
    }
}

static bool
reports_equal (const struct report *a, const struct report *b)
{
  return a->members == b->members && a->lowest == b->lowest
         && a->lagging_count == b->lagging_count
         && memcmp (a->lagging, b->lagging, sizeof a->lagging) == 0;
}

uint64_t
report_due (struct report_tree *tree, uint64_t version, uint64_t now_ms,
            struct report *sum)
{
  uint64_t parent = report_parent (tree->ring, tree->self);
  if (parent == 0)
    return 0;
  uint64_t age_ms = now_ms - tree->sent_ms;
  if (tree->sent_ms != 0 && age_ms < REPORT_INTERVAL_MIN_MS)
    return 0;
  report_sum (tree, version, now_ms, sum);
  if (parent == tree->sent_parent && age_ms < REPORT_IDLE_MS
      && reports_equal (sum, &tree->sent))
    return 0;
  tree->sent = *sum;
  tree->sent_ms = now_ms;
  tree->sent_parent = parent;
  return parent;
}
