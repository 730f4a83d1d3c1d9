/// A call that another node, or this one, routed to the own target. Internal
/// to node_call_run.c, which carries it out, and node_call_crash.c, which
/// records crash suspects after a crash.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_RUN_H
#define HAWTHORNSEAM_NODE_NODE_CALL_RUN_H

#include "node/node_call_parts.h"

enum run_state
{
  RUN_QUEUED,
  RUN_SENT,   ///< sent to the target, no response headers yet
  RUN_ANSWER, ///< response headers received
  RUN_PROBED  ///< connection lost; waits for the result of a probe
};

struct inbound_call
{
  struct call_part
      context; ///< first member: the context pointer of the request
  struct node_calls *calls;
  struct inbound_call *previous;
  struct inbound_call *next;
  struct call_request *request; ///< NULL after the caller's node disconnected
  struct call_exchange *exchange;
  struct admit_ticket ticket;
  enum run_state state;
  uint64_t fingerprint;
  uint64_t deadline_ms;
  bool suspect; ///< a crash suspect, started with suspect_begin
  bool has_key; ///< has an Idempotency-Key
  bool not_run; ///< the target reported that it refused the request
};

#endif
