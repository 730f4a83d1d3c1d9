/// One request for the local target, from its arrival at this node to the end
/// of the response.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_INBOUND_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_INBOUND_H

#include "protocol/hop.h"
#include "sidecar/sidecar_upload.h"

struct sidecar_inbound
{
  struct sidecar *sidecar;
  struct http_request *request;
  struct http_exchange *exchange; ///< NULL unless sent to the target
  struct hop hop;
  struct admission_queue_ticket ticket;
  struct transfer transfer;     ///< of a response that is large for the link
  struct evbuffer *held_fields; ///< header fields of a response that is held
                                ///< back, or NULL
  struct evbuffer *held_body;   ///< what has arrived of its body
  unsigned held_status;
  const char *id; ///< in the request's arena
  uint64_t arrived_ms;
  uint64_t deadline_ms;
  uint64_t whole_by_ms;    ///< when the sender needs the whole response
  uint64_t sent_us;        ///< when it was sent to the target
  uint64_t speed_integral; ///< target_speed_integral at that time
  bool not_run; ///< the target states that it did not execute the request
  struct sidecar_upload upload; ///< of a streamed body
  bool streamed;                ///< the request's body is streamed
  bool connected;               ///< its body is forwarded
  bool answered;                ///< the response is complete; the rest of the
                                ///< body is still forwarded
  uint64_t fingerprint;         ///< identifies the request in crash records
};

/// @return a reason why the local target must not receive a request, or NULL
const char *sidecar_inbound_refusal (const struct sidecar *sidecar,
                                     const struct hop *hop, uint64_t now_ms);

/* sidecar_inbound_upload.c */

/// Forwards what has arrived of a streamed body.
void sidecar_inbound_forward (void *arg);

/// The target can take the body: the sending node gets 100 Continue.
void sidecar_inbound_connected (void *arg);

/// More of a streamed body has arrived.
void sidecar_inbound_body (void *arg, struct http_request *request);

#endif
