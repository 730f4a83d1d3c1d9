/// Call server, call clients and drain of a node. Dispatches each request to
/// the file that handles it.
#include "node/node_call_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "state/unpack.h"

#include <assert.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS 50
#define HEADERS_BYTES_MAX (16 * 1024)
/// Bytes of all requests together that the call server buffers: half of the
/// memory that a node may use.
#define BUFFERED_BYTES_MAX (64u * 1024 * 1024)
#define RECEIVE_TIMEOUT_MS 10000
#define SERVER_IDLE_TIMEOUT_MS 60000
#define CONNECT_TIMEOUT_MS 1000
#define STALL_TIMEOUT_MS 10000

/// Limit of connections to one endpoint. A call that finds all of them in use
/// is refused; it does not wait.
#define NODE_CONNECTIONS_MAX 4096

/// A draining node must have been idle for this long before the drain is
/// complete, so that requests already in transit are still answered.
#define DRAIN_IDLE_MS 200

static struct counter malformed_suspect_messages = COUNTER (
    "calls_suspect_messages_refused", "malformed crash suspect broadcasts");

void
node_call_refuse (struct node_calls *calls, struct call_request *request,
                  int status, enum call_outcome outcome, const char *reason)
{
  struct evkeyvalq *headers = call_request_response_headers (request);
  evhttp_add_header (headers, CALL_HEADER_OUTCOME,
                     call_outcome_name (outcome));
  evhttp_add_header (headers, CALL_HEADER_REASON, reason);
  evhttp_add_header (headers, "Content-Type", "text/plain");
  char text[128];
  snprintf (text, sizeof text, "%s: %s\n", call_outcome_name (outcome),
            reason);
  call_request_reply (request, status, text, strlen (text));
}

void
node_call_copy_headers (struct evkeyvalq *to, const struct evkeyvalq *from)
{
  const char *named = evhttp_find_header (from, "Connection");
  for (struct evkeyval *header = from->tqh_first; header != NULL;
       header = header->next.tqe_next)
    if (!call_header_is_hop_by_hop (header->key)
        && !call_header_is_listed (named, header->key))
      evhttp_add_header (to, header->key, header->value);
}

void
node_call_copy_response_headers (struct evkeyvalq *to,
                                 const struct evkeyvalq *from)
{
  node_call_copy_headers (to, from);
  const char *length = evhttp_find_header (from, "Content-Length");
  if (length != NULL && evhttp_find_header (from, "Transfer-Encoding") == NULL)
    evhttp_add_header (to, "Content-Length", length);
}

static void
on_request (void *arg, struct call_request *request)
{
  struct node_calls *calls = arg;
  const char *hop = call_request_header (request, CALL_HEADER_HOP);
  if (hop != NULL)
    node_call_inbound_start (calls, request, hop);
  else if (strncmp (call_request_uri (request), CALL_OWN_PREFIX,
                    strlen (CALL_OWN_PREFIX))
           == 0)
    node_call_target_request (calls, request);
  else
    node_call_outbound_start (calls, request);
}

static void
on_caller_disconnected (void *arg, struct call_request *request)
{
  struct call_context *context = call_request_context (request);
  if (context == NULL)
    return;
  if (context->kind == CALL_KIND_OUTBOUND)
    node_call_outbound_disconnected ((struct outbound_call *)context);
  else
    node_call_inbound_disconnected ((struct inbound_call *)context);
}

static void
on_writable (void *arg, struct call_request *request)
{
  struct call_context *context = call_request_context (request);
  assert (context != NULL);
  if (context->kind == CALL_KIND_OUTBOUND)
    node_call_outbound_writable ((struct outbound_call *)context);
  else
    node_call_inbound_writable ((struct inbound_call *)context);
}

static const struct call_server_ops server_ops
    = { .request = on_request,
        .disconnected = on_caller_disconnected,
        .writable = on_writable };

