/// Callers and targets around the planned stop of one node. Usage:
///   standin-planned_stop CALLS_PORT OTHER_CALLS_PORT PID GRACE_MS
///   TARGET_PORT...
/// Serves the target ports, sends requests of several lengths to CALLS_PORT on
/// new, kept and pipelined connections, and to OTHER_CALLS_PORT, another node,
/// which may send them to the target of the first one. Sends SIGTERM to the
/// process PID and, GRACE_MS later, SIGKILL if it still runs. Prints what is
/// forbidden:
///   lost     the connection ended without a complete answer although the
///            request had been passed on, or was sent 200 ms or more before
///   replaced the node answered 502 or 504 while a target was at work
///   ran      the node answered "not run", but the request ran
///   twice    a request that is not idempotent ran more than once
///   killed   the process was still there at the end of the grace
/// Not forbidden are ends in the last sixth of the grace with the target at
/// work, for requests sent no later than 3 s after SIGTERM.
#define _GNU_SOURCE
#include "base/clock.h"
#include "transport/http_server.h"
#include "transport/timer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define LOOPBACK 0x7f000001u
#define REQUESTS_MAX 20000
#define PIPELINE 3

/// Load before SIGTERM, and longest time for what is unanswered after the
/// grace.
#define WARM_UP_MS 600
#define AFTER_MS 10000

/// A new connection is opened, and a kept one is used again, this often.
#define NEW_INTERVAL_MS 40
#define KEPT_INTERVAL_MS 30

#define KEPT_CONNECTIONS 12
#define PIPELINED_CONNECTIONS 3
#define OTHER_CONNECTIONS 6

/// Bytes of a response that is streamed while its target works.
#define STREAMED_BYTES 60000

/// A request that is older than this counts as read by the node.
#define LOSS_SLACK_MS 200

/// Requests sent later than this have to be answered whatever their length.
#define LATE_SENT_MS 3000

#define DEADLINE_MS 30000

/// What a caller and the targets know of a request. Times are monotonic ms; 0:
/// not yet.
struct sent
{
  uint64_t sent_ms;
  uint64_t run_ms;  ///< a target began to work on it
  uint64_t done_ms; ///< a target has sent its response
  uint64_t end_ms;  ///< complete answer, or end of the connection
  uint32_t work_ms;
  uint32_t stream_after_ms; ///< begin of a streamed response
  unsigned status; ///< 0: the connection ended without a complete answer
  unsigned runs;
  bool unsafe;
  bool streamed;
  bool behind;    ///< unanswered behind another one when the connection ended
  bool of_target; ///< the answer bears the target's seal
  const char *connection;
};

enum connection_kind
{
  CONNECTION_NEW,
  CONNECTION_KEPT,
  CONNECTION_PIPELINED,
  CONNECTION_OTHER,  ///< kept, to the other node
  CONNECTION_STALLED ///< pipelined; the first response outlasts the grace
};

struct caller
{
  struct bufferevent *bev; ///< NULL: not connected
  enum connection_kind kind;
  struct event timer;
  size_t waiting[PIPELINE]; ///< requests without an answer, oldest first
  size_t waiting_count;
  bool closes; ///< an answer closes the connection
};

static const char *const kind_names[]
    = { "new", "kept", "pipelined", "other node's", "stalled" };

static struct event_base *base;
static struct sent sent[REQUESTS_MAX];
static size_t sent_count;
static size_t unanswered;
static uint16_t calls_port;
static uint16_t other_calls_port;
static pid_t pid;
static uint64_t grace_ms;
static uint64_t term_ms;
static uint64_t exit_ms; ///< the process was gone
static bool killed;
static uint64_t end_at_ms; ///< of the load

/* Targets. */

struct run
{
  struct http_request *request;
  struct sent *sent;
  struct event timer;
  struct evbuffer *fields;
};

static void
on_work_done (evutil_socket_t fd, short what, void *arg)
{
  static const char bytes[STREAMED_BYTES / 2];
  struct run *run = arg;
  if (run->sent->streamed)
    http_reply_write (run->request, bytes, sizeof bytes);
  else
    http_reply_start (run->request, 200, run->fields, 0);
  http_reply_finish (run->request);
  run->sent->done_ms = clock_monotonic_ms ();
  evbuffer_free (run->fields);
  free (run);
}

