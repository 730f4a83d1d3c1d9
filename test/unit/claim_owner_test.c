#include "../standin/claim_world.h"
#include "testing.h"

#include <stdio.h>

#define NONE (-1)

struct scene
{
  struct world world;
  int verdicts[WORLD_NODES][64]; ///< by node and attempt handle
  uint16_t status;
  char body[16];
};

static void
on_answer (struct world *world, uint32_t node, uint32_t attempt,
           enum claim_verdict verdict, const struct claim_record *outcome)
{
  struct scene *scene = world->arg;
  scene->verdicts[node][attempt] = (int)verdict;
  if (outcome == NULL)
    return;
  scene->status = outcome->status;
  if (outcome->body_size < sizeof scene->body)
    memcpy (scene->body, outcome->body, outcome->body_size);
}

static struct scene *
scene_new (uint32_t ring, uint32_t chunk_segments)
{
  struct scene *scene = calloc (1, sizeof *scene);
  assert (scene != NULL);
  scene->world.window_s = 900;
  scene->world.ring = ring;
  scene->world.chunk_segments = chunk_segments;
  scene->world.latency_ms = 1;
  scene->world.on_answer = on_answer;
  scene->world.arg = scene;
  world_init (&scene->world, 1);
  memset (scene->verdicts, 0xff, sizeof scene->verdicts);
  return scene;
}

static void
scene_free (struct scene *scene)
{
  world_finish (&scene->world);
  free (scene);
}

static void
set_view (struct scene *scene, uint32_t owner)
{
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    scene->world.nodes[i].view = owner;
}

/// Starts an attempt.
/// @param created_s  creation time of the key, relative to the scene's start
static uint32_t
begin (struct scene *scene, uint32_t node, uint32_t number, int32_t created_s,
       uint32_t deadline_ms)
{
  struct world *world = &scene->world;
  char key[64];
  uint32_t attempt = CLAIM_ATTEMPT_NONE;
  snprintf (key, sizeof key, "%lld-number%06u",
            (long long)(WORLD_WALL_MS / 1000) + created_s, number);
  enum status status = claim_client_begin (
      &world->nodes[node].client, key, deadline_ms, world->now_ms,
      world_wall_ms (&world->nodes[node]), &attempt);
  CU_ASSERT_EQUAL_FATAL (status, STATUS_OK);
  scene->verdicts[node][attempt] = NONE;
  return attempt;
}

static void
finish (struct scene *scene, uint32_t node, uint32_t attempt,
        enum claim_record_kind kind)
{
  struct claim_record outcome = { .status = 201,
                                  .body = (const uint8_t *)"sealed",
                                  .body_size = 6,
                                  .body_complete = true };
  claim_client_finish (&scene->world.nodes[node].client, attempt, kind,
                       &outcome, scene->world.now_ms);
}

static void
test_grant_follows_the_segment (void)
{
  struct scene *scene = scene_new (0, 0);
  scene->world.store.latency_ms = 400;
  uint32_t attempt = begin (scene, 0, 1, 0, 5000);
  while (scene->verdicts[0][attempt] == NONE && scene->world.now_ms < 4000)
    {
      world_step (&scene->world, 1);
      if (scene->verdicts[0][attempt] == CLAIM_VERDICT_GRANTED)
        CU_ASSERT_PTR_NOT_NULL (fake_find (&scene->world.store, "claims/0/1"));
    }
  CU_ASSERT_EQUAL (scene->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  scene->world.store.outage = true;
  uint32_t other = begin (scene, 0, 2, 0, 1000);
  world_run (&scene->world, 1500, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][other], CLAIM_VERDICT_TIMED_OUT);
  scene->world.store.outage = false;
  uint32_t again = begin (scene, 1, 3, 0, 5000);
  world_run (&scene->world, 4000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][again], CLAIM_VERDICT_GRANTED);
  scene_free (scene);
}

static void
test_lost_answer_commits_once (void)
{
  struct scene *scene = scene_new (0, 0);
  world_run (&scene->world, 10, 5);
  begin (scene, 0, 1, 0, 9000);
  world_run (&scene->world, 20, 1);
  scene->world.store.lose_answers = 1;
  world_run (&scene->world, 6000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][0], CLAIM_VERDICT_GRANTED);
  CU_ASSERT_EQUAL (scene->world.nodes[0].owner.log.tip, 1);
  CU_ASSERT_PTR_NULL (fake_find (&scene->world.store, "claims/0/2"));
  scene_free (scene);
}

