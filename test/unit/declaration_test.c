#include "protocol/declaration.h"
#include "protocol/iso_time.h"
#include "testing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BASE                                                                  \
  "format: 1\nmesh: zapis\nservices:\n  - name: pecet\n    version: v1\n"     \
  "routes:\n  - name: seal\n    prefix: /seal/\n    service: pecet\n"         \
  "    idempotent: false\n    timeout_ms: 9000\n"
#define MOVE                                                                  \
  "moves:\n  - name: pecet-v2\n    service: pecet\n    from: v1\n"            \
  "    to: v2\n    by: 2026-03-12T06:00:00Z\n"

/// 2026-03-12T06:00:00Z
#define BY_MS 1773295200000ULL

/// @return true when there is a finding at a position
static bool
found (const struct findings *findings, int line, int column, const char *path)
{
  for (size_t i = 0; i < findings->count; i++)
    if (findings->items[i].line == line && findings->items[i].column == column
        && strcmp (findings->items[i].path, path) == 0)
      return true;
  findings_print (findings, stdout);
  return false;
}

struct finding_case
{
  const char *yaml;
  int line, column;
  const char *path;
};

static const struct finding_case finding_cases[] = {
  { "", 1, 1, "document" },
  { "a: [", 2, 1, "document" },
  { "- 1\n", 1, 1, "document" },
  { "format: 2\nmesh: m\n", 1, 9, "format" },
  { "format: 1\n", 1, 1, "mesh" },
  { "format: 1\nmesh: Z\n", 2, 7, "mesh" },
  { "format: 1\nmesh: m\nmesh: m\n", 3, 1, "mesh" },
  { "format: 1\nmesh: m\nrutes: []\n", 3, 1, "rutes" },
  { "format: 1\nmesh: &a m\n", 2, 7, "document" },
  { "format: 1\nmesh: !x m\n", 2, 7, "document" },
  { "format: 1\nmesh: *a\n", 2, 7, "document" },
  { "format: 1\nmesh: m\n---\nformat: 1\n", 3, 1, "document" },
  { "format: 1\nmesh: [[[[[[[[[1]]]]]]]]]\n", 2, 14, "document" },
  { "format: 1\nmesh: m\nservices: 3\n", 3, 11, "services" },
  { BASE "  - name: seal\n    prefix: /b\n    service: pecet\n"
         "    idempotent: true\n    timeout_ms: 1\n",
    12, 11, "routes[1].name" },
  { BASE "  - name: b\n    prefix: /seal\n    service: pecet\n"
         "    idempotent: true\n    timeout_ms: 1\n",
    8, 13, "routes[0].prefix" },
  { BASE "  - name: b\n    prefix: /b\n    service: absent\n"
         "    idempotent: true\n    timeout_ms: 1\n",
    14, 14, "routes[1].service" },
  { BASE "  - name: b\n    prefix: /b\n    service: pecet\n"
         "    idempotent: yes\n    timeout_ms: 1\n",
    15, 17, "routes[1].idempotent" },
  { BASE "  - name: b\n    prefix: /b\n    service: pecet\n"
         "    idempotent: true\n    timeout_ms: 01\n",
    16, 17, "routes[1].timeout_ms" },
  { BASE "  - name: b\n    prefix: /b\n    service: pecet\n"
         "    idempotent: true\n",
    12, 5, "routes[1].timeout_ms" },
  { BASE MOVE "    phase: done\n", 18, 5, "moves[0].phase" },
  { BASE "moves:\n  - name: m\n    service: pecet\n    from: v3\n    to: v4\n"
         "    by: 2026-03-12T06:00:00Z\n",
    15, 11, "moves[0].from" },
  { BASE "moves:\n  - name: m\n    service: pecet\n    from: v1\n    to: v1\n"
         "    by: 2026-03-12T06:00:00Z\n",
    16, 9, "moves[0].to" },
  { BASE "moves:\n  - name: m\n    service: pecet\n    from: v1\n    to: v2\n"
         "    by: 2026-02-30T06:00:00Z\n",
    17, 9, "moves[0].by" },
};

static void
test_findings_have_positions (void)
{
  for (size_t i = 0; i < sizeof finding_cases / sizeof finding_cases[0]; i++)
    {
      const struct finding_case *row = &finding_cases[i];
      struct declaration declaration;
      struct findings findings;
      findings_init (&findings, "case");
      CU_ASSERT_EQUAL (declaration_parse (&declaration, row->yaml,
                                          strlen (row->yaml), &findings),
                       STATUS_INVALID);
      CU_ASSERT (found (&findings, row->line, row->column, row->path));
      CU_ASSERT_EQUAL (findings.total, 1);
      if (findings.total != 1)
        {
          printf ("case %zu:\n", i);
          findings_print (&findings, stdout);
        }
      findings_finish (&findings);
    }
}

