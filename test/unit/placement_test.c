#include "coordination/placement.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

static struct directory directory;
static struct rng rng;

static void
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
  directory_put (&directory, &entry, 1, 0);
}

static void
set_up (void)
{
  directory_finish (&directory);
  directory_init (&directory);
  rng_init (&rng, 7);
}

static struct placement_request
request_from (const char *zone)
{
  return (struct placement_request){ .service = "orders",
                                     .availability_zone = zone,
                                     .objective_ms = 200 };
}

/// Chooses 200 times.
/// @param counts  how often each of the first four nodes was chosen
static void
count_choices (const struct placement_request *request, uint64_t now_ms,
               size_t counts[4])
{
  memset (counts, 0, 4 * sizeof counts[0]);
  for (int i = 0; i < 200; i++)
    {
      size_t handle = placement_choose (&directory, request, &rng, now_ms);
      if (handle < 4)
        counts[handle]++;
    }
}

static void
test_evacuated_zone (void)
{
  struct evacuation_set set = { .count = 0 };
  struct placement_request request = request_from ("a");
  size_t counts[4];
  set_up ();
  add ("n0", "a", "v1", DIRECTORY_READY);
  add ("n1", "a", "v1", DIRECTORY_READY);
  add ("n2", "b", "v1", DIRECTORY_READY);
  request.evacuations = &set;
  evacuation_add (&set, "a", 5);
  count_choices (&request, 0, counts);
  CU_ASSERT_EQUAL (counts[0] + counts[1], 0);
  CU_ASSERT_EQUAL (counts[2], 200);
  evacuation_add (&set, "b", 6);
  CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 0), SIZE_MAX);
  evacuation_remove (&set, "a", 7);
  count_choices (&request, 0, counts);
  CU_ASSERT_EQUAL (counts[0] + counts[1], 200);
}

static void
test_only_allowed_nodes (void)
{
  static const struct
  {
    const char *version;
    bool exclude;
    size_t expected; ///< SIZE_MAX: none
  } rows[] = {
    { "v1", false, 0 },
    { "v1", true, 1 },
    { "v3", false, SIZE_MAX },
  };
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v2", DIRECTORY_READY);
  add ("c", "z1", "v1", DIRECTORY_DRAINING);
  add ("d", "z1", "v3", DIRECTORY_ABSENT);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct placement_request request = request_from ("z1");
      request.version
          = (struct placement_version){ .name = rows[i].version,
                                        .exclude = rows[i].exclude };
      CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 10),
                       rows[i].expected);
    }
  struct placement_request request = request_from ("z1");
  request.service = "others";
  CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 10),
                   SIZE_MAX);
}

static void
test_tried_nodes_are_not_chosen (void)
{
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  struct placement_request request = request_from ("z1");
  request.tried[request.tried_count++] = 0;
  CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 10), 1);
  request.tried[request.tried_count++] = 1;
  CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 10),
                   SIZE_MAX);
}

static void
test_loaded_and_failing_nodes_are_avoided (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  add ("c", "z1", "v1", DIRECTORY_READY);
  struct directory_record *records = directory.records;
  placement_report (&records[0], 4, 20, 30000, 1000);
  placement_report (&records[1], 1, 0, 30000, 1000);
  placement_report (&records[2], 1, 0, 30000, 1000);
  for (int i = 0; i < 8; i++)
    {
      placement_begin (&records[2]);
      placement_end (&records[2], PLACEMENT_FAILED, 1000);
    }
  struct placement_request request = request_from ("z1");
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[1], 200);
  /* The failure share decays, so the node gets requests again. */
  placement_report (&records[0], 4, 20, 30000, 20000);
  placement_report (&records[1], 4, 4, 30000, 20000);
  placement_report (&records[2], 1, 0, 30000, 20000);
  count_choices (&request, 20010, counts);
  CU_ASSERT (counts[2] > 100);
}