static void
test_two_owners_grant_once (void)
{
  struct scene *scene = scene_new (0, 0);
  scene->world.nodes[0].view = 0;
  scene->world.nodes[1].view = 1;
  uint32_t a = begin (scene, 0, 1, 0, 1500);
  uint32_t b = begin (scene, 1, 1, 0, 1500);
  world_run (&scene->world, 1000, 1);
  int granted = (scene->verdicts[0][a] == CLAIM_VERDICT_GRANTED)
                + (scene->verdicts[1][b] == CLAIM_VERDICT_GRANTED);
  CU_ASSERT_EQUAL (granted, 1);
  world_run (&scene->world, 2000, 5);
  /* The other may not say that the request did not run. */
  CU_ASSERT (scene->verdicts[0][a] == CLAIM_VERDICT_SPENT
             || scene->verdicts[1][b] == CLAIM_VERDICT_SPENT);
  scene_free (scene);
}

static void
test_displaced_reports_are_stored (void)
{
  struct scene *scene = scene_new (0, 0);
  uint32_t a = begin (scene, 0, 1, 0, 3000);
  uint32_t b = begin (scene, 1, 2, 0, 3000);
  world_run (&scene->world, 500, 1);
  /* Both owners write their report as the same segment; one is second. */
  scene->world.nodes[1].view = 1;
  begin (scene, 1, 3, 0, 3000);
  world_run (&scene->world, 500, 1);
  finish (scene, 0, a, CLAIM_RECORD_OUTCOME);
  finish (scene, 1, b, CLAIM_RECORD_OUTCOME);
  world_run (&scene->world, 1000, 1);
  CU_ASSERT_EQUAL (scene->world.nodes[0].client.active, 0);
  set_view (scene, 2);
  uint32_t again_a = begin (scene, 2, 1, 0, 3000);
  uint32_t again_b = begin (scene, 2, 2, 0, 3000);
  world_run (&scene->world, 1000, 1);
  CU_ASSERT_EQUAL (scene->verdicts[2][again_a], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (scene->verdicts[2][again_b], CLAIM_VERDICT_RECORDED);
  scene_free (scene);
}

static void
test_resend_gets_the_outcome_from_a_new_owner (void)
{
  struct scene *scene = scene_new (0, 0);
  uint32_t first = begin (scene, 0, 1, 0, 1500);
  world_run (&scene->world, 500, 5);
  finish (scene, 0, first, CLAIM_RECORD_OUTCOME);
  world_run (&scene->world, 500, 5);
  set_view (scene, 2);
  uint32_t second = begin (scene, 1, 1, 0, 1500);
  world_run (&scene->world, 1000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][second], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (scene->status, 201);
  CU_ASSERT_STRING_EQUAL (scene->body, "sealed");
  scene_free (scene);
}

static void
test_release_lets_a_waiting_resend_run (void)
{
  struct scene *scene = scene_new (0, 0);
  uint32_t first = begin (scene, 0, 1, 0, 5000);
  world_run (&scene->world, 500, 5);
  uint32_t second = begin (scene, 1, 1, 0, 5000);
  world_run (&scene->world, 499, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][second], NONE);
  finish (scene, 0, first, CLAIM_RECORD_RELEASE);
  world_run (&scene->world, 500, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][second], CLAIM_VERDICT_GRANTED);
  finish (scene, 1, second, CLAIM_RECORD_SPENT);
  world_run (&scene->world, 500, 5);
  uint32_t third = begin (scene, 2, 1, 0, 5000);
  world_run (&scene->world, 500, 5);
  CU_ASSERT_EQUAL (scene->verdicts[2][third], CLAIM_VERDICT_SPENT);
  scene_free (scene);
}