/// Decodes a msgpack array of unsigned integers other than 0.
/// @return number of elements, 0 when the body is malformed
static size_t
read_numbers (const uint8_t *body, size_t size, msgpack_unpacked *unpacked)
{
  msgpack_unpacked_init (unpacked);
  const msgpack_object *items = unpack_one (unpacked, body, size) == STATUS_OK
                                    ? unpack_array (&unpacked->data, 1)
                                    : NULL;
  if (items != NULL)
    {
      uint32_t count = unpacked->data.via.array.size;
      uint32_t valid = 0;
      uint64_t number;
      while (valid < count
             && unpack_number (&items[valid], UINT64_MAX, &number)
             && number != 0)
        valid++;
      if (valid == count)
        return valid;
    }
  counter_add (&malformed_suspect_messages, 1);
  return 0;
}

/// Broadcast kind 4, BROADCAST_KIND_CRASH_SUSPECT: [crash id, request
/// fingerprint...].
static void
on_suspects (void *arg, uint64_t origin_slot, const uint8_t *body, size_t size)
{
  struct node_calls *calls = arg;
  msgpack_unpacked unpacked;
  uint64_t now = clock_monotonic_ms ();
  size_t count = read_numbers (body, size, &unpacked);
  for (size_t i = 1; i < count; i++)
    {
      const msgpack_object *items = unpacked.data.via.array.ptr;
      suspect_raise (&calls->suspects, items[i].via.u64, items[0].via.u64,
                     now);
    }
  msgpack_unpacked_destroy (&unpacked);
}

/// Broadcast kind 5, BROADCAST_KIND_SUSPECT_CLEARED: [request fingerprint...].
static void
on_suspects_cleared (void *arg, uint64_t origin_slot, const uint8_t *body,
                     size_t size)
{
  struct node_calls *calls = arg;
  msgpack_unpacked unpacked;
  size_t count = read_numbers (body, size, &unpacked);
  for (size_t i = 0; i < count; i++)
    suspect_clear (&calls->suspects, unpacked.data.via.array.ptr[i].via.u64);
  msgpack_unpacked_destroy (&unpacked);
}

/// Advances a drain. Waits for the calls at the own target before it closes
/// the listener, because they may call other services through this node.
static void
drain_step (struct node_calls *calls, uint64_t now_ms)
{
  if (calls->inbound != NULL)
    return;
  if (!calls->listener_closed)
    {
      calls->listener_closed = true;
      calls->idle_since_ms = now_ms;
      call_server_close_listener (calls->server);
      call_server_close_after_response (calls->server);
    }
  if (calls->outbound != NULL || call_server_in_progress (calls->server) > 0)
    {
      calls->idle_since_ms = now_ms;
      return;
    }
  if (now_ms - calls->idle_since_ms < DRAIN_IDLE_MS)
    return;
  void (*drained) (void *) = calls->drained;
  calls->drained = NULL;
  log_event (LOG_LEVEL_INFO, "calls_drained", "connections=%zu",
             calls->node_client.connections
                 + calls->target_client.connections);
  drained (calls->drained_arg);
}

/// Refuses queued calls that can no longer meet their deadline. The refusal
/// must reach the caller's node before the deadline; otherwise that node can
/// only report the outcome as unknown.
static void
on_expiry (evutil_socket_t fd, short what, void *arg)
{
  struct node_calls *calls = arg;
  admit_expire (&calls->admit, clock_monotonic_ms ());
  node_call_arm_expiry (calls);
}

