/// Structures shared by the files of peer.
#ifndef HAWTHORNSEAM_TRANSPORT_PEER_PARTS_H
#define HAWTHORNSEAM_TRANSPORT_PEER_PARTS_H

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
  struct peer_endpoint *endpoint; ///< NULL: accepted, without HELLO so far
  bool dialed;                    ///< opened by this node
  bool up;     ///< a frame of the other end passed authentication
  bool busy;   ///< its messages are being handled
  bool closed; ///< freed once it is no longer busy
  uint64_t opened_ms;
  uint64_t used_ms; ///< last message in either direction
};

/// A member, or an address whose slot is not known.
struct peer_endpoint
{
  struct peer_endpoint *next; ///< in its bucket
  uint64_t key;               ///< slot id, or address and port
  bool by_address;
  uint64_t slot_id; ///< by address: slot that answered last, 0 before
  uint32_t address;
  uint16_t port;
  struct peer_connection *connection; ///< used for sending
  struct evbuffer *pending;           ///< messages until it is up
  unsigned failures;                  ///< in a row
  uint64_t retry_ms;                  ///< no connect before this time
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
  struct peer_handler handlers[PEER_TYPES];
  struct peer_endpoint *endpoints[PEER_BUCKETS];
  struct peer_connection *connections;
  unsigned connection_count;
  uint64_t refused_log_ms; ///< last log line of a refused peer
};

/* peer_connection.c */

/// Starts a connection on an accepted socket, or a connect to an endpoint.
/// @param fd  accepted socket or -1
/// @return NULL when it could not be started; fd is closed then
struct peer_connection *peer_connection_open (struct peers *peers, int fd,
                                              struct peer_endpoint *endpoint);

/// Closes a connection. A connect that failed starts the endpoint's backoff.
void peer_connection_close (struct peer_connection *connection);

/// Encrypts and queues a wrapped message; the connection must be up.
/// @return STATUS_UNAVAILABLE when the output bound closed the connection
enum status peer_connection_write (struct peer_connection *connection,
                                   const uint8_t *plain, size_t size);

/* peer.c */

/// Makes a connection that came up the one for sending, unless another one is
/// to be kept, and sends what waits.
void peer_endpoint_up (struct peer_connection *connection);

/// Starts the backoff after a failed connect and tells the owner of the peers.
void peer_endpoint_failed (struct peers *peers,
                           struct peer_endpoint *endpoint);

/// Calls the handler of a message.
void peer_dispatch (struct peers *peers, uint64_t from_slot, uint8_t *message,
                    size_t size);

#endif
