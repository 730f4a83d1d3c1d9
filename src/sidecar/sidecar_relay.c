/// Owns both sides of the relay's long polling: the pending requests of
/// followers, and this node's own request to its relay. A relay responds when
/// its view changes and otherwise after a short time, so that a follower soon
/// detects a relay that has failed.
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "coordination/store_revision.h"
#include "protocol/call_headers.h"
#include "protocol/view.h"
#include "transport/timer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// A relay responds after this time even when nothing changed.
#define LONG_POLL_MS 600

/// A follower gives up a relay that has not responded within this time.
/// Together with the relay's pause between its watches, a change still arrives
/// within config_apply.
#define RELAY_TIMEOUT_MS 1000

/// A relay that has had no response of the store for this long may lack the
/// newest changes and refuses requests.
#define STORE_RESPONSE_AGE_MS_MAX 1100

/// A node counts as a relay in use for this long after a follower's request.
#define RELAY_IN_USE_MS 5000

static struct counter requests
    = COUNTER ("relay_questions", "questions of other nodes for changes");
static struct counter refused_requests = COUNTER (
    "relay_refusals", "such questions that this node could not serve");
static struct counter failed_requests
    = COUNTER ("relay_failures", "own questions that a relay did not serve");

static struct log_rate_limit failure_log_limit = { .per_second = 5 };

/// A follower's request that waits for changes.
struct pending_poll
{
  struct http_request *request;
  uint64_t after;          ///< revision of the follower's view
  enum view_format format; ///< that it accepts
  uint64_t due_ms;         ///< latest time of its response
  TAILQ_ENTRY (pending_poll) link;
};

struct sidecar_relay
{
  TAILQ_HEAD (pending_polls, pending_poll) polls;
  uint64_t last_poll_ms; ///< last request of a follower
  struct relay_exclusions exclusions;
  struct http_exchange *exchange; ///< own request to a relay, or NULL
  uint64_t relay_serial;          ///< of the relay's directory record
  unsigned status;                ///< HTTP status of its response
  uint64_t asked_ms;              ///< when it was sent
  uint64_t asked_after;           ///< revision of the view then
  uint32_t view_age_ms;           ///< of the view that the relay sent
  bool lagging; ///< its view is from before the last restore of the store
  enum store_pace_relay contact; ///< what the last relay asked did
  struct evbuffer *response;     ///< body received so far
  struct event timer;
  /* Last encoded response, reused for followers at the same revision. */
  char *cached;
  size_t cached_size;
  uint64_t cached_after;
  uint64_t cached_as_of;
  enum view_format cached_format;
};

enum status
sidecar_relay_start (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = calloc (1, sizeof *relay);
  if (relay == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "out of memory for the state of the relay");
  TAILQ_INIT (&relay->polls);
  relay->response = evbuffer_new ();
  sidecar->store->relay = relay;
  return STATUS_OK;
}

void
sidecar_relay_stop (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  while (!TAILQ_EMPTY (&relay->polls))
    {
      struct pending_poll *pending = TAILQ_FIRST (&relay->polls);
      TAILQ_REMOVE (&relay->polls, pending, link);
      free (pending);
    }
  if (relay->exchange != NULL)
    {
      http_exchange_cancel (relay->exchange);
      event_del (&relay->timer);
    }
  evbuffer_free (relay->response);
  free (relay->cached);
  free (relay);
}

/// @return true when this node can serve changes: it has a view, watches the
///         store itself, and the store responded recently
static bool
is_relay_ready (const struct sidecar *sidecar, uint64_t now_ms)
{
  const struct sidecar_store *store = sidecar->store;
  return !sidecar->stopping && store->as_of != 0
         && store->unreachable_since_ms == 0 && store->relay->exchange == NULL
         && now_ms - store->last_response_ms < STORE_RESPONSE_AGE_MS_MAX;
}

/// @return true when the view is complete: no full read is due or in progress
static bool
is_complete (const struct sidecar_store *store)
{
  return !store->relist && !store->listing;
}

static void
refuse (struct http_request *request)
{
  counter_add (&refused_requests, 1);
  http_reply (request, 503, NULL, "", 0);
}

static void
send_changes (struct sidecar *sidecar, struct http_request *request,
              uint64_t after, enum view_format format)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  if (relay->cached == NULL || relay->cached_after != after
      || relay->cached_as_of != store->as_of || relay->cached_format != format)
    {
      free (relay->cached);
      relay->cached = view_write (&store->mirror, after, store->as_of, format,
                                  &relay->cached_size);
      relay->cached_format = format;
      relay->cached_after = after;
      relay->cached_as_of = store->as_of;
    }
  if (relay->cached == NULL)
    refuse (request);
  else
    {
      char fields[64];
      snprintf (fields, sizeof fields,
                CALL_HEADER_VIEW_AGE ": %" PRIu64 "\r\n",
                clock_monotonic_ms () - store->view_checked_ms);
      http_reply (request, 200, fields, relay->cached, relay->cached_size);
    }
}