void
node_call_arm_expiry (struct node_calls *calls)
{
  uint64_t expiry_ms = admit_next_expiry (&calls->admit);
  uint64_t now = clock_monotonic_ms ();
  if (expiry_ms == UINT64_MAX || evtimer_pending (&calls->expiry, NULL))
    return;
  uint64_t delay_ms = expiry_ms > now ? expiry_ms - now : 1;
  /* The head of the queue may change before then, so check at least once per
     tick. */
  if (delay_ms > TICK_INTERVAL_MS)
    delay_ms = TICK_INTERVAL_MS;
  event_add (&calls->expiry,
             &(struct timeval){ 0, (suseconds_t)delay_ms * 1000 });
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct node_calls *calls = arg;
  uint64_t now = clock_monotonic_ms ();
  if (++calls->ticks % (1000 / TICK_INTERVAL_MS) == 0)
    {
      node_call_target_tick (calls, now);
      suspect_expire (&calls->suspects, now);
    }
  if (calls->drained != NULL)
    drain_step (calls, now);
}

enum status
node_calls_start (struct node *node)
{
  assert (node->calls == NULL && node->settings.key_count > 0);
  struct node_calls *calls = calloc (1, sizeof *calls);
  if (calls == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for the call server");
  calls->node = node;
  /* A write to a connection that the peer has closed must not kill the
     process. */
  signal (SIGPIPE, SIG_IGN);
  enum status status = suspect_init (&calls->suspects, NODE_CALL_SUSPECTS_MAX);
  struct call_server_options options = {
    .body_max = node->settings.request_body_max,
    .buffered_max = BUFFERED_BYTES_MAX,
    .headers_max = HEADERS_BYTES_MAX,
    .receive_ms = RECEIVE_TIMEOUT_MS,
    .idle_ms = SERVER_IDLE_TIMEOUT_MS,
  };
  if (status == STATUS_OK)
    status = call_server_start (
        &calls->server, node->base, node->settings.address,
        node->settings.call_port, &options, &server_ops, calls);
  if (status != STATUS_OK)
    {
      suspect_finish (&calls->suspects);
      free (calls);
      return status;
    }
  struct call_client_options client = {
    .connect_ms = CONNECT_TIMEOUT_MS,
    .idle_ms = NODE_CALL_IDLE_MS,
    .stall_ms = STALL_TIMEOUT_MS,
    .connections_max = NODE_CONNECTIONS_MAX,
    .headers_max = HEADERS_BYTES_MAX,
  };
  call_client_init (&calls->node_client, node->base, &client);
  call_client_init (&calls->target_client, node->base, &client);
  admit_init (&calls->admit, &node_call_inbound_admission, calls);
  retry_init (&calls->budget, clock_monotonic_ms ());
  node_mesh_on_broadcast (node, 4, on_suspects, calls);
  node_mesh_on_broadcast (node, 5, on_suspects_cleared, calls);
  evtimer_assign (&calls->expiry, node->base, on_expiry, calls);
  event_assign (&calls->tick, node->base, -1, EV_PERSIST, on_tick, calls);
  event_add (&calls->tick, &(struct timeval){ 0, TICK_INTERVAL_MS * 1000 });
  node->calls = calls;
  return STATUS_OK;
}

void
node_calls_drain (struct node *node, void (*done) (void *arg), void *arg)
{
  struct node_calls *calls = node->calls;
  assert (calls->drained == NULL && !calls->draining);
  calls->draining = true;
  calls->drained = done;
  calls->drained_arg = arg;
  admit_drain (&calls->admit);
  if (calls->own_target.state == TARGET_READY)
    node_call_set_target_state (calls, TARGET_DRAINING);
}

void
node_calls_stop (struct node *node)
{
  struct node_calls *calls = node->calls;
  if (calls == NULL)
    return;
  event_del (&calls->tick);
  event_del (&calls->expiry);
  if (calls->own_target.probe != NULL)
    call_probe_cancel (calls->own_target.probe);
  call_server_stop (calls->server);
  call_client_finish (&calls->node_client);
  call_client_finish (&calls->target_client);
  node_call_outbound_free_all (calls);
  node_call_inbound_free_all (calls);
  node_call_free_groups (calls);
  route_table_finish (&calls->routes);
  suspect_finish (&calls->suspects);
  free (calls);
  node->calls = NULL;
}
