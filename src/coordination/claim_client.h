/// Client side of claims. The node that received a non-idempotent request asks
/// the owner of the key's partition for the right to run it and reports the
/// outcome to that owner.
///
/// An attempt keeps one nonce for its whole life, so the owner recognises a
/// claim that is sent again. An attempt runs at most once: only the first
/// grant before its deadline starts it. An attempt that was given up never
/// runs, and its key is released only after it was given up.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_CLIENT_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_CLIENT_H

#include "base/rng.h"
#include "coordination/claim_owner.h"

/// Limit of attempts at one node. An attempt counts until its report is
/// stored.
#define CLAIM_CLIENT_ATTEMPTS 8192
#define CLAIM_ATTEMPT_NONE UINT32_MAX
/// Minimum length, in bytes, of the random part that follows the creation time
/// in a key.
#define CLAIM_KEY_RANDOM_MIN 8
#define CLAIM_KEY_MAX 160
/// Delay before a claim or report without reply is sent again, ms. It doubles
/// with each send, up to eight times this value.
#define CLAIM_RESEND_MS 200
/// A report that could not be stored within this time is dropped, ms. The
/// claim then stays granted, so no other attempt with this key runs.
#define CLAIM_REPORT_TIMEOUT_MS 240000

struct claim_client_ops
{
  void (*send_claim) (void *arg, uint32_t partition, uint64_t seq,
                      const struct claim_record *record, uint32_t deadline_ms);
  void (*send_report) (void *arg, uint32_t partition, uint64_t seq,
                       const struct claim_record *record);
  /// Delivers the final verdict on an attempt: once, and never from within
  /// claim_client_begin. After GRANTED the caller must end the attempt with
  /// claim_client_end; after any other verdict the handle is invalid.
  /// @param outcome  the recorded outcome for RECORDED, otherwise NULL
  void (*answer) (void *arg, uint32_t attempt, enum claim_verdict verdict,
                  const struct claim_record *outcome);
};

struct claim_attempt;

struct claim_client
{
  const struct claim_client_ops *ops;
  void *arg;
  struct rng *rng;
  uint32_t partitions;
  uint32_t window_s;
  struct claim_attempt *attempts;
  uint32_t capacity;
  uint32_t active;
  uint32_t free_hint;
};

/// @param partitions  number of partitions, at least 1
/// @param window_s    maximum age of an accepted key, seconds
void claim_client_init (struct claim_client *client,
                        const struct claim_client_ops *ops, void *arg,
                        struct rng *rng, uint32_t partitions,
                        uint32_t window_s);

/// Frees all attempts. Reports that are not stored yet are lost.
void claim_client_finish_all (struct claim_client *client);

/// Parses an idempotency key of the form `<unix seconds>-<random>`.
/// @param created_s  set to the creation time
/// @return STATUS_INVALID when the key is malformed
enum status claim_key_parse (const char *key, uint32_t *created_s);

/// Starts an attempt and sends its claim.
/// @param deadline_ms  time left for the attempt
/// @param wall_ms      wall-clock time, compared with the key's creation time
/// @param attempt      set to the handle of the attempt
/// @return STATUS_INVALID when the key is malformed or outside the window,
///         STATUS_UNAVAILABLE when too many attempts are open; nothing was
///         sent in either case
enum status claim_client_begin (struct claim_client *client, const char *key,
                                uint32_t deadline_ms, uint64_t now_ms,
                                uint64_t wall_ms, uint32_t *attempt);

/// Handles an owner's reply. Replies to unknown attempts are ignored.
/// @param seq      sequence number of the claim or report, which is its nonce
/// @param outcome  the recorded outcome for RECORDED
void claim_client_reply (struct claim_client *client, uint64_t seq,
                         enum claim_verdict verdict,
                         const struct claim_record *outcome, uint64_t now_ms);

/// Ends an attempt that was granted, or gives up one that was not, and sends
/// the report to the owner.
/// @param kind     RELEASE (the request did not run and never will), OUTCOME
///                 or OUTCOME_UNKNOWN; only RELEASE for an attempt that was
///                 not granted
/// @param outcome  HTTP status and body for OUTCOME, copied
void claim_client_end (struct claim_client *client, uint32_t handle,
                       enum claim_record_kind kind,
                       const struct claim_record *outcome, uint64_t now_ms);

/// Resends claims and reports without reply and ends attempts whose deadline
/// has passed. Call every few milliseconds while there are attempts.
void claim_client_tick (struct claim_client *client, uint64_t now_ms);

#endif
