/// Member table: an array with a hash index. The table owns both.
#include "state/member.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

void
member_table_init (struct member_table *table)
{
  *table = (struct member_table){ 0 };
}

void
member_table_finish (struct member_table *table)
{
  free (table->items);
  free (table->index);
  *table = (struct member_table){ 0 };
}

/// @return position in the index that holds the slot, or the free position
///         where it belongs
static uint32_t
find_position (const struct member_table *table, uint64_t slot_id)
{
  assert (table->index_size != 0);
  uint32_t mask = table->index_size - 1;
  uint32_t position = (uint32_t)(slot_id ^ slot_id >> 32) & mask;
  while (table->index[position] != MEMBER_NONE
         && table->items[table->index[position]].slot_id != slot_id)
    position = (position + 1) & mask;
  return position;
}

/// Doubles the capacity. The index has twice as many positions, so that it is
/// at most half full.
static enum status
grow (struct member_table *table)
{
  uint32_t capacity = table->capacity == 0 ? 64 : table->capacity * 2;
  struct member *items
      = realloc (table->items, (size_t)capacity * sizeof *items);
  if (items == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a table of %u members",
                       capacity);
  table->items = items;
  uint32_t size = capacity * 2;
  uint32_t *index = malloc ((size_t)size * sizeof *index);
  if (index == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a table of %u members",
                       capacity);
  for (uint32_t i = 0; i < size; i++)
    index[i] = MEMBER_NONE;
  free (table->index);
  table->index = index;
  table->index_size = size;
  table->capacity = capacity;
  for (uint32_t i = 0; i < table->count; i++)
    table->index[find_position (table, table->items[i].slot_id)] = i;
  return STATUS_OK;
}

uint32_t
member_find (const struct member_table *table, uint64_t slot_id)
{
  if (table->index_size == 0)
    return MEMBER_NONE;
  return table->index[find_position (table, slot_id)];
}

const struct member *
member_get (const struct member_table *table, uint32_t handle)
{
  assert (handle < table->count);
  return &table->items[handle];
}

static bool
supersedes (const struct member *record, const struct member *current)
{
  if (record->incarnation != current->incarnation)
    return record->incarnation > current->incarnation;
  return record->state > current->state;
}

enum status
member_merge (struct member_table *table, const struct member *record,
              uint64_t now_ms, bool *changed)
{
  *changed = false;
  uint32_t handle = member_find (table, record->slot_id);
  if (handle == MEMBER_NONE)
    {
      if (table->count == table->capacity)
        {
          enum status status = grow (table);
          if (status != STATUS_OK)
            return status;
        }
      handle = table->count++;
      table->items[handle] = *record;
      table->index[find_position (table, record->slot_id)] = handle;
    }
  else if (supersedes (record, &table->items[handle]))
    table->items[handle] = *record;
  else
    return STATUS_OK;
  table->items[handle].changed_ms = now_ms;
  table->generation++;
  *changed = true;
  return STATUS_OK;
}

bool
member_serves (const struct member *member, const char *service,
               const char *target_version)
{
  return member->state == MEMBER_ALIVE && member->target_state == TARGET_READY
         && strcmp (member->service, service) == 0
         && strcmp (member->target_version, target_version) == 0;
}
