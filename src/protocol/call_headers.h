/// Names and values of the HTTP headers between callers, nodes and targets.
#ifndef HAWTHORNSEAM_PROTOCOL_CALL_HEADERS_H
#define HAWTHORNSEAM_PROTOCOL_CALL_HEADERS_H

#include "base/status.h"
#include "coordination/admit.h"
#include "coordination/retry.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CALL_HEADER_OUTCOME "Hawthornseam-Outcome"
#define CALL_HEADER_REASON "Hawthornseam-Reason"
#define CALL_HEADER_DEADLINE "Hawthornseam-Deadline-Ms"
#define CALL_HEADER_KEY "Idempotency-Key"
#define CALL_HEADER_LOAD "Hawthornseam-Load"
#define CALL_HEADER_HOP "Hawthornseam-Hop"
#define CALL_HEADER_VERSION "Hawthornseam-Version"

/// Set to 1 by the target's node when it opened a new connection to the target
/// for the call.
#define CALL_HEADER_NEW_CONNECTION "Hawthornseam-New-Connection"

/// Id of the target crash that ended a call, sent by the target's node to the
/// node that chose the target; 16 hexadecimal digits.
#define CALL_HEADER_CRASH "Hawthornseam-Crash"

/// Prefix of the paths that a node serves itself.
#define CALL_OWN_PREFIX "/_hawthornseam/"
#define CALL_PATH_TARGET "/_hawthornseam/target"
#define CALL_PATH_DRAIN "/_hawthornseam/drain"
#define CALL_PATH_VIEW "/_hawthornseam/view"

/// Long poll for changes of a node's view; the revision is appended.
#define CALL_PATH_CHANGES "/_hawthornseam/changes?after="

/// Format (enum view_format) that a node accepts of another node's view;
/// without it VIEW_JSON.
#define CALL_HEADER_VIEW_FORMAT "Hawthornseam-View-Format"

/// Age of the view that a relay sends: time since it was known to be that of
/// the store, ms.
#define CALL_HEADER_VIEW_AGE "Hawthornseam-View-Age-Ms"
#define CALL_PATH_EVIDENCE "/_hawthornseam/evidence"

/// Leaves the notice of a leaving target with another node, and asks for it.
#define CALL_PATH_LEAVE "/_hawthornseam/leave"
#define CALL_PATH_LEAVE_ASK "/_hawthornseam/leave/ask"

/// Asks the owner of an account's quota for tokens.
#define CALL_PATH_QUOTA "/_hawthornseam/quota"

/// Longest deadline that a caller may request, ms.
#define CALL_DEADLINE_MAX_MS (10u * 60 * 1000)

/// Bytes of the value that call_hop_write gives to CALL_HEADER_HOP, including
/// the terminating zero.
#define CALL_HOP_SIZE (8 + 1 + 16 + 1 + 32 + 1)

/// Values of CALL_HEADER_REASON. Callers may print them; nodes compare them.
#define CALL_REASON_NO_ROUTE "no-route"
#define CALL_REASON_KEY_UNKNOWN "api-key-unknown"
#define CALL_REASON_QUOTA "quota-exceeded"
#define CALL_REASON_QUOTA_UNDECIDED "quota-undecided"
#define CALL_REASON_NO_TARGET "no-target"
#define CALL_REASON_NOT_READY "not-ready"
#define CALL_REASON_DRAINING "draining"
#define CALL_REASON_EVACUATED "zone-evacuated"
#define CALL_REASON_COLD "cold-target"
#define CALL_REASON_QUEUE_FULL "queue-full"
#define CALL_REASON_DEADLINE "deadline"
#define CALL_REASON_BUSY "too-many-calls"
#define CALL_REASON_NOT_CONNECTED "not-connected"
#define CALL_REASON_CONNECTION_LOST "connection-lost"
#define CALL_REASON_TIMEOUT "timeout"
#define CALL_REASON_UNFRAMED "unframed-answer"
#define CALL_REASON_CRASHED "target-crashed"
#define CALL_REASON_SUSPECT "crash-suspect"
#define CALL_REASON_SUSPECT_BUSY "crash-suspect-in-progress"
#define CALL_REASON_SHED "shed-by-target"
#define CALL_REASON_KEY_MISSING "idempotency-key-missing"
#define CALL_REASON_KEY_REFUSED "idempotency-key-refused"
#define CALL_REASON_CLAIM_TIMEOUT "claim-timeout"
#define CALL_REASON_OUTCOME_UNKNOWN "will-not-be-run-again"
#define CALL_REASON_BAD_REQUEST "bad-request"
#define CALL_REASON_RECORDED "recorded"
#define CALL_REASON_RECORDED_STATUS "recorded-status-only"
#define CALL_REASON_HOP "hop-refused"

/// @return "ran", "not-run" or "unknown"
const char *call_outcome_name (enum call_outcome outcome);

/// Parses the name of an outcome.
/// @return STATUS_INVALID for other text or NULL
enum status call_outcome_parse (const char *text, enum call_outcome *outcome);

/// @return the reason to send when admission refuses a call
const char *call_refusal_reason (enum admit_refusal refusal);

/// Parses a deadline in decimal milliseconds.
/// @param text         value of the header; NULL: no header
/// @param fallback_ms  used when there is no header
/// @param left_ms      set to the deadline, at most CALL_DEADLINE_MAX_MS
/// @return STATUS_INVALID when the text is not a number
enum status call_deadline_parse (const char *text, uint32_t fallback_ms,
                                 uint32_t *left_ms);

/// Parses "IN_USE/SLOTS", two decimal numbers.
/// @return STATUS_INVALID for anything else
enum status call_load_parse (const char *text, uint32_t *in_use,
                             uint32_t *slots);

/// Parses 16 hexadecimal digits.
/// @return STATUS_INVALID for anything else, and for 0
enum status call_crash_parse (const char *text, uint64_t *crash);

/// @return true for headers that must not be forwarded: hop-by-hop headers of
/// HTTP, headers of this system, and framing, which each sender writes itself
bool call_header_is_hop_by_hop (const char *name);

/// @param connection  value of a Connection header or NULL
/// @return true when the value lists the header `name`
bool call_header_is_listed (const char *connection, const char *name);

/// What the hop header authenticates: another node of the mesh routed exactly
/// this request to exactly this node. Without it a caller could send a request
/// to a target directly and bypass the claim of its idempotency key.
struct call_hop
{
  uint64_t destination_slot;
  const char *method;
  const char *uri;
  const char *key; ///< Idempotency-Key or NULL
};

/// Writes "<key id> <slot> <code>" in hexadecimal; the code is a BLAKE2b-128
/// MAC of the hop.
/// @param key_id  id of the mesh key `key`
void call_hop_write (const struct call_hop *hop, uint32_t key_id,
                     const uint8_t key[32], char text[CALL_HOP_SIZE]);

/// Parses the key id of a hop header.
/// @return STATUS_INVALID when the text is malformed
enum status call_hop_key_id (const char *text, uint32_t *key_id);

/// @return true when the text equals what call_hop_write gives for the same
/// arguments; compared in constant time
bool call_hop_check (const char *text, const struct call_hop *hop,
                     uint32_t key_id, const uint8_t key[32]);

#endif
