/// Owns the tokens of each service.
#include "coordination/retry_quota.h"

#include <stdlib.h>
#include <string.h>

/// One retry, in thousandths.
#define TOKEN 1000

/// Used part of the ratio and of the slack, percent. The rest covers calls
/// that targets make when they run a request again, and requests that were
/// counted in another window.
#define USED_PART_PERCENT 50

void
retry_quota_init (struct retry_quota_table *table, uint32_t ratio_permille)
{
  memset (table, 0, sizeof *table);
  table->ratio_permille = ratio_permille * USED_PART_PERCENT / 100;
  table->burst_tokens = 1;
}

void
retry_quota_finish (struct retry_quota_table *table)
{
  free (table->items);
  memset (table, 0, sizeof *table);
}

void
retry_quota_set_slack (struct retry_quota_table *table, uint32_t slack,
                       size_t nodes)
{
  size_t part = nodes == 0 ? 1 : slack * USED_PART_PERCENT / 100 / nodes;
  table->burst_tokens = part < 1 ? 1 : (uint32_t)part;
}

/// @return the quota of a service; a new one starts with one token and
///         replaces the least recently used one when the table cannot grow;
///         NULL when it cannot grow and is empty
static struct retry_quota *
find_or_add (struct retry_quota_table *table, const char *service,
             uint64_t now_ms)
{
  struct retry_quota *oldest = NULL;
  for (size_t i = 0; i < table->count; i++)
    {
      if (strcmp (table->items[i].service, service) == 0)
        return &table->items[i];
      if (oldest == NULL || table->items[i].used_ms < oldest->used_ms)
        oldest = &table->items[i];
    }
  if (table->count < RETRY_QUOTA_SERVICES_MAX)
    {
      struct retry_quota *items
          = realloc (table->items, (table->count + 1) * sizeof *items);
      if (items != NULL)
        {
          table->items = items;
          oldest = &items[table->count++];
        }
    }
  if (oldest == NULL)
    return NULL;
  memset (oldest, 0, sizeof *oldest);
  strncpy (oldest->service, service, RETRY_QUOTA_NAME_MAX);
  oldest->millitokens = TOKEN;
  oldest->used_ms = now_ms;
  return oldest;
}

/// @return tokens after the first send of a request, in thousandths
static uint32_t
after_request (const struct retry_quota_table *table, uint32_t millitokens)
{
  uint32_t sum = millitokens + table->ratio_permille;
  uint32_t most = table->burst_tokens * TOKEN;
  return sum < most ? sum : most;
}

uint32_t
retry_quota_millitokens (const struct retry_quota_table *table,
                         const char *service)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->items[i].service, service) == 0)
      return table->items[i].millitokens;
  return TOKEN;
}

bool
retry_quota_would_allow (const struct retry_quota_table *table,
                         const char *service)
{
  return after_request (table, retry_quota_millitokens (table, service))
         >= TOKEN;
}

void
retry_quota_count_request (struct retry_quota_table *table,
                           const char *service, uint64_t now_ms)
{
  struct retry_quota *retry_quota = find_or_add (table, service, now_ms);
  if (retry_quota == NULL)
    return;
  retry_quota->used_ms = now_ms;
  retry_quota->millitokens = after_request (table, retry_quota->millitokens);
}

bool
retry_quota_take (struct retry_quota_table *table, const char *service,
                  uint64_t now_ms)
{
  struct retry_quota *retry_quota = find_or_add (table, service, now_ms);
  if (retry_quota == NULL || retry_quota->millitokens < TOKEN)
    return false;
  retry_quota->used_ms = now_ms;
  retry_quota->millitokens -= TOKEN;
  return true;
}
