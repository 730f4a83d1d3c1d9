/// Owns an open-addressing table with linear probing and backward-shift
/// deletion, at most half full.
#include "state/suspect.h"

#include "base/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static size_t
home_of (const struct suspect_table *table, uint64_t fingerprint)
{
  return (size_t)(fingerprint & (table->size - 1));
}

/// @return place of a fingerprint, or of the free entry where it would go
static size_t
place_of (const struct suspect_table *table, uint64_t fingerprint)
{
  size_t place = home_of (table, fingerprint);
  while (table->entries[place].fingerprint != 0
         && table->entries[place].fingerprint != fingerprint)
    place = (place + 1) & (table->size - 1);
  return place;
}

static void
remove_at (struct suspect_table *table, size_t place)
{
  size_t hole = place;
  size_t next = place;
  for (;;)
    {
      next = (next + 1) & (table->size - 1);
      struct suspect_entry *entry = &table->entries[next];
      if (entry->fingerprint == 0)
        break;
      size_t home = home_of (table, entry->fingerprint);
      /* An entry may move into the hole only if that is not before its home.
       */
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

/// @return true when `entry` may be forgotten rather than `other`
static bool
matters_less (const struct suspect_entry *entry,
              const struct suspect_entry *other)
{
  if (entry->running != other->running)
    return other->running;
  if (entry->count != other->count)
    return entry->count < other->count;
  return entry->changed_ms < other->changed_ms;
}

/// Removes the least important entry: not running, fewest crashes, oldest
/// change. The scan is linear, but only runs when the table is full.
static void
make_room (struct suspect_table *table)
{
  size_t worst = table->size;
  for (size_t i = 0; i < table->size; i++)
    {
      const struct suspect_entry *entry = &table->entries[i];
      if (entry->fingerprint == 0)
        continue;
      if (worst == table->size || matters_less (entry, &table->entries[worst]))
        worst = i;
    }
  assert (worst < table->size);
  remove_at (table, worst);
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
suspect_fingerprint (const char *key, const char *method, const char *uri,
                     const void *body, size_t size)
{
  uint64_t hash;
  if (key != NULL)
    hash = hash_place_pair (1, hash_place_string (key));
  else
    hash = hash_place_pair (
        hash_place_pair (2, hash_place_string (method)),
        hash_place_pair (hash_place_string (uri),
                         size == 0 ? 0 : hash_place (body, size)));
  return hash == 0 ? 1 : hash;
}

enum suspect_verdict
suspect_check (const struct suspect_table *table, uint64_t fingerprint,
               uint64_t now_ms)
{
  if (table->count == 0)
    return SUSPECT_NONE;
  const struct suspect_entry *entry
      = &table->entries[place_of (table, fingerprint)];
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
  size_t place = place_of (table, fingerprint);
  struct suspect_entry *entry = &table->entries[place];
  if (entry->fingerprint != 0 && is_expired (entry, now_ms))
    {
      remove_at (table, place);
      place = place_of (table, fingerprint);
      entry = &table->entries[place];
    }
  if (entry->fingerprint == 0)
    {
      if (table->count == table->capacity)
        {
          make_room (table);
          entry = &table->entries[place_of (table, fingerprint)];
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
  size_t place = place_of (table, fingerprint);
  const struct suspect_entry *entry = &table->entries[place];
  if (entry->fingerprint == 0 || entry->count >= SUSPECT_CRASHES_MAX)
    return false;
  remove_at (table, place);
  return true;
}

bool
suspect_begin (struct suspect_table *table, uint64_t fingerprint)
{
  struct suspect_entry *entry = &table->entries[place_of (table, fingerprint)];
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
  struct suspect_entry *entry = &table->entries[place_of (table, fingerprint)];
  if (entry->fingerprint != 0)
    entry->running = false;
}

size_t
suspect_expire (struct suspect_table *table, uint64_t now_ms)
{
  size_t removed = 0;
  for (size_t i = 0; i < table->size;)
    {
      /* Removal shifts a later entry into place i, so look at i again. */
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
