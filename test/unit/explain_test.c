#include "coordination/admission_queue.h"
#include "coordination/placement.h"
#include "coordination/retry_quota.h"
#include "sidecar/sidecar_explain.h"
#include "sidecar/sidecar_move.h"
#include "state/mesh_config.h"
#include "testing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOW 10000

static struct directory directory;
static struct rng rng;

static struct directory_record *
add (const char *node, const char *zone, const char *version,
     enum directory_state state)
{
  struct directory_entry entry
      = { .address = 1, .port = 1, .slots = 4, .state = state, .epoch = 1 };
  strcpy (entry.node, node);
  strcpy (entry.availability_zone, zone);
  strcpy (entry.service, "orders");
  strcpy (entry.version, version);
  strcpy (entry.instance, node);
  size_t handle = directory_put (&directory, &entry, 1, 0);
  return &directory.records[handle];
}

static struct placement_request
new_directory (void)
{
  directory_finish (&directory);
  directory_init (&directory);
  rng_init (&rng, 7);
  return (struct placement_request){ .service = "orders",
                                     .availability_zone = "a",
                                     .objective_ms = 200 };
}

static void
test_obstacles (void)
{
  static const struct
  {
    const char *service;
    const char *zone;
    const char *version;
    enum directory_state state;
    uint64_t down_until_ms;
    bool tried;
    enum placement_obstacle expected;
  } rows[] = {
    { "orders", "a", "v1", DIRECTORY_READY, 0, false, PLACEMENT_ELIGIBLE },
    { "menu", "a", "v1", DIRECTORY_READY, 0, false, PLACEMENT_OTHER_SERVICE },
    { "orders", "a", "v1", DIRECTORY_ABSENT, 0, false,
      PLACEMENT_TARGET_ABSENT },
    { "orders", "a", "v1", DIRECTORY_DRAINING, 0, false,
      PLACEMENT_TARGET_DRAINING },
    { "orders", "a", "v1", DIRECTORY_LEAVING, 0, false,
      PLACEMENT_NODE_LEAVING },
    { "orders", "c", "v1", DIRECTORY_READY, 0, false,
      PLACEMENT_ZONE_EVACUATED },
    { "orders", "a", "v2", DIRECTORY_READY, 0, false,
      PLACEMENT_OTHER_VERSION },
    { "orders", "a", "v1", DIRECTORY_READY, 0, true, PLACEMENT_TRIED },
    { "orders", "a", "v1", DIRECTORY_READY, NOW + 1, false,
      PLACEMENT_FAILED_LATELY },
    { "orders", "a", "v1", DIRECTORY_READY, NOW, false, PLACEMENT_ELIGIBLE },
    /* The first of several reasons is stated. */
    { "orders", "c", "v2", DIRECTORY_DRAINING, NOW + 1, true,
      PLACEMENT_TARGET_DRAINING },
  };
  struct evacuation_set set = { .count = 0 };
  evacuation_add (&set, "c", 1);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct placement_request request = new_directory ();
      struct directory_record *record
          = add ("n0", rows[i].zone, rows[i].version, rows[i].state);
      strcpy (record->entry.service, rows[i].service);
      record->load.down_until_ms = rows[i].down_until_ms;
      request.evacuations = &set;
      request.version.name = "v1";
      request.tried_count = rows[i].tried;
      CU_ASSERT_EQUAL (placement_obstacle (&directory, &request, 0, NOW),
                       rows[i].expected);
      /* The decision agrees; a node that failed lately is its last resort. */
      CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, NOW) == 0,
                       rows[i].expected == PLACEMENT_ELIGIBLE
                           || rows[i].expected == PLACEMENT_FAILED_LATELY);
    }
}

