/// Owns the endpoints of a node: the connection to each member, the messages
/// queued until it is established, and the backoff.
#include "transport/peer_internal.h"

#include "base/clock.h"
#include "base/counter.h"
#include "coordination/backoff.h"
#include "protocol/message.h"

#include <assert.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static struct counter unknown_types
    = COUNTER ("peer_unknown_types", "Messages of a type without handler.");
static struct counter connect_failures
    = COUNTER ("peer_connect_failures", "Connects that failed.");
static struct counter dropped
    = COUNTER ("peer_messages_dropped",
               "Messages that waited for a connection that failed.");

#define SWEEP_MS 250
/// Two nodes that connect to each other at the same time keep the connection
/// that the lower slot id opened; a later one replaces an older one.
#define SIMULTANEOUS_CONNECT_MS 2000
/// Idle timeout of a connection that is not used for sending.
#define SECONDARY_IDLE_TIMEOUT_MS 5000
/// An endpoint without a connection is removed if unused for this time.
#define ENDPOINT_EXPIRY_MS 60000

static uint64_t
address_key (uint32_t address, uint16_t port)
{
  return (uint64_t)address << 16 | port;
}

static struct peer_endpoint **
bucket (struct peers *peers, uint64_t key)
{
  return &peers->endpoints[(key ^ key >> 32) % PEER_BUCKETS];
}

static struct peer_endpoint *
find_endpoint (struct peers *peers, uint64_t key, bool by_address)
{
  struct peer_endpoint *endpoint = *bucket (peers, key);
  while (endpoint != NULL
         && (endpoint->key != key || endpoint->by_address != by_address))
    endpoint = endpoint->next;
  return endpoint;
}

/// @return the endpoint, created if needed; NULL if memory is exhausted
static struct peer_endpoint *
get_endpoint (struct peers *peers, uint64_t key, bool by_address)
{
  struct peer_endpoint *endpoint = find_endpoint (peers, key, by_address);
  if (endpoint != NULL)
    return endpoint;
  endpoint = calloc (1, sizeof *endpoint);
  if (endpoint == NULL)
    return NULL;
  endpoint->pending = evbuffer_new ();
  if (endpoint->pending == NULL)
    {
      free (endpoint);
      return NULL;
    }
  endpoint->key = key;
  endpoint->by_address = by_address;
  endpoint->slot_id = by_address ? 0 : key;
  endpoint->used_ms = clock_monotonic_ms ();
  endpoint->next = *bucket (peers, key);
  *bucket (peers, key) = endpoint;
  return endpoint;
}

static void
free_endpoint (struct peer_endpoint *endpoint)
{
  evbuffer_free (endpoint->pending);
  free (endpoint);
}

static void
drop_pending (struct peer_endpoint *endpoint)
{
  size_t size = evbuffer_get_length (endpoint->pending);
  if (size == 0)
    return;
  counter_add (&dropped, 1);
  evbuffer_drain (endpoint->pending, size);
}

/// Starts the backoff of an endpoint and drops its queued messages.
static void
start_backoff (struct peers *peers, struct peer_endpoint *endpoint)
{
  endpoint->failures++;
  counter_add (&connect_failures, 1);
  drop_pending (endpoint);
  endpoint->retry_ms
      = clock_monotonic_ms ()
        + backoff_delay_ms (peers->options.rng, endpoint->failures);
}

void
peer_endpoint_failed (struct peers *peers, struct peer_endpoint *endpoint)
{
  start_backoff (peers, endpoint);
  if (!endpoint->by_address)
    peers->options.connect_failed (peers->options.arg, endpoint->slot_id);
}

/// @return true if a newly authenticated connection replaces the one in use
static bool
replaces_connection (const struct peers *peers,
                     const struct peer_connection *current,
                     const struct peer_connection *candidate)
{
  if (current == NULL || current == candidate
      || current->outbound == candidate->outbound)
    return true;
  if (clock_monotonic_ms () - current->opened_ms >= SIMULTANEOUS_CONNECT_MS)
    return true;
  bool own_is_lower = peers->options.slot_id < candidate->session.peer_slot;
  return candidate->outbound == own_is_lower;
}

/// Sends queued messages over a connection.
static void
send_pending (struct peer_connection *connection, struct evbuffer *pending)
{
  uint32_t size;
  while (evbuffer_remove (pending, &size, sizeof size) == sizeof size)
    {
      const uint8_t *plain = evbuffer_pullup (pending, (ev_ssize_t)size);
      if (connection->closed
          || peer_connection_write (connection, plain, size) != STATUS_OK)
        {
          evbuffer_drain (pending, evbuffer_get_length (pending));
          return;
        }
      evbuffer_drain (pending, size);
    }
}

