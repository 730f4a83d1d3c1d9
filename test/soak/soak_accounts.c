/// Client accounts: their keys and quotas in each version of the
/// configuration, what callers send, and the checks of both.
///
/// Version v has a permanent key of each account and a temporary one that only
/// versions 2g and 2g + 1 have, g being v / 2.
#include "soak.h"

#include "base/clock.h"
#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/// A change of keys is active this long after it was acknowledged, also for
/// queued requests.
#define KEY_APPLY_MS 2500

/// Start of all keys. No other text that the soak sends contains it.
#define KEY_MARK "sk-soak-"

/// Quota of an account, as a multiple of its usual rate.
#define QUOTA_FACTOR 1.6

/// The bound of a quota: (rate x window + burst) x tolerance + slack.
#define QUOTA_WINDOW_MS 5000
#define QUOTA_TOLERANCE 1.1
#define QUOTA_SLACK 20

/// The hot account sends HOT_FACTOR times its usual rate for the first
/// HOT_MS of every HOT_CYCLE_MS, in every second cycle in one zone only.
#define HOT_FACTOR 7.5
#define HOT_MS 6500
#define HOT_CYCLE_MS 11000

static const struct
{
  const char *name;
  unsigned permille; ///< of the requests, as usual rate
  bool limited;
} accounts[SOAK_ACCOUNTS] = {
  { "bakery", 500, false },
  { "cinema", 400, true },
  { "tavern", 40, true },
  { "museum", 60, true }, /* SOAK_HOT_ACCOUNT */
};

static unsigned
usual_rate (const struct soak *soak, size_t account)
{
  return soak->options.calls_per_s * accounts[account].permille / 1000 + 1;
}

/// @return requests per second; 0: no limit. The burst is the same number.
static unsigned
quota_rate (const struct soak *soak, size_t account)
{
  return accounts[account].limited
             ? (unsigned)(QUOTA_FACTOR * usual_rate (soak, account))
             : 0;
}

void
soak_accounts_write (const struct soak *soak, unsigned version,
                     struct evbuffer *text)
{
  evbuffer_add_printf (text, "\"Tenants\":[");
  for (size_t i = 0; i < SOAK_ACCOUNTS; i++)
    {
      unsigned rate = quota_rate (soak, i);
      evbuffer_add_printf (text,
                           "%s{\"Name\":\"%s\",\"ApiKeys\":[\"" KEY_MARK
                           "%s\",\"" KEY_MARK "%s-%u\"]",
                           i == 0 ? "" : ",", accounts[i].name,
                           accounts[i].name, accounts[i].name, version / 2);
      if (rate > 0)
        evbuffer_add_printf (text, ",\"RatePerS\":%u,\"Burst\":%u", rate,
                             rate);
      evbuffer_add_printf (text, "}");
    }
  evbuffer_add_printf (text, "]");
}

bool
soak_needs_key (enum soak_kind kind)
{
  return kind != SOAK_TURN;
}

void
soak_accounts_choose (struct soak *soak, struct soak_request *request,
                      bool hot)
{
  static const enum soak_key keys[]
      = { SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT,
          SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT,
          SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT, SOAK_KEY_PERMANENT,
          SOAK_KEY_TEMPORARY, SOAK_KEY_TEMPORARY, SOAK_KEY_UNKNOWN };
  uint64_t now = clock_monotonic_ms ();
  request->key = keys[rng_below (&soak->rng, sizeof keys / sizeof keys[0])];
  if (request->key == SOAK_KEY_UNKNOWN && rng_below (&soak->rng, 4) == 0)
    request->key = SOAK_KEY_NONE;
  if (!soak_needs_key (request->kind))
    request->key
        = rng_below (&soak->rng, 2) == 0 ? SOAK_KEY_NONE : SOAK_KEY_PERMANENT;
  /* The temporary key of a version that is in force, that has just been
     written, or that others may have replaced. */
  static const uint64_t ages_ms[] = { 0, KEY_APPLY_MS, 10000 };
  request->key_generation
      = soak_store_version_at (now - ages_ms[rng_below (&soak->rng, 3)]) / 2;
  unsigned drawn = (unsigned)rng_below (&soak->rng, 1000);
  request->account = 0;
  while (drawn >= accounts[request->account].permille)
    drawn -= accounts[request->account++].permille;
  if (hot)
    {
      request->account = SOAK_HOT_ACCOUNT;
      request->key = SOAK_KEY_PERMANENT;
    }
}

