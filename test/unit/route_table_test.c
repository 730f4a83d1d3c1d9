#include "state/route_table.h"
#include "testing.h"

#include <string.h>

static void
init_sample (struct config *config)
{
  static const struct config_service services[]
      = { { "zapisy", "v1" }, { "archiv", "v3" } };
  static const struct config_route routes[] = {
    { "read", "/zapisy/", "zapisy", true, 2000 },
    { "write", "/zapisy/write", "zapisy", false, 3000 },
    { "archive", "/archiv", "archiv", true, 600000 },
  };
  static const struct config_move moves[] = {
    { "zapisy-v2", "zapisy", "v1", "v2", 1, MOVE_RUNNING, 500, 3, "" },
    { "archiv-v4", "archiv", "v3", "v4", 1, MOVE_ROLLED_BACK, 700, 3, "" },
  };
  config_init (config);
  for (int i = 0; i < 2; i++)
    {
      config_set_service (config, &services[i]);
      config_set_move (config, &moves[i]);
    }
  for (int i = 0; i < 3; i++)
    config_set_route (config, &routes[i]);
}

static void
test_longest_prefix (void)
{
  static const struct
  {
    const char *path;
    const char *route;
  } cases[] = {
    { "/zapisy/12", "read" },
    { "/zapisy", "read" },
    { "/zapisy/", "read" },
    { "/zapisy?x=/zapisy/write", "read" },
    { "/zapisy/write", "write" },
    { "/zapisy/write/1/2", "write" },
    { "/zapisy/writes", "read" },
    { "/zapisyx", NULL },
    { "/archiv/a/b/c/d/e/f/g", "archive" },
    { "/archiv#part", "archive" },
    { "/", NULL },
    { "", NULL },
    { "archiv", NULL },
  };
  struct config config;
  struct route_table table;
  init_sample (&config);
  CU_ASSERT_EQUAL (route_table_init (&table, &config), STATUS_OK);
  config_finish (&config);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct route_entry *entry
          = route_table_match (&table, cases[i].path);
      if (cases[i].route == NULL)
        CU_ASSERT_PTR_NULL (entry)
      else if (entry == NULL)
        CU_FAIL ("no route")
      else
        CU_ASSERT_STRING_EQUAL (entry->route, cases[i].route);
    }
  route_table_finish (&table);
}

static void
test_root_prefix (void)
{
  struct config config;
  struct route_table table;
  struct config_route root = { "root", "/", "archiv", true, 1 };
  init_sample (&config);
  config_set_route (&config, &root);
  CU_ASSERT_EQUAL (route_table_init (&table, &config), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (route_table_match (&table, "/x/y")->route, "root");
  CU_ASSERT_STRING_EQUAL (route_table_match (&table, "/")->route, "root");
  CU_ASSERT_STRING_EQUAL (route_table_match (&table, "/archiv/")->route,
                          "archive");
  route_table_finish (&table);
  config_finish (&config);
}

static void
test_only_running_moves_split_traffic (void)
{
  struct config config;
  struct route_table table;
  init_sample (&config);
  CU_ASSERT_EQUAL (route_table_init (&table, &config), STATUS_OK);
  const struct route_entry *entry = route_table_match (&table, "/zapisy/1");
  CU_ASSERT_STRING_EQUAL (entry->version, "v1");
  CU_ASSERT_STRING_EQUAL (entry->new_version, "v2");
  CU_ASSERT_EQUAL (entry->share_bp, 500);
  entry = route_table_match (&table, "/archiv/1");
  CU_ASSERT_STRING_EQUAL (entry->version, "v3");
  CU_ASSERT_PTR_NULL (entry->new_version);
  CU_ASSERT_EQUAL (entry->share_bp, 0);
  route_table_finish (&table);
  config_finish (&config);
}

static void
test_absent_service_is_refused (void)
{
  struct config config;
  struct route_table table;
  init_sample (&config);
  config_remove (&config, CONFIG_SERVICE, "archiv");
  CU_ASSERT_EQUAL (route_table_init (&table, &config), STATUS_INVALID);
  config_finish (&config);
}

static const struct test_case cases[] = {
  { "a path matches a shorter prefix or part of a segment",
    test_longest_prefix },
  { "the root prefix hides other prefixes or matches nothing",
    test_root_prefix },
  { "calls go to the new version of a move that has ended",
    test_only_running_moves_split_traffic },
  { "a route whose service does not exist is accepted",
    test_absent_service_is_refused },
};

int
main (void)
{
  return testing_run ("route_table", cases, sizeof cases / sizeof cases[0]);
}
