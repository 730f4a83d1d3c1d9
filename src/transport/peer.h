/// Authenticated TCP connections between nodes. Connections are opened on
/// demand, kept, and replaced when they go silent.
#ifndef HAWTHORNSEAM_TRANSPORT_PEER_H
#define HAWTHORNSEAM_TRANSPORT_PEER_H

#include "base/status.h"

#include <stddef.h>
#include <stdint.h>

/// Number of message types; a type indexes the table of handlers.
#define PEER_TYPES 64

struct peers;

/// Registers the handler of a message type. `body` is the msgpack array that
/// follows the type, borrowed for the time of the call.
/// @param type  below PEER_TYPES, not yet registered
void peer_handle (struct peers *peers, unsigned type,
                  void (*handler) (void *arg, uint64_t from_slot,
                                   const uint8_t *body, size_t size),
                  void *arg);

/// Queues a message for a member by its slot id; connects if needed.
/// @return STATUS_OK when queued, STATUS_NOT_FOUND when the slot has no known
///         address, STATUS_UNAVAILABLE while the peer is in backoff,
///         STATUS_TOO_LARGE above the frame limit
enum status peer_send (struct peers *peers, uint64_t slot_id, unsigned type,
                       const uint8_t *body, size_t size);

#endif