/// Sends the first half of a streamed response.
static void
on_first_half (evutil_socket_t fd, short what, void *arg)
{
  static const char bytes[STREAMED_BYTES / 2];
  struct run *run = arg;
  http_reply_start (run->request, 200, run->fields, STREAMED_BYTES);
  http_reply_write (run->request, bytes, sizeof bytes);
  evtimer_assign (&run->timer, base, on_work_done, run);
  timer_start (&run->timer, run->sent->work_ms);
}

static void
on_target_request (void *arg, struct http_request *request)
{
  const char *id = http_head_find (request->head, "Hawthornseam-Request-Id");
  size_t index = id == NULL ? SIZE_MAX : strtoul (id + 1, NULL, 10);
  if (index >= sent_count)
    {
      http_reply (request, 400, NULL, "", 0);
      return;
    }
  struct run *run = calloc (1, sizeof *run);
  run->request = request;
  run->sent = &sent[index];
  run->sent->run_ms = clock_monotonic_ms ();
  run->sent->done_ms = 0;
  run->sent->runs++;
  run->fields = evbuffer_new ();
  evbuffer_add_printf (run->fields,
                       "Hawthornseam-Request-Id: %s\r\n"
                       "Hawthornseam-Response-Seal: x\r\n",
                       id);
  request->context = run;
  evtimer_assign (&run->timer, base,
                  run->sent->streamed ? on_first_half : on_work_done, run);
  timer_start (&run->timer, run->sent->streamed ? run->sent->stream_after_ms
                                                : run->sent->work_ms);
}

static void
on_target_disconnected (void *arg, struct http_request *request)
{
  struct run *run = request->context;
  if (run == NULL)
    return;
  event_del (&run->timer);
  evbuffer_free (run->fields);
  free (run);
}

static const struct http_server_ops target_ops
    = { .request = on_target_request, .disconnected = on_target_disconnected };

/* Callers. */

static void on_caller_timer (evutil_socket_t fd, short what, void *arg);

static void
end_request (struct caller *caller, unsigned status, bool of_target)
{
  struct sent *request = &sent[caller->waiting[0]];
  request->status = status;
  request->of_target = of_target;
  request->end_ms = clock_monotonic_ms ();
  unanswered--;
  caller->waiting_count--;
  memmove (caller->waiting, caller->waiting + 1,
           caller->waiting_count * sizeof caller->waiting[0]);
}

static void
disconnect (struct caller *caller)
{
  bool closes = caller->closes;
  bufferevent_free (caller->bev);
  caller->bev = NULL;
  caller->closes = false;
  /* What was sent behind an answer that closes the connection, and has not
     run, is sent again by its caller. */
  for (size_t i = 0; caller->waiting_count > 0; i++)
    {
      sent[caller->waiting[0]].behind = i > 0 || closes;
      end_request (caller, 0, false);
    }
  if (caller->kind == CONNECTION_NEW)
    {
      event_del (&caller->timer);
      free (caller);
    }
  else
    timer_start (&caller->timer, KEPT_INTERVAL_MS);
}

/// Takes the answers that have arrived completely.
static void
on_caller_read (struct bufferevent *bev, void *arg)
{
  struct caller *caller = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  for (;;)
    {
      struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
      if (end.pos < 0 || caller->waiting_count == 0)
        break;
      size_t head_size = (size_t)end.pos + 4;
      char *head = calloc (1, head_size + 1);
      evbuffer_copyout (input, head, head_size);
      const char *length = strcasestr (head, "\r\nContent-Length:");
      size_t size
          = head_size + (length == NULL ? 0 : strtoul (length + 17, NULL, 10));
      bool whole = evbuffer_get_length (input) >= size;
      if (whole)
        {
          evbuffer_drain (input, size);
          caller->closes |= strcasestr (head, "\r\nConnection: close") != NULL;
          end_request (caller, (unsigned)atoi (head + strlen ("HTTP/1.1 ")),
                       strcasestr (head, "\r\nHawthornseam-Response-Seal:")
                           != NULL);
        }
      free (head);
      if (!whole)
        break;
    }
  if (caller->kind == CONNECTION_NEW && caller->waiting_count == 0)
    disconnect (caller);
  else if (caller->waiting_count < PIPELINE)
    timer_start (&caller->timer, KEPT_INTERVAL_MS);
}

static void
on_caller_event (struct bufferevent *bev, short what, void *arg)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    disconnect (arg);
}

