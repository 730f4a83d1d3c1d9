/// Owns no state; decides as the owner or standby of quotas, for this node and
/// for others, and keeps the votes and ranks of all accounts up to date.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

/// Accounts whose rank and limit are updated per tick without being used.
#define REFRESH_COUNT 32

/// Interval of creating the state of the accounts that this node ranks for:
/// their buckets fill before the first request for tokens.
#define PREPARE_MS 500

/// Asks for the votes of an account that are due, without waiting for the next
/// tick.
static void
ask_votes (struct sidecar *sidecar, struct quota_account *account,
           uint64_t now_ms)
{
  size_t voter;
  if (quota_owner_is_held (&account->owner, now_ms))
    return;
  while ((voter = quota_owner_due_vote (&account->owner, now_ms)) != SIZE_MAX)
    {
      struct quota_peer *peer = sidecar_quota_peer (sidecar, voter);
      if (peer != NULL)
        sidecar_quota_ask_vote (sidecar, peer, account);
    }
}

/// Renews the votes that are due, with one message to each node.
static void
renew_votes (struct sidecar *sidecar, uint64_t now_ms)
{
  for (struct quota_account *account = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL; account = TAILQ_NEXT (account, link))
    {
      size_t voter;
      if (account->limit.rate_per_s <= 0)
        continue;
      while ((voter = quota_owner_due_vote (&account->owner, now_ms))
             != SIZE_MAX)
        {
          struct quota_peer *peer = sidecar_quota_peer (sidecar, voter);
          if (peer != NULL)
            sidecar_quota_queue_vote (peer, account);
        }
    }
  sidecar_quota_send_votes (sidecar);
}

struct quota_answer
sidecar_quota_decide (struct sidecar *sidecar, struct quota_account *account,
                      size_t node, const struct quota_ask *ask,
                      uint64_t now_ms)
{
  struct quota_grant grant = quota_owner_ask (
      &account->owner, node, sidecar_quota_rank (sidecar, account)->nodes,
      sidecar_store_is_current (sidecar), ask->pending, ask->expected,
      ask->returned, now_ms);
  ask_votes (sidecar, account, now_ms);
  return (struct quota_answer){ .ready = grant.verdict == QUOTA_DECIDED,
                                .tokens = grant.tokens,
                                .wait_ms = grant.wait_ms };
}

static struct quota_answer
answer_one (struct sidecar *sidecar, const struct quota_request *request,
            size_t sender, const struct quota_ask *ask, uint64_t now_ms)
{
  struct quota_answer answer = { 0 };
  struct quota_account *account
      = client_account_by_name (&sidecar->config->accounts, ask->account)
                == NULL
            ? NULL
            : sidecar_quota_find (sidecar, ask->account);
  if (account == NULL)
    return answer;
  sidecar_quota_refresh (sidecar, account, now_ms);
  if (request->vote)
    {
      bool settled = false;
      struct quota_candidate candidate
          = { .node = sender,
              .rank
              = quota_rank_of (sidecar_quota_rank (sidecar, account), sender),
              .settled = ask->expected > 0,
              .known = ask->pending };
      answer.ready = quota_owner_promise (&account->owner, &candidate,
                                          &settled, now_ms);
      answer.tokens = settled;
      answer.wait_ms = quota_owner_known (&account->owner, now_ms);
      return answer;
    }
  struct quota_ask checked = *ask;
  if (request->lender != sidecar->quota->lender)
    checked.returned = 0;
  return sidecar_quota_decide (sidecar, account, sender, &checked, now_ms);
}

void
sidecar_quota_serve (struct sidecar *sidecar, struct http_request *request)
{
  struct quota_request *read = malloc (sizeof *read);
  size_t size = evbuffer_get_length (request->body);
  if (read == NULL || sidecar->config == NULL || size == 0
      || quota_request_read ((const char *)evbuffer_pullup (request->body, -1),
                             size, read)
             != STATUS_OK)
    {
      http_reply (request, read == NULL || sidecar->config == NULL ? 503 : 400,
                  NULL, "", 0);
      free (read);
      return;
    }
  uint64_t now = clock_monotonic_ms ();
  size_t sender = directory_find (&sidecar->directory, read->node);
  struct quota_response *response = &sidecar->quota->response;
  response->lender = sidecar->quota->lender;
  response->count = read->count;
  for (size_t i = 0; i < read->count; i++)
    response->answers[i]
        = answer_one (sidecar, read, sender, &read->asks[i], now);
  free (read);
  char *text = quota_response_write (response);
  http_reply (request, text == NULL ? 503 : 200, NULL,
              text == NULL ? "" : text, text == NULL ? 0 : strlen (text));
  free (text);
}

/// Creates the state of the accounts that this node may have to grant or to
/// vote for.
static void
prepare_accounts (struct sidecar *sidecar, uint64_t now_ms)
{
  const struct client_account_table *table = &sidecar->config->accounts;
  struct sidecar_quota *quota = sidecar->quota;
  if (now_ms - quota->prepared_ms < PREPARE_MS)
    return;
  quota->prepared_ms = now_ms;
  for (size_t i = 0; i < table->account_count; i++)
    {
      const struct client_account *configured = &table->accounts[i];
      if (configured->rate_per_s <= 0)
        continue;
      const struct quota_group *group = sidecar_quota_group (
          sidecar, quota_rank_group (configured->name), now_ms);
      struct quota_account *account
          = quota_rank_of (&group->rank, quota->own_handle) < QUOTA_RANKS
                ? sidecar_quota_find (sidecar, configured->name)
                : NULL;
      if (account != NULL)
        sidecar_quota_refresh (sidecar, account, now_ms);
    }
}

static bool
is_in_use (const struct quota_account *account)
{
  return account->users > 0 || account->waiting > 0 || account->call != NULL
         || account->queued_at != NULL || account->votes_asked > 0;
}

/// Updates the roles of some accounts, and frees those that are no longer in
/// the configuration.
static void
refresh_some (struct sidecar *sidecar, uint64_t now_ms)
{
  struct sidecar_quota *quota = sidecar->quota;
  for (size_t i = 0; i < REFRESH_COUNT && i < quota->account_count; i++)
    {
      struct quota_account *account = quota->cursor == NULL
                                          ? TAILQ_FIRST (&quota->accounts)
                                          : quota->cursor;
      if (account == NULL)
        return;
      quota->cursor = TAILQ_NEXT (account, link);
      sidecar_quota_refresh (sidecar, account, now_ms);
      if (account->limit.rate_per_s <= 0 && !is_in_use (account))
        sidecar_quota_forget (sidecar, account);
    }
}

void
sidecar_quota_tick (struct sidecar *sidecar)
{
  if (sidecar->config == NULL)
    return;
  uint64_t now = clock_monotonic_ms ();
  prepare_accounts (sidecar, now);
  refresh_some (sidecar, now);
  renew_votes (sidecar, now);
  sidecar_quota_sweep_peers (sidecar);
}
