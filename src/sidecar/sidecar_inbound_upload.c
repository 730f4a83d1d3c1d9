/// Owns no state; handles the streamed body of a request for the local target.
#include "sidecar/sidecar_inbound.h"

void
sidecar_inbound_forward (void *arg)
{
  struct sidecar_inbound *inbound = arg;
  const struct http_request *request = inbound->request;
  const char *caller = http_head_find (
      request->head, inbound->sidecar->adapter->headers.caller_service);
  if (inbound->connected)
    sidecar_upload_forward (&inbound->upload, inbound->request,
                            inbound->exchange, caller == NULL ? "" : caller);
}

void
sidecar_inbound_connected (void *arg)
{
  struct sidecar_inbound *inbound = arg;
  inbound->connected = true;
  sidecar_inbound_forward (inbound);
}

void
sidecar_inbound_body (void *arg, struct http_request *request)
{
  struct sidecar_inbound *inbound = request->context;
  if (inbound != NULL && inbound->exchange != NULL)
    sidecar_inbound_forward (inbound);
}
