/// Encoding of the evidence about moves (message type 21) and of trips
/// (broadcast kind 3), and a filter for repeated evidence messages. Bodies are
/// msgpack arrays; unknown trailing fields are ignored.
#ifndef HAWTHORNSEAM_PROTOCOL_EVIDENCE_H
#define HAWTHORNSEAM_PROTOCOL_EVIDENCE_H

#include "coordination/trip.h"
#include "state/outcome.h"

#define EVIDENCE_MESSAGE_TYPE 21

/// Cells in one message; further cells go into the next message.
#define EVIDENCE_CELLS_MAX 1024

/// Width of the window of sequence numbers in which a late message can be told
/// from a repeated one.
#define EVIDENCE_WINDOW 64

struct evidence_header
{
  uint64_t destination; ///< slot id of the node that judges the move
  uint64_t boot_id;     ///< random id of the sender's process
  uint64_t sequence;    ///< grows with each message of the sender
};

/// Encodes the cells [first, first + count) of a table.
/// @param arena  talloc context that owns the bytes
/// @return STATUS_TOO_LARGE for more than EVIDENCE_CELLS_MAX cells or cells
///         that the table does not have, STATUS_NO_MEMORY
enum status evidence_encode (const struct evidence_header *header,
                             const struct outcome_table *table, uint32_t first,
                             uint32_t count, void *arena, uint8_t **bytes,
                             size_t *size);

/// Decodes and checks a whole message, so that the caller adds either all of
/// its cells to a table or none.
/// @param cells  set to a talloc array of `count` cells, owned by the arena
/// @return STATUS_CORRUPT, STATUS_INVALID for counts that contradict each
///         other, STATUS_TOO_LARGE or STATUS_NO_MEMORY
enum status evidence_decode (const uint8_t *bytes, size_t size, void *arena,
                             struct evidence_header *header,
                             struct outcome_cell **cells, uint32_t *count);

/// Sequence numbers accepted from one sender, as a sliding window.
struct evidence_window
{
  uint64_t boot_id;
  uint64_t highest; ///< highest accepted sequence number
  uint64_t seen;    ///< bit i: highest - i was accepted
};

/// Adds a message to the window.
/// @return true when it was not seen before; false also for a message older
/// than the window, because it cannot be told from a repeated one
bool evidence_accept (struct evidence_window *window,
                      const struct evidence_header *header);

/// @param arena  talloc context that owns the bytes
enum status trip_encode (const char *move, const char *reason, void *arena,
                         uint8_t **bytes, size_t *size);

/// @param trip  move and reason are set, all else is 0
/// @return STATUS_CORRUPT
enum status trip_decode (const uint8_t *bytes, size_t size, struct trip *trip);

#endif