void
soak_accounts_write_fields (const struct soak_request *request,
                            struct evbuffer *bytes)
{
  static const char *const key_names[] = { "Api-Key", "api-key", "API-KEY" };
  static const char *const account_names[]
      = { "Hawthornseam-Tenant", "hawthornseam-tenant",
          "HAWTHORNSEAM-TENANT" };
  const char *key_name = key_names[request->id % 3];
  const char *account = accounts[request->account].name;
  if (request->key == SOAK_KEY_PERMANENT)
    evbuffer_add_printf (bytes, "%s: " KEY_MARK "%s\r\n", key_name, account);
  else if (request->key == SOAK_KEY_TEMPORARY)
    evbuffer_add_printf (bytes, "%s: " KEY_MARK "%s-%u\r\n", key_name, account,
                         request->key_generation);
  else if (request->key == SOAK_KEY_UNKNOWN)
    evbuffer_add_printf (bytes, "%s: " KEY_MARK "%s-x%u\r\n", key_name,
                         account, request->key_generation);
  if (request->id % 4 == 0)
    evbuffer_add_printf (bytes, "%s: forged\r\n",
                         account_names[request->id / 4 % 3]);
}

static bool
key_is_valid_in (const struct soak_request *request, unsigned version)
{
  return request->key == SOAK_KEY_PERMANENT
         || (request->key == SOAK_KEY_TEMPORARY && version > 0
             && version / 2 == request->key_generation);
}

/// @return the oldest version that may be in force at a time
static unsigned
oldest_version_at (uint64_t when_ms)
{
  return soak_store_version_at (when_ms > KEY_APPLY_MS ? when_ms - KEY_APPLY_MS
                                                       : 0);
}

static void
check_key (struct soak *soak, const struct soak_request *request,
           uint64_t now_ms)
{
  if (request->key == SOAK_KEY_UNKNOWN || request->key == SOAK_KEY_NONE)
    {
      soak_violation (soak, "AUTH", "r-%08" PRIx64 " runs with %s key",
                      request->id,
                      request->key == SOAK_KEY_NONE ? "no" : "an unknown");
      return;
    }
  if (!soak_node_is_stable (&soak->nodes[request->node], request->sent_ms))
    return;
  /* With other faults a request may have been held up after its entry node
     has accepted the key. */
  unsigned from = oldest_version_at (
      soak_is_stable (soak, request->sent_ms) ? now_ms : request->sent_ms);
  unsigned to = soak_store_version_at (now_ms);
  for (unsigned version = from; version <= to; version++)
    if (key_is_valid_in (request, version))
      return;
  soak_violation (soak, "AUTH",
                  "r-%08" PRIx64 " runs with a key of version %u; versions %u "
                  "to %u are possible",
                  request->id, 2 * request->key_generation, from, to);
}

void
soak_accounts_check_run (struct soak *soak, const struct http_head *head,
                         const struct soak_request *request)
{
  size_t names = 0;
  const char *name = NULL;
  bool leaked = strstr (head->target, KEY_MARK) != NULL;
  for (size_t i = 0; i < head->field_count; i++)
    {
      leaked |= strcasecmp (head->fields[i].name, "Api-Key") == 0
                || strstr (head->fields[i].value, KEY_MARK) != NULL;
      if (strcasecmp (head->fields[i].name, "Hawthornseam-Tenant") != 0)
        continue;
      names++;
      name = head->fields[i].value;
    }
  if (leaked)
    soak_violation (soak, "KEY", "r-%08" PRIx64 " reached a target with a key",
                    request->id);
  if (soak_needs_key (request->kind))
    check_key (soak, request, clock_monotonic_ms ());
  /* The platform does not say what a route without keys does with one. */
  bool may_be_absent = !soak_needs_key (request->kind);
  bool named = request->key != SOAK_KEY_NONE;
  if (names == 0 ? !may_be_absent
                 : names > 1 || !named
                       || strcmp (name, accounts[request->account].name) != 0)
    soak_violation (soak, "ACCOUNT",
                    "r-%08" PRIx64 " of %s runs as %s, %zu fields",
                    request->id, accounts[request->account].name,
                    name == NULL ? "-" : name, names);
}

void
soak_accounts_check_denied (struct soak *soak,
                            const struct soak_request *request)
{
  bool valid = true;
  unsigned to = soak_store_version_at (clock_monotonic_ms ());
  for (unsigned version = oldest_version_at (request->sent_ms); version <= to;
       version++)
    valid &= key_is_valid_in (request, version);
  if (valid || !soak_needs_key (request->kind))
    soak_violation (soak, "DENIED",
                    "r-%08" PRIx64 " got 401 from %s with a valid key",
                    request->id, soak->nodes[request->node].name);
}