static void
test_parts_of_estimates (void)
{
  static const struct
  {
    bool with_speed;
    const char *zone;
    uint32_t running;
    uint32_t failure_permille;
    uint64_t body_bytes;
    struct placement_estimate expected;
  } rows[] = {
    { false, "a", 0, 0, 0, { .service_us = 20000 } },
    { false, "a", 2, 0, 0, { .service_us = 20000, .queue_us = 2500 } },
    { false, "a", 5, 0, 0, { .service_us = 20000, .queue_us = 15000 } },
    { false, "b", 0, 0, 0, { .service_us = 20000, .zone_us = 5000 } },
    { false, "a", 0, 500, 0, { .service_us = 20000, .failure_us = 219560 } },
    { true, "a", 0, 0, 0, { .service_us = 20000 } },
    { true, "a", 4, 0, 0, { .service_us = 20000, .queue_us = 10000 } },
    { true, "b", 0, 0, 0, { .service_us = 20000, .zone_us = 8166 } },
    /* 1 MB at 10 MB per second. */
    { true, "a", 0, 0, 1000000, { .service_us = 20000, .body_us = 100000 } },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct placement_request request = new_directory ();
      struct directory_record *record
          = add ("n0", rows[i].zone, "v1", DIRECTORY_READY);
      struct placement_decision decision;
      request.body_bytes = rows[i].body_bytes;
      request.link_bytes_per_s = 10000000;
      placement_report (record, rows[i].running, 0, 20000, NOW);
      if (rows[i].with_speed)
        placement_report_speed (record, 100, 0);
      record->load.error_permille = rows[i].failure_permille;
      record->load.error_ms = NOW;
      placement_decide (&directory, &request, &rng, NOW, &decision);
      CU_ASSERT_EQUAL (decision.best, 0);
      CU_ASSERT_EQUAL (decision.basis.with_speed, rows[i].with_speed);
      struct placement_estimate estimate
          = placement_estimate (record, &request, &decision.basis, NOW);
      CU_ASSERT_EQUAL (memcmp (&estimate, &rows[i].expected, sizeof estimate),
                       0);
    }
}

/// Asks before each of many choices and compares the explanation with it.
static void
test_explained_choice_is_made (void)
{
  static const char *const zones[] = { "a", "b", "c" };
  struct placement_request request = new_directory ();
  for (size_t i = 0; i < 12; i++)
    {
      char node[8];
      snprintf (node, sizeof node, "n%zu", i);
      add (node, zones[i % 3], "v1", DIRECTORY_READY);
    }
  for (uint64_t i = 0; i < 2000; i++)
    {
      uint64_t now = NOW + 5 * i;
      struct rng copy = rng;
      struct placement_decision decision;
      placement_decide (&directory, &request, &copy, now, &decision);
      size_t least = SIZE_MAX;
      uint64_t least_us = UINT64_MAX;
      for (size_t k = 0; k < decision.compared_count; k++)
        {
          size_t handle = decision.compared[k];
          struct placement_estimate estimate = placement_estimate (
              &directory.records[handle], &request, &decision.basis, now);
          if (placement_estimate_us (&estimate) < least_us)
            {
              least_us = placement_estimate_us (&estimate);
              least = handle;
            }
        }
      struct placement_estimate chosen = placement_estimate (
          &directory.records[decision.best], &request, &decision.basis, now);
      CU_ASSERT_EQUAL (placement_estimate_us (&chosen), least_us);
      CU_ASSERT_NOT_EQUAL (least, SIZE_MAX);
      size_t best = placement_choose (&directory, &request, &rng, now);
      CU_ASSERT_EQUAL (best, decision.best);
      CU_ASSERT_EQUAL (memcmp (&rng, &copy, sizeof rng), 0);
      placement_begin (&directory.records[best]);
      if (i % 2 == 0)
        placement_end (&directory.records[best],
                       i % 14 == 0   ? PLACEMENT_FAILED
                       : i % 22 == 0 ? PLACEMENT_LOST
                                     : PLACEMENT_ANSWERED,
                       now);
      placement_report (&directory.records[best], (uint32_t)(i % 6),
                        (uint32_t)(i % 3), (uint32_t)(9000 + 997 * best), now);
      if (i > 1000)
        placement_report_speed (&directory.records[best],
                                (uint32_t)(90 + i % 150), 0);
    }
}

#define TICKETS 1024

static struct admission_queue queue;
static struct admission_queue_ticket tickets[TICKETS];

static void
ignore_run (void *arg, struct admission_queue_ticket *ticket)
{
}

static void
ignore_refuse (void *arg, struct admission_queue_ticket *ticket,
               enum admit_refusal why)
{
}

static const struct admission_queue_ops ops
    = { .run = ignore_run, .refuse = ignore_refuse };

