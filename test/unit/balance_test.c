#include "coordination/balance.h"
#include "testing.h"

#include <string.h>

#define LONG_AGO 1000000

static struct balance balance;
static struct rng rng;

/// Starts with targets of 10 slots; slot ids count from 1.
/// @param local  how many of them are in the local zone
static void
set_up (size_t count, size_t local)
{
  rng_init (&rng, 11);
  balance_init (&balance);
  balance_begin_update (&balance);
  for (size_t i = 0; i < count; i++)
    balance_offer (&balance, (uint32_t)i, i + 1, 10, i < local, LONG_AGO);
  balance_end_update (&balance);
}

/// Chooses many times without sending.
/// @return how often a slot id was chosen, of 10,000
static unsigned
share_of (uint64_t slot_id, uint64_t now_ms)
{
  unsigned chosen = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      size_t index = balance_choose (&balance, &rng, 0, now_ms);
      chosen += balance.items[index].slot_id == slot_id;
    }
  return chosen;
}

static void
test_even_spread (void)
{
  set_up (4, 4);
  for (uint64_t id = 1; id <= 4; id++)
    {
      unsigned share = share_of (id, LONG_AGO);
      CU_ASSERT (share > 2000 && share < 3000);
    }
  balance_finish (&balance);
}

static void
test_busy_target_is_avoided (void)
{
  set_up (2, 2);
  for (unsigned i = 0; i < 5; i++)
    balance_begin (&balance, 0);
  CU_ASSERT_EQUAL (share_of (1, LONG_AGO), 0);
  balance_finish (&balance);
}

/// A target that was slow once is tried again after a while.
static void
test_old_latency_is_forgotten (void)
{
  set_up (2, 2);
  balance_end (&balance, 1, BALANCE_ANSWERED, 50000, LONG_AGO);
  balance_end (&balance, 2, BALANCE_ANSWERED, 1000, LONG_AGO);
  CU_ASSERT_EQUAL (share_of (1, LONG_AGO + 2000), 0);
  CU_ASSERT (share_of (1, LONG_AGO + 3000) > 4000);
  balance_finish (&balance);
}

static void
test_local_zone_first (void)
{
  set_up (4, 2);
  CU_ASSERT_EQUAL (share_of (3, LONG_AGO) + share_of (4, LONG_AGO), 0);
  /* 17 of 20 local slots in use: above 80%. */
  balance_report (&balance, 1, 9, 10, LONG_AGO);
  balance_report (&balance, 2, 8, 10, LONG_AGO);
  CU_ASSERT (share_of (3, LONG_AGO) > 1000);
  /* An old report is no reason to leave the zone. */
  CU_ASSERT_EQUAL (share_of (3, LONG_AGO + 5000), 0);
  balance_finish (&balance);
}

static void
test_slow_start (void)
{
  set_up (3, 3);
  balance_begin_update (&balance);
  for (size_t i = 0; i < 4; i++)
    balance_offer (&balance, (uint32_t)i, i + 1, 10, true, LONG_AGO);
  balance_end_update (&balance);
  CU_ASSERT (balance_is_cold (&balance, 3, LONG_AGO));
  CU_ASSERT_FALSE (balance_is_cold (&balance, 0, LONG_AGO));
  unsigned at_start = share_of (4, LONG_AGO);
  unsigned halfway = share_of (4, LONG_AGO + 5000);
  unsigned warm = share_of (4, LONG_AGO + 10000);
  CU_ASSERT (at_start > 50 && at_start < 700);
  CU_ASSERT (at_start < halfway && halfway < warm);
  CU_ASSERT (warm > 2000);
  balance_finish (&balance);
}

static void
fail_target (uint64_t slot_id, unsigned times, uint64_t now_ms)
{
  for (unsigned i = 0; i < times; i++)
    {
      balance_begin (&balance, balance_find (&balance, slot_id));
      balance_end (&balance, slot_id, BALANCE_FAILED, 0, now_ms);
    }
}

