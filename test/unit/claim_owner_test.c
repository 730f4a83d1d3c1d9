#include "../standin/claim_world.h"
#include "testing.h"

#include <stdio.h>

#define NO_VERDICT (-1)

struct fixture
{
  struct world world;
  int verdicts[WORLD_NODES][64]; ///< by node and attempt handle
  uint16_t status;               ///< of the last recorded outcome
  char body[16];
};

static void
record_verdict (struct world *world, uint32_t node, uint32_t attempt,
                enum claim_verdict verdict, const struct claim_record *outcome)
{
  struct fixture *fixture = world->arg;
  fixture->verdicts[node][attempt] = (int)verdict;
  if (outcome == NULL)
    return;
  fixture->status = outcome->status;
  if (outcome->body_size < sizeof fixture->body)
    memcpy (fixture->body, outcome->body, outcome->body_size);
}

static struct fixture *
fixture_new (uint32_t ring, uint32_t chunk_segments)
{
  struct fixture *fixture = calloc (1, sizeof *fixture);
  assert (fixture != NULL);
  fixture->world.window_s = 900;
  fixture->world.ring = ring;
  fixture->world.chunk_segments = chunk_segments;
  fixture->world.latency_ms = 1;
  fixture->world.on_answer = record_verdict;
  fixture->world.arg = fixture;
  world_init (&fixture->world, 1);
  memset (fixture->verdicts, 0xff, sizeof fixture->verdicts);
  return fixture;
}

static void
fixture_free (struct fixture *fixture)
{
  world_finish (&fixture->world);
  free (fixture);
}

static void
set_owner_in_all_views (struct fixture *fixture, uint32_t owner)
{
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    fixture->world.nodes[i].assumed_owner = owner;
}

/// Starts an attempt.
/// @param number     distinguishes keys with the same creation time
/// @param created_s  creation time of the key, seconds after the test's start
static uint32_t
begin_attempt (struct fixture *fixture, uint32_t node, uint32_t number,
               int32_t created_s, uint32_t deadline_ms)
{
  struct world *world = &fixture->world;
  char key[64];
  uint32_t attempt = CLAIM_ATTEMPT_NONE;
  snprintf (key, sizeof key, "%lld-number%06u",
            (long long)(WORLD_WALL_MS / 1000) + created_s, number);
  enum status status = claim_client_begin (
      &world->nodes[node].client, key, deadline_ms, world->now_ms,
      world_wall_ms (&world->nodes[node]), &attempt);
  CU_ASSERT_EQUAL_FATAL (status, STATUS_OK);
  fixture->verdicts[node][attempt] = NO_VERDICT;
  return attempt;
}

static void
finish_attempt (struct fixture *fixture, uint32_t node, uint32_t attempt,
                enum claim_record_kind kind)
{
  struct claim_record outcome = { .status = 201,
                                  .body = (const uint8_t *)"sealed",
                                  .body_size = 6,
                                  .body_complete = true };
  claim_client_end (&fixture->world.nodes[node].client, attempt, kind,
                    &outcome, fixture->world.now_ms);
}

static void
test_grant_waits_for_stored_segment (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  fixture->world.store.latency_ms = 400;
  uint32_t attempt = begin_attempt (fixture, 0, 1, 0, 5000);
  while (fixture->verdicts[0][attempt] == NO_VERDICT
         && fixture->world.now_ms < 4000)
    {
      world_step (&fixture->world, 1);
      if (fixture->verdicts[0][attempt] == CLAIM_VERDICT_GRANTED)
        CU_ASSERT_PTR_NOT_NULL (
            fake_find (&fixture->world.store, "claims/0/1"));
    }
  CU_ASSERT_EQUAL (fixture->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  fixture->world.store.outage = true;
  uint32_t other = begin_attempt (fixture, 0, 2, 0, 1000);
  world_run (&fixture->world, 1500, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][other], CLAIM_VERDICT_TIMED_OUT);
  fixture->world.store.outage = false;
  uint32_t again = begin_attempt (fixture, 1, 3, 0, 5000);
  world_run (&fixture->world, 4000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][again], CLAIM_VERDICT_GRANTED);
  fixture_free (fixture);
}

static void
test_lost_answer_commits_once (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  world_run (&fixture->world, 10, 5);
  begin_attempt (fixture, 0, 1, 0, 9000);
  world_run (&fixture->world, 20, 1);
  fixture->world.store.lose_answers = 1;
  world_run (&fixture->world, 6000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][0], CLAIM_VERDICT_GRANTED);
  CU_ASSERT_EQUAL (fixture->world.nodes[0].owner.log.last_applied, 1);
  CU_ASSERT_PTR_NULL (fake_find (&fixture->world.store, "claims/0/2"));
  fixture_free (fixture);
}

