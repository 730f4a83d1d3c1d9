/// One request at the own target, from its arrival at the node.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_RUN_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_RUN_H

#include "protocol/hop.h"
#include "sidecar/sidecar.h"

struct sidecar_run
{
  struct sidecar *sidecar;
  struct http_request *request;
  struct http_exchange *exchange; ///< NULL while it waits
  struct hop hop;
  struct gate_ticket ticket;
  struct transfer transfer; ///< of an answer that is large for the link
  const char *id;           ///< in the request's arena
  uint64_t arrived_ms;
  uint64_t deadline_ms;
  uint64_t sent_us;
  uint64_t fingerprint; ///< of the request, for crashes of the target
};

#endif
