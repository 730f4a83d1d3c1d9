#include "base/clock.h"
#include "base/counter.h"
#include "base/hash.h"
#include "base/log.h"
#include "node/node_mesh.h"
#include "ports.h"
#include "protocol/record.h"
#include "testing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Six nodes in two zones share one event loop and connect over loopback. The
   fake store is a table in memory that replies from the event loop. */

#define NODES 6

#define ENTRIES_MAX 8

struct fake_entry
{
  char key[128];
  uint8_t value[64];
  size_t size;
};

struct fake_store
{
  struct event_base *base;
  bool outage;
  struct fake_entry entries[ENTRIES_MAX];
  unsigned entry_count;
  uint8_t head[4096];
  size_t head_size;
  unsigned gets;
  unsigned pending;    ///< calls without a reply
  const void *watched; ///< node whose lease grants are counted
  unsigned grants;     ///< leases granted to that node
  const void *reader;  ///< watch of the head whose reads are counted
  unsigned head_reads; ///< reads by that watch
};

struct fake_call
{
  struct fake_store *store;
  const char *key; ///< of a get, NULL otherwise
  bool list;
  void (*done) (void *arg, const struct store_reply *reply);
  void *arg;
};

static const struct fake_entry *
find_entry (const struct fake_store *store, const char *key)
{
  for (unsigned i = 0; i < store->entry_count; i++)
    if (strcmp (store->entries[i].key, key) == 0)
      return &store->entries[i];
  return NULL;
}

static void
reply_to_call (evutil_socket_t fd, short what, void *arg)
{
  struct fake_call *call = arg;
  struct fake_store *store = call->store;
  struct store_reply reply = { .status = STATUS_OK, .revision = 1 };
  struct store_key keys[ENTRIES_MAX];
  bool head = call->key != NULL && strcmp (call->key, RECORD_HEAD_KEY) == 0;
  const struct fake_entry *entry
      = call->key != NULL ? find_entry (store, call->key) : NULL;
  if (store->outage)
    reply.status = STATUS_UNAVAILABLE;
  else if (head && store->head_size > 0)
    {
      reply.data = store->head;
      reply.size = store->head_size;
    }
  else if (entry != NULL)
    {
      reply.data = entry->value;
      reply.size = entry->size;
    }
  else if (call->key != NULL)
    reply.status = STATUS_NOT_FOUND;
  else if (call->list)
    {
      for (unsigned i = 0; i < store->entry_count; i++)
        keys[i] = (struct store_key){ .key = store->entries[i].key,
                                      .revision = 1 };
      reply.keys = keys;
      reply.key_count = store->entry_count;
    }
  store->pending--;
  call->done (call->arg, &reply);
  free ((char *)call->key);
  free (call);
}

static void
enqueue (struct fake_store *store, const char *key, bool list,
         void (*done) (void *arg, const struct store_reply *reply), void *arg)
{
  struct fake_call *call = malloc (sizeof *call);
  *call = (struct fake_call){ store, key != NULL ? strdup (key) : NULL, list,
                              done, arg };
  store->pending++;
  struct timeval soon = { .tv_usec = 2000 };
  event_base_once (store->base, -1, EV_TIMEOUT, reply_to_call, call, &soon);
}

static void
fake_get (void *store, const char *key,
          void (*done) (void *arg, const struct store_reply *reply), void *arg)
{
  struct fake_store *fake = store;
  fake->gets++;
  fake->head_reads += arg == fake->reader;
  enqueue (store, key, false, done, arg);
}

static void
fake_list (void *store, const char *prefix,
           void (*done) (void *arg, const struct store_reply *reply),
           void *arg)
{
  enqueue (store, NULL, true, done, arg);
}

