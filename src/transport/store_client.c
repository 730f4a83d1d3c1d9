/// Owns the connections to the store and the operations.
#include "transport/store_client.h"

#include "base/counter.h"
#include "base/log.h"
#include "coordination/store_revision.h"
#include "protocol/store_api.h"
#include "transport/http_stream.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Largest response body, bytes: a list of STORE_API_LIST_MAX keys of usual
/// length.
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)

struct store_operation
{
  struct store_client *client;
  struct store_connection *connection; ///< NULL while queued
  enum store_call call;
  uint64_t revision; ///< that the call starts from or expects; 0: none
  uint64_t era;      ///< newest known one when the operation was started
  bool era_known;    ///< the store had answered a call by then
  struct store_http_request wire;
  uint64_t response_timeout_ms; ///< further timeout after that for the
                                ///< connect; 0 once it runs
  bool sent;      ///< bytes of the request were handed to a connected socket
  bool abandoned; ///< by store_client_abandon
  bool malformed; ///< the response is malformed
  enum status refused; ///< result if no call is made, or STATUS_OK
  struct event *timer;
  void (*done) (void *arg, const struct store_reply *reply);
  void *arg;
  TAILQ_ENTRY (store_operation) link;
};

static struct counter calls_total
    = COUNTER ("store_calls", "Calls made to the store.");
static struct counter calls_unavailable = COUNTER (
    "store_calls_unavailable", "Calls that certainly had no effect.");
static struct counter calls_unknown
    = COUNTER ("store_calls_unknown", "Calls whose effect is unknown.");
static struct counter restores = COUNTER (
    "store_restores", "Times that the store came back from an older copy.");
static struct counter connections_replaced
    = COUNTER ("store_connections_replaced",
               "Connections closed because they stopped answering.");

static void start_queued (struct store_client *client, bool watches);

static bool
is_watch (const struct store_operation *operation)
{
  return operation->call == STORE_CALL_WATCH
         || operation->call == STORE_CALL_WATCH_PREFIX;
}

static void
start_timer (struct store_operation *operation, uint64_t after_ms)
{
  struct timeval after
      = { (time_t)(after_ms / 1000), (suseconds_t)(after_ms % 1000) * 1000 };
  evtimer_add (operation->timer, &after);
}

static struct store_queue *
operation_queue (struct store_client *client, bool watches)
{
  return watches ? &client->watch_queue : &client->queue;
}

static void
set_reachable (struct store_client *client, bool reachable)
{
  if (client->reachable == reachable)
    return;
  client->reachable = reachable;
  log_event (LOG_LEVEL_INFO,
             reachable ? "store_reachable" : "store_unreachable", "address=%s",
             client->address);
}

/// Removes an operation from its list and frees it.
static void
operation_free (struct store_operation *operation)
{
  struct store_client *client = operation->client;
  if (operation->connection != NULL)
    {
      operation->connection->operation = NULL;
      TAILQ_REMOVE (&client->active, operation, link);
    }
  else
    {
      client->waiting--;
      TAILQ_REMOVE (operation_queue (client, is_watch (operation)), operation,
                    link);
    }
  event_free (operation->timer);
  talloc_free (operation);
}

/// Frees the operation, starts the next one, then calls `done`.
static void
operation_finish (struct store_operation *operation,
                  const struct store_reply *reply)
{
  struct store_client *client = operation->client;
  bool watches = is_watch (operation);
  void (*done) (void *, const struct store_reply *) = operation->done;
  void *arg = operation->arg;
  if (reply->status == STATUS_UNAVAILABLE)
    counter_add (&calls_unavailable, 1);
  if (reply->status == STATUS_UNKNOWN)
    counter_add (&calls_unknown, 1);
  operation_free (operation);
  start_queued (client, watches);
  done (arg, reply);
}

static void
operation_fail (struct store_operation *operation)
{
  if (!operation->abandoned)
    set_reachable (operation->client, false);
  struct store_reply reply
      = { .status = operation->sent ? STATUS_UNKNOWN : STATUS_UNAVAILABLE,
          .abandoned = operation->abandoned };
  operation_finish (operation, &reply);
}

