/// Open-addressing hash table with linear probing and backward-shift deletion,
/// at most half full. The table owns its entries.
#include "state/suspect.h"

#include "base/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static size_t
home_slot (const struct suspect_table *table, uint64_t fingerprint)
{
  return (size_t)(fingerprint & (table->size - 1));
}

/// @return slot that holds a fingerprint, or the free slot where it belongs
static size_t
find_slot (const struct suspect_table *table, uint64_t fingerprint)
{
  size_t slot = home_slot (table, fingerprint);
  while (table->entries[slot].fingerprint != 0
         && table->entries[slot].fingerprint != fingerprint)
    slot = (slot + 1) & (table->size - 1);
  return slot;
}

static void
remove_at (struct suspect_table *table, size_t slot)
{
  size_t hole = slot;
  size_t next = slot;
  for (;;)
    {
      next = (next + 1) & (table->size - 1);
      struct suspect_entry *entry = &table->entries[next];
      if (entry->fingerprint == 0)
        break;
      size_t home = home_slot (table, entry->fingerprint);
      /* An entry may move into the hole unless its home slot is after it. */
      if (((next - home) & (table->size - 1))
          >= ((next - hole) & (table->size - 1)))
        {
          table->entries[hole] = *entry;
          hole = next;
        }
    }
  memset (&table->entries[hole], 0, sizeof table->entries[hole]);
  table->count--;
}

static bool
is_expired (const struct suspect_entry *entry, uint64_t now_ms)
{
  return now_ms >= entry->changed_ms
         && now_ms - entry->changed_ms >= SUSPECT_TTL_MS;
}

/// @return true when `entry` is evicted before `other`
static bool
evicted_before (const struct suspect_entry *entry,
                const struct suspect_entry *other)
{
  if (entry->running != other->running)
    return other->running;
  if (entry->count != other->count)
    return entry->count < other->count;
  return entry->changed_ms < other->changed_ms;
}

/// Evicts one entry, see suspect_init. The scan is linear, but only runs when
/// the table is full.
static void
evict_one (struct suspect_table *table)
{
  size_t victim = table->size;
  for (size_t i = 0; i < table->size; i++)
    {
      const struct suspect_entry *entry = &table->entries[i];
      if (entry->fingerprint == 0)
        continue;
      if (victim == table->size
          || evicted_before (entry, &table->entries[victim]))
        victim = i;
    }
  assert (victim < table->size);
  remove_at (table, victim);
}

enum status
suspect_init (struct suspect_table *table, size_t capacity)
{
  assert (capacity >= 1);
  memset (table, 0, sizeof *table);
  table->capacity = capacity;
  table->size = 4;
  while (table->size < 2 * capacity)
    table->size *= 2;
  table->entries = calloc (table->size, sizeof *table->entries);
  if (table->entries == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for %zu crash suspects",
                       capacity);
  return STATUS_OK;
}

void
suspect_finish (struct suspect_table *table)
{
  free (table->entries);
  memset (table, 0, sizeof *table);
}

uint64_t
suspect_fingerprint_hashed (const char *method, const char *uri,
                            uint64_t body_hash)
{
  uint64_t hash = hash_placement_pair (
      hash_placement_pair (2, hash_placement_string (method)),
      hash_placement_pair (hash_placement_string (uri), body_hash));
  return hash == 0 ? 1 : hash;
}

uint64_t
suspect_fingerprint (const char *key, const char *method, const char *uri,
                     const void *body, size_t size)
{
  if (key == NULL)
    return suspect_fingerprint_hashed (
        method, uri, size == 0 ? 0 : hash_placement (body, size));
  uint64_t hash = hash_placement_pair (1, hash_placement_string (key));
  return hash == 0 ? 1 : hash;
}

enum suspect_verdict
suspect_check (const struct suspect_table *table, uint64_t fingerprint,
               uint64_t now_ms)
{
  if (table->count == 0)
    return SUSPECT_NONE;
  const struct suspect_entry *entry
      = &table->entries[find_slot (table, fingerprint)];
  if (entry->fingerprint == 0 || is_expired (entry, now_ms))
    return SUSPECT_NONE;
  return entry->count >= SUSPECT_CRASHES_MAX ? SUSPECT_REFUSED
                                             : SUSPECT_SINGLE;
}

bool
suspect_raise (struct suspect_table *table, uint64_t fingerprint,
               uint64_t crash, uint64_t now_ms)
{
  assert (fingerprint != 0 && crash != 0);
  size_t slot = find_slot (table, fingerprint);
  struct suspect_entry *entry = &table->entries[slot];
  if (entry->fingerprint != 0 && is_expired (entry, now_ms))
    {
      remove_at (table, slot);
      slot = find_slot (table, fingerprint);
      entry = &table->entries[slot];
    }
  if (entry->fingerprint == 0)
    {
      if (table->count == table->capacity)
        {
          evict_one (table);
          entry = &table->entries[find_slot (table, fingerprint)];
        }
      entry->fingerprint = fingerprint;
      table->count++;
    }
  for (unsigned i = 0; i < entry->count; i++)
    if (entry->crashes[i] == crash)
      return false;
  if (entry->count == SUSPECT_CRASHES_MAX)
    return false;
  entry->crashes[entry->count++] = crash;
  entry->changed_ms = now_ms;
  return true;
}

bool
suspect_clear (struct suspect_table *table, uint64_t fingerprint)
{
  if (table->count == 0)
    return false;
  size_t slot = find_slot (table, fingerprint);
  const struct suspect_entry *entry = &table->entries[slot];
  if (entry->fingerprint == 0 || entry->count >= SUSPECT_CRASHES_MAX)
    return false;
  remove_at (table, slot);
  return true;
}

bool
suspect_begin (struct suspect_table *table, uint64_t fingerprint)
{
  struct suspect_entry *entry
      = &table->entries[find_slot (table, fingerprint)];
  if (entry->fingerprint == 0)
    return true;
  if (entry->running)
    return false;
  entry->running = true;
  return true;
}

void
suspect_end (struct suspect_table *table, uint64_t fingerprint)
{
  struct suspect_entry *entry
      = &table->entries[find_slot (table, fingerprint)];
  if (entry->fingerprint != 0)
    entry->running = false;
}

size_t
suspect_expire (struct suspect_table *table, uint64_t now_ms)
{
  size_t removed = 0;
  for (size_t i = 0; i < table->size;)
    {
      /* Removal may shift a later entry into slot i, so check i again. */
      if (table->entries[i].fingerprint != 0
          && is_expired (&table->entries[i], now_ms))
        {
          remove_at (table, i);
          removed++;
        }
      else
        i++;
    }
  return removed;
}
