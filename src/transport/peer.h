/// Authenticated TCP connections between nodes. Connections are opened on
/// demand, reused, and closed when idle; peer_disconnect discards one that
/// does not respond.
#ifndef HAWTHORNSEAM_TRANSPORT_PEER_H
#define HAWTHORNSEAM_TRANSPORT_PEER_H

#include "base/rng.h"
#include "base/status.h"
#include "protocol/settings.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/// Number of message types; a type is an index into the table of handlers.
#define PEER_MESSAGE_TYPES 64

/// Timeout of connect and handshake together.
#define PEER_HANDSHAKE_TIMEOUT_MS 2000
/// Connections idle for longer are closed.
#define PEER_IDLE_TIMEOUT_MS 60000
/// Limit of the output queued on a connection, bytes; a connection that would
/// exceed it is closed. Also limits the messages queued for a connecting peer.
#define PEER_OUTPUT_BYTES_MAX (4 << 20)
/// Limit of open connections; further ones are closed on accept.
#define PEER_CONNECTIONS_MAX 2048

struct peers;

struct peers_options
{
  struct event_base *base;
  const struct settings *settings; ///< mesh, keys, address and peer port
  uint64_t slot_id;                ///< of this node
  struct rng *rng;
  /// Looks up the address of a member.
  /// @return false if the slot is not known
  bool (*address) (void *arg, uint64_t slot_id, uint32_t *address,
                   uint16_t *port);
  /// Called when a connection to a member could not be established.
  void (*connect_failed) (void *arg, uint64_t slot_id);
  void *arg;
};

/// Starts listening. `options` is copied; the objects it points to must remain
/// valid until peers_stop.
/// @param peers  set on STATUS_OK, released by peers_stop
enum status peers_start (struct peers **peers,
                         const struct peers_options *options);

/// Closes all connections without waiting for queued output.
void peers_stop (struct peers *peers);

/// Stops accepting connections; open ones stay.
void peers_stop_listening (struct peers *peers);

/// Registers the handler of a message type. `body` is the msgpack array that
/// follows the type; it is valid only during the call.
/// @param type  below PEER_MESSAGE_TYPES, not yet registered
void peer_register_handler (struct peers *peers, unsigned type,
                            void (*handler) (void *arg, uint64_t from_slot,
                                             const uint8_t *body, size_t size),
                            void *arg);

/// Queues a message for a member, given by its slot id; connects if needed.
/// @return STATUS_OK if queued; STATUS_NOT_FOUND if the slot has no known
///         address or is the node's own; STATUS_UNAVAILABLE if the
///         connect failed, in the backoff after that, or if the queue is full;
///         STATUS_TOO_LARGE above the frame limit; STATUS_NO_MEMORY
enum status peer_send (struct peers *peers, uint64_t slot_id, unsigned type,
                       const uint8_t *body, size_t size);

/// Queues a message for the node that listens at an address, for instance a
/// seed whose slot id is not known yet.
/// @param address  IPv4, host byte order
/// @return see peer_send
enum status peer_send_address (struct peers *peers, uint32_t address,
                               uint16_t port, unsigned type,
                               const uint8_t *body, size_t size);

/// Closes the connection to a member; the next message opens a new one.
void peer_disconnect (struct peers *peers, uint64_t slot_id);

#endif
