/// The callers: they send requests through the nodes on persistent connections
/// and check each response.
#include "soak.h"

#include "base/clock.h"
#include "base/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 2500

/// One request in this many is cancelled by its caller, up to this much later.
#define CANCEL_ONE_IN 40
#define CANCEL_MS_MAX 150

/// A caller without a response gives up after this time.
#define CALL_TIMEOUT_MS 8000

#define LARGE_UPLOAD_BYTES (2 * 1024 * 1024)

/// Size of the chunks of a chunked body. Not a divisor of the sizes at which
/// nodes cut their buffers.
#define CHUNK_BYTES 5000

/// A request that is older than this counts as read by the node.
#define READ_SLACK_MS 200

/// A node may show an older version for this long after a newer one.
#define ROLLBACK_SLACK_MS 250

struct call
{
  struct soak_node *node;
  struct soak_request *request;
  struct http_exchange *exchange;
  struct event timer; ///< the caller cancels or gives up
  bool cancels;
  unsigned status;
  bool sealed;
  bool id_matches; ///< the response has the id of the request, or neither id
                   ///< nor seal
  size_t received;
  bool wrong_bytes;
  struct call *next;
  struct call *previous;
};

static struct call *calls;

size_t
soak_answer_size (const struct soak_request *request)
{
  uint64_t mixed = hash_placement_pair (request->id, 17);
  return request->kind == SOAK_SHEET ? 100000 + mixed % 300000
                                     : 50 + mixed % 4000;
}

static void
choose_body (const struct soak *soak, struct soak_request *request)
{
  uint64_t mixed = hash_placement_pair (request->id, 23);
  if (request->kind == SOAK_SEAL)
    request->body_size = 20 + mixed % 30000;
  if (request->kind != SOAK_UPLOAD)
    return;
  request->body_size = 2000 + mixed % 298000;
  if (soak->options.large_uploads && mixed / 298000 % 8 == 0)
    request->body_size = LARGE_UPLOAD_BYTES;
  request->chunked = mixed / 2384000 % 2 == 0;
  request->truncated = mixed / 4768000 % 8 == 0;
}

void
soak_fill_body (uint64_t id, size_t offset, char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    bytes[i]
        = (char)('a'
                 + (id * 31 + (offset + i) * 7 + ((offset + i) >> 6)) % 26);
}

static void
end_call (struct call *call)
{
  call->request->ended_ms = clock_monotonic_ms ();
  call->request->status = call->status;
  if (call->next != NULL)
    call->next->previous = call->previous;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    calls = call->next;
  event_del (&call->timer);
  free (call);
}

static void
on_head (void *arg, struct http_head *head)
{
  struct call *call = arg;
  char id[32];
  soak_ledger_id (call->request, id);
  const char *answered_id = http_head_find (head, "Hawthornseam-Request-Id");
  call->status = head->status;
  call->sealed = http_head_find (head, "Hawthornseam-Response-Seal") != NULL;
  call->id_matches
      = answered_id == NULL ? !call->sealed : strcmp (answered_id, id) == 0;
}

static void
on_body (void *arg, const char *data, size_t size)
{
  struct call *call = arg;
  char expected[4096];
  for (size_t done = 0; call->status == 200 && done < size;)
    {
      size_t chunk
          = size - done < sizeof expected ? size - done : sizeof expected;
      soak_fill_body (call->request->id, call->received + done, expected,
                      chunk);
      call->wrong_bytes |= memcmp (expected, data + done, chunk) != 0;
      done += chunk;
    }
  call->received += size;
}

/// A 404 shows that the version which added the route is not in force.
static void
check_not_found (struct call *call)
{
  struct soak_node *node = call->node;
  struct soak *soak = node->soak;
  const struct soak_request *request = call->request;
  if (request->kind != SOAK_ADDED)
    {
      soak_violation (soak, "DENIED", "r-%08" PRIx64 " got 404 from %s",
                      request->id, node->name);
      return;
    }
  uint64_t by_ms = request->sent_ms - SOAK_CONFIG_APPLY_MS;
  if (soak_node_is_stable (node, request->sent_ms)
      && request->version <= soak_store_version_at (by_ms))
    soak_violation (soak, "CONFIG",
                    "r-%08" PRIx64 ": %s has no version %u, written %d ms or "
                    "more before",
                    request->id, node->name, request->version,
                    SOAK_CONFIG_APPLY_MS);
  if (request->process_start == node->starts
      && request->version <= node->newest_version)
    soak_violation (soak, "CONFIG",
                    "r-%08" PRIx64 ": %s no longer has version %u",
                    request->id, node->name, request->version);
}

