/// Measures a configuration of the size of the design page: 410 services,
/// 1,000 routes, 100 moves. Times have no bound, because they depend on the
/// load of the machine. With the argument "apply" or "match" it runs a fixed
/// number of operations and prints nothing: bench/run.sh counts their
/// instructions.
#include "base/clock.h"
#include "protocol/declaration.h"
#include "state/config.h"
#include "state/route_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SERVICES 410
#define ROUTES 1000
#define MOVES 100
#define ROUNDS 200
#define LOOKUPS 100000

/// Operations per run with an argument; bench/run.sh divides the instructions
/// by these numbers, which it repeats.
#define COUNTED_ROUNDS 10
#define COUNTED_LOOKUPS 1000

static void
print (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.3f %s %g %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

static void
print_time (const char *name, double value, const char *unit)
{
  printf ("%s %.3f %s - info\n", name, value, unit);
}

/// Fills a configuration with services, routes and moves.
static void
build (struct config *config)
{
  char name[32], service[32], prefix[64];
  config_init (config);
  for (int i = 0; i < SERVICES; i++)
    {
      snprintf (name, sizeof name, "service-%03d", i);
      config_set_service (config, &(struct config_service){ name, "v1" });
    }
  for (int i = 0; i < ROUTES; i++)
    {
      snprintf (name, sizeof name, "route-%04d", i);
      snprintf (service, sizeof service, "service-%03d", i % SERVICES);
      snprintf (prefix, sizeof prefix, "/service-%03d/part-%04d/",
                i % SERVICES, i);
      config_set_route (
          config, &(struct config_route){ name, prefix, service, true, 2000 });
    }
  for (int i = 0; i < MOVES; i++)
    {
      snprintf (name, sizeof name, "move-%03d", i);
      snprintf (service, sizeof service, "service-%03d", i);
      config_set_move (config, &(struct config_move){
                                   .name = name,
                                   .service = service,
                                   .from = "v1",
                                   .to = "v2",
                               });
    }
  config_rehash (config);
}

/// Applies records that change the share of one move.
/// @return mean time of config_apply, ms; negative after a failure
static double
time_apply (struct config *config, int rounds)
{
  uint64_t elapsed = 0;
  for (int i = 0; i < rounds; i++)
    {
      struct config next;
      uint8_t *delta;
      size_t size;
      void *arena = talloc_new (NULL);
      config_copy (&next, config);
      struct config_move move = next.moves[i % MOVES];
      move.share_bp = (uint32_t)(100 + i);
      config_set_move (&next, &move);
      config_rehash (&next);
      config_diff (config, &next, arena, &delta, &size);
      struct config_record record = { .version = config->version + 1,
                                      .previous_hash = config->hash,
                                      .hash = next.hash,
                                      .delta = delta,
                                      .delta_size = size };
      uint64_t start = clock_monotonic_us ();
      enum status status = config_apply (config, &record);
      elapsed += clock_monotonic_us () - start;
      config_finish (&next);
      talloc_free (arena);
      if (status != STATUS_OK)
        return -1;
    }
  return (double)elapsed / 1000 / rounds;
}

/// @return mean time of a route lookup, us; negative after a failure
static double
time_match (const struct config *config, unsigned lookups)
{
  struct route_table table;
  char path[96];
  unsigned found = 0;
  if (route_table_init (&table, config) != STATUS_OK)
    return -1;
  snprintf (path, sizeof path, "/service-%03d/part-%04d/a/b/c/d?x=1", 57, 57);
  uint64_t start = clock_monotonic_us ();
  for (unsigned i = 0; i < lookups; i++)
    found += route_table_match (&table, path) != NULL;
  double elapsed = (double)(clock_monotonic_us () - start) / lookups;
  route_table_finish (&table);
  return found == lookups ? elapsed : -1;
}

/// Parses the document of the configuration and merges it.
/// @return mean time, ms; negative after a failure
static double
time_declaration (const struct config *config)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  declaration_print (config, "bench", stream);
  fclose (stream);
  bool failed = false;
  uint64_t start = clock_monotonic_us ();
  for (int i = 0; i < 20 && !failed; i++)
    {
      struct declaration declaration;
      struct config merged;
      struct findings findings;
      findings_init (&findings, "bench");
      if (declaration_parse (&declaration, text, size, &findings) != STATUS_OK)
        failed = true;
      else
        {
          if (declaration_merge (&declaration, config, 0, &merged, &findings)
              != STATUS_OK)
            failed = true;
          else
            config_finish (&merged);
          declaration_finish (&declaration);
        }
      findings_finish (&findings);
    }
  free (text);
  return failed ? -1 : (double)(clock_monotonic_us () - start) / 1000 / 20;
}

int
main (int argc, char **argv)
{
  struct config config;
  build (&config);
  bool failed;
  if (argc == 2 && strcmp (argv[1], "apply") == 0)
    failed = time_apply (&config, COUNTED_ROUNDS) < 0;
  else if (argc == 2 && strcmp (argv[1], "match") == 0)
    failed = time_match (&config, COUNTED_LOOKUPS) < 0;
  else
    {
      double apply = time_apply (&config, ROUNDS);
      double match = time_match (&config, LOOKUPS);
      double merge = time_declaration (&config);
      print_time ("config_apply_ms", apply, "ms");
      print ("config_memory_kb",
             (double)talloc_total_size (config.arena) / 1024, "KiB", 256);
      print_time ("route_match_us", match, "us");
      print_time ("declaration_merge_ms", merge, "ms");
      failed = apply < 0 || match < 0 || merge < 0;
    }
  config_finish (&config);
  return failed;
}
