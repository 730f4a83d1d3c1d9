/// Owner side of claims, for one partition: collects requests of clients,
/// commits them to the log in batches, and replies from the table that results
/// from the log.
///
/// Why a request runs at most once: the log assigns a key to at most one
/// attempt nonce at a time, and frees it only on a record that the client of
/// that attempt writes after it decided never to run the request. GRANTED is
/// sent only for a nonce that holds the key in the table, and the table
/// changes only by segments that are in the store. Therefore
/// - two owners, or one that was paused, reply from prefixes of the same log;
///   an old prefix may name an attempt that was released since, but then its
///   client has given up and does not run the request;
/// - a duplicate or late message carries the same nonce and finds the same
///   state; a late claim of a released attempt is refused or, at worst,
///   granted to a client that has given up, after which the key cannot be used
///   again;
/// - a late write of a segment fails on its revision (claim_log.h);
/// - a caller's retry through another node has another nonce, so it waits or
///   gets the recorded outcome;
/// - a claim expires at its creation time + window + 240 s, but owners refuse
///   keys older than window + 120 s. With clocks that differ by up to 120 s,
///   no owner accepts a key that has expired at another one.
#ifndef HAWTHORNSEAM_COORDINATION_CLAIM_OWNER_H
#define HAWTHORNSEAM_COORDINATION_CLAIM_OWNER_H

#include "coordination/claim_log.h"

/// Time over which records are batched into one segment, ms.
#define CLAIM_COMMIT_MS 50
/// Limit of pending requests at an owner. Requests past it are dropped; their
/// clients send them again.
#define CLAIM_OWNER_REQUESTS 4096
/// Limit of reports (releases, outcomes, unknown outcomes) among them. Reports
/// have no deadline and accumulate while the store is unavailable; the rest of
/// the queue stays free for claims.
#define CLAIM_OWNER_REPORTS (CLAIM_OWNER_REQUESTS / 2)
/// While a claim waits for another attempt, the log is read at this interval
/// for segments of other owners, ms.
#define CLAIM_OWNER_REFRESH_MS 250

/// Replies of an owner. The values are sent on the wire.
enum claim_verdict
{
  CLAIM_VERDICT_GRANTED = 0,
  CLAIM_VERDICT_RECORDED = 1,        ///< ran before; comes with the outcome
  CLAIM_VERDICT_OUTCOME_UNKNOWN = 2, ///< may have run; must not run again
  CLAIM_VERDICT_KEY_REFUSED = 3, ///< outside the window, or below the floor
  CLAIM_VERDICT_TIMED_OUT = 4,   ///< set by the client, never by an owner
  CLAIM_VERDICT_WAIT = 5,        ///< another attempt holds the key; not final
  CLAIM_VERDICT_STORED = 6,      ///< the report is in the log
  CLAIM_VERDICT_NOT_OWNER = 7    ///< this node is not the owner; resend
};

struct claim_owner_ops
{
  void (*get) (void *arg, const char *key, uint64_t token);
  void (*list) (void *arg, const char *prefix, uint64_t token);
  void (*put) (void *arg, const char *key, uint64_t expected,
               const uint8_t *bytes, size_t size, uint64_t token);
  void (*remove) (void *arg, const char *key, uint64_t expected,
                  uint64_t token);
  /// Replies to a client.
  /// @param claim  holds the recorded outcome for RECORDED, otherwise NULL
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
  uint32_t report_count;    ///< reports among the requests
  uint64_t commit_ms;       ///< when to write the next batch; 0: not scheduled
  uint64_t refresh_ms;      ///< when to look for segments of other owners
  uint64_t last_request_ms; ///< time of the last request
};

/// @param window_s  maximum age of a key, seconds; owners accept keys
///                  CLAIM_CLOCK_SKEW_S older than that
/// @param rng       must outlive the owner
void claim_owner_init (struct claim_owner *owner,
                       const struct claim_owner_ops *ops, void *arg,
                       const struct claim_codec *codec, struct rng *rng,
                       uint32_t partition, uint32_t window_s);
void claim_owner_finish (struct claim_owner *owner);

/// Handles a claim. The `reply` operation may be called before this returns.
/// @param record       kind CLAIM_RECORD_CLAIM
/// @param deadline_ms  time left for the attempt
void claim_owner_claim (struct claim_owner *owner, uint64_t from_slot,
                        uint64_t seq, const struct claim_record *record,
                        uint32_t deadline_ms, uint64_t now_ms,
                        uint64_t wall_ms);

/// Handles a report: a release, an outcome or an unknown outcome. Replies
/// STORED once it is in the log.
void claim_owner_report (struct claim_owner *owner, uint64_t from_slot,
                         uint64_t seq, const struct claim_record *record,
                         uint64_t now_ms);

/// Handles the reply to a store operation.
void claim_owner_completed (struct claim_owner *owner, uint64_t token,
                            const struct store_reply *reply, uint64_t now_ms,
                            uint64_t wall_ms);

/// Commits batches, retries store operations and expires claims. Call every
/// few milliseconds while claim_owner_active returns true.
void claim_owner_tick (struct claim_owner *owner, uint64_t now_ms,
                       uint64_t wall_ms);

/// @return true when the log is open or requests are pending
bool claim_owner_active (const struct claim_owner *owner);

/// Frees the table of a partition that this node no longer owns. Does nothing
/// while requests are pending or an append is in flight.
void claim_owner_retire (struct claim_owner *owner);

#endif
