#include "protocol/quota_message.h"
#include "quota_sim.h"
#include "testing.h"

/// The deployment that the limits are meant for.
#define NODES 79

/// Accounts of the fault scenarios: 750, 96, 16 and 5 requests per second.
#define ACCOUNTS 4

/// Requests are counted from here on: before, all buckets are empty.
#define COUNT_FROM_MS 3000

/// A burst of demand, and its factor.
#define BURST_FROM_MS 8000
#define BURST_MS 6500
#define BURST_FACTOR 7.5

static const struct
{
  double usual_per_s;
  double burst;
} kinds[ACCOUNTS] = { { 470, 150 }, { 60, 20 }, { 10, 8 }, { 3, 5 } };

static struct sim *
new_sim (enum sim_mode mode, uint64_t length_ms)
{
  struct sim *sim = sim_new (mode, NODES, ACCOUNTS, length_ms, 7);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim_set_account (sim, a, kinds[a].usual_per_s, kinds[a].burst);
  sim->count_from_ms = COUNT_FROM_MS;
  sim_prepare (sim);
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
  double seconds = (double)(sim->now - 1000000) / 1000;
  printf ("\n    %-34s %-6s wrong %6.3f %%  excess %7.1f  messages %5.2f  "
          "bytes %5.0f per node and s",
          name,
          sim->mode == SIM_LEASE   ? "lease"
          : sim->mode == SIM_SPLIT ? "split"
                                   : "shares",
          sums.offered > 0 ? 100 * sums.wrong / sums.offered : 0,
          sim_worst_excess (sim),
          (double)sim->messages / seconds / sim->node_count,
          (double)sim->bytes / seconds / sim->node_count);
  if (sim->mode == SIM_LEASE && sums.admitted > 0)
    printf ("  mean wait %.2f ms", (double)sim->waited_ms / sums.admitted);
}

static double
wrong_share (const struct sim *sim)
{
  struct sim_sums sums = sim_sums (sim);
  return sums.wrong / sums.offered;
}

/* Faults: each function runs the simulation from 8 s on. */

static void
no_fault (struct sim *sim)
{
  sim_run (sim, sim->length_ms);
}

static void
kill_owners (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim_kill (sim, sim_ranked (sim, 0, a, 0));
  sim_run (sim, 14000);
  /* The store drops the dead nodes; nodes learn of it at different times. */
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      uint32_t owner = sim_ranked (sim, 0, a, 0);
      sim_list (sim, 1, owner, false);
    }
  for (uint32_t n = 0; n < NODES; n++)
    {
      sim_set_view (sim, n, 1);
      sim_run (sim, 14000 + 20 * n);
    }
  sim_run (sim, sim->length_ms);
}

static void
freeze_owners (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim->nodes[sim_ranked (sim, 0, a, 0)].frozen_until_ms = sim->now + 5000;
  sim_run (sim, sim->length_ms);
}

/// Separates the owners, with a third of the nodes, from the others.
static void
cut_owners_off (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t n = 0; n < NODES; n += 3)
    sim->nodes[n].group = 1;
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      sim->nodes[sim_ranked (sim, 0, a, 0)].group = 1;
      sim->nodes[sim_ranked (sim, 0, a, 1)].group = 0;
      sim->nodes[sim_ranked (sim, 0, a, 2)].group = 0;
    }
  sim_run (sim, sim->length_ms);
}

/// Separates the nodes whose number divides from the owners and their voters.
static void
cut_callers_off (struct sim *sim, uint32_t divisor)
{
  sim_run (sim, 8000);
  for (uint32_t n = 0; n < NODES; n += divisor)
    sim->nodes[n].group = 1;
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    for (unsigned place = 0; place < QUOTA_RANKS; place++)
      sim->nodes[sim_ranked (sim, 0, a, place)].group = 0;
  sim_run (sim, sim->length_ms);
}

static void
cut_third_off (struct sim *sim)
{
  cut_callers_off (sim, 3);
}