static void
check_answer (struct call *call)
{
  struct soak *soak = call->node->soak;
  const struct soak_request *request = call->request;
  unsigned status = call->status;
  if (!call->id_matches)
    soak_violation (soak, "MIXED",
                    "r-%08" PRIx64 " got the response to another request",
                    request->id);
  if (status == 200
      && (!call->sealed || call->wrong_bytes || request->runs == 0
          || call->received != soak_answer_size (request)))
    soak_violation (soak, "MIXED",
                    "r-%08" PRIx64 " got a wrong 200 response: sealed %d, "
                    "%zu of %zu bytes, runs %u",
                    request->id, call->sealed, call->received,
                    soak_answer_size (request), request->runs);
  if (status == 401)
    soak_accounts_check_denied (soak, request);
  else if (status == 404)
    check_not_found (call);
  else if (status >= 300 && status < 500 && status != 408 && status != 421
           && status != 429)
    soak_violation (soak, "DENIED", "r-%08" PRIx64 " got %u from %s",
                    request->id, status, call->node->name);
  else if (request->kind == SOAK_ADDED && status == 200
           && request->process_start == call->node->starts
           && request->version > call->node->newest_version)
    call->node->newest_version = request->version;
}

/// Without unplanned faults, also during planned work, a request that was read
/// gets its whole response unless the timeout of its route has passed.
static void
check_connection_lost (struct call *call)
{
  struct soak *soak = call->node->soak;
  const struct soak_request *request = call->request;
  uint64_t waited_ms = clock_monotonic_ms () - request->sent_ms;
  if (!soak_is_stable (soak, request->sent_ms) || waited_ms >= SOAK_TIMEOUT_MS
      || (request->runs == 0 && waited_ms <= READ_SLACK_MS))
    return;
  soak_violation (soak, "LOST",
                  "r-%08" PRIx64 " by %s lost its connection after %" PRIu64
                  " ms, runs %u, status %u, %zu bytes",
                  request->id, call->node->name, waited_ms, request->runs,
                  call->status, call->received);
}

static void
check_response_time (struct call *call)
{
  struct soak_node *node = call->node;
  const struct soak_request *request = call->request;
  uint64_t waited_ms = clock_monotonic_ms () - request->sent_ms;
  if (waited_ms > SOAK_TIMEOUT_MS + SOAK_TIMEOUT_SLACK_MS
      && soak_node_is_stable (node, request->sent_ms))
    soak_violation (node->soak, "CONFIG",
                    "r-%08" PRIx64
                    " by %s had no complete response for %" PRIu64 " ms",
                    request->id, node->name, waited_ms);
}

static void
on_end (void *arg, enum http_end end)
{
  struct call *call = arg;
  if (end == HTTP_END_COMPLETE)
    {
      check_answer (call);
      check_response_time (call);
    }
  else
    {
      if (end == HTTP_END_LOST || end == HTTP_END_MALFORMED)
        check_connection_lost (call);
      if (end == HTTP_END_MALFORMED
          && soak_is_stable (call->node->soak, call->request->sent_ms))
        soak_violation (call->node->soak, "MIXED",
                        "r-%08" PRIx64 " got bytes that are not a response",
                        call->request->id);
      call->status = 0;
    }
  end_call (call);
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = on_body, .end = on_end };

static void
on_call_timer (evutil_socket_t fd, short what, void *arg)
{
  struct call *call = arg;
  http_exchange_cancel (call->exchange);
  if (call->cancels)
    call->request->cancelled_ms = clock_monotonic_ms ();
  else
    check_response_time (call);
  call->status = 0;
  end_call (call);
}

static enum soak_kind
choose_kind (struct rng *rng)
{
  static const enum soak_kind kinds[]
      = { SOAK_READ, SOAK_READ,  SOAK_READ, SOAK_SEAL,  SOAK_SEAL,  SOAK_SEAL,
          SOAK_TURN, SOAK_SHEET, SOAK_TURN, SOAK_ADDED, SOAK_UPLOAD };
  return kinds[rng_below (rng, sizeof kinds / sizeof kinds[0])];
}

/// Appends the body of a request, or the part of it that its caller sends.
static void
write_body (const struct soak_request *request, struct evbuffer *bytes)
{
  size_t size
      = request->truncated ? request->body_size / 2 : request->body_size;
  char *body = malloc (size + 1);
  soak_fill_body (request->id, 0, body, size);
  if (!request->chunked)
    evbuffer_add (bytes, body, size);
  for (size_t done = 0; request->chunked && done < size;)
    {
      size_t chunk = size - done < CHUNK_BYTES ? size - done : CHUNK_BYTES;
      evbuffer_add_printf (bytes, "%zx\r\n", chunk);
      evbuffer_add (bytes, body + done, chunk);
      evbuffer_add (bytes, "\r\n", 2);
      done += chunk;
    }
  if (request->chunked && !request->truncated)
    evbuffer_add_printf (bytes, "0\r\nHawthornseam-Tenant: forged\r\n\r\n");
  free (body);
}

