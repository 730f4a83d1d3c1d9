/// The owner of a partition of claims: collects what clients ask for, commits
/// it in groups, and answers from the table that the log leaves.
///
/// Why a request runs at most once: the log gives a key to at most one attempt
/// nonce at a time, and takes it back only on a record that the attempt's own
/// client writes after it decided never to run it. GRANTED is sent only for a
/// nonce that holds the key in the table, and the table changes only by
/// segments that are in the store. So
/// - two owners, or one that was paused, answer from prefixes of the same log;
///   an old prefix may name an attempt that was released since, but then its
///   client has given up and does not run it;
/// - a message that is repeated or late carries the same nonce and finds the
///   same state; a late claim of a released attempt is refused or, at worst,
///   granted to a client that has given up, which spends the key;
/// - a late write of a segment fails on its revision (claim_log.h);
/// - a caller's resend through another node has another nonce, and waits, or
///   gets the recorded outcome;
/// - a claim is forgotten at its creation time + window + 240 s, but owners
///   refuse keys after window + 120 s, so with clocks that differ by up to
///   120 s no owner accepts a key that another one may have forgotten.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_OWNER_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_OWNER_H

#include "coordination/claim_log.h"

/// Time for which records are collected before they are written, ms.
#define CLAIM_COMMIT_MS 50
/// Requests that wait at an owner; further ones are dropped and sent again by
/// their clients.
#define CLAIM_OWNER_REQUESTS 4096
/// Releases and outcomes among them. They have no deadline and pile up while
/// the store is out; claims must still find room after it.
#define CLAIM_OWNER_REPORTS (CLAIM_OWNER_REQUESTS / 2)
/// While a request waits for another attempt, the log is read this often to
/// see what another owner wrote, ms.
#define CLAIM_OWNER_REFRESH_MS 250

/// Answers of an owner; numbers are those on the wire.
enum claim_verdict
{
  CLAIM_VERDICT_GRANTED = 0,
  CLAIM_VERDICT_RECORDED = 1,    ///< ran before; with the outcome
  CLAIM_VERDICT_SPENT = 2,       ///< may have run; will not run again
  CLAIM_VERDICT_KEY_REFUSED = 3, ///< outside the window
  CLAIM_VERDICT_TIMED_OUT = 4,   ///< decided by the client only
  CLAIM_VERDICT_WAIT = 5,   ///< another attempt holds the key; no final answer
  CLAIM_VERDICT_STORED = 6, ///< a release or outcome is in the log
  CLAIM_VERDICT_ELSEWHERE = 7 ///< this node is not the owner; ask again
};

struct claim_owner_ops
{
  void (*get) (void *arg, const char *key, uint64_t token);
  void (*list) (void *arg, const char *prefix, uint64_t token);
  void (*put) (void *arg, const char *key, uint64_t expected,
               const uint8_t *bytes, size_t size, uint64_t token);
  void (*remove) (void *arg, const char *key, uint64_t expected,
                  uint64_t token);
  /// @param claim  the recorded outcome of RECORDED, else NULL
  void (*reply) (void *arg, uint64_t to_slot, uint64_t seq,
                 enum claim_verdict verdict, const struct claim *claim);
};

struct claim_request;

struct claim_owner
{
  const struct claim_owner_ops *ops;
  void *arg;
  struct claim_log log;
  uint32_t window_s;
  void *arena;
  struct claim_request **requests; ///< in order of arrival
  uint32_t request_count;
  uint32_t report_count; ///< of them
  uint64_t commit_ms;    ///< when to write the waiting records; 0: none wait
  uint64_t refresh_ms;   ///< when to look for segments of other owners
  uint64_t used_ms;      ///< time of the last request
};

/// @param window_s  keys older than this are refused
/// @param rng       must outlive the owner
void claim_owner_init (struct claim_owner *owner,
                       const struct claim_owner_ops *ops, void *arg,
                       const struct claim_codec *codec, struct rng *rng,
                       uint32_t partition, uint32_t window_s);
void claim_owner_finish (struct claim_owner *owner);

/// Takes a claim. The answer is given by `reply`, possibly at once.
/// @param record       kind CLAIM_RECORD_CLAIM
/// @param deadline_ms  time left to its client
void claim_owner_claim (struct claim_owner *owner, uint64_t from_slot,
                        uint64_t seq, const struct claim_record *record,
                        uint32_t deadline_ms, uint64_t now_ms,
                        uint64_t wall_ms);

/// Takes a release, an outcome or a spent attempt; STORED is replied when it
/// is in the log.
void claim_owner_report (struct claim_owner *owner, uint64_t from_slot,
                         uint64_t seq, const struct claim_record *record,
                         uint64_t now_ms);

/// Hands in the answer to a store operation.
void claim_owner_completed (struct claim_owner *owner, uint64_t token,
                            const struct store_reply *reply, uint64_t now_ms,
                            uint64_t wall_ms);

/// Commits, retries and expires. Call every few milliseconds while active.
void claim_owner_tick (struct claim_owner *owner, uint64_t now_ms,
                       uint64_t wall_ms);

/// @return true when the owner holds a table or requests
bool claim_owner_active (const struct claim_owner *owner);

/// Frees the table of a partition that this node does not own any more, once
/// no request waits.
void claim_owner_retire (struct claim_owner *owner);

#endif
