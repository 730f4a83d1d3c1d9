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
  { "owners killed", kill_owners, 0.03 },
  { "owners frozen for 5 s", freeze_owners, 0.005 },
  { "owners cut off with a third", cut_owners_off, 0.15 },
  { "links cut, store reachable", cut_links, 0.30 },
  { "owners restarted empty", restart_owners, 0.02 },
  { "owner moved by a join", join_owner, 0.002 },
  { "the same, table lost", join_without_table, 0.01 },
  { "all killed at once", kill_all, 0.06 },
  { "store unreachable for 9 s", lose_store, 0.01 },
  { "store unreachable for a third", lose_store_of_third, 0.005 },
  { "demand moves between zones", move_demand, 0.05 },
  { "rolling restart", restart_rolling, 0.01 },
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
      struct sim *sim
          = sim_new (sizes[i].nodes, sizes[i].accounts, sizes[i].length_ms, 3);
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
      CU_ASSERT (sim_sums (sim).wrong < 0.02 * sim_sums (sim).offered);
      sim_free (sim);
    }
}

/* Single decisions */

static const struct quota_limit limit = { 100, 10 };

/// @return an owner since `now`, entitled or not
static struct quota_tenure
make_tenure (bool entitled, uint64_t now)
{
  struct quota_tenure tenure = { 0 };
  struct quota_standing standing = { .first = true, .fresh = true };
  quota_tenure_observe (&tenure, &standing, now - QUOTA_ENTITLED_MS);
  for (uint64_t t = now - QUOTA_ENTITLED_MS; t < now && entitled; t += 500)
    quota_tenure_observe (&tenure, &standing, t);
  quota_tenure_observe (&tenure, &standing,
                        entitled ? now : now - QUOTA_ENTITLED_MS + 500);
  return tenure;
}

static void
test_tenure (void)
{
  static const struct
  {
    uint64_t away_ms; ///< without the store
    bool is_entitled;
  } gaps[] = { { 9000, true }, { QUOTA_GAP_MS + 500, false } };
  struct quota_standing standing = { .first = true, .fresh = true };
  struct quota_tenure tenure = { 0 };
  uint64_t now = 100000;
  uint64_t start = now;
  for (; now < start + QUOTA_ENTITLED_MS; now += 100)
    {
      quota_tenure_observe (&tenure, &standing, now);
      CU_ASSERT (!tenure.entitled);
    }
  quota_tenure_observe (&tenure, &standing, now);
  CU_ASSERT (tenure.entitled);
  for (size_t i = 0; i < 2; i++)
    {
      struct quota_tenure away = tenure;
      standing.fresh = false;
      quota_tenure_observe (&away, &standing, now + 100);
      CU_ASSERT (!quota_tenure_decides (&away, now + 100));
      standing.fresh = true;
      quota_tenure_observe (&away, &standing, now + gaps[i].away_ms);
      CU_ASSERT_EQUAL (away.entitled, gaps[i].is_entitled);
    }
  /* Another node joins: this one goes on for a while, hands over, and does not
     decide again when it is the first one once more. */
  standing.first = false;
  quota_tenure_observe (&tenure, &standing, now + 100);
  CU_ASSERT (quota_tenure_decides (&tenure, now + 100));
  CU_ASSERT (!quota_tenure_hands_over (&tenure, false, now + 100));
  now += 100 + QUOTA_YIELD_MS;
  CU_ASSERT (!quota_tenure_decides (&tenure, now));
  CU_ASSERT (quota_tenure_hands_over (&tenure, false, now));
  quota_tenure_end (&tenure);
  CU_ASSERT (!quota_tenure_hands_over (&tenure, true, now));
  CU_ASSERT (!quota_tenure_accept (&tenure, 0, now));
  standing.first = true;
  quota_tenure_observe (&tenure, &standing, now);
  CU_ASSERT (!tenure.entitled);
  CU_ASSERT (quota_tenure_accept (&tenure, 0, now + QUOTA_GAP_MS));
  CU_ASSERT (tenure.entitled);
}

