#include "protocol/quota_transfer.h"
#include "quota_sim.h"
#include "testing.h"

/// The deployment that the limits are meant for.
#define NODES 79

/// Requests are counted from here on: before, the nodes have just started.
#define COUNT_FROM_MS 8000
#define FAULT_MS 20000
#define LENGTH_MS 45000

/// A burst of demand, and its factor.
#define BURST_MS 6500
#define BURST_FACTOR 7.5

static const struct
{
  double usual_per_s;
  double burst;
  uint32_t callers;
  uint32_t stride;
} kinds[] = { { 470, 150, NODES, 1 },
              { 60, 20, 12, 3 },
              { 10, 8, 4, 5 },
              { 3, 5, 2, 9 },
              { 2, 4, 1, 1 } };
#define ACCOUNTS (sizeof kinds / sizeof kinds[0])

static struct sim *
new_sim (uint64_t seed)
{
  struct sim *sim = sim_new (NODES, ACCOUNTS, LENGTH_MS, seed);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      sim_set_account (sim, a, kinds[a].usual_per_s, kinds[a].burst);
      sim->accounts[a].callers = kinds[a].callers;
      sim->accounts[a].stride = kinds[a].stride;
    }
  sim->count_from_ms = COUNT_FROM_MS;
  return sim;
}

static void
scale_demand (struct sim *sim, double factor)
{
  for (uint32_t a = 0; a < sim->account_count; a++)
    sim->accounts[a].demand_per_s *= factor;
}

static void
print_result (struct sim *sim, const char *name)
{
  struct sim_sums sums = sim_sums (sim);
  double seconds = (double)(sim->now - SIM_START_MS) / 1000;
  printf ("\n    %-32s wrong %6.3f %% (account %6.3f %%)  excess %7.1f  "
          "messages %5.2f  bytes %5.0f  asked %5.2f %%  lost tables %d",
          name, sums.offered > 0 ? 100 * sums.wrong / sums.offered : 0,
          100 * sums.worst, sim_worst_excess (sim),
          (double)sim->messages / seconds / sim->node_count,
          (double)sim->bytes / seconds / sim->node_count,
          sums.offered > 0 ? 100 * (double)sim->asked / sums.offered : 0,
          (int)sim->lost_tables);
  if (getenv("V")) for (uint32_t a=0;a<sim->account_count && a<5;a++) printf("\n   a%u ideal %lu total %lu rej %lu und %lu",a,sim->accounts[a].ideal,sim->accounts[a].total,sim->accounts[a].rejected,sim->accounts[a].undecided);
}

/* Faults: each function runs the simulation from FAULT_MS on. */

static void
no_fault (struct sim *sim)
{
  sim_run (sim, LENGTH_MS);
}

static void
kill_owners (struct sim *sim)
{
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim_kill (sim, sim_owner_of (sim, a));
  sim_run (sim, LENGTH_MS);
}

static void
freeze_owners (struct sim *sim)
{
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim->nodes[sim_owner_of (sim, a)].frozen_until_ms = sim->now + 5000;
  sim_run (sim, LENGTH_MS);
}

/// Separates the owners with a third of the nodes from the others.
static void
cut_off (struct sim *sim, bool from_store)
{
  for (uint32_t n = 0; n < NODES; n += 3)
    sim->nodes[n].group = 1;
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim->nodes[sim_owner_of (sim, a)].group = 1;
  for (uint32_t n = 0; n < NODES; n++)
    sim->nodes[n].store_away = from_store && sim->nodes[n].group == 1;
  sim_run (sim, LENGTH_MS);
}

static void
cut_owners_off (struct sim *sim)
{
  cut_off (sim, true);
}

static void
cut_links (struct sim *sim)
{
  cut_off (sim, false);
}

static void
restart_owners (struct sim *sim)
{
  uint32_t owners[ACCOUNTS];
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    owners[a] = sim_owner_of (sim, a);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim_kill (sim, owners[a]);
  sim_run (sim, FAULT_MS + 300);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    if (!sim->nodes[owners[a]].alive)
      sim_restart (sim, owners[a]);
  sim_run (sim, LENGTH_MS);
}

