/// Applies sequences of records (in order, based on another content, repeated,
/// corrupted) to a configuration and compares it after each one with an oracle
/// of plain arrays. Also decodes the input itself as a configuration.
#include "state/config.h"
#include "state/config_fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SERVICES 4
#define ROUTES 5
#define MOVES 4

#define REQUIRE(condition)                                                    \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);      \
        abort ();                                                             \
      }                                                                       \
  while (0)

/// The configuration as numbers; 0 in the first field of an item: absent.
struct oracle
{
  int services[SERVICES]; ///< version
  struct
  {
    int present, service, prefix, idempotent;
  } routes[ROUTES];
  struct
  {
    int present, service, from, to, phase, share;
  } moves[MOVES];
};

struct input
{
  const uint8_t *bytes;
  size_t size;
};

/// Takes a byte of the input as a number below a bound; 0 at its end.
static int
next_below (struct input *input, int bound)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->bytes++ % bound;
}

static void
mutate (struct oracle *oracle, struct input *input)
{
  int index;
  switch (next_below (input, 4))
    {
    case 0:
      oracle->services[next_below (input, SERVICES)] = next_below (input, 4);
      return;
    case 1:
      index = next_below (input, ROUTES);
      oracle->routes[index].present = next_below (input, 3);
      oracle->routes[index].service = next_below (input, SERVICES);
      oracle->routes[index].prefix = next_below (input, ROUTES + 1);
      oracle->routes[index].idempotent = next_below (input, 2);
      return;
    case 2:
      index = next_below (input, MOVES);
      oracle->moves[index].present = next_below (input, 3);
      oracle->moves[index].service = next_below (input, SERVICES);
      oracle->moves[index].from = 1 + next_below (input, 3);
      oracle->moves[index].to = 1 + next_below (input, 3);
      return;
    default:
      index = next_below (input, MOVES);
      oracle->moves[index].phase = next_below (input, 4);
      oracle->moves[index].share = next_below (input, 3) * 5000;
      if (oracle->moves[index].phase == MOVE_DONE
          && next_below (input, 2) == 0)
        oracle->services[oracle->moves[index].service]
            = oracle->moves[index].to;
      return;
    }
}

/// Checks the rules of one configuration, independently of config_check.
static bool
content_valid (const struct oracle *oracle)
{
  for (int i = 0; i < ROUTES; i++)
    {
      if (!oracle->routes[i].present)
        continue;
      if (!oracle->services[oracle->routes[i].service])
        return false;
      for (int j = 0; j < i; j++)
        if (oracle->routes[j].present
            && oracle->routes[j].prefix == oracle->routes[i].prefix)
          return false;
    }
  for (int i = 0; i < MOVES; i++)
    {
      if (!oracle->moves[i].present)
        continue;
      int service = oracle->moves[i].service;
      if (!oracle->services[service]
          || oracle->moves[i].from == oracle->moves[i].to)
        return false;
      if (oracle->moves[i].phase != MOVE_RUNNING)
        continue;
      if (oracle->moves[i].from != oracle->services[service])
        return false;
      for (int j = 0; j < i; j++)
        if (oracle->moves[j].present && oracle->moves[j].phase == MOVE_RUNNING
            && oracle->moves[j].service == service)
          return false;
    }
  return true;
}

/// Checks the rules of the change from one configuration to the next.
static bool
transition_valid (const struct oracle *from, const struct oracle *to)
{
  for (int i = 0; i < MOVES; i++)
    {
      if (!from->moves[i].present)
        continue;
      bool was_running = from->moves[i].phase == MOVE_RUNNING;
      if (!to->moves[i].present)
        {
          if (was_running)
            return false;
          continue;
        }
      if (from->moves[i].service != to->moves[i].service
          || from->moves[i].from != to->moves[i].from
          || from->moves[i].to != to->moves[i].to)
        return false;
      if (!was_running && from->moves[i].phase != to->moves[i].phase)
        return false;
      if (was_running && to->moves[i].phase == MOVE_DONE
          && to->services[to->moves[i].service] != to->moves[i].to)
        return false;
    }
  return true;
}