static struct quota_answer
report_of (struct quota_owner *owner, const struct quota_tenure *tenure,
           uint64_t node, uint64_t sequence, double demand,
           struct quota_part held, uint64_t now)
{
  struct quota_report report = { .node = node,
                                 .process = 1,
                                 .sequence = sequence,
                                 .demand_per_s = demand,
                                 .held = held };
  return quota_owner_report (owner, tenure, &report, now);
}

/// The parts of two nodes stay within the quota while messages are lost, late
/// and repeated.
static void
test_shares (void)
{
  struct quota_owner owner;
  uint64_t now = 100000;
  struct quota_tenure tenure = make_tenure (true, now);
  struct quota_part none = { 0 };
  quota_owner_init (&owner);
  quota_owner_set_limit (&owner, &limit);
  struct quota_answer first
      = report_of (&owner, &tenure, 1, 1, 1000, none, now);
  CU_ASSERT_EQUAL (first.part.rate_ppm, QUOTA_SHARES_PPM);
  struct quota_answer second
      = report_of (&owner, &tenure, 2, 2, 1000, none, now + 200);
  CU_ASSERT_EQUAL (second.part.rate_ppm, 0);
  /* The reduced part counts in full until it is confirmed. */
  struct quota_answer reduced
      = report_of (&owner, &tenure, 1, 3, 1000, first.part, now + 400);
  CU_ASSERT_EQUAL (reduced.part.rate_ppm, QUOTA_SHARES_PPM / 2);
  second = report_of (&owner, &tenure, 2, 4, 1000, none, now + 600);
  CU_ASSERT_EQUAL (second.part.rate_ppm, 0);
  report_of (&owner, &tenure, 1, 6, 1000, reduced.part, now + 800);
  /* A late message does not change what a later one has said. */
  struct quota_answer late
      = report_of (&owner, &tenure, 1, 5, 1, none, now + 900);
  CU_ASSERT_EQUAL (late.verdict, QUOTA_NOT_READY);
  second = report_of (&owner, &tenure, 2, 7, 1000, none, now + 1000);
  CU_ASSERT_EQUAL (second.part.rate_ppm, QUOTA_SHARES_PPM / 2);
  /* A silent node's part is free once it has ended. */
  uint64_t end = now + 800 + QUOTA_SHARE_MS;
  second = report_of (&owner, &tenure, 2, 8, 1000, second.part, end - 1);
  CU_ASSERT_EQUAL (second.part.rate_ppm, QUOTA_SHARES_PPM / 2);
  second = report_of (&owner, &tenure, 2, 9, 1000, second.part, end + 200);
  CU_ASSERT_EQUAL (second.part.rate_ppm, QUOTA_SHARES_PPM);
  quota_owner_finish (&owner);
}

/// A new owner divides only what it knows to be in force.
static void
test_new_owner (void)
{
  struct quota_owner owner;
  uint64_t now = 100000;
  struct quota_tenure tenure = make_tenure (false, now);
  struct quota_part held = { 300000, 400000 };
  struct quota_part none = { 0 };
  uint64_t begin = tenure.ended_ms;
  quota_owner_init (&owner);
  quota_owner_set_limit (&owner, &limit);
  CU_ASSERT_EQUAL (
      report_of (&owner, &tenure, 1, 1, 50, held, begin - 1).verdict,
      QUOTA_NOT_READY);
  /* Its bucket starts empty. */
  struct quota_report asking
      = { .node = 3, .process = 1, .sequence = 1, .pending = 3 };
  CU_ASSERT_EQUAL (quota_owner_report (&owner, &tenure, &asking, begin).tokens,
                   0);
  struct quota_answer answer
      = report_of (&owner, &tenure, 2, 2, 50, none, begin);
  CU_ASSERT_EQUAL (answer.part.rate_ppm, 0);
  answer = report_of (&owner, &tenure, 1, 3, 50, held, begin + 200);
  CU_ASSERT_EQUAL (answer.part.rate_ppm, held.rate_ppm);
  answer = report_of (&owner, &tenure, 2, 4, 50, none, begin + 400);
  CU_ASSERT_EQUAL (answer.part.rate_ppm, 0);
  quota_owner_finish (&owner);
}

