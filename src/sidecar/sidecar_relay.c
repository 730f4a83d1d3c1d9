/// Owns the questions of other nodes for changes that wait here, and the own
/// question to a relay. A relay answers when its view changes and otherwise
/// after a short time, so that a follower soon finds a relay that has failed.
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "protocol/view.h"
#include "transport/timer.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/// A relay answers after this time although nothing changed.
#define ANSWER_MS 600

/// A follower gives a relay up after this time without an answer. With the
/// relay's own pause, a change still comes within ConfigApply.
#define FOLLOW_MS 1000

/// A relay that the store answered no call for this long does not know the
/// newest changes.
#define CONTACT_MS_MAX 1100

/// A node counts as followed for this long after a question.
#define FOLLOWED_MS 5000

static struct counter questions
    = COUNTER ("relay_questions", "questions of other nodes for changes");
static struct counter refusals = COUNTER (
    "relay_refusals", "such questions that this node could not serve");
static struct counter failures
    = COUNTER ("relay_failures", "own questions that a relay did not serve");

static struct log_limit failure_lines = { .per_second = 5 };

struct relay_waiter
{
  struct http_request *request;
  uint64_t after;
  uint64_t due_ms;
  TAILQ_ENTRY (relay_waiter) link;
};

struct sidecar_relay
{
  TAILQ_HEAD (relay_waiters, relay_waiter) waiters;
  uint64_t followed_ms; ///< last question of another node
  struct relay_follow follow;
  struct http_exchange *asking; ///< own question, or NULL
  uint64_t asked_serial;        ///< record of the relay that was asked
  unsigned status;              ///< of its answer
  struct evbuffer *answer;
  struct event timer;
  char *written; ///< last answer that was written, for followers alike
  size_t written_size;
  uint64_t written_after;
  uint64_t written_as_of;
};

enum status
sidecar_relay_start (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = calloc (1, sizeof *relay);
  if (relay == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the relay");
  TAILQ_INIT (&relay->waiters);
  relay->answer = evbuffer_new ();
  sidecar->store->relay = relay;
  return STATUS_OK;
}

void
sidecar_relay_stop (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  while (!TAILQ_EMPTY (&relay->waiters))
    {
      struct relay_waiter *waiter = TAILQ_FIRST (&relay->waiters);
      TAILQ_REMOVE (&relay->waiters, waiter, link);
      free (waiter);
    }
  if (relay->asking != NULL)
    {
      http_exchange_cancel (relay->asking);
      event_del (&relay->timer);
    }
  evbuffer_free (relay->answer);
  free (relay->written);
  free (relay);
}

/// @return true when this node hears of changes in the store
static bool
is_in_contact (const struct sidecar *sidecar, uint64_t now_ms)
{
  const struct sidecar_store *store = sidecar->store;
  return !sidecar->stopping && store->as_of != 0 && store->away_since_ms == 0
         && store->relay->asking == NULL
         && now_ms - store->contact_ms < CONTACT_MS_MAX;
}

/// @return true when the view is whole: no full read is due or under way
static bool
is_whole (const struct sidecar_store *store)
{
  return !store->relist && !store->listing;
}

static void
refuse (struct http_request *request)
{
  counter_add (&refusals, 1);
  http_reply (request, 503, NULL, "", 0);
}

static void
answer (struct sidecar *sidecar, struct http_request *request, uint64_t after)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  if (relay->written == NULL || relay->written_after != after
      || relay->written_as_of != store->as_of)
    {
      free (relay->written);
      relay->written = view_write (&store->mirror, after, store->as_of,
                                   &relay->written_size);
      relay->written_after = after;
      relay->written_as_of = store->as_of;
    }
  if (relay->written == NULL)
    refuse (request);
  else
    http_reply (request, 200, NULL, relay->written, relay->written_size);
}

void
sidecar_relay_answer (struct sidecar *sidecar, struct http_request *request)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  uint64_t now = clock_monotonic_ms ();
  uint64_t after = strtoull (
      request->head->target + strlen (CALL_PATH_CHANGES), NULL, 10);
  counter_add (&questions, 1);
  relay->followed_ms = now;
  if (!is_in_contact (sidecar, now))
    {
      refuse (request);
      return;
    }
  if (is_whole (sidecar->store) && sidecar->store->as_of > after)
    {
      answer (sidecar, request, after);
      return;
    }
  struct relay_waiter *waiter = calloc (1, sizeof *waiter);
  if (waiter == NULL)
    {
      refuse (request);
      return;
    }
  *waiter = (struct relay_waiter){ .request = request,
                                   .after = after,
                                   .due_ms = now + ANSWER_MS };
  TAILQ_INSERT_TAIL (&relay->waiters, waiter, link);
}

void
sidecar_relay_gone (struct sidecar *sidecar, struct http_request *request)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  struct relay_waiter *waiter;
  TAILQ_FOREACH (waiter, &relay->waiters, link)
  if (waiter->request == request)
    {
      TAILQ_REMOVE (&relay->waiters, waiter, link);
      free (waiter);
      return;
    }
}

