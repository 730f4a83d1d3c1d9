/// Log of one partition of claims in the store: numbered segments, chunks that
/// each compact 64 segments, and the claim table that results from applying
/// them. Also tracks the position in the log and the writes in flight.
///
/// Segment n is stored under `claims/<p>/<n mod CLAIM_LOG_RING>` and is
/// written by compare-and-swap against the revision of segment n -
/// CLAIM_LOG_RING, which is in a chunk by then. Segment keys are never
/// deleted, and the store does not use a revision twice, so a delayed write
/// cannot succeed at a number that was used before. Each number is thus
/// written once and in order, by whichever owner comes first.
///
/// Chunk k is stored under `claims/<p>/chunk/<k>` and holds the states, after
/// segment 64 k, of the keys changed by segments 64 (k - 1) + 1 to 64 k. It is
/// a function of the log, so it does not matter which owner writes it. A
/// segment is overwritten only after its chunk is known to be stored, so a
/// reader that lists the keys finds each record in a chunk or in a segment. If
/// the log advances during the read, the reader finds a higher segment number
/// than expected and starts again.
///
/// If the store is reset to older content, the owner detects within
/// CLAIM_LOG_VERIFY_MS that its last segment is missing and repairs the log:
/// it writes a chunk with a number above all those used so far, which holds
/// the newest claims that it knows and a floor. From then on, unknown keys
/// created up to the floor are refused. If the owner fails before the repair,
/// no node knows the lost claims and their keys can be claimed again.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_LOG_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_LOG_H

#include "base/rng.h"
#include "coordination/store.h"
#include "state/claim_table.h"

/// Segments kept in the store, in a ring; a multiple of CLAIM_CHUNK_SEGMENTS.
#define CLAIM_LOG_RING 256
/// Segments compacted into one chunk.
#define CLAIM_CHUNK_SEGMENTS 64
/// Maximum number of records in one segment. A chunk of 64 segments fits into
/// one store value without the bodies (64 x 256 x 40 bytes = 640 KiB).
#define CLAIM_SEGMENT_RECORDS 256
/// Maximum number of records in one chunk: those of 64 segments and the floor.
#define CLAIM_CHUNK_RECORDS (CLAIM_CHUNK_SEGMENTS * CLAIM_SEGMENT_RECORDS + 1)
/// Maximum size of a chunk, bytes. Outcome bodies past it are left out.
#define CLAIM_CHUNK_BYTES (900 * 1024)
/// Interval at which an open log is compared with the store, ms.
#define CLAIM_LOG_VERIFY_MS 1000
/// Reads in flight at the same time while a new owner loads the log.
#define CLAIM_LOG_READ_WINDOW 16
#define CLAIM_LOG_KEY_MAX 48

/// Content of one value in the store: a segment or a chunk.
struct claim_segment
{
  bool chunk; ///< otherwise a segment
  uint32_t partition;
  uint64_t number;
  uint64_t nonce; ///< identifies the append; 0 in a chunk
  struct claim_record *records;
  size_t count;
};

/// Encoding of store values; provided by the protocol layer.
struct claim_codec
{
  enum status (*encode) (const struct claim_segment *segment, void *arena,
                         uint8_t **bytes, size_t *size);
  /// Bodies of the records point into `bytes`.
  enum status (*decode) (const uint8_t *bytes, size_t size, void *arena,
                         struct claim_segment *segment);
};

/// Callbacks of the log. For each store operation the caller passes the reply
/// to claim_log_completed, with the token of the operation.
struct claim_log_ops
{
  void (*get) (void *arg, const char *key, uint64_t token);
  void (*list) (void *arg, const char *prefix, uint64_t token);
  void (*put) (void *arg, const char *key, uint64_t expected,
               const uint8_t *bytes, size_t size, uint64_t token);
  void (*remove) (void *arg, const char *key, uint64_t expected,
                  uint64_t token);
  /// An append has ended.
  /// @param committed  true: the records are in the log and in the table;
  ///                   false: the append was given up, and the table tells
  ///                   which records are in the log
  void (*appended) (void *arg, bool committed);
  /// Reading the log has ended; the table may have changed by segments of
  /// other owners. Must not call claim_log_append.
  void (*changed) (void *arg);
};

enum claim_log_state
{
  CLAIM_LOG_CLOSED,           ///< closed, nothing is loaded
  CLAIM_LOG_REPAIRING,        ///< writes a chunk after the store lost segments
  CLAIM_LOG_LISTING,          ///< lists the keys in the store
  CLAIM_LOG_READING_CHUNKS,   ///< reads chunks
  CLAIM_LOG_READING_SEGMENTS, ///< reads the segments after them
  CLAIM_LOG_READY             ///< open; the table is up to date
};

