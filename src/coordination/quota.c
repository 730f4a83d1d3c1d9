/// Owns the tokens of each service.
#include "coordination/quota.h"

#include <stdlib.h>
#include <string.h>

/// One retry, in thousandths.
#define TOKEN 1000

/// Used part of the ratio and of the slack, percent. The rest covers calls
/// that targets make when they run a request again, and requests that were
/// counted in another window.
#define USED_PART_PERCENT 50

void
quota_init (struct quota_table *table, uint32_t ratio_permille)
{
  memset (table, 0, sizeof *table);
  table->ratio_permille = ratio_permille * USED_PART_PERCENT / 100;
  table->burst_tokens = 1;
}

void
quota_finish (struct quota_table *table)
{
  free (table->items);
  memset (table, 0, sizeof *table);
}

void
quota_set_slack (struct quota_table *table, uint32_t slack, size_t nodes)
{
  size_t part = nodes == 0 ? 1 : slack * USED_PART_PERCENT / 100 / nodes;
  table->burst_tokens = part < 1 ? 1 : (uint32_t)part;
}

/// @return the budget of a service; a new one starts with one token and
///         replaces the least recently used one when the table cannot grow;
///         NULL when it cannot grow and is empty
static struct quota *
find_or_add (struct quota_table *table, const char *service, uint64_t now_ms)
{
  struct quota *oldest = NULL;
  for (size_t i = 0; i < table->count; i++)
    {
      if (strcmp (table->items[i].service, service) == 0)
        return &table->items[i];
      if (oldest == NULL || table->items[i].used_ms < oldest->used_ms)
        oldest = &table->items[i];
    }
  if (table->count < QUOTA_SERVICES_MAX)
    {
      struct quota *items
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
  strncpy (oldest->service, service, QUOTA_NAME_MAX);
  oldest->millitokens = TOKEN;
  oldest->used_ms = now_ms;
  return oldest;
}

void
quota_count (struct quota_table *table, const char *service, uint64_t now_ms)
{
  struct quota *quota = find_or_add (table, service, now_ms);
  if (quota == NULL)
    return;
  quota->used_ms = now_ms;
  quota->millitokens += table->ratio_permille;
  if (quota->millitokens > table->burst_tokens * TOKEN)
    quota->millitokens = table->burst_tokens * TOKEN;
}

bool
quota_take (struct quota_table *table, const char *service, uint64_t now_ms)
{
  struct quota *quota = find_or_add (table, service, now_ms);
  if (quota == NULL || quota->millitokens < TOKEN)
    return false;
  quota->used_ms = now_ms;
  quota->millitokens -= TOKEN;
  return true;
}