static void
test_ejection (void)
{
  set_up (10, 10);
  fail_target (1, 3, LONG_AGO);
  CU_ASSERT_EQUAL (share_of (1, LONG_AGO + 999), 0);
  CU_ASSERT (balance.items[0].ejected_until_ms <= LONG_AGO + 1000);
  /* One more failure ejects again, for longer. */
  fail_target (1, 1, LONG_AGO + 1000);
  CU_ASSERT_EQUAL (balance.items[0].ejected_until_ms, LONG_AGO + 3000);
  /* Of ten targets three may be ejected. */
  for (uint64_t id = 2; id <= 6; id++)
    fail_target (id, 5, LONG_AGO + 1000);
  unsigned ejected = 0;
  for (size_t i = 0; i < 10; i++)
    ejected += balance.items[i].ejected_until_ms > LONG_AGO + 1000;
  CU_ASSERT_EQUAL (ejected, 3);
  balance_finish (&balance);
}

/// Not even of two targets the one that leaves is chosen before its removal.
static void
test_leaving_target (void)
{
  set_up (2, 2);
  balance_begin (&balance, 0);
  balance_end (&balance, 1, BALANCE_LEAVING, 0, LONG_AGO);
  CU_ASSERT_EQUAL (share_of (1, LONG_AGO), 0);
  CU_ASSERT_EQUAL (share_of (1, LONG_AGO + 999), 0);
  CU_ASSERT (share_of (1, LONG_AGO + 1000) > 0);
  balance_finish (&balance);
}

/// Of three targets none may be ejected, but a failing one is rarely chosen.
static void
test_small_group_avoids_failures (void)
{
  set_up (3, 3);
  fail_target (1, 4, LONG_AGO);
  CU_ASSERT_EQUAL (balance.items[0].ejected_until_ms, 0);
  CU_ASSERT (share_of (1, LONG_AGO) < 100);
  CU_ASSERT (share_of (1, LONG_AGO + 5000) > 2000);
  balance_end (&balance, 1, BALANCE_ANSWERED, 1000, LONG_AGO);
  CU_ASSERT (share_of (1, LONG_AGO) > 2000);
  balance_finish (&balance);
}

static void
test_second_try_goes_elsewhere (void)
{
  set_up (2, 2);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 1, LONG_AGO), 1);
  balance_finish (&balance);
  set_up (1, 1);
  CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 1, LONG_AGO), 0);
  balance_finish (&balance);
  set_up (0, 0);
  CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 0, LONG_AGO), BALANCE_NONE);
  balance_finish (&balance);
}

/// All nodes choose the same target for a suspect, whatever their order.
static void
test_single_choice_is_stable (void)
{
  set_up (5, 5);
  for (uint64_t fingerprint = 1; fingerprint < 50; fingerprint++)
    {
      size_t index = balance_choose_single (&balance, fingerprint);
      struct balance other;
      balance_init (&other);
      balance_begin_update (&other);
      for (size_t i = 5; i-- > 0;)
        balance_offer (&other, (uint32_t)i, i + 1, 10, true, 0);
      balance_end_update (&other);
      size_t there = balance_choose_single (&other, fingerprint);
      CU_ASSERT_EQUAL (balance.items[index].slot_id,
                       other.items[there].slot_id);
      balance_finish (&other);
    }
  balance_finish (&balance);
}

/// A target that leaves is not chosen, and ends of its calls change nothing.
static void
test_removed_target (void)
{
  set_up (2, 2);
  balance_begin (&balance, 0);
  balance_begin_update (&balance);
  balance_offer (&balance, 1, 2, 10, true, LONG_AGO);
  balance_end_update (&balance);
  CU_ASSERT_EQUAL (balance.count, 1);
  balance_end (&balance, 1, BALANCE_ANSWERED, 10, LONG_AGO);
  CU_ASSERT_EQUAL (share_of (2, LONG_AGO), 10000);
  balance_finish (&balance);
}

static const struct test_case cases[] = {
  { "equal targets get unequal shares", test_even_spread },
  { "calls pile up at a busy target", test_busy_target_is_avoided },
  { "a target that was slow once is never used again",
    test_old_latency_is_forgotten },
  { "calls leave a zone that has room, or stay in a full one",
    test_local_zone_first },
  { "a cold target gets full traffic", test_slow_start },
  { "failing targets are kept, or too many are ejected", test_ejection },
  { "a target that drains is chosen again at once", test_leaving_target },
  { "a small group keeps calling a failing target",
    test_small_group_avoids_failures },
  { "a second try goes to the target that failed",
    test_second_try_goes_elsewhere },
  { "nodes choose different targets for a suspect",
    test_single_choice_is_stable },
  { "a target that left is called", test_removed_target },
};

int
main (void)
{
  return testing_run ("balance", cases, sizeof cases / sizeof cases[0]);
}