/// Records that bytes of the current request were added to the output buffer.
/// evhttp does this only after the connection is established.
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct store_connection *connection = arg;
  if (info->n_added > 0 && connection->operation != NULL)
    connection->operation->sent = true;
}

static void
connection_close (struct store_connection *connection)
{
  if (connection->http != NULL)
    evhttp_connection_free (connection->http);
  connection->http = NULL;
}

/// Closes the connections without an operation. Used when a call was not
/// answered: what made its connection silent may have silenced all that were
/// open, and each would cost a later call its timeout.
static void
close_idle_connections (struct store_client *client)
{
  for (size_t i = 0; i < STORE_CLIENT_CALL_CONNECTIONS; i++)
    if (client->calls[i].operation == NULL)
      connection_close (&client->calls[i]);
  for (size_t i = 0; i < STORE_CLIENT_WATCH_CONNECTIONS; i++)
    if (client->watches[i].operation == NULL)
      connection_close (&client->watches[i]);
}

/// @return the era that a response states, or the newest known one if it
///         states none
static uint64_t
read_era (const struct store_client *client, struct evhttp_request *request)
{
  const char *name = client->codec->era_header;
  const char *text = name == NULL
                         ? NULL
                         : evhttp_find_header (
                             evhttp_request_get_input_headers (request), name);
  char *end = NULL;
  uint64_t era = text == NULL ? 0 : strtoull (text, &end, 10);
  bool stated
      = text != NULL && end != text && *end == '\0' && era <= STORE_ERA_MAX;
  return stated ? era : client->era;
}

/// Notes the era of a response. A later one than that of an earlier response
/// shows that the store was restored.
static void
note_era (struct store_client *client, uint64_t era)
{
  uint64_t before = client->era;
  bool restored = client->answered && era > before;
  if (era > before)
    client->era = era;
  if (!client->answered || restored)
    log_event (restored ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
               restored ? "store_restored" : "store_era",
               "era=%" PRIu64 " before=%" PRIu64, era, before);
  client->answered = true;
  if (!restored)
    return;
  counter_add (&restores, 1);
  if (client->restored != NULL)
    client->restored (client->restored_arg);
}

static bool
has_start_revision (enum store_call call)
{
  return call == STORE_CALL_WATCH || call == STORE_CALL_WATCH_PREFIX;
}

static bool
is_write (enum store_call call)
{
  return call == STORE_CALL_PUT || call == STORE_CALL_REMOVE
         || call == STORE_CALL_LEASE_GRANT;
}

/// Gives the revisions of a reply the era of its response.
static void
add_era (enum store_call call, uint64_t era, struct store_reply *reply)
{
  struct store_key *keys = (struct store_key *)reply->keys; /* in the arena */
  for (size_t i = 0; i < reply->key_count; i++)
    keys[i].revision = store_revision_make (era, keys[i].revision);
  if (reply->as_of != 0)
    reply->as_of = store_revision_make (era, reply->as_of);
  if (reply->revision != 0 && call != STORE_CALL_LEASE_GRANT)
    reply->revision = store_revision_make (era, reply->revision);
}

/// Adapts a reply to what its response tells of the store's era.
/// @param era  of the response
static void
settle_reply (const struct store_operation *operation, uint64_t era,
              struct store_reply *reply)
{
  uint64_t newest = operation->client->era;
  /* A response from before the restore, or a write that was sent before it:
     what it was based on, or its effect, may be lost. */
  bool unsettled = era < newest
                   || (is_write (operation->call) && operation->era_known
                       && operation->era < newest);
  if (unsettled)
    *reply
        = (struct store_reply){ .status = STATUS_UNKNOWN, .abandoned = true };
  else if (has_start_revision (operation->call) && operation->revision != 0
           && store_revision_era (operation->revision) < newest)
    *reply = (struct store_reply){ .status = STATUS_TOO_OLD };
  else
    add_era (operation->call, era, reply);
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct store_connection *connection = arg;
  struct store_operation *operation = connection->operation;
  if (operation == NULL || operation->malformed)
    return;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      operation_fail (operation);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  const char *revision = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Revision");
  uint64_t era = read_era (connection->client, request);
  note_era (connection->client, era);
  void *arena = talloc_new (NULL);
  struct store_reply reply;
  connection->client->codec->parse_response (
      operation->call, evhttp_request_get_response_code (request), revision,
      evbuffer_pullup (input, -1), size, arena, &reply);
  settle_reply (operation, era, &reply);
  set_reachable (connection->client, reply.status != STATUS_UNAVAILABLE);
  if (http_response_guard_has_unread (&connection->guard))
    connection_close (connection);
  operation_finish (operation, &reply);
  talloc_free (arena);
}