void
sidecar_relay_serve (struct sidecar *sidecar, struct http_request *request)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  uint64_t now = clock_monotonic_ms ();
  uint64_t after = strtoull (
      request->head->target + strlen (CALL_PATH_CHANGES), NULL, 10);
  enum view_format format = sidecar_view_format (request);
  counter_add (&requests, 1);
  relay->last_poll_ms = now;
  sidecar_store_note_era (sidecar, after);
  if (!is_relay_ready (sidecar, now))
    {
      refuse (request);
      return;
    }
  if (is_complete (sidecar->store) && sidecar->store->as_of > after)
    {
      send_changes (sidecar, request, after, format);
      return;
    }
  struct pending_poll *pending = calloc (1, sizeof *pending);
  if (pending == NULL)
    {
      refuse (request);
      return;
    }
  *pending = (struct pending_poll){ .request = request,
                                    .after = after,
                                    .format = format,
                                    .due_ms = now + LONG_POLL_MS };
  TAILQ_INSERT_TAIL (&relay->polls, pending, link);
}

void
sidecar_relay_cancel (struct sidecar *sidecar, struct http_request *request)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  struct pending_poll *pending;
  TAILQ_FOREACH (pending, &relay->polls, link)
  if (pending->request == request)
    {
      TAILQ_REMOVE (&relay->polls, pending, link);
      free (pending);
      return;
    }
}

void
sidecar_relay_tick (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  uint64_t now = clock_monotonic_ms ();
  bool ready = is_relay_ready (sidecar, now);
  bool complete = is_complete (sidecar->store);
  struct pending_poll *pending = TAILQ_FIRST (&relay->polls);
  while (pending != NULL)
    {
      struct pending_poll *next = TAILQ_NEXT (pending, link);
      bool due = now >= pending->due_ms;
      bool changed = complete && sidecar->store->as_of > pending->after;
      if (!ready || changed || due)
        {
          struct http_request *request = pending->request;
          uint64_t after = pending->after;
          enum view_format format = pending->format;
          TAILQ_REMOVE (&relay->polls, pending, link);
          free (pending);
          if (ready && complete)
            send_changes (sidecar, request, after, format);
          else
            refuse (request);
        }
      pending = next;
    }
}

enum store_pace_relay
sidecar_relay_contact (const struct sidecar *sidecar)
{
  return sidecar->store->relay->contact;
}

void
sidecar_relay_retry_soon (struct sidecar *sidecar)
{
  relay_retry_soon (&sidecar->store->relay->exclusions, clock_monotonic_ms ());
}

bool
sidecar_relay_is_member (const struct sidecar *sidecar)
{
  struct relay_group group;
  relay_choose (&sidecar->directory, sidecar->settings.node,
                sidecar->settings.availability_zone, &group);
  return group.count == RELAY_COUNT && group.member;
}

/// @return handle of the relay to ask now, or SIZE_MAX
static size_t
pick_relay (const struct sidecar *sidecar, uint64_t now_ms)
{
  return relay_pick (&sidecar->store->relay->exclusions, &sidecar->directory,
                     sidecar->settings.node,
                     sidecar->settings.availability_zone, now_ms);
}

bool
sidecar_relay_is_available (const struct sidecar *sidecar)
{
  return sidecar_relay_is_member (sidecar)
         || pick_relay (sidecar, clock_monotonic_ms ()) != SIZE_MAX;
}

bool
sidecar_relay_has_followers (const struct sidecar *sidecar, uint64_t now_ms)
{
  uint64_t last_poll_ms = sidecar->store->relay->last_poll_ms;
  return last_poll_ms != 0 && now_ms - last_poll_ms < RELAY_IN_USE_MS;
}

/* The follower's side */

