/// Tables of outcome counts, and percentiles of latency from a histogram.
#include "state/outcome.h"

#include "base/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/// Number of responses from which percentiles are used. With few responses a
/// limit is only less informative, not biased: it applies to both versions.
#define PERCENTILE_RESPONSES_MIN 40

/// The buckets are halved at most once per half-life, and only if they hold
/// enough responses, so that routes with few calls keep their limits.
#define PERCENTILE_HALF_LIFE_MS 10000
#define PERCENTILE_HALVE_RESPONSES_MIN 400

#define FREE_ENTRY UINT32_MAX

static uint64_t
key_hash (const struct outcome_key *key)
{
  uint64_t hash = hash_placement_pair (key->move, key->route);
  hash = hash_placement_pair (hash, key->availability_zone);
  return hash_placement_pair (hash, ((uint64_t)key->step << 1) | key->side);
}

static bool
key_equal (const struct outcome_key *a, const struct outcome_key *b)
{
  return a->move == b->move && a->route == b->route
         && a->availability_zone == b->availability_zone && a->step == b->step
         && a->side == b->side;
}

/// @return index entry of a key, or the free entry where it belongs
static uint32_t *
find_entry (const struct outcome_table *table, const struct outcome_key *key)
{
  uint32_t mask = table->index_size - 1;
  uint32_t position = (uint32_t)key_hash (key) & mask;
  while (table->index[position] != FREE_ENTRY
         && !key_equal (&table->cells[table->index[position]].key, key))
    position = (position + 1) & mask;
  return &table->index[position];
}

static void
build_index (struct outcome_table *table)
{
  memset (table->index, 0xff,
          (size_t)table->index_size * sizeof *table->index);
  for (uint32_t i = 0; i < table->count; i++)
    *find_entry (table, &table->cells[i].key) = i;
}

static enum status
grow (struct outcome_table *table)
{
  uint32_t capacity = table->capacity == 0 ? 64 : table->capacity * 2;
  struct outcome_cell *cells
      = realloc (table->cells, capacity * sizeof *cells);
  if (cells == NULL)
    return status_set (STATUS_NO_MEMORY, "outcome table: no memory");
  table->cells = cells;
  uint32_t *index = malloc ((size_t)capacity * 2 * sizeof *index);
  if (index == NULL)
    return status_set (STATUS_NO_MEMORY, "outcome table: no memory");
  free (table->index);
  table->index = index;
  table->index_size = capacity * 2;
  table->capacity = capacity;
  build_index (table);
  return STATUS_OK;
}

