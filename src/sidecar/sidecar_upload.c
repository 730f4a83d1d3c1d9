/// Stateless; the requests keep the state of their bodies.
#include "sidecar/sidecar_upload.h"

/// Bytes that are handed to a connection at once, and unsent ones up to which
/// more are handed to it. With up to 128 KiB in the request's buffer, a node
/// holds at most 256 KiB of a body.
#define PART_BYTES_MAX (64u * 1024)

void
sidecar_upload_forward (struct sidecar_upload *upload,
                        struct http_request *request,
                        struct http_exchange *exchange, const char *caller)
{
  struct evbuffer *body = request->body;
  if (!request->body_open || upload->ended)
    return;
  if (!upload->begun && !sidecar_upload_has_first_bytes (request))
    {
      http_request_read_body (request);
      return;
    }
  if (!upload->begun)
    upload->fingerprint = sidecar_crash_fingerprint (caller, request);
  upload->begun = true;
  size_t size;
  while ((size = evbuffer_get_length (body)) > 0
         && http_exchange_unsent (exchange) < PART_BYTES_MAX)
    http_exchange_write (exchange, body,
                         size < PART_BYTES_MAX ? size : PART_BYTES_MAX);
  size_t unsent = http_exchange_unsent (exchange);
  if (unsent == SIZE_MAX)
    return;
  request->handler_bytes += unsent - upload->charged;
  upload->charged = unsent;
  upload->ended = request->body_complete && size == 0;
  if (upload->ended)
    http_exchange_end_body (exchange);
  else
    http_request_read_body (request);
}

void
sidecar_upload_write_framing (struct evbuffer *bytes,
                              const struct http_request *request)
{
  const struct http_head *head = request->head;
  size_t size = evbuffer_get_length (request->body);
  if (request->streamed && head->chunked)
    evbuffer_add_printf (bytes, "Transfer-Encoding: chunked\r\n");
  else if (request->streamed)
    evbuffer_add_printf (bytes, "Content-Length: %llu\r\n",
                         (unsigned long long)head->length);
  else if (size > 0 || head->has_length || head->chunked)
    evbuffer_add_printf (bytes, "Content-Length: %zu\r\n", size);
  evbuffer_add (bytes, "\r\n", 2);
}

bool
sidecar_upload_has_first_bytes (const struct http_request *request)
{
  return request->body_complete
         || evbuffer_get_length (request->body)
                >= SIDECAR_FINGERPRINT_BYTES_MAX;
}

uint64_t
sidecar_upload_size (const struct http_request *request)
{
  if (!request->streamed)
    return evbuffer_get_length (request->body);
  return request->head->has_length ? request->head->length : request->received;
}
