/// Counts store calls, bytes and virtual time of claims under load, for the
/// claim log with group commit and, as a comparison, for one write per claim.
/// All figures are independent of the speed of the machine.
#include "../test/standin/claim_world.h"

#include <stdio.h>

/// Targets of the design page, summed over the ten partitions.
#define CLAIMS_PER_S 2500
#define PARTITIONS 10
#define WRITES_PER_S_BOUND 200
#define READS_PER_S_BOUND 2000
/// The owner collects claims for 50 ms before it writes them: the median claim
/// waits for at most one such interval, the 99th percentile for at most two.
#define WAIT_MEDIAN_BOUND_MS 50
#define WAIT_P99_BOUND_MS 100
/// Deadline of the route in the example of the design page: a claim that is
/// made when the owner fails must still be granted before it.
#define TAKEOVER_BOUND_MS 2000
#define NODE_MEMORY_BOUND_BYTES (128.0 * 1024 * 1024)
/// Simulated latencies: the store responds within milliseconds, messages
/// between zones take 1 ms.
#define STORE_LATENCY_MS 4
#define MESSAGE_LATENCY_MS 1
#define LOAD_MS (15 * 60 * 1000) /* duration of the load */
#define SINGLE_MS 10000          /* duration of the comparison */
#define RUN_MS 2 /* time that a granted request takes at its target */

/// Distribution of the time from claim to grant.
struct waits
{
  uint32_t counts[4000]; ///< by milliseconds; the last also counts longer
  uint32_t total;
};

struct bench
{
  struct world world;
  uint64_t start_ms[WORLD_NODES][CLAIM_CLIENT_ATTEMPTS];
  struct waits waits;
  uint32_t granted;
  struct
  {
    uint32_t node, attempt;
    uint64_t due_ms;
  } running[4096];
  uint32_t first, last; ///< indexes of the ring buffer of running requests
};

static void
on_answer (struct world *world, uint32_t node, uint32_t attempt,
           enum claim_verdict verdict, const struct claim_record *outcome)
{
  struct bench *bench = world->arg;
  if (verdict != CLAIM_VERDICT_GRANTED)
    return;
  uint64_t wait = world->now_ms - bench->start_ms[node][attempt];
  bench->waits.counts[wait < 4000 ? wait : 3999]++;
  bench->waits.total++;
  bench->granted++;
  uint32_t index = bench->last++ % 4096;
  bench->running[index].node = node;
  bench->running[index].attempt = attempt;
  bench->running[index].due_ms = world->now_ms + RUN_MS;
}

static uint32_t
percentile_ms (const struct waits *waits, double share)
{
  uint32_t seen = 0;
  for (uint32_t i = 0; i < 4000; i++)
    {
      seen += waits->counts[i];
      if (seen >= waits->total * share)
        return i;
    }
  return 4000;
}

