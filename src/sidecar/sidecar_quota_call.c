/// Owns the messages about quotas to other nodes. One request for tokens and
/// one for votes is under way to each node; what is needed meanwhile goes into
/// the next message.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "transport/timer.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static struct counter messages = COUNTER (
    "quota_messages", "messages to other nodes for tokens and votes");
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
  struct quota_call *calls[] = { &peer->ask, &peer->vote };
  for (size_t i = 0; i < 2; i++)
    {
      calls[i]->sidecar = sidecar;
      calls[i]->peer = peer;
      calls[i]->vote = i == 1;
      calls[i]->body = evbuffer_new ();
    }
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

/// Applies the answer for one account.
/// @param answer  NULL when there is none
static void
end_account (struct quota_call *call, struct quota_account *account,
             const struct quota_answer *answer, uint64_t sent_ms)
{
  struct quota_peer *peer = call->peer;
  if (!call->vote)
    {
      account->call = NULL;
      sidecar_quota_apply (call->sidecar, account, answer, peer->lender,
                           sent_ms);
      return;
    }
  account->votes_asked--;
  if (answer != NULL && answer->ready)
    quota_owner_vote (&account->owner, peer->handle, answer->tokens > 0,
                      answer->wait_ms, sent_ms, clock_monotonic_ms ());
}

static void
end_call (struct quota_call *call, const struct quota_response *response)
{
  struct quota_peer *peer = call->peer;
  /* Applying the answers may start the next call. */
  struct quota_list accounts = call->accounts;
  uint64_t sent_ms = call->sent_ms;
  uint64_t now = clock_monotonic_ms ();
  event_del (&call->timer);
  call->exchange = NULL;
  call->accounts = (struct quota_list){ 0 };
  if (response == NULL)
    {
      counter_add (&failures, 1);
      log_rate_limited (&failure_log_limit, LOG_LEVEL_WARNING, "quota_failed",
                        "peer=%zu vote=%d status=%u after_ms=%" PRIu64,
                        peer->handle, call->vote, call->status, now - sent_ms);
      if (!call->vote)
        peer->down_until_ms = now + QUOTA_DOWN_MS;
    }
  else
    {
      peer->lender = response->lender;
      peer->down_until_ms = 0;
    }
  for (size_t i = 0; i < accounts.count; i++)
    end_account (call, accounts.items[i],
                 response == NULL ? NULL : &response->answers[i], sent_ms);
  clear (&accounts);
  if (!call->vote)
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
  request->lender = call->peer->lender;
  request->vote = call->vote;
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
                                .max_idle_ms = PEER_REUSE_MS,
                                .body_bytes_max = QUOTA_MESSAGE_BYTES_MAX };
      call->exchange = http_pool_send (&sidecar->peer_pool, &send, &ops, call);
      evbuffer_free (bytes);
      free (text);
    }
  timer_start (&call->timer,
               call->exchange == NULL ? 0 : QUOTA_ASK_TIMEOUT_MS);
}

static uint32_t
limited (uint32_t count)
{
  return count < QUOTA_MESSAGE_COUNT_MAX ? count : QUOTA_MESSAGE_COUNT_MAX;
}

static void
send_queued (struct sidecar *sidecar, struct quota_peer *peer)
{
  struct quota_call *call = &peer->ask;
  struct quota_request *request = &sidecar->quota->request;
  uint64_t now = clock_monotonic_ms ();
  if (call->accounts.count > 0 || peer->queued.count == 0)
    return;
  struct quota_list queued = peer->queued;
  peer->queued = (struct quota_list){ 0 };
  for (size_t i = 0; i < queued.count; i++)
    {
      struct quota_account *account = queued.items[i];
      struct quota_ask *ask = &request->asks[call->accounts.count];
      account->queued_at = NULL;
      if (account->waiting == 0 || account->call != NULL
          || !append (&call->accounts, account))
        continue;
      strcpy (ask->account, account->name);
      ask->pending = limited (account->waiting);
      ask->expected = limited (quota_lease_expected (&account->lease, now));
      ask->returned = limited (
          quota_lease_give_back (&account->lease, peer->lender, now));
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
  send_queued (sidecar, peer);
}

void
sidecar_quota_queue_vote (struct quota_peer *peer,
                          struct quota_account *account)
{
  if (append (&peer->votes, account))
    account->votes_asked++;
}

static void
send_votes (struct sidecar *sidecar, struct quota_peer *peer)
{
  struct quota_call *call = &peer->vote;
  struct quota_request *request = &sidecar->quota->request;
  uint64_t now = clock_monotonic_ms ();
  if (call->accounts.count > 0 || peer->votes.count == 0)
    return;
  call->accounts = peer->votes;
  peer->votes = (struct quota_list){ 0 };
  for (size_t i = 0; i < call->accounts.count; i++)
    {
      struct quota_account *account = call->accounts.items[i];
      struct quota_ask *ask = &request->asks[i];
      strcpy (ask->account, account->name);
      ask->pending = quota_owner_known (&account->owner, now);
      ask->expected = quota_owner_is_settled (&account->owner, now);
      ask->returned = 0;
    }
  send_call (call);
}

void
sidecar_quota_send_votes (struct sidecar *sidecar)
{
  for (struct quota_peer *peer = sidecar->quota->peers; peer != NULL;
       peer = peer->next)
    send_votes (sidecar, peer);
}

void
sidecar_quota_ask_vote (struct sidecar *sidecar, struct quota_peer *peer,
                        struct quota_account *account)
{
  sidecar_quota_queue_vote (peer, account);
  send_votes (sidecar, peer);
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
  free_call (&peer->ask);
  free_call (&peer->vote);
  clear (&peer->queued);
  clear (&peer->votes);
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
      bool busy = peer->ask.accounts.count > 0 || peer->vote.accounts.count > 0
                  || peer->queued.count > 0 || peer->votes.count > 0;
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