/// Without the owner's reserve for them, their local rate breaks the bound.
static void
cut_half_off (struct sim *sim)
{
  cut_callers_off (sim, 2);
}

static void
restart_owners (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    sim_kill (sim, sim_ranked (sim, 0, a, 0));
  sim_run (sim, 8300);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    if (!sim->nodes[sim_ranked (sim, 0, a, 0)].alive)
      sim_start_node (sim, sim_ranked (sim, 0, a, 0));
  sim_prepare (sim);
  sim_run (sim, sim->length_ms);
}

/// The owner of the largest account joins; half of the nodes, with the earlier
/// owner and its standby, learn of it 2 s after the others.
static void
join_owner (struct sim *sim)
{
  uint32_t joining = sim_ranked (sim, 0, 0, 0);
  sim_list (sim, 1, joining, false);
  for (uint32_t n = 0; n < NODES; n++)
    sim_set_view (sim, n, 1);
  sim_kill (sim, joining);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    for (unsigned place = 0; place < QUOTA_RANKS; place++)
      sim_owner (sim, sim_ranked (sim, 1, a, place), a);
  sim_run (sim, 8000);
  sim_start_node (sim, joining);
  sim->nodes[joining].view = 0;
  sim_owner (sim, joining, 0);
  uint32_t late[] = { sim_ranked (sim, 1, 0, 0), sim_ranked (sim, 1, 0, 1) };
  for (uint32_t n = 0; n < NODES; n += 2)
    if (n != late[0] && n != late[1])
      sim_set_view (sim, n, 0);
  sim_run (sim, 10000);
  for (uint32_t n = 0; n < NODES; n++)
    if (sim->nodes[n].view != 0)
      sim_set_view (sim, n, 0);
  sim_run (sim, sim->length_ms);
}

static void
kill_all (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t n = 0; n < NODES; n++)
    sim_kill (sim, n);
  sim_run (sim, 8500);
  for (uint32_t n = 0; n < NODES; n++)
    sim_start_node (sim, n);
  sim_prepare (sim);
  sim_run (sim, sim->length_ms);
}

static void
lose_store (struct sim *sim)
{
  sim_run (sim, 8000);
  for (uint32_t n = 0; n < NODES; n++)
    sim->nodes[n].store_away = true;
  sim_run (sim, sim->length_ms);
}

/// All demand moves from one zone to another, twice.
static void
shift_demand (struct sim *sim)
{
  for (unsigned k = 0; k < 3; k++)
    {
      for (uint32_t a = 0; a < ACCOUNTS; a++)
        sim->accounts[a].zone = 1 + k;
      sim_run (sim, 6000 * (k + 1));
    }
  sim_run (sim, sim->length_ms);
}

static const struct
{
  const char *name;
  void (*run) (struct sim *sim);
  double wrong_max; ///< share of the requests at usual demand
} faults[] = {
  { "no fault", no_fault, 0.002 },
  { "owners killed", kill_owners, 0.01 },
  { "owners frozen for 5 s", freeze_owners, 0.01 },
  { "owners cut off with a third", cut_owners_off, 0.40 },
  { "a third cut off from the owners", cut_third_off, 0.40 },
  { "half cut off from the owners", cut_half_off, 0.40 },
  { "owners restarted empty", restart_owners, 0.02 },
  { "owner moved by a join", join_owner, 0.01 },
  { "all killed at once", kill_all, 0.04 },
  { "store unreachable", lose_store, 0.002 },
  { "demand moves between zones", shift_demand, 0.01 },
};

static void
test_usual_demand (void)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      struct sim *sim = new_sim (SIM_LEASE, 20000);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      CU_ASSERT (wrong_share (sim) <= faults[i].wrong_max);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

/// Every account sends far more than its quota all the time.
static void
test_bound_under_faults (void)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      struct sim *sim = new_sim (SIM_LEASE, 20000);
      scale_demand (sim, 3.5);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