static void
fake_put (void *store, const char *key, uint64_t expected, uint64_t lease,
          const void *data, size_t size,
          void (*done) (void *arg, const struct store_reply *reply), void *arg)
{
  struct fake_store *fake = store;
  if (find_entry (store, key) == NULL && fake->entry_count < ENTRIES_MAX)
    {
      struct fake_entry *entry = &fake->entries[fake->entry_count++];
      snprintf (entry->key, sizeof entry->key, "%s", key);
      memcpy (entry->value, data, size);
      entry->size = size;
    }
  enqueue (store, NULL, false, done, arg);
}

static void
fake_lease_grant (void *store, uint32_t ttl_ms,
                  void (*done) (void *arg, const struct store_reply *reply),
                  void *arg)
{
  struct fake_store *fake = store;
  fake->grants += arg == fake->watched;
  enqueue (store, NULL, false, done, arg);
}

static void
fake_keepalive (void *store, uint64_t lease,
                void (*done) (void *arg, const struct store_reply *reply),
                void *arg)
{
  enqueue (store, NULL, false, done, arg);
}

static const struct store_ops fake_ops = { .get = fake_get,
                                           .put = fake_put,
                                           .list = fake_list,
                                           .lease_grant = fake_lease_grant,
                                           .lease_keepalive = fake_keepalive };

static struct event_base *base;
static struct fake_store store;
static struct node nodes[NODES + 1]; ///< the last one is started late
static uint16_t first_port;
static struct config content; ///< newest accepted content

static void
start_node (int i, size_t seeds)
{
  struct node *node = &nodes[i];
  memset (node, 0, sizeof *node);
  node->base = base;
  node->store_ops = &fake_ops;
  node->store = &store;
  rng_init (&node->rng, 100 + (uint64_t)i);
  struct settings *settings = &node->settings;
  snprintf (settings->mesh, sizeof settings->mesh, "test");
  snprintf (settings->slot, sizeof settings->slot, "slot-%d", i);
  snprintf (settings->availability_zone, sizeof settings->availability_zone,
            "zone-%c", 'a' + i / 3);
  snprintf (settings->region, sizeof settings->region, "region");
  settings->address = 0x7f000001;
  settings->peer_port = (uint16_t)(first_port + i);
  settings->seeds[0] = (struct settings_endpoint){ 0x7f000001, first_port };
  settings->seeds[1]
      = (struct settings_endpoint){ 0x7f000001, (uint16_t)(first_port + 3) };
  settings->seed_count = seeds;
  settings->keys[0].id = 1;
  memset (settings->keys[0].bytes, 7, SETTINGS_KEY_SIZE);
  settings->key_count = 1;
  CU_ASSERT_EQUAL_FATAL (node_mesh_start (node), STATUS_OK);
}

/// Runs the event loop until a condition holds or limit_ms have passed.
/// @return the time that passed, ms; at least limit_ms when it did not hold
static uint64_t
run_until (bool (*condition) (void), uint64_t limit_ms)
{
  uint64_t start_ms = clock_monotonic_ms ();
  for (;;)
    {
      uint64_t passed_ms = clock_monotonic_ms () - start_ms;
      if (passed_ms >= limit_ms || (condition != NULL && condition ()))
        return passed_ms;
      struct timeval slice = { .tv_usec = 10000 };
      event_base_loopexit (base, &slice);
      event_base_dispatch (base);
    }
}

static bool
all_joined (void)
{
  for (int i = 0; i < NODES; i++)
    if (mesh_live_others (nodes[i].mesh) != NODES - 1
        || !config_follower_ready (node_config_follower (&nodes[i])))
      return false;
  return true;
}

static bool
all_hold_newest (void)
{
  for (int i = 0; i < NODES; i++)
    if (config_follower_current (node_config_follower (&nodes[i]))->version
        != content.version)
      return false;
  return true;
}

static bool
node_5_is_dead (void)
{
  uint32_t handle = member_find (node_members (&nodes[0]), nodes[5].slot_id);
  return member_get (node_members (&nodes[0]), handle)->state == MEMBER_DEAD;
}

