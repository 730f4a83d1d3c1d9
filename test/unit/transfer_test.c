#include "coordination/transfer.h"
#include "testing.h"

#include <string.h>

#define TRANSFERS 8

static struct transfer_line line;
static struct transfer transfers[TRANSFERS];
static size_t went[TRANSFERS];
static size_t went_count;

static void
on_go (void *arg, struct transfer *transfer)
{
  went[went_count++] = (size_t)(transfer - transfers);
}

static const struct transfer_ops ops = { .go = on_go };

static void
set_up (void)
{
  memset (transfers, 0, sizeof transfers);
  went_count = 0;
  transfer_line_init (&line, &ops, NULL);
}

static void
test_turns_are_taken_in_order (void)
{
  set_up ();
  for (size_t i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (transfer_begin (&line, &transfers[i], i),
                     i < TRANSFER_TURNS);
  transfer_end (&line, &transfers[1], 10);
  transfer_end (&line, &transfers[0], 11);
  CU_ASSERT_EQUAL (went_count, 2);
  CU_ASSERT_EQUAL (went[0], 2);
  CU_ASSERT_EQUAL (went[1], 3);
  /* One that waits is cancelled. */
  transfer_end (&line, &transfers[4], 12);
  transfer_end (&line, &transfers[2], 13);
  transfer_end (&line, &transfers[3], 14);
  CU_ASSERT_EQUAL (went_count, 2);
  CU_ASSERT_EQUAL (line.sending, 0);
  CU_ASSERT (TAILQ_EMPTY (&line.transfers));
}

static void
test_stuck_turns_do_not_block (void)
{
  set_up ();
  for (size_t i = 0; i < 4; i++)
    transfer_begin (&line, &transfers[i], 0);
  transfer_tick (&line, TRANSFER_TURN_MS - 1);
  CU_ASSERT_EQUAL (went_count, 0);
  transfer_tick (&line, TRANSFER_TURN_MS);
  CU_ASSERT_EQUAL (went_count, 2);
  /* An overdue one ends without freeing a turn of others. */
  transfer_end (&line, &transfers[0], TRANSFER_TURN_MS + 1);
  CU_ASSERT_EQUAL (line.sending, TRANSFER_TURNS);
  transfer_end (&line, &transfers[5], TRANSFER_TURN_MS + 1); /* never began */
  CU_ASSERT_EQUAL (line.sending, TRANSFER_TURNS);
}

/* A link in virtual time that is shared evenly by what is sent. */

#define LINK_ANSWERS 12
#define LINK_MS_EACH 40

/// @param turns  true: two at a time; false: all share the link
/// @return mean time until an answer has left
static double
play_link (bool turns)
{
  double left[LINK_ANSWERS];
  size_t gone = 0;
  double sum = 0;
  for (size_t i = 0; i < LINK_ANSWERS; i++)
    left[i] = LINK_MS_EACH;
  for (double now = 0; gone < LINK_ANSWERS; now += 0.5)
    {
      size_t sending = 0;
      for (size_t i = 0; i < LINK_ANSWERS; i++)
        sending += left[i] > 0 && (!turns || sending < TRANSFER_TURNS);
      size_t served = 0;
      for (size_t i = 0; i < LINK_ANSWERS && served < sending; i++)
        if (left[i] > 0)
          {
            served++;
            left[i] -= 0.5 / (double)sending;
            if (left[i] <= 0)
              {
                gone++;
                sum += now;
              }
          }
    }
  return sum / LINK_ANSWERS;
}

static void
test_turns_end_answers_earlier (void)
{
  double shared = play_link (false);
  double taken = play_link (true);
  /* With turns the mean is about half of the time that all need together. */
  CU_ASSERT (taken < 0.65 * shared);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "turns are taken out of order, or by cancelled answers",
      test_turns_are_taken_in_order },
    { "an answer whose reader is cut off blocks the others",
      test_stuck_turns_do_not_block },
    { "turns make answers later than sharing the link",
      test_turns_end_answers_earlier },
  };
  return testing_run ("transfer", cases, sizeof cases / sizeof cases[0]);
}