/// Ends an operation whose response is malformed, from the event loop.
static void
on_malformed (void *arg)
{
  struct store_connection *connection = arg;
  struct store_operation *operation = connection->operation;
  if (operation == NULL)
    return;
  operation->malformed = true;
  event_active (operation->timer, EV_TIMEOUT, 0);
}

static bool
connection_open (struct store_connection *connection)
{
  struct store_client *client = connection->client;
  if (connection->http != NULL)
    return true;
  connection->http = evhttp_connection_base_new (
      client->base, NULL, client->address, client->port);
  if (connection->http == NULL)
    return false;
  evhttp_connection_set_max_body_size (connection->http, RESPONSE_BYTES_MAX);
  evhttp_connection_set_max_headers_size (connection->http, 16 * 1024);
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (connection->http);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, connection);
  http_response_guard_init (&connection->guard, connection->http, on_malformed,
                            connection);
  return true;
}

static const enum evhttp_cmd_type methods[] = {
  [STORE_METHOD_GET] = EVHTTP_REQ_GET,
  [STORE_METHOD_PUT] = EVHTTP_REQ_PUT,
  [STORE_METHOD_POST] = EVHTTP_REQ_POST,
  [STORE_METHOD_DELETE] = EVHTTP_REQ_DELETE,
};

/// Sends an operation on an idle connection.
/// @return false if the request could not be made. The operation may have been
///         finished then, because on_response can be called from here; if it
///         has not, the caller has to fail it
static bool
connection_send (struct store_connection *connection,
                 struct store_operation *operation)
{
  struct evhttp_request *request
      = evhttp_request_new (on_response, connection);
  if (request == NULL || !connection_open (connection))
    {
      if (request != NULL)
        evhttp_request_free (request);
      return false;
    }
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     connection->client->address);
  const struct store_http_request *wire = &operation->wire;
  if (wire->content_type != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (request),
                       "Content-Type", wire->content_type);
  if (wire->body_size > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), wire->body,
                  wire->body_size);
  counter_add (&calls_total, 1);
  http_response_guard_next (&connection->guard, false);
  bool watch = is_watch (operation);
  /* If the connection fails at once, on_response is called from here. */
  if (evhttp_make_request (connection->http, request, methods[wire->method],
                           wire->path)
      != 0)
    return false;
  /* A lost connection has to be detected sooner than a long poll ends, so long
     polls need TCP keep-alive. */
  evutil_socket_t fd
      = watch && connection->http != NULL ? bufferevent_getfd (
            evhttp_connection_get_bufferevent (connection->http))
                                          : -1;
  if (fd != -1)
    {
      http_set_socket_options (fd);
      http_set_user_timeout (fd);
    }
  return true;
}

static struct store_connection *
find_idle_connection (struct store_client *client, bool watches)
{
  struct store_connection *pool = watches ? client->watches : client->calls;
  size_t count = watches ? STORE_CLIENT_WATCH_CONNECTIONS
                         : STORE_CLIENT_CALL_CONNECTIONS;
  for (size_t i = 0; i < count; i++)
    if (pool[i].operation == NULL)
      return &pool[i];
  return NULL;
}

/// Starts queued operations on idle connections.
static void
start_queued (struct store_client *client, bool watches)
{
  struct store_queue *queue = operation_queue (client, watches);
  struct store_operation *operation = TAILQ_FIRST (queue);
  while (operation != NULL)
    {
      struct store_operation *next = TAILQ_NEXT (operation, link);
      struct store_connection *connection
          = find_idle_connection (client, watches);
      if (connection == NULL)
        return;
      if (operation->refused == STATUS_OK)
        {
          TAILQ_REMOVE (queue, operation, link);
          TAILQ_INSERT_TAIL (&client->active, operation, link);
          client->waiting--;
          operation->connection = connection;
          connection->operation = operation;
          if (!connection_send (connection, operation)
              && connection->operation == operation)
            event_active (operation->timer, EV_TIMEOUT, 0);
        }
      operation = next;
    }
}

