#include "coordination/backoff.h"
#include "coordination/rendezvous.h"
#include "mesh_sim.h"
#include "testing.h"

static void
reset_counts (struct sim *sim)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim->nodes[i].bytes = sim->nodes[i].messages = 0;
}

static uint64_t
largest_bytes (const struct sim *sim)
{
  uint64_t largest = 0;
  for (unsigned i = 0; i < sim->count; i++)
    if (sim->nodes[i].bytes > largest)
      largest = sim->nodes[i].bytes;
  return largest;
}

static uint64_t
mean_bytes (const struct sim *sim)
{
  uint64_t sum = 0;
  for (unsigned i = 0; i < sim->count; i++)
    sum += sim->nodes[i].bytes;
  return sum / sim->count;
}

static void
test_simultaneous_start_converges (void)
{
  struct sim sim;
  sim_init (&sim, 60, 3, 1);
  sim.drop_permille = 20;
  sim.duplicate_permille = 20;
  for (unsigned i = 0; i < sim.count; i++)
    sim_start (&sim, i);
  uint64_t converged_ms = sim_converge (&sim, 60000);
  printf (" 60 nodes joined in %u ms;", (unsigned)converged_ms);
  CU_ASSERT (converged_ms < 30000);
  sim_finish (&sim);
}

static void
test_death_is_detected (void)
{
  struct sim sim;
  sim_init (&sim, 30, 3, 2);
  sim_start_settled (&sim);
  sim_run (&sim, 3000);
  sim_kill (&sim, 7, true);
  uint64_t silent_ms = sim_converge (&sim, 60000);
  sim_kill (&sim, 8, false);
  uint64_t refused_ms = sim_converge (&sim, 60000);
  printf (" failed machine suspected in %u ms, ended process in %u ms;",
          (unsigned)silent_ms, (unsigned)refused_ms);
  /* Up to 1 s to the next heartbeat, 2.5 s to suspicion, 3 s to death. */
  CU_ASSERT (silent_ms < 8000);
  CU_ASSERT (refused_ms < 8000);
  sim_finish (&sim);
}

static void
test_half_fail_and_rejoin (void)
{
  struct sim sim;
  sim_init (&sim, 100, 2, 3);
  sim_start_settled (&sim);
  sim_run (&sim, 3000);
  for (unsigned i = 3; i < 53; i++)
    sim_kill (&sim, i, true);
  uint64_t suspected_ms = sim_converge (&sim, 180000);
  reset_counts (&sim);
  for (unsigned i = 3; i < 53; i++)
    sim_start (&sim, i);
  uint64_t rejoined_ms = sim_converge (&sim, 120000);
  printf (" 50 of 100 suspected in %u ms, rejoined in %u ms, mean %u bytes;",
          (unsigned)suspected_ms, (unsigned)rejoined_ms,
          (unsigned)mean_bytes (&sim));
  CU_ASSERT (suspected_ms < 120000);
  CU_ASSERT (rejoined_ms < 30000);
  sim_finish (&sim);
}

