#include "coordination/balance.h"
#include "testing.h"

#include <string.h>

#define START_MS 1000000

static struct balance balance;
static struct rng rng;

/// Creates targets of 10 slots with slot ids from 1.
/// @param local  number of targets in the local zone, the first ones
static void
set_up (size_t count, size_t local)
{
  rng_init (&rng, 11);
  balance_init (&balance);
  balance_begin_update (&balance);
  for (size_t i = 0; i < count; i++)
    balance_offer (&balance, (uint32_t)i, i + 1, 10, i < local, START_MS);
  balance_end_update (&balance);
}

/// Chooses 10,000 times without sending calls.
/// @return how often a slot id was chosen
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
      unsigned share = share_of (id, START_MS);
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
  CU_ASSERT_EQUAL (share_of (1, START_MS), 0);
  balance_finish (&balance);
}

/// A target with a long measured latency gets no calls and so no new sample.
/// It must be chosen again once the measurement is old.
static void
test_old_latency_expires (void)
{
  set_up (2, 2);
  balance_end (&balance, 1, BALANCE_ANSWERED, 50000, START_MS);
  balance_end (&balance, 2, BALANCE_ANSWERED, 1000, START_MS);
  CU_ASSERT_EQUAL (share_of (1, START_MS + 2000), 0);
  CU_ASSERT (share_of (1, START_MS + 3000) > 4000);
  balance_finish (&balance);
}

static void
test_local_zone_first (void)
{
  set_up (4, 2);
  CU_ASSERT_EQUAL (share_of (3, START_MS) + share_of (4, START_MS), 0);
  /* 17 of 20 local slots are in use, above 80%. */
  balance_report (&balance, 1, 9, 10, START_MS);
  balance_report (&balance, 2, 8, 10, START_MS);
  CU_ASSERT (share_of (3, START_MS) > 1000);
  /* Old reports do not count. */
  CU_ASSERT_EQUAL (share_of (3, START_MS + 5000), 0);
  balance_finish (&balance);
}

static void
test_slow_start (void)
{
  set_up (3, 3);
  balance_begin_update (&balance);
  for (size_t i = 0; i < 4; i++)
    balance_offer (&balance, (uint32_t)i, i + 1, 10, true, START_MS);
  balance_end_update (&balance);
  CU_ASSERT (balance_is_cold (&balance, 3, START_MS));
  CU_ASSERT_FALSE (balance_is_cold (&balance, 0, START_MS));
  unsigned at_start = share_of (4, START_MS);
  unsigned halfway = share_of (4, START_MS + 5000);
  unsigned at_end = share_of (4, START_MS + 10000);
  CU_ASSERT (at_start > 50 && at_start < 700);
  CU_ASSERT (at_start < halfway && halfway < at_end);
  CU_ASSERT (at_end > 2000);
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
  fail_target (1, 3, START_MS);
  CU_ASSERT_EQUAL (share_of (1, START_MS + 999), 0);
  CU_ASSERT (balance.items[0].ejected_until_ms <= START_MS + 1000);
  /* One more failure ejects again, for longer. */
  fail_target (1, 1, START_MS + 1000);
  CU_ASSERT_EQUAL (balance.items[0].ejected_until_ms, START_MS + 3000);
  /* At most three of ten targets may be ejected. */
  for (uint64_t id = 2; id <= 6; id++)
    fail_target (id, 5, START_MS + 1000);
  unsigned ejected = 0;
  for (size_t i = 0; i < 10; i++)
    ejected += balance.items[i].ejected_until_ms > START_MS + 1000;
  CU_ASSERT_EQUAL (ejected, 3);
  balance_finish (&balance);
}

/// A target that refused a call because it drains must not be chosen before
/// its removal, not even in a group of two, where no target may be ejected for
/// failures.
static void
test_leaving_target (void)
{
  set_up (2, 2);
  balance_begin (&balance, 0);
  balance_end (&balance, 1, BALANCE_LEAVING, 0, START_MS);
  CU_ASSERT_EQUAL (share_of (1, START_MS), 0);
  CU_ASSERT_EQUAL (share_of (1, START_MS + 999), 0);
  CU_ASSERT (share_of (1, START_MS + 1000) > 0);
  balance_finish (&balance);
}

/// In a group of three no target may be ejected, but a failing one must rarely
/// be chosen.
static void
test_small_group_avoids_failures (void)
{
  set_up (3, 3);
  fail_target (1, 4, START_MS);
  CU_ASSERT_EQUAL (balance.items[0].ejected_until_ms, 0);
  CU_ASSERT (share_of (1, START_MS) < 100);
  CU_ASSERT (share_of (1, START_MS + 5000) > 2000);
  balance_end (&balance, 1, BALANCE_ANSWERED, 1000, START_MS);
  CU_ASSERT (share_of (1, START_MS) > 2000);
  balance_finish (&balance);
}

static void
test_retry_goes_to_another_target (void)
{
  set_up (2, 2);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 1, START_MS), 1);
  balance_finish (&balance);
  set_up (1, 1);
  CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 1, START_MS), 0);
  balance_finish (&balance);
  set_up (0, 0);
  CU_ASSERT_EQUAL (balance_choose (&balance, &rng, 0, START_MS), BALANCE_NONE);
  balance_finish (&balance);
}

/// All nodes must choose the same target for a request suspected of crashing
/// targets, whatever the order of their lists.
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

/// A removed target must not be chosen, and calls to it that end later must
/// change nothing.
static void
test_removed_target (void)
{
  set_up (2, 2);
  balance_begin (&balance, 0);
  balance_begin_update (&balance);
  balance_offer (&balance, 1, 2, 10, true, START_MS);
  balance_end_update (&balance);
  CU_ASSERT_EQUAL (balance.count, 1);
  balance_end (&balance, 1, BALANCE_ANSWERED, 10, START_MS);
  CU_ASSERT_EQUAL (share_of (2, START_MS), 10000);
  balance_finish (&balance);
}

static const struct test_case cases[] = {
  { "equal targets get unequal shares", test_even_spread },
  { "calls pile up at a busy target", test_busy_target_is_avoided },
  { "a target that was slow once is never used again",
    test_old_latency_expires },
  { "calls leave a zone with free slots, or stay in a full one",
    test_local_zone_first },
  { "a cold target gets full traffic", test_slow_start },
  { "failing targets are not ejected, or too many are", test_ejection },
  { "a target that drains is chosen again at once", test_leaving_target },
  { "a small group keeps calling a failing target",
    test_small_group_avoids_failures },
  { "a retry goes to the target that failed",
    test_retry_goes_to_another_target },
  { "nodes choose different targets for a crash suspect",
    test_single_choice_is_stable },
  { "a removed target is called", test_removed_target },
};

int
main (void)
{
  return testing_run ("balance", cases, sizeof cases / sizeof cases[0]);
}
