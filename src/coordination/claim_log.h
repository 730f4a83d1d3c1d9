/// The log of one partition of claims in the store: numbered segments, chunks
/// that each replace 64 of them, and the table that results. It owns the
/// position in the log and the writes in flight.
///
/// Segment n is kept under `claims/<p>/<n mod CLAIM_LOG_RING>` and is written
/// by compare-and-swap against the revision of segment n - CLAIM_LOG_RING,
/// which is in a chunk by then. Keys of segments are never deleted, so a
/// create that arrives late can never succeed at a number that was used and
/// removed again: revisions are not used twice. Segments are thus written
/// once per number and in order, by whichever owner comes first.
///
/// Chunk k is kept under `claims/<p>/chunk/<k>` and holds the states, after
/// segment 64 k, of the keys changed by segments 64 (k - 1) + 1 to 64 k. It is
/// a function of the log, so it does not matter which owner writes it. A
/// segment is overwritten only after its chunk is known to exist, so a reader
/// that lists the keys finds each record in a chunk or in a segment; if the
/// log moves on while it reads, it sees a higher number and starts again.
///
/// If the store goes back to older content, the owner notices within
/// CLAIM_LOG_VERIFY_MS that its last segment is gone, and repairs the log: it
/// writes a chunk past all numbers used so far, with the newest claims that it
/// knows and a floor. Keys up to the floor that are not known are refused from
/// then on. If the owner fails before that, the lost claims are not known to
/// anyone and their keys can be claimed again.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_LOG_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_LOG_H

#include "base/rng.h"
#include "coordination/store.h"
#include "state/claim_table.h"

/// Segments kept in the store; a multiple of CLAIM_CHUNK_SEGMENTS.
#define CLAIM_LOG_RING 256
/// Segments merged into one chunk.
#define CLAIM_CHUNK_SEGMENTS 64
/// Records of one segment: 64 segments of them fit into one value without
/// their bodies (64 x 256 x 40 bytes = 640 KiB).
#define CLAIM_SEGMENT_RECORDS 256
/// Records of one chunk, one more than 64 segments for the floor.
#define CLAIM_CHUNK_RECORDS (CLAIM_CHUNK_SEGMENTS * CLAIM_SEGMENT_RECORDS + 1)
/// Bytes of a chunk past which bodies of outcomes are left out.
#define CLAIM_CHUNK_BYTES (900 * 1024)
/// A log that is open is compared with the store this often, ms.
#define CLAIM_LOG_VERIFY_MS 1000
/// Values read at the same time during a takeover.
#define CLAIM_LOG_WINDOW 16
#define CLAIM_LOG_KEY_MAX 48

/// Content of one value in the store.
struct claim_segment
{
  bool chunk;
  uint32_t partition;
  uint64_t number;
  uint64_t nonce; ///< of the write; 0 in a chunk
  struct claim_record *records;
  size_t count;
};

/// Encoding of segments; the protocol layer provides it.
struct claim_codec
{
  enum status (*encode) (const struct claim_segment *segment, void *arena,
                         uint8_t **bytes, size_t *size);
  /// Bodies of the records point into `bytes`.
  enum status (*decode) (const uint8_t *bytes, size_t size, void *arena,
                         struct claim_segment *segment);
};

/// Actions of the log. Each store operation is answered by
/// claim_log_completed with its token.
struct claim_log_ops
{
  void (*get) (void *arg, const char *key, uint64_t token);
  void (*list) (void *arg, const char *prefix, uint64_t token);
  void (*put) (void *arg, const char *key, uint64_t expected,
               const uint8_t *bytes, size_t size, uint64_t token);
  void (*remove) (void *arg, const char *key, uint64_t expected,
                  uint64_t token);
  /// The records given to claim_log_append are in the log and the table
  /// (committed), or that append is given up; the table then tells what the
  /// log holds.
  void (*appended) (void *arg, bool committed);
  /// The log became readable or segments of another owner were applied. Must
  /// not append.
  void (*changed) (void *arg);
};