static void
test_lost_zone_is_one_event (void)
{
  struct sim sim;
  sim_init (&sim, 90, 3, 4);
  sim_start_settled (&sim);
  sim_run (&sim, 10000);
  reset_counts (&sim);
  sim_run (&sim, 20000);
  uint64_t idle_bytes = mean_bytes (&sim);
  for (unsigned i = 0; i < sim.count; i += 3)
    sim_kill (&sim, i, true);
  reset_counts (&sim);
  sim_run (&sim, 20000);
  unsigned marked = 0;
  unsigned dead = 0;
  for (unsigned i = 0; i < sim.count; i++)
    if (sim.nodes[i].up)
      {
        marked += !membership_zone_reachable (&sim.nodes[i].m, "cz-central-a");
        for (unsigned j = 0; j < sim.count; j += 3)
          dead += sim_state (&sim, i, j) != MEMBER_ALIVE;
      }
  uint64_t extra_bytes = (mean_bytes (&sim) * 90 / 60) > idle_bytes
                             ? mean_bytes (&sim) * 90 / 60 - idle_bytes
                             : 0;
  printf (" unreachable at %u of 60, %u views of single members changed, %u "
          "extra bytes per node;",
          marked, dead, (unsigned)extra_bytes);
  CU_ASSERT_EQUAL (marked, 60);
  CU_ASSERT_EQUAL (dead, 0);
  /* The limit of 3 KB/s per node over 20 s, which also applies to relays. */
  CU_ASSERT (largest_bytes (&sim) < 60000);
  for (unsigned i = 0; i < sim.count; i += 3)
    sim_start (&sim, i);
  CU_ASSERT (sim_converge (&sim, 60000) < 40000);
  sim_run (&sim, 5000);
  marked = 0;
  for (unsigned i = 0; i < sim.count; i++)
    marked += !membership_zone_reachable (&sim.nodes[i].m, "cz-central-a");
  CU_ASSERT_EQUAL (marked, 0);
  sim_finish (&sim);
}

static void
test_partition_heals (void)
{
  struct sim sim;
  sim_init (&sim, 60, 4, 5);
  sim_start_settled (&sim);
  sim_run (&sim, 5000);
  /* Two zones on each side. During the partition each side loses a member, of
     which one restarts. */
  for (unsigned i = 0; i < sim.count; i++)
    sim.nodes[i].side = i % 4 / 2;
  sim_run (&sim, 30000);
  sim_kill (&sim, 20, false);
  sim_kill (&sim, 23, false);
  sim_run (&sim, 30000);
  sim_start (&sim, 23);
  sim_run (&sim, 60000);
  for (unsigned i = 0; i < sim.count; i++)
    sim.nodes[i].side = 0;
  uint64_t converged_ms = sim_converge (&sim, 120000);
  printf (" healed in %u ms;", (unsigned)converged_ms);
  CU_ASSERT (converged_ms < 30000);
  sim_run (&sim, 10000);
  unsigned marked = 0;
  for (unsigned i = 0; i < sim.count; i++)
    for (char zone = 'a'; sim.nodes[i].up && zone <= 'd'; zone++)
      {
        char name[] = "cz-central-?";
        name[sizeof name - 2] = zone;
        marked += !membership_zone_reachable (&sim.nodes[i].m, name);
      }
  CU_ASSERT_EQUAL (marked, 0);
  sim_finish (&sim);
}

static void
test_partition_within_zone_heals (void)
{
  struct sim sim;
  sim_init (&sim, 24, 1, 6);
  sim_start_settled (&sim);
  sim_run (&sim, 5000);
  for (unsigned i = 0; i < sim.count; i++)
    sim.nodes[i].side = i % 2;
  sim_run (&sim, 90000);
  CU_ASSERT_EQUAL (sim_state (&sim, 0, 1), MEMBER_DEAD);
  sim.no_seeds = true;
  for (unsigned i = 0; i < sim.count; i++)
    sim.nodes[i].side = 0;
  uint64_t converged_ms = sim_converge (&sim, 120000);
  printf (" healed in %u ms;", (unsigned)converged_ms);
  /* Dead members are probed every 5 to 15 s. */
  CU_ASSERT (converged_ms < 40000);
  sim_finish (&sim);
}

static void
test_silent_connection_is_replaced (void)
{
  struct sim sim;
  sim_init (&sim, 12, 1, 7);
  sim_start_settled (&sim);
  sim_run (&sim, 5000);
  uint64_t next;
  ring_successors (&sim.nodes[4].m.ring, sim.nodes[4].record.slot_id, &next,
                   1);
  sim.silent_a = 4;
  sim.silent_b = sim_find (&sim, next)->index;
  uint64_t incarnation = sim.nodes[sim.silent_b].record.incarnation;
  unsigned silent = sim.silent_b;
  sim_run (&sim, 10000);
  CU_ASSERT_EQUAL (sim.nodes[4].replaced, 1);
  CU_ASSERT_EQUAL (sim_wrong_views (&sim), 0);
  /* The member was not suspected, so it did not have to refute. */
  CU_ASSERT_EQUAL (membership_self (&sim.nodes[silent].m)->incarnation,
                   incarnation);
  sim_finish (&sim);
}

