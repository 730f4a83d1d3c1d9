/// Runs the claims of two nodes on one event loop, with a fake store on the
/// real clock. Peers and membership are replaced by functions of this file.
#include "../standin/fake_store.h"
#include "base/clock.h"
#include "node/node.h"
#include "testing.h"

#include <stdio.h>
#include <talloc.h>

#define NODES 2

struct peers
{
  struct node *node;
  struct
  {
    void (*handler) (void *arg, uint64_t from_slot, const uint8_t *body,
                     size_t size);
    void *arg;
  } types[PEER_MESSAGE_TYPES];
};

struct message
{
  uint64_t from, to;
  unsigned type;
  size_t size;
  uint8_t body[1024];
};

static struct event_base *base;
static struct fake_store store;
static struct node nodes[NODES];
static struct peers peers[NODES];
static uint64_t owner_slot;
static struct message messages[256];
static size_t message_count;
static int results[8];
static size_t result_count;
static char last_body[16];

struct peers *
node_peers (struct node *node)
{
  return &peers[node->slot_id - 1];
}

uint64_t
node_role_owner (const struct node *node, const char *role)
{
  return owner_slot;
}

void
peer_register_handler (struct peers *to, unsigned type,
                       void (*handler) (void *arg, uint64_t from_slot,
                                        const uint8_t *body, size_t size),
                       void *arg)
{
  to->types[type].handler = handler;
  to->types[type].arg = arg;
}

enum status
peer_send (struct peers *from, uint64_t slot_id, unsigned type,
           const uint8_t *body, size_t size)
{
  CU_ASSERT_FATAL (message_count < 256 && size <= 1024);
  struct message *message = &messages[message_count++];
  *message
      = (struct message){ from->node->slot_id, slot_id, type, size, { 0 } };
  memcpy (message->body, body, size);
  return STATUS_OK;
}

static void
on_done (void *arg, struct node_claim *claim, enum claim_result result,
         const struct claim_outcome *outcome)
{
  results[result_count++] = (int)result;
  /* Allowed, but without effect, because the claim has ended. */
  if (result == CLAIM_KEY_REFUSED && result_count > 1)
    node_claim_finish (claim, false, NULL);
  if (outcome != NULL && outcome->body_size < sizeof last_body)
    memcpy (last_body, outcome->body, outcome->body_size);
}

/// Runs the event loop, the store and the delivery of messages.
static void
run (int time_ms)
{
  uint64_t end_ms = clock_monotonic_ms () + (uint64_t)time_ms;
  while (clock_monotonic_ms () < end_ms)
    {
      struct timeval step = { 0, 2000 };
      event_base_loopexit (base, &step);
      event_base_dispatch (base);
      fake_store_advance (&store, clock_monotonic_ms ());
      size_t count = message_count;
      static struct message due[256];
      memcpy (due, messages, count * sizeof due[0]);
      message_count = 0;
      for (size_t i = 0; i < count; i++)
        {
          struct peers *to = &peers[due[i].to - 1];
          to->types[due[i].type].handler (to->types[due[i].type].arg,
                                          due[i].from, due[i].body,
                                          due[i].size);
        }
    }
}

static void
setup (void)
{
  base = event_base_new ();
  fake_store_init (&store);
  store.now_ms = clock_monotonic_ms ();
  message_count = 0;
  result_count = 0;
  owner_slot = 1;
  for (int i = 0; i < NODES; i++)
    {
      nodes[i] = (struct node){ .base = base,
                                .slot_id = (uint64_t)i + 1,
                                .store_ops = &fake_store_ops,
                                .store = &store };
      nodes[i].settings.claim_partitions = 10;
      nodes[i].settings.claim_window_s = 900;
      rng_init_system (&nodes[i].rng);
      peers[i] = (struct peers){ .node = &nodes[i] };
      CU_ASSERT_EQUAL (node_claims_start (&nodes[i]), STATUS_OK);
    }
}