/// Ends an operation that was rejected before it was sent, was abandoned, has
/// timed out or got a malformed response; starts the response timeout after
/// the connect timeout.
static void
on_timer (evutil_socket_t fd, short events, void *arg)
{
  struct store_operation *operation = arg;
  if (operation->refused != STATUS_OK)
    {
      struct store_reply reply = { .status = operation->refused };
      operation_finish (operation, &reply);
      return;
    }
  if (operation->response_timeout_ms > 0 && !operation->abandoned
      && !operation->malformed
      && (operation->connection == NULL || operation->sent))
    {
      start_timer (operation, operation->response_timeout_ms);
      operation->response_timeout_ms = 0;
      return;
    }
  if (operation->connection != NULL)
    {
      /* Closed, because a late response must not reach another operation. */
      counter_add (&connections_replaced, 1);
      connection_close (operation->connection);
      close_idle_connections (operation->client);
    }
  operation_fail (operation);
}

/// @return true if a call starts from a revision of an earlier era, or expects
///         one: the store may have given its number out again
static bool
is_of_earlier_era (const struct store_client *client,
                   const struct store_request *request)
{
  bool has_revision = has_start_revision (request->call)
                      || request->call == STORE_CALL_PUT
                      || request->call == STORE_CALL_REMOVE;
  return has_revision && request->revision != STORE_ANY_REVISION
         && request->revision != 0
         && store_revision_era (request->revision) < client->era;
}

static void
start_operation (struct store_client *client,
                 const struct store_request *request, const void *data,
                 size_t size,
                 void (*done) (void *arg, const struct store_reply *reply),
                 void *arg)
{
  struct store_operation *operation
      = talloc_zero (NULL, struct store_operation);
  assert (operation != NULL);
  *operation = (struct store_operation){ .client = client,
                                         .call = request->call,
                                         .revision = request->revision,
                                         .era = client->era,
                                         .era_known = client->answered,
                                         .done = done,
                                         .arg = arg };
  struct store_http_request *wire = &operation->wire;
  struct store_request stated = *request;
  if (stated.revision != STORE_ANY_REVISION)
    stated.revision = store_revision_number (stated.revision);
  if (size > STORE_VALUE_MAX)
    operation->refused = STATUS_TOO_LARGE;
  else if (is_of_earlier_era (client, request))
    operation->refused = STATUS_TOO_OLD;
  else
    operation->refused
        = client->codec->encode (&stated, data, size, operation, wire);
  if (operation->refused == STATUS_OK && wire->body == data && size > 0)
    wire->body = talloc_memdup (operation, data, size);
  if (client->waiting >= STORE_CLIENT_QUEUE_MAX)
    operation->refused = STATUS_UNAVAILABLE;
  operation->timer = evtimer_new (client->base, on_timer, operation);
  assert (operation->timer != NULL);
  operation->response_timeout_ms
      = STORE_CLIENT_TIMEOUT_MS - STORE_CLIENT_CONNECT_MS;
  if (is_watch (operation))
    operation->response_timeout_ms += request->ms;
  start_timer (operation,
               operation->refused != STATUS_OK ? 0 : STORE_CLIENT_CONNECT_MS);
  TAILQ_INSERT_TAIL (operation_queue (client, is_watch (operation)), operation,
                     link);
  client->waiting++;
  start_queued (client, is_watch (operation));
}