static void
test_paused_member_refutes (void)
{
  struct sim sim;
  sim_init (&sim, 20, 2, 8);
  sim_start_settled (&sim);
  sim_run (&sim, 5000);
  sim.nodes[9].paused = true;
  sim_run (&sim, 12000);
  CU_ASSERT_EQUAL (sim_state (&sim, 1, 9), MEMBER_DEAD);
  uint64_t before = membership_self (&sim.nodes[9].m)->incarnation;
  sim.nodes[9].paused = false;
  uint64_t converged_ms = sim_converge (&sim, 60000);
  printf (" alive again in %u ms;", (unsigned)converged_ms);
  CU_ASSERT (converged_ms < 3000);
  CU_ASSERT (membership_self (&sim.nodes[9].m)->incarnation > before);
  sim_finish (&sim);
}

static void
test_restart_without_seeds (void)
{
  struct sim sim;
  sim_init (&sim, 20, 2, 9);
  sim_start_settled (&sim);
  sim_run (&sim, 5000);
  sim_kill (&sim, 6, false);
  sim_run (&sim, 15000);
  CU_ASSERT_EQUAL (sim_state (&sim, 1, 6), MEMBER_DEAD);
  /* Without seeds and store the other members must find the new process. */
  sim.no_seeds = true;
  sim_start (&sim, 6);
  uint64_t converged_ms = sim_converge (&sim, 120000);
  printf (" found in %u ms;", (unsigned)converged_ms);
  CU_ASSERT (converged_ms < 40000);
  sim_finish (&sim);
}

static void
test_incarnation_rises_above_reports (void)
{
  struct sim sim;
  sim_init (&sim, 8, 1, 10);
  sim_start_settled (&sim);
  sim_run (&sim, 3000);
  sim_kill (&sim, 5, false);
  struct member future = sim.nodes[5].record;
  future.incarnation += 1000000000; /* the wall clock was ahead */
  future.state = MEMBER_DEAD;
  for (unsigned i = 0; i < sim.count; i++)
    if (sim.nodes[i].up)
      membership_handle_events (&sim.nodes[i].m, &future, 1, NULL, sim.now_ms);
  sim_start (&sim, 5);
  CU_ASSERT (sim_converge (&sim, 60000) < 10000);
  CU_ASSERT (membership_self (&sim.nodes[5].m)->incarnation
             > future.incarnation);
  sim_finish (&sim);
}

static void
test_leave_is_not_suspected (void)
{
  struct sim sim;
  sim_init (&sim, 20, 2, 11);
  sim_start_settled (&sim);
  sim_run (&sim, 3000);
  membership_leave (&sim.nodes[4].m, sim.now_ms);
  sim_run (&sim, 500);
  sim_kill (&sim, 4, false);
  CU_ASSERT_EQUAL (sim_wrong_views (&sim), 0);
  for (unsigned i = 0; i < sim.count; i++)
    if (sim.nodes[i].up)
      CU_ASSERT_EQUAL (sim_state (&sim, i, 4), MEMBER_LEFT);
  sim_finish (&sim);
}

static void
test_target_change_reaches_all (void)
{
  struct sim sim;
  sim_init (&sim, 40, 4, 12);
  sim_start_settled (&sim);
  sim_run (&sim, 3000);
  membership_set_target (&sim.nodes[3].m, "service-003", "v1", 12,
                         TARGET_DRAINING, sim.now_ms);
  uint64_t start_ms = sim.now_ms;
  unsigned uninformed = 1;
  while (uninformed > 0 && sim.now_ms - start_ms < 3000)
    {
      sim_run (&sim, 50);
      uninformed = 0;
      for (unsigned i = 0; i < sim.count; i++)
        {
          const struct member_table *table = &sim.nodes[i].m.table;
          uint32_t handle = member_find (table, sim.nodes[3].record.slot_id);
          uninformed
              += member_get (table, handle)->target_state != TARGET_DRAINING;
        }
    }
  printf (" known everywhere in %u ms;", (unsigned)(sim.now_ms - start_ms));
  /* A draining target gets no new requests after 3 s. */
  CU_ASSERT_EQUAL (uninformed, 0);
  sim_finish (&sim);
}

