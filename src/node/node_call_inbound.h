/// A call that another node, or this one, routed to the own target. Internal
/// to node_call_inbound.c, which carries it out, and node_call_crash.c, which
/// records crash suspects after a crash.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_INBOUND_H
#define HAWTHORNSEAM_NODE_NODE_CALL_INBOUND_H

#include "node/node_call_internal.h"

enum inbound_state
{
  INBOUND_QUEUED,
  INBOUND_SENT,          ///< sent to the target, no response headers yet
  INBOUND_RESPONDING,    ///< response headers received
  INBOUND_AWAITING_PROBE ///< connection lost; waits for the result of a probe
};

struct inbound_call
{
  struct call_context
      context; ///< first member: the context pointer of the request
  struct node_calls *calls;
  struct inbound_call *previous;
  struct inbound_call *next;
  struct call_request *request; ///< NULL after the caller's node disconnected
  struct call_exchange *exchange;
  struct admit_ticket ticket;
  enum inbound_state state;
  uint64_t fingerprint;
  uint64_t deadline_ms;
  bool suspect; ///< a crash suspect, started with suspect_begin
  bool has_key; ///< has an Idempotency-Key
  bool not_run; ///< the target reported that it refused the request
};

#endif