static void
new_queue (enum admission_mode mode, size_t slots)
{
  memset (tickets, 0, sizeof tickets);
  admission_queue_init (&queue, &ops, NULL);
  admission_queue_set_mode (&queue, mode, 0);
  admission_queue_set_slots (&queue, slots, 0);
}

static enum status
offer (size_t index, uint64_t deadline_ms, uint64_t now_ms)
{
  struct admission_queue_work work = { .kind = 1,
                                       .rank = 1,
                                       .objective_ms = now_ms + 50,
                                       .deadline_ms = deadline_ms };
  enum admit_refusal why;
  tickets[index] = (struct admission_queue_ticket){ .state = ADMIT_NEW };
  return admission_queue_offer (&queue, &tickets[index], &work, now_ms * 1000,
                                &why);
}

static void
test_admission_results (void)
{
  static const struct
  {
    size_t slots;
    size_t in_use; ///< requests before: running, then queued
    bool draining;
    uint32_t left_ms;
    enum admit_state state;
    enum admit_refusal why;
    bool waits;
  } rows[] = {
    { 4, 0, false, 1000, ADMIT_RUNNING, ADMIT_REFUSED_ABSENT, false },
    { 4, 4, false, 1000, ADMIT_QUEUED, ADMIT_REFUSED_ABSENT, true },
    { 0, 0, false, 1000, ADMIT_OVER, ADMIT_REFUSED_ABSENT, false },
    { 4, 0, true, 1000, ADMIT_OVER, ADMIT_REFUSED_DRAINING, false },
    { 4, 0, false, 20, ADMIT_OVER, ADMIT_REFUSED_LATE, false },
    { 4, 20, false, 36, ADMIT_OVER, ADMIT_REFUSED_LATE, true },
    { 4, 4 + ADMISSION_QUEUE_MAX, false, 100000, ADMIT_OVER,
      ADMIT_REFUSED_FULL, true },
  };
  for (int mode = ADMISSION_RANK; mode <= ADMISSION_COST; mode++)
    for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
      {
        struct admission_preview preview;
        new_queue ((enum admission_mode)mode, rows[i].slots);
        if (rows[i].slots > 0)
          {
            offer (TICKETS - 1, NOW + 1000, NOW - 20);
            admission_queue_finish (&queue, &tickets[TICKETS - 1], true,
                                    NOW * 1000);
          }
        for (size_t k = 0; k < rows[i].in_use; k++)
          offer (k, NOW + 100000, NOW);
        admission_queue_set_draining (&queue, rows[i].draining);
        struct admission_queue_work work
            = { .kind = 1,
                .rank = 1,
                .objective_ms = NOW + 50,
                .deadline_ms = NOW + rows[i].left_ms };
        CU_ASSERT_EQUAL (
            admission_queue_preview (&queue, &work, NOW * 1000, &preview),
            STATUS_OK);
        CU_ASSERT_EQUAL (preview.state, rows[i].state);
        if (rows[i].state == ADMIT_OVER)
          CU_ASSERT_EQUAL (preview.why, rows[i].why);
        CU_ASSERT_EQUAL (preview.wait_us > 0, rows[i].waits);
        CU_ASSERT_EQUAL (preview.service_us, rows[i].slots > 0 ? 20000 : 0);
      }
}