static bool
node_5_is_ready (void)
{
  return config_follower_ready (node_config_follower (&nodes[5]));
}

/// Creates the next version and offers it to a node, as its store watch would.
static void
publish (int at)
{
  struct config next;
  void *arena = talloc_new (NULL);
  config_copy (&next, &content);
  char name[16];
  snprintf (name, sizeof name, "service-%d", (int)content.version);
  config_set_service (&next, &(struct config_service){ name, "v1" });
  config_rehash (&next);
  next.version = content.version + 1;
  struct config_record record = { .version = next.version,
                                  .previous_hash = content.hash,
                                  .hash = next.hash,
                                  .nonce = 5,
                                  .author = "test",
                                  .note = "" };
  uint8_t *delta, *bytes;
  size_t size;
  config_diff (&content, &next, arena, &delta, &record.delta_size);
  record.delta = delta;
  struct record_head head = { 0 };
  record_head_advance (&head, record.version, &record.hash, record.nonce);
  record_head_encode (&head, arena, &bytes, &size);
  memcpy (store.head, bytes, size);
  store.head_size = size;
  record_version_encode (&record, arena, &bytes, &size);
  CU_ASSERT_EQUAL (
      config_follower_offer_record (node_config_follower (&nodes[at]), &record,
                                    clock_monotonic_ms ()),
      STATUS_OK);
  node_mesh_broadcast (&nodes[at], 1, bytes, size);
  config_finish (&content);
  content = next;
  talloc_free (arena);
}

static void
test_nodes_join_and_get_versions (void)
{
  for (int i = 0; i < NODES; i++)
    start_node (i, 2);
  uint64_t joined_ms = run_until (all_joined, 15000);
  printf (" joined in %d ms;", (int)joined_ms);
  CU_ASSERT (joined_ms < 15000);
  publish (1);
  uint64_t first_ms = run_until (all_hold_newest, 7000);
  for (int i = 0; i < 5; i++)
    publish (4);
  uint64_t second_ms = run_until (all_hold_newest, 7000);
  printf (" versions in force everywhere in %d and %d ms;", (int)first_ms,
          (int)second_ms);
  CU_ASSERT (first_ms < 7000);
  CU_ASSERT (second_ms < 7000);
}

static void
test_restart_without_store (void)
{
  node_mesh_stop (&nodes[5]);
  uint64_t dead_ms = run_until (node_5_is_dead, 15000);
  printf (" dead in %d ms;", (int)dead_ms);
  CU_ASSERT (dead_ms < 9000);
  store.outage = true;
  publish (0);
  start_node (5, 2);
  uint64_t ready_ms = run_until (node_5_is_ready, 20000);
  printf (" ready in %d ms;", (int)ready_ms);
  CU_ASSERT (ready_ms < 7000);
  CU_ASSERT (run_until (all_hold_newest, 7000) < 7000);
  store.outage = false;
}

/// Guards against restarting nodes that take themselves for relays before they
/// know their zone, and each create an entry point with two store writes.
static void
test_restart_writes_no_entry (void)
{
  int non_relay = 0;
  while (non_relay < NODES && node_is_relay (&nodes[non_relay]))
    non_relay++;
  CU_ASSERT_FATAL (non_relay < NODES);
  store.watched = &nodes[non_relay];
  store.grants = 0;
  for (int i = 0; i < 3; i++)
    {
      node_mesh_stop (&nodes[non_relay]);
      start_node (non_relay, 2);
      CU_ASSERT (run_until (all_joined, 15000) < 15000);
    }
  CU_ASSERT_EQUAL (store.grants, 0);
}

static bool
late_node_reads_head (void)
{
  return store.head_reads > 0;
}

static bool
no_call_is_pending (void)
{
  return store.pending == 0;
}

