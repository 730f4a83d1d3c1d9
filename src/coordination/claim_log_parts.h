/// Functions shared by the files of the claims log: claim_log.c writes,
/// claim_log_read.c reads.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_LOG_PARTS_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_LOG_PARTS_H

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

/// Writes the key of a segment's slot or of a chunk.
void claim_log_segment_key (const struct claim_log *log, uint64_t number,
                            char key[CLAIM_LOG_KEY_MAX]);
void claim_log_chunk_key (const struct claim_log *log, uint64_t number,
                          char key[CLAIM_LOG_KEY_MAX]);

/// @return token of an operation that is not older than the epoch
uint64_t claim_log_token (enum claim_log_operation operation, uint32_t epoch,
                          uint32_t index);

/// Sets the time before which nothing is sent, with full jitter.
void claim_log_back_off (struct claim_log *log, uint64_t now_ms);

/// Applies the next segment to the table and forms a chunk when it is due.
void claim_log_apply (struct claim_log *log,
                      const struct claim_segment *segment, uint64_t revision);

/// Gives up an append in flight and reads the log again from the start.
void claim_log_reload (struct claim_log *log, uint64_t now_ms);

/// Leaves out bodies past the limit, so that a chunk fits into one value.
void claim_log_limit_bodies (struct claim_record *records, size_t count);

/// Replaces a log of which the store has lost a part: reading starts again
/// after a chunk with a floor is written.
void claim_log_repair (struct claim_log *log, uint64_t now_ms,
                       uint64_t wall_ms);
void claim_log_repair_send (struct claim_log *log);
void claim_log_repair_answered (struct claim_log *log,
                                const struct store_reply *reply,
                                uint64_t now_ms);

/// Looks whether the last segment is still in the store.
void claim_log_verify (struct claim_log *log, uint64_t now_ms);
void claim_log_verify_answered (struct claim_log *log, uint32_t index,
                                const struct store_reply *reply,
                                uint64_t now_ms, uint64_t wall_ms);

/// Drops all state; the log is cold.
void claim_log_reset (struct claim_log *log);

/// Starts to read segments after the tip.
/// @param window  values to ask for at the same time at first
void claim_log_read_segments (struct claim_log *log, uint32_t window,
                              uint64_t now_ms);

/// Sends the reads of the present state again after a failure.
void claim_log_read_again (struct claim_log *log, uint64_t now_ms);

void claim_log_listed (struct claim_log *log, const struct store_reply *reply,
                       uint64_t now_ms);
void claim_log_read (struct claim_log *log, uint32_t index,
                     const struct store_reply *reply, uint64_t now_ms);

#endif
