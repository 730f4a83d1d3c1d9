/// Client of the platform's store: implements struct store_ops over HTTP with
/// a small pool of connections. Long polls have connections of their own, so
/// that they never hold up other calls.
#ifndef HAWTHORNSEAM_TRANSPORT_STORE_CLIENT_H
#define HAWTHORNSEAM_TRANSPORT_STORE_CLIENT_H

#include "coordination/store.h"

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#define STORE_CLIENT_CALLS 8   ///< connections for calls
#define STORE_CLIENT_WATCHES 4 ///< connections for long polls
/// Calls that wait for a connection; more are refused as unavailable.
#define STORE_CLIENT_QUEUE 1024
/// A call without answer after this time is given up and its connection is
/// replaced.
#define STORE_CLIENT_TIMEOUT_MS 2000

/// A connection that is not established after this time is replaced: a lost
/// opening packet is sent again only after a second or more.
#define STORE_CLIENT_CONNECT_MS 600

struct store_codec;
struct store_operation;
struct evhttp_connection;

struct store_connection
{
  struct store_client *client;
  struct evhttp_connection *http;    ///< NULL until first used
  struct store_operation *operation; ///< NULL when idle
};

TAILQ_HEAD (store_queue, store_operation);

struct store_client
{
  struct event_base *base;
  const struct store_codec *codec;
  char address[46];
  uint16_t port;
  struct store_connection calls[STORE_CLIENT_CALLS];
  struct store_connection watches[STORE_CLIENT_WATCHES];
  struct store_queue queue;       ///< calls without a connection
  struct store_queue watch_queue; ///< long polls without a connection
  struct store_queue active;      ///< on a connection
  size_t waiting;                 ///< in both queues
  bool reachable;                 ///< the last finished call got an answer
};

/// Operations of the client; the `store` argument is a struct store_client.
extern const struct store_ops store_client_ops;

/// Prepares a client; connections are opened when they are needed.
/// @param client   memory of the caller; must not move until finished
/// @param address  IP address in text form
/// @return STATUS_INVALID for an address that is too long
enum status store_client_init (struct store_client *client,
                               struct event_base *base, const char *address,
                               uint16_t port);

/// Speaks another interface than the default, store_api_codec.
void store_client_set_codec (struct store_client *client,
                             const struct store_codec *codec);

/// Gives up the calls in flight, with their connections. Each is called back
/// from the event loop with STATUS_UNKNOWN or STATUS_UNAVAILABLE and
/// `abandoned` set.
void store_client_abandon (struct store_client *client);

/// Closes all connections. Operations in flight are not called back. Must not
/// be called from a `done` callback.
void store_client_finish (struct store_client *client);

#endif