static void
test_two_owners_grant_once (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  fixture->world.nodes[0].assumed_owner = 0;
  fixture->world.nodes[1].assumed_owner = 1;
  uint32_t a = begin_attempt (fixture, 0, 1, 0, 1500);
  uint32_t b = begin_attempt (fixture, 1, 1, 0, 1500);
  world_run (&fixture->world, 1000, 1);
  int granted = (fixture->verdicts[0][a] == CLAIM_VERDICT_GRANTED)
                + (fixture->verdicts[1][b] == CLAIM_VERDICT_GRANTED);
  CU_ASSERT_EQUAL (granted, 1);
  world_run (&fixture->world, 2000, 5);
  /* The other attempt must not be reported as not run. */
  CU_ASSERT (fixture->verdicts[0][a] == CLAIM_VERDICT_OUTCOME_UNKNOWN
             || fixture->verdicts[1][b] == CLAIM_VERDICT_OUTCOME_UNKNOWN);
  fixture_free (fixture);
}

static void
test_report_survives_append_conflict (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  uint32_t a = begin_attempt (fixture, 0, 1, 0, 3000);
  uint32_t b = begin_attempt (fixture, 1, 2, 0, 3000);
  world_run (&fixture->world, 500, 1);
  /* Both owners write their reports under the same segment number, so one of
     the two writes fails. */
  fixture->world.nodes[1].assumed_owner = 1;
  begin_attempt (fixture, 1, 3, 0, 3000);
  world_run (&fixture->world, 500, 1);
  finish_attempt (fixture, 0, a, CLAIM_RECORD_OUTCOME);
  finish_attempt (fixture, 1, b, CLAIM_RECORD_OUTCOME);
  world_run (&fixture->world, 1000, 1);
  CU_ASSERT_EQUAL (fixture->world.nodes[0].client.active, 0);
  set_owner_in_all_views (fixture, 2);
  uint32_t again_a = begin_attempt (fixture, 2, 1, 0, 3000);
  uint32_t again_b = begin_attempt (fixture, 2, 2, 0, 3000);
  world_run (&fixture->world, 1000, 1);
  CU_ASSERT_EQUAL (fixture->verdicts[2][again_a], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (fixture->verdicts[2][again_b], CLAIM_VERDICT_RECORDED);
  fixture_free (fixture);
}

static void
test_new_owner_returns_the_outcome (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  uint32_t first = begin_attempt (fixture, 0, 1, 0, 1500);
  world_run (&fixture->world, 500, 5);
  finish_attempt (fixture, 0, first, CLAIM_RECORD_OUTCOME);
  world_run (&fixture->world, 500, 5);
  set_owner_in_all_views (fixture, 2);
  uint32_t second = begin_attempt (fixture, 1, 1, 0, 1500);
  world_run (&fixture->world, 1000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][second], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (fixture->status, 201);
  CU_ASSERT_STRING_EQUAL (fixture->body, "sealed");
  fixture_free (fixture);
}

static void
test_release_grants_the_waiting_attempt (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  uint32_t first = begin_attempt (fixture, 0, 1, 0, 5000);
  world_run (&fixture->world, 500, 5);
  uint32_t second = begin_attempt (fixture, 1, 1, 0, 5000);
  world_run (&fixture->world, 499, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][second], NO_VERDICT);
  finish_attempt (fixture, 0, first, CLAIM_RECORD_RELEASE);
  world_run (&fixture->world, 500, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][second], CLAIM_VERDICT_GRANTED);
  finish_attempt (fixture, 1, second, CLAIM_RECORD_OUTCOME_UNKNOWN);
  world_run (&fixture->world, 500, 5);
  uint32_t third = begin_attempt (fixture, 2, 1, 0, 5000);
  world_run (&fixture->world, 500, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[2][third], CLAIM_VERDICT_OUTCOME_UNKNOWN);
  fixture_free (fixture);
}