/// Asks before each of many offers, and compares all state before and after.
static void
test_admission_is_left_alone (void)
{
  static struct admission_queue queue_before;
  static struct admission_queue_ticket tickets_before[TICKETS];
  for (int mode = ADMISSION_RANK; mode <= ADMISSION_COST; mode++)
    {
      size_t results[ADMIT_OVER + 1] = { 0 };
      rng_init (&rng, 5);
      new_queue ((enum admission_mode)mode, 6);
      for (size_t i = 0; i < TICKETS; i++)
        {
          uint64_t now_ms = NOW + 3 * i;
          struct admission_queue_work work = {
            .kind = (uint32_t)rng_below (&rng, 4),
            .rank = (uint32_t)rng_below (&rng, 3),
            .objective_ms = now_ms + rng_below (&rng, 200),
            .deadline_ms = now_ms + 20 + rng_below (&rng, 800),
            .account = (uint32_t)rng_below (&rng, 5),
          };
          struct admission_preview preview;
          enum admit_refusal why = ADMIT_REFUSED_ABSENT;
          queue_before = queue;
          memcpy (tickets_before, tickets, sizeof tickets);
          admission_queue_preview (&queue, &work, now_ms * 1000, &preview);
          CU_ASSERT_EQUAL (
              memcmp (&queue_before, &queue, sizeof queue)
                  | memcmp (tickets_before, tickets, sizeof tickets),
              0);
          admission_queue_offer (&queue, &tickets[i], &work, now_ms * 1000,
                                 &why);
          CU_ASSERT_EQUAL (preview.state, tickets[i].state);
          CU_ASSERT_EQUAL (preview.wait_us, tickets[i].wait_us);
          CU_ASSERT_EQUAL (preview.over_share, tickets[i].cost.over_share);
          if (preview.state == ADMIT_OVER)
            CU_ASSERT_EQUAL (preview.why, why);
          results[preview.state]++;
          /* Quiet and busy spells follow each other. */
          size_t step = i % 128 < 24 ? 1 : 40;
          for (size_t k = rng_below (&rng, step); k <= i; k += step)
            if (tickets[k].state == ADMIT_RUNNING)
              admission_queue_finish (&queue, &tickets[k], true,
                                      now_ms * 1000 + 900);
          admission_queue_expire (&queue, now_ms * 1000 + 1000);
        }
      CU_ASSERT (results[ADMIT_RUNNING] > 20);
      CU_ASSERT (results[ADMIT_QUEUED] > 20);
      CU_ASSERT (results[ADMIT_OVER] > 20);
    }
}

/// By cost, urgent work displaces the least valuable request of a full queue.
static void
test_full_queue_is_left_alone (void)
{
  static struct admission_queue_ticket tickets_before[TICKETS];
  struct admission_queue_work urgent = {
    .kind = 2, .rank = 0, .objective_ms = NOW + 50, .deadline_ms = NOW + 90000
  };
  struct admission_preview preview;
  enum admit_refusal why;
  new_queue (ADMISSION_COST, 4);
  for (size_t i = 0; i < 4 + ADMISSION_QUEUE_MAX; i++)
    offer (i, NOW + 100000, NOW);
  memcpy (tickets_before, tickets, sizeof tickets);
  admission_queue_preview (&queue, &urgent, NOW * 1000, &preview);
  CU_ASSERT_EQUAL (preview.state, ADMIT_QUEUED);
  CU_ASSERT_EQUAL (queue.queued, ADMISSION_QUEUE_MAX);
  CU_ASSERT_EQUAL (memcmp (tickets_before, tickets, sizeof tickets), 0);
  CU_ASSERT_EQUAL (admission_queue_offer (&queue, &tickets[TICKETS - 1],
                                          &urgent, NOW * 1000, &why),
                   STATUS_OK);
  CU_ASSERT_NOT_EQUAL (
      memcmp (tickets_before, tickets, (TICKETS - 1) * sizeof tickets[0]), 0);
}

static void
test_retry_budget (void)
{
  struct retry_quota_table table;
  retry_quota_init (&table, 200);
  retry_quota_set_slack (&table, 50, 5);
  size_t allowed = 0;
  for (size_t i = 0; i < 500; i++)
    {
      const char *service = i % 3 == 0 ? "menu" : "orders";
      uint32_t tokens = retry_quota_millitokens (&table, service);
      bool would = retry_quota_would_allow (&table, service);
      CU_ASSERT_EQUAL (retry_quota_millitokens (&table, service), tokens);
      retry_quota_count_request (&table, service, i);
      CU_ASSERT_EQUAL (would,
                       retry_quota_millitokens (&table, service) >= 1000);
      if (i % 4 != 0)
        CU_ASSERT_EQUAL (retry_quota_take (&table, service, i), would);
      allowed += would;
    }
  CU_ASSERT (allowed > 20 && allowed < 480);
  retry_quota_finish (&table);
}

static void
test_next_service_of_a_split (void)
{
  struct mesh_weighted_service split[] = { { .service = "x", .weight = 5 },
                                           { .service = "y", .weight = 0 },
                                           { .service = "z", .weight = 2 },
                                           { .service = "w", .weight = 1 } };
  struct mesh_route route = { .split = split, .split_count = 4 };
  size_t counts[4] = { 0 };
  for (size_t i = 0; i < 80; i++)
    {
      const char *next = mesh_route_next (&route);
      CU_ASSERT_STRING_EQUAL (mesh_route_next (&route), next);
      CU_ASSERT_STRING_EQUAL (mesh_route_choose (&route), next);
      for (size_t k = 0; k < 4; k++)
        counts[k] += strcmp (split[k].service, next) == 0;
    }
  CU_ASSERT (counts[0] == 50 && counts[1] == 0 && counts[2] == 20
             && counts[3] == 10);
}

