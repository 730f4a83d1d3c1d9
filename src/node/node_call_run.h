/// A call at the own target. Internal to node_call_run.c, which carries it
/// out, and node_call_crash.c, which raises suspects after a crash.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_RUN_H
#define HAWTHORNSEAM_NODE_NODE_CALL_RUN_H

#include "node/node_call_parts.h"

enum run_state
{
  RUN_QUEUED,
  RUN_SENT,   ///< at the target, no headers yet
  RUN_ANSWER, ///< headers passed on
  RUN_PROBED  ///< lost; waits for the result of the probe
};

struct call_run
{
  struct call_part part; ///< first: found by the context of a request
  struct node_calls *calls;
  struct call_run *previous;
  struct call_run *next;
  struct call_request *request;
  struct call_exchange *exchange;
  struct admit_ticket ticket;
  enum run_state state;
  uint64_t fingerprint;
  uint64_t deadline_ms;
  bool suspect; ///< holds the right of suspect_begin
  bool keyed;   ///< carries an Idempotency-Key
  bool not_run; ///< the target said that it refused the request
};

#endif