static void
test_idle_bytes (void)
{
  struct sim sim;
  sim_init (&sim, 40, 1, 13);
  sim_start_settled (&sim);
  sim_run (&sim, 10000);
  reset_counts (&sim);
  sim_run (&sim, 60000);
  printf (" largest %u B/s;", (unsigned)(largest_bytes (&sim) / 60));
  CU_ASSERT (largest_bytes (&sim) / 60 < 300);
  sim_finish (&sim);
}

static void
test_backoff_and_tokens (void)
{
  struct rng rng;
  rng_init (&rng, 14);
  for (unsigned failures = 1; failures < 40; failures++)
    for (int i = 0; i < 50; i++)
      {
        uint32_t bound = failures > 7 ? 10000 : 100U << (failures - 1);
        CU_ASSERT (backoff_delay_ms (&rng, failures) <= bound);
      }
  struct token_bucket bucket;
  token_bucket_init (&bucket, 4, 4, 0);
  unsigned taken = 0;
  for (uint64_t now_ms = 0; now_ms <= 10000; now_ms += 10)
    taken += token_bucket_take (&bucket, now_ms);
  CU_ASSERT_EQUAL (taken, 44);
}

static void
test_rendezvous_reassigns_only_roles_of_the_dead (void)
{
  struct member_table table;
  member_table_init (&table);
  bool changed;
  for (unsigned i = 1; i <= 100; i++)
    {
      struct member member
          = { .slot_id = hash_placement (&i, sizeof i), .incarnation = 1 };
      member_merge (&table, &member, 0, &changed);
    }
  uint64_t before[100];
  for (unsigned role = 0; role < 100; role++)
    before[role] = rendezvous_owner (&table, role);
  struct member dead = table.items[40];
  dead.state = MEMBER_DEAD;
  member_merge (&table, &dead, 0, &changed);
  for (unsigned role = 0; role < 100; role++)
    if (before[role] != dead.slot_id)
      CU_ASSERT_EQUAL (rendezvous_owner (&table, role), before[role]);
  member_table_finish (&table);
}

static const struct test_case cases[] = {
  { "nodes that start at the same time do not find each other",
    test_simultaneous_start_converges },
  { "a death is detected late or not at all", test_death_is_detected },
  { "half of the members fail and do not rejoin in time",
    test_half_fail_and_rejoin },
  { "a lost zone causes an event per member", test_lost_zone_is_one_event },
  { "the sides of a partition do not merge after it ends",
    test_partition_heals },
  { "a partitioned zone does not merge without seeds",
    test_partition_within_zone_heals },
  { "a silent connection makes its member suspect",
    test_silent_connection_is_replaced },
  { "a paused member stays dead after the pause", test_paused_member_refutes },
  { "a restarted process is not found without seeds",
    test_restart_without_seeds },
  { "an incarnation stays below the one that others report",
    test_incarnation_rises_above_reports },
  { "a departed member is suspected", test_leave_is_not_suspected },
  { "a draining target stays in use", test_target_change_reaches_all },
  { "an idle node exceeds its traffic limit", test_idle_bytes },
  { "backoff delay or token bucket exceeds its bound",
    test_backoff_and_tokens },
  { "a death reassigns roles of live members",
    test_rendezvous_reassigns_only_roles_of_the_dead },
};

int
main (void)
{
  return testing_run ("membership", cases, sizeof cases / sizeof cases[0]);
}
