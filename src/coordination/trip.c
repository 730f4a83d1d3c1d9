/// Owns the table of trips and the test of a node's own evidence.
#include "coordination/trip.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// First and longest interval between broadcasts of one trip; it doubles in
/// between.
#define REPEAT_FIRST_MS 1000
#define REPEAT_MAX_MS 30000

/// Probability of a false alarm at one node and move. Any of thousands of
/// nodes may trip a move; at this value 5,100 nodes together cause less than 1
/// false rollback in 10,000 moves.
#define NODE_FALSE_ALARM 1e-8

/// Half of the weight belongs to the first starting time of the test, the rest
/// is spread over starting times at this interval for four hours.
#define START_INTERVAL_MS 2000
#define STARTS_MAX 7200
#define BLOCK_CALLS 8

/// Largest growth of the evidence, nats per second: low enough that the loss
/// of one target does not count as a fault of the version.
#define GROWTH_MAX_PER_S 10

/* Only failures count here, since latency seen by one node may have local
   causes, and only at several times the old version's rate. */
static const struct seqtest_ratios node_errors
    = { 2.0, { 5, 15, 50, 200, 1000 } };

static bool
name_valid (const char *name)
{
  size_t length = strlen (name);
  if (length == 0 || length > CONFIG_NAME_MAX || name[0] < 'a'
      || name[0] > 'z')
    return false;
  return strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static struct trip *
find (const struct trip_table *table, const char *move)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (strcmp (table->items[i].move, move) == 0)
      return &table->items[i];
  return NULL;
}

static enum status
grow (struct trip_table *table)
{
  if (table->count >= TRIP_MAX)
    return status_set (STATUS_TOO_LARGE, "more than %d trips", TRIP_MAX);
  if (table->count < table->capacity)
    return STATUS_OK;
  uint32_t capacity = table->capacity == 0 ? 8 : table->capacity * 2;
  struct trip *items = realloc (table->items, capacity * sizeof *items);
  if (items == NULL)
    return status_set (STATUS_NO_MEMORY, "trip table: no memory");
  table->items = items;
  table->capacity = capacity;
  return STATUS_OK;
}

void
trip_table_init (struct trip_table *table)
{
  memset (table, 0, sizeof *table);
}

void
trip_table_finish (struct trip_table *table)
{
  free (table->items);
  memset (table, 0, sizeof *table);
}

enum status
trip_add (struct trip_table *table, const char *move, const char *reason,
          bool repeats, uint64_t now_ms, bool *added)
{
  *added = false;
  if (!name_valid (move))
    return status_set (STATUS_INVALID, "trip: invalid name of a move");
  struct trip *known = find (table, move);
  if (known != NULL)
    {
      if (repeats && !known->repeats)
        known->due_ms = now_ms;
      known->repeats |= repeats;
      return STATUS_OK;
    }
  enum status status = grow (table);
  if (status != STATUS_OK)
    return status;
  struct trip *trip = &table->items[table->count++];
  memset (trip, 0, sizeof *trip);
  snprintf (trip->move, sizeof trip->move, "%s", move);
  snprintf (trip->reason, sizeof trip->reason, "%s", reason);
  trip->repeats = repeats;
  trip->due_ms = now_ms;
  *added = true;
  return STATUS_OK;
}

const struct trip *
trip_find (const struct trip_table *table, const char *move)
{
  return find (table, move);
}

void
trip_mark_recorded (struct trip_table *table, const struct config *config)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct config_move *move
          = config_find_move (config, table->items[i].move);
      table->items[i].recorded |= move != NULL && move->phase != MOVE_RUNNING;
    }
}

void
trip_broadcast_due (struct trip_table *table, uint64_t now_ms,
                    void (*send) (void *arg, const struct trip *trip),
                    void *arg)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      struct trip *trip = &table->items[i];
      if (trip->recorded || !trip->repeats || now_ms < trip->due_ms)
        continue;
      uint64_t interval = REPEAT_FIRST_MS;
      for (uint32_t k = 0; k < trip->broadcasts && interval < REPEAT_MAX_MS;
           k++)
        interval *= 2;
      trip->due_ms
          = now_ms + (interval < REPEAT_MAX_MS ? interval : REPEAT_MAX_MS);
      trip->broadcasts++;
      send (arg, trip);
    }
}

void
trip_watch_init (struct trip_watch *watch, uint64_t now_ms)
{
  memset (watch, 0, sizeof *watch);
  seqtest_init (&watch->test);
  seqtest_start (&watch->test, 0.5);
  watch->started_ms = now_ms;
}

void
trip_watch_count (struct trip_watch *watch, bool new_version, bool failed)
{
  struct seqtest_block *block = &watch->block;
  uint32_t *calls = new_version ? &block->new_calls : &block->old_calls;
  if (*calls == UINT32_MAX)
    return;
  ++*calls;
  if (new_version)
    block->new_events += failed;
  else
    block->old_events += failed;
}

void
trip_watch_discard_block (struct trip_watch *watch)
{
  memset (&watch->block, 0, sizeof watch->block);
}

bool
trip_watch_check (struct trip_watch *watch, uint64_t now_ms)
{
  struct seqtest_block *block = &watch->block;
  if (block->new_calls > 0 && block->old_calls > 0
      && (uint64_t)block->new_calls + block->old_calls >= BLOCK_CALLS)
    {
      double log_ratios[SEQTEST_RATIOS];
      seqtest_log_ratios (&node_errors, block, log_ratios);
      seqtest_update (&watch->test, log_ratios, now_ms, GROWTH_MAX_PER_S);
      memset (block, 0, sizeof *block);
    }
  bool significant = seqtest_value (&watch->test) * NODE_FALSE_ALARM >= 1;
  if (now_ms >= watch->started_ms + START_INTERVAL_MS
      && watch->starts < STARTS_MAX)
    {
      watch->started_ms = now_ms;
      watch->starts++;
      seqtest_start (&watch->test, 0.5 / STARTS_MAX);
    }
  return significant;
}
