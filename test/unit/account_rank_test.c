#include "sidecar/sidecar_account.h"
#include "testing.h"

static struct sidecar sidecar;
static struct mesh_config config;

static uint32_t
rank_of (int account_priority, uint32_t route_priority)
{
  struct client_account account
      = { .has_priority = account_priority >= 0,
          .priority = account_priority < 0 ? 0 : (uint32_t)account_priority };
  struct mesh_route route = { .priority = route_priority };
  return sidecar_account_rank (&sidecar, &account, &route);
}

static void
test_order (void)
{
  sidecar.config = &config;
  config.accounts.required = true;
  /* The account goes first. */
  CU_ASSERT (rank_of (0, 3) < rank_of (1, 0));
  CU_ASSERT (rank_of (1, 9) < rank_of (2, 0));
  /* Between accounts of equal priority, the route. */
  CU_ASSERT (rank_of (1, 0) < rank_of (1, 1));
  CU_ASSERT (rank_of (1, 1) < rank_of (1, 2));
  /* An account without a priority has that of the route. */
  CU_ASSERT_EQUAL (rank_of (-1, 2), rank_of (2, 2));
  CU_ASSERT (rank_of (1000000000, 0) < UINT32_MAX / 2);
  struct mesh_route route = { .priority = 0 };
  CU_ASSERT_EQUAL (sidecar_account_rank (&sidecar, NULL, &route), 0);
}

static void
test_without_accounts (void)
{
  sidecar.config = &config;
  config.accounts.required = false;
  struct mesh_route route = { .priority = 7 };
  CU_ASSERT_EQUAL (sidecar_account_rank (&sidecar, NULL, &route), 7);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a route overrides its account, or urgent routes of an account lose "
      "their order",
      test_order },
    { "ranks change in a configuration without accounts",
      test_without_accounts },
  };
  return testing_run ("account_rank", cases, sizeof cases / sizeof cases[0]);
}