static void
test_late_write_cannot_reuse_a_number (void)
{
  struct scene *scene = scene_new (8, 2);
  world_run (&scene->world, 10, 5);
  begin (scene, 0, 900, 0, 9000);
  world_run (&scene->world, 40, 5);
  scene->world.store.delay_writes = 1;
  scene->world.store.delay_writes_ms = 9000;
  begin (scene, 0, 1, 0, 3000);
  world_run (&scene->world, 200, 5);
  /* The first owner is cut off; the next one uses the same number and goes on
     until the ring has wrapped. */
  scene->world.nodes[0].paused_until_ms = scene->world.now_ms + 60000;
  scene->world.nodes[1].view = 1;
  for (uint32_t i = 2; i < 40; i++)
    {
      uint32_t attempt = begin (scene, 1, i, 0, 3000);
      world_run (&scene->world, 200, 5);
      CU_ASSERT_EQUAL (scene->verdicts[1][attempt], CLAIM_VERDICT_GRANTED);
      finish (scene, 1, attempt, CLAIM_RECORD_OUTCOME);
    }
  uint64_t tip = scene->world.nodes[1].owner.log.tip;
  world_run (&scene->world, 70000, 20);
  CU_ASSERT (tip > 16);
  CU_ASSERT (scene->world.nodes[0].owner.log.tip >= tip);
  CU_ASSERT_NOT_EQUAL (scene->verdicts[0][1], CLAIM_VERDICT_GRANTED);
  scene_free (scene);
}

static void
test_chunks_hold_every_claim (void)
{
  struct scene *scene = scene_new (8, 2);
  for (uint32_t i = 0; i < 60; i++)
    {
      uint32_t attempt = begin (scene, 0, i, 0, 3000);
      world_run (&scene->world, 150, 5);
      if (i % 3 == 0)
        finish (scene, 0, attempt, CLAIM_RECORD_OUTCOME);
      else
        finish (scene, 0, attempt, CLAIM_RECORD_SPENT);
    }
  world_run (&scene->world, 500, 5);
  CU_ASSERT (scene->world.nodes[0].owner.log.chunk_high >= 20);
  set_view (scene, 1);
  begin (scene, 2, 5000, 0, 9000);
  world_run (&scene->world, 2000, 5);
  const struct claim_table *old = &scene->world.nodes[0].owner.log.table;
  const struct claim_table *read = &scene->world.nodes[1].owner.log.table;
  CU_ASSERT (read->count == 61 && old->count == 60);
  for (uint32_t i = 0; i < old->count; i++)
    {
      const struct claim *claim = claim_table_find (read, &old->items[i].key);
      CU_ASSERT (claim != NULL && claim->state == old->items[i].state
                 && claim->nonce == old->items[i].nonce);
    }
  scene_free (scene);
}

static void
test_segments_wait_for_their_chunk (void)
{
  struct scene *scene = scene_new (8, 2);
  scene->world.store.refuse_keys = "/chunk/";
  for (uint32_t i = 0; i < 20; i++)
    {
      begin (scene, 0, i, 0, 20000);
      world_run (&scene->world, 100, 5);
    }
  CU_ASSERT_EQUAL (scene->world.nodes[0].owner.log.tip, 8);
  scene->world.store.refuse_keys = NULL;
  world_run (&scene->world, 2000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][19], CLAIM_VERDICT_GRANTED);
  scene_free (scene);
}

static void
test_expired_chunks_are_removed (void)
{
  struct scene *scene = scene_new (8, 2);
  for (uint32_t i = 0; i < 20; i++)
    {
      begin (scene, 0, i, 0, 3000);
      world_run (&scene->world, 150, 5);
    }
  size_t chunks = scene->world.nodes[0].owner.log.chunk_count;
  world_run (&scene->world, (900 + 240 + 60) * 1000, 1000);
  CU_ASSERT (chunks >= 8);
  CU_ASSERT_EQUAL (scene->world.nodes[0].owner.log.chunk_count, 1);
  CU_ASSERT_EQUAL (scene->world.nodes[0].owner.log.table.count, 0);
  set_view (scene, 1);
  uint32_t attempt = begin (scene, 0, 99, 1200, 3000);
  world_run (&scene->world, 1000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  scene_free (scene);
}

static void
test_old_key_is_refused_before_it_is_forgotten (void)
{
  struct scene *scene = scene_new (0, 0);
  scene->world.nodes[0].skew_s = -60; /* client */
  scene->world.nodes[1].skew_s = 60;  /* owner */
  set_view (scene, 1);
  uint32_t attempt = begin (scene, 0, 1, -950, 3000);
  world_run (&scene->world, 1000, 5);
  /* 1010 s old for the owner: within the window of a clock 120 s behind. */
  CU_ASSERT_EQUAL (scene->verdicts[0][attempt], CLAIM_VERDICT_GRANTED);
  scene->world.nodes[1].skew_s = 300;
  uint32_t other = begin (scene, 0, 2, -950, 3000);
  world_run (&scene->world, 1000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][other], CLAIM_VERDICT_KEY_REFUSED);
  scene_free (scene);
}