static void
build_config (struct config *config, const struct oracle *oracle)
{
  char name[16], service[16], from[8], to[8], prefix[16];
  config_init (config);
  for (int i = 0; i < SERVICES; i++)
    {
      if (!oracle->services[i])
        continue;
      snprintf (name, sizeof name, "s%d", i);
      snprintf (to, sizeof to, "v%d", oracle->services[i]);
      config_set_service (config, &(struct config_service){ name, to });
    }
  for (int i = ROUTES; i-- > 0;)
    {
      if (!oracle->routes[i].present)
        continue;
      snprintf (name, sizeof name, "r%d", i);
      snprintf (service, sizeof service, "s%d", oracle->routes[i].service);
      snprintf (prefix, sizeof prefix, "/%d/", oracle->routes[i].prefix);
      config_set_route (config, &(struct config_route){
                                    name, prefix, service,
                                    oracle->routes[i].idempotent, 1000 });
    }
  for (int i = 0; i < MOVES; i++)
    {
      if (!oracle->moves[i].present)
        continue;
      snprintf (name, sizeof name, "m%d", i);
      snprintf (service, sizeof service, "s%d", oracle->moves[i].service);
      snprintf (from, sizeof from, "v%d", oracle->moves[i].from);
      snprintf (to, sizeof to, "v%d", oracle->moves[i].to);
      struct config_move move
          = { name, service, from, to, 0, oracle->moves[i].phase, 0, 0, "" };
      move.share_bp = (uint32_t)oracle->moves[i].share;
      config_set_move (config, &move);
    }
  REQUIRE (config_rehash (config) == STATUS_OK);
}

static void
require_equal (const struct config *config, const struct oracle *oracle)
{
  struct config expected;
  build_config (&expected, oracle);
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count, expected_count;
      const void *items = config_items (config, kind, &count);
      const void *wanted = config_items (&expected, kind, &expected_count);
      REQUIRE (count == expected_count);
      for (size_t i = 0; i < count; i++)
        REQUIRE (config_item_equal (kind, config_item_at (items, kind, i),
                                    config_item_at (wanted, kind, i)));
    }
  REQUIRE (hash_equal (&config->hash, &expected.hash));
  config_finish (&expected);
}

struct run
{
  struct config config;
  struct oracle oracle;
  struct config_record last; ///< the record applied last, in arena
  void *arena;
};

/// Makes a record of the change between two contents, numbered as the
/// successor of the version in force.
static struct config_record
make_record (struct run *run, const struct oracle *from,
             const struct oracle *to)
{
  struct config a, b;
  uint8_t *delta;
  size_t size;
  build_config (&a, from);
  build_config (&b, to);
  REQUIRE (config_diff (&a, &b, run->arena, &delta, &size) == STATUS_OK);
  struct config_record record = { .version = run->config.version + 1,
                                  .previous_hash = a.hash,
                                  .hash = b.hash,
                                  .delta = delta,
                                  .delta_size = size };
  config_finish (&a);
  config_finish (&b);
  return record;
}

/// Applies one record: 0 to 4 as made, 5 the last one again, 6 based on
/// another content, 7 with a corrupted delta.
static void
apply_record (struct run *run, struct input *input)
{
  struct oracle next = run->oracle, other = run->oracle;
  int kind = next_below (input, 8);
  for (int i = 1 + next_below (input, 3); i > 0; i--)
    mutate (&next, input);
  uint64_t version = run->config.version;
  struct config_record record = make_record (run, &run->oracle, &next);
  bool valid = content_valid (&next) && transition_valid (&run->oracle, &next);
  bool applicable = true; /* based on the version in force */
  if (kind == 5 && run->last.delta != NULL)
    {
      record = run->last;
      applicable = false;
    }
  else if (kind == 6)
    {
      mutate (&other, input);
      if (memcmp (&other, &run->oracle, sizeof other) == 0)
        return;
      record = make_record (run, &other, &next);
      applicable = hash_equal (&record.previous_hash, &run->config.hash);
    }
  else if (kind == 7)
    {
      uint8_t *delta
          = talloc_memdup (run->arena, record.delta, record.delta_size);
      for (int i = 1 + next_below (input, 4); i > 0; i--)
        delta[(size_t)next_below (input, 256) % record.delta_size]
            = (uint8_t)next_below (input, 256);
      record.delta = delta;
      if (next_below (input, 2) == 1)
        record.delta_size
            = (size_t)next_below (input, 256) % record.delta_size;
    }
  enum status status = config_apply (&run->config, &record);
  if (status == STATUS_OK)
    {
      REQUIRE (valid && applicable);
      REQUIRE (run->config.version == version + 1);
      run->oracle = next;
      run->last = record;
    }
  else
    {
      REQUIRE (run->config.version == version);
      REQUIRE (kind == 7 || !(valid && applicable));
    }
  require_equal (&run->config, &run->oracle);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct input input = { data, size };
  struct config decoded;
  if (config_decode (&decoded, data, size) == STATUS_OK)
    config_finish (&decoded);
  struct run run = { .arena = talloc_new (NULL) };
  config_init (&run.config);
  for (int i = 0; i < 40 && input.size > 0; i++)
    apply_record (&run, &input);
  config_finish (&run.config);
  talloc_free (run.arena);
  return 0;
}