/// Takes the owner of an account out some time before the fault, so that it
/// joins then. The table is lost when the earlier owner cannot send it.
static void
join (struct sim *sim, bool with_table)
{
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      uint32_t joining = sim_owner_of (sim, a);
      sim_leave (sim, joining);
      sim_run (sim, FAULT_MS + 2500 * a + 600);
      sim_kill (sim, joining);
      uint32_t earlier = sim_owner_of (sim, a);
      sim_run (sim, FAULT_MS + 2500 * a + 2400);
      sim_restart (sim, joining);
      if (!with_table)
        sim->nodes[earlier].frozen_until_ms = sim->now + 4000;
    }
  sim_run (sim, LENGTH_MS);
}

static void
join_owner (struct sim *sim)
{
  join (sim, true);
}

static void
join_without_table (struct sim *sim)
{
  join (sim, false);
}

static void
kill_all (struct sim *sim)
{
  for (uint32_t n = 0; n < NODES; n++)
    sim_kill (sim, n);
  sim_run (sim, FAULT_MS + 500);
  for (uint32_t n = 0; n < NODES; n++)
    {
      sim_restart (sim, n);
      sim_run (sim, FAULT_MS + 500 + 10 * n);
    }
  sim_run (sim, LENGTH_MS);
}

static void
lose_store (struct sim *sim)
{
  sim->store_down = true;
  sim_run (sim, FAULT_MS + 9000);
  sim->store_down = false;
  sim_run (sim, LENGTH_MS);
}

static void
lose_store_of_third (struct sim *sim)
{
  for (uint32_t n = 0; n < NODES; n += 3)
    sim->nodes[n].store_away = true;
  sim_run (sim, FAULT_MS + 14000);
  for (uint32_t n = 0; n < NODES; n++)
    sim->nodes[n].store_away = false;
  sim_run (sim, LENGTH_MS);
}

/// All demand moves from one zone to another, three times.
static void
move_demand (struct sim *sim)
{
  for (uint32_t k = 0; k < 3; k++)
    {
      for (uint32_t a = 0; a < ACCOUNTS; a++)
        {
          sim->accounts[a].first = (sim->accounts[a].first / 3) * 3 + k;
          sim->accounts[a].stride = 3;
          if (sim->accounts[a].callers > NODES / 3)
            sim->accounts[a].callers = NODES / 3;
        }
      sim_run (sim, FAULT_MS + 6000 * (k + 1));
    }
  sim_run (sim, LENGTH_MS);
}

/// One node after the other, every 1.3 s, down for 1 s; 18 of them.
static void
restart_rolling (struct sim *sim)
{
  for (uint32_t k = 0; k < 18; k++)
    {
      /* The owners are among them. */
      uint32_t n = k < ACCOUNTS ? sim_owner_of (sim, k) : 4 * k;
      uint64_t from = FAULT_MS + 1300 * k;
      if (!sim->nodes[n].alive)
        continue;
      sim_leave (sim, n);
      sim_run (sim, from + 300);
      sim_kill (sim, n);
      sim_run (sim, from + 1300);
      sim_restart (sim, n);
    }
  sim_run (sim, LENGTH_MS);
}

static const struct
{
  const char *name;
  void (*run) (struct sim *sim);
  double wrong_max; ///< share of the requests at usual demand
} faults[] = {
  { "no fault", no_fault, 0.001 },
  { "owners killed", kill_owners, 0.01 },
  { "owners frozen for 5 s", freeze_owners, 0.005 },
  { "owners cut off with a third", cut_owners_off, 0.30 },
  { "the same, with the store", cut_links, 0.30 },
  { "owners restarted empty", restart_owners, 0.01 },
  { "owner moved by a join", join_owner, 0.005 },
  { "the same, table lost", join_without_table, 0.01 },
  { "all killed at once", kill_all, 0.04 },
  { "store unreachable for 9 s", lose_store, 0.005 },
  { "store unreachable for a third", lose_store_of_third, 0.02 },
  { "demand moves between zones", move_demand, 0.03 },
  { "rolling restart", restart_rolling, 0.005 },
};
#define FAULTS (sizeof faults / sizeof faults[0])