/// Sends the next request of a caller; one in four is not idempotent.
static void
send_request (struct caller *caller)
{
  const uint32_t works[] = { 2,
                             2,
                             60,
                             2,
                             250,
                             2,
                             700,
                             2,
                             60,
                             (uint32_t)(grace_ms / 2),
                             2,
                             2500,
                             (uint32_t)(grace_ms * 9 / 10) };
  if (sent_count == REQUESTS_MAX)
    return;
  size_t index = sent_count++;
  unanswered++;
  struct sent *request = &sent[index];
  request->sent_ms = clock_monotonic_ms ();
  request->work_ms = works[index % (sizeof works / sizeof works[0])];
  request->unsafe
      = caller->kind != CONNECTION_PIPELINED && index / 13 % 4 == 0;
  request->streamed = index / 13 % 5 == 2;
  if (caller->kind == CONNECTION_STALLED && caller->waiting_count == 0)
    {
      request->streamed = true;
      request->stream_after_ms = 150; /* the next requests have run */
      request->work_ms = (uint32_t)(2 * grace_ms);
    }
  request->connection = kind_names[caller->kind];
  caller->waiting[caller->waiting_count++] = index;
  evbuffer_add_printf (bufferevent_get_output (caller->bev),
                       "GET /%s/%zu HTTP/1.1\r\nHost: a.example\r\n"
                       "Hawthornseam-Request-Id: q%zu\r\n"
                       "Hawthornseam-Deadline-Ms: %d\r\n\r\n",
                       request->unsafe ? "seal" : "read", index, index,
                       DEADLINE_MS);
}