/// @param hot  true: one of the additional requests of the hot account
static void
send_call (struct soak_node *node, bool hot)
{
  struct soak *soak = node->soak;
  uint64_t now = clock_monotonic_ms ();
  enum soak_kind kind = choose_kind (&soak->rng);
  if (hot)
    kind = rng_below (&soak->rng, 2) == 0 ? SOAK_READ : SOAK_SEAL;
  /* Half of the requests use the route of a version that is old enough to be
     in force on every node. */
  unsigned newest = soak_store_version_at (
      rng_below (&soak->rng, 2) == 0 ? now - SOAK_CONFIG_APPLY_MS : now);
  struct call *call = calloc (1, sizeof *call);
  call->node = node;
  call->request = soak_ledger_add (kind, node->index, now);
  call->request->version = newest;
  call->request->process_start = node->starts;
  char id[32];
  char path[64];
  soak_ledger_id (call->request, id);
  if (kind == SOAK_ADDED && newest == 0)
    call->request->kind = kind = SOAK_READ;
  if (kind == SOAK_ADDED)
    snprintf (path, sizeof path, "/v%u/%" PRIx64, newest, call->request->id);
  else
    snprintf (path, sizeof path, "%s%" PRIx64, soak_paths[kind],
              call->request->id);
  choose_body (soak, call->request);
  soak_accounts_choose (soak, call->request, hot);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes,
                       "%s %s HTTP/1.1\r\nHost: a.example\r\n"
                       "Hawthornseam-Request-Id: %s\r\n"
                       "Hawthornseam-Deadline-Ms: %d\r\n"
                       "Hawthornseam-Caller-Service: forged\r\n",
                       soak_runs_once (kind) ? "POST" : "GET", path, id,
                       DEADLINE_MS);
  soak_accounts_write_fields (call->request, bytes);
  if (call->request->chunked)
    evbuffer_add_printf (bytes, "Transfer-Encoding: chunked\r\n");
  else if (call->request->body_size > 0)
    evbuffer_add_printf (bytes, "Content-Length: %zu\r\n",
                         call->request->body_size);
  evbuffer_add (bytes, "\r\n", 2);
  write_body (call->request, bytes);
  struct http_send send = { .address = SOAK_LOOPBACK,
                            .port = soak_port (node, SOAK_PORT_CALLS),
                            .request = bytes,
                            .max_idle_ms = 10000 };
  call->cancels
      = rng_below (&soak->rng, CANCEL_ONE_IN) == 0 || call->request->truncated;
  call->next = calls;
  if (calls != NULL)
    calls->previous = call;
  calls = call;
  evtimer_assign (&call->timer, soak->base, on_call_timer, call);
  timer_start (&call->timer, call->cancels
                                 ? 1 + rng_below (&soak->rng, CANCEL_MS_MAX)
                                 : CALL_TIMEOUT_MS);
  call->exchange = http_pool_send (&node->callers, &send, &ops, call);
  evbuffer_free (bytes);
  if (call->exchange == NULL)
    end_call (call);
}

static void
on_send_timer (evutil_socket_t fd, short what, void *arg)
{
  struct soak_node *node = arg;
  struct soak *soak = node->soak;
  uint64_t mean_ms = 1000 * soak->node_count / soak->options.calls_per_s;
  timer_start (&node->send_timer, 1 + rng_below (&soak->rng, 2 * mean_ms + 1));
  if (node->ready && soak_store_version_at (clock_monotonic_ms ()) > 0)
    send_call (node, false);
}

static void
on_hot_timer (evutil_socket_t fd, short what, void *arg)
{
  struct soak *soak = arg;
  struct soak_node *node = soak_accounts_hot_node (soak);
  uint64_t mean_ms = 1000 / soak_accounts_hot_rate (soak);
  timer_start (&soak->hot_timer, 1 + rng_below (&soak->rng, 2 * mean_ms + 1));
  if (node != NULL && node->ready
      && soak_store_version_at (clock_monotonic_ms ()) > 0)
    send_call (node, true);
}

void
soak_callers_start_hot (struct soak *soak)
{
  evtimer_assign (&soak->hot_timer, soak->base, on_hot_timer, soak);
  timer_start (&soak->hot_timer, 500);
}

void
soak_callers_stop_hot (struct soak *soak)
{
  event_del (&soak->hot_timer);
}

void
soak_callers_start (struct soak_node *node)
{
  static const struct http_pool_options options
      = { .idle_ms = 10000, .connect_ms = 1000 };
  http_pool_init (&node->callers, node->soak->base, &options);
  evtimer_assign (&node->send_timer, node->soak->base, on_send_timer, node);
  timer_start (&node->send_timer, 500);
}

void
soak_callers_stop (struct soak_node *node)
{
  event_del (&node->send_timer);
  struct call *call = calls;
  while (call != NULL)
    {
      struct call *next = call->next;
      if (call->node == node)
        {
          http_exchange_cancel (call->exchange);
          call->request->cancelled_ms = clock_monotonic_ms ();
          end_call (call);
        }
      call = next;
    }
  http_pool_finish (&node->callers);
}
