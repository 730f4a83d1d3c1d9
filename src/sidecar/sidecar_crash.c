/// Owns the detection of requests that crash targets. When a target crashes,
/// its node publishes the requests whose connections broke with it. Every node
/// counts the distinct crashes of a request and refuses requests that were in
/// flight in two.
///
/// A lost connection alone does not count as a crash. It does when the target
/// then refuses connections or reports itself as a new process.
#include "sidecar/sidecar.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "protocol/crash_record.h"
#include "state/suspect.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Requests lost within this time before the last one are attributed to the
/// same crash.
#define CRASH_LOSS_WINDOW_MS 300

/// Longest time from a lost request to the detection of its crash; requests
/// lost earlier are not attributed to the crash.
#define CRASH_DETECTION_MS_MAX 12000

/// Most suspect requests that are remembered.
#define SUSPECTS_MAX 4096

static struct counter crashes = COUNTER (
    "crash_targets", "crashes of the own target with lost requests");
static struct counter refusals = COUNTER (
    "crash_requests_refused", "requests refused because they crash targets");
static struct counter malformed
    = COUNTER ("crash_records_malformed", "records that cannot be read");

struct lost_request
{
  uint64_t fingerprint; ///< 0: unused
  uint64_t lost_ms;
};

struct sidecar_crashes
{
  struct suspect_table suspects;
  struct lost_request lost[CRASH_REQUESTS_MAX]; ///< ring buffer
  size_t next; ///< index in `lost` of the next write
};

/// Does not make the body contiguous, which would need its size once more.
/// @return placement hash of a body, or 0 if it is empty
static uint64_t
hash_body (struct evbuffer *body)
{
  if (evbuffer_get_length (body) == 0)
    return 0;
  int count = evbuffer_peek (body, -1, NULL, NULL, 0);
  struct evbuffer_iovec *parts
      = talloc_array (NULL, struct evbuffer_iovec, (size_t)count);
  uint64_t hash;
  enum status status = STATUS_NO_MEMORY;
  if (parts != NULL)
    {
      evbuffer_peek (body, -1, NULL, parts, count);
      status = hash_placement_parts (parts, (size_t)count, &hash);
    }
  if (status != STATUS_OK)
    hash = hash_placement (evbuffer_pullup (body, -1),
                           evbuffer_get_length (body));
  talloc_free (parts);
  return hash;
}

/// @return hash of the first bytes of a streamed body
static uint64_t
hash_first_bytes (struct evbuffer *body)
{
  char first[SIDECAR_FINGERPRINT_BYTES_MAX];
  ev_ssize_t size = evbuffer_copyout (body, first, sizeof first);
  return size <= 0 ? 0 : hash_placement (first, (size_t)size);
}

uint64_t
sidecar_crash_fingerprint (const char *caller,
                           const struct http_request *request)
{
  uint64_t body = request->streamed ? hash_first_bytes (request->body)
                                    : hash_body (request->body);
  uint64_t fingerprint = suspect_fingerprint_hashed (
      http_method_str (request->head->method), request->head->target, body);
  return hash_placement_pair (fingerprint, hash_placement_string (caller));
}

bool
sidecar_crash_has_suspects (const struct sidecar *sidecar)
{
  return sidecar->crashes->suspects.count > 0;
}

void
sidecar_crash_lost (struct sidecar *sidecar, uint64_t fingerprint)
{
  struct sidecar_crashes *state = sidecar->crashes;
  state->lost[state->next]
      = (struct lost_request){ .fingerprint = fingerprint,
                               .lost_ms = clock_monotonic_ms () };
  state->next = (state->next + 1) % CRASH_REQUESTS_MAX;
}

/// Counts a crash for each request in its record.
static void
add_suspects (struct sidecar *sidecar, const struct crash_record *record)
{
  uint64_t now = clock_monotonic_ms ();
  for (size_t i = 0; i < record->count; i++)
    suspect_raise (&sidecar->crashes->suspects, record->fingerprints[i],
                   record->crash, now);
}

/// Moves the requests that were lost together most recently into a record, and
/// clears all lost requests.
static void
collect_lost (struct sidecar_crashes *state, struct crash_record *record)
{
  uint64_t last_ms = 0;
  uint64_t now = clock_monotonic_ms ();
  for (size_t i = 0; i < CRASH_REQUESTS_MAX; i++)
    if (state->lost[i].fingerprint != 0 && state->lost[i].lost_ms > last_ms)
      last_ms = state->lost[i].lost_ms;
  for (size_t i = 0; i < CRASH_REQUESTS_MAX; i++)
    {
      const struct lost_request *lost = &state->lost[i];
      if (lost->fingerprint != 0
          && now - lost->lost_ms < CRASH_DETECTION_MS_MAX
          && last_ms - lost->lost_ms < CRASH_LOSS_WINDOW_MS)
        record->fingerprints[record->count++] = lost->fingerprint;
    }
  memset (state->lost, 0, sizeof state->lost);
}

void
sidecar_crash_confirmed (struct sidecar *sidecar)
{
  struct crash_record record = { 0 };
  char text[CRASH_RECORD_MAX];
  collect_lost (sidecar->crashes, &record);
  if (record.count == 0)
    return;
  counter_add (&crashes, 1);
  record.crash = rng_u64 (&sidecar->rng) | 1;
  log_event (LOG_LEVEL_WARNING, "target_crashed",
             "instance=%s requests=%zu crash=%016" PRIx64,
             sidecar->target.report.instance, record.count, record.crash);
  add_suspects (sidecar, &record);
  size_t size = crash_record_write (&record, text);
  sidecar_store_publish_crash (sidecar, text, size);
}

void
sidecar_crash_on_record (struct sidecar *sidecar, const struct store_key *key)
{
  struct crash_record record;
  if (crash_record_read (key->data, key->size, &record) == STATUS_OK)
    {
      add_suspects (sidecar, &record);
      return;
    }
  counter_add (&malformed, 1);
  log_event (LOG_LEVEL_WARNING, "crash_record_malformed",
             "key=%s revision=%" PRIu64 " reason=\"%s\"", key->key,
             key->revision, status_message ());
}

bool
sidecar_crash_is_refused (struct sidecar *sidecar,
                          struct http_request *request)
{
  struct suspect_table *suspects = &sidecar->crashes->suspects;
  if (suspects->count == 0)
    return false;
  uint64_t fingerprint
      = sidecar_crash_fingerprint (sidecar->settings.service, request);
  if (suspect_check (suspects, fingerprint, clock_monotonic_ms ())
      != SUSPECT_REFUSED)
    return false;
  counter_add (&refusals, 1);
  return true;
}

void
sidecar_crash_succeeded (struct sidecar *sidecar, struct http_request *request,
                         uint64_t streamed_fingerprint)
{
  struct suspect_table *suspects = &sidecar->crashes->suspects;
  if (suspects->count > 0)
    suspect_clear (suspects, request->streamed
                                 ? streamed_fingerprint
                                 : sidecar_crash_fingerprint (
                                     sidecar->settings.service, request));
}

enum status
sidecar_crash_start (struct sidecar *sidecar)
{
  sidecar->crashes = calloc (1, sizeof *sidecar->crashes);
  return sidecar->crashes == NULL
             ? status_set (STATUS_NO_MEMORY, "no memory for the crash state")
             : suspect_init (&sidecar->crashes->suspects, SUSPECTS_MAX);
}

void
sidecar_crash_stop (struct sidecar *sidecar)
{
  suspect_finish (&sidecar->crashes->suspects);
  free (sidecar->crashes);
  sidecar->crashes = NULL;
}
