/// Client of the platform's key-value store: implements struct store_ops over
/// HTTP with a small connection pool. Long polls use a pool of their own, so
/// that they never delay other calls.
#ifndef HAWTHORNSEAM_TRANSPORT_STORE_CLIENT_H
#define HAWTHORNSEAM_TRANSPORT_STORE_CLIENT_H

#include "coordination/store.h"
#include "transport/http_response_guard.h"

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#define STORE_CLIENT_CALL_CONNECTIONS 8  ///< connections for calls
#define STORE_CLIENT_WATCH_CONNECTIONS 4 ///< connections for long polls
/// Maximum number of queued operations; further ones fail with
/// STATUS_UNAVAILABLE.
#define STORE_CLIENT_QUEUE_MAX 1024
/// Timeout of a call, including queueing and connect. A call that times out
/// has its connection closed. Long polls get their wait time in addition.
#define STORE_CLIENT_TIMEOUT_MS 2000

/// A connection that is not established after this time is replaced, because
/// TCP retransmits a lost SYN only after a second or more.
#define STORE_CLIENT_CONNECT_MS 600

struct store_codec;
struct store_operation;
struct evhttp_connection;

struct store_connection
{
  struct store_client *client;
  struct evhttp_connection *http; ///< NULL until first used
  struct http_response_guard guard;
  struct store_operation *operation; ///< NULL while idle
};

TAILQ_HEAD (store_queue, store_operation);

struct store_client
{
  struct event_base *base;
  const struct store_codec *codec;
  char address[46];
  uint16_t port;
  struct store_connection calls[STORE_CLIENT_CALL_CONNECTIONS];
  struct store_connection watches[STORE_CLIENT_WATCH_CONNECTIONS];
  struct store_queue queue;       ///< calls waiting for a connection
  struct store_queue watch_queue; ///< long polls waiting for a connection
  struct store_queue active;      ///< operations that have a connection
  size_t waiting;                 ///< number of operations in both queues
  bool reachable; ///< the last finished call got a response other
                  ///< than STATUS_UNAVAILABLE
  bool answered;  ///< the store has answered a call
  uint64_t era;   ///< newest era that the store has stated; 0 before
  void (*restored) (void *arg); ///< see store_client_on_restore; may be NULL
  void *restored_arg;
};

/// Store operations over this client; their `store` argument is a struct
/// store_client.
extern const struct store_ops store_client_ops;

/// Initializes a client; connections are opened on demand.
/// @param client   allocated by the caller; must not move until finished
/// @param address  IP address in text form
/// @return STATUS_INVALID if the address is too long
enum status store_client_init (struct store_client *client,
                               struct event_base *base, const char *address,
                               uint16_t port);

/// Selects the codec of the store's HTTP interface; the default is
/// store_api_codec.
void store_client_set_codec (struct store_client *client,
                             const struct store_codec *codec);

/// Sets a function that is called when a response shows that the store was
/// restored from an older copy, before the operation's `done`. What this
/// process has written or leased since that copy is lost.
void store_client_on_restore (struct store_client *client,
                              void (*restored) (void *arg), void *arg);

/// Cancels the operations that have a connection and closes those connections.
/// The `done` callbacks are called from the event loop, with STATUS_UNKNOWN or
/// STATUS_UNAVAILABLE and `abandoned` set.
void store_client_abandon (struct store_client *client);

/// Closes all connections and frees all operations without calling `done`.
/// Must not be called from a `done` callback.
void store_client_finish (struct store_client *client);

#endif