static void
test_store_gone_back (void)
{
  struct scene *scene = scene_new (8, 2);
  for (uint32_t i = 0; i < 12; i++)
    {
      begin (scene, 0, i, 0, 3000);
      world_run (&scene->world, 100, 5);
      if (i == 6)
        fake_store_save (&scene->world.store);
    }
  uint32_t lost = begin (scene, 0, 100, 0, 3000);
  world_run (&scene->world, 300, 5);
  finish (scene, 0, lost, CLAIM_RECORD_OUTCOME);
  world_run (&scene->world, 300, 5);
  fake_store_restore (&scene->world.store);
  world_run (&scene->world, 3000, 5);
  /* A new owner knows the outcome and refuses keys that may be lost. */
  set_view (scene, 1);
  uint32_t again = begin (scene, 1, 100, 0, 3000);
  uint32_t unknown = begin (scene, 1, 200, 0, 3000);
  world_run (&scene->world, 1000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][again], CLAIM_VERDICT_RECORDED);
  CU_ASSERT_EQUAL (scene->verdicts[1][unknown], CLAIM_VERDICT_KEY_REFUSED);
  world_run (&scene->world, 300000, 50);
  uint32_t later = begin (scene, 2, 300, 300, 3000);
  world_run (&scene->world, 1000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[2][later], CLAIM_VERDICT_GRANTED);
  scene_free (scene);
}

static void
test_reports_leave_room_for_claims (void)
{
  struct scene *scene = scene_new (0, 0);
  struct claim_owner *owner = &scene->world.nodes[0].owner;
  scene->world.store.outage = true;
  for (uint64_t i = 0; i < CLAIM_OWNER_REQUESTS; i++)
    {
      struct claim_record release = { .kind = CLAIM_RECORD_RELEASE,
                                      .nonce = i + 1,
                                      .created_s = WORLD_WALL_MS / 1000 };
      hash_content (&release.key, &i, sizeof i);
      claim_owner_report (owner, 2, i + 1, &release, scene->world.now_ms);
    }
  CU_ASSERT_EQUAL (owner->request_count, CLAIM_OWNER_REPORTS);
  uint32_t attempt = begin (scene, 1, 1, 0, 9000);
  scene->world.store.outage = false;
  world_run (&scene->world, 4000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[1][attempt], CLAIM_VERDICT_GRANTED);
  CU_ASSERT (owner->request_count == 0 && owner->report_count == 0);
  scene_free (scene);
}

static void
test_corrupt_segment_grants_nothing (void)
{
  struct scene *scene = scene_new (0, 0);
  fake_store_set (&scene->world.store, "claims/0/1", "garbage", 7);
  uint32_t attempt = begin (scene, 0, 1, 0, 3000);
  world_run (&scene->world, 4000, 5);
  CU_ASSERT_EQUAL (scene->verdicts[0][attempt], CLAIM_VERDICT_TIMED_OUT);
  scene_free (scene);
}

static const struct test_case cases[] = {
  { "a claim is granted before it is in the store",
    test_grant_follows_the_segment },
  { "a lost answer writes a claim twice or never",
    test_lost_answer_commits_once },
  { "two owners grant the same key", test_two_owners_grant_once },
  { "a report is confirmed although another segment took its number",
    test_displaced_reports_are_stored },
  { "a new owner forgets an outcome",
    test_resend_gets_the_outcome_from_a_new_owner },
  { "a released key stays blocked", test_release_lets_a_waiting_resend_run },
  { "a late write takes a number that was reused",
    test_late_write_cannot_reuse_a_number },
  { "a reader misses claims that were compacted",
    test_chunks_hold_every_claim },
  { "a segment is overwritten before its chunk exists",
    test_segments_wait_for_their_chunk },
  { "expired chunks pile up", test_expired_chunks_are_removed },
  { "a forgotten key is granted again",
    test_old_key_is_refused_before_it_is_forgotten },
  { "claims that the store lost are granted again", test_store_gone_back },
  { "reports of an outage keep claims out",
    test_reports_leave_room_for_claims },
  { "a corrupt segment is skipped", test_corrupt_segment_grants_nothing },
};

int
main (void)
{
  return testing_run ("claim owner", cases, sizeof cases / sizeof cases[0]);
}
