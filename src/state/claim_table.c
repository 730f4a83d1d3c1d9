/// Claims of a partition in an array with a hash index. The table owns the
/// claims, the index and the bodies of outcomes.
#include "state/claim_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define FREE_SLOT UINT32_MAX
#define INITIAL_CAPACITY 64

static uint32_t
home_slot (const struct claim_table *table, const struct content_hash *key)
{
  uint32_t bits;
  memcpy (&bits, key->bytes, sizeof bits);
  return bits & (table->index_size - 1);
}

/// @return index slot that holds the key, or the free slot where it belongs
static uint32_t
index_probe (const struct claim_table *table, const struct content_hash *key)
{
  assert (table->items != NULL && table->index != NULL);
  uint32_t slot = home_slot (table, key);
  while (table->index[slot] != FREE_SLOT
         && !hash_equal (&table->items[table->index[slot]].key, key))
    slot = (slot + 1) & (table->index_size - 1);
  return slot;
}

static void *
resize_or_abort (void *memory, size_t count, size_t size)
{
  void *resized = realloc (memory, count * size);
  /* A table that lacks a record could grant a key twice, so the process stops
     rather than lose one. */
  if (resized == NULL)
    abort ();
  return resized;
}

static void
grow_table (struct claim_table *table)
{
  table->capacity
      = table->capacity == 0 ? INITIAL_CAPACITY : table->capacity * 2;
  table->items
      = resize_or_abort (table->items, table->capacity, sizeof *table->items);
  table->index_size = table->capacity * 2;
  table->index = resize_or_abort (table->index, table->index_size,
                                  sizeof *table->index);
  memset (table->index, 0xff, table->index_size * sizeof *table->index);
  for (uint32_t i = 0; i < table->count; i++)
    table->index[index_probe (table, &table->items[i].key)] = i;
}

static struct claim *
find_claim (const struct claim_table *table, const struct content_hash *key)
{
  if (table->count == 0)
    return NULL;
  uint32_t position = table->index[index_probe (table, key)];
  return position == FREE_SLOT ? NULL : &table->items[position];
}

static struct claim *
add_claim (struct claim_table *table, const struct content_hash *key)
{
  if (table->count == table->capacity)
    grow_table (table);
  assert (table->items != NULL);
  uint32_t position = table->count++;
  table->items[position] = (struct claim){ .key = *key };
  table->index[index_probe (table, key)] = position;
  return &table->items[position];
}

static void
drop_body (struct claim_table *table, struct claim *claim)
{
  table->body_bytes -= claim->body_size;
  free (claim->body);
  claim->body = NULL;
  claim->body_size = 0;
}

/// Frees a slot of the index and moves later entries of the probe sequence up
/// (backward-shift deletion).
static void
index_remove (struct claim_table *table, uint32_t slot)
{
  uint32_t mask = table->index_size - 1;
  uint32_t next = (slot + 1) & mask;
  while (table->index[next] != FREE_SLOT)
    {
      uint32_t home = home_slot (table, &table->items[table->index[next]].key);
      if (((next - home) & mask) >= ((next - slot) & mask))
        {
          table->index[slot] = table->index[next];
          slot = next;
        }
      next = (next + 1) & mask;
    }
  table->index[slot] = FREE_SLOT;
}

static void
remove_item (struct claim_table *table, uint32_t position)
{
  struct claim *claim = &table->items[position];
  drop_body (table, claim);
  index_remove (table, index_probe (table, &claim->key));
  uint32_t last = --table->count;
  if (position == last)
    return;
  table->index[index_probe (table, &table->items[last].key)] = position;
  table->items[position] = table->items[last];
  table->items[last].body = NULL;
}

static void
mark_dirty (struct claim_table *table, struct claim *claim)
{
  if (claim->dirty)
    return;
  claim->dirty = true;
  if (table->dirty_count == table->dirty_capacity)
    {
      table->dirty_capacity = table->dirty_capacity == 0
                                  ? INITIAL_CAPACITY
                                  : table->dirty_capacity * 2;
      table->dirty_keys = resize_or_abort (
          table->dirty_keys, table->dirty_capacity, sizeof *table->dirty_keys);
    }
  table->dirty_keys[table->dirty_count++] = claim->key;
}

static enum claim_state
state_of_record (enum claim_record_kind kind)
{
  switch (kind)
    {
    case CLAIM_RECORD_RELEASE:
      return CLAIM_FREE;
    case CLAIM_RECORD_OUTCOME:
      return CLAIM_DONE;
    case CLAIM_RECORD_OUTCOME_UNKNOWN:
      return CLAIM_OUTCOME_UNKNOWN;
    default:
      return CLAIM_HELD;
    }
}

static void
set_claim (struct claim_table *table, struct claim *claim,
           const struct claim_record *record)
{
  drop_body (table, claim);
  claim->nonce = record->nonce;
  claim->created_s = record->created_s;
  claim->status = record->status;
  claim->state = state_of_record (record->kind);
  claim->body_complete = record->body_complete;
  if (record->kind != CLAIM_RECORD_OUTCOME || record->body_size == 0)
    return;
  assert (record->body_size <= CLAIM_BODY_MAX);
  uint8_t *body = NULL;
  if (table->body_bytes + record->body_size <= table->body_bytes_max)
    body = malloc (record->body_size);
  if (body == NULL)
    {
      claim->body_complete = false;
      return;
    }
  memcpy (body, record->body, record->body_size);
  claim->body = body;
  claim->body_size = record->body_size;
  table->body_bytes += record->body_size;
}

