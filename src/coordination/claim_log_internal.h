/// Internal functions of the claim log: claim_log.c writes, claim_log_read.c
/// reads, claim_log_repair.c verifies and repairs.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_LOG_INTERNAL_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_LOG_INTERNAL_H

#include "coordination/claim_log.h"

enum claim_log_operation
{
  CLAIM_OP_LIST = 1,
  CLAIM_OP_READ,
  CLAIM_OP_APPEND,
  CLAIM_OP_CHUNK,
  CLAIM_OP_REMOVE,
  CLAIM_OP_REPAIR,
  CLAIM_OP_VERIFY
};

/// Formats the store key of a segment (its slot in the ring) or of a chunk.
void claim_log_segment_key (const struct claim_log *log, uint64_t number,
                            char key[CLAIM_LOG_KEY_MAX]);
void claim_log_chunk_key (const struct claim_log *log, uint64_t number,
                          char key[CLAIM_LOG_KEY_MAX]);

/// @param index  32 bits that come back with the reply
/// @return token for a store operation; replies to tokens of another epoch are
///         ignored
uint64_t claim_log_token (enum claim_log_operation operation, uint32_t epoch,
                          uint32_t index);

/// Counts a failure and sets retry_ms, by exponential backoff with full
/// jitter.
void claim_log_back_off (struct claim_log *log, uint64_t now_ms);

/// Applies the next segment to the table and, at the end of a chunk's
/// segments, builds the chunk.
void claim_log_apply (struct claim_log *log,
                      const struct claim_segment *segment, uint64_t revision);

/// Gives up an append in flight and reads the log again from the start, after
/// a backoff delay.
void claim_log_reload (struct claim_log *log, uint64_t now_ms);

/// Drops outcome bodies past CLAIM_CHUNK_BYTES, so that a chunk fits into one
/// store value.
void claim_log_limit_bodies (struct claim_record *records, size_t count);

/// Repairs a log of which the store has lost segments: writes a chunk with the
/// known claims and a floor, then reads the log again.
void claim_log_repair (struct claim_log *log, uint64_t now_ms,
                       uint64_t wall_ms);
/// Writes the chunk that claim_log_repair has built.
void claim_log_repair_send (struct claim_log *log);

/// Handles the reply to that write: reads the log again, or retries later.
void claim_log_handle_repair (struct claim_log *log,
                              const struct store_reply *reply,
                              uint64_t now_ms);

/// Reads the last segment again to detect that the store has lost it.
void claim_log_verify (struct claim_log *log, uint64_t now_ms);

/// Handles the reply to that read: repairs the log if the segment is missing
/// or was replaced by one that is not newer.
/// @param index  low 32 bits of the number of the segment that was read
void claim_log_handle_verify (struct claim_log *log, uint32_t index,
                              const struct store_reply *reply, uint64_t now_ms,
                              uint64_t wall_ms);

/// Drops all state; the log is closed afterwards.
void claim_log_reset (struct claim_log *log);

/// Starts to read the segments after the last one applied.
/// @param window  initial number of reads in flight at the same time
void claim_log_read_segments (struct claim_log *log, uint32_t window,
                              uint64_t now_ms);

/// Sends the reads of the current state again after a failure.
void claim_log_read_again (struct claim_log *log, uint64_t now_ms);

/// Handles the list of keys and starts to read the chunks.
void claim_log_handle_list (struct claim_log *log,
                            const struct store_reply *reply, uint64_t now_ms);

/// Handles a value that was read.
/// @param index  chunk index, or low 32 bits of the segment number
void claim_log_handle_read (struct claim_log *log, uint32_t index,
                            const struct store_reply *reply, uint64_t now_ms);

#endif
