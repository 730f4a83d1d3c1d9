/// The targets: they respond as the platform's upstreams do, check that each
/// request arrives as it was sent, and count executions.
#include "soak.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <talloc.h>

#define QUEUE_MAX 16
#define WORK_MS_MIN 3
#define WORK_MS_SPREAD 30

/// One request in this many takes longer than the timeout of its route.
#define LONG_ONE_IN 400
#define LONG_MS (SOAK_TIMEOUT_MS + 2000)

/// A leaving target still serves for this long after its leaving was
/// acknowledged, and then is down for DOWN_AFTER_LEAVE_MS.
#define LEAVE_SERVE_MS (SOAK_DRAIN_MS + 1500)
#define DOWN_AFTER_LEAVE_MS 700

/// Requests that may run for longer than SOAK_CANCEL_MS after their caller has
/// cancelled them. The platform allows a few.
#define LATE_CANCELLATIONS_ALLOWED 3

struct run
{
  struct soak_target *target;
  struct http_request *request;
  struct soak_request *sent;
  struct event timer;
  TAILQ_ENTRY (run) link;
};

static TAILQ_HEAD (runs, run) runs = TAILQ_HEAD_INITIALIZER (runs);

static unsigned long long incarnations;
static size_t late_cancellations;

static const struct http_server_limits limits
    = { .head_bytes = 65536,
        .body_bytes = 4 * 1024 * 1024,
        .receive_ms = 60000,
        .idle_ms = 10000 };

static void on_change (evutil_socket_t fd, short what, void *arg);

static bool
with_probability (struct soak_target *target, uint32_t permille)
{
  return permille > 0 && rng_below (&target->soak->rng, 1000) < permille;
}

static void
format_response_fields (const struct run *run, char *fields, size_t size,
                        uint64_t id)
{
  char text[32];
  struct soak_request named = { .id = id };
  soak_ledger_id (&named, text);
  snprintf (fields, size,
            "Hawthornseam-Request-Id: %s\r\n"
            "Hawthornseam-Response-Seal: %016" PRIx64 "\r\n"
            "Hawthornseam-Instance-Id: %s\r\n"
            "Hawthornseam-Server-Load: %zu,0,%d\r\n",
            text, run->sent->id, run->target->instance, run->target->running,
            SOAK_SLOTS);
}

