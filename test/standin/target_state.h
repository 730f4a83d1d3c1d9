/// Options and state of the stand-in target: slots in use, the faults of a bad
/// version, and the number of executions of each idempotency key.
#ifndef HAWTHORNSEAM_TEST_STANDIN_TARGET_STATE_H
#define HAWTHORNSEAM_TEST_STANDIN_TARGET_STATE_H

#include "base/clock.h"
#include "base/rng.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXECUTION_BUCKETS 4096

/// Number of load samples, 100 ms apart, that a lagging load endpoint reports
/// from.
#define LOAD_HISTORY 64

struct target_options
{
  const char *service;
  const char *version;
  int port;
  int node_port; ///< 0: no announcements
  int slots;
  int connections;
  int announce_ms;
  double service_ms;
  double tail_ms;    ///< mean latency that a call in the tail has in addition
  double tail_share; ///< share of calls in the tail
  double cold_s;     ///< length of the cold start
  double cold_factor;
  double fail_rate;
  double add_latency_ms;
  double bad_from_s;
  double bad_above_share; ///< bad only above this share of slots in use
  const char *bad_prefix; ///< bad only for paths with this prefix
  double lag_s;           ///< age of the load that /health and /load report
  bool print_keys;        ///< print the keys, which then outlive the process
  int seed;
};

struct execution
{
  struct execution *next;
  unsigned count;
  char key[];
};

struct target
{
  struct target_options options;
  struct event_base *base;
  struct evhttp *http;
  struct event *announce_timer;
  struct event *exit_timer;
  struct rng rng;
  char boot_id[17];
  uint64_t started_ms;
  unsigned in_use;
  unsigned most_in_use;
  uint64_t served;
  uint64_t shed;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t after_drain; ///< calls that arrived 3 s or more after drain began
  uint64_t drain_ms;    ///< 0 before drain
  bool drain_reported;  ///< the drain request to the node has ended
  unsigned load_history[LOAD_HISTORY];
  uint64_t load_ticks;
  struct execution *executions[EXECUTION_BUCKETS];
};

/// @return the link to a key's entry; it holds NULL if the key is absent
static inline struct execution **
target_find_execution (struct target *target, const char *key)
{
  uint32_t hash = 2166136261u;
  for (const char *p = key; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * 16777619u;
  struct execution **link = &target->executions[hash % EXECUTION_BUCKETS];
  while (*link != NULL && strcmp ((*link)->key, key) != 0)
    link = &(*link)->next;
  return link;
}

static inline void
target_count_execution (struct target *target, const char *key)
{
  struct execution **link = target_find_execution (target, key);
  if (*link == NULL)
    {
      *link = calloc (1, sizeof **link + strlen (key) + 1);
      if (*link == NULL)
        abort ();
      strcpy ((*link)->key, key);
    }
  (*link)->count++;
  if (target->options.print_keys)
    {
      puts (key);
      fflush (stdout);
    }
}

/// @return true if the faults of a bad version now apply to a path
static inline bool
target_is_bad (const struct target *target, const char *path)
{
  const struct target_options *options = &target->options;
  double uptime_s
      = (double)(clock_monotonic_ms () - target->started_ms) / 1000;
  if (uptime_s < options->bad_from_s)
    return false;
  if (target->in_use <= options->bad_above_share * options->slots)
    return false;
  return strncmp (path, options->bad_prefix, strlen (options->bad_prefix))
         == 0;
}

/// @return service time of the next call in microseconds
static inline uint64_t
target_service_us (struct target *target, const char *path)
{
  const struct target_options *options = &target->options;
  double ms = options->service_ms;
  if (rng_unit (&target->rng) < options->tail_share)
    {
      /* A sum of four uniform numbers with the mean `tail_ms`: unlike an
         exponential tail it is bounded, and so is the length of a test. */
      double tail = 0;
      for (int i = 0; i < 4; i++)
        tail += rng_unit (&target->rng) * options->tail_ms / 2;
      ms += tail;
    }
  double uptime_s
      = (double)(clock_monotonic_ms () - target->started_ms) / 1000;
  if (uptime_s < options->cold_s)
    ms *= 1
          + (options->cold_factor - 1) * (options->cold_s - uptime_s)
                / options->cold_s;
  if (target_is_bad (target, path))
    ms += options->add_latency_ms;
  return (uint64_t)(ms * 1000);
}

/// Records the current load; called every 100 ms.
static inline void
target_sample_load (struct target *target)
{
  target->load_history[target->load_ticks++ % LOAD_HISTORY] = target->in_use;
}

/// @return the load that the endpoints report: the load `lag_s` ago
static inline unsigned
target_reported_load (const struct target *target)
{
  uint64_t lag = (uint64_t)(target->options.lag_s * 10);
  if (lag == 0 || target->load_ticks == 0)
    return target->in_use;
  if (lag >= LOAD_HISTORY)
    lag = LOAD_HISTORY - 1;
  if (lag >= target->load_ticks)
    return 0;
  return target->load_history[(target->load_ticks - 1 - lag) % LOAD_HISTORY];
}

#endif
