#include "state/config.h"
#include "state/config_check.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// Initializes a small configuration with one running move.
static void
init_sample (struct config *config)
{
  struct config_service pecet = { "pecet", "v1" }, archiv = { "archiv", "v3" };
  struct config_route seal = { "seal", "/seal/", "pecet", false, 9000 };
  struct config_route read = { "read", "/read", "archiv", true, 2000 };
  struct config_move move = { .name = "pecet-v2",
                              .service = "pecet",
                              .from = "v1",
                              .to = "v2",
                              .by_ms = 1000 };
  config_init (config);
  CU_ASSERT_EQUAL (config_set_service (config, &pecet), STATUS_OK);
  CU_ASSERT_EQUAL (config_set_service (config, &archiv), STATUS_OK);
  CU_ASSERT_EQUAL (config_set_route (config, &seal), STATUS_OK);
  CU_ASSERT_EQUAL (config_set_route (config, &read), STATUS_OK);
  CU_ASSERT_EQUAL (config_set_move (config, &move), STATUS_OK);
  CU_ASSERT_EQUAL (config_rehash (config), STATUS_OK);
}

/// @return the record that changes one configuration into another
static struct config_record
make_record (const struct config *from, struct config *to, void *arena)
{
  uint8_t *delta = NULL;
  size_t size = 0;
  CU_ASSERT_EQUAL (config_rehash (to), STATUS_OK);
  CU_ASSERT_EQUAL (config_diff (from, to, arena, &delta, &size), STATUS_OK);
  return (struct config_record){ .version = from->version + 1,
                                 .previous_hash = from->hash,
                                 .hash = to->hash,
                                 .delta = delta,
                                 .delta_size = size };
}

static void
set_phase (struct config *config, enum move_phase phase)
{
  struct config_move move = *config_find_move (config, "pecet-v2");
  move.phase = phase;
  CU_ASSERT_EQUAL (config_set_move (config, &move), STATUS_OK);
}

static void
test_hash_ignores_order (void)
{
  struct config a, b;
  init_sample (&a);
  config_init (&b);
  for (size_t i = a.service_count; i-- > 0;)
    config_set_service (&b, &a.services[i]);
  for (size_t i = 0; i < a.route_count; i++)
    config_set_route (&b, &a.routes[i]);
  config_set_move (&b, &a.moves[0]);
  config_set_move (&b, &b.moves[0]);
  config_rehash (&b);
  CU_ASSERT (hash_equal (&a.hash, &b.hash));
  config_finish (&a);
  config_finish (&b);
}

static void
test_encoding_round_trip (void)
{
  struct config a, b;
  uint8_t *bytes;
  size_t size;
  void *arena = talloc_new (NULL);
  init_sample (&a);
  CU_ASSERT_EQUAL (config_encode (&a, arena, &bytes, &size), STATUS_OK);
  CU_ASSERT_EQUAL (config_decode (&b, bytes, size), STATUS_OK);
  CU_ASSERT (hash_equal (&a.hash, &b.hash));
  CU_ASSERT_STRING_EQUAL (b.moves[0].to, "v2");
  config_finish (&b);
  for (size_t cut = 0; cut < size; cut++)
    CU_ASSERT_EQUAL (config_decode (&b, bytes, cut), STATUS_CORRUPT);
  bytes[0]++;
  CU_ASSERT_EQUAL (config_decode (&b, bytes, size), STATUS_CORRUPT);
  config_finish (&a);
  talloc_free (arena);
}

static void
test_huge_counts_are_refused (void)
{
  static const uint8_t input[] = { 0x94, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff };
  struct config config;
  CU_ASSERT_EQUAL (config_decode (&config, input, sizeof input),
                   STATUS_CORRUPT);
}

static void
test_apply_is_atomic (void)
{
  struct config config, next;
  void *arena = talloc_new (NULL);
  init_sample (&config);
  config_copy (&next, &config);
  struct config_route route = { "new", "/new", "archiv", true, 5 };
  config_set_route (&next, &route);
  config_remove (&next, CONFIG_ROUTE, "read");
  struct config_record good = make_record (&config, &next, arena);
  struct content_hash before = config.hash;

  struct config_record bad = good;
  bad.version++;
  CU_ASSERT_EQUAL (config_apply (&config, &bad), STATUS_CONFLICT);
  bad = good;
  bad.hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (config_apply (&config, &bad), STATUS_CORRUPT);
  bad = good;
  bad.previous_hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (config_apply (&config, &bad), STATUS_CORRUPT);
  bad = good;
  for (bad.delta_size = 0; bad.delta_size < good.delta_size; bad.delta_size++)
    CU_ASSERT_EQUAL (config_apply (&config, &bad), STATUS_CORRUPT);
  CU_ASSERT (hash_equal (&config.hash, &before));
  CU_ASSERT_EQUAL (config.version, 0);

  CU_ASSERT_EQUAL (config_apply (&config, &good), STATUS_OK);
  CU_ASSERT_EQUAL (config.version, 1);
  CU_ASSERT (config_find_route (&config, "new") != NULL);
  CU_ASSERT (config_find_route (&config, "read") == NULL);
  CU_ASSERT_EQUAL (config_apply (&config, &good), STATUS_CONFLICT);
  config_finish (&config);
  config_finish (&next);
  talloc_free (arena);
}

