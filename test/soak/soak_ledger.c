/// Owns the requests of a run and what is only known of them at its end.
#include "soak.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Of the platform's budget of repeated sends.
#define BUDGET_RATIO 0.2
#define BUDGET_SLACK 50

/// After recovery at most one request in this many may go unserved.
#define UNSERVED_ONE_IN 500
#define UNSERVED_SLACK 2

struct times
{
  uint64_t *at_ms;
  size_t count;
  size_t capacity;
};

static struct soak_request **requests;
static size_t request_count;
static size_t request_capacity;
static struct times sent[SOAK_SERVICES];
static struct times repeats[SOAK_SERVICES];

static void
add_time (struct times *times, uint64_t now_ms)
{
  if (times->count == times->capacity)
    {
      times->capacity = times->capacity == 0 ? 1024 : 2 * times->capacity;
      times->at_ms
          = realloc (times->at_ms, times->capacity * sizeof times->at_ms[0]);
      if (times->at_ms == NULL)
        abort ();
    }
  times->at_ms[times->count++] = now_ms;
}

void
soak_ledger_init (void)
{
  request_count = 0;
}

void
soak_ledger_finish (void)
{
  for (size_t i = 0; i < request_count; i++)
    free (requests[i]);
  free (requests);
  for (size_t i = 0; i < SOAK_SERVICES; i++)
    {
      free (sent[i].at_ms);
      free (repeats[i].at_ms);
    }
}

struct soak_request *
soak_ledger_add (enum soak_kind kind, size_t node, uint64_t now_ms)
{
  static const size_t usual_service[SOAK_KINDS] = { 0, 1, 2, 0, 0 };
  if (request_count == request_capacity)
    {
      request_capacity = request_capacity == 0 ? 4096 : 2 * request_capacity;
      requests = realloc (requests, request_capacity * sizeof requests[0]);
      if (requests == NULL)
        abort ();
    }
  struct soak_request *request = calloc (1, sizeof *request);
  if (request == NULL)
    abort ();
  request->id = request_count;
  request->kind = kind;
  request->node = node;
  request->sent_ms = now_ms;
  requests[request_count++] = request;
  add_time (&sent[usual_service[kind]], now_ms);
  if (kind == SOAK_TURN)
    add_time (&sent[1], now_ms);
  return request;
}

void
soak_ledger_id (const struct soak_request *request, char text[32])
{
  snprintf (text, 32, "r-%08" PRIx64, request->id);
}

struct soak_request *
soak_ledger_find (const char *text)
{
  if (text == NULL || strncmp (text, "r-", 2) != 0)
    return NULL;
  char *end;
  uint64_t id = strtoull (text + 2, &end, 16);
  return *end != '\0' || id >= request_count ? NULL : requests[id];
}

void
soak_ledger_count_repeat (size_t service, uint64_t now_ms)
{
  add_time (&repeats[service], now_ms);
}

static size_t
count_between (const struct times *times, uint64_t from_ms, uint64_t to_ms)
{
  size_t count = 0;
  for (size_t i = 0; i < times->count; i++)
    count += times->at_ms[i] >= from_ms && times->at_ms[i] < to_ms;
  return count;
}

/// Compares the repeated sends of each window that ends with one of them.
static void
check_budget (struct soak *soak, size_t service)
{
  for (size_t i = 0; i < repeats[service].count; i++)
    {
      uint64_t end_ms = repeats[service].at_ms[i] + 1;
      uint64_t start_ms = end_ms - SOAK_BUDGET_WINDOW_MS;
      size_t used = count_between (&repeats[service], start_ms, end_ms);
      if (used <= BUDGET_SLACK)
        continue;
      size_t now = count_between (&sent[service], start_ms, end_ms);
      size_t before = count_between (
          &sent[service], start_ms - SOAK_BUDGET_WINDOW_MS, start_ms);
      size_t most = now > before ? now : before;
      if ((double)used <= BUDGET_RATIO * (double)most + BUDGET_SLACK)
        continue;
      soak_violation (soak, "BUDGET",
                      "%zu repeated sends to %s within %d ms, %zu requests",
                      used, soak_services[service], SOAK_BUDGET_WINDOW_MS,
                      most);
      return;
    }
}

static bool
is_promise (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void
soak_ledger_check (struct soak *soak)
{
  size_t owed = 0;
  size_t served = 0;
  uint64_t from_ms = soak->faults_end_ms + SOAK_RECOVER_MS;
  for (size_t i = 0; i < request_count; i++)
    {
      const struct soak_request *request = requests[i];
      if (request->kind == SOAK_SEAL && is_promise (request->status)
          && request->runs > 0)
        soak_violation (soak, "REFUSED", "r-%08zx got %u and has run", i,
                        request->status);
      if (request->sent_ms >= from_ms && request->ended_ms != 0
          && request->left_ms == 0)
        {
          owed++;
          served += request->status == 200;
        }
    }
  for (size_t i = 0; i < SOAK_SERVICES; i++)
    check_budget (soak, i);
  if (owed - served > owed / UNSERVED_ONE_IN + UNSERVED_SLACK)
    soak_violation (soak, "RECOVER",
                    "%zu of %zu requests served %d ms after the last fault",
                    served, owed, SOAK_RECOVER_MS);
  size_t all = 0;
  size_t good = 0;
  for (size_t i = 0; i < request_count; i++)
    {
      all += requests[i]->left_ms == 0;
      good += requests[i]->left_ms == 0 && requests[i]->status == 200;
    }
  printf ("seed=%" PRIu64 " requests=%zu served=%zu after_recovery=%zu/%zu "
          "repeats=%zu store_calls=%" PRIu64 " violations=%zu\n",
          soak->options.seed, all, good, served, owed,
          repeats[0].count + repeats[1].count + repeats[2].count,
          soak_store_calls (), soak->violations);
}
