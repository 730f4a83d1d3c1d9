/// Owns no state; the accounts belong to the configuration.
#include "sidecar/sidecar_account.h"

#include "base/hash.h"

#include <strings.h>

/// Larger priorities of accounts count the same.
#define RANK_ACCOUNT_MAX 1000u

/// @return value of the only field with a name, or NULL when there is none or
///         more than one
static const char *
find_only (const struct http_head *head, const char *name)
{
  const char *value = NULL;
  struct http_field field = { 0 };
  while (http_head_next (head, &field))
    {
      if (strcasecmp (field.name, name) != 0)
        continue;
      if (value != NULL)
        return NULL;
      value = field.value;
    }
  return value;
}

enum account_decision
sidecar_account_check (const struct sidecar *sidecar,
                       const struct http_head *head,
                       const struct client_account **account)
{
  const struct client_account_table *table = &sidecar->config->accounts;
  const char *key = find_only (head, sidecar->adapter->headers.api_key);
  *account = NULL;
  if (!table->required)
    return ACCOUNT_ACCEPTED;
  if (key != NULL)
    *account = client_account_find (table, key);
  if (*account != NULL)
    return ACCOUNT_ACCEPTED;
  /* No newer configuration makes a request without a key acceptable. */
  return key == NULL || sidecar_store_is_current (sidecar)
             ? ACCOUNT_KEY_UNKNOWN
             : ACCOUNT_UNDECIDED;
}

uint32_t
sidecar_account_rank (const struct sidecar *sidecar,
                      const struct client_account *account,
                      const struct mesh_route *route)
{
  if (!sidecar->config->accounts.required)
    return route->priority;
  uint32_t of_route = route->priority < SHED_COST_ROUTE_RANKS
                          ? route->priority
                          : SHED_COST_ROUTE_RANKS - 1;
  uint32_t first = account != NULL && account->has_priority ? account->priority
                                                            : route->priority;
  if (first > RANK_ACCOUNT_MAX)
    first = RANK_ACCOUNT_MAX;
  return first * SHED_COST_ROUTE_RANKS + of_route;
}

uint32_t
sidecar_account_hash (const char *name)
{
  uint32_t hash = name == NULL ? 0 : (uint32_t)hash_placement_string (name);
  return name != NULL && hash == 0 ? 1 : hash;
}