/// A value that was read and is not applied yet.
struct claim_log_value
{
  uint8_t *bytes;
  size_t size;
  uint64_t revision;
  bool present; ///< the reply has arrived
  bool found;   ///< the key exists
};

/// A chunk in the store.
struct claim_chunk
{
  uint64_t number;
  uint64_t revision;
  uint32_t newest_s; ///< newest creation time of its keys, Unix seconds
};

/// A chunk to write, or whose write is not confirmed yet.
struct claim_chunk_write
{
  uint64_t number;
  uint32_t newest_s;
  uint8_t *bytes;
  size_t size;
};

#define CLAIM_CHUNK_WRITES (CLAIM_LOG_RING / CLAIM_CHUNK_SEGMENTS + 1)

struct claim_log
{
  const struct claim_log_ops *ops;
  void *arg;
  const struct claim_codec *codec;
  struct rng *rng;
  uint32_t partition;
  uint32_t keep_s;         ///< a claim expires this long after its creation
  uint32_t ring;           ///< CLAIM_LOG_RING; smaller in tests
  uint32_t chunk_segments; ///< CLAIM_CHUNK_SEGMENTS; smaller in tests
  struct claim_table table;
  void *arena;
  enum claim_log_state state;
  uint32_t epoch;      ///< replies to operations of earlier epochs are ignored
  uint32_t read_epoch; ///< the same for lists and reads
  uint64_t last_applied;        ///< number of the last segment applied
  bool last_applied_is_segment; ///< it was applied as a segment, not as part
                                ///< of a chunk
  uint64_t newest_chunk;        ///< newest chunk known to be in the store
  uint64_t slot_revision[CLAIM_LOG_RING]; ///< 0: no segment there
  uint64_t retry_ms; ///< no read, append or repair is sent before this time
  uint32_t failures; ///< consecutive ones
  /* Reading. */
  struct claim_log_value values[CLAIM_LOG_READ_WINDOW];
  uint64_t next_read;  ///< next chunk index or segment number to read
  uint64_t next_apply; ///< next chunk index or segment number to apply
  uint32_t window;     ///< maximum number of reads ahead of next_apply
  bool read_failed;    ///< reads start again at retry_ms
  /* Writing. */
  uint64_t append_nonce;
  uint8_t *append_bytes; ///< NULL: no append pending
  size_t append_size;
  bool append_sent;           ///< a reply is expected
  bool append_maybe_applied;  ///< an earlier send may have taken effect
  struct claim_chunk *chunks; ///< in the store, by number
  uint32_t chunk_count;
  struct claim_chunk_write writes[CLAIM_CHUNK_WRITES];
  uint32_t write_count;
  bool write_sent;
  uint64_t write_retry_ms;
  bool remove_sent;
  uint64_t remove_retry_ms;
  uint64_t verify_ms; ///< when to verify the last segment
  bool verify_sent;
};

/// @param keep_s         a claim expires this long after its creation, seconds
/// @param memory_claims  the table counts as full at this number of claims
/// @param memory_bodies  limit of bytes for outcome bodies kept in memory
void claim_log_init (struct claim_log *log, const struct claim_log_ops *ops,
                     void *arg, const struct claim_codec *codec,
                     struct rng *rng, uint32_t partition, uint32_t keep_s,
                     uint32_t memory_claims, size_t memory_bodies);
void claim_log_finish (struct claim_log *log);

/// Starts to read the log from the store, unless it is open already.
void claim_log_open (struct claim_log *log, uint64_t now_ms);

/// Reads segments of other owners. Does nothing unless the log is ready, no
/// append is in flight and the retry delay has passed.
void claim_log_refresh (struct claim_log *log, uint64_t now_ms);

/// @return true when claim_log_append may be called
bool claim_log_can_append (const struct claim_log *log, uint64_t now_ms);

/// Writes records as the next segment. The `appended` callback tells the
/// result.
/// @param records  1 to CLAIM_SEGMENT_RECORDS, copied
void claim_log_append (struct claim_log *log,
                       const struct claim_record *records, size_t count,
                       uint64_t now_ms);

/// Handles the reply to a store operation.
void claim_log_completed (struct claim_log *log, uint64_t token,
                          const struct store_reply *reply, uint64_t now_ms,
                          uint64_t wall_ms);

/// Retries failed operations, writes chunks, verifies the last segment, and
/// removes expired claims and chunks. Call every few milliseconds while the
/// log is open.
void claim_log_tick (struct claim_log *log, uint64_t now_ms, uint64_t wall_ms);

/// Closes the log: drops the table and all other state.
void claim_log_close (struct claim_log *log);

#endif
