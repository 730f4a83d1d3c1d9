/// Lookup of routes by host and path prefix, and choice of services by weight.
#include "state/mesh_config.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/// Limits that apply unless a configuration sets its own.
#define HEAD_BYTES_DEFAULT (16 * 1024)
#define BODY_BYTES_DEFAULT (1024 * 1024)
#define HEAD_MS_DEFAULT 3000
#define IDLE_MS_DEFAULT 15000

struct mesh_config *
mesh_config_new (void)
{
  struct mesh_config *config = talloc_zero (NULL, struct mesh_config);
  if (config == NULL)
    return NULL;
  config->limits = (struct mesh_limits){ .head_bytes = HEAD_BYTES_DEFAULT,
                                         .body_bytes = BODY_BYTES_DEFAULT,
                                         .head_ms = HEAD_MS_DEFAULT,
                                         .idle_ms = IDLE_MS_DEFAULT };
  return config;
}

static int
compare_routes (const void *a, const void *b)
{
  const struct mesh_route *left = a;
  const struct mesh_route *right = b;
  int order = strcasecmp (left->host, right->host);
  if (order != 0)
    return order;
  if (left->prefix_size != right->prefix_size)
    return left->prefix_size > right->prefix_size ? -1 : 1;
  return strcmp (left->prefix, right->prefix);
}

static bool
has_weight (const struct mesh_route *route)
{
  for (size_t i = 0; i < route->split_count; i++)
    if (route->split[i].weight > 0)
      return true;
  return false;
}

enum status
mesh_config_prepare (struct mesh_config *config)
{
  if (config->route_count > 0)
    qsort (config->routes, config->route_count, sizeof config->routes[0],
           compare_routes);
  for (size_t i = 0; i < config->route_count; i++)
    {
      const struct mesh_route *route = &config->routes[i];
      if (!has_weight (route))
        return status_set (STATUS_INVALID,
                           "route %s has no service with a weight above 0",
                           route->name);
      if (i > 0 && compare_routes (&config->routes[i - 1], route) == 0)
        return status_set (STATUS_INVALID,
                           "routes %s and %s have the same host and prefix",
                           config->routes[i - 1].name, route->name);
    }
  return client_account_prepare (&config->accounts, config);
}

/// Compares a host name with the first bytes of a Host header, ignoring case.
static int
compare_host (const char *host, const char *header, size_t header_size)
{
  int order = strncasecmp (host, header, header_size);
  if (order != 0)
    return order;
  return host[header_size] == '\0' ? 0 : 1;
}

/// @return index of the first route of a host
static size_t
first_of_host (const struct mesh_config *config, const char *host,
               size_t host_size)
{
  size_t low = 0;
  size_t high = config->route_count;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (compare_host (config->routes[middle].host, host, host_size) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

struct mesh_route *
mesh_config_find (const struct mesh_config *config, const char *host,
                  const char *path)
{
  size_t host_size = strcspn (host, ":");
  for (size_t i = first_of_host (config, host, host_size);
       i < config->route_count
       && compare_host (config->routes[i].host, host, host_size) == 0;
       i++)
    {
      struct mesh_route *route = &config->routes[i];
      if (strncmp (path, route->prefix, route->prefix_size) == 0)
        return route;
    }
  return NULL;
}

const struct mesh_route *
mesh_config_host (const struct mesh_config *config, const char *host,
                  size_t *count)
{
  size_t host_size = strcspn (host, ":");
  size_t first = first_of_host (config, host, host_size);
  size_t end = first;
  while (end < config->route_count
         && compare_host (config->routes[end].host, host, host_size) == 0)
    end++;
  *count = end - first;
  return config->routes + first;
}

const struct mesh_service *
mesh_config_service (const struct mesh_config *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return &config->services[i];
  return NULL;
}

uint32_t
mesh_route_objective_ms (const struct mesh_route *route, uint32_t deadline_ms)
{
  uint32_t elapsed_ms = route->deadline_seen_ms > deadline_ms
                            ? route->deadline_seen_ms - deadline_ms
                            : 0;
  return route->objective_ms > elapsed_ms ? route->objective_ms - elapsed_ms
                                          : 0;
}

/// @return the service whose turn it is in the rotation
static struct mesh_weighted_service *
next_in_rotation (const struct mesh_route *route)
{
  struct mesh_weighted_service *best = NULL;
  for (size_t i = 0; i < route->split_count; i++)
    {
      struct mesh_weighted_service *part = &route->split[i];
      if (part->weight > 0
          && (best == NULL
              || part->credit + part->weight > best->credit + best->weight))
        best = part;
    }
  /* mesh_config_prepare refuses routes without weights. */
  assert (best != NULL);
  return best;
}

const char *
mesh_route_next (const struct mesh_route *route)
{
  return next_in_rotation (route)->service;
}

const char *
mesh_route_choose (struct mesh_route *route)
{
  struct mesh_weighted_service *chosen = next_in_rotation (route);
  int64_t total = 0;
  for (size_t i = 0; i < route->split_count; i++)
    {
      route->split[i].credit += route->split[i].weight;
      total += route->split[i].weight;
    }
  chosen->credit -= total;
  return chosen->service;
}
