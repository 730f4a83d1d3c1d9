/// Table of the idempotency records (claims) of one partition of the keys. It
/// is rebuilt from the partition's log: the same records applied in the same
/// order give the same table.
#ifndef HAWTHORNSEAM_STATE_CLAIM_TABLE_H
#define HAWTHORNSEAM_STATE_CLAIM_TABLE_H

#include "base/hash.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Bytes of a response body that are kept with an outcome.
#define CLAIM_BODY_MAX 512
/// Seconds that a claim is kept beyond the claim window: twice
/// CLAIM_CLOCK_SKEW_S, because the clocks of the node that accepts the key and
/// of the partition's owner may differ, and so may those of two owners.
#define CLAIM_KEEP_EXTRA_S 240
/// Tolerated difference between the wall clocks of two nodes, seconds.
#define CLAIM_CLOCK_SKEW_S 120

enum claim_record_kind
{
  CLAIM_RECORD_CLAIM = 1,           ///< an attempt requests the right to run
  CLAIM_RECORD_RELEASE = 2,         ///< the attempt did not run and never will
  CLAIM_RECORD_OUTCOME = 3,         ///< the attempt ran, with this response
  CLAIM_RECORD_OUTCOME_UNKNOWN = 4, ///< the attempt may have run
  CLAIM_RECORD_FLOOR = 5 ///< refuse unknown keys created up to created_s
};

/// One record of the log. A segment of the log holds changes; a chunk holds
/// the states of keys, one record per key.
struct claim_record
{
  enum claim_record_kind kind;
  struct content_hash key; ///< hash of the idempotency key
  uint64_t nonce;          ///< identifies the attempt
  uint32_t created_s;      ///< creation time of the key, Unix seconds
  uint16_t status;         ///< HTTP status of an outcome
  bool body_complete;      ///< the body was not truncated
  uint16_t body_size;      ///< at most CLAIM_BODY_MAX
  const uint8_t *body;     ///< borrowed
};

enum claim_state
{
  CLAIM_FREE, ///< released; not granted again to the nonce that released it
  CLAIM_HELD, ///< granted to the nonce
  CLAIM_DONE, ///< the attempt ran; its outcome is recorded
  CLAIM_OUTCOME_UNKNOWN ///< the attempt may have run; no other attempt may run
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
  bool dirty; ///< changed since the last claim_table_take_dirty
};

struct claim_table
{
  struct claim *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t *index; ///< open addressing by key, UINT32_MAX when free
  uint32_t index_size;
  uint32_t sweep;        ///< index of the next item that expiry looks at
  size_t body_bytes;     ///< total size of the kept bodies
  size_t body_bytes_max; ///< further outcomes are kept without their body
  uint32_t count_max;    ///< claim_table_full from this count on
  uint32_t floor_s;      ///< unknown keys created up to this time are refused
  struct content_hash *dirty_keys; ///< see claim_table_take_dirty
  uint32_t dirty_count;
  uint32_t dirty_capacity;
};

void claim_table_init (struct claim_table *table, uint32_t count_max,
                       size_t body_bytes_max);
void claim_table_finish (struct claim_table *table);

/// @return the claim of a key, valid until the table changes, or NULL
const struct claim *claim_table_find (const struct claim_table *table,
                                      const struct content_hash *key);

/// Applies a record of a segment.
///
/// A claim is granted when the key is unknown or was released by another
/// nonce. The other kinds take effect
/// - on an unknown key: they become its state,
/// - on a held key, if they name the nonce that holds it,
/// - on a released key, unless they repeat the release.
/// An outcome also replaces the unknown outcome of its own nonce.
/// @return true when the table changed
bool claim_table_apply (struct claim_table *table,
                        const struct claim_record *record);

/// Sets the state of a key from a record of a chunk, replacing any other.
void claim_table_set (struct claim_table *table,
                      const struct claim_record *record);

/// Removes claims that were created more than keep_s seconds before now_s.
/// Each call continues where the last one stopped.
/// @param steps  largest number of claims to look at
/// @return number of claims removed
uint32_t claim_table_expire (struct claim_table *table, uint32_t now_s,
                             uint32_t keep_s, uint32_t steps);

/// @return the state of a claim as a record of a chunk; the body is borrowed
struct claim_record claim_table_record (const struct claim *claim);

/// Returns the states of the keys that changed since the last call.
/// @param arena    talloc context that owns the records; bodies are borrowed
/// @param records  set to the array of records
/// @return number of records
size_t claim_table_take_dirty (struct claim_table *table, void *arena,
                               struct claim_record **records);

/// @return true when the table holds count_max claims; claims of new keys then
///         wait at the owner
bool claim_table_full (const struct claim_table *table);

/// @return bytes of memory held, without the allocator's overhead
size_t claim_table_bytes (const struct claim_table *table);

#endif
