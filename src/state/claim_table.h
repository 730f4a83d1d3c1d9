/// Claims of one partition of idempotency keys, as the partition's log leaves
/// them. Applying the same records in the same order gives the same table.
#ifndef HAWTHORNSEAM_STATE_CLAIM_TABLE_H
#define HAWTHORNSEAM_STATE_CLAIM_TABLE_H

#include "base/hash.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Bytes of an answer's body that are kept with an outcome.
#define CLAIM_BODY_MAX 512
/// A claim is kept this much longer than the window: clocks may differ by
/// 120 s between the node that accepts the key and the owner, and again
/// between two owners.
#define CLAIM_KEEP_EXTRA_S 240
/// Accepted difference between two clocks, seconds.
#define CLAIM_CLOCK_SKEW_S 120

enum claim_record_kind
{
  CLAIM_RECORD_CLAIM = 1,   ///< an attempt asks for the right to run
  CLAIM_RECORD_RELEASE = 2, ///< the attempt never ran and never will
  CLAIM_RECORD_OUTCOME = 3, ///< the attempt ran, with this answer
  CLAIM_RECORD_SPENT = 4,   ///< the attempt may have run
  CLAIM_RECORD_FLOOR = 5    ///< unknown keys up to created_s are refused
};

/// One record of the log. In a chunk, a record is the state of its key.
struct claim_record
{
  enum claim_record_kind kind;
  struct content_hash key; ///< hash of the idempotency key
  uint64_t nonce;          ///< of the attempt
  uint32_t created_s;      ///< creation time in the key, unix seconds
  uint16_t status;         ///< HTTP status of an outcome
  bool body_complete;      ///< the body was not cut
  uint16_t body_size;      ///< at most CLAIM_BODY_MAX
  const uint8_t *body;     ///< borrowed
};

enum claim_state
{
  CLAIM_FREE, ///< released; the nonce that was released may not be granted
  CLAIM_HELD, ///< granted to the nonce
  CLAIM_DONE, ///< ran; the outcome is recorded
  CLAIM_LOST  ///< may have run; no attempt will run
};

struct claim
{
  struct content_hash key;
  uint64_t nonce;
  uint8_t *body; ///< owned by the table
  uint32_t created_s;
  uint16_t status;
  uint16_t body_size;
  uint8_t state; ///< enum claim_state
  bool body_complete;
  bool touched; ///< changed since claim_table_take_touched
};

struct claim_table
{
  struct claim *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t *index; ///< open addressing by key, UINT32_MAX when free
  uint32_t index_size;
  uint32_t sweep; ///< next item of the expiry sweep
  size_t body_bytes;
  size_t body_bytes_max; ///< outcomes past it are kept without their body
  uint32_t count_max;    ///< no further claims should be accepted past it
  uint32_t floor_s;      ///< keys created up to here are refused if unknown
  struct content_hash *touched;
  uint32_t touched_count;
  uint32_t touched_capacity;
};

void claim_table_init (struct claim_table *table, uint32_t count_max,
                       size_t body_bytes_max);
void claim_table_finish (struct claim_table *table);

/// @return the claim of a key or NULL; valid until the table changes
const struct claim *claim_table_find (const struct claim_table *table,
                                      const struct content_hash *key);

/// Applies a record of a segment.
///
/// CLAIM takes a key that is unknown, or released by another nonce. RELEASE,
/// OUTCOME and SPENT act on the nonce that holds the key; for a key that no
/// nonce holds they are kept as its state.
/// @return true when the table changed
bool claim_table_apply (struct claim_table *table,
                        const struct claim_record *record);

/// Sets the state of a key from a record of a chunk, whatever it was.
void claim_table_set (struct claim_table *table,
                      const struct claim_record *record);

/// Removes some of the claims older than now_s - keep_s.
/// @param steps  number of claims to look at
/// @return number of claims removed
uint32_t claim_table_expire (struct claim_table *table, uint32_t now_s,
                             uint32_t keep_s, uint32_t steps);

/// @return the state of a claim as a record of a chunk; the body is borrowed
struct claim_record claim_table_record (const struct claim *claim);

/// Lists the states of all keys changed since the last call.
/// @param arena    talloc context that owns the records; bodies are borrowed
/// @param records  set to the list
/// @return number of records
size_t claim_table_take_touched (struct claim_table *table, void *arena,
                                 struct claim_record **records);

/// @return true when no further keys should be accepted
bool claim_table_full (const struct claim_table *table);

/// @return bytes of memory held, without the allocator's overhead
size_t claim_table_bytes (const struct claim_table *table);

#endif
