/// Serves the node's view of the store to nodes that start while the store is
/// unreachable, and requests one from another node. Owns no state.
#include "sidecar/sidecar_leave.h"
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "protocol/view.h"

#include <inttypes.h>
#include <stdlib.h>

/// Interval of requests to other nodes for their view. A request without a
/// response is cancelled when the next one is sent.
#define REQUEST_INTERVAL_MS 400

enum view_format
sidecar_view_format (const struct http_request *request)
{
  const char *text = http_head_find (request->head, CALL_HEADER_VIEW_FORMAT);
  return text != NULL && atoi (text) == VIEW_SPLIT ? VIEW_SPLIT : VIEW_JSON;
}

void
sidecar_store_serve_view (struct sidecar *sidecar,
                          struct http_request *request)
{
  struct sidecar_store *store = sidecar->store;
  size_t size = 0;
  char *text = sidecar->config == NULL
                   ? NULL
                   : view_write (&store->mirror, 0, store->as_of,
                                 sidecar_view_format (request), &size);
  http_reply (request, text == NULL ? 503 : 200, NULL, text, size);
  free (text);
}

static void
on_view_head (void *arg, struct http_head *head)
{
}

static void
on_view_body (void *arg, const char *data, size_t size)
{
  struct sidecar_store *store = arg;
  evbuffer_add (store->view_body, data, size);
}

/// Applies another node's view unless a configuration is known meanwhile.
static void
on_view_end (void *arg, enum http_end end)
{
  struct sidecar_store *store = arg;
  size_t size = evbuffer_get_length (store->view_body);
  store->view_exchange = NULL;
  if (end != HTTP_END_COMPLETE || size == 0 || store->sidecar->config != NULL)
    return;
  struct mirror view;
  uint64_t as_of;
  bool full;
  mirror_init (&view);
  if (view_read ((const char *)evbuffer_pullup (store->view_body, -1), size,
                 &view, &as_of, &full)
      != STATUS_OK)
    log_event (LOG_LEVEL_WARNING, "view_refused", "reason=\"%s\"",
               status_message ());
  else
    {
      log_event (LOG_LEVEL_INFO, "view_from_peer",
                 "keys=%zu view_revision=%" PRIu64, view.count, as_of);
      for (size_t i = 0; i < view.count; i++)
        sidecar_store_apply_key (
            store, &(struct store_key){ .key = view.items[i].key,
                                        .revision = view.items[i].revision,
                                        .data = view.items[i].data,
                                        .size = view.items[i].size });
      if (store->as_of == 0 && !store->listing)
        store->as_of = as_of;
      /* The view may lack a leave that an earlier process acknowledged while
         the store was unreachable. */
      sidecar_leave_ask (store->sidecar);
    }
  mirror_finish (&view);
}

static const struct http_exchange_ops view_ops
    = { .head = on_view_head, .body = on_view_body, .end = on_view_end };

void
sidecar_store_request_view (struct sidecar *sidecar, uint32_t address,
                            uint16_t port)
{
  struct sidecar_store *store = sidecar->store;
  uint64_t now = clock_monotonic_ms ();
  if (address == 0 || store->caught_up
      || now - store->view_requested_ms < REQUEST_INTERVAL_MS)
    return;
  if (store->view_exchange != NULL)
    http_exchange_cancel (store->view_exchange);
  store->view_requested_ms = now;
  struct evbuffer *request = evbuffer_new ();
  evbuffer_add_printf (
      request,
      "GET %s HTTP/1.1\r\nHost: view\r\n" CALL_HEADER_VIEW_FORMAT
      ": %d\r\n\r\n",
      CALL_PATH_VIEW, VIEW_SPLIT);
  evbuffer_drain (store->view_body, evbuffer_get_length (store->view_body));
  struct http_send send = { .address = address,
                            .port = port,
                            .request = request,
                            .max_idle_ms = REQUEST_INTERVAL_MS,
                            .body_bytes_max = VIEW_BYTES_MAX };
  store->view_exchange
      = http_pool_send (&sidecar->peer_pool, &send, &view_ops, store);
  evbuffer_free (request);
}