static void
client_get (void *store, const char *key,
            void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request = { .call = STORE_CALL_GET, .key = key };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_watch (void *store, const char *key, uint64_t after, uint32_t wait_ms,
              void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request = {
    .call = STORE_CALL_WATCH, .key = key, .revision = after, .ms = wait_ms
  };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_put (void *store, const char *key, uint64_t expected, uint64_t lease,
            const void *data, size_t size,
            void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request = {
    .call = STORE_CALL_PUT, .key = key, .revision = expected, .lease = lease
  };
  start_operation (store, &request, data, size, done, arg);
}

static void
client_remove (void *store, const char *key, uint64_t expected,
               void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request
      = { .call = STORE_CALL_REMOVE, .key = key, .revision = expected };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_list (void *store, const char *prefix,
             void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request = { .call = STORE_CALL_LIST, .key = prefix };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_range (void *store, const char *prefix, const char *after, bool stale,
              void (*done) (void *, const struct store_reply *), void *arg)
{
  struct store_request request = {
    .call = STORE_CALL_RANGE, .key = prefix, .after = after, .stale = stale
  };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_watch_prefix (void *store, const char *prefix, uint64_t after,
                     uint32_t wait_ms,
                     void (*done) (void *, const struct store_reply *),
                     void *arg)
{
  struct store_request request = { .call = STORE_CALL_WATCH_PREFIX,
                                   .key = prefix,
                                   .revision = after,
                                   .ms = wait_ms };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_lease_grant (void *store, uint32_t ttl_ms,
                    void (*done) (void *, const struct store_reply *),
                    void *arg)
{
  struct store_request request
      = { .call = STORE_CALL_LEASE_GRANT, .ms = ttl_ms };
  start_operation (store, &request, NULL, 0, done, arg);
}

static void
client_lease_keepalive (void *store, uint64_t lease,
                        void (*done) (void *, const struct store_reply *),
                        void *arg)
{
  struct store_request request
      = { .call = STORE_CALL_LEASE_KEEPALIVE, .lease = lease };
  start_operation (store, &request, NULL, 0, done, arg);
}

const struct store_ops store_client_ops = {
  .get = client_get,
  .watch = client_watch,
  .put = client_put,
  .remove = client_remove,
  .list = client_list,
  .range = client_range,
  .watch_prefix = client_watch_prefix,
  .lease_grant = client_lease_grant,
  .lease_keepalive = client_lease_keepalive,
};

enum status
store_client_init (struct store_client *client, struct event_base *base,
                   const char *address, uint16_t port)
{
  if (strlen (address) >= sizeof client->address)
    return status_set (STATUS_INVALID,
                       "store address '%.60s' exceeds 45 characters", address);
  *client = (struct store_client){
    .base = base, .codec = &store_api_codec, .port = port, .reachable = true
  };
  strcpy (client->address, address);
  TAILQ_INIT (&client->queue);
  TAILQ_INIT (&client->watch_queue);
  TAILQ_INIT (&client->active);
  for (size_t i = 0; i < STORE_CLIENT_CALL_CONNECTIONS; i++)
    client->calls[i].client = client;
  for (size_t i = 0; i < STORE_CLIENT_WATCH_CONNECTIONS; i++)
    client->watches[i].client = client;
  return STATUS_OK;
}

void
store_client_set_codec (struct store_client *client,
                        const struct store_codec *codec)
{
  client->codec = codec;
}

void
store_client_on_restore (struct store_client *client,
                         void (*restored) (void *arg), void *arg)
{
  client->restored = restored;
  client->restored_arg = arg;
}

void
store_client_abandon (struct store_client *client)
{
  struct store_operation *operation;
  TAILQ_FOREACH (operation, &client->active, link)
  {
    operation->abandoned = true;
    event_active (operation->timer, EV_TIMEOUT, 0);
  }
}

void
store_client_finish (struct store_client *client)
{
  for (size_t i = 0; i < STORE_CLIENT_CALL_CONNECTIONS; i++)
    connection_close (&client->calls[i]);
  for (size_t i = 0; i < STORE_CLIENT_WATCH_CONNECTIONS; i++)
    connection_close (&client->watches[i]);
  while (!TAILQ_EMPTY (&client->active))
    operation_free (TAILQ_FIRST (&client->active));
  while (!TAILQ_EMPTY (&client->queue))
    operation_free (TAILQ_FIRST (&client->queue));
  while (!TAILQ_EMPTY (&client->watch_queue))
    operation_free (TAILQ_FIRST (&client->watch_queue));
}
