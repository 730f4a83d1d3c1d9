/// A configuration as the platform declares it: routes by host and path
/// prefix, services, and limits for callers. Apart from the routing state in
/// its routes it does not change once it is read. All its memory belongs to
/// its talloc context.
#ifndef HAWTHORNSEAM_STATE_MESH_CONFIG_H
#define HAWTHORNSEAM_STATE_MESH_CONFIG_H

#include "base/status.h"
#include "state/client_account.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Whether requests of a route may be retried after they may have run.
enum mesh_retry_class
{
  MESH_IDEMPOTENT,    ///< may run more than once
  MESH_DOWNLOAD,      ///< idempotent, with a large response
  MESH_NON_IDEMPOTENT ///< runs at most once for each request id
};

/// One service of a route's traffic split.
struct mesh_weighted_service
{
  const char *service;
  uint32_t weight; ///< share of the requests, relative to the other weights
  int64_t credit;  ///< current weight of the smooth weighted round-robin
};

struct mesh_route
{
  const char *name;
  const char *host;
  const char *prefix; ///< begins and ends with '/'
  size_t prefix_size;
  enum mesh_retry_class retry_class;
  uint32_t timeout_ms;
  uint32_t objective_ms; ///< latency up to which a response has full value
  uint32_t priority;     ///< 0 is the most urgent
  uint32_t attempts_max; ///< number of targets to which a request may be sent
  struct mesh_weighted_service *split; ///< the traffic split
  size_t split_count;
  /// Longest deadline that a caller has given so far. The difference to a
  /// shorter one is taken as the time that the caller has already waited: a
  /// caller that retries gives the rest of its deadline.
  uint32_t deadline_seen_ms;
  bool no_key; ///< requests need no API key, and have no client account
  bool large_responses; ///< a response was too large to hold several of them
};

struct mesh_service
{
  const char *name;
  uint32_t connections_max; ///< to each target, from all callers together
  double cold_per_s; ///< requests per second that a cold target tolerates; 0:
                     ///< no limit
};

/// Limits for the connections and requests of callers.
struct mesh_limits
{
  uint32_t head_bytes; ///< largest request line and header fields
  uint64_t body_bytes; ///< largest request body
  uint32_t head_ms;    ///< time-out for receiving a request's header fields
  uint32_t idle_ms;    ///< time-out of an idle connection
};

struct mesh_config
{
  uint64_t version;
  struct mesh_route *routes; ///< sorted by host, then longest prefix first
  size_t route_count;
  struct mesh_service *services;
  size_t service_count;
  struct mesh_limits limits;
  struct client_account_table accounts;
};

/// Creates an empty configuration with default limits. Free it with
/// talloc_free.
/// @return NULL without memory
struct mesh_config *mesh_config_new (void);

/// Sorts and checks the routes and the keys of the client accounts. Called
/// once, after all of them were added.
/// @return STATUS_INVALID when two routes have the same host and prefix, a
///         route has no service with a weight above 0, or two accounts have
///         the same key
enum status mesh_config_prepare (struct mesh_config *config);

/// Finds the route of a request.
/// @param host  value of the Host header; a port is ignored
/// @param path  path with query
/// @return the route with the longest matching prefix, or NULL
struct mesh_route *mesh_config_find (const struct mesh_config *config,
                                     const char *host, const char *path);

/// Finds the routes of a host, which follow each other in the configuration.
/// @param count  set to their number
/// @return the first one
const struct mesh_route *mesh_config_host (const struct mesh_config *config,
                                           const char *host, size_t *count);

/// @return the service with a name, or NULL
const struct mesh_service *
mesh_config_service (const struct mesh_config *config, const char *name);

/// @param deadline_ms  that a caller has given
/// @return time left until the latency objective; see deadline_seen_ms
uint32_t mesh_route_objective_ms (const struct mesh_route *route,
                                  uint32_t deadline_ms);

/// @return name of the service that mesh_route_choose would choose
const char *mesh_route_next (const struct mesh_route *route);

/// Chooses a service of the route's traffic split by smooth weighted
/// round-robin, which keeps the shares exact over short spans.
/// @return name of the service
const char *mesh_route_choose (struct mesh_route *route);

#endif