static void
test_entry (void)
{
  struct quota_share share;
  struct quota_token token = { 0 };
  struct quota_answer answer
      = { .verdict = QUOTA_DECIDED, .tokens = 4, .part = { 500000, 500000 } };
  uint64_t now = 100000;
  quota_share_init (&share);
  quota_share_set_limit (&share, &limit);
  CU_ASSERT (!quota_share_take (&share, &token, now));
  quota_share_decided (&share, &answer, 1, now, now + 2);
  unsigned taken = 0;
  while (quota_share_take (&share, &token, now + 2))
    taken++;
  CU_ASSERT_EQUAL (taken, 4);
  /* A token comes back once. */
  quota_share_put_back (&share, &token, now + 2);
  quota_share_put_back (&share, &token, now + 2);
  CU_ASSERT (quota_share_take (&share, &token, now + 2));
  CU_ASSERT (!quota_share_take (&share, &token, now + 2));
  /* The rate of the share, until it ends; old tokens return slowly. */
  taken = 0;
  for (uint64_t t = 3; t < QUOTA_SHARE_MS + 5000; t++)
    taken += quota_share_take (&share, &token, now + t);
  CU_ASSERT (taken >= 698 && taken <= 701);
  /* Unused tokens end with the share. */
  quota_share_decided (&share, &answer, 0, now + 20000, now + 20000);
  CU_ASSERT (quota_share_take (&share, &token, now + 19999 + QUOTA_SHARE_MS));
  CU_ASSERT (!quota_share_take (&share, &token, now + 20000 + QUOTA_SHARE_MS));
  quota_share_init (&share);
  quota_share_set_limit (&share, &limit);
  quota_share_decided (&share, &answer, 4, now + 30000, now + 30000);
  for (unsigned i = 0; i < 100; i++)
    {
      token = (struct quota_token){ .taken = true, .taken_ms = now + 20000 };
      quota_share_put_back (&share, &token, now + 30000);
    }
  taken = 0;
  while (quota_share_take (&share, &token, now + 30000))
    taken++;
  CU_ASSERT (taken <= 8);
}

static void
test_local_rate (void)
{
  struct quota_share share;
  uint64_t now = 100000;
  unsigned admitted = 0;
  quota_share_init (&share);
  quota_share_set_limit (&share, &limit);
  CU_ASSERT (!quota_share_take_local (&share, 5, now));
  quota_share_undecided (&share, true, now);
  quota_share_undecided (&share, true, now);
  for (uint64_t t = 0; t < 10000; t++)
    admitted += quota_share_take_local (&share, 5, now + t);
  CU_ASSERT (admitted >= 9 && admitted <= 10);
}