/// Sends the response that belongs to a request.
/// @param whole  false: aborts after half of the body
static void
send_answer (struct run *run, uint64_t id, bool whole)
{
  size_t size = soak_answer_size (run->sent);
  char *bytes = malloc (size);
  char fields[512];
  soak_fill_body (run->sent->id, 0, bytes, size);
  format_response_fields (run, fields, sizeof fields, id);
  struct evbuffer *lines = evbuffer_new ();
  evbuffer_add (lines, fields, strlen (fields));
  http_reply_start (run->request, 200, lines, (int64_t)size);
  evbuffer_free (lines);
  http_reply_write (run->request, bytes, whole ? size : size / 2);
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
check_cancelled (struct run *run)
{
  struct soak *soak = run->target->soak;
  uint64_t now = clock_monotonic_ms ();
  const struct soak_request *sent = run->sent;
  if (sent->cancelled_ms == 0 || now <= sent->cancelled_ms + SOAK_CANCEL_MS
      || !soak_is_stable (soak, sent->cancelled_ms))
    return;
  if (++late_cancellations > LATE_CANCELLATIONS_ALLOWED)
    soak_violation (soak, "GONE",
                    "r-%08" PRIx64 " runs %" PRIu64
                    " ms after its caller has cancelled it",
                    sent->id, now - sent->cancelled_ms);
}

static void
on_run_end (evutil_socket_t fd, short what, void *arg)
{
  struct run *run = arg;
  struct soak_target *target = run->target;
  /* The request is freed with its response. */
  run->request->context = NULL;
  check_cancelled (run);
  if (with_probability (target, target->abort_permille))
    http_reply_abort (run->request);
  else if (with_probability (target, target->garble_permille))
    {
      /* The response to another request, or a truncated one. */
      if (rng_below (&target->soak->rng, 2) == 0)
        send_answer (run, run->sent->id + 1, true);
      else
        send_answer (run, run->sent->id, false);
    }
  else if (with_probability (target, target->fail_permille))
    {
      char fields[512];
      format_response_fields (run, fields, sizeof fields, run->sent->id);
      http_reply (run->request, 500, fields, "failed", 6);
    }
  else
    send_answer (run, run->sent->id, true);
  free_run (run);
}

/// Checks that a request arrived as its caller sent it, at the right service.
static void
check_request (struct soak_target *target, struct http_request *request,
               const struct soak_request *sent)
{
  struct soak *soak = target->soak;
  char path[64];
  if (sent->kind == SOAK_ADDED)
    snprintf (path, sizeof path, "/v%u/%" PRIx64, sent->version, sent->id);
  else
    snprintf (path, sizeof path, "%s%" PRIx64, soak_paths[sent->kind],
              sent->id);
  size_t size = sent->body_size;
  char *expected = malloc (size + 1);
  soak_fill_body (sent->id, 0, expected, size);
  if (strcmp (path, request->head->target) != 0
      || (request->head->method == HTTP_POST) != soak_runs_once (sent->kind)
      || evbuffer_get_length (request->body) != size
      || (size > 0
          && memcmp (evbuffer_pullup (request->body, -1), expected, size)
                 != 0))
    soak_violation (soak, "UNASKED", "r-%08" PRIx64 " was altered: %s",
                    sent->id, request->head->target);
  free (expected);
  const char *caller
      = http_head_find (request->head, "Hawthornseam-Caller-Service");
  const char *expected_caller = soak_services[soak->nodes[sent->node].service];
  if (caller == NULL || strcmp (caller, expected_caller) != 0)
    soak_violation (soak, "UNASKED",
                    "r-%08" PRIx64 " names the caller %s instead of %s",
                    sent->id, caller == NULL ? "-" : caller, expected_caller);
  static const size_t services[SOAK_KINDS] = { 0, 1, 2, 0, 0, 1 };
  size_t service = target->node->service;
  bool allowed = sent->kind == SOAK_TURN ? service <= 1
                                         : service == services[sent->kind];
  if (!allowed)
    soak_violation (soak, "ROUTE", "r-%08" PRIx64 " (%s) ran at %s", sent->id,
                    soak_paths[sent->kind], soak_services[service]);
}

/// Checks that the service which got the request is that of a version in force
/// between the sending and now.
static void
check_version (struct soak_target *target, const struct soak_request *sent)
{
  struct soak *soak = target->soak;
  const struct soak_node *entry = &soak->nodes[sent->node];
  if (sent->kind != SOAK_TURN || !soak_node_is_stable (entry, sent->sent_ms))
    return;
  unsigned from
      = soak_store_version_at (sent->sent_ms > SOAK_CONFIG_APPLY_MS
                                   ? sent->sent_ms - SOAK_CONFIG_APPLY_MS
                                   : 0);
  unsigned to = soak_store_version_at (clock_monotonic_ms ());
  for (unsigned version = from; version <= to; version++)
    if (soak_store_turn_service (version) == target->node->service)
      return;
  soak_violation (soak, "CONFIG",
                  "r-%08" PRIx64 " by %s ran at %s; versions %u to %u do not "
                  "allow it",
                  sent->id, entry->name, soak_services[target->node->service],
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
  const char *expected_instance
      = http_head_find (request->head, "Hawthornseam-Expect-Instance");
  struct soak_request *sent = soak_ledger_find (
      http_head_find (request->head, "Hawthornseam-Request-Id"));
  if (expected_instance != NULL
      && strcmp (expected_instance, target->instance) != 0)
    {
      refuse (request, 421);
      return;
    }
  if (sent == NULL)
    {
      soak_violation (soak, "UNASKED", "unknown request %s at %s",
                      request->head->target, target->instance);
      refuse (request, 400);
      return;
    }
  if (++sent->arrivals > 1)
    soak_ledger_count_repeat (target->node->service, now);
  if (target->leave_acknowledged
      && now > target->acknowledged_ms + SOAK_DRAIN_MS
      && now > target->node->faulty_until_ms + SOAK_STABLE_MS)
    soak_violation (soak, "DRAIN",
                    "r-%08" PRIx64 " reached %s %" PRIu64
                    " ms after its leaving was acknowledged",
                    sent->id, target->instance, now - target->acknowledged_ms);
  if (target->running >= SOAK_SLOTS + QUEUE_MAX
      || with_probability (target, target->shed_permille))
    {
      refuse (request, 503);
      return;
    }
  check_request (target, request, sent);
  check_version (target, sent);
  soak_accounts_check_run (soak, request->head, sent);
  if (sent->truncated)
    soak_violation (soak, "UNASKED",
                    "r-%08" PRIx64 " runs with %zu of %zu bytes; its caller "
                    "has sent less",
                    sent->id, request->body_size, sent->body_size);
  if (sent->runs == 0)
    sent->first_run_ms = now;
  if (++sent->runs > 1 && soak_runs_once (sent->kind))
    soak_violation (soak, "TWICE", "r-%08" PRIx64 " ran %u times", sent->id,
                    sent->runs);
  struct run *run = calloc (1, sizeof *run);
  run->target = target;
  run->request = request;
  run->sent = sent;
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
on_request_closed (void *arg, struct http_request *request)
{
  if (request->context != NULL)
    free_run (request->context);
}

static const struct http_server_ops ops
    = { .request = on_request, .disconnected = on_request_closed };

static void
bring_up (struct soak_target *target)
{
  target->incarnation++;
  target->sequence = 0;
  target->leaving = false;
  target->leave_acknowledged = false;
  target->up = true;
  snprintf (target->instance, sizeof target->instance, "i-%zu-%u-%llu",
            target->node->index, target->incarnation, ++incarnations);
  http_server_start (&target->server, target->soak->base, SOAK_LOOPBACK,
                     soak_port (target->node, SOAK_PORT_TARGET), &limits, &ops,
                     target);
  soak_proxy_open (target->node->proxies[PROXY_TARGET], true);
  timer_start (&target->heartbeat, 0);
}

/// Closes the server of a target and aborts its requests.
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

/// Takes a target down with all its requests, as the end of its process would.
static void
take_down (struct soak_target *target, uint32_t down_ms)
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
    bring_up (target);
  else if (target->leaving)
    take_down (target, DOWN_AFTER_LEAVE_MS);
}

void
soak_target_crash (struct soak_node *node, uint32_t down_ms)
{
  if (node->target.up)
    take_down (&node->target, down_ms);
}

void
soak_target_leave (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  if (!target->up || target->leaving)
    return;
  target->leaving = true;
  timer_start (&target->heartbeat, 0);
}

void
soak_target_leave_acknowledged (struct soak_target *target)
{
  if (target->leave_acknowledged)
    return;
  target->leave_acknowledged = true;
  target->acknowledged_ms = clock_monotonic_ms ();
  timer_start (&target->change, LEAVE_SERVE_MS);
}

enum status
soak_target_start (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  target->soak = node->soak;
  target->node = node;
  target->slow_factor = 1;
  soak_heartbeat_start (target);
  evtimer_assign (&target->change, node->soak->base, on_change, target);
  bring_up (target);
  return target->server.listener == NULL ? STATUS_UNAVAILABLE : STATUS_OK;
}

void
soak_target_stop (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  soak_heartbeat_stop (target);
  event_del (&target->change);
  if (target->up)
    close_server (target);
  target->up = false;
}
