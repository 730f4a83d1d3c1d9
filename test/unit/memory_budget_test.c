#include "testing.h"
#include "transport/memory_budget.h"

#include <string.h>

#define MIB (1024u * 1024)
#define ACCOUNTS 4

static struct memory_budget budget;
static struct memory_account accounts[ACCOUNTS];
static char order[ACCOUNTS + 1]; ///< digits of the accounts that were shed

static void
shed (void *owner)
{
  struct memory_account *account = owner;
  order[strlen (order)] = (char)('0' + (account - accounts));
  memory_account_charge (account, 4096, false);
}

/// A budget of 8 MiB, of which 2 MiB are the reserve.
static void
set_up (void)
{
  memory_budget_init (&budget, 16, 1232, shed);
  memset (order, 0, sizeof order);
  for (size_t i = 0; i < ACCOUNTS; i++)
    memory_account_open (&accounts[i], &budget, &accounts[i]);
}

/// Measures an account that receives these bytes in each of many intervals.
static void
receive (size_t account, uint64_t bytes)
{
  for (unsigned i = 1; i <= 20; i++)
    memory_account_measure (&accounts[account], i * bytes);
}

static void
test_least_progress_first (void)
{
  set_up ();
  receive (0, 100000);
  receive (1, 10);
  receive (2, 0);
  memory_account_charge (&accounts[0], 5 * MIB, true);
  memory_account_charge (&accounts[1], MIB / 2, true);
  memory_account_charge (&accounts[2], MIB / 4, true);
  CU_ASSERT (!memory_account_is_over (&accounts[0]));
  memory_account_charge (&accounts[0], 6 * MIB - 8192, true);
  CU_ASSERT (memory_account_settle (&accounts[0]));
  CU_ASSERT_STRING_EQUAL (order, "21");
  CU_ASSERT_EQUAL (budget.used, 6 * MIB);
}

static void
test_ordinary_requests_use_the_reserve (void)
{
  set_up ();
  receive (0, 100000);
  receive (1, 0);
  memory_account_charge (&accounts[0], 6 * MIB, true);
  memory_account_charge (&accounts[1], 8192, true);
  memory_account_charge (&accounts[2], MEMORY_BUDGET_ORDINARY_BYTES, true);
  CU_ASSERT (memory_account_settle (&accounts[2]));
  CU_ASSERT_STRING_EQUAL (order, "");
  /* A large one that grows is shed itself; smaller ones keep the reserve. */
  memory_account_charge (&accounts[0], 6 * MIB + 4096, true);
  CU_ASSERT (memory_account_settle (&accounts[0]));
  CU_ASSERT_STRING_EQUAL (order, "0");
}

static void
test_complete_requests_are_not_shed (void)
{
  set_up ();
  memory_account_charge (&accounts[0], 9 * MIB, false);
  memory_account_charge (&accounts[1], 8192, true);
  receive (1, 0);
  CU_ASSERT (!memory_account_settle (&accounts[0]));
  CU_ASSERT_STRING_EQUAL (order, "1");
  memory_account_close (&accounts[0]);
  CU_ASSERT_EQUAL (budget.used, 4096);
  CU_ASSERT (!memory_account_is_over (&accounts[1]));
}

static void
test_descriptors_are_left (void)
{
  static const struct
  {
    size_t open;
    bool allowed[4];
  } rows[] = {
    { 624, { true, true, true, true } },
    { 625, { false, true, true, true } },
    { 750, { false, false, true, true } },
    { 875, { false, false, false, true } },
    { 1000, { false, false, false, false } },
  };
  set_up ();
  CU_ASSERT_EQUAL (budget.descriptors_max, 1000);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    for (size_t use = 0; use < 4; use++)
      {
        budget.descriptors = rows[i].open;
        CU_ASSERT_EQUAL (memory_budget_has_descriptor (
                             &budget, (enum memory_budget_use)use),
                         rows[i].allowed[use]);
      }
}

static void
test_stalled_connections_make_room (void)
{
  set_up ();
  memory_account_charge (&accounts[0], 8192, true);
  memory_account_charge (&accounts[1], 8192, true);
  memory_account_charge (&accounts[2], 8192, false);
  receive (0, 0);
  receive (1, 2048);
  receive (2, 0);
  CU_ASSERT (!memory_account_blocks_others (&accounts[0]));
  budget.paused_uses = 1;
  CU_ASSERT (memory_account_blocks_others (&accounts[0]));
  CU_ASSERT (!memory_account_blocks_others (&accounts[1]));
  CU_ASSERT (!memory_account_blocks_others (&accounts[2]));
  memory_account_charge (&accounts[3], 8192, true);
  CU_ASSERT (!memory_account_blocks_others (&accounts[3]));
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a message that makes progress is shed before one that stalls",
      test_least_progress_first },
    { "large messages take the memory of ordinary requests",
      test_ordinary_requests_use_the_reserve },
    { "a connection whose requests are complete is shed",
      test_complete_requests_are_not_shed },
    { "callers take the descriptors that nodes or the platform need",
      test_descriptors_are_left },
    { "stalled connections keep others from being accepted",
      test_stalled_connections_make_room },
  };
  return testing_run ("memory_budget", cases, sizeof cases / sizeof cases[0]);
}
