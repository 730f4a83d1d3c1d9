/// Stateless; writes the request that a node gets.
#include "sidecar/sidecar_outbound.h"

#include "protocol/call_headers.h"

#include <inttypes.h>
#include <string.h>

struct evbuffer *
sidecar_outbound_build_request (struct sidecar_outbound *outbound,
                                const struct directory_record *record,
                                uint64_t now_ms)
{
  struct sidecar *sidecar = outbound->sidecar;
  const struct adapter_headers *names = &sidecar->adapter->headers;
  const struct http_head *head = outbound->request->head;
  const char *skip[]
      = { CALL_HEADER_HOP,
          CALL_HEADER_OUTCOME,
          CALL_HEADER_REASON,
          names->deadline_ms,
          names->caller_service,
          names->expected_instance,
          "Expect",
          names->account,
          sidecar->config->accounts.required ? names->api_key : NULL,
          NULL };
  struct hop hop = {
    .retry_class = outbound->retry.retry_class,
    .rank = outbound->rank,
    .kind = outbound->kind,
    .objective_ms = outbound->objective_ms > now_ms
                        ? (uint32_t)(outbound->objective_ms - now_ms)
                        : 0,
    .is_retry = outbound->retry.runs > 0,
    .address = sidecar->settings.announced.address,
    .port = sidecar->settings.announced.port,
    .account = sidecar_account_hash (outbound->account),
    .whole_ms = sidecar_outbound_whole_ms (sidecar, now_ms),
  };
  strcpy (hop.service, outbound->service);
  strcpy (hop.version, record->entry.version);
  char hop_text[HOP_SIZE_MAX];
  hop_write (&hop, hop_text);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, "%s %s HTTP/1.1\r\n",
                       http_method_str (head->method), head->target);
  http_write_fields (bytes, head, skip);
  evbuffer_add_printf (bytes, "%s: %s\r\n%s: %" PRIu64 "\r\n%s: %s\r\n",
                       CALL_HEADER_HOP, hop_text, names->deadline_ms,
                       outbound->run_by_ms - now_ms, names->caller_service,
                       sidecar->settings.service);
  if (outbound->account != NULL)
    evbuffer_add_printf (bytes, "%s: %s\r\n", names->account,
                         outbound->account);
  if (outbound->request->streamed)
    evbuffer_add_printf (bytes, "Expect: 100-continue\r\n");
  sidecar_upload_write_framing (bytes, outbound->request);
  /* The body stays with the request for another attempt and is not copied. */
  if (!outbound->request->streamed
      && evbuffer_get_length (outbound->request->body) > 0
      && evbuffer_add_buffer_reference (bytes, outbound->request->body) != 0)
    {
      evbuffer_free (bytes);
      return NULL;
    }
  return bytes;
}