/// Guards against starting nodes that take themselves for relays before they
/// know their zone, and each read the configuration from the store.
static void
test_start_reads_no_head (void)
{
  struct node *late = &nodes[NODES];
  store.outage = true; /* the entry points cannot be listed */
  store.head_reads = 0;
  start_node (NODES, 0);
  CU_ASSERT_EQUAL_FATAL (node_config_start (late), STATUS_OK);
  store.reader = late->config;
  run_until (late_node_reads_head, 2500);
  CU_ASSERT_EQUAL (store.head_reads, 0);
  CU_ASSERT (run_until (late_node_reads_head, 5000) < 5000);
  store.reader = NULL;
  run_until (no_call_is_pending, 1000);
  node_config_stop (late);
  node_mesh_stop (late);
  store.outage = false;
}

static bool
late_node_is_ready (void)
{
  return config_follower_ready (node_config_follower (&nodes[NODES]));
}

static uint64_t
counter_value (const char *name)
{
  const struct counter *counter = counter_first ();
  while (counter != NULL && strcmp (counter->name, name) != 0)
    counter = counter->next;
  return counter != NULL ? counter->value : 0;
}

static void
test_snapshot_through_entry_point (void)
{
  /* More versions than nodes keep as records, so that a snapshot is needed. */
  for (int i = 0; i < CONFIG_FOLLOWER_HISTORY + 6; i++)
    {
      publish (0);
      run_until (NULL, 20);
    }
  CU_ASSERT (store.entry_count >= 4);
  uint64_t snapshots = counter_value ("mesh_config_snapshots_sent");
  uint64_t lists = counter_value ("mesh_entry_lists");
  /* The slot is new to the other nodes, so that they cannot connect first. */
  start_node (NODES, 0);
  uint64_t ready_ms = run_until (late_node_is_ready, 20000);
  printf (" ready in %d ms;", (int)ready_ms);
  CU_ASSERT (ready_ms < 7000);
  CU_ASSERT_EQUAL (
      config_follower_current (node_config_follower (&nodes[NODES]))->version,
      content.version);
  CU_ASSERT (counter_value ("mesh_config_snapshots_sent") > snapshots);
  CU_ASSERT (counter_value ("mesh_entry_lists") > lists);
  node_mesh_leave (&nodes[NODES]);
  run_until (NULL, 500);
  for (int i = 0; i <= NODES; i++)
    node_mesh_stop (&nodes[i]);
}

static void
test_zone_sums (void)
{
  run_until (NULL, 1000);
  struct node_zone_report zones[4];
  bool found = false;
  for (int i = 0; i < NODES; i++)
    {
      CU_ASSERT_EQUAL (node_mesh_zones (&nodes[i], zones, 4), 2);
      if (zones[0].reported && zones[1].reported && zones[0].reporting == 3
          && zones[1].reporting == 3 && zones[0].lowest == content.version
          && zones[1].lowest == content.version)
        found = true;
    }
  CU_ASSERT (found);
}

static const struct test_case cases[] = {
  { "nodes do not find each other or miss versions",
    test_nodes_join_and_get_versions },
  { "a restarted node does not become ready without the store",
    test_restart_without_store },
  { "restarting nodes list themselves before they know their zone",
    test_restart_writes_no_entry },
  { "starting nodes read the head before they know their zone",
    test_start_reads_no_head },
  { "versions in force are not summed up for both zones", test_zone_sums },
  { "a node without seeds does not join or get a snapshot",
    test_snapshot_through_entry_point },
};

int
main (void)
{
  log_set_level (getenv ("VERBOSE") != NULL ? LOG_LEVEL_DEBUG
                                            : LOG_LEVEL_ERROR);
  base = event_base_new ();
  first_port = free_ports (NODES + 1);
  store.base = base;
  config_init (&content);
  int code = testing_run ("node_mesh", cases, sizeof cases / sizeof cases[0]);
  config_finish (&content);
  event_base_free (base);
  return code;
}