/// Prints a figure with its upper bound.
static void
print (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.2f %s %.0f %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

/// Prints a figure without a bound; CI does not check it.
static void
print_info (const char *name, double value, const char *unit)
{
  printf ("%s %.2f %s\n", name, value, unit);
}

/// Starts a claim at a node.
static void
start_claim (struct bench *bench, uint32_t node, uint64_t number)
{
  struct world *world = &bench->world;
  char key[64];
  uint32_t attempt;
  snprintf (key, sizeof key, "%llu-%020llu",
            (unsigned long long)(WORLD_WALL_MS + world->now_ms) / 1000,
            (unsigned long long)number);
  if (claim_client_begin (&world->nodes[node].client, key, 5000, world->now_ms,
                          world_wall_ms (&world->nodes[node]), &attempt)
      == STATUS_OK)
    bench->start_ms[node][attempt] = world->now_ms;
}

/// Reports the outcomes of the requests whose run time is over.
static void
finish_requests (struct bench *bench)
{
  struct world *world = &bench->world;
  uint8_t body[100] = { 0 };
  struct claim_record outcome = { .status = 201,
                                  .body = body,
                                  .body_size = sizeof body,
                                  .body_complete = true };
  while (bench->first != bench->last
         && bench->running[bench->first % 4096].due_ms <= world->now_ms)
    {
      uint32_t index = bench->first++ % 4096;
      claim_client_end (&world->nodes[bench->running[index].node].client,
                        bench->running[index].attempt, CLAIM_RECORD_OUTCOME,
                        &outcome, world->now_ms);
    }
}

/// Makes claims at the rate of one partition.
/// @param time_ms  duration
static void
load (struct bench *bench, uint64_t time_ms)
{
  static uint64_t number;
  uint64_t per_s = CLAIMS_PER_S / PARTITIONS;
  uint64_t accumulated = 0;
  struct rng *rng = &bench->world.nodes[0].rng;
  for (uint64_t t = 0; t < time_ms; t++)
    {
      world_step (&bench->world, 1);
      /* Random arrivals: per_s claims per second on average. */
      accumulated += rng_below (rng, 2 * per_s + 1);
      for (; accumulated >= 1000; accumulated -= 1000, number++)
        start_claim (bench, 1 + number % 2, number);
      finish_requests (bench);
    }
}

static uint64_t
sum_writes (const struct fake_store *store)
{
  return store->counts[FAKE_PUT] + store->counts[FAKE_REMOVE];
}

static uint64_t
sum_reads (const struct fake_store *store)
{
  return store->counts[FAKE_GET] + store->counts[FAKE_LIST];
}

static uint64_t
stored_bytes (const struct fake_store *store)
{
  uint64_t bytes = 0;
  for (size_t i = 0; i < store->entry_count; i++)
    if (store->entries[i].key != NULL)
      bytes += store->entries[i].size;
  return bytes;
}

static void
measure_load (struct bench *bench)
{
  struct fake_store *store = &bench->world.store;
  load (bench, 60000); /* warm-up: chunks are written, the ring has wrapped */
  uint64_t writes = sum_writes (store);
  uint64_t reads = sum_reads (store);
  uint32_t granted = bench->granted;
  bench->waits = (struct waits){ 0 };
  load (bench, LOAD_MS);
  double seconds = LOAD_MS / 1000.0;
  double claims = bench->granted - granted;
  print_info ("claim_load", claims / seconds * PARTITIONS, "claims_per_s");
  print ("claim_store_writes",
         (double)(sum_writes (store) - writes) / seconds * PARTITIONS, "per_s",
         WRITES_PER_S_BOUND);
  print ("claim_store_reads",
         (double)(sum_reads (store) - reads) / seconds * PARTITIONS, "per_s",
         READS_PER_S_BOUND);
  print ("claim_wait_median", percentile_ms (&bench->waits, 0.5), "ms",
         WAIT_MEDIAN_BOUND_MS);
  print ("claim_wait_p99", percentile_ms (&bench->waits, 0.99), "ms",
         WAIT_P99_BOUND_MS);
  const struct claim_table *table = &bench->world.nodes[0].owner.log.table;
  print_info ("claim_store_bytes", (double)stored_bytes (store) / table->count,
              "bytes_per_claim");
  print_info ("claim_memory_bytes",
              (double)claim_table_bytes (table) / table->count,
              "bytes_per_claim");
  print ("claim_owner_memory", (double)claim_table_bytes (table), "bytes",
         NODE_MEMORY_BOUND_BYTES);
}

/// Claims that are store keys of their own: each is created, then overwritten
/// with the outcome.
struct single
{
  struct fake_store store;
  struct waits waits;
  struct single_claim
  {
    struct single *single;
    uint64_t start_ms;
    uint64_t finish_ms; ///< 0: not granted yet
    uint64_t revision;
  } claims[4096];
};

static void
on_single (void *arg, const struct store_reply *reply)
{
  struct single_claim *claim = arg;
  struct single *single = claim->single;
  if (reply->status != STATUS_OK || claim->finish_ms != 0)
    return;
  uint64_t now_ms = single->store.now_ms + MESSAGE_LATENCY_MS;
  single->waits.counts[now_ms - claim->start_ms]++;
  single->waits.total++;
  claim->revision = reply->revision;
  claim->finish_ms = now_ms + RUN_MS;
}

/// Measures the same load with one key per claim, for comparison.
static void
measure_single_writes (void)
{
  struct single *single = calloc (1, sizeof *single);
  assert (single != NULL);
  struct rng rng;
  rng_init (&rng, 11);
  fake_store_init (&single->store);
  single->store.latency_ms = STORE_LATENCY_MS;
  uint64_t per_s = CLAIMS_PER_S / PARTITIONS;
  uint64_t accumulated = 0;
  uint32_t count = 0, finished = 0;
  uint8_t value[140] = { 0 };
  char key[64];
  for (uint64_t now = 1; now <= SINGLE_MS; now++)
    {
      fake_store_advance (&single->store, now);
      accumulated += rng_below (&rng, 2 * per_s + 1);
      for (; accumulated >= 1000 && count < 4096; accumulated -= 1000, count++)
        {
          single->claims[count].single = single;
          single->claims[count].start_ms = now - MESSAGE_LATENCY_MS;
          snprintf (key, sizeof key, "claims/k/%u", count);
          fake_store_ops.put (&single->store, key, 0, 0, value, 40, on_single,
                              &single->claims[count]);
        }
      for (; finished < count && single->claims[finished].finish_ms != 0
             && single->claims[finished].finish_ms <= now;
           finished++)
        {
          snprintf (key, sizeof key, "claims/k/%u", finished);
          fake_store_ops.put (
              &single->store, key, single->claims[finished].revision, 0, value,
              sizeof value, on_single, &single->claims[finished]);
        }
    }
  double seconds = SINGLE_MS / 1000.0;
  print_info ("claim_single_load", count / seconds * PARTITIONS,
              "claims_per_s");
  print_info ("claim_single_store_writes",
              (double)sum_writes (&single->store) / seconds * PARTITIONS,
              "per_s");
  print_info ("claim_single_wait_median", percentile_ms (&single->waits, 0.5),
              "ms");
  print_info ("claim_single_wait_p99", percentile_ms (&single->waits, 0.99),
              "ms");
  fake_store_finish (&single->store);
  free (single);
}

/// Measures the takeover by another node after the owner of 15 minutes of
/// claims has failed.
static void
measure_takeover (struct bench *bench)
{
  struct world *world = &bench->world;
  uint64_t reads = sum_reads (&world->store);
  uint64_t failure_ms = world->now_ms;
  uint32_t granted = bench->granted;
  world->nodes[0].paused_until_ms = UINT64_MAX;
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    world->nodes[i].assumed_owner = 2;
  while (bench->granted == granted && world->now_ms < failure_ms + 60000)
    load (bench, 1);
  uint64_t takeover_ms = world->now_ms - failure_ms;
  const struct claim_table *table = &world->nodes[2].owner.log.table;
  print_info ("claim_takeover_claims", table->count, "claims");
  print ("claim_takeover_reads", (double)(sum_reads (&world->store) - reads),
         "reads", READS_PER_S_BOUND);
  print ("claim_takeover_time", (double)takeover_ms, "ms", TAKEOVER_BOUND_MS);
}

int
main (void)
{
  struct bench *bench = calloc (1, sizeof *bench);
  assert (bench != NULL);
  struct world *world = &bench->world;
  world->window_s = 900;
  world->latency_ms = MESSAGE_LATENCY_MS;
  world->on_answer = on_answer;
  world->arg = bench;
  world_init (world, 11);
  world->store.latency_ms = STORE_LATENCY_MS;
  measure_load (bench);
  measure_takeover (bench);
  measure_single_writes ();
  world_finish (world);
  free (bench);
  return 0;
}
