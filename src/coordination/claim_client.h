/// The node that received a non-idempotent request: asks the owner of the
/// key's partition for the right to run it, and reports what became of it.
///
/// An attempt has one nonce for its whole life, so that claims that are sent
/// again are the same claim. The attempt runs at most once: only the first
/// grant before the deadline starts it. Once it is given up it never runs, and
/// only then is it released.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_CLIENT_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_CLIENT_H

#include "base/rng.h"
#include "coordination/claim_owner.h"

/// Attempts at one node, including reports that are not yet stored.
#define CLAIM_CLIENT_ATTEMPTS 8192
#define CLAIM_ATTEMPT_NONE UINT32_MAX
/// Bytes of the part of a key that follows the creation time.
#define CLAIM_KEY_RANDOM_MIN 8
#define CLAIM_KEY_MAX 160
/// A claim without answer is sent again after this time, ms; it doubles up to
/// eight times that.
#define CLAIM_RESEND_MS 200
/// An outcome that cannot be stored for this long is dropped, ms. The claim
/// then stays granted, and its key counts as spent.
#define CLAIM_REPORT_MS 240000

struct claim_client_ops
{
  void (*send_claim) (void *arg, uint32_t partition, uint64_t seq,
                      const struct claim_record *record, uint32_t deadline_ms);
  void (*send_report) (void *arg, uint32_t partition, uint64_t seq,
                       const struct claim_record *record);
  /// The final answer to an attempt, called once, never from
  /// claim_client_begin. After GRANTED the attempt must be finished; after any
  /// other verdict its handle is void.
  /// @param outcome  of RECORDED, else NULL
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
/// @param window_s    age of the oldest key that is accepted
void claim_client_init (struct claim_client *client,
                        const struct claim_client_ops *ops, void *arg,
                        struct rng *rng, uint32_t partitions,
                        uint32_t window_s);
void claim_client_finish_all (struct claim_client *client);

/// Reads the creation time of a key `<unix seconds>-<random>`.
/// @return STATUS_INVALID when the key is malformed
enum status claim_key_parse (const char *key, uint32_t *created_s);

/// Starts an attempt.
/// @param deadline_ms  time left
/// @param attempt      set to its handle
/// @return STATUS_INVALID when the key is malformed or outside the window,
///         STATUS_UNAVAILABLE when too many attempts are open; nothing was
///         sent then
enum status claim_client_begin (struct claim_client *client, const char *key,
                                uint32_t deadline_ms, uint64_t now_ms,
                                uint64_t wall_ms, uint32_t *attempt);

/// Hands in an owner's reply.
/// @param outcome  of RECORDED
void claim_client_reply (struct claim_client *client, uint64_t seq,
                         enum claim_verdict verdict,
                         const struct claim_record *outcome, uint64_t now_ms);

/// Ends an attempt that was granted, or gives up one that was not.
/// @param kind     RELEASE (it certainly never ran and never will), OUTCOME or
///                 SPENT
/// @param outcome  status and body of OUTCOME, copied
void claim_client_finish (struct claim_client *client, uint32_t attempt,
                          enum claim_record_kind kind,
                          const struct claim_record *outcome, uint64_t now_ms);

/// Sends again and ends attempts whose deadline passed. Call every few
/// milliseconds while there are attempts.
void claim_client_tick (struct claim_client *client, uint64_t now_ms);

#endif