static void
end_poll (struct sidecar *sidecar, bool served)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  uint64_t now = clock_monotonic_ms ();
  event_del (&relay->timer);
  relay->exchange = NULL;
  store->watching = false;
  store->next_watch_ms = now;
  enum store_pace_relay contact = STORE_PACE_RELAY_SILENT;
  if (served)
    contact = STORE_PACE_RELAY_SERVING;
  else if (relay->status == 503)
    contact = STORE_PACE_RELAY_REFUSING;
  bool returned = served && relay->contact != STORE_PACE_RELAY_SERVING;
  relay->contact = contact;
  /* The relay will soon notice the restore, and holds the next request until
     then. */
  if (served && relay->lagging)
    return;
  if (served)
    {
      store->caught_up = true;
      /* A response with changes may have been long on its way. */
      uint64_t known_ms
          = store->as_of == relay->asked_after ? now : relay->asked_ms;
      store->view_checked_ms
          = known_ms > relay->view_age_ms ? known_ms - relay->view_age_ms : 0;
      if (returned)
        sidecar_store_probe_now (sidecar);
      return;
    }
  counter_add (&failed_requests, 1);
  /* The store may have compacted changes that this node has not seen, and
     would leave a watch on the old revision waiting: read all keys instead. */
  store->relist = true;
  struct directory_record *record = NULL;
  for (size_t i = 0; i < sidecar->directory.count; i++)
    if (sidecar->directory.records[i].serial == relay->relay_serial)
      record = &sidecar->directory.records[i];
  log_rate_limited (&failure_log_limit, LOG_LEVEL_WARNING, "relay_failed",
                    "node=%s status=%u view_revision=%" PRIu64,
                    record == NULL ? "-" : record->entry.node, relay->status,
                    store->as_of);
  bool has_no_store = store->unreachable_since_ms != 0 || !store->caught_up;
  relay_exclude (&relay->exclusions, relay->relay_serial,
                 has_no_store ? RELAY_RETRY_MS : RELAY_EXCLUSION_MS, now);
}

/// Applies the changes that a relay sent.
/// @return true when the response was valid
static bool
apply_response (struct sidecar *sidecar)
{
  struct sidecar_store *store = sidecar->store;
  struct evbuffer *body = store->relay->response;
  struct mirror view;
  uint64_t as_of;
  bool full;
  mirror_init (&view);
  enum status status
      = view_read ((const char *)evbuffer_pullup (body, -1),
                   evbuffer_get_length (body), &view, &as_of, &full);
  if (status != STATUS_OK)
    log_rate_limited (&failure_log_limit, LOG_LEVEL_WARNING, "changes_refused",
                      "reason=\"%s\"", status_message ());
  else
    {
      if (as_of > store->as_of)
        sidecar_store_apply_changes (store, &view, as_of, full);
      sidecar_store_note_era (sidecar, as_of);
      store->relay->lagging
          = store_revision_era (as_of) < sidecar->store_client.era;
      store->relist = store->relist && store->relay->lagging;
    }
  mirror_finish (&view);
  return status == STATUS_OK;
}

static void
on_head (void *arg, struct http_head *head)
{
  struct sidecar *sidecar = arg;
  struct sidecar_relay *relay = sidecar->store->relay;
  relay->status = head->status;
  /* Relays of an older version do not send it. */
  if (call_deadline_parse (http_head_find (head, CALL_HEADER_VIEW_AGE),
                           STORE_RESPONSE_AGE_MS_MAX, &relay->view_age_ms)
      != STATUS_OK)
    relay->view_age_ms = CALL_DEADLINE_MAX_MS;
}

static void
on_body (void *arg, const char *data, size_t size)
{
  struct sidecar *sidecar = arg;
  evbuffer_add (sidecar->store->relay->response, data, size);
}

static void
on_end (void *arg, enum http_end end)
{
  struct sidecar *sidecar = arg;
  end_poll (sidecar, end == HTTP_END_COMPLETE
                         && sidecar->store->relay->status == 200
                         && apply_response (sidecar));
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = on_body, .end = on_end };

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  http_exchange_cancel (sidecar->store->relay->exchange);
  end_poll (sidecar, false);
}

bool
sidecar_relay_follow (struct sidecar *sidecar, uint64_t now_ms)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  size_t handle = pick_relay (sidecar, now_ms);
  if (handle == SIZE_MAX)
    return false;
  const struct directory_record *record = &sidecar->directory.records[handle];
  struct evbuffer *request = evbuffer_new ();
  evbuffer_add_printf (
      request,
      "GET " CALL_PATH_CHANGES "%" PRIu64
      " HTTP/1.1\r\nHost: view\r\n" CALL_HEADER_VIEW_FORMAT ": %d\r\n\r\n",
      store->caught_up ? store->as_of : store->as_of - 1, VIEW_SPLIT);
  evbuffer_drain (relay->response, evbuffer_get_length (relay->response));
  relay->status = 0;
  relay->relay_serial = record->serial;
  relay->asked_ms = now_ms;
  relay->asked_after = store->as_of;
  struct http_send send = { .address = record->entry.address,
                            .port = record->entry.port,
                            .request = request,
                            .max_idle_ms = RELAY_TIMEOUT_MS,
                            .body_bytes_max = VIEW_BYTES_MAX };
  relay->exchange = http_pool_send (&sidecar->peer_pool, &send, &ops, sidecar);
  evbuffer_free (request);
  if (relay->exchange == NULL)
    return false;
  evtimer_assign (&relay->timer, sidecar->base, on_timer, sidecar);
  timer_start (&relay->timer, RELAY_TIMEOUT_MS);
  store->watching = true;
  return true;
}