void
peer_endpoint_authenticated (struct peer_connection *connection)
{
  struct peers *peers = connection->peers;
  uint64_t slot_id = connection->session.peer_slot;
  struct peer_endpoint *endpoint = get_endpoint (peers, slot_id, false);
  if (endpoint == NULL)
    {
      peer_connection_close (connection);
      return;
    }
  struct peer_endpoint *seed = connection->endpoint;
  connection->endpoint = endpoint;
  endpoint->failures = 0;
  endpoint->retry_ms = 0;
  if (replaces_connection (peers, endpoint->connection, connection))
    endpoint->connection = connection;
  send_pending (connection, endpoint->pending);
  if (seed != NULL && seed->by_address)
    {
      seed->connection = NULL;
      seed->slot_id = slot_id;
      seed->failures = 0;
      seed->retry_ms = 0;
      send_pending (connection, seed->pending);
    }
}

void
peer_dispatch (struct peers *peers, uint64_t from_slot, uint8_t *message,
               size_t size)
{
  unsigned type;
  const uint8_t *body;
  size_t body_size;
  if (message_unwrap (message, size, &type, &body, &body_size) != STATUS_OK
      || type >= PEER_MESSAGE_TYPES || peers->handlers[type].call == NULL)
    {
      counter_add (&unknown_types, 1);
      return;
    }
  peers->handlers[type].call (peers->handlers[type].arg, from_slot, body,
                              body_size);
}

static enum status
queue_message (struct peer_endpoint *endpoint, const uint8_t *plain,
               size_t size)
{
  uint32_t prefix = (uint32_t)size;
  if (evbuffer_get_length (endpoint->pending) + size > PEER_OUTPUT_BYTES_MAX)
    return status_set (STATUS_UNAVAILABLE,
                       "send queue of a connecting peer is full");
  if (evbuffer_add (endpoint->pending, &prefix, sizeof prefix) != 0
      || evbuffer_add (endpoint->pending, plain, size) != 0)
    return status_set (STATUS_NO_MEMORY, "no memory for a message");
  return STATUS_OK;
}

/// Sends a message over the connection of an endpoint, or queues it and
/// connects.
static enum status
send_plain (struct peers *peers, struct peer_endpoint *endpoint,
            const uint8_t *plain, size_t size)
{
  uint64_t now_ms = clock_monotonic_ms ();
  endpoint->used_ms = now_ms;
  if (endpoint->connection != NULL && endpoint->connection->authenticated)
    return peer_connection_write (endpoint->connection, plain, size);
  if (endpoint->connection != NULL)
    return queue_message (endpoint, plain, size);
  if (now_ms < endpoint->retry_ms)
    return status_set (STATUS_UNAVAILABLE, "peer is in backoff");
  if (!endpoint->by_address
      && !peers->options.address (peers->options.arg, endpoint->slot_id,
                                  &endpoint->address, &endpoint->port))
    return status_set (STATUS_NOT_FOUND, "slot %016llx has no known address",
                       (unsigned long long)endpoint->slot_id);
  endpoint->connection = peer_connection_open (peers, -1, endpoint);
  if (endpoint->connection == NULL)
    {
      start_backoff (peers, endpoint);
      return status_set (STATUS_UNAVAILABLE, "cannot connect to the peer");
    }
  return queue_message (endpoint, plain, size);
}

