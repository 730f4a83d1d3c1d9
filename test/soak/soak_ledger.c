/// Record of all requests of a run, and the checks of it at the end.
#include "soak.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Retry budget of the platform: share of the requests, plus a constant.
#define RETRY_BUDGET_RATIO 0.2
#define RETRY_BUDGET_SLACK 50

/// After recovery at most one request in this many, plus the slack, may fail.
#define UNSERVED_ONE_IN 500
#define UNSERVED_SLACK 2

struct timestamps
{
  uint64_t *at_ms;
  size_t count;
  size_t capacity;
};

static struct soak_request **requests;
static size_t request_count;
static size_t request_capacity;
static struct timestamps sent[SOAK_SERVICES];
static struct timestamps repeats[SOAK_SERVICES];

static void
add_timestamp (struct timestamps *timestamps, uint64_t now_ms)
{
  if (timestamps->count == timestamps->capacity)
    {
      timestamps->capacity
          = timestamps->capacity == 0 ? 1024 : 2 * timestamps->capacity;
      timestamps->at_ms
          = realloc (timestamps->at_ms,
                     timestamps->capacity * sizeof timestamps->at_ms[0]);
      if (timestamps->at_ms == NULL)
        abort ();
    }
  timestamps->at_ms[timestamps->count++] = now_ms;
}

bool
soak_runs_once (enum soak_kind kind)
{
  return kind == SOAK_SEAL || kind == SOAK_UPLOAD;
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
  static const size_t usual_service[SOAK_KINDS] = { 0, 1, 2, 0, 0, 1 };
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
  add_timestamp (&sent[usual_service[kind]], now_ms);
  if (kind == SOAK_TURN)
    add_timestamp (&sent[1], now_ms);
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

const struct soak_request *
soak_ledger_at (size_t index)
{
  return index < request_count ? requests[index] : NULL;
}

void
soak_ledger_count_repeat (size_t service, uint64_t now_ms)
{
  add_timestamp (&repeats[service], now_ms);
}

static size_t
count_between (const struct timestamps *timestamps, uint64_t from_ms,
               uint64_t to_ms)
{
  size_t count = 0;
  for (size_t i = 0; i < timestamps->count; i++)
    count += timestamps->at_ms[i] >= from_ms && timestamps->at_ms[i] < to_ms;
  return count;
}

/// Checks the retry budget in each window that ends with a repeated send.
static void
check_budget (struct soak *soak, size_t service)
{
  for (size_t i = 0; i < repeats[service].count; i++)
    {
      uint64_t end_ms = repeats[service].at_ms[i] + 1;
      uint64_t start_ms = end_ms - SOAK_RETRY_BUDGET_WINDOW_MS;
      size_t used = count_between (&repeats[service], start_ms, end_ms);
      if (used <= RETRY_BUDGET_SLACK)
        continue;
      size_t now = count_between (&sent[service], start_ms, end_ms);
      size_t before = count_between (
          &sent[service], start_ms - SOAK_RETRY_BUDGET_WINDOW_MS, start_ms);
      size_t requests_base = now > before ? now : before;
      if ((double)used
          <= RETRY_BUDGET_RATIO * (double)requests_base + RETRY_BUDGET_SLACK)
        continue;
      soak_violation (soak, "BUDGET",
                      "%zu repeated sends to %s within %d ms for %zu requests",
                      used, soak_services[service],
                      SOAK_RETRY_BUDGET_WINDOW_MS, requests_base);
      return;
    }
}

static bool
means_not_run (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void
soak_ledger_check (struct soak *soak)
{
  size_t expected = 0;
  size_t served = 0;
  uint64_t from_ms = soak->faults_end_ms + SOAK_RECOVERY_MS;
  for (size_t i = 0; i < request_count; i++)
    {
      const struct soak_request *request = requests[i];
      if (soak_runs_once (request->kind) && means_not_run (request->status)
          && request->runs > 0)
        soak_violation (soak, "REFUSED", "r-%08zx got %u but has run", i,
                        request->status);
      if (request->sent_ms >= from_ms && request->ended_ms != 0
          && request->cancelled_ms == 0 && !request->truncated)
        {
          expected++;
          if (soak_accounts_is_expected (request))
            served++;
          else
            soak_log (soak,
                      "not served after recovery: r-%08zx by node-%zu status "
                      "%u kind %d account %zu key %d, ended after %" PRIu64
                      " ms",
                      i, request->node, request->status, (int)request->kind,
                      request->account, (int)request->key,
                      request->ended_ms - request->sent_ms);
        }
    }
  for (size_t i = 0; i < SOAK_SERVICES; i++)
    check_budget (soak, i);
  soak_accounts_check (soak);
  if (expected - served > expected / UNSERVED_ONE_IN + UNSERVED_SLACK)
    soak_violation (
        soak, "RECOVER",
        "%zu of %zu requests served as expected %d ms after the last fault",
        served, expected, SOAK_RECOVERY_MS);
  size_t all = 0;
  size_t all_served = 0;
  size_t uploads_run = 0;
  size_t large_run = 0;
  for (size_t i = 0; i < request_count; i++)
    {
      all += requests[i]->cancelled_ms == 0;
      uploads_run += requests[i]->kind == SOAK_UPLOAD && requests[i]->runs > 0;
      large_run
          += requests[i]->body_size > 1024 * 1024 && requests[i]->runs > 0;
      all_served
          += requests[i]->cancelled_ms == 0 && requests[i]->status == 200;
    }
  soak_log (soak, "uploads run: %zu, of these over 1 MiB: %zu", uploads_run,
            large_run);
  printf ("seed=%" PRIu64 " requests=%zu served=%zu after_recovery=%zu/%zu "
          "repeats=%zu store_calls=%" PRIu64 " violations=%zu\n",
          soak->options.seed, all, all_served, served, expected,
          repeats[0].count + repeats[1].count + repeats[2].count,
          soak_store_calls (), soak->violations);
}
