/// Choice of the nodes that follow the store for the others of their
/// availability zone, so that the calls to the store do not grow with the
/// nodes. Each node computes the choice from its own directory; the others
/// follow one relay, the other one when that fails, and the store itself when
/// both do.
#ifndef HAWTHORNSEAM_COORDINATION_RELAY_H
#define HAWTHORNSEAM_COORDINATION_RELAY_H

#include "state/directory.h"

/// Relays of a group: the second serves while the first is not found to have
/// failed.
#define RELAY_COUNT 2

/// A zone with fewer nodes shares the relays of the whole mesh.
#define RELAY_ZONE_NODES_MIN 8

/// A relay that failed is not asked again for this time.
#define RELAY_BAR_MS 5000

struct relay_group
{
  size_t handles[RELAY_COUNT]; ///< in the directory, best first
  size_t count;
  bool member; ///< the own node is a relay
};

/// What a node remembers of relays that failed.
struct relay_follow
{
  uint64_t serials[RELAY_COUNT]; ///< of their records
  uint64_t until_ms[RELAY_COUNT];
  size_t next; ///< place that is overwritten next
};

/// @param zone  availability zone of the own node
void relay_choose (const struct directory *directory, const char *own_node,
                   const char *zone, struct relay_group *group);

/// @return handle of the relay to follow; SIZE_MAX: follow the store itself
size_t relay_pick (const struct relay_follow *follow,
                   const struct directory *directory, const char *own_node,
                   const char *zone, uint64_t now_ms);

/// Notes that a relay did not answer, or answered that it cannot serve.
void relay_failed (struct relay_follow *follow, uint64_t serial,
                   uint64_t now_ms);

#endif