/// Asks before each request of a move that is running, for kinds whose
/// rotation has begun and for new ones.
static void
test_version_of_a_move (void)
{
  static struct sidecar sidecar;
  static struct sidecar_moves moves;
  struct service_move *move = &moves.items[0];
  size_t of_new = 0;
  new_directory ();
  add ("n0", "a", "v1", DIRECTORY_READY);
  add ("n1", "a", "v2", DIRECTORY_READY);
  sidecar.directory = directory;
  sidecar.moves = &moves;
  rng_init (&sidecar.rng, 9);
  move->sidecar = &sidecar;
  strcpy (move->service, "orders");
  strcpy (move->record.to_version, "v2");
  move->has_record = true;
  move->record.phase = MOVE_PHASE_RUNNING;
  move->record.share_bp = 3000;
  for (uint32_t i = 0; i < 400; i++)
    {
      uint32_t kind = 1 + i % 4;
      struct placement_version explained, again, chosen;
      struct rng copy = sidecar.rng;
      sidecar_move_preview (&sidecar, "orders", kind, &copy, &explained);
      copy = sidecar.rng;
      sidecar_move_preview (&sidecar, "orders", kind, &copy, &again);
      sidecar_moves_choose (&sidecar, "orders", kind, false, &chosen);
      CU_ASSERT_STRING_EQUAL (explained.name, "v2");
      CU_ASSERT_EQUAL (again.exclude, explained.exclude);
      CU_ASSERT_EQUAL (chosen.exclude, explained.exclude);
      CU_ASSERT_EQUAL (memcmp (&copy, &sidecar.rng, sizeof copy), 0);
      of_new += !chosen.exclude;
    }
  CU_ASSERT (of_new >= 116 && of_new <= 124);
}

/// The compared nodes are listed also when they are among the last.
static void
test_large_service (void)
{
  static struct sidecar sidecar;
  struct placement_request request = new_directory ();
  struct placement_decision decision;
  size_t omitted, compared = 0;
  for (size_t i = 0; i < 600; i++)
    {
      char node[DIRECTORY_NAME_MAX + 1];
      snprintf (node, sizeof node, "%060zu", i);
      placement_report (add (node, "a", "v1",
                             i < 590 ? DIRECTORY_DRAINING : DIRECTORY_READY),
                        1, 1, 20000, NOW);
    }
  sidecar.directory = directory;
  placement_decide (&directory, &request, &rng, NOW, &decision);
  json_t *nodes
      = sidecar_explain_nodes (&sidecar, &request, &decision, NOW, &omitted);
  char *text = json_dumps (nodes, JSON_COMPACT);
  CU_ASSERT_EQUAL (json_array_size (nodes), 500);
  CU_ASSERT_EQUAL (omitted, 100);
  for (size_t i = 0; i < json_array_size (nodes); i++)
    compared += json_is_true (
        json_object_get (json_array_get (nodes, i), "compared"));
  CU_ASSERT_EQUAL (compared, decision.compared_count);
  CU_ASSERT (text != NULL && strlen (text) < 1024 * 1024);
  free (text);
  json_decref (nodes);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a node is excluded for another reason than is stated", test_obstacles },
    { "a part of an estimate is stated wrong", test_parts_of_estimates },
    { "a request is sent elsewhere than was explained",
      test_explained_choice_is_made },
    { "admission would do something else than is stated",
      test_admission_results },
    { "asking changes the queue, or the answer differs from the decision",
      test_admission_is_left_alone },
    { "asking displaces a queued request", test_full_queue_is_left_alone },
    { "asking takes a token of the retry budget", test_retry_budget },
    { "asking moves the rotation of a traffic split",
      test_next_service_of_a_split },
    { "asking moves the rotation between versions", test_version_of_a_move },
    { "the answer grows without bound, or omits the compared nodes",
      test_large_service },
  };
  return testing_run ("explain", cases, sizeof cases / sizeof cases[0]);
}
