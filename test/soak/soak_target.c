/// Owns the targets: they answer as the platform's upstreams do, know what
/// every request must look like, and count what runs.
#include "soak.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <talloc.h>

#define SLOTS 8
#define QUEUE 16
#define BEAT_MS 1500
#define WORK_MS_MIN 3
#define WORK_MS_SPREAD 30

/// One request in this many takes longer than its route's timeout.
#define LONG_ONE_IN 400
#define LONG_MS (SOAK_TIMEOUT_MS + 2000)

/// A leaving target serves on for this long after its leaving was
/// acknowledged, then says that it ends.
#define LEAVE_SERVE_MS (SOAK_DRAIN_MS + 1500)
#define LEFT_MS 700

/// Requests that may go on for longer than SOAK_GONE_MS after their caller
/// left: the platform allows a few.
#define GONE_ALLOWED 3

struct run
{
  struct soak_target *target;
  struct http_request *request;
  struct soak_request *known;
  struct event timer;
  TAILQ_ENTRY (run) link;
};

static TAILQ_HEAD (runs, run) runs = TAILQ_HEAD_INITIALIZER (runs);

static struct http_pool beats;
static bool beats_started;
static unsigned long long incarnations;
static size_t gone_late;

static const struct http_server_limits limits
    = { .head_bytes = 65536,
        .body_bytes = 4 * 1024 * 1024,
        .receive_ms = 60000,
        .idle_ms = 10000 };

static void on_change (evutil_socket_t fd, short what, void *arg);

static bool
happens (struct soak_target *target, uint32_t permille)
{
  return permille > 0 && rng_below (&target->soak->rng, 1000) < permille;
}

static void
answer_head (const struct run *run, char *fields, size_t size, uint64_t id)
{
  char text[32];
  struct soak_request named = { .id = id };
  soak_ledger_id (&named, text);
  snprintf (fields, size,
            "Hawthornseam-Request-Id: %s\r\n"
            "Hawthornseam-Response-Seal: %016" PRIx64 "\r\n"
            "Hawthornseam-Instance-Id: %s\r\n"
            "Hawthornseam-Server-Load: %zu,0,%d\r\n",
            text, run->known->id, run->target->instance, run->target->running,
            SLOTS);
}

/// Sends the answer that belongs to a request.
/// @param whole  false: breaks off in the middle
static void
send_answer (struct run *run, uint64_t id, bool whole)
{
  size_t size = soak_answer_size (run->known);
  char *bytes = malloc (size);
  char fields[512];
  soak_fill (run->known->id, 0, bytes, size);
  answer_head (run, fields, sizeof fields, id);
  struct evbuffer *lines = evbuffer_new ();
  evbuffer_add (lines, fields, strlen (fields));
  http_reply_start (run->request, 200, lines, (int64_t)size);
  evbuffer_free (lines);
  http_reply_piece (run->request, bytes, whole ? size : size / 2);
  if (whole)
    http_reply_finish (run->request);
  else
    http_reply_abort (run->request);
  free (bytes);
}

static void
free_run (struct run *run)
{
  run->target->running--;
  event_del (&run->timer);
  TAILQ_REMOVE (&runs, run, link);
  free (run);
}

static void
check_left (struct run *run)
{
  struct soak *soak = run->target->soak;
  uint64_t now = clock_monotonic_ms ();
  const struct soak_request *known = run->known;
  if (known->left_ms == 0 || now <= known->left_ms + SOAK_GONE_MS
      || !soak_is_calm (soak, known->left_ms))
    return;
  if (++gone_late > GONE_ALLOWED)
    soak_violation (soak, "GONE",
                    "r-%08" PRIx64 " runs %" PRIu64
                    " ms after its caller left",
                    known->id, now - known->left_ms);
}

static void
on_run_end (evutil_socket_t fd, short what, void *arg)
{
  struct run *run = arg;
  struct soak_target *target = run->target;
  /* The request is freed with its answer. */
  run->request->context = NULL;
  check_left (run);
  if (happens (target, target->lose_permille))
    http_reply_abort (run->request);
  else if (happens (target, target->garble_permille))
    {
      /* A late answer to another request, or one that is cut. */
      if (rng_below (&target->soak->rng, 2) == 0)
        send_answer (run, run->known->id + 1, true);
      else
        send_answer (run, run->known->id, false);
    }
  else if (happens (target, target->fail_permille))
    {
      char fields[512];
      answer_head (run, fields, sizeof fields, run->known->id);
      http_reply (run->request, 500, fields, "failed", 6);
    }
  else
    send_answer (run, run->known->id, true);
  free_run (run);
}