static void
test_late_write_cannot_reuse_a_number (void)
{
  struct fixture *fixture = fixture_new (8, 2);
  world_run (&fixture->world, 10, 5);
  begin_attempt (fixture, 0, 900, 0, 9000);
  world_run (&fixture->world, 40, 5);
  fixture->world.store.delay_writes = 1;
  fixture->world.store.delay_writes_ms = 9000;
  begin_attempt (fixture, 0, 1, 0, 3000);
  world_run (&fixture->world, 200, 5);
  /* The first owner is paused while its write is delayed. The next owner uses
     the same number and goes on until the ring of segments has wrapped. */
  fixture->world.nodes[0].paused_until_ms = fixture->world.now_ms + 60000;
  fixture->world.nodes[1].assumed_owner = 1;
  for (uint32_t i = 2; i < 40; i++)
    {
      uint32_t attempt = begin_attempt (fixture, 1, i, 0, 3000);
      world_run (&fixture->world, 200, 5);
      CU_ASSERT_EQUAL (fixture->verdicts[1][attempt], CLAIM_VERDICT_GRANTED);
      finish_attempt (fixture, 1, attempt, CLAIM_RECORD_OUTCOME);
    }
  uint64_t last_applied = fixture->world.nodes[1].owner.log.last_applied;
  world_run (&fixture->world, 70000, 20);
  CU_ASSERT (last_applied > 16);
  CU_ASSERT (fixture->world.nodes[0].owner.log.last_applied >= last_applied);
  CU_ASSERT_NOT_EQUAL (fixture->verdicts[0][1], CLAIM_VERDICT_GRANTED);
  fixture_free (fixture);
}

static void
test_chunks_contain_every_claim (void)
{
  struct fixture *fixture = fixture_new (8, 2);
  for (uint32_t i = 0; i < 60; i++)
    {
      uint32_t attempt = begin_attempt (fixture, 0, i, 0, 3000);
      world_run (&fixture->world, 150, 5);
      if (i % 3 == 0)
        finish_attempt (fixture, 0, attempt, CLAIM_RECORD_OUTCOME);
      else
        finish_attempt (fixture, 0, attempt, CLAIM_RECORD_OUTCOME_UNKNOWN);
    }
  world_run (&fixture->world, 500, 5);
  CU_ASSERT (fixture->world.nodes[0].owner.log.newest_chunk >= 20);
  set_owner_in_all_views (fixture, 1);
  begin_attempt (fixture, 2, 5000, 0, 9000);
  world_run (&fixture->world, 2000, 5);
  const struct claim_table *old = &fixture->world.nodes[0].owner.log.table;
  const struct claim_table *read = &fixture->world.nodes[1].owner.log.table;
  CU_ASSERT (read->count == 61 && old->count == 60);
  for (uint32_t i = 0; i < old->count; i++)
    {
      const struct claim *claim = claim_table_find (read, &old->items[i].key);
      CU_ASSERT (claim != NULL && claim->state == old->items[i].state
                 && claim->nonce == old->items[i].nonce);
    }
  fixture_free (fixture);
}

static void
test_segments_wait_for_their_chunk (void)
{
  struct fixture *fixture = fixture_new (8, 2);
  fixture->world.store.refuse_keys = "/chunk/";
  for (uint32_t i = 0; i < 20; i++)
    {
      begin_attempt (fixture, 0, i, 0, 20000);
      world_run (&fixture->world, 100, 5);
    }
  CU_ASSERT_EQUAL (fixture->world.nodes[0].owner.log.last_applied, 8);
  fixture->world.store.refuse_keys = NULL;
  world_run (&fixture->world, 2000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][19], CLAIM_VERDICT_GRANTED);
  fixture_free (fixture);
}

