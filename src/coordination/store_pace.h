/// Pace of a node's probes of an unreachable store. It answers an outage that
/// all nodes notice at once: the store prices each probe, also those that it
/// refuses, so their rate must not grow with the number of nodes. The relays
/// probe quickly and tell their followers of the store's return. Stateless.
#ifndef HAWTHORNSEAM_COORDINATION_STORE_PACE_H
#define HAWTHORNSEAM_COORDINATION_STORE_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Shortest interval of probes, ms.
#define STORE_PACE_MS_MIN 500

/// Longest interval of a node that nothing tells of the store's return, ms. An
/// entry has to be registered again within two seconds of it.
#define STORE_PACE_MS_MAX 1200

/// Longest interval of a node whose relay answers and is itself without the
/// store, ms: the relay's next successful answer tells of the return.
#define STORE_PACE_FOLLOWER_MS_MAX 4000

/// What a node's relay did last.
enum store_pace_relay
{
  STORE_PACE_RELAY_SILENT,   ///< there is none, or it did not answer
  STORE_PACE_RELAY_REFUSING, ///< it answers but lacks the store
  STORE_PACE_RELAY_SERVING   ///< it has the store
};

struct store_pace_view
{
  size_t nodes;      ///< known nodes; 0: this node has no view yet
  unsigned failures; ///< probes in a row that failed
  bool is_relay;     ///< other nodes follow this one
  enum store_pace_relay relay;
};

/// @return mean time until the next probe, ms; the caller varies it
uint64_t store_pace_probe_ms (const struct store_pace_view *view);

#endif