/// An account that was idle sends at most its burst beyond the rate, and the
/// buckets of two nodes do not add up.
static void
test_bound_after_idle (void)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      struct sim *sim = new_sim (SIM_LEASE, 20000);
      scale_demand (sim, 0.01);
      sim_run (sim, 7990);
      scale_demand (sim, 400);
      faults[i].run (sim);
      print_result (sim, faults[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
    }
}

static void
test_comparison (void)
{
  static const enum sim_mode modes[] = { SIM_LEASE, SIM_SPLIT, SIM_SHARES };
  double wrong[3];
  for (size_t i = 0; i < 3; i++)
    {
      struct sim *sim = new_sim (modes[i], 20000);
      sim_run (sim, BURST_FROM_MS);
      sim->accounts[1].demand_per_s *= BURST_FACTOR;
      sim_run (sim, BURST_FROM_MS + BURST_MS);
      sim->accounts[1].demand_per_s /= BURST_FACTOR;
      shift_demand (sim);
      sim_run (sim, 20000);
      print_result (sim, "one account sends 7.5 times");
      wrong[i] = wrong_share (sim);
      if (modes[i] == SIM_LEASE)
        CU_ASSERT (sim_worst_excess (sim) <= 0);
      sim_free (sim);
      sim = new_sim (modes[i], 20000);
      shift_demand (sim);
      print_result (sim, "demand moves between zones");
      sim_free (sim);
    }
  CU_ASSERT (wrong[0] < 0.01);
  CU_ASSERT (wrong[0] < wrong[1]);
  CU_ASSERT (wrong[0] < wrong[2]);
}

/// A lowered limit is binding one window after it is known.
static void
test_lowered_limit (void)
{
  struct sim *sim = new_sim (SIM_LEASE, 20000);
  scale_demand (sim, 3.5);
  sim_run (sim, 8000);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    {
      sim->accounts[a].limit.rate_per_s /= 4;
      sim->accounts[a].limit.burst /= 4;
    }
  sim_run (sim, 20000);
  for (uint32_t a = 0; a < ACCOUNTS; a++)
    memset (sim->accounts[a].admitted, 0,
            8000 * sizeof *sim->accounts[a].admitted);
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
  } sizes[] = { { "82 accounts, 79 nodes", NODES, 82, 15000 },
                { "10,000 accounts, 300 nodes", 300, 10000, 4000 } };
  for (size_t i = 0; i < 2; i++)
    {
      struct sim *sim = sim_new (SIM_LEASE, sizes[i].nodes, sizes[i].accounts,
                                 sizes[i].length_ms, 3);
      for (uint32_t a = 0; a < sizes[i].accounts; a++)
        sim_set_account (sim, a,
                         a < 4    ? 280
                         : i == 0 ? 7.4
                                  : 0.6,
                         a < 4 ? 90 : 6);
      sim->count_from_ms = 2000;
      sim_prepare (sim);
      sim_run (sim, sizes[i].length_ms);
      print_result (sim, sizes[i].name);
      CU_ASSERT (sim_worst_excess (sim) <= 0);
      CU_ASSERT (wrong_share (sim) < 0.02);
      sim_free (sim);
    }
}

/* Single decisions */

/// Sets up an owner with handle 0 and voters 1 and 2.
static void
set_up_owner (struct quota_owner *owner, unsigned place, double rate,
              double burst, uint64_t now_ms)
{
  struct quota_rank rank = { .handles = { 0, 1, 2 }, .nodes = 3 };
  struct quota_limit limit = { rate, burst };
  quota_owner_init (owner);
  quota_owner_set_limit (owner, &limit);
  quota_owner_set_rank (owner, &rank, rank.handles[place], now_ms);
}

static bool
promises (struct quota_owner *owner, unsigned rank, bool settled,
          uint64_t now_ms)
{
  struct quota_candidate candidate
      = { .node = rank, .rank = rank, .settled = settled };
  bool own_settled;
  return quota_owner_promise (owner, &candidate, &own_settled, now_ms);
}

