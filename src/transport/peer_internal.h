/// Structures and functions shared by peer.c and peer_connection.c.
#ifndef HAWTHORNSEAM_TRANSPORT_PEER_INTERNAL_H
#define HAWTHORNSEAM_TRANSPORT_PEER_INTERNAL_H

#include "protocol/frame.h"
#include "transport/peer.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#define PEER_BUCKETS 256

struct peer_endpoint;

/// One TCP connection.
struct peer_connection
{
  struct peers *peers;
  struct peer_connection *next;
  struct bufferevent *stream;
  struct frame_session session;
  struct peer_endpoint *endpoint; ///< NULL: accepted, not authenticated yet
  bool outbound;                  ///< this node opened the connection
  bool authenticated;  ///< a frame of the other end was authenticated
  bool handling_input; ///< its input is being handled
  bool closed;         ///< freed once its input has been handled
  uint64_t opened_ms;
  uint64_t used_ms; ///< last message in either direction
};

/// A destination: a member given by slot id, or an address whose slot id is
/// not known.
struct peer_endpoint
{
  struct peer_endpoint *next; ///< next in the hash bucket
  uint64_t key;               ///< slot id, or address and port
  bool by_address;
  uint64_t slot_id; ///< by address: slot that responded last, or 0
  uint32_t address;
  uint16_t port;
  struct peer_connection *connection; ///< used for sending
  struct evbuffer *pending;           ///< messages queued until authentication
  unsigned failures;                  ///< consecutive failed connects
  uint64_t retry_ms;                  ///< end of the backoff
  uint64_t used_ms;
};

struct peer_handler
{
  void (*call) (void *arg, uint64_t from_slot, const uint8_t *body,
                size_t size);
  void *arg;
};

struct peers
{
  struct peers_options options;
  struct frame_identity identity;
  struct evconnlistener *listener;
  struct event *sweep;
  struct peer_handler handlers[PEER_MESSAGE_TYPES];
  struct peer_endpoint *endpoints[PEER_BUCKETS];
  struct peer_connection *connections;
  unsigned connection_count;
  uint64_t refused_log_ms; ///< time of the last log line of a rejected peer
};

/* peer_connection.c */

/// Creates the connection of an accepted socket, or connects to an endpoint.
/// @param fd  accepted socket, or -1 to connect
/// @return NULL on failure; fd is closed then
struct peer_connection *peer_connection_open (struct peers *peers, int fd,
                                              struct peer_endpoint *endpoint);

/// Closes a connection. If this node opened it and it was not authenticated,
/// starts the backoff of its endpoint.
void peer_connection_close (struct peer_connection *connection);

/// Encrypts and queues a wrapped message; the connection must be
/// authenticated.
/// @return STATUS_UNAVAILABLE if the connection was closed because its output
///         limit was exceeded
enum status peer_connection_write (struct peer_connection *connection,
                                   const uint8_t *plain, size_t size);

/* peer.c */

/// Handles a connection that was authenticated: uses it for sending, unless an
/// existing one takes precedence, and sends the queued messages.
void peer_endpoint_authenticated (struct peer_connection *connection);

/// Starts the backoff after a failed connect and, for an endpoint given by
/// slot id, calls connect_failed.
void peer_endpoint_failed (struct peers *peers,
                           struct peer_endpoint *endpoint);

/// Calls the handler of a message.
void peer_dispatch (struct peers *peers, uint64_t from_slot, uint8_t *message,
                    size_t size);

#endif
