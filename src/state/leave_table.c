/// Owns the notices.
#include "state/leave_table.h"

#include <string.h>

struct leave_notice *
leave_table_find (struct leave_table *table, const char *node)
{
  for (size_t i = 0; i < LEAVE_TABLE_MAX; i++)
    if (table->notices[i].entry.node[0] != '\0'
        && strcmp (table->notices[i].entry.node, node) == 0)
      return &table->notices[i];
  return NULL;
}

/// @return an unused place, else that of the oldest notice
static struct leave_notice *
allocate_notice (struct leave_table *table)
{
  struct leave_notice *oldest = &table->notices[0];
  for (size_t i = 0; i < LEAVE_TABLE_MAX; i++)
    {
      struct leave_notice *notice = &table->notices[i];
      if (notice->entry.node[0] == '\0')
        return notice;
      if (notice->held_ms < oldest->held_ms)
        oldest = notice;
    }
  return oldest;
}

struct leave_notice *
leave_table_put (struct leave_table *table,
                 const struct directory_entry *entry, uint64_t now_ms)
{
  struct leave_notice *notice = leave_table_find (table, entry->node);
  bool is_older = notice != NULL && entry->started_ms != 0
                  && entry->started_ms < notice->entry.started_ms;
  if (is_older)
    return notice;
  bool is_known = notice != NULL
                  && entry->started_ms == notice->entry.started_ms
                  && strcmp (notice->entry.instance, entry->instance) == 0;
  if (notice == NULL)
    notice = allocate_notice (table);
  if (!is_known)
    *notice = (struct leave_notice){ .entry = *entry };
  notice->held_ms = now_ms;
  return notice;
}

bool
leave_notice_is_settled (const struct leave_notice *notice,
                         const struct directory_entry *entry)
{
  bool is_same = strcmp (notice->entry.instance, entry->instance) == 0;
  bool is_later = notice->entry.started_ms != 0
                  && entry->started_ms > notice->entry.started_ms;
  return is_later || (is_same && entry->leaving);
}

bool
leave_notice_is_expired (const struct leave_notice *notice, uint64_t now_ms)
{
  return now_ms - notice->held_ms >= LEAVE_HOLD_MS;
}

void
leave_notice_drop (struct leave_notice *notice)
{
  memset (notice, 0, sizeof *notice);
}