static enum status
send_message (struct peers *peers, struct peer_endpoint *endpoint,
              unsigned type, const uint8_t *body, size_t size)
{
  if (endpoint == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a peer");
  if (size > FRAME_PLAIN_MAX - MESSAGE_WRAP_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "message of %zu bytes exceeds the frame limit", size);
  /* Small messages, which are almost all, need no allocation. */
  uint8_t stack_buffer[1024];
  uint8_t *plain = stack_buffer;
  if (size + MESSAGE_WRAP_MAX > sizeof stack_buffer)
    plain = malloc (size + MESSAGE_WRAP_MAX);
  if (plain == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a message");
  size_t plain_size;
  enum status status = message_wrap (type, body, size, plain, &plain_size);
  if (status == STATUS_OK)
    status = send_plain (peers, endpoint, plain, plain_size);
  if (plain != stack_buffer)
    free (plain);
  return status;
}

enum status
peer_send (struct peers *peers, uint64_t slot_id, unsigned type,
           const uint8_t *body, size_t size)
{
  if (slot_id == peers->options.slot_id)
    return status_set (STATUS_NOT_FOUND,
                       "cannot send to this node's own slot");
  return send_message (peers, get_endpoint (peers, slot_id, false), type, body,
                       size);
}

enum status
peer_send_address (struct peers *peers, uint32_t address, uint16_t port,
                   unsigned type, const uint8_t *body, size_t size)
{
  struct peer_endpoint *seed
      = get_endpoint (peers, address_key (address, port), true);
  if (seed == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a peer");
  seed->address = address;
  seed->port = port;
  struct peer_endpoint *known = NULL;
  if (seed->slot_id != 0 && seed->connection == NULL)
    known = find_endpoint (peers, seed->slot_id, false);
  if (known != NULL && known->connection != NULL
      && known->connection->authenticated)
    return send_message (peers, known, type, body, size);
  return send_message (peers, seed, type, body, size);
}

void
peer_disconnect (struct peers *peers, uint64_t slot_id)
{
  struct peer_endpoint *endpoint = find_endpoint (peers, slot_id, false);
  if (endpoint == NULL || endpoint->connection == NULL)
    return;
  struct peer_connection *connection = endpoint->connection;
  drop_pending (endpoint);
  endpoint->connection = NULL;
  /* Detached, so that closing is not handled as a failed connect: the caller
     decides what a missing reply means. */
  connection->endpoint = NULL;
  peer_connection_close (connection);
}

void
peer_register_handler (struct peers *peers, unsigned type,
                       void (*handler) (void *arg, uint64_t from_slot,
                                        const uint8_t *body, size_t size),
                       void *arg)
{
  assert (type < PEER_MESSAGE_TYPES && peers->handlers[type].call == NULL);
  peers->handlers[type] = (struct peer_handler){ .call = handler, .arg = arg };
}

static bool
connection_listed (const struct peers *peers,
                   const struct peer_connection *wanted)
{
  const struct peer_connection *connection = peers->connections;
  while (connection != NULL && connection != wanted)
    connection = connection->next;
  return connection == wanted;
}

/// @return true if a connection that is not used for sending still refers to
/// the endpoint
static bool
endpoint_in_use (const struct peers *peers,
                 const struct peer_endpoint *endpoint)
{
  const struct peer_connection *connection = peers->connections;
  while (connection != NULL && connection->endpoint != endpoint)
    connection = connection->next;
  return connection != NULL;
}

static void
sweep_connections (struct peers *peers, uint64_t now_ms)
{
  struct peer_connection *next;
  for (struct peer_connection *connection = peers->connections;
       connection != NULL; connection = next)
    {
      next = connection->next;
      bool sending = connection->endpoint != NULL
                     && connection->endpoint->connection == connection;
      uint64_t idle_ms = now_ms - connection->used_ms;
      uint64_t limit
          = sending ? PEER_IDLE_TIMEOUT_MS : SECONDARY_IDLE_TIMEOUT_MS;
      if (!connection->authenticated)
        {
          idle_ms = now_ms - connection->opened_ms;
          limit = PEER_HANDSHAKE_TIMEOUT_MS;
        }
      if (idle_ms < limit)
        continue;
      peer_connection_close (connection);
      /* The connect_failed callback may have changed the list. */
      if (!connection_listed (peers, next))
        break;
    }
}

static void
sweep_endpoints (struct peers *peers, uint64_t now_ms)
{
  for (unsigned i = 0; i < PEER_BUCKETS; i++)
    {
      struct peer_endpoint **link = &peers->endpoints[i];
      while (*link != NULL)
        {
          struct peer_endpoint *endpoint = *link;
          if (endpoint->connection != NULL || now_ms < endpoint->retry_ms
              || now_ms - endpoint->used_ms < ENDPOINT_EXPIRY_MS
              || endpoint_in_use (peers, endpoint))
            {
              link = &endpoint->next;
              continue;
            }
          *link = endpoint->next;
          free_endpoint (endpoint);
        }
    }
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct peers *peers = arg;
  uint64_t now_ms = clock_monotonic_ms ();
  sweep_connections (peers, now_ms);
  sweep_endpoints (peers, now_ms);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct peers *peers = arg;
  if (peers->connection_count >= PEER_CONNECTIONS_MAX)
    evutil_closesocket (fd);
  else
    peer_connection_open (peers, fd, NULL);
}

enum status
peers_start (struct peers **result, const struct peers_options *options)
{
  struct peers *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for peers");
  const struct settings *settings = options->settings;
  peers->options = *options;
  peers->identity
      = (struct frame_identity){ .mesh = settings->mesh,
                                 .slot_id = options->slot_id,
                                 .keys = settings->keys,
                                 .key_count = settings->key_count,
                                 .version = FRAME_VERSION,
                                 .version_lowest = FRAME_VERSION_LOWEST };
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (settings->peer_port),
          .sin_addr.s_addr = htonl (settings->address) };
  struct timeval interval = { .tv_usec = SWEEP_MS * 1000 };
  peers->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, peers);
  peers->listener = evconnlistener_new_bind (
      options->base, on_accept, peers,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      (struct sockaddr *)&address, sizeof address);
  if (peers->sweep == NULL || peers->listener == NULL
      || event_add (peers->sweep, &interval) != 0)
    {
      peers_stop (peers);
      return status_set (STATUS_UNAVAILABLE, "cannot bind peer port %u",
                         settings->peer_port);
    }
  *result = peers;
  return STATUS_OK;
}

void
peers_stop_listening (struct peers *peers)
{
  if (peers->listener != NULL)
    evconnlistener_free (peers->listener);
  peers->listener = NULL;
}

void
peers_stop (struct peers *peers)
{
  peers_stop_listening (peers);
  if (peers->sweep != NULL)
    event_free (peers->sweep);
  while (peers->connections != NULL)
    {
      struct peer_connection *connection = peers->connections;
      assert (!connection->handling_input);
      connection->outbound = false; /* no backoff, no callback */
      peer_connection_close (connection);
    }
  for (unsigned i = 0; i < PEER_BUCKETS; i++)
    while (peers->endpoints[i] != NULL)
      {
        struct peer_endpoint *endpoint = peers->endpoints[i];
        peers->endpoints[i] = endpoint->next;
        free_endpoint (endpoint);
      }
  free (peers);
}