bool
soak_accounts_is_expected (const struct soak_request *request)
{
  unsigned newest = soak_store_version_at (clock_monotonic_ms ());
  /* A node whose view may be old does not say that a key is unknown. */
  if (soak_needs_key (request->kind) && !key_is_valid_in (request, newest))
    return request->status == 401 || request->status == 503;
  return request->status == 200
         || (request->status == 429 && request->account == SOAK_HOT_ACCOUNT
             && soak_needs_key (request->kind));
}

unsigned
soak_accounts_hot_rate (const struct soak *soak)
{
  return (unsigned)((HOT_FACTOR - 1) * usual_rate (soak, SOAK_HOT_ACCOUNT));
}

struct soak_node *
soak_accounts_hot_node (struct soak *soak)
{
  uint64_t run_ms = clock_monotonic_ms () - soak->started_ms;
  uint64_t cycle = run_ms / HOT_CYCLE_MS;
  size_t index = rng_below (&soak->rng, soak->node_count);
  if (run_ms % HOT_CYCLE_MS >= HOT_MS)
    return NULL;
  if (cycle % 2 == 1)
    index = index / SOAK_ZONES * SOAK_ZONES + cycle / 2 % SOAK_ZONES;
  return index < soak->node_count ? &soak->nodes[index] : NULL;
}

static int
compare_times (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;
  return first < second ? -1 : first > second;
}

/// Checks the bound of an account's quota in every window, over the runs at
/// all targets.
static void
check_quota (struct soak *soak, size_t account)
{
  size_t count = 0;
  size_t offered = 0;
  size_t refused = 0;
  size_t undecided = 0; ///< unknown keys that got 503 after recovery
  const struct soak_request *request;
  for (size_t i = 0; (request = soak_ledger_at (i)) != NULL; i++)
    if (request->account == account && soak_needs_key (request->kind))
      {
        offered++;
        undecided
            += request->status == 503
               && request->sent_ms >= soak->faults_end_ms + SOAK_RECOVERY_MS
               && request->key == SOAK_KEY_UNKNOWN;
        refused += request->status == 429;
        count += request->runs > 0;
      }
  uint64_t *times_ms = calloc (count + 1, sizeof times_ms[0]);
  count = 0;
  for (size_t i = 0; (request = soak_ledger_at (i)) != NULL; i++)
    if (request->account == account && soak_needs_key (request->kind)
        && request->runs > 0)
      {
        /* A request that runs after the timeout of its route was held back by
           a fault behind its entry node, which has let it go before. */
        uint64_t left_ms = request->sent_ms + SOAK_TIMEOUT_MS;
        times_ms[count++] = request->first_run_ms < left_ms
                                ? request->first_run_ms
                                : left_ms;
      }
  qsort (times_ms, count, sizeof times_ms[0], compare_times);
  size_t worst = 0;
  uint64_t worst_ms = 0;
  for (size_t first = 0, last = 0; last < count; last++)
    {
      while (times_ms[last] - times_ms[first] >= QUOTA_WINDOW_MS)
        first++;
      if (last - first + 1 <= worst)
        continue;
      worst = last - first + 1;
      worst_ms = times_ms[first] - soak->started_ms;
    }
  free (times_ms);
  unsigned rate = quota_rate (soak, account);
  double bound = (rate * QUOTA_WINDOW_MS / 1000.0 + rate) * QUOTA_TOLERANCE
                 + QUOTA_SLACK;
  if (rate > 0 && (double)worst > bound)
    soak_violation (soak, "QUOTA",
                    "%zu requests of %s ran in the %d ms from %.3f s, %.0f "
                    "allowed",
                    worst, accounts[account].name, QUOTA_WINDOW_MS,
                    (double)worst_ms / 1000, bound);
  soak_log (soak,
            "account %s: rate %u, offered %zu, run %zu, got 429 %zu, worst "
            "window %zu of %.0f, unknown keys with 503 after recovery %zu",
            accounts[account].name, rate, offered, count, refused, worst,
            rate > 0 ? bound : 0, undecided);
}

void
soak_accounts_check (struct soak *soak)
{
  for (size_t i = 0; i < SOAK_ACCOUNTS; i++)
    check_quota (soak, i);
}