static void
test_usual_demand (void)
{
  for (size_t i = 0; i < FAULTS; i++)
    {
      struct sim *sim = new_sim (7);
      sim_run (sim, FAULT_MS);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      struct sim_sums sums = sim_sums (sim);
      CU_ASSERT (sums.wrong <= faults[i].wrong_max * sums.offered);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

/// Every account sends far more than its quota all the time.
static void
test_bound_under_faults (void)
{
  for (size_t i = 0; i < FAULTS; i++)
    {
      struct sim *sim = new_sim (7);
      scale_demand (sim, 3.5);
      sim_run (sim, FAULT_MS);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

/// An account that was idle sends at most its burst beyond the rate.
static void
test_bound_after_idle (void)
{
  for (size_t i = 0; i < FAULTS; i++)
    {
      struct sim *sim = new_sim (7);
      scale_demand (sim, 0.01);
      sim_run (sim, FAULT_MS - 10);
      scale_demand (sim, 400);
      sim_run (sim, FAULT_MS);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

/// One account sends many times its usual rate; the others are not affected,
/// and it gets what its quota allows.
static void
test_burst (void)
{
  struct sim *sim = new_sim (7);
  sim_run (sim, FAULT_MS);
  sim->accounts[1].demand_per_s *= BURST_FACTOR;
  sim_run (sim, FAULT_MS + BURST_MS);
  sim->accounts[1].demand_per_s /= BURST_FACTOR;
  sim_run (sim, LENGTH_MS);
  print_result (sim, "one account sends 7.5 times");
  struct sim_sums sums = sim_sums (sim);
  CU_ASSERT (sums.wrong < 0.005 * sums.offered);
  CU_ASSERT (sim_worst_excess (sim) <= 0);
  sim_free (sim);
}

/// A lowered limit is binding one window after it is known.
static void
test_lowered_limit (void)
{
  struct sim *sim = new_sim (7);
  scale_demand (sim, 3.5);
  sim_run (sim, FAULT_MS);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      sim->accounts[a].limit.rate_per_s /= 4;
      sim->accounts[a].limit.burst /= 4;
    }
  sim_run (sim, LENGTH_MS);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    memset (sim->accounts[a].admitted, 0,
            FAULT_MS * sizeof *sim->accounts[a].admitted);
  print_result (sim, "limit lowered");
  CU_ASSERT (sim_worst_excess (sim) <= 0);
  sim_free (sim);
}

static void
test_many_accounts (void)
{
  static const struct
  {
    const char *name;
    uint32_t nodes;
    uint32_t accounts;
    uint64_t length_ms;
  } sizes[] = { { "82 accounts, 79 nodes", NODES, 82, 20000 },
                { "10,000 accounts, 300 nodes", 300, 10000, 18000 } };
  for (size_t i = 0; i < 2; i++)
    {
      struct sim *sim = sim_new (sizes[i].nodes, sizes[i].accounts,
                                 sizes[i].length_ms, 3);
      for (uint32_t a = 0; a < sizes[i].accounts; a++)
        {
          sim_set_account (sim, a,
                           a < 4    ? 280
                           : i == 0 ? 7.4
                                    : 0.6,
                           a < 4 ? 90 : 6);
          if (a >= 4)
            sim->accounts[a].callers = 1 + a % 4;
        }
      sim->count_from_ms = 12000;
      sim_run (sim, sizes[i].length_ms);
      print_result (sim, sizes[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      CU_ASSERT (sim_sums (sim).wrong < 0.01 * sim_sums (sim).offered);
      sim_free (sim);
    }
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "requests within the quota are rejected", test_usual_demand },
    { "more than the bound is admitted during a fault",
      test_bound_under_faults },
    { "the bursts of two owners add up", test_bound_after_idle },
    { "an account that sends too much gets less than its quota", test_burst },
    { "a lowered limit is not applied", test_lowered_limit },
    { "many accounts need too many messages", test_many_accounts },
  };
  return testing_run ("quota", cases, sizeof cases / sizeof cases[0]);
}
