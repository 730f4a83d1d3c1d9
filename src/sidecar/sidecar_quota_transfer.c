/// Owns the messages that hand the tables of a group of accounts over to its
/// next owner.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "protocol/quota_transfer.h"
#include "transport/timer.h"

#include <stdlib.h>
#include <string.h>

/// Time for one attempt, and attempts. The tables are large and the receiver
/// may be short of processor time; without them it waits QUOTA_ENTITLED_MS.
#define ATTEMPT_MS 500
#define ATTEMPTS 4

static struct counter handed_over = COUNTER (
    "quota_handed_over", "groups of quotas handed over to another node");
static struct counter taken_over
    = COUNTER ("quota_taken_over", "groups of quotas taken over with tables");

struct quota_hand_over
{
  LIST_ENTRY (quota_hand_over) link;
  struct sidecar *sidecar;
  unsigned group;
  size_t handle; ///< of the receiver
  uint64_t serial;
  char *text;
  struct http_exchange *exchange;
  struct event timer;
  unsigned attempts;
  unsigned status;
};

static void
end_hand_over (struct quota_hand_over *hand_over)
{
  event_del (&hand_over->timer);
  if (hand_over->exchange != NULL)
    http_exchange_cancel (hand_over->exchange);
  LIST_REMOVE (hand_over, link);
  free (hand_over->text);
  free (hand_over);
}

static void
on_head (void *arg, struct http_head *head)
{
  struct quota_hand_over *hand_over = arg;
  hand_over->status = head->status;
}

static void
on_body (void *arg, const char *data, size_t size)
{
}

static void
on_end (void *arg, enum http_end end)
{
  struct quota_hand_over *hand_over = arg;
  hand_over->exchange = NULL;
  if (end == HTTP_END_COMPLETE && hand_over->status == 200)
    {
      counter_add (&handed_over, 1);
      log_event (LOG_LEVEL_INFO, "quota_handed_over", "group=%u peer=%zu",
                 hand_over->group, hand_over->handle);
      end_hand_over (hand_over);
    }
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = on_body, .end = on_end };

/// Sends the tables, again when the last attempt has failed.
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct quota_hand_over *hand_over = arg;
  struct sidecar *sidecar = hand_over->sidecar;
  const struct directory_record *record = directory_get (
      &sidecar->directory, hand_over->handle, hand_over->serial);
  if (hand_over->exchange != NULL)
    http_exchange_cancel (hand_over->exchange);
  hand_over->exchange = NULL;
  if (record == NULL || hand_over->attempts++ == ATTEMPTS)
    {
      log_event (LOG_LEVEL_WARNING, "quota_not_handed_over",
                 "group=%u peer=%zu status=%u", hand_over->group,
                 hand_over->handle, hand_over->status);
      end_hand_over (hand_over);
      return;
    }
  timer_start (&hand_over->timer, ATTEMPT_MS);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes,
                       "POST " CALL_PATH_QUOTA " HTTP/1.1\r\nHost: quota\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       strlen (hand_over->text), hand_over->text);
  struct http_send send = { .address = record->entry.address,
                            .port = record->entry.port,
                            .request = bytes,
                            .max_idle_ms = PEER_REUSE_MS };
  hand_over->exchange
      = http_pool_send (&sidecar->peer_pool, &send, &ops, hand_over);
  evbuffer_free (bytes);
}

/// @return text of the tables, or NULL
static char *
write_tables (struct sidecar *sidecar, unsigned group, uint64_t now_ms)
{
  json_t *object = quota_transfer_begin (
      sidecar->settings.node, group,
      quota_tenure_unused_ms (&sidecar->quota->groups[group].tenure, now_ms));
  bool complete = object != NULL;
  for (const struct quota_account *account
       = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL && complete; account = TAILQ_NEXT (account, link))
    if (account->group == group && account->owner.refilled_ms != 0
        && account->owner.serial
               == sidecar->quota->groups[group].tenure.serial)
      complete = quota_transfer_add (object, account->name, &account->owner,
                                     now_ms);
  if (!complete)
    {
      json_decref (object);
      return NULL;
    }
  return quota_transfer_end (object);
}

void
sidecar_quota_hand_over (struct sidecar *sidecar, unsigned number,
                         uint64_t now_ms)
{
  struct sidecar_quota *quota = sidecar->quota;
  struct quota_group *group = &quota->groups[number];
  size_t handle = group->rank.handles[0];
  if (handle == quota->own_handle)
    handle = group->rank.handles[1];
  struct quota_hand_over *hand_over
      = handle == SIZE_MAX ? NULL : calloc (1, sizeof *hand_over);
  char *text
      = hand_over == NULL ? NULL : write_tables (sidecar, number, now_ms);
  quota_tenure_end (&group->tenure);
  if (text == NULL)
    {
      free (hand_over);
      return;
    }
  hand_over->sidecar = sidecar;
  hand_over->group = number;
  hand_over->handle = handle;
  hand_over->serial = sidecar->directory.records[handle].serial;
  hand_over->text = text;
  evtimer_assign (&hand_over->timer, sidecar->base, on_timer, hand_over);
  LIST_INSERT_HEAD (&quota->hand_overs, hand_over, link);
  timer_start (&hand_over->timer, 0);
}

unsigned
sidecar_quota_take_over (struct sidecar *sidecar, const char *data,
                         size_t size, uint64_t now_ms)
{
  struct quota_transfer transfer;
  if (quota_transfer_read (data, size, &transfer) != STATUS_OK)
    return 400;
  struct quota_group *group
      = sidecar_quota_group (sidecar, transfer.group, now_ms);
  size_t sender = directory_find (&sidecar->directory, transfer.node);
  sidecar_quota_observe (sidecar, group, now_ms);
  /* The sender is a node that this one follows, or that it comes before. */
  bool is_expected
      = sender != SIZE_MAX && sidecar->quota->own_handle != SIZE_MAX
        && !sidecar->stopping
        && quota_rank_of (&group->rank, sidecar->quota->own_handle)
               < QUOTA_RANKS;
  if (!is_expected
      || !quota_tenure_accept (&group->tenure, transfer.unused_ms, now_ms))
    {
      quota_transfer_finish (&transfer);
      return is_expected ? 200 : 503;
    }
  for (size_t i = 0; i < transfer.count; i++)
    {
      const struct quota_transfer_account *table = &transfer.accounts[i];
      struct quota_account *account
          = client_account_by_name (&sidecar->config->accounts, table->name)
                    == NULL
                ? NULL
                : sidecar_quota_find (sidecar, table->name);
      if (account == NULL)
        continue;
      sidecar_quota_refresh (sidecar, account, now_ms);
      quota_owner_accept (&account->owner, &group->tenure, table->tokens,
                          now_ms);
      for (size_t k = 0; k < table->count; k++)
        {
          struct quota_holder holder = transfer.holders[table->first + k];
          holder.until_ms += now_ms;
          quota_owner_accept_holder (&account->owner, &holder);
        }
    }
  quota_transfer_finish (&transfer);
  counter_add (&taken_over, 1);
  log_event (LOG_LEVEL_INFO, "quota_taken_over", "group=%u from=%zu",
             transfer.group, sender);
  return 200;
}

void
sidecar_quota_free_hand_overs (struct sidecar *sidecar)
{
  struct quota_hand_over *hand_over = LIST_FIRST (&sidecar->quota->hand_overs);
  while (hand_over != NULL)
    {
      struct quota_hand_over *next = LIST_NEXT (hand_over, link);
      end_hand_over (hand_over);
      hand_over = next;
    }
}