static uint32_t
add_saturating (uint32_t a, uint32_t b)
{
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

/// @return bucket whose range contains the latency
static uint32_t
bucket_of (uint32_t latency_us)
{
  if (latency_us < 64)
    return 0;
  uint32_t octave = 31 - (uint32_t)__builtin_clz (latency_us);
  uint32_t sub_bucket = (latency_us >> (octave - 3)) & 7;
  uint32_t bucket = (octave - 6) * 8 + sub_bucket;
  return bucket < OUTCOME_BUCKETS ? bucket : OUTCOME_BUCKETS - 1;
}

/// @return exclusive upper end of a bucket, microseconds
static uint32_t
bucket_end_us (uint32_t bucket)
{
  return (9 + bucket % 8) << (bucket / 8 + 3);
}

void
outcome_table_init (struct outcome_table *table)
{
  memset (table, 0, sizeof *table);
}

void
outcome_table_finish (struct outcome_table *table)
{
  free (table->cells);
  free (table->index);
  memset (table, 0, sizeof *table);
}

void
outcome_table_truncate (struct outcome_table *table, uint32_t count)
{
  assert (count <= table->count);
  table->count = count;
  if (table->index != NULL)
    build_index (table);
}

void
outcome_table_clear (struct outcome_table *table)
{
  outcome_table_truncate (table, 0);
}

bool
outcome_counts_valid (const struct outcome_counts *counts)
{
  return counts->errors <= counts->calls
         && counts->timed <= counts->calls - counts->errors
         && counts->slow50 <= counts->timed
         && counts->slow99 <= counts->slow50;
}

void
outcome_counts_add (struct outcome_counts *sum,
                    const struct outcome_counts *delta)
{
  sum->calls = add_saturating (sum->calls, delta->calls);
  sum->errors = add_saturating (sum->errors, delta->errors);
  sum->timed = add_saturating (sum->timed, delta->timed);
  sum->slow50 = add_saturating (sum->slow50, delta->slow50);
  sum->slow99 = add_saturating (sum->slow99, delta->slow99);
}

enum status
outcome_add (struct outcome_table *table, const struct outcome_key *key,
             const struct outcome_counts *delta)
{
  if (!outcome_counts_valid (delta))
    return status_set (STATUS_INVALID, "outcome counts are inconsistent");
  uint32_t *entry = table->count == 0 ? NULL : find_entry (table, key);
  if (entry != NULL && *entry != FREE_ENTRY)
    {
      outcome_counts_add (&table->cells[*entry].counts, delta);
      return STATUS_OK;
    }
  if (table->count >= OUTCOME_CELLS_MAX)
    return status_set (STATUS_TOO_LARGE, "outcome table: more than %d cells",
                       OUTCOME_CELLS_MAX);
  if (table->count == table->capacity && grow (table) != STATUS_OK)
    return STATUS_NO_MEMORY;
  *find_entry (table, key) = table->count;
  table->cells[table->count].key = *key;
  table->cells[table->count].counts = *delta;
  table->count++;
  return STATUS_OK;
}

void
outcome_percentiles_init (struct outcome_percentiles *percentiles,
                          uint64_t now_ms)
{
  memset (percentiles, 0, sizeof *percentiles);
  percentiles->halved_ms = now_ms;
}

void
outcome_percentiles_add (struct outcome_percentiles *percentiles,
                         uint32_t latency_us)
{
  percentiles->buckets[bucket_of (latency_us)]++;
  percentiles->total++;
}

void
outcome_percentiles_refresh (struct outcome_percentiles *percentiles,
                             uint64_t now_ms, bool reduced_load)
{
  if (percentiles->total < PERCENTILE_RESPONSES_MIN)
    return;
  uint64_t cumulative = 0;
  uint32_t previous_p50_us = percentiles->p50_us;
  uint32_t previous_p99_us = percentiles->p99_us;
  percentiles->p50_us = 0;
  for (uint32_t i = 0; i < OUTCOME_BUCKETS; i++)
    {
      cumulative += percentiles->buckets[i];
      if (percentiles->p50_us == 0 && cumulative * 2 >= percentiles->total)
        percentiles->p50_us = bucket_end_us (i);
      if (cumulative * 100 < (uint64_t)percentiles->total * 99)
        continue;
      percentiles->p99_us = bucket_end_us (i);
      break;
    }
  if (reduced_load && percentiles->p50_us < previous_p50_us)
    percentiles->p50_us = previous_p50_us;
  if (reduced_load && percentiles->p99_us < previous_p99_us)
    percentiles->p99_us = previous_p99_us;
  if (percentiles->total < PERCENTILE_HALVE_RESPONSES_MIN
      || now_ms < percentiles->halved_ms + PERCENTILE_HALF_LIFE_MS)
    return;
  percentiles->halved_ms = now_ms;
  percentiles->total = 0;
  for (uint32_t i = 0; i < OUTCOME_BUCKETS; i++)
    {
      percentiles->buckets[i] /= 2;
      percentiles->total += percentiles->buckets[i];
    }
}

/// A response counts as slow only when it exceeds the limit by a quarter and
/// another 500 us. A version that gets few calls runs with colder caches, and
/// a smaller difference does not matter to callers. Without this margin, most
/// responses would exceed the percentiles where the old version's latency
/// hardly varies.
static bool
is_slower (uint32_t latency_us, uint32_t limit_us)
{
  return latency_us >= (uint64_t)limit_us + limit_us / 4 + 500;
}

struct outcome_counts
outcome_of_call (const struct outcome_percentiles *limits, bool failed,
                 uint32_t latency_us)
{
  struct outcome_counts counts = { .calls = 1, .errors = failed };
  if (failed || limits == NULL || limits->p50_us == 0)
    return counts;
  counts.timed = 1;
  counts.slow50 = is_slower (latency_us, limits->p50_us);
  counts.slow99 = is_slower (latency_us, limits->p99_us);
  return counts;
}
