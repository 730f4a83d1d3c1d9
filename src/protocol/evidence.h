/// Codecs of the evidence of moves (message type 21) and of trips (broadcast
/// kind 3), and the filter for repeated messages. Bodies are msgpack arrays;
/// fields after the known ones are skipped.
#ifndef HAWTHORNSEAM_PROTOCOL_EVIDENCE_H
#define HAWTHORNSEAM_PROTOCOL_EVIDENCE_H

#include "coordination/trip.h"
#include "state/outcome.h"

#define EVIDENCE_TYPE 21

/// Cells of one message; more go into the next one.
#define EVIDENCE_CELLS_MAX 1024

/// Messages that may arrive late and still be told from repeated ones.
#define EVIDENCE_WINDOW 64

struct evidence_header
{
  uint64_t destination; ///< slot id of the judging member
  uint64_t boot;        ///< random number of the sender's process
  uint64_t sequence;    ///< grows with each message of the sender
};

/// Encodes the cells [first, first + count) of a table.
/// @param arena  talloc context that owns the bytes
enum status evidence_encode (const struct evidence_header *header,
                             const struct outcome_table *table, uint32_t first,
                             uint32_t count, void *arena, uint8_t **bytes,
                             size_t *size);

/// Reads a message whole before anything is added to the table.
/// @param cells  talloc array of `count` checked cells, owned by the arena
/// @return STATUS_CORRUPT, STATUS_INVALID for counts that contradict each
///         other, STATUS_TOO_LARGE
enum status evidence_decode (const uint8_t *bytes, size_t size, void *arena,
                             struct evidence_header *header,
                             struct outcome_cell **cells, uint32_t *count);

/// Messages seen from one sender.
struct evidence_window
{
  uint64_t boot;
  uint64_t highest;
  uint64_t seen; ///< bit i: highest - i was accepted
};

/// @return true when the message is seen for the first time; a message older
/// than the window is refused, because it cannot be told from a repeated one
bool evidence_accept (struct evidence_window *window,
                      const struct evidence_header *header);

enum status trip_encode (const char *move, const char *reason, void *arena,
                         uint8_t **bytes, size_t *size);

/// @param trip  only move and reason are set
enum status trip_decode (const uint8_t *bytes, size_t size, struct trip *trip);

#endif
