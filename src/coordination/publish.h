/// Writes one new configuration version to the store: first an immutable
/// record, then a compare-and-swap on the head. When a reply is lost, the
/// identical compare-and-swap is repeated, so that the reported outcome is the
/// one that the store confirms.
#ifndef HAWTHORNSEAM_COORDINATION_PUBLISH_H
#define HAWTHORNSEAM_COORDINATION_PUBLISH_H

#include "base/hash.h"
#include "base/rng.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// An accepted version in the list of the head.
struct publish_entry
{
  uint64_t version;
  uint64_t nonce;
};

/// The head as read from the store; revision 0 when there is none yet.
struct publish_head
{
  uint64_t revision;
  uint64_t version;
  struct content_hash hash;
  const struct publish_entry *recent; ///< newest versions, in any order
  size_t recent_count;
};

/// What the caller has to do next.
enum publish_action
{
  PUBLISH_READ_HEAD,    ///< get the head, then call publish_head_read
  PUBLISH_WRITE_RECORD, ///< create the snapshot, if one is due, and the
                        ///< record, then call publish_record_written
  PUBLISH_WRITE_HEAD,   ///< compare-and-swap, then call publish_head_written
  PUBLISH_FINISHED      ///< the outcome is in publish.result
};

struct publish
{
  uint64_t nonce;        ///< identifies the attempt
  uint64_t base_version; ///< version that the change is based on
  struct content_hash base_hash;
  uint64_t held_version;  ///< version in force at the writer
  uint64_t head_revision; ///< revision that the compare-and-swap expects
  uint64_t deadline_ms;
  enum publish_action action;
  uint32_t attempts;    ///< failed tries of the current action
  bool head_uncertain;  ///< a compare-and-swap without a reply may have taken
                        ///< effect
  enum status result;   ///< valid for PUBLISH_FINISHED
  uint64_t new_version; ///< accepted version; when refused, the version of the
                        ///< head, or 0 if it was not read
};

/// Starts an attempt; its first action is PUBLISH_READ_HEAD.
/// @param nonce         identifies the attempt; a repeated attempt with the
///                      same nonce gets the outcome of the first one
/// @param held_version  version in force at the writer; an older head is
///                      refused, since the store must have lost versions
/// @param deadline_ms   monotonic time after which the attempt ends
void publish_init (struct publish *publish, uint64_t nonce,
                   uint64_t base_version, const struct content_hash *base_hash,
                   uint64_t held_version, uint64_t deadline_ms);

/// Handles the reply to the read of the head.
/// @param status  STATUS_OK, STATUS_NOT_FOUND (no head yet) or an error
void publish_head_read (struct publish *publish, enum status status,
                        const struct publish_head *head, uint64_t now_ms);

/// Handles the reply to the creation of the record. STATUS_CONFLICT means
/// that an earlier try has created it, because its key contains the nonce.
void publish_record_written (struct publish *publish, enum status status,
                             uint64_t now_ms);

/// Handles the reply to the compare-and-swap.
/// @param head  the current head when status is STATUS_CONFLICT
void publish_head_written (struct publish *publish, enum status status,
                           const struct publish_head *head, uint64_t now_ms);

/// @return milliseconds to wait before the next action: 0 for the first try of
///         an action, else a random delay (full jitter) of at most 1.6 s
uint64_t publish_delay_ms (const struct publish *publish, struct rng *rng);

#endif