static void
test_lost_nodes_are_not_chosen_for_a_while (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  placement_begin (&directory.records[0]);
  placement_end (&directory.records[0], PLACEMENT_LOST, 1000);
  struct placement_request request = request_from ("z1");
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[0], 0);
  count_choices (&request, 5000, counts);
  CU_ASSERT (counts[0] > 0);
  /* Without another eligible node, the failed one is chosen. */
  request.tried[request.tried_count++] = 1;
  CU_ASSERT_EQUAL (placement_choose (&directory, &request, &rng, 1010), 0);
}

static void
test_large_responses_stay_in_the_zone (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z2", "v1", DIRECTORY_READY);
  placement_report (&directory.records[0], 1, 0, 60000, 1000);
  placement_report (&directory.records[1], 1, 0, 30000, 1000);
  struct placement_request request = request_from ("z1");
  request.large_response = true;
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[0], 200);
  /* A long queue in the own zone costs more than crossing zones. */
  placement_report (&directory.records[0], 4, 12, 60000, 1000);
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[1], 200);
}

/// Targets of the own zone and of another one, with equal service times of
/// 5 ms, 200 ms and 2 s: how much busier the near one may be.
static void
test_small_responses_stay_in_the_zone (void)
{
  static const uint32_t service_us[] = { 5000, 200000, 2000000 };
  static const struct
  {
    uint32_t near_running;
    uint32_t near_waiting;
    uint32_t far_running;
    size_t expected;
  } rows[] = {
    { 0, 0, 0, 0 }, /* equal load */
    { 2, 0, 1, 0 }, /* slightly busier */
    { 4, 4, 1, 1 }, /* its queue is long */
    { 4, 0, 0, 1 }, /* full, while the other one is idle */
  };
  for (size_t k = 0; k < sizeof service_us / sizeof service_us[0]; k++)
    for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
      {
        size_t counts[4];
        set_up ();
        add ("a", "z1", "v1", DIRECTORY_READY);
        add ("b", "z2", "v1", DIRECTORY_READY);
        placement_report (&directory.records[0], rows[i].near_running,
                          rows[i].near_waiting, service_us[k], 1000);
        placement_report (&directory.records[1], rows[i].far_running, 0,
                          service_us[k], 1000);
        struct placement_request request = request_from ("z1");
        count_choices (&request, 1010, counts);
        CU_ASSERT_EQUAL (counts[rows[i].expected], 200);
      }
}

static void
test_full_targets_cost_more (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  for (int i = 0; i < 2; i++)
    directory.records[i].entry.slots = 9;
  placement_report (&directory.records[0], 9, 0, 30000, 1000);
  placement_report (&directory.records[1], 8, 0, 30000, 1000);
  struct placement_request request = request_from ("z1");
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[1], 200);
}

/// A target whose last reported service time was long, for instance from its
/// cold phase, gets no requests and so never reports a shorter one. Reports
/// must expire, and a target without any report must get requests too.
static void
test_old_service_times_expire (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  add ("c", "z1", "v1", DIRECTORY_READY);
  placement_report (&directory.records[0], 1, 0, 30000, 5000);
  placement_report (&directory.records[1], 0, 0, 120000, 1000);
  directory.records[0].load.in_flight = 2;
  struct placement_request request = request_from ("z1");
  count_choices (&request, 5010, counts);
  CU_ASSERT (counts[1] > 0);
  CU_ASSERT (counts[2] > 0);
}

static void
report_with_speed (size_t handle, uint32_t running, uint32_t waiting,
                   uint32_t service_us, uint32_t speed_percent,
                   uint64_t now_ms)
{
  struct directory_record *record = &directory.records[handle];
  placement_report (record, running, waiting, service_us, now_ms);
  placement_report_speed (record, speed_percent, 0);
}

/// Lets a target be known by many reports.
static void
settle_with_speed (size_t handle, uint32_t running, uint32_t service_us,
                   uint64_t now_ms)
{
  for (int i = 0; i < 100; i++)
    report_with_speed (handle, running, 0, service_us, 100, now_ms);
}