static bool
raise_floor (struct claim_table *table, const struct claim_record *record)
{
  if (record->created_s <= table->floor_s)
    return false;
  table->floor_s = record->created_s;
  return true;
}

/// Every owner of the partition must decide alike.
/// @param claim  NULL for an unknown key
/// @return true when a record changes the claim
static bool
takes_effect (const struct claim *claim, const struct claim_record *record)
{
  if (claim == NULL)
    return true;
  bool same_nonce = claim->nonce == record->nonce;
  if (claim->state == CLAIM_FREE)
    return !same_nonce || record->kind == CLAIM_RECORD_OUTCOME
           || record->kind == CLAIM_RECORD_OUTCOME_UNKNOWN;
  if (claim->state == CLAIM_HELD)
    return same_nonce && record->kind != CLAIM_RECORD_CLAIM;
  /* The outcome may arrive after it was recorded as unknown. */
  return claim->state == CLAIM_OUTCOME_UNKNOWN && same_nonce
         && record->kind == CLAIM_RECORD_OUTCOME;
}

void
claim_table_init (struct claim_table *table, uint32_t count_max,
                  size_t body_bytes_max)
{
  *table = (struct claim_table){ .count_max = count_max,
                                 .body_bytes_max = body_bytes_max };
}

void
claim_table_finish (struct claim_table *table)
{
  for (uint32_t i = 0; i < table->count; i++)
    free (table->items[i].body);
  free (table->items);
  free (table->index);
  free (table->dirty_keys);
  *table = (struct claim_table){ 0 };
}

const struct claim *
claim_table_find (const struct claim_table *table,
                  const struct content_hash *key)
{
  return find_claim (table, key);
}

bool
claim_table_apply (struct claim_table *table,
                   const struct claim_record *record)
{
  if (record->kind == CLAIM_RECORD_FLOOR)
    return raise_floor (table, record);
  struct claim *claim = find_claim (table, &record->key);
  if (!takes_effect (claim, record))
    return false;
  if (claim == NULL)
    claim = add_claim (table, &record->key);
  set_claim (table, claim, record);
  mark_dirty (table, claim);
  return true;
}

void
claim_table_set (struct claim_table *table, const struct claim_record *record)
{
  if (record->kind == CLAIM_RECORD_FLOOR)
    {
      raise_floor (table, record);
      return;
    }
  struct claim *claim = find_claim (table, &record->key);
  if (claim == NULL)
    claim = add_claim (table, &record->key);
  set_claim (table, claim, record);
}

uint32_t
claim_table_expire (struct claim_table *table, uint32_t now_s, uint32_t keep_s,
                    uint32_t steps)
{
  uint32_t removed = 0;
  if (steps > table->count)
    steps = table->count;
  for (; steps > 0 && table->count > 0; steps--)
    {
      if (table->sweep >= table->count)
        table->sweep = 0;
      if ((uint64_t)table->items[table->sweep].created_s + keep_s < now_s)
        {
          remove_item (table, table->sweep);
          removed++;
        }
      else
        table->sweep++;
    }
  return removed;
}

struct claim_record
claim_table_record (const struct claim *claim)
{
  static const enum claim_record_kind kinds[]
      = { [CLAIM_FREE] = CLAIM_RECORD_RELEASE,
          [CLAIM_HELD] = CLAIM_RECORD_CLAIM,
          [CLAIM_DONE] = CLAIM_RECORD_OUTCOME,
          [CLAIM_OUTCOME_UNKNOWN] = CLAIM_RECORD_OUTCOME_UNKNOWN };
  return (struct claim_record){
    .kind = kinds[claim->state],
    .key = claim->key,
    .nonce = claim->nonce,
    .created_s = claim->created_s,
    .status = claim->status,
    .body_complete = claim->body_complete,
    .body_size = claim->body_size,
    .body = claim->body,
  };
}

size_t
claim_table_take_dirty (struct claim_table *table, void *arena,
                        struct claim_record **records)
{
  struct claim_record *list
      = talloc_array (arena, struct claim_record, table->dirty_count + 1);
  if (list == NULL)
    abort ();
  size_t count = 0;
  for (uint32_t i = 0; i < table->dirty_count; i++)
    {
      struct claim *claim = find_claim (table, &table->dirty_keys[i]);
      /* A key that expired and was added again is listed twice; it is returned
         once. */
      if (claim == NULL || !claim->dirty)
        continue;
      claim->dirty = false;
      list[count++] = claim_table_record (claim);
    }
  table->dirty_count = 0;
  *records = list;
  return count;
}

bool
claim_table_full (const struct claim_table *table)
{
  return table->count >= table->count_max;
}

size_t
claim_table_bytes (const struct claim_table *table)
{
  return (size_t)table->capacity * sizeof *table->items
         + (size_t)table->index_size * sizeof *table->index
         + (size_t)table->dirty_capacity * sizeof *table->dirty_keys
         + table->body_bytes;
}
