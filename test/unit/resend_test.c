#include "coordination/resend.h"
#include "coordination/retry_quota.h"
#include "testing.h"

static bool
budget_left (void *arg)
{
  (*(unsigned *)arg)++;
  return true;
}

static bool
budget_spent (void *arg)
{
  (*(unsigned *)arg)++;
  return false;
}

static void
test_decisions (void)
{
  static const struct
  {
    enum mesh_retry_class retry_class;
    uint32_t runs;
    uint32_t offers;
    enum resend_event event;
    uint64_t left_ms;
    bool budget;
    enum resend_step expected;
    unsigned budget_asked;
  } rows[] = {
    /* Certainly not run: offered again whatever the class, without a token. */
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_NOT_SENT, 500, false, RESEND_AGAIN,
      0 },
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_REFUSED, 500, false, RESEND_AGAIN, 0 },
    /* The target was reached: a token is needed. */
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_SHED, 500, true, RESEND_AGAIN, 1 },
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_SHED, 500, false,
      RESEND_RESPOND_NOT_RUN, 1 },
    /* It may have run: not offered again if it must run at most once. */
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_LOST, 500, true,
      RESEND_RESPOND_UNKNOWN, 0 },
    { MESH_NON_IDEMPOTENT, 0, 1, RESEND_FAILED, 500, true, RESEND_FORWARD, 0 },
    { MESH_IDEMPOTENT, 0, 1, RESEND_LOST, 500, true, RESEND_AGAIN, 1 },
    { MESH_IDEMPOTENT, 0, 1, RESEND_LOST, 500, false, RESEND_RESPOND_UNKNOWN,
      1 },
    { MESH_IDEMPOTENT, 0, 1, RESEND_FAILED, 500, false, RESEND_FORWARD, 1 },
    { MESH_DOWNLOAD, 0, 1, RESEND_FAILED, 500, true, RESEND_AGAIN, 1 },
    /* The route's limit of targets is reached. */
    { MESH_IDEMPOTENT, 1, 2, RESEND_FAILED, 500, true, RESEND_FORWARD, 0 },
    { MESH_IDEMPOTENT, 1, 2, RESEND_LOST, 500, true, RESEND_RESPOND_UNKNOWN,
      0 },
    /* After a run, a refusal must not be reported as not run. */
    { MESH_IDEMPOTENT, 2, 3, RESEND_REFUSED, 500, true, RESEND_RESPOND_UNKNOWN,
      0 },
    /* Too many offers, or not enough time. */
    { MESH_IDEMPOTENT, 0, RESEND_OFFERS_MAX, RESEND_REFUSED, 500, true,
      RESEND_RESPOND_NOT_RUN, 0 },
    { MESH_IDEMPOTENT, 0, 1, RESEND_REFUSED, 10, true, RESEND_RESPOND_NOT_RUN,
      0 },
    { MESH_IDEMPOTENT, 0, 1, RESEND_EXPIRED, 0, true, RESEND_RESPOND_TIMED_OUT,
      0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct resend resend = { .retry_class = rows[i].retry_class,
                               .attempts_max = 2,
                               .offers = rows[i].offers,
                               .runs = rows[i].runs };
      unsigned asked = 0;
      CU_ASSERT_EQUAL (
          resend_decide (&resend, rows[i].event, rows[i].left_ms, 20,
                         rows[i].budget ? budget_left : budget_spent, &asked),
          rows[i].expected);
      CU_ASSERT_EQUAL (asked, rows[i].budget_asked);
    }
}

/// Under overload, a request that each node refuses must not be offered to all
/// nodes of its service.
static void
test_load_refusals (void)
{
  struct resend resend
      = { .retry_class = MESH_IDEMPOTENT, .attempts_max = 2, .offers = 1 };
  unsigned asked = 0;
  CU_ASSERT_EQUAL (
      resend_decide (&resend, RESEND_OVERLOADED, 500, 20, budget_left, &asked),
      RESEND_AGAIN);
  resend.offers++;
  CU_ASSERT_EQUAL (
      resend_decide (&resend, RESEND_OVERLOADED, 500, 20, budget_left, &asked),
      RESEND_RESPOND_NOT_RUN);
  CU_ASSERT_EQUAL (asked, 0);
}

/// A target may have a part of a streamed body, which is gone: the request is
/// sent to no other node, whatever its class.
static void
test_streamed_body (void)
{
  static const struct
  {
    enum resend_event event;
    bool continued;
    enum resend_step expected;
  } rows[] = {
    { RESEND_LOST, false, RESEND_AGAIN },
    { RESEND_REFUSED, false, RESEND_AGAIN },
    { RESEND_LOST, true, RESEND_RESPOND_UNKNOWN },
    { RESEND_FAILED, true, RESEND_FORWARD },
    /* The node or the target says that it has not run. */
    { RESEND_SHED, true, RESEND_RESPOND_NOT_RUN },
    { RESEND_REFUSED, true, RESEND_RESPOND_NOT_RUN },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      unsigned asked = 0;
      struct resend resend = { .retry_class = MESH_IDEMPOTENT,
                               .attempts_max = 2,
                               .offers = 1,
                               .continued = rows[i].continued };
      CU_ASSERT_EQUAL (
          resend_decide (&resend, rows[i].event, 500, 20, budget_left, &asked),
          rows[i].expected);
    }
}

/// The bound must hold for the sum over all nodes in any window.
static void
test_budget_of_all_nodes (void)
{
  enum
  {
    NODES = 16,
    REQUESTS = 2000, ///< per node within one window
    SLACK = 64
  };
  unsigned taken = 0;
  for (int node = 0; node < NODES; node++)
    {
      struct retry_quota_table table;
      retry_quota_init (&table, 200);
      retry_quota_set_slack (&table, SLACK, NODES);
      for (int i = 0; i < REQUESTS; i++)
        {
          retry_quota_count_request (&table, "orders", (uint64_t)i);
          taken += retry_quota_take (&table, "orders", (uint64_t)i);
          taken += retry_quota_take (&table, "orders", (uint64_t)i);
        }
      retry_quota_finish (&table);
    }
  CU_ASSERT (taken <= NODES * REQUESTS / 5 + SLACK);
  CU_ASSERT (taken >= NODES * REQUESTS / 20);
}

static void
test_budget_of_each_service (void)
{
  struct retry_quota_table table;
  retry_quota_init (&table, 200);
  retry_quota_set_slack (&table, 64, 4);
  for (int i = 0; i < 100; i++)
    retry_quota_count_request (&table, "orders", 1);
  CU_ASSERT (retry_quota_take (&table, "orders", 1));
  CU_ASSERT (retry_quota_take (&table, "reads", 1)); /* its first token */
  CU_ASSERT (!retry_quota_take (&table, "reads", 1));
  CU_ASSERT (retry_quota_take (&table, "orders", 1));
  retry_quota_finish (&table);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a request that may have run is sent again, or reported as not run",
      test_decisions },
    { "a request that is refused because of load is offered to every node",
      test_load_refusals },
    { "a streamed body is sent to a second node", test_streamed_body },
    { "all nodes together retry more than the budget",
      test_budget_of_all_nodes },
    { "one service spends the budget of another",
      test_budget_of_each_service },
  };
  return testing_run ("resend", cases, sizeof cases / sizeof cases[0]);
}