/// One target has a service time of 1.8 times that of the other, which is
/// disturbed for the moment. The service times are those of the loads.
static void
test_slow_and_disturbed_targets_differ (void)
{
  static const uint32_t service_us[] = { 5000, 170000 };
  for (size_t i = 0; i < sizeof service_us / sizeof service_us[0]; i++)
    {
      size_t counts[4];
      set_up ();
      add ("a", "z1", "v1", DIRECTORY_READY);
      add ("b", "z1", "v1", DIRECTORY_READY);
      settle_with_speed (0, 1, service_us[i] * 18 / 10, 1000);
      settle_with_speed (1, 1, service_us[i], 1000);
      struct placement_request request = request_from ("z1");
      count_choices (&request, 1010, counts);
      CU_ASSERT_EQUAL (counts[1], 200);
      report_with_speed (1, 1, 0, service_us[i], 300, 2000);
      count_choices (&request, 2010, counts);
      CU_ASSERT_EQUAL (counts[0], 200);
      /* The disturbance is probably over. */
      count_choices (&request, 3000, counts);
      CU_ASSERT_EQUAL (counts[1], 200);
    }
}

static void
test_reported_load_tends_to_the_usual_one (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  settle_with_speed (0, 1, 50000, 1000);
  settle_with_speed (1, 4, 50000, 1000);
  report_with_speed (1, 0, 0, 50000, 100, 2000);
  report_with_speed (0, 4, 1, 50000, 100, 2000);
  struct placement_request request = request_from ("z1");
  count_choices (&request, 2005, counts);
  CU_ASSERT_EQUAL (counts[1], 200);
  count_choices (&request, 3000, counts);
  CU_ASSERT_EQUAL (counts[0], 200);
}

/// All entry nodes see a new target at the same time.
static void
test_new_targets_are_not_flooded (void)
{
  size_t counts[4];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z1", "v1", DIRECTORY_READY);
  add ("c", "z1", "v1", DIRECTORY_READY);
  settle_with_speed (0, 2, 50000, 1000);
  settle_with_speed (1, 2, 50000, 1000);
  struct placement_request request = request_from ("z1");
  count_choices (&request, 1010, counts);
  CU_ASSERT (counts[2] > 20 && counts[2] < 120);
  placement_begin (&directory.records[2]);
  count_choices (&request, 1010, counts);
  CU_ASSERT_EQUAL (counts[2], 0);
}

/// Targets of the own zone and of another one: how full the near one may be,
/// and how much more a request with a large body or response bears.
static void
test_spill_to_other_zones_and_return (void)
{
  static const uint32_t service_us[] = { 5000, 170000 };
  static const struct
  {
    uint32_t near_running;
    uint32_t near_waiting;
    uint32_t near_percent;
    uint64_t body_bytes;
    bool large_response;
    size_t expected;
  } rows[] = {
    { 1, 0, 100, 0, false, 0 },        /* as busy */
    { 3, 0, 100, 0, false, 0 },        /* not yet full */
    { 4, 2, 100, 0, false, 1 },        /* a request would queue */
    { 2, 0, 250, 0, false, 1 },        /* disturbed */
    { 1, 0, 100, 0, false, 0 },        /* free again */
    { 4, 2, 100, 360000, false, 0 },   /* an upload */
    { 4, 2, 100, 0, true, 0 },         /* a download */
    { 4, 400, 100, 360000, false, 1 }, /* the upload would miss its time */
    { 4, 400, 100, 0, true, 1 },       /* so would the download */
  };
  for (size_t k = 0; k < sizeof service_us / sizeof service_us[0]; k++)
    for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
      {
        size_t counts[4];
        set_up ();
        add ("a", "z1", "v1", DIRECTORY_READY);
        add ("b", "z2", "v1", DIRECTORY_READY);
        settle_with_speed (0, 1, service_us[k], 1000);
        settle_with_speed (1, 1, service_us[k], 1000);
        report_with_speed (0, rows[i].near_running, rows[i].near_waiting,
                           service_us[k], rows[i].near_percent, 2000);
        report_with_speed (1, 1, 0, service_us[k], 100, 2000);
        struct placement_request request = request_from ("z1");
        request.body_bytes = rows[i].body_bytes;
        request.large_response = rows[i].large_response;
        request.objective_ms = 2 * service_us[k] / 1000 + 100;
        count_choices (&request, 2001, counts);
        CU_ASSERT_EQUAL (counts[rows[i].expected], 200);
      }
}

