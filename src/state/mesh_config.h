/// One accepted configuration as a node routes by it: routes by host and path
/// prefix, services, and the limits of callers. Immutable once read; the whole
/// lives in one talloc context.
#ifndef HAWTHORNSEAM_STATE_MESH_CONFIG_H
#define HAWTHORNSEAM_STATE_MESH_CONFIG_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum mesh_repeat
{
  MESH_IDEMPOTENT, ///< may run more than once
  MESH_DOWNLOAD,   ///< idempotent, with a large answer
  MESH_ONCE        ///< runs at most once for each id
};

/// One service of a route with its share of the route's requests.
struct mesh_part
{
  const char *service;
  uint32_t weight;
  int64_t credit; ///< state of the smooth weighted rotation
};

struct mesh_route
{
  const char *name;
  const char *host;
  const char *prefix; ///< begins and ends with '/'
  size_t prefix_size;
  enum mesh_repeat repeat;
  uint32_t timeout_ms;
  uint32_t objective_ms; ///< latency within which an answer has full value
  uint32_t priority;     ///< 0 is the most urgent
  uint32_t attempts_max; ///< targets that one request may reach
  struct mesh_part *parts;
  size_t part_count;
  /// Longest deadline that a caller stated so far: a caller that comes back
  /// states what is left of it.
  uint32_t deadline_seen_ms;
};

struct mesh_service
{
  const char *name;
  uint32_t connections_max; ///< of each target, from all callers
};

struct mesh_limits
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  uint32_t head_ms; ///< longest time to send a request's head
  uint32_t idle_ms; ///< longest idle time of a caller's connection
};

struct mesh_config
{
  uint64_t version;
  struct mesh_route *routes; ///< by host, then longer prefixes first
  size_t route_count;
  struct mesh_service *services;
  size_t service_count;
  struct mesh_limits limits;
};

/// Starts an empty configuration. Free it with talloc_free.
/// @return NULL without memory
struct mesh_config *mesh_config_new (void);

/// Orders the routes; called once after they were added.
/// @return STATUS_INVALID when two routes have the same host and prefix, or a
///         route has no part with a weight
enum status mesh_config_seal (struct mesh_config *config);

/// @param host  value of the Host header; a port is ignored
/// @param path  path with query
/// @return the route with the longest matching prefix, or NULL
struct mesh_route *mesh_config_find (const struct mesh_config *config,
                                     const char *host, const char *path);

/// Chooses a service by smooth weighted rotation, which keeps the shares exact
/// over short spans.
const char *mesh_route_choose (struct mesh_route *route);

#endif
