/// Owns the reports on quotas to other nodes. One is under way to each node;
/// what is needed meanwhile goes into the next one.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "transport/timer.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static struct counter messages
    = COUNTER ("quota_messages", "reports to other nodes that own quotas");
static struct counter message_bytes
    = COUNTER ("quota_message_bytes", "bytes of these messages' bodies");
static struct counter failures
    = COUNTER ("quota_failures", "such messages without a valid response");

static struct log_rate_limit failure_log_limit = { .per_second = 5 };

static void send_queued (struct sidecar *sidecar, struct quota_peer *peer);

struct quota_peer *
sidecar_quota_peer (struct sidecar *sidecar, size_t handle)
{
  struct sidecar_quota *quota = sidecar->quota;
  const struct directory_record *record = &sidecar->directory.records[handle];
  for (struct quota_peer *peer = quota->peers; peer != NULL; peer = peer->next)
    if (peer->serial == record->serial)
      return peer;
  struct quota_peer *peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return NULL;
  peer->handle = handle;
  peer->serial = record->serial;
  peer->call.sidecar = sidecar;
  peer->call.peer = peer;
  peer->call.body = evbuffer_new ();
  peer->next = quota->peers;
  quota->peers = peer;
  return peer;
}

/// @return false when the list is full or without memory
static bool
append (struct quota_list *list, struct quota_account *account)
{
  if (list->count == QUOTA_MESSAGE_ACCOUNTS_MAX)
    return false;
  if (list->count == list->capacity)
    {
      size_t capacity = list->capacity == 0 ? 4 : 2 * list->capacity;
      struct quota_account **items
          = realloc (list->items, capacity * sizeof (void *));
      if (items == NULL)
        return false;
      list->items = items;
      list->capacity = capacity;
    }
  list->items[list->count++] = account;
  return true;
}

static void
clear (struct quota_list *list)
{
  free (list->items);
  *list = (struct quota_list){ 0 };
}

static void
end_call (struct quota_call *call, const struct quota_response *response)
{
  struct quota_peer *peer = call->peer;
  /* Applying the answers may start the next call. */
  struct quota_list accounts = call->accounts;
  uint32_t pending[QUOTA_MESSAGE_ACCOUNTS_MAX];
  memcpy (pending, call->pending, accounts.count * sizeof pending[0]);
  uint64_t sent_ms = call->sent_ms;
  uint64_t now = clock_monotonic_ms ();
  event_del (&call->timer);
  call->exchange = NULL;
  call->accounts = (struct quota_list){ 0 };
  if (response == NULL)
    {
      counter_add (&failures, 1);
      log_rate_limited (&failure_log_limit, LOG_LEVEL_WARNING, "quota_failed",
                        "peer=%zu status=%u after_ms=%" PRIu64, peer->handle,
                        call->status, now - sent_ms);
      peer->down_until_ms = now + QUOTA_DOWN_MS;
    }
  else
    peer->down_until_ms = 0;
  for (size_t i = 0; i < accounts.count; i++)
    accounts.items[i]->call = NULL;
  for (size_t i = 0; i < accounts.count; i++)
    sidecar_quota_apply (call->sidecar, accounts.items[i],
                         response == NULL ? NULL : &response->answers[i],
                         pending[i], sent_ms);
  clear (&accounts);
  send_queued (call->sidecar, peer);
}

static void
on_head (void *arg, struct http_head *head)
{
  struct quota_call *call = arg;
  call->status = head->status;
}

static void
on_body (void *arg, const char *data, size_t size)
{
  struct quota_call *call = arg;
  if (evbuffer_get_length (call->body) + size <= QUOTA_MESSAGE_BYTES_MAX)
    evbuffer_add (call->body, data, size);
}

static void
on_end (void *arg, enum http_end end)
{
  struct quota_call *call = arg;
  struct quota_response *response = &call->sidecar->quota->response;
  size_t size = evbuffer_get_length (call->body);
  bool valid
      = end == HTTP_END_COMPLETE && call->status == 200 && size > 0
        && quota_response_read ((const char *)evbuffer_pullup (call->body, -1),
                                size, response)
               == STATUS_OK
        && response->count == call->accounts.count;
  /* Applying an answer may write other messages; the copy stays. */
  struct quota_response *copy = valid ? malloc (sizeof *copy) : NULL;
  if (copy != NULL)
    *copy = *response;
  end_call (call, copy);
  free (copy);
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = on_body, .end = on_end };

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct quota_call *call = arg;
  if (call->exchange != NULL)
    http_exchange_cancel (call->exchange);
  end_call (call, NULL);
}

