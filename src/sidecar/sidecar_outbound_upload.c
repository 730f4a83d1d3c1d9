/// Owns no state; handles the body of a caller's request that is streamed. The
/// chosen node gets the head alone. Once it sends 100 Continue its target may
/// receive the request, which is then sent to no other node.
#include "sidecar/sidecar_outbound.h"

#include "base/log.h"
#include "protocol/call_headers.h"

static struct counter uploads
    = COUNTER ("entry_uploads", "requests whose body was streamed to a node");

static struct log_rate_limit upload_log_limit = { .per_second = 5 };

void
sidecar_outbound_proceed (void *arg)
{
  struct sidecar_outbound *outbound = arg;
  if (outbound->retry.continued)
    return;
  outbound->retry.continued = true;
  counter_add (&uploads, 1);
  log_rate_limited (&upload_log_limit, LOG_LEVEL_INFO, "upload_started",
                    "id=%s service=%s chunked=%d length=%llu offers=%u",
                    outbound->id, outbound->service,
                    outbound->request->head->chunked,
                    (unsigned long long)outbound->request->head->length,
                    outbound->retry.offers);
  sidecar_outbound_forward (outbound);
}

void
sidecar_outbound_forward (void *arg)
{
  struct sidecar_outbound *outbound = arg;
  if (outbound->exchange != NULL && outbound->retry.continued)
    sidecar_upload_forward (&outbound->upload, outbound->request,
                            outbound->exchange,
                            outbound->sidecar->settings.service);
}

void
sidecar_outbound_end_upload (struct sidecar_outbound *outbound)
{
  struct http_request *request = outbound->request;
  outbound->exchange = NULL;
  request->context = NULL;
  sidecar_outbound_release (outbound);
  http_request_close_body (request);
}

bool
sidecar_outbound_is_not_run (const struct sidecar_outbound *outbound)
{
  bool waits_for_continue
      = outbound->request->streamed && !outbound->retry.continued;
  return (outbound->not_run || waits_for_continue)
         && outbound->retry.runs == 0;
}
