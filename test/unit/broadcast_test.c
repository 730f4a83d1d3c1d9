#include "mesh_sim.h"
#include "testing.h"

static unsigned
count_reached (const struct sim *sim)
{
  unsigned count = 0;
  for (unsigned i = 0; i < sim->count; i++)
    count += sim->nodes[i].up && sim->nodes[i].delivered > 0;
  return count;
}

static unsigned
count_delivered_twice (const struct sim *sim)
{
  unsigned count = 0;
  for (unsigned i = 0; i < sim->count; i++)
    count += sim->nodes[i].delivered > 1;
  return count;
}

/// Broadcasts from a node to all zones and runs the simulation for wait_ms.
static void
broadcast (struct sim *sim, unsigned from, unsigned kind, uint64_t wait_ms)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim->nodes[i].delivered = 0;
  broadcast_start (&sim->nodes[from].broadcaster, kind,
                   (const uint8_t *)"trip", 4, false, sim->now_ms);
  sim_run (sim, wait_ms);
}

static void
test_reaches_all_in_three_hops (void)
{
  struct sim sim;
  sim_init (&sim, 510, 1, 1);
  sim_start_settled (&sim);
  sim.delay_ms = 0;
  broadcast (&sim, 17, BROADCAST_KIND_TRIP, 20);
  CU_ASSERT_EQUAL (count_reached (&sim), 509);
  CU_ASSERT_EQUAL (count_delivered_twice (&sim), 0);
  unsigned hops = 0;
  for (unsigned i = 0; i < sim.count; i++)
    if (sim.nodes[i].hops > hops)
      hops = sim.nodes[i].hops;
  CU_ASSERT_EQUAL (hops, 3);
  sim_finish (&sim);
}

static void
test_crosses_zones (void)
{
  struct sim sim;
  sim_init (&sim, 100, 10, 2);
  sim_start_settled (&sim);
  for (unsigned from = 0; from < 20; from++)
    {
      broadcast (&sim, from, BROADCAST_KIND_TRIP, 1500);
      CU_ASSERT_EQUAL (count_reached (&sim), 99);
      CU_ASSERT_EQUAL (count_delivered_twice (&sim), 0);
    }
  sim_finish (&sim);
}

static void
test_reaches_all_despite_message_loss (void)
{
  struct sim sim;
  sim_init (&sim, 200, 4, 3);
  sim_start_settled (&sim);
  sim.drop_permille = 50;
  sim.duplicate_permille = 50;
  sim.delay_ms = 100;
  for (unsigned from = 0; from < 10; from++)
    {
      broadcast (&sim, from, BROADCAST_KIND_TRIP, 4000);
      CU_ASSERT_EQUAL (count_reached (&sim), 199);
      CU_ASSERT_EQUAL (count_delivered_twice (&sim), 0);
    }
  sim_finish (&sim);
}

static void
test_reaches_all_despite_undetected_deaths (void)
{
  struct sim sim;
  sim_init (&sim, 200, 2, 4);
  sim_start_settled (&sim);
  sim_run (&sim, 200);
  /* A third of the members fails; no other member has detected it yet. */
  for (unsigned i = 1; i < 200; i += 3)
    sim_kill (&sim, i, true);
  broadcast (&sim, 0, BROADCAST_KIND_TRIP, 3000);
  printf (" %u of 132 reached;", count_reached (&sim));
  CU_ASSERT_EQUAL (count_reached (&sim), 132);
  sim_finish (&sim);
}

static void
test_reaches_all_despite_dead_first_relays (void)
{
  struct sim sim;
  sim_init (&sim, 60, 3, 5);
  sim_start_settled (&sim);
  sim_run (&sim, 200);
  const struct ring *ring = &sim.nodes[1].m.ring;
  for (uint32_t i = 0; i < ring->zone_count; i++)
    sim_kill (&sim, sim_find (&sim, ring->zones[i].relays[0])->index, true);
  unsigned from = sim.nodes[1].up ? 1 : 4;
  broadcast (&sim, from, BROADCAST_KIND_TRIP, 3000);
  CU_ASSERT_EQUAL (count_reached (&sim), 56);
  sim_finish (&sim);
}

static void
test_reaches_most_despite_differing_views (void)
{
  struct sim sim;
  sim_init (&sim, 60, 1, 6);
  sim_start_settled (&sim);
  /* Each node considers some live members dead. */
  for (unsigned i = 0; i < sim.count; i++)
    for (unsigned j = 0; j < 4; j++)
      {
        struct member record = sim.nodes[(i * 7 + j * 13 + 1) % 60].record;
        record.state = MEMBER_DEAD;
        if (record.slot_id != sim.nodes[i].record.slot_id)
          membership_handle_events (&sim.nodes[i].m, &record, 1, NULL,
                                    sim.now_ms);
      }
  unsigned total = 0;
  for (unsigned from = 0; from < 10; from++)
    {
      broadcast (&sim, from, BROADCAST_KIND_TRIP, 100);
      total += count_reached (&sim);
      CU_ASSERT_EQUAL (count_delivered_twice (&sim), 0);
    }
  printf (" %u of 590 reached;", total);
  /* A member cannot be reached if all nodes that might forward to it consider
     it dead. */
  CU_ASSERT (total >= 560);
  sim_finish (&sim);
}

static void
test_duplicates_do_not_multiply (void)
{
  struct sim sim;
  sim_init (&sim, 100, 1, 7);
  sim_start_settled (&sim);
  sim_run (&sim, 100);
  sim.duplicate_permille = 1000;
  broadcast (&sim, 0, BROADCAST_KIND_TRIP, 50);
  CU_ASSERT_EQUAL (sim.sent[MESSAGE_BROADCAST], 99);
  CU_ASSERT_EQUAL (sim.sent[MESSAGE_BROADCAST_ACK], 198);
  CU_ASSERT_EQUAL (count_delivered_twice (&sim), 0);
  sim_finish (&sim);
}

static void
test_size_limit (void)
{
  struct sim sim;
  sim_init (&sim, 2, 1, 8);
  sim_start_settled (&sim);
  uint8_t *large = calloc (1, BROADCAST_BODY_MAX + 1);
  CU_ASSERT_EQUAL (broadcast_start (&sim.nodes[0].broadcaster,
                                    BROADCAST_KIND_TRIP, large,
                                    BROADCAST_BODY_MAX + 1, false, sim.now_ms),
                   STATUS_TOO_LARGE);
  CU_ASSERT_EQUAL (broadcast_start (&sim.nodes[0].broadcaster,
                                    BROADCAST_KIND_TRIP, large,
                                    BROADCAST_BODY_MAX, false, sim.now_ms),
                   STATUS_OK);
  free (large);
  sim_finish (&sim);
}

static const struct test_case cases[] = {
  { "a broadcast needs more than 3 hops for 510",
    test_reaches_all_in_three_hops },
  { "a broadcast stays in its zone", test_crosses_zones },
  { "members are not reached when messages are lost",
    test_reaches_all_despite_message_loss },
  { "members are not reached because of undetected deaths",
    test_reaches_all_despite_undetected_deaths },
  { "a zone is not reached when its first relay is dead",
    test_reaches_all_despite_dead_first_relays },
  { "members are not reached because views differ",
    test_reaches_most_despite_differing_views },
  { "duplicate messages are forwarded again",
    test_duplicates_do_not_multiply },
  { "a body above the size limit is accepted", test_size_limit },
};

int
main (void)
{
  return testing_run ("broadcast", cases, sizeof cases / sizeof cases[0]);
}