static void
test_expired_chunks_are_removed (void)
{
  struct fixture *fixture = fixture_new (8, 2);
  for (uint32_t i = 0; i < 20; i++)
    {
      begin_attempt (fixture, 0, i, 0, 3000);
      world_run (&fixture->world, 150, 5);
    }
  size_t chunks = fixture->world.nodes[0].owner.log.chunk_count;
  world_run (&fixture->world, (900 + 240 + 60) * 1000, 1000);
  CU_ASSERT (chunks >= 8);
  CU_ASSERT_EQUAL (fixture->world.nodes[0].owner.log.chunk_count, 1);
  CU_ASSERT_EQUAL (fixture->world.nodes[0].owner.log.table.count, 0);
  set_owner_in_all_views (fixture, 1);
  uint32_t attempt = begin_attempt (fixture, 0, 99, 1200, 3000);
  world_run (&fixture->world, 1000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  fixture_free (fixture);
}

static void
test_old_key_is_refused_before_it_expires (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  fixture->world.nodes[0].skew_s = -60; /* client */
  fixture->world.nodes[1].skew_s = 60;  /* owner */
  set_owner_in_all_views (fixture, 1);
  uint32_t attempt = begin_attempt (fixture, 0, 1, -950, 3000);
  world_run (&fixture->world, 1000, 5);
  /* 1010 s old by the owner's clock: accepted, because the owner allows for a
     clock that is 120 s behind. */
  CU_ASSERT_EQUAL (fixture->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  fixture->world.nodes[1].skew_s = 300;
  uint32_t other = begin_attempt (fixture, 0, 2, -950, 3000);
  world_run (&fixture->world, 1000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][other], CLAIM_VERDICT_KEY_REFUSED);
  fixture_free (fixture);
}

static void
test_store_reset_to_older_content (void)
{
  struct fixture *fixture = fixture_new (8, 2);
  for (uint32_t i = 0; i < 12; i++)
    {
      begin_attempt (fixture, 0, i, 0, 3000);
      world_run (&fixture->world, 100, 5);
      if (i == 6)
        fake_store_save (&fixture->world.store);
    }
  uint32_t lost = begin_attempt (fixture, 0, 100, 0, 3000);
  world_run (&fixture->world, 300, 5);
  finish_attempt (fixture, 0, lost, CLAIM_RECORD_OUTCOME);
  world_run (&fixture->world, 300, 5);
  fake_store_restore (&fixture->world.store);
  world_run (&fixture->world, 3000, 5);
  /* A new owner knows the outcome and refuses unknown keys, which may be among
     the lost ones. */
  set_owner_in_all_views (fixture, 1);
  uint32_t again = begin_attempt (fixture, 1, 100, 0, 3000);
  uint32_t unknown = begin_attempt (fixture, 1, 200, 0, 3000);
  world_run (&fixture->world, 1000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][again], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (fixture->verdicts[1][unknown], CLAIM_VERDICT_KEY_REFUSED);
  world_run (&fixture->world, 300000, 50);
  uint32_t later = begin_attempt (fixture, 2, 300, 300, 3000);
  world_run (&fixture->world, 1000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[2][later], CLAIM_VERDICT_GRANTED);
  fixture_free (fixture);
}

static void
test_reports_leave_room_for_claims (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  struct claim_owner *owner = &fixture->world.nodes[0].owner;
  fixture->world.store.outage = true;
  for (uint64_t i = 0; i < CLAIM_OWNER_REQUESTS; i++)
    {
      struct claim_record release = { .kind = CLAIM_RECORD_RELEASE,
                                      .nonce = i + 1,
                                      .created_s = WORLD_WALL_MS / 1000 };
      hash_content (&release.key, &i, sizeof i);
      claim_owner_report (owner, 2, i + 1, &release, fixture->world.now_ms);
    }
  CU_ASSERT_EQUAL (owner->request_count, CLAIM_OWNER_REPORTS);
  uint32_t attempt = begin_attempt (fixture, 1, 1, 0, 9000);
  fixture->world.store.outage = false;
  world_run (&fixture->world, 4000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[1][attempt], CLAIM_VERDICT_GRANTED);
  CU_ASSERT (owner->request_count == 0 && owner->report_count == 0);
  fixture_free (fixture);
}

static void
test_corrupt_segment_grants_nothing (void)
{
  struct fixture *fixture = fixture_new (0, 0);
  fake_store_set (&fixture->world.store, "claims/0/1", "garbage", 7);
  uint32_t attempt = begin_attempt (fixture, 0, 1, 0, 3000);
  world_run (&fixture->world, 4000, 5);
  CU_ASSERT_EQUAL (fixture->verdicts[0][attempt], CLAIM_VERDICT_TIMED_OUT);
  fixture_free (fixture);
}

static const struct test_case cases[] = {
  { "a claim is granted before it is in the store",
    test_grant_waits_for_stored_segment },
  { "a lost answer writes a claim twice or never",
    test_lost_answer_commits_once },
  { "two owners grant the same key", test_two_owners_grant_once },
  { "a report is confirmed although another segment took its number",
    test_report_survives_append_conflict },
  { "a new owner does not know a recorded outcome",
    test_new_owner_returns_the_outcome },
  { "a released key cannot be claimed again",
    test_release_grants_the_waiting_attempt },
  { "a delayed write of a segment succeeds at a number that was used again",
    test_late_write_cannot_reuse_a_number },
  { "a reader misses claims that were compacted into chunks",
    test_chunks_contain_every_claim },
  { "a segment is overwritten before its chunk exists",
    test_segments_wait_for_their_chunk },
  { "expired chunks are not removed", test_expired_chunks_are_removed },
  { "an expired key is granted again",
    test_old_key_is_refused_before_it_expires },
  { "claims that the store has lost are granted again",
    test_store_reset_to_older_content },
  { "reports that accumulate in an outage leave no room for claims",
    test_reports_leave_room_for_claims },
  { "a corrupt segment is skipped", test_corrupt_segment_grants_nothing },
};

int
main (void)
{
  return testing_run ("claim owner", cases, sizeof cases / sizeof cases[0]);
}