static void
test_all_findings_together (void)
{
  static const char yaml[]
      = "format: 1\nmesh: m\nservices:\n  - name: A\n    version: v1\n"
        "    extra: 1\nroutes:\n  - name: r\n    prefix: x\n    service: a\n"
        "    idempotent: 1\n    timeout_ms: 0\n";
  struct declaration declaration;
  struct findings findings;
  findings_init (&findings, "case");
  declaration_parse (&declaration, yaml, strlen (yaml), &findings);
  CU_ASSERT_EQUAL (findings.total, 6);
  CU_ASSERT (found (&findings, 6, 5, "services[0].extra"));
  CU_ASSERT (found (&findings, 4, 11, "services[0].name"));
  findings_finish (&findings);
}

static enum status
parse (struct declaration *declaration, const char *yaml)
{
  struct findings findings;
  findings_init (&findings, "case");
  enum status status
      = declaration_parse (declaration, yaml, strlen (yaml), &findings);
  findings_print (&findings, stdout);
  findings_finish (&findings);
  return status;
}

/// Builds a configuration in force whose move from v1 to v2 has a phase.
static void
build_in_force (struct config *config, enum move_phase phase)
{
  struct declaration declaration;
  struct config_service done = { "pecet", "v2" };
  CU_ASSERT_EQUAL_FATAL (parse (&declaration, BASE MOVE), STATUS_OK);
  config_copy (config, &declaration.config);
  struct config_move move = config->moves[0];
  move.phase = phase;
  move.share_bp = 500;
  move.step = 3;
  move.reason = "slow";
  config_set_move (config, &move);
  if (phase == MOVE_DONE)
    config_set_service (config, &done);
  config_rehash (config);
  declaration_finish (&declaration);
}

struct merge_case
{
  const char *name;
  enum move_phase phase; ///< of the move in force
  const char *yaml;
  uint64_t now_ms;
  const char *path; ///< of the only finding, NULL when there is none
  const char *version;
};

static const struct merge_case merge_cases[] = {
  { "same file while running", MOVE_RUNNING, BASE MOVE, BY_MS, NULL, "v1" },
  { "same file after the move is done", MOVE_DONE, BASE MOVE, BY_MS * 2, NULL,
    "v2" },
  { "same file after the move was rolled back", MOVE_ROLLED_BACK, BASE MOVE,
    BY_MS * 2, NULL, "v1" },
  { "running move removed", MOVE_RUNNING, BASE, 0, "moves", NULL },
  { "ended move removed", MOVE_ROLLED_BACK, BASE, 0, NULL, "v1" },
  { "done move removed, old version kept", MOVE_DONE, BASE, 0,
    "services[0].version", NULL },
  { "new version without a move", MOVE_RUNNING,
    "format: 1\nmesh: zapis\nservices:\n  - name: pecet\n    version: "
    "v2\n" MOVE,
    0, "services[0].version", NULL },
  { "new move too late", MOVE_ROLLED_BACK,
    BASE "moves:\n  - name: again\n    service: pecet\n    from: v1\n"
         "    to: v2\n    by: 2026-03-12T06:00:00Z\n",
    BY_MS - 59999, "moves[0].by", NULL },
  { "new move in time", MOVE_ROLLED_BACK,
    BASE "moves:\n  - name: again\n    service: pecet\n    from: v1\n"
         "    to: v2\n    by: 2026-03-12T06:00:00Z\n",
    BY_MS - 60000, NULL, "v1" },
  { "ended move with a new time", MOVE_ROLLED_BACK,
    BASE "moves:\n  - name: pecet-v2\n    service: pecet\n    from: v1\n"
         "    to: v2\n    by: 2027-03-12T06:00:00Z\n",
    0, "moves[0].by", NULL },
  { "move with another target", MOVE_RUNNING,
    BASE "moves:\n  - name: pecet-v2\n    service: pecet\n    from: v1\n"
         "    to: v3\n    by: 2026-03-12T06:00:00Z\n",
    0, "moves[0].to", NULL },
  { "second running move", MOVE_RUNNING,
    BASE MOVE "  - name: zz\n    service: pecet\n    from: v1\n"
              "    to: v3\n    by: 2026-03-12T06:00:00Z\n",
    0, "moves[1].service", NULL },
  { "next move after a done one", MOVE_DONE,
    BASE MOVE "  - name: pecet-v3\n    service: pecet\n    from: v2\n"
              "    to: v3\n    by: 2026-03-12T06:00:00Z\n",
    0, NULL, "v2" },
};