/// Many targets of the own zone, one of them on the caller's VM and busier
/// than the others. A body of 360 kB takes 288 ms on a link of 10 Mbit/s.
static void
test_uploads_avoid_the_slow_link (void)
{
  static const struct
  {
    uint64_t body_bytes;
    uint64_t link_bytes_per_s;
    uint32_t own_waiting;
    bool own; ///< expected choice
  } rows[] = {
    { 360000, 1250000, 0, true },   { 60000, 1250000, 0, true },
    { 360000, 1250000, 40, false }, /* the queue is longer than the transfer */
    { 360000, 25000000, 0, false }, /* 14 ms on a link of 200 Mbit/s */
    { 2000, 1250000, 0, false },    { 360000, 0, 0, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      set_up ();
      for (unsigned k = 0; k < 20; k++)
        {
          char node[8];
          snprintf (node, sizeof node, "n%u", k % 100);
          add (node, "z1", "v1", DIRECTORY_READY);
          settle_with_speed (k, 1, k == 7 ? 220000 : 200000, 1000);
        }
      report_with_speed (7, 3, rows[i].own_waiting, 220000, 100, 1000);
      struct placement_request request = request_from ("z1");
      request.body_bytes = rows[i].body_bytes;
      request.link_bytes_per_s = rows[i].link_bytes_per_s;
      request.own_node = "n7";
      size_t own = 0;
      for (int k = 0; k < 100; k++)
        own += placement_choose (&directory, &request, &rng, 1001) == 7;
      CU_ASSERT_EQUAL (own, rows[i].own ? 100 : 0);
    }
}

/// All targets of the own zone have full links, those of another zone free
/// ones: a wave of uploads in one zone.
static void
test_uploads_leave_a_zone_of_full_links (void)
{
  static const struct
  {
    uint64_t body_bytes;
    uint32_t near_kbytes_per_s;
    bool leaves; ///< most of the requests are expected to leave the zone
  } rows[] = {
    { 60000, 60, true },
    { 60000, 1250, false },
    { 60000, 0, false },
    { 2000, 60, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      set_up ();
      for (unsigned k = 0; k < 8; k++)
        {
          char node[8];
          snprintf (node, sizeof node, "n%u", k % 100);
          add (node, k < 4 ? "z1" : "z2", "v1", DIRECTORY_READY);
          settle_with_speed (k, 1, 200000, 1000);
          directory.records[k].load.link_free_kbytes_per_s
              = k < 4 ? rows[i].near_kbytes_per_s : 1250;
        }
      struct placement_request request = request_from ("z1");
      request.body_bytes = rows[i].body_bytes;
      request.link_bytes_per_s = 1250000;
      request.objective_ms = 1000;
      size_t far = 0;
      for (int k = 0; k < 100; k++)
        far += placement_choose (&directory, &request, &rng, 1001) >= 4;
      CU_ASSERT_EQUAL (far > 50, rows[i].leaves);
    }
}

/// Extreme figures that another node may send.
static void
test_extreme_reports (void)
{
  static const uint32_t values[] = { 0, 1, 10000, 1u << 20, UINT32_MAX };
  static const size_t count = sizeof values / sizeof values[0];
  set_up ();
  add ("a", "z1", "v1", DIRECTORY_READY);
  add ("b", "z2", "v1", DIRECTORY_READY);
  for (size_t i = 0; i < count * count * count; i++)
    {
      size_t counts[4];
      report_with_speed (0, values[i % count], values[i / count % count],
                         values[i / count / count], 10000, 1000);
      report_with_speed (1, values[i / count % count], values[i % count],
                         values[i / count / count], 10, 1000);
      struct placement_request request = request_from ("z1");
      request.body_bytes = UINT64_MAX;
      request.link_bytes_per_s = values[i % count];
      request.own_node = "a";
      count_choices (&request, 1000, counts);
      CU_ASSERT_EQUAL (counts[0] + counts[1], 200);
    }
}

/// Without the speed figure of a target, each choice and each random draw must
/// stay as it was before placement knew the figure: the expected value is the
/// hash of the choices of that code.
static void
test_choices_without_figure_are_unchanged (void)
{
  static const char *const zones[] = { "z1", "z2", "z3" };
  uint64_t hash = 14695981039346656037u;
  set_up ();
  for (int i = 0; i < 40; i++)
    {
      char node[8];
      snprintf (node, sizeof node, "n%u", (unsigned)i % 100);
      add (node, zones[i % 3], i % 5 == 0 ? "v2" : "v1",
           i % 11 == 0 ? DIRECTORY_DRAINING : DIRECTORY_READY);
    }
  /* The targets of another service report the figure. */
  add ("other", "z1", "v1", DIRECTORY_READY);
  strcpy (directory.records[40].entry.service, "stock");
  report_with_speed (40, 1, 0, 50000, 100, 1000);
  for (uint64_t i = 0; i < 5000; i++)
    {
      struct placement_request request = request_from (zones[i % 3]);
      request.large_response = i % 7 == 0;
      request.tried_count = i % 4;
      for (size_t k = 0; k < request.tried_count; k++)
        request.tried[k] = (i + k) % 40;
      size_t handle
          = placement_choose (&directory, &request, &rng, 1000 + 20 * i);
      hash = (hash ^ handle) * 1099511628211u;
      struct directory_record *record = &directory.records[handle];
      placement_begin (record);
      if (i % 3 != 0)
        placement_end (record,
                       i % 13 == 0   ? PLACEMENT_FAILED
                       : i % 17 == 0 ? PLACEMENT_LOST
                                     : PLACEMENT_ANSWERED,
                       1000 + 20 * i);
      if (i % 2 == 0)
        placement_report (record, (uint32_t)(i % 6), (uint32_t)(i % 4),
                          (uint32_t)(20000 + 997 * (handle % 9)),
                          1000 + 20 * i);
    }
  CU_ASSERT_EQUAL (hash, 6634761657672865803u);
  CU_ASSERT_EQUAL (rng_below (&rng, 1000000), 938601);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a target in an evacuated zone is chosen", test_evacuated_zone },
    { "a disturbed target looks slow by nature, or the reverse",
      test_slow_and_disturbed_targets_differ },
    { "an old report of a free or full target is believed",
      test_reported_load_tends_to_the_usual_one },
    { "all entry nodes choose a new target",
      test_new_targets_are_not_flooded },
    { "requests queue in their zone, or leave it without need",
      test_spill_to_other_zones_and_return },
    { "uploads use a slow link although the own target has a slot",
      test_uploads_avoid_the_slow_link },
    { "large bodies fill the links of one zone while others are free",
      test_uploads_leave_a_zone_of_full_links },
    { "extreme reports overflow the estimate", test_extreme_reports },
    { "placement of targets without a speed figure changes",
      test_choices_without_figure_are_unchanged },
    { "a node of another service, version or state gets a request",
      test_only_allowed_nodes },
    { "a request is offered to the same node twice",
      test_tried_nodes_are_not_chosen },
    { "requests go to loaded or failing targets although others are free",
      test_loaded_and_failing_nodes_are_avoided },
    { "requests are sent to nodes that do not respond",
      test_lost_nodes_are_not_chosen_for_a_while },
    { "large responses cross zones without need",
      test_large_responses_stay_in_the_zone },
    { "small responses cross zones without need",
      test_small_responses_stay_in_the_zone },
    { "a full target is preferred to one with a free slot",
      test_full_targets_cost_more },
    { "a target that was slow once is never used again",
      test_old_service_times_expire },
  };
  return testing_run ("placement", cases, sizeof cases / sizeof cases[0]);
}