enum claim_log_state
{
  CLAIM_LOG_COLD,
  CLAIM_LOG_REPAIRING, ///< writes the chunk that follows a lost part
  CLAIM_LOG_LISTING,
  CLAIM_LOG_CHUNKS,
  CLAIM_LOG_SEGMENTS,
  CLAIM_LOG_READY
};

struct claim_log_part
{
  uint8_t *bytes;
  size_t size;
  uint64_t revision;
  bool present; ///< an answer is here
  bool found;   ///< the key exists
};

struct claim_chunk
{
  uint64_t number;
  uint64_t revision;
  uint32_t newest_s; ///< newest creation time of a key in it
};

/// A chunk that is not yet known to be in the store.
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
  uint32_t keep_s;         ///< time that a claim is kept after its creation
  uint32_t ring;           ///< CLAIM_LOG_RING; smaller in tests
  uint32_t chunk_segments; ///< CLAIM_CHUNK_SEGMENTS; smaller in tests
  struct claim_table table;
  void *arena;
  enum claim_log_state state;
  uint32_t epoch;      ///< answers to writes of earlier epochs are ignored
  uint32_t read_epoch; ///< the same for reads
  uint64_t tip;        ///< last segment applied
  bool tip_read;       ///< the tip is a segment, not the end of a chunk
  uint64_t chunk_high; ///< newest chunk known to be in the store
  uint64_t slot_revision[CLAIM_LOG_RING];
  uint64_t retry_ms; ///< nothing is sent before this time
  uint32_t failures; ///< in a row
  /* Reading. */
  struct claim_log_part parts[CLAIM_LOG_WINDOW];
  uint64_t next_read;  ///< next chunk index or segment number to ask for
  uint64_t next_apply; ///< next one to apply
  uint32_t window;
  bool read_failed; ///< reads start again at retry_ms
  /* Writing. */
  uint64_t append_nonce;
  uint8_t *append_bytes; ///< NULL: no append
  size_t append_size;
  bool append_sent;           ///< waiting for an answer
  bool append_may_act;        ///< an earlier copy may have taken effect
  struct claim_chunk *chunks; ///< in the store, by number
  uint32_t chunk_count;
  struct claim_chunk_write writes[CLAIM_CHUNK_WRITES];
  uint32_t write_count;
  bool write_sent;
  uint64_t write_retry_ms;
  bool remove_sent;
  uint64_t remove_retry_ms;
  uint64_t verify_ms; ///< when to look at the last segment
  bool verify_sent;
};

/// @param memory_claims  claims past which the log should take no new ones
/// @param memory_bodies  bytes of recorded bodies kept in memory
void claim_log_init (struct claim_log *log, const struct claim_log_ops *ops,
                     void *arg, const struct claim_codec *codec,
                     struct rng *rng, uint32_t partition, uint32_t keep_s,
                     uint32_t memory_claims, size_t memory_bodies);
void claim_log_finish (struct claim_log *log);

/// Starts to read the log from the store if it is cold.
void claim_log_open (struct claim_log *log, uint64_t now_ms);

/// Looks for segments of another owner, unless something is in flight.
void claim_log_refresh (struct claim_log *log, uint64_t now_ms);

/// @return true when claim_log_append may be called
bool claim_log_can_append (const struct claim_log *log, uint64_t now_ms);

/// Writes records as the next segment; `appended` is called later.
/// @param records  1 to CLAIM_SEGMENT_RECORDS, copied
void claim_log_append (struct claim_log *log,
                       const struct claim_record *records, size_t count,
                       uint64_t now_ms);

/// Hands in the answer to a store operation.
void claim_log_completed (struct claim_log *log, uint64_t token,
                          const struct store_reply *reply, uint64_t now_ms,
                          uint64_t wall_ms);

/// Retries, writes chunks, removes expired ones. Call every few milliseconds
/// while the log is open.
void claim_log_tick (struct claim_log *log, uint64_t now_ms, uint64_t wall_ms);

/// Drops the table and all state; the log is cold again.
void claim_log_close (struct claim_log *log);

#endif