static void
teardown (void)
{
  /* The claims and their partitions are 2 blocks; no attempt may be left. */
  for (int i = 0; i < NODES; i++)
    {
      CU_ASSERT_EQUAL (talloc_total_blocks (nodes[i].claims), 2);
      node_claims_stop (&nodes[i]);
    }
  fake_store_advance (&store, store.now_ms + 5000);
  fake_store_finish (&store);
  event_base_free (base);
}

static struct node_claim *
begin (int node, const char *suffix, uint32_t deadline_ms)
{
  char key[64];
  snprintf (key, sizeof key, "%llu-%s",
            (unsigned long long)clock_wall_ms () / 1000 / 60 * 60, suffix);
  return node_claim_begin (&nodes[node], key, deadline_ms, on_done, NULL);
}

static void
test_local_and_remote (void)
{
  setup ();
  for (int node = 0; node < NODES; node++)
    {
      struct node_claim *claim
          = begin (node, node == 0 ? "localkey" : "otherkey", 2000);
      CU_ASSERT_EQUAL (result_count, (size_t)node);
      run (300);
      CU_ASSERT_EQUAL (result_count, (size_t)node + 1);
      CU_ASSERT_EQUAL (results[node], CLAIM_GRANTED);
      struct claim_outcome outcome = { .status = 201,
                                       .body = (const uint8_t *)"sealed",
                                       .body_size = 6,
                                       .body_complete = true };
      node_claim_finish (claim, false, &outcome);
    }
  run (200);
  begin (1, "localkey", 2000);
  run (200);
  CU_ASSERT_EQUAL (results[2], CLAIM_RECORDED);
  CU_ASSERT_STRING_EQUAL (last_body, "sealed");
  teardown ();
}

static void
test_owner_changes_during_a_claim (void)
{
  setup ();
  /* When the claim arrives at node 2, node 1 has become the owner. */
  owner_slot = 2;
  struct node_claim *claim = begin (0, "movedkey", 3000);
  run (5);
  owner_slot = 1;
  run (900);
  CU_ASSERT_EQUAL (result_count, 1);
  CU_ASSERT_EQUAL (results[0], CLAIM_GRANTED);
  node_claim_finish (claim, true, NULL);
  run (200);
  begin (1, "movedkey", 1000);
  run (200);
  CU_ASSERT_EQUAL (results[1], CLAIM_RESULT_OUTCOME_UNKNOWN);
  teardown ();
}

static void
test_refusals_come_from_the_loop (void)
{
  setup ();
  node_claim_begin (&nodes[0], "not a key", 1000, on_done, NULL);
  CU_ASSERT_EQUAL (result_count, 0);
  run (10);
  CU_ASSERT (result_count == 1 && results[0] == CLAIM_KEY_REFUSED);
  node_claim_begin (&nodes[0], "not a key", 1000, on_done, NULL);
  run (10);
  result_count = 1;
  struct node_claim *abandoned = begin (0, "abandoned", 1000);
  node_claim_finish (abandoned, false, NULL);
  struct node_claim *second = begin (1, "abandoned", 2000);
  run (500);
  CU_ASSERT (result_count == 2 && results[1] == CLAIM_GRANTED);
  node_claim_finish (second, false, NULL);
  teardown ();
}

static void
test_store_outage_times_out (void)
{
  setup ();
  store.outage = true;
  begin (1, "outagekey", 300);
  run (500);
  CU_ASSERT (result_count == 1 && results[0] == CLAIM_TIMED_OUT);
  /* The nodes are stopped with store operations in flight. */
  teardown ();
}

static const struct test_case cases[] = {
  { "a claim works on the owner only, or remotely only",
    test_local_and_remote },
  { "a claim is lost when the owner changes",
    test_owner_changes_during_a_claim },
  { "a refusal calls back before begin returns",
    test_refusals_come_from_the_loop },
  { "a claim outlives its deadline while the store is out",
    test_store_outage_times_out },
};

int
main (void)
{
  return testing_run ("node claims", cases, sizeof cases / sizeof cases[0]);
}