static void
test_dangling_route_is_refused (void)
{
  struct config config, next;
  void *arena = talloc_new (NULL);
  init_sample (&config);
  config_copy (&next, &config);
  config_remove (&next, CONFIG_SERVICE, "archiv");
  struct config_record record = make_record (&config, &next, arena);
  CU_ASSERT_EQUAL (config_apply (&config, &record), STATUS_INVALID);
  CU_ASSERT (config_find_service (&config, "archiv") != NULL);
  config_finish (&config);
  config_finish (&next);
  talloc_free (arena);
}

/// From one version to the next, only a running move may change its phase.
static void
test_ended_moves_stay_ended (void)
{
  for (int from = MOVE_RUNNING; from <= MOVE_CANCELLED; from++)
    for (int to = MOVE_RUNNING; to <= MOVE_CANCELLED; to++)
      {
        struct config config, next;
        void *arena = talloc_new (NULL);
        struct config_service done = { "pecet", "v2" };
        init_sample (&config);
        set_phase (&config, from);
        if (from == MOVE_DONE)
          config_set_service (&config, &done);
        config_rehash (&config);
        config_copy (&next, &config);
        set_phase (&next, to);
        if (to == MOVE_DONE)
          config_set_service (&next, &done);
        struct config_record record = make_record (&config, &next, arena);
        enum status expected
            = from == MOVE_RUNNING || from == to ? STATUS_OK : STATUS_INVALID;
        CU_ASSERT_EQUAL (config_apply (&config, &record), expected);
        config_finish (&config);
        config_finish (&next);
        talloc_free (arena);
      }
}

static void
test_done_needs_version (void)
{
  struct config config, next;
  init_sample (&config);
  config_copy (&next, &config);
  set_phase (&next, MOVE_DONE);
  CU_ASSERT_EQUAL (config_check_transition (&config, &next), STATUS_INVALID);
  config_finish (&next);
  config_copy (&next, &config);
  config_remove (&next, CONFIG_MOVE, "pecet-v2");
  CU_ASSERT_EQUAL (config_check_transition (&config, &next), STATUS_INVALID);
  CU_ASSERT_EQUAL (config_check_transition (&next, &config), STATUS_OK);
  config_finish (&config);
  config_finish (&next);
}

static void
test_check_reports_field (void)
{
  static const struct
  {
    struct config_route route;
    const char *path;
  } cases[] = {
    { { "x", "nope", "archiv", true, 1 }, "routes[2].prefix" },
    { { "x", "/a//b", "archiv", true, 1 }, "routes[2].prefix" },
    { { "x", "/a/../b", "archiv", true, 1 }, "routes[2].prefix" },
    { { "x", "/a b", "archiv", true, 1 }, "routes[2].prefix" },
    { { "x", "/read/", "archiv", true, 1 }, "routes[2].prefix" },
    { { "x", "/x", "absent", true, 1 }, "routes[2].service" },
    { { "x", "/x", "archiv", true, 0 }, "routes[2].timeout_ms" },
    { { "x_y", "/x", "archiv", true, 1 }, "routes[2].name" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct config config;
      struct findings findings;
      init_sample (&config);
      findings_init (&findings, "test");
      config_set_route (&config, &cases[i].route);
      CU_ASSERT_EQUAL (config_check (&config, &findings), STATUS_INVALID);
      CU_ASSERT_EQUAL (findings.count, 1);
      if (findings.count > 0)
        CU_ASSERT_STRING_EQUAL (findings.items[0].path, cases[i].path);
      findings_finish (&findings);
      config_finish (&config);
    }
}

static void
test_one_running_move_per_service (void)
{
  struct config config;
  struct findings findings;
  struct config_move second
      = { .name = "z", .service = "pecet", .from = "v9", .to = "v3" };
  init_sample (&config);
  findings_init (&findings, "test");
  config_set_move (&config, &second);
  CU_ASSERT_EQUAL (config_check (&config, &findings), STATUS_INVALID);
  CU_ASSERT_EQUAL (findings.count, 2);
  CU_ASSERT_STRING_EQUAL (findings.items[0].path, "moves[1].service");
  CU_ASSERT_STRING_EQUAL (findings.items[1].path, "moves[1].from");
  findings_finish (&findings);
  config_finish (&config);
}

static const struct test_case cases[] = {
  { "the content hash depends on the order of changes",
    test_hash_ignores_order },
  { "a truncated or non-canonical encoding is accepted",
    test_encoding_round_trip },
  { "a count in five bytes of input allocates 100 GB",
    test_huge_counts_are_refused },
  { "a refused record changes the configuration", test_apply_is_atomic },
  { "a route refers to a service that was removed",
    test_dangling_route_is_refused },
  { "a move that has ended runs again", test_ended_moves_stay_ended },
  { "a move is done before its service has the new version, or is removed "
    "while it runs",
    test_done_needs_version },
  { "an invalid field is accepted, or reported under another path",
    test_check_reports_field },
  { "a service has two running moves", test_one_running_move_per_service },
};

int
main (void)
{
  return testing_run ("config", cases, sizeof cases / sizeof cases[0]);
}
