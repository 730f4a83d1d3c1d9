/// A call that entered the mesh at this node. Internal to node_call_accept.c,
/// which accepts or refuses it, node_call_outbound.c, which carries it out,
/// and node_call_result.c, which classifies the end of its attempts.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_OUTBOUND_H
#define HAWTHORNSEAM_NODE_NODE_CALL_OUTBOUND_H

#include "node/node_call_internal.h"

/// Bytes of a response body that are recorded with a claim.
#define NODE_CALL_RECORD_BYTES_MAX 512

struct outbound_call
{
  struct call_context
      context; ///< first member: the context pointer of the request
  struct node_calls *calls;
  struct outbound_call *previous;
  struct outbound_call *next;
  struct call_request *request; ///< NULL after the caller has disconnected
  struct call_exchange *exchange;
  struct target_group *group;
  struct node_claim *claim;
  const char *service; ///< copied, because the configuration may change
  const char *route;   ///< copied, as service
  bool idempotent;
  uint64_t fingerprint;
  uint64_t deadline_ms;
  unsigned attempts; ///< attempts sent so far
  bool may_have_run; ///< an earlier attempt ended with an unknown outcome

  /* The last attempt. */
  uint64_t slot_id;
  uint32_t address;
  uint16_t port;
  char zone[MEMBER_NAME_MAX + 1];
  bool cold; ///< new target or new connection: slower than usual
  uint64_t sent_us;
  uint32_t latency_us; ///< until the response headers; 0 before they arrive
  int status;
  enum call_outcome outcome;
  bool outcome_known;
  bool forwarding; ///< the target's response is being forwarded
  uint64_t crash;  ///< id of the crash that ended the attempt, or 0
  char reason[48];

  /* Start of the response body, recorded with the claim. */
  uint8_t record[NODE_CALL_RECORD_BYTES_MAX];
  size_t record_size;
  bool record_complete; ///< the whole body so far is in record
};

/* node_call_result.c */

/// @return how the attempt ended, given how its HTTP exchange ended
enum call_end node_call_outbound_attempt_end (const struct outbound_call *call,
                                              enum call_exchange_end kind);

/// @return value of CALL_HEADER_REASON for a call without a response of the
///         target
const char *node_call_outbound_reason (const struct outbound_call *call,
                                       enum call_end end);

/* node_call_outbound.c */

/// Starts the first attempt of an accepted call.
void node_call_outbound_send (struct outbound_call *call);

/// Responds to a call that got no response of a target, and frees it.
void node_call_outbound_fail (struct outbound_call *call, int status,
                              enum call_outcome outcome, const char *reason);

/// Frees a call without responding to its request.
void node_call_outbound_free (struct outbound_call *call);

#endif