/// Sends `quota->request` for the accounts of a call. A failure is reported
/// from the event loop.
static void
send_call (struct quota_call *call)
{
  struct sidecar *sidecar = call->sidecar;
  const struct directory_record *record = directory_get (
      &sidecar->directory, call->peer->handle, call->peer->serial);
  struct quota_request *request = &sidecar->quota->request;
  strcpy (request->node, sidecar->settings.node);
  request->process = sidecar->quota->process;
  request->sequence = ++sidecar->quota->sequence;
  request->count = call->accounts.count;
  char *text = record == NULL ? NULL : quota_request_write (request);
  call->sent_ms = clock_monotonic_ms ();
  call->status = 0;
  call->exchange = NULL;
  evbuffer_drain (call->body, evbuffer_get_length (call->body));
  evtimer_assign (&call->timer, sidecar->base, on_timer, call);
  if (text != NULL)
    {
      struct evbuffer *bytes = evbuffer_new ();
      evbuffer_add_printf (bytes,
                           "POST " CALL_PATH_QUOTA " HTTP/1.1\r\nHost: quota"
                           "\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen (text), text);
      counter_add (&messages, 1);
      counter_add (&message_bytes, strlen (text));
      struct http_send send = { .address = record->entry.address,
                                .port = record->entry.port,
                                .request = bytes,
                                .max_idle_ms = PEER_REUSE_MS };
      call->exchange = http_pool_send (&sidecar->peer_pool, &send, &ops, call);
      evbuffer_free (bytes);
      free (text);
    }
  timer_start (&call->timer,
               call->exchange == NULL ? 0 : QUOTA_ASK_TIMEOUT_MS);
}

static void
send_queued (struct sidecar *sidecar, struct quota_peer *peer)
{
  struct quota_call *call = &peer->call;
  struct quota_request *request = &sidecar->quota->request;
  uint64_t now = clock_monotonic_ms ();
  if (call->accounts.count > 0 || peer->queued.count == 0)
    return;
  struct quota_list queued = peer->queued;
  peer->queued = (struct quota_list){ 0 };
  for (size_t i = 0; i < queued.count; i++)
    {
      struct quota_account *account = queued.items[i];
      size_t index = call->accounts.count;
      struct quota_ask *ask = &request->asks[index];
      account->queued_at = NULL;
      if (account->call != NULL
          || (account->waiting == 0
              && !quota_share_is_due (&account->share, now))
          || !append (&call->accounts, account))
        continue;
      strcpy (ask->account, account->name);
      ask->report = (struct quota_report){ 0 };
      quota_share_report (&account->share, &ask->report, now);
      ask->report.pending = account->waiting;
      call->pending[index] = account->waiting;
      account->call = call;
    }
  clear (&queued);
  if (call->accounts.count > 0)
    send_call (call);
}

void
sidecar_quota_ask (struct sidecar *sidecar, struct quota_peer *peer,
                   struct quota_account *account)
{
  if (account->queued_at != NULL || !append (&peer->queued, account))
    return;
  account->queued_at = peer;
  if (!sidecar->quota->gathering)
    send_queued (sidecar, peer);
}

void
sidecar_quota_send_queued (struct sidecar *sidecar)
{
  for (struct quota_peer *peer = sidecar->quota->peers; peer != NULL;
       peer = peer->next)
    send_queued (sidecar, peer);
}

static void
free_call (struct quota_call *call)
{
  if (call->exchange != NULL)
    http_exchange_cancel (call->exchange);
  if (call->accounts.count > 0)
    event_del (&call->timer);
  clear (&call->accounts);
  evbuffer_free (call->body);
}

static void
free_peer (struct quota_peer *peer)
{
  free_call (&peer->call);
  clear (&peer->queued);
  free (peer);
}

void
sidecar_quota_free_peers (struct sidecar *sidecar)
{
  while (sidecar->quota->peers != NULL)
    {
      struct quota_peer *peer = sidecar->quota->peers;
      sidecar->quota->peers = peer->next;
      free_peer (peer);
    }
}

void
sidecar_quota_sweep_peers (struct sidecar *sidecar)
{
  struct quota_peer **link = &sidecar->quota->peers;
  while (*link != NULL)
    {
      struct quota_peer *peer = *link;
      bool busy = peer->call.accounts.count > 0 || peer->queued.count > 0;
      if (busy
          || directory_get (&sidecar->directory, peer->handle, peer->serial)
                 != NULL)
        {
          link = &peer->next;
          continue;
        }
      *link = peer->next;
      free_peer (peer);
    }
}
