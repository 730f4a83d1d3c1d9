/// Owns no state; decides as the owner of quotas, for this node and for
/// others, and reports the demand of this node to the owners.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

/// Accounts whose rank and limit are updated per tick without being used.
#define REFRESH_COUNT 32

/// Interval of looking at the rankings of all groups.
#define OBSERVE_MS 200

/// @return true when no listed process is older than this one
static bool
is_young (const struct sidecar *sidecar)
{
  const struct sidecar_quota *quota = sidecar->quota;
  const struct directory *directory = &sidecar->directory;
  if (quota->own_handle == SIZE_MAX)
    return false;
  uint64_t own_ms = directory->records[quota->own_handle].entry.epoch;
  for (size_t i = 0; i < directory->count; i++)
    if (directory->records[i].used
        && directory->records[i].entry.epoch + QUOTA_SPREAD_MS < own_ms)
      return false;
  return true;
}

void
sidecar_quota_observe (struct sidecar *sidecar, struct quota_group *group,
                       uint64_t now_ms)
{
  const struct sidecar_quota *quota = sidecar->quota;
  const struct directory_record *own
      = quota->own_handle == SIZE_MAX
            ? NULL
            : &sidecar->directory.records[quota->own_handle];
  /* While its entry is missing from the store, other nodes may have dropped
     this one. */
  bool listed = own != NULL && own->used && own->missing_ms == 0;
  struct quota_standing standing = {
    .first = listed && group->rank.handles[0] == quota->own_handle
             && !(sidecar->stopping && group->tenure.handed_over),
    .fresh = listed && sidecar_store_is_fresh (sidecar, QUOTA_FRESH_MS),
    .joined = listed && now_ms - own->seen_ms < QUOTA_JOIN_MS,
    .young = quota->all_young,
    .starting = now_ms - quota->started_ms < QUOTA_SPREAD_MS,
  };
  quota_tenure_observe (&group->tenure, &standing, now_ms);
}

struct quota_answer
sidecar_quota_decide (struct sidecar *sidecar, struct quota_account *account,
                      const struct quota_report *report, uint64_t now_ms)
{
  const struct quota_tenure *tenure
      = &sidecar->quota->groups[account->group].tenure;
  return quota_owner_report (&account->owner, tenure, report, now_ms);
}

static struct quota_answer
answer_one (struct sidecar *sidecar, const struct quota_request *request,
            const struct quota_ask *ask, uint64_t now_ms)
{
  struct quota_answer answer = { .verdict = QUOTA_NOT_READY };
  struct quota_account *account
      = client_account_by_name (&sidecar->config->accounts, ask->account)
                == NULL
            ? NULL
            : sidecar_quota_find (sidecar, ask->account);
  if (account == NULL)
    return answer;
  sidecar_quota_refresh (sidecar, account, now_ms);
  struct quota_report report = ask->report;
  report.node = hash_placement_string (request->node) & INT64_MAX;
  report.process = request->process;
  report.sequence = request->sequence;
  return sidecar_quota_decide (sidecar, account, &report, now_ms);
}

void
sidecar_quota_serve (struct sidecar *sidecar, struct http_request *request)
{
  struct quota_request *read = malloc (sizeof *read);
  size_t size = evbuffer_get_length (request->body);
  const char *data
      = size == 0 ? "" : (const char *)evbuffer_pullup (request->body, -1);
  uint64_t now = clock_monotonic_ms ();
  if (read == NULL || sidecar->config == NULL)
    {
      http_reply (request, 503, NULL, "", 0);
      free (read);
      return;
    }
  if (quota_request_read (data, size, read) != STATUS_OK)
    {
      free (read);
      http_reply (request, sidecar_quota_take_over (sidecar, data, size, now),
                  NULL, "", 0);
      return;
    }
  struct quota_response *response = &sidecar->quota->response;
  response->count = read->count;
  for (size_t i = 0; i < read->count; i++)
    response->answers[i] = answer_one (sidecar, read, &read->asks[i], now);
  free (read);
  char *text = quota_response_write (response);
  http_reply (request, text == NULL ? 503 : 200, NULL,
              text == NULL ? "" : text, text == NULL ? 0 : strlen (text));
  free (text);
}

/// Looks at all groups: a node may become the owner of accounts that it has
/// not seen yet.
static void
observe_all (struct sidecar *sidecar, uint64_t now_ms)
{
  struct sidecar_quota *quota = sidecar->quota;
  if (now_ms - quota->observed_ms < OBSERVE_MS)
    return;
  quota->observed_ms = now_ms;
  quota->all_young = is_young (sidecar);
  for (unsigned i = 0; i < QUOTA_GROUPS; i++)
    {
      struct quota_group *group = sidecar_quota_group (sidecar, i, now_ms);
      sidecar_quota_observe (sidecar, group, now_ms);
      if (quota_tenure_hands_over (&group->tenure, sidecar->stopping, now_ms))
        sidecar_quota_hand_over (sidecar, i, now_ms);
    }
}

void
sidecar_quota_stopping (struct sidecar *sidecar)
{
  if (sidecar->quota == NULL || sidecar->config == NULL)
    return;
  sidecar->quota->observed_ms = 0;
  observe_all (sidecar, clock_monotonic_ms ());
}

static bool
is_in_use (const struct quota_account *account)
{
  return account->users > 0 || account->waiting > 0 || account->call != NULL
         || account->queued_at != NULL;
}

/// Updates the ranks of some accounts, and frees those that are no longer in
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
      quota_owner_sweep (&account->owner, now_ms);
      if (account->limit.rate_per_s <= 0 && !is_in_use (account))
        sidecar_quota_forget (sidecar, account);
    }
}

/// Sends the reports that are due. Those to one owner go into one message: the
/// first is sent at once, so all are queued before.
static void
report_due (struct sidecar *sidecar, uint64_t now_ms)
{
  sidecar->quota->gathering = true;
  for (struct quota_account *account = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL; account = TAILQ_NEXT (account, link))
    if (quota_share_is_due (&account->share, now_ms))
      sidecar_quota_pump (sidecar, account);
  sidecar->quota->gathering = false;
  sidecar_quota_send_queued (sidecar);
}

/// Gives the shares up when callers have had time to leave a node that is
/// shutting down: they use the quota at other nodes then.
static void
release_shares (struct sidecar *sidecar, uint64_t now_ms)
{
  if (sidecar->quota->released
      || now_ms < sidecar->stopping_ms + sidecar->stop_plan.accept_callers_ms)
    return;
  sidecar->quota->released = true;
  for (struct quota_account *account = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL; account = TAILQ_NEXT (account, link))
    quota_share_release (&account->share, now_ms);
}

void
sidecar_quota_tick (struct sidecar *sidecar)
{
  if (sidecar->config == NULL)
    return;
  uint64_t now = clock_monotonic_ms ();
  observe_all (sidecar, now);
  refresh_some (sidecar, now);
  if (sidecar->stopping)
    release_shares (sidecar, now);
  report_due (sidecar, now);
  sidecar_quota_sweep_peers (sidecar);
}