/// Checks that a request arrived as its caller sent it.
static void
check_request (struct soak_target *target, struct http_request *request,
               const struct soak_request *known)
{
  struct soak *soak = target->soak;
  char path[64];
  if (known->kind == SOAK_ADDED)
    snprintf (path, sizeof path, "/v%u/%" PRIx64, known->version, known->id);
  else
    snprintf (path, sizeof path, "%s%" PRIx64, soak_paths[known->kind],
              known->id);
  size_t size = soak_body_size (known);
  char *expected = malloc (size + 1);
  soak_fill (known->id, 0, expected, size);
  if (strcmp (path, request->head->target) != 0
      || (request->head->method == HTTP_POST) != (known->kind == SOAK_SEAL)
      || evbuffer_get_length (request->body) != size
      || (size > 0
          && memcmp (evbuffer_pullup (request->body, -1), expected, size)
                 != 0))
    soak_violation (soak, "UNASKED", "r-%08" PRIx64 " was changed: %s",
                    known->id, request->head->target);
  free (expected);
  const char *caller
      = http_head_find (request->head, "Hawthornseam-Caller-Service");
  const char *owed = soak_services[soak->nodes[known->node].service];
  if (caller == NULL || strcmp (caller, owed) != 0)
    soak_violation (soak, "UNASKED",
                    "r-%08" PRIx64 " names the caller %s instead of %s",
                    known->id, caller == NULL ? "-" : caller, owed);
  static const size_t services[SOAK_KINDS] = { 0, 1, 2, 0, 0 };
  size_t service = target->node->service;
  bool allowed = known->kind == SOAK_TURN ? service <= 1
                                          : service == services[known->kind];
  if (!allowed)
    soak_violation (soak, "ROUTE", "r-%08" PRIx64 " (%s) ran at %s", known->id,
                    soak_paths[known->kind], soak_services[service]);
}

/// A version in force is seen at the service that runs the request.
static void
check_version (struct soak_target *target, const struct soak_request *known)
{
  struct soak *soak = target->soak;
  const struct soak_node *entry = &soak->nodes[known->node];
  if (known->kind != SOAK_TURN || !soak_in_touch (entry, known->sent_ms))
    return;
  unsigned from
      = soak_store_version_at (known->sent_ms > SOAK_CONFIG_APPLY_MS
                                   ? known->sent_ms - SOAK_CONFIG_APPLY_MS
                                   : 0);
  unsigned to = soak_store_version_at (clock_monotonic_ms ());
  for (unsigned version = from; version <= to; version++)
    if (soak_store_turn_service (version) == target->node->service)
      return;
  soak_violation (soak, "CONFIG",
                  "r-%08" PRIx64 " by %s ran at %s; versions %u to %u do not "
                  "allow it",
                  known->id, entry->name, soak_services[target->node->service],
                  from, to);
}

static void
refuse (struct http_request *request, unsigned status)
{
  http_reply (request, status, "Hawthornseam-Not-Executed: 1\r\n", "", 0);
}

static void
on_request (void *arg, struct http_request *request)
{
  struct soak_target *target = arg;
  struct soak *soak = target->soak;
  uint64_t now = clock_monotonic_ms ();
  const char *wanted
      = http_head_find (request->head, "Hawthornseam-Expect-Instance");
  struct soak_request *known = soak_ledger_find (
      http_head_find (request->head, "Hawthornseam-Request-Id"));
  if (wanted != NULL && strcmp (wanted, target->instance) != 0)
    {
      refuse (request, 421);
      return;
    }
  if (known == NULL)
    {
      soak_violation (soak, "UNASKED", "unknown request %s at %s",
                      request->head->target, target->instance);
      refuse (request, 400);
      return;
    }
  if (++known->arrivals > 1)
    soak_ledger_count_repeat (target->node->service, now);
  if (target->leave_told && now > target->acknowledged_ms + SOAK_DRAIN_MS
      && now > target->node->harmed_until_ms + SOAK_STABLE_MS)
    soak_violation (soak, "DRAIN",
                    "r-%08" PRIx64 " reached %s %" PRIu64
                    " ms after its leaving was acknowledged",
                    known->id, target->instance,
                    now - target->acknowledged_ms);
  if (target->running >= SLOTS + QUEUE
      || happens (target, target->shed_permille))
    {
      refuse (request, 503);
      return;
    }
  check_request (target, request, known);
  check_version (target, known);
  if (++known->runs > 1 && known->kind == SOAK_SEAL)
    soak_violation (soak, "TWICE", "r-%08" PRIx64 " ran %u times", known->id,
                    known->runs);
  struct run *run = calloc (1, sizeof *run);
  run->target = target;
  run->request = request;
  run->known = known;
  TAILQ_INSERT_TAIL (&runs, run, link);
  request->context = run;
  target->running++;
  evtimer_assign (&run->timer, soak->base, on_run_end, run);
  uint64_t work_ms = (WORK_MS_MIN + rng_below (&soak->rng, WORK_MS_SPREAD))
                     * target->slow_factor;
  if (now < soak->faults_end_ms && rng_below (&soak->rng, LONG_ONE_IN) == 0)
    work_ms = LONG_MS;
  timer_start (&run->timer, work_ms);
}

static void
on_gone (void *arg, struct http_request *request)
{
  if (request->context != NULL)
    free_run (request->context);
}

static const struct http_server_ops ops
    = { .request = on_request, .gone = on_gone };

struct beat
{
  struct soak_target *target;
  unsigned incarnation;
  bool leaving;
  unsigned status;
};

