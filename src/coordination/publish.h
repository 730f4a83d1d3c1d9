/// Writes one new configuration version: an immutable record first, then a
/// compare-and-swap on the head. The outcome is never guessed: a lost answer
/// is resolved by repeating the identical compare-and-swap.
#ifndef HAWTHORNSEAM_COORDINATION_PUBLISH_H
#define HAWTHORNSEAM_COORDINATION_PUBLISH_H

#include "base/hash.h"
#include "base/rng.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// One accepted version as the head lists it.
struct publish_entry
{
  uint64_t version;
  uint64_t nonce;
};

/// What the store says of the head; revision 0 when there is none yet.
struct publish_head
{
  uint64_t revision;
  uint64_t version;
  struct content_hash hash;
  const struct publish_entry *recent; ///< newest versions, any order
  size_t recent_count;
};

/// What the owner of the attempt has to do next.
enum publish_action
{
  PUBLISH_READ_HEAD,    ///< get the head, then publish_head_read
  PUBLISH_WRITE_RECORD, ///< create record and snapshot, publish_record_written
  PUBLISH_WRITE_HEAD,   ///< compare-and-swap, then publish_head_written
  PUBLISH_FINISHED      ///< publish.result holds the outcome
};

struct publish
{
  uint64_t nonce;
  uint64_t base_version; ///< version that the change is based on
  struct content_hash base_hash;
  uint64_t held_version;  ///< version in force at the writer
  uint64_t head_revision; ///< revision that the compare-and-swap expects
  uint64_t deadline_ms;
  enum publish_action action;
  uint32_t attempts;    ///< failed tries since the last progress
  bool head_uncertain;  ///< a compare-and-swap was sent without an answer
  enum status result;   ///< once finished
  uint64_t new_version; ///< accepted version, or the newest on conflict
};

/// Starts an attempt; its first action is PUBLISH_READ_HEAD.
/// @param nonce         identifies the attempt; the same nonce asked again
///                      finds the first outcome
/// @param held_version  version in force at the writer, so that a store that
///                      returned with an older head is not extended
/// @param deadline_ms   monotonic time after which the attempt ends
void publish_init (struct publish *publish, uint64_t nonce,
                   uint64_t base_version, const struct content_hash *base_hash,
                   uint64_t held_version, uint64_t deadline_ms);

/// Handles the answer to the read of the head.
/// @param status  STATUS_OK, STATUS_NOT_FOUND (no head yet) or a failure
void publish_head_read (struct publish *publish, enum status status,
                        const struct publish_head *head, uint64_t now_ms);

/// Handles the answer to the creation of the record. STATUS_CONFLICT means
/// that an earlier try created it, because its key contains the nonce.
void publish_record_written (struct publish *publish, enum status status,
                             uint64_t now_ms);

/// Handles the answer to the compare-and-swap.
/// @param head  the current head when status is STATUS_CONFLICT
void publish_head_written (struct publish *publish, enum status status,
                           const struct publish_head *head, uint64_t now_ms);

/// @return milliseconds to wait before the next action, 0 after progress, else
/// full jitter of at most 1.6 s
uint64_t publish_delay_ms (const struct publish *publish, struct rng *rng);

#endif