static void
test_majority (void)
{
  static const struct
  {
    uint64_t age_ms; ///< since the candidate was ranked
    bool votes[2];
    bool settled; ///< the voters
    bool held;
  } rows[] = {
    { 100, { true, true }, false, true },
    { 100, { true, false }, true, false },
    { 100, { false, true }, true, false },
    { 2000, { true, false }, true, true },
    { 2000, { false, true }, true, true },
    { 2000, { true, false }, false, false },
    { 2000, { true, true }, false, true },
    { 2000, { false, false }, true, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct quota_owner owner;
      uint64_t now = 10000 + rows[i].age_ms;
      set_up_owner (&owner, 0, 100, 10, 10000);
      for (size_t k = 0; k < 2; k++)
        if (rows[i].votes[k])
          quota_owner_vote (&owner, k + 1, rows[i].settled, 0, now, now);
      CU_ASSERT_EQUAL (quota_owner_is_held (&owner, now), rows[i].held);
      CU_ASSERT_EQUAL (quota_owner_is_held (&owner, now + QUOTA_HOLD_MS),
                       false);
      quota_owner_finish (&owner);
    }
}

static void
test_promise (void)
{
  struct quota_owner owner;
  uint64_t now = 20000;
  set_up_owner (&owner, 2, 100, 10, 10000);
  CU_ASSERT (promises (&owner, 0, true, now));
  CU_ASSERT (!promises (&owner, 1, true, now + QUOTA_HOLD_MS - 1));
  CU_ASSERT (promises (&owner, 0, true, now + 100));
  CU_ASSERT (!promises (&owner, 1, true, now + QUOTA_HOLD_MS));
  CU_ASSERT (promises (&owner, 1, true, now + 100 + QUOTA_HOLD_MS));
  CU_ASSERT (!promises (&owner, 3, true, now + 1000));
  quota_owner_finish (&owner);

  /* A standby that grants yields to a settled owner only. */
  set_up_owner (&owner, 1, 100, 10, 10000);
  quota_owner_vote (&owner, 2, true, 0, now, now);
  CU_ASSERT (quota_owner_is_held (&owner, now));
  CU_ASSERT (!promises (&owner, 0, false, now));
  CU_ASSERT (quota_owner_is_held (&owner, now));
  CU_ASSERT (promises (&owner, 0, true, now));
  CU_ASSERT (!quota_owner_is_held (&owner, now));
  struct quota_grant grant
      = quota_owner_ask (&owner, 5, 3, true, 1, 0, 0, now);
  CU_ASSERT_EQUAL (grant.verdict, QUOTA_NOT_READY);
  quota_owner_finish (&owner);
}

static void
test_bucket (void)
{
  struct quota_owner owner;
  uint64_t now = 20000;
  set_up_owner (&owner, 0, 100, 10, 10000);
  quota_owner_vote (&owner, 1, true, 0, now, now);
  struct quota_grant grant
      = quota_owner_ask (&owner, 5, 3, true, 3, 0, 0, now);
  CU_ASSERT_EQUAL (grant.verdict, QUOTA_DECIDED);
  CU_ASSERT_EQUAL (grant.tokens, 0);
  CU_ASSERT (grant.wait_ms >= 10);
  grant = quota_owner_ask (&owner, 5, 3, true, 3, 0, 0, now + 100);
  CU_ASSERT_EQUAL (grant.tokens, 3);
  CU_ASSERT_EQUAL (grant.wait_ms, 0);
  /* Returned tokens are granted again, up to the burst. */
  grant = quota_owner_ask (&owner, 5, 3, true, 20, 0, 3, now + 100);
  CU_ASSERT_EQUAL (grant.tokens, 10);
  grant = quota_owner_ask (&owner, 5, 3, true, 20, 0, 1000, now + 100);
  CU_ASSERT (grant.tokens <= 10);
  /* A lapsed majority empties the bucket. */
  now += 2000;
  quota_owner_vote (&owner, 1, true, 0, now, now);
  grant = quota_owner_ask (&owner, 5, 3, true, 1, 0, 0, now);
  CU_ASSERT_EQUAL (grant.tokens, 0);
  quota_owner_finish (&owner);
}

static void
test_lease (void)
{
  struct quota_lease lease;
  struct quota_token token = { 0 };
  uint64_t now = 20000;
  quota_lease_init (&lease);
  CU_ASSERT (!quota_lease_take (&lease, &token, now));
  quota_lease_decided (&lease, 2, 0, 9, now, now + 2);
  CU_ASSERT (quota_lease_take (&lease, &token, now + 10));
  CU_ASSERT (!quota_lease_take (&lease, &(struct quota_token){ 0 },
                                now + QUOTA_LEASE_MS));
  /* A token of a request that never ran serves another one, once. */
  quota_lease_put_back (&lease, &token, now + 20);
  quota_lease_put_back (&lease, &token, now + 20);
  CU_ASSERT_EQUAL (quota_lease_give_back (&lease, 8, now + 300), 0);
  CU_ASSERT_EQUAL (quota_lease_give_back (&lease, 9, now + 300), 2);
  CU_ASSERT_EQUAL (quota_lease_give_back (&lease, 9, now + 300), 0);
  /* After its lease it goes back to its lender. */
  quota_lease_decided (&lease, 1, 0, 9, now, now + 2);
  CU_ASSERT (quota_lease_take (&lease, &token, now + 10));
  quota_lease_put_back (&lease, &token, now + 1000);
  CU_ASSERT (!quota_lease_take (&lease, &token, now + 1000));
  CU_ASSERT_EQUAL (quota_lease_give_back (&lease, 9, now + 1000), 1);
}

static void
test_local_rate (void)
{
  struct quota_lease lease;
  struct quota_limit limit = { 100, 10 };
  uint64_t now = 20000;
  quota_lease_init (&lease);
  CU_ASSERT (!quota_lease_take_local (&lease, &limit, 10, now));
  quota_lease_decided (&lease, 0, 0, 9, now, now);
  CU_ASSERT (
      !quota_lease_take_local (&lease, &limit, 10, now + QUOTA_SILENCE_MS));
  now += QUOTA_KNOWN_MS;
  quota_lease_decided (&lease, 0, 0, 9, now, now);
  CU_ASSERT (!quota_lease_take_local (&lease, &limit, 10,
                                      now + QUOTA_SILENCE_MS - 1));
  unsigned admitted = 0;
  for (uint64_t t = QUOTA_SILENCE_MS; t < QUOTA_SILENCE_MS + 10000; t++)
    admitted += quota_lease_take_local (&lease, &limit, 10, now + t);
  CU_ASSERT (admitted >= 48 && admitted <= 50);
  CU_ASSERT (
      !quota_lease_take_local (&lease, &limit, 10, now + QUOTA_LOCAL_END_MS));
}

/// @return requests admitted in two seconds of 100 requests per second, after
///         the last answers that decided nothing
static unsigned
admitted_while_settling (struct quota_lease *lease, uint64_t now)
{
  unsigned admitted = 0;
  for (uint64_t t = 0; t < 2000; t += 10)
    {
      quota_lease_arrive (lease, now + t);
      admitted += quota_lease_take_settling (lease, now + t);
    }
  return admitted;
}

/// Many entries of the directory go and come, so that owner and standby change
/// at once.
static void
test_settling (void)
{
  static const struct
  {
    bool owner_answers;
    bool standby_answers;
    uint32_t over_wait_ms; ///< of the last decision
    unsigned least;
    unsigned most;
  } rows[] = {
    { true, true, 0, 8, 12 }, /* 5 requests per second before */
    { true, false, 0, 0, 0 },
    { false, true, 0, 0, 0 },
    { true, true, 80, 0, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct quota_lease lease;
      uint64_t now = 100000;
      quota_lease_init (&lease);
      CU_ASSERT (!quota_lease_take_settling (&lease, now));
      quota_lease_decided (&lease, 1, 0, 9, now, now);
      for (int k = 0; k < 300; k++, now += 200)
        quota_lease_arrive (&lease, now);
      quota_lease_decided (&lease, 1, rows[i].over_wait_ms, 9, now, now);
      CU_ASSERT (!quota_lease_take_settling (&lease, now));
      quota_lease_undecided (&lease, rows[i].owner_answers, now);
      quota_lease_undecided (&lease, rows[i].standby_answers, now);
      unsigned admitted = admitted_while_settling (&lease, now);
      CU_ASSERT (admitted >= rows[i].least && admitted <= rows[i].most);
      quota_lease_decided (&lease, 1, 0, 9, now + 2000, now + 2000);
      CU_ASSERT (!quota_lease_take_settling (&lease, now + 2000));
    }
}

static void
test_messages (void)
{
  static const char *const malformed[] = {
    "",
    "{}",
    "[]",
    "{\"node\":\"n\",\"vote\":false,\"lender\":1}",
    "{\"node\":\"n\",\"vote\":false,\"lender\":-1,\"accounts\":[]}",
    "{\"node\":\"n\",\"vote\":1,\"lender\":1,\"accounts\":[]}",
    "{\"node\":\"n\",\"vote\":true,\"lender\":1,\"accounts\":[[\"a\",1,2]]}",
    "{\"node\":\"n\",\"vote\":true,\"lender\":1,"
    "\"accounts\":[[\"a\",1,2,-3]]}",
    "{\"node\":\"n\",\"vote\":true,\"lender\":1,"
    "\"accounts\":[[\"a\",1,2,1000001]]}",
    "{\"node\":\"n\",\"vote\":true,\"lender\":1,"
    "\"accounts\":[[\"a\",1,2,1.5]]}",
  };
  static struct quota_request request;
  static struct quota_request read;
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (
        quota_request_read (malformed[i], strlen (malformed[i]), &read),
        STATUS_INVALID);
  strcpy (request.node, "node-1");
  request.lender = INT64_MAX;
  request.vote = true;
  request.count = QUOTA_MESSAGE_ACCOUNTS_MAX;
  for (size_t i = 0; i < request.count; i++)
    {
      memset (request.asks[i].account, '"', QUOTA_MESSAGE_NAME_MAX);
      request.asks[i].pending = (uint32_t)i;
      request.asks[i].returned = QUOTA_MESSAGE_COUNT_MAX;
    }
  char *text = quota_request_write (&request);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT (strlen (text) <= QUOTA_MESSAGE_BYTES_MAX);
  CU_ASSERT_EQUAL (quota_request_read (text, strlen (text), &read), STATUS_OK);
  CU_ASSERT_EQUAL (memcmp (&read, &request, sizeof read), 0);
  free (text);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a node grants without a majority", test_majority },
    { "a node votes for two others", test_promise },
    { "a bucket starts full or exceeds its burst", test_bucket },
    { "a token is used twice or after its lease", test_lease },
    { "a node that is cut off admits more than its share", test_local_rate },
    { "requests are refused, or a jump of the demand admitted, while the "
      "ranking settles",
      test_settling },
    { "a malformed message is accepted", test_messages },
    { "requests within the quota are rejected", test_usual_demand },
    { "more than the bound is admitted during a fault",
      test_bound_under_faults },
    { "the bursts of two owners add up", test_bound_after_idle },
    { "leases are no better than fixed or observed shares", test_comparison },
    { "a lowered limit is not applied", test_lowered_limit },
    { "many accounts need too many messages", test_many_accounts },
  };
  return testing_run ("quota", cases, sizeof cases / sizeof cases[0]);
}
