/// Choice of relays: nodes that watch the store and pass its changes on to the
/// other nodes of their availability zone, so that the load of the store does
/// not grow with the number of nodes. Each node computes the choice from its
/// own directory. The other nodes follow one relay, the second one if it
/// fails, and the store itself if both fail. They are not the relays of
/// ring.h, which carry messages between zones.
#ifndef HAWTHORNSEAM_COORDINATION_RELAY_H
#define HAWTHORNSEAM_COORDINATION_RELAY_H

#include "state/directory.h"

/// Number of relays of a group. The second one serves as long as the directory
/// does not show that the first one has failed.
#define RELAY_COUNT 2

/// A zone with fewer nodes than this uses the relays of the whole mesh.
#define RELAY_ZONE_NODES_MIN 8

/// Time for which a relay that failed is not followed.
#define RELAY_EXCLUSION_MS 5000

/// The same while this node cannot turn to the store instead: it is
/// unreachable for this node too, or the whole mesh has just started.
#define RELAY_RETRY_MS 800

struct relay_group
{
  size_t handles[RELAY_COUNT]; ///< directory handles, highest score first
  size_t count;
  bool member; ///< this node is a relay of the group
};

/// The relays that failed most recently.
struct relay_exclusions
{
  uint64_t serials[RELAY_COUNT];  ///< of their directory records
  uint64_t until_ms[RELAY_COUNT]; ///< end of their exclusion
  size_t next;                    ///< index that is overwritten next
};

/// Chooses the relays by rendezvous hashing of the node names.
/// @param zone  availability zone of this node
void relay_choose (const struct directory *directory, const char *own_node,
                   const char *zone, struct relay_group *group);

/// @return handle of the relay to follow, or SIZE_MAX to follow the store
///         itself
size_t relay_pick (const struct relay_exclusions *exclusions,
                   const struct directory *directory, const char *own_node,
                   const char *zone, uint64_t now_ms);

/// Records that a relay did not respond or reported that it cannot serve.
/// @param for_ms  RELAY_EXCLUSION_MS or RELAY_RETRY_MS
void relay_exclude (struct relay_exclusions *exclusions, uint64_t serial,
                    uint64_t for_ms, uint64_t now_ms);

/// Shortens the exclusions to RELAY_RETRY_MS from now.
void relay_retry_soon (struct relay_exclusions *exclusions, uint64_t now_ms);

#endif
