/// A caller's call. Internal to node_call_accept.c, which decides whether a
/// call may start, and node_call_entry.c, which carries it out.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_ENTRY_H
#define HAWTHORNSEAM_NODE_NODE_CALL_ENTRY_H

#include "node/node_call_parts.h"

/// Bytes of an answer's body that are recorded with a claim.
#define NODE_CALL_RECORD_MAX 512

struct call_entry
{
  struct call_part part; ///< first: found by the context of a request
  struct node_calls *calls;
  struct call_entry *previous;
  struct call_entry *next;
  struct call_request *request; ///< NULL when the caller has gone
  struct call_exchange *exchange;
  struct call_group *group;
  struct node_claim *claim;
  const char *service; ///< copies in the arena: the configuration may change
  const char *route;
  bool idempotent;
  uint64_t fingerprint;
  uint64_t deadline_ms;
  unsigned tries;
  bool may_have_run; ///< an earlier try ended without a certain outcome

  /* The last try. */
  uint64_t slot_id;
  uint32_t address;
  uint16_t port;
  char zone[MEMBER_NAME_MAX + 1];
  bool cold;
  uint64_t sent_us;
  uint32_t latency_us; ///< to the headers; 0 before
  int status;
  enum call_outcome outcome;
  bool outcome_known;
  bool answering; ///< the target's answer is passed on
  uint64_t crash; ///< identity of the crash that ended the try, or 0
  char reason[48];

  uint8_t record[NODE_CALL_RECORD_MAX];
  size_t record_size;
  bool record_complete;
};

/* node_call_result.c */

/// @return what the end of an exchange means for the call
enum call_end node_call_entry_end (const struct call_entry *entry,
                                   enum call_end_kind kind);

/// @return the reason that a caller is told for a call without an answer
const char *node_call_entry_reason (const struct call_entry *entry,
                                    enum call_end end);

/* node_call_entry.c */

/// Starts the first try of an accepted call.
void node_call_entry_go (struct call_entry *entry);

/// Ends a call that has no answer; the entry is released.
void node_call_entry_fail (struct call_entry *entry, int status,
                           enum call_outcome outcome, const char *reason);

/// Releases an entry that was answered.
void node_call_entry_release (struct call_entry *entry);

#endif
