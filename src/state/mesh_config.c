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

struct mesh_route *
mesh_config_find (const struct mesh_config *config, const char *host,
                  const char *path)
{
  size_t host_size = strcspn (host, ":");
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
  for (; low < config->route_count
         && compare_host (config->routes[low].host, host, host_size) == 0;
       low++)
    {
      struct mesh_route *route = &config->routes[low];
      if (strncmp (path, route->prefix, route->prefix_size) == 0)
        return route;
    }
  return NULL;
}

const struct mesh_service *
mesh_config_service (const struct mesh_config *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return &config->services[i];
  return NULL;
}

const char *
mesh_route_choose (struct mesh_route *route)
{
  struct mesh_weighted_service *best = NULL;
  int64_t total = 0;
  for (size_t i = 0; i < route->split_count; i++)
    {
      struct mesh_weighted_service *part = &route->split[i];
      part->credit += part->weight;
      total += part->weight;
      if (part->weight > 0 && (best == NULL || part->credit > best->credit))
        best = part;
    }
  /* mesh_config_prepare refuses routes without weights. */
  assert (best != NULL);
  best->credit -= total;
  return best->service;
}