static void
on_beat_head (void *arg, struct http_head *head)
{
  ((struct beat *)arg)->status = head->status;
}

static void
on_beat_end (void *arg, enum http_end end)
{
  struct beat *beat = arg;
  struct soak_target *target = beat->target;
  if (end == HTTP_END_COMPLETE && beat->status == 200 && beat->leaving
      && beat->incarnation == target->incarnation && !target->leave_told)
    {
      target->leave_told = true;
      target->acknowledged_ms = clock_monotonic_ms ();
      timer_start (&target->change, LEAVE_SERVE_MS);
    }
  free (beat);
}

static const struct http_exchange_ops beat_ops
    = { .head = on_beat_head, .body = soak_ignore_body, .end = on_beat_end };

static void
send_beat (struct soak_target *target)
{
  char body[512];
  int size = snprintf (
      body, sizeof body,
      "{\"Address\":\"127.0.0.1:%u\",\"Info\":{\"Service\":\"%s\","
      "\"Version\":\"v1\",\"Zone\":\"z%zu\",\"Capacity\":%d},"
      "\"Status\":{\"State\":\"%s\",\"SeqNo\":%" PRIu64
      ",\"ColdLeft\":\"0ms\"},\"born\":%u}",
      soak_port (target->node, SOAK_PORT_TARGET),
      soak_services[target->node->service], target->node->index % 3, SLOTS,
      target->leaving ? "draining" : "ready", ++target->sequence,
      1000 + target->incarnation);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes,
                       "POST /api/instances/%s/heartbeat HTTP/1.1\r\n"
                       "Host: node\r\nContent-Type: application/json\r\n"
                       "Content-Length: %d\r\n\r\n%s",
                       target->instance, size, body);
  struct beat *beat = calloc (1, sizeof *beat);
  *beat = (struct beat){ .target = target,
                         .incarnation = target->incarnation,
                         .leaving = target->leaving };
  struct http_send send
      = { .address = SOAK_LOOPBACK,
          .port = soak_port (target->node, SOAK_PORT_REPORTS),
          .request = bytes,
          .max_idle_ms = 1000 };
  if (http_pool_send (&beats, &send, &beat_ops, beat) == NULL)
    free (beat);
  evbuffer_free (bytes);
}

static void
on_beat (evutil_socket_t fd, short what, void *arg)
{
  struct soak_target *target = arg;
  timer_start (&target->beat, BEAT_MS);
  if (target->up)
    send_beat (target);
}

static void
come_up (struct soak_target *target)
{
  target->incarnation++;
  target->sequence = 0;
  target->leaving = false;
  target->leave_told = false;
  target->up = true;
  snprintf (target->instance, sizeof target->instance, "i-%zu-%u-%llu",
            target->node->index, target->incarnation, ++incarnations);
  http_server_start (&target->server, target->soak->base, SOAK_LOOPBACK,
                     soak_port (target->node, SOAK_PORT_TARGET), &limits, &ops,
                     target);
  soak_proxy_open (target->node->proxies[PROXY_TARGET], true);
  timer_start (&target->beat, 0);
}

/// Closes the target's server; its requests end with it.
static void
close_server (struct soak_target *target)
{
  struct run *run = TAILQ_FIRST (&runs);
  while (run != NULL)
    {
      struct run *next = TAILQ_NEXT (run, link);
      if (run->target == target)
        free_run (run);
      run = next;
    }
  http_server_stop (&target->server);
}

/// Ends the target's process, with all its requests.
static void
go_down (struct soak_target *target, uint32_t down_ms)
{
  target->up = false;
  soak_proxy_open (target->node->proxies[PROXY_TARGET], false);
  soak_proxy_reset (target->node->proxies[PROXY_TARGET]);
  close_server (target);
  timer_start (&target->change, down_ms);
}

static void
on_change (evutil_socket_t fd, short what, void *arg)
{
  struct soak_target *target = arg;
  if (!target->up)
    come_up (target);
  else if (target->leaving)
    go_down (target, LEFT_MS);
}

void
soak_target_crash (struct soak_node *node, uint32_t down_ms)
{
  if (node->target.up)
    go_down (&node->target, down_ms);
}

void
soak_target_leave (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  if (!target->up || target->leaving)
    return;
  target->leaving = true;
  timer_start (&target->beat, 0);
}

enum status
soak_target_start (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  target->soak = node->soak;
  target->node = node;
  target->slow_factor = 1;
  if (!beats_started)
    {
      static const struct http_pool_options options
          = { .idle_ms = 1000, .connect_ms = 1000 };
      http_pool_init (&beats, node->soak->base, &options);
      beats_started = true;
    }
  evtimer_assign (&target->beat, node->soak->base, on_beat, target);
  evtimer_assign (&target->change, node->soak->base, on_change, target);
  come_up (target);
  return target->server.listener == NULL ? STATUS_UNAVAILABLE : STATUS_OK;
}

void
soak_target_stop (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  event_del (&target->beat);
  event_del (&target->change);
  if (target->up)
    close_server (target);
  target->up = false;
  if (beats_started)
    http_pool_finish (&beats);
  beats_started = false;
}
