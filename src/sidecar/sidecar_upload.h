/// Forwards the body of a streamed request: from the caller to the target's
/// node at the entry node, and from there to the target.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_UPLOAD_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_UPLOAD_H

#include "sidecar/sidecar.h"

/// State of one body; its request has `streamed` set.
struct sidecar_upload
{
  uint64_t fingerprint; ///< in crash records, from the first bytes; 0: unknown
  size_t charged;       ///< part of the request's handler_bytes
  bool begun;           ///< the first bytes were sent
  bool ended;           ///< the last byte was sent
};

/// Sends what has arrived, as far as the receiver takes it, and reads more.
/// Called when bytes have arrived, when bytes were sent, and at the start.
/// @param caller  service on whose VM the request originated
void sidecar_upload_forward (struct sidecar_upload *upload,
                             struct http_request *request,
                             struct http_exchange *exchange,
                             const char *caller);

/// Appends the fields that frame the body of a request, and the empty line.
void sidecar_upload_write_framing (struct evbuffer *bytes,
                                   const struct http_request *request);

/// @return true when enough of a body has arrived for its fingerprint
bool sidecar_upload_has_first_bytes (const struct http_request *request);

/// @return size of the body as far as known, bytes
uint64_t sidecar_upload_size (const struct http_request *request);

#endif