static void
test_messages (void)
{
  static const char *const malformed[] = {
    "",
    "{}",
    "[]",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1}",
    "{\"node\":\"n\",\"process\":1,\"accounts\":[]}",
    "{\"node\":\"n\",\"process\":-1,\"sequence\":1,\"accounts\":[]}",
    "{\"node\":1,\"process\":1,\"sequence\":1,\"accounts\":[]}",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1,"
    "\"accounts\":[[\"a\",1,2,3,4]]}",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1,"
    "\"accounts\":[[\"a\",1,2,3,4,-5]]}",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1,"
    "\"accounts\":[[\"a\",1000001,2,3,4,5]]}",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1,"
    "\"accounts\":[[\"a\",1,2,3,1000001,5]]}",
    "{\"node\":\"n\",\"process\":1,\"sequence\":1,"
    "\"accounts\":[[\"a\",1,2,3,4.5,5]]}",
  };
  static const char *const tables[] = {
    "",
    "{\"node\":\"n\",\"group\":1,\"unused_ms\":0}",
    "{\"node\":\"n\",\"group\":256,\"unused_ms\":0,\"tables\":[]}",
    "{\"node\":\"n\",\"group\":1,\"unused_ms\":60001,\"tables\":[]}",
    "{\"node\":\"n\",\"group\":1,\"unused_ms\":0,"
    "\"tables\":[[\"a\",1,[[1,2,3,4]]]]}",
    "{\"node\":\"n\",\"group\":1,\"unused_ms\":0,"
    "\"tables\":[[\"a\",1,[[1,2,3,16001,5]]]]}",
    "{\"node\":\"n\",\"group\":1,\"unused_ms\":0,"
    "\"tables\":[[\"a\",1,[[1,2,1000001,4,5]]]]}",
  };
  static struct quota_request request;
  static struct quota_request read;
  struct quota_transfer transfer;
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (
        quota_request_read (malformed[i], strlen (malformed[i]), &read),
        STATUS_INVALID);
  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    CU_ASSERT_EQUAL (
        quota_transfer_read (tables[i], strlen (tables[i]), &transfer),
        STATUS_INVALID);
  strcpy (request.node, "node-1");
  request.process = INT64_MAX;
  request.sequence = 3;
  request.count = QUOTA_MESSAGE_ACCOUNTS_MAX;
  for (size_t i = 0; i < request.count; i++)
    {
      memset (request.asks[i].account, '"', QUOTA_MESSAGE_NAME_MAX);
      request.asks[i].report.pending = (uint32_t)i;
      request.asks[i].report.held.rate_ppm = QUOTA_PPM;
    }
  char *text = quota_request_write (&request);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT (strlen (text) <= QUOTA_MESSAGE_BYTES_MAX);
  CU_ASSERT_EQUAL (quota_request_read (text, strlen (text), &read), STATUS_OK);
  CU_ASSERT_EQUAL (memcmp (&read, &request, sizeof read), 0);
  free (text);
}

/// The table of an owner reaches the next one.
static void
test_transfer (void)
{
  struct quota_owner owner;
  struct quota_transfer transfer;
  uint64_t now = 100000;
  struct quota_tenure tenure = make_tenure (true, now);
  quota_owner_init (&owner);
  quota_owner_set_limit (&owner, &limit);
  struct quota_answer answer
      = report_of (&owner, &tenure, 7, 1, 50, (struct quota_part){ 0 }, now);
  json_t *object = quota_transfer_begin ("node-1", 9, 70000);
  CU_ASSERT (quota_transfer_add (object, "club", &owner, now + 100));
  char *text = quota_transfer_end (object);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT_EQUAL (quota_transfer_read (text, strlen (text), &transfer),
                   STATUS_OK);
  CU_ASSERT_EQUAL (transfer.group, 9);
  CU_ASSERT_EQUAL (transfer.count, 1);
  CU_ASSERT_EQUAL (transfer.holder_count, 1);
  CU_ASSERT_EQUAL (transfer.holders[0].node, 7);
  CU_ASSERT_EQUAL (transfer.holders[0].part.rate_ppm, answer.part.rate_ppm);
  CU_ASSERT_EQUAL (transfer.holders[0].until_ms, QUOTA_SHARE_MS - 100);
  quota_transfer_finish (&transfer);
  free (text);
  quota_owner_finish (&owner);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a node decides that is not entitled to", test_tenure },
    { "shares add up to more than the quota", test_shares },
    { "a new owner leases what may be in force", test_new_owner },
    { "a token is used twice, or after its share", test_entry },
    { "nodes without an owner admit too much", test_local_rate },
    { "a malformed message is accepted", test_messages },
    { "a share is lost or changed when it is handed over", test_transfer },
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