static void
test_merge (void)
{
  for (size_t i = 0; i < sizeof merge_cases / sizeof merge_cases[0]; i++)
    {
      const struct merge_case *row = &merge_cases[i];
      struct declaration declaration;
      struct config in_force, merged;
      struct findings findings;
      findings_init (&findings, row->name);
      build_in_force (&in_force, row->phase);
      CU_ASSERT_EQUAL_FATAL (parse (&declaration, row->yaml), STATUS_OK);
      enum status status = declaration_merge (&declaration, &in_force,
                                              row->now_ms, &merged, &findings);
      CU_ASSERT_EQUAL (status, row->path == NULL ? STATUS_OK : STATUS_INVALID);
      bool expected
          = row->path == NULL
                ? findings.total == 0
                : findings.total == 1
                      && strcmp (findings.items[0].path, row->path) == 0;
      CU_ASSERT (expected);
      if (!expected)
        findings_print (&findings, stdout);
      if (status == STATUS_OK)
        {
          const struct config_move *move
              = config_find_move (&merged, "pecet-v2");
          CU_ASSERT_STRING_EQUAL (merged.services[0].version, row->version);
          CU_ASSERT (move == NULL
                     || (move->phase == row->phase && move->share_bp == 500));
          config_finish (&merged);
        }
      findings_finish (&findings);
      declaration_finish (&declaration);
      config_finish (&in_force);
    }
}

static char *
print_to_text (const struct config *config)
{
  char *text = NULL;
  size_t size;
  FILE *stream = open_memstream (&text, &size);
  declaration_print (config, "zapis", stream);
  fclose (stream);
  return text;
}

static void
test_print_round_trip (void)
{
  struct config config, again;
  struct declaration declaration;
  struct findings findings;
  findings_init (&findings, "printed");
  build_in_force (&config, MOVE_RUNNING);
  config_set_service (&config, &(struct config_service){ "other", "1.0" });
  config_set_service (&config, &(struct config_service){ "third", "true" });
  config_set_route (
      &config, &(struct config_route){ "x", "/a:b,c/", "other", true, 1 });
  config_rehash (&config);
  char *text = print_to_text (&config);
  CU_ASSERT_EQUAL_FATAL (parse (&declaration, text), STATUS_OK);
  CU_ASSERT_EQUAL (
      declaration_merge (&declaration, &config, BY_MS, &again, &findings),
      STATUS_OK);
  CU_ASSERT (hash_equal (&again.hash, &config.hash));
  free (text);
  findings_finish (&findings);
  config_finish (&again);
  config_finish (&config);
  declaration_finish (&declaration);
}

static void
test_diff_lines (void)
{
  struct config from, to;
  char *text = NULL;
  size_t size;
  build_in_force (&from, MOVE_RUNNING);
  config_copy (&to, &from);
  struct config_move move = to.moves[0];
  move.share_bp = 1000;
  config_set_move (&to, &move);
  config_set_route (&to,
                    &(struct config_route){ "r", "/r", "pecet", true, 5 });
  config_remove (&to, CONFIG_ROUTE, "seal");
  FILE *stream = open_memstream (&text, &size);
  CU_ASSERT_EQUAL (declaration_print_diff (&from, &to, stream), 3);
  fclose (stream);
  CU_ASSERT_STRING_EQUAL (
      text, "+ route r prefix=/r service=pecet idempotent=true timeout_ms=5\n"
            "- route seal prefix=/seal/ service=pecet idempotent=false "
            "timeout_ms=9000\n"
            "~ move pecet-v2 share_bp=500->1000\n");
  free (text);
  config_finish (&from);
  config_finish (&to);
}

static void
test_times (void)
{
  static const char *const bad[] = { "",
                                     "2026-03-12",
                                     "2026-03-12T06:00:00",
                                     "2026-03-12T06:00:00+01:00",
                                     "2026-13-12T06:00:00Z",
                                     "2026-03-12T24:00:00Z",
                                     "2026-03-12T06:00:60Z",
                                     "1969-12-31T23:59:59Z",
                                     "2026-03-12t06:00:00Z",
                                     "2026-03-12T06:00:00.1Z" };
  uint64_t ms;
  char text[ISO_TIME_SIZE];
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (iso_time_parse (bad[i], &ms), STATUS_INVALID);
  CU_ASSERT_EQUAL (iso_time_parse ("2026-03-12T06:00:00Z", &ms), STATUS_OK);
  CU_ASSERT_EQUAL (ms, BY_MS);
  CU_ASSERT_EQUAL (iso_time_parse ("2024-02-29T06:00:00.250Z", &ms),
                   STATUS_OK);
  iso_time_print (ms, text);
  CU_ASSERT_STRING_EQUAL (text, "2024-02-29T06:00:00.250Z");
}

static const struct test_case cases[] = {
  { "a wrong document is accepted or reported at a wrong position",
    test_findings_have_positions },
  { "only the first finding is reported", test_all_findings_together },
  { "a merge undoes a move, loses its state or changes a version directly",
    test_merge },
  { "a printed configuration reads back differently", test_print_round_trip },
  { "a difference is not printed or printed wrongly", test_diff_lines },
  { "a time that is not UTC or impossible is accepted", test_times },
};

int
main (void)
{
  return testing_run ("declaration", cases, sizeof cases / sizeof cases[0]);
}