static void
connect_caller (struct caller *caller)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (caller->kind == CONNECTION_OTHER
                                                   ? other_calls_port
                                                   : calls_port) };
  to.sin_addr.s_addr = htonl (LOOPBACK);
  caller->bev = bufferevent_socket_new (
      base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (caller->bev, on_caller_read, NULL, on_caller_event,
                     caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (caller->bev, (struct sockaddr *)&to, sizeof to);
}

static void
on_caller_timer (evutil_socket_t fd, short what, void *arg)
{
  struct caller *caller = arg;
  if (clock_monotonic_ms () >= end_at_ms
      || (exit_ms != 0 && caller->kind != CONNECTION_OTHER))
    return;
  if (caller->bev == NULL)
    connect_caller (caller);
  bool is_pipelined = caller->kind == CONNECTION_PIPELINED
                      || caller->kind == CONNECTION_STALLED;
  if (!caller->closes && caller->waiting_count < (is_pipelined ? PIPELINE : 1))
    send_request (caller);
  if (is_pipelined)
    timer_start (&caller->timer, KEPT_INTERVAL_MS);
}

static void
start_caller (enum connection_kind kind)
{
  struct caller *caller = calloc (1, sizeof *caller);
  caller->kind = kind;
  evtimer_assign (&caller->timer, base, on_caller_timer, caller);
  timer_start (&caller->timer, 0);
}

static void
on_new_connection (evutil_socket_t fd, short what, void *arg)
{
  if (clock_monotonic_ms () < end_at_ms && exit_ms == 0)
    start_caller (CONNECTION_NEW);
}

/* The stop. */

static void
on_term (evutil_socket_t fd, short what, void *arg)
{
  term_ms = clock_monotonic_ms ();
  kill (pid, SIGTERM);
}

/// Notices the end of the process, and ends it after the grace.
static void
on_watch (evutil_socket_t fd, short what, void *arg)
{
  uint64_t now = clock_monotonic_ms ();
  if (now >= end_at_ms && exit_ms != 0 && unanswered == 0)
    event_base_loopbreak (base);
  if (term_ms == 0 || exit_ms != 0)
    return;
  if (kill (pid, 0) != 0 && errno == ESRCH)
    exit_ms = now;
  else if (now >= term_ms + grace_ms)
    {
      killed = true;
      exit_ms = now;
      kill (pid, SIGKILL);
    }
}

static void
on_end (evutil_socket_t fd, short what, void *arg)
{
  event_base_loopbreak (base);
}

/* Judgement. */

/// @return the rule that the end of a request breaks, or NULL
static const char *
broken_rule (const struct sent *request)
{
  uint64_t last_sixth_ms = term_ms + grace_ms - grace_ms / 6;
  uint64_t work_end_ms
      = request->done_ms != 0 ? request->done_ms : request->end_ms;
  bool excused = request->run_ms != 0 && work_end_ms >= last_sixth_ms
                 && request->sent_ms <= term_ms + LATE_SENT_MS;
  if (request->unsafe && request->runs > 1)
    return "twice";
  if (request->status == 503 && !request->of_target)
    return request->runs > 0 ? "ran" : NULL;
  if (request->of_target || excused)
    return NULL;
  if (request->status != 0)
    return "replaced";
  /* What arrives in the last moments of the process may never be read. */
  uint64_t read_by_ms = exit_ms < request->end_ms ? exit_ms : request->end_ms;
  bool read = read_by_ms >= request->sent_ms + LOSS_SLACK_MS;
  return request->runs > 0 || (read && !request->behind) ? "lost" : NULL;
}

/// @return time after SIGTERM, -1 for a time that is not known
static long long
since_term (uint64_t ms)
{
  return ms == 0 ? -1 : (long long)(ms - term_ms);
}

static int
judge (void)
{
  size_t broken = 0;
  size_t answered = 0;
  size_t refused = 0;
  for (size_t i = 0; i < sent_count; i++)
    {
      const struct sent *request = &sent[i];
      const char *rule = request->end_ms == 0 ? "lost" : broken_rule (request);
      answered += request->of_target;
      refused += request->status == 503 && !request->of_target;
      if (rule == NULL)
        continue;
      broken++;
      printf ("%s: q%zu, %s %s, %u ms of work, sent at %lld ms, run at %lld, "
              "done at %lld, ended at %lld with %u\n",
              rule, i, request->connection, request->unsafe ? "seal" : "read",
              request->work_ms, since_term (request->sent_ms),
              since_term (request->run_ms), since_term (request->done_ms),
              since_term (request->end_ms), request->status);
    }
  if (killed)
    printf ("killed: the process was there at the end of the grace\n");
  printf (
      "grace %llu ms: %zu requests, %zu answered, %zu refused, %zu broken; "
      "the process ended after %lld ms\n",
      (unsigned long long)grace_ms, sent_count, answered, refused, broken,
      (long long)(exit_ms - term_ms));
  return broken > 0 || killed || answered == 0;
}

int
main (int argc, char **argv)
{
  static struct http_server targets[8];
  const struct http_server_limits limits = { .head_bytes = 65536,
                                             .body_bytes = 65536,
                                             .receive_ms = 60000,
                                             .idle_ms = 60000 };
  struct event events[5];
  if (argc < 6 || argc > 13)
    {
      fprintf (stderr, "usage: standin-planned_stop CALLS_PORT "
                       "OTHER_CALLS_PORT PID GRACE_MS TARGET_PORT...\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  calls_port = (uint16_t)atoi (argv[1]);
  other_calls_port = (uint16_t)atoi (argv[2]);
  pid = atoi (argv[3]);
  grace_ms = strtoul (argv[4], NULL, 10);
  base = event_base_new ();
  for (int i = 5; i < argc; i++)
    if (http_server_start (&targets[i - 5], base, LOOPBACK,
                           (uint16_t)atoi (argv[i]), &limits, &target_ops,
                           NULL)
        != STATUS_OK)
      return 2;
  end_at_ms = clock_monotonic_ms () + WARM_UP_MS + grace_ms;
  const struct
  {
    event_callback_fn call;
    uint64_t ms;
    bool repeats;
  } rows[] = { { on_term, WARM_UP_MS, false },
               { on_watch, 5, true },
               { on_new_connection, NEW_INTERVAL_MS, true },
               { on_end, WARM_UP_MS + grace_ms + AFTER_MS, false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct timeval after = { (time_t)(rows[i].ms / 1000),
                               (suseconds_t)(rows[i].ms % 1000 * 1000) };
      event_assign (&events[i], base, -1, rows[i].repeats ? EV_PERSIST : 0,
                    rows[i].call, NULL);
      event_add (&events[i], &after);
    }
  for (size_t i = 0; i < KEPT_CONNECTIONS; i++)
    start_caller (CONNECTION_KEPT);
  for (size_t i = 0; i < PIPELINED_CONNECTIONS; i++)
    start_caller (CONNECTION_PIPELINED);
  for (size_t i = 0; i < OTHER_CONNECTIONS; i++)
    start_caller (CONNECTION_OTHER);
  start_caller (CONNECTION_STALLED);
  event_base_dispatch (base);
  return judge ();
}