void
sidecar_relay_tick (struct sidecar *sidecar)
{
  struct sidecar_relay *relay = sidecar->store->relay;
  uint64_t now = clock_monotonic_ms ();
  bool in_contact = is_in_contact (sidecar, now);
  bool whole = is_whole (sidecar->store);
  struct relay_waiter *waiter = TAILQ_FIRST (&relay->waiters);
  while (waiter != NULL)
    {
      struct relay_waiter *next = TAILQ_NEXT (waiter, link);
      bool due = now >= waiter->due_ms;
      bool changed = whole && sidecar->store->as_of > waiter->after;
      if (!in_contact || changed || due)
        {
          struct http_request *request = waiter->request;
          uint64_t after = waiter->after;
          TAILQ_REMOVE (&relay->waiters, waiter, link);
          free (waiter);
          if (in_contact && whole)
            answer (sidecar, request, after);
          else
            refuse (request);
        }
      waiter = next;
    }
}

bool
sidecar_relay_is_followed (const struct sidecar *sidecar, uint64_t now_ms)
{
  uint64_t followed_ms = sidecar->store->relay->followed_ms;
  return followed_ms != 0 && now_ms - followed_ms < FOLLOWED_MS;
}

/* The follower's side. */

static void
end_question (struct sidecar *sidecar, bool served)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  uint64_t now = clock_monotonic_ms ();
  event_del (&relay->timer);
  relay->asking = NULL;
  store->watching = false;
  store->next_watch_ms = now;
  if (served)
    return;
  counter_add (&failures, 1);
  /* The store may have forgotten what this node has not heard of, and keeps a
     watch from there waiting. */
  store->relist = true;
  struct directory_record *record = NULL;
  for (size_t i = 0; i < sidecar->directory.count; i++)
    if (sidecar->directory.records[i].serial == relay->asked_serial)
      record = &sidecar->directory.records[i];
  log_limited (&failure_lines, LOG_LEVEL_WARNING, "relay_failed",
               "node=%s status=%u view_revision=%" PRIu64,
               record == NULL ? "-" : record->entry.node, relay->status,
               store->as_of);
  relay_failed (&relay->follow, relay->asked_serial, now);
}

/// Takes the changes that a relay sent.
static bool
take_answer (struct sidecar *sidecar)
{
  struct sidecar_store *store = sidecar->store;
  struct evbuffer *bytes = store->relay->answer;
  struct mirror view;
  uint64_t as_of;
  bool whole;
  mirror_init (&view);
  enum status status
      = view_read ((const char *)evbuffer_pullup (bytes, -1),
                   evbuffer_get_length (bytes), &view, &as_of, &whole);
  if (status != STATUS_OK)
    log_limited (&failure_lines, LOG_LEVEL_WARNING, "changes_refused",
                 "reason=\"%s\"", status_message ());
  else
    {
      if (as_of > store->as_of)
        sidecar_store_take_changes (store, &view, as_of, whole);
      store->relist = false;
    }
  mirror_finish (&view);
  return status == STATUS_OK;
}

static void
on_head (void *arg, struct http_head *head)
{
  struct sidecar *sidecar = arg;
  sidecar->store->relay->status = head->status;
}

static void
on_body (void *arg, const char *data, size_t size)
{
  struct sidecar *sidecar = arg;
  struct evbuffer *bytes = sidecar->store->relay->answer;
  if (evbuffer_get_length (bytes) + size <= VIEW_BYTES_MAX)
    evbuffer_add (bytes, data, size);
}

static void
on_end (void *arg, enum http_end end)
{
  struct sidecar *sidecar = arg;
  end_question (sidecar, end == HTTP_END_COMPLETE
                             && sidecar->store->relay->status == 200
                             && take_answer (sidecar));
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = on_body, .end = on_end };

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  http_exchange_cancel (sidecar->store->relay->asking);
  end_question (sidecar, false);
}

bool
sidecar_relay_follow (struct sidecar *sidecar, uint64_t now_ms)
{
  struct sidecar_store *store = sidecar->store;
  struct sidecar_relay *relay = store->relay;
  size_t handle = relay_pick (&relay->follow, &sidecar->directory,
                              sidecar->settings.node,
                              sidecar->settings.availability_zone, now_ms);
  if (handle == SIZE_MAX)
    return false;
  const struct directory_record *record = &sidecar->directory.records[handle];
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes,
                       "GET " CALL_PATH_CHANGES "%" PRIu64
                       " HTTP/1.1\r\nHost: view\r\n\r\n",
                       store->as_of);
  evbuffer_drain (relay->answer, evbuffer_get_length (relay->answer));
  relay->status = 0;
  relay->asked_serial = record->serial;
  struct http_send send = { .address = record->entry.address,
                            .port = record->entry.port,
                            .request = bytes,
                            .max_idle_ms = FOLLOW_MS };
  relay->asking = http_pool_send (&sidecar->peer_pool, &send, &ops, sidecar);
  evbuffer_free (bytes);
  if (relay->asking == NULL)
    return false;
  evtimer_assign (&relay->timer, sidecar->base, on_timer, sidecar);
  timer_start (&relay->timer, FOLLOW_MS);
  store->watching = true;
  return true;
}
