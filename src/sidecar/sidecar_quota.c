/// Owns the quota state of each account at this node, and the requests that
/// wait for tokens.
#include "sidecar/sidecar_quota_internal.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "transport/timer.h"

#include <stdlib.h>
#include <string.h>

/// Interval at which waiting requests are checked.
#define CHECK_MS 20

/// Longest wait for a decision, and the share of a request's time that it may
/// take.
#define DECISION_MS_MAX 500
#define DECISION_SHARE 0.6

/// A changed directory is ranked again after this time at the earliest, and
/// after one millisecond for this many nodes: ranking 5,100 nodes takes about
/// 0.15 ms for each of the groups.
#define RANK_MS_MIN 100
#define RANK_NODES_PER_MS 5

/// Accounts with state; the planned number is 10,000.
#define ACCOUNTS_MAX 20000

static struct counter unavailable = COUNTER (
    "quota_undecided", "requests ended because no decision could be had");
static struct counter local_admits
    = COUNTER ("quota_local", "requests admitted without a reachable owner");

static struct quota_account **
bucket_of (struct sidecar_quota *quota, const char *name)
{
  return &quota->buckets[hash_placement_string (name) % QUOTA_BUCKETS];
}

struct quota_account *
sidecar_quota_find (struct sidecar *sidecar, const char *name)
{
  struct sidecar_quota *quota = sidecar->quota;
  struct quota_account **bucket = bucket_of (quota, name);
  for (struct quota_account *account = *bucket; account != NULL;
       account = account->next)
    if (strcmp (account->name, name) == 0)
      return account;
  if (quota->account_count >= ACCOUNTS_MAX
      || strlen (name) > QUOTA_MESSAGE_NAME_MAX)
    return NULL;
  struct quota_account *account = calloc (1, sizeof *account);
  if (account == NULL)
    return NULL;
  strcpy (account->name, name);
  account->group = quota_rank_group (name);
  TAILQ_INIT (&account->waiters);
  quota_share_init (&account->share);
  quota_owner_init (&account->owner);
  account->next = *bucket;
  *bucket = account;
  TAILQ_INSERT_TAIL (&quota->accounts, account, link);
  quota->account_count++;
  return account;
}

void
sidecar_quota_forget (struct sidecar *sidecar, struct quota_account *account)
{
  struct sidecar_quota *quota = sidecar->quota;
  struct quota_account **place = bucket_of (quota, account->name);
  while (*place != account)
    place = &(*place)->next;
  *place = account->next;
  TAILQ_REMOVE (&quota->accounts, account, link);
  quota->account_count--;
  if (quota->cursor == account)
    quota->cursor = NULL;
  quota_owner_finish (&account->owner);
  free (account);
}

static void
set_limit (struct sidecar *sidecar, struct quota_account *account,
           const struct client_account *configured)
{
  account->limit = (struct quota_limit){ 0 };
  if (configured != NULL)
    account->limit
        = (struct quota_limit){ configured->rate_per_s, configured->burst };
  account->config_version = sidecar->config->version;
  quota_owner_set_limit (&account->owner, &account->limit);
  quota_share_set_limit (&account->share, &account->limit);
}

/// @return shortest time between two rankings of a group: ranking all groups
///         may take a few per cent of the time, also with thousands of nodes
static uint64_t
rank_interval_ms (const struct sidecar *sidecar)
{
  uint64_t interval_ms = sidecar->directory.count / RANK_NODES_PER_MS;
  return interval_ms > RANK_MS_MIN ? interval_ms : RANK_MS_MIN;
}

struct quota_group *
sidecar_quota_group (struct sidecar *sidecar, unsigned number, uint64_t now_ms)
{
  struct sidecar_quota *quota = sidecar->quota;
  struct quota_group *group = &quota->groups[number];
  uint64_t generation = sidecar->directory.generation;
  if (quota->generation != generation)
    {
      quota->generation = generation;
      quota->own_handle
          = directory_find (&sidecar->directory, sidecar->settings.node);
    }
  if (group->serial != 0
      && (group->generation == generation
          || now_ms - group->ranked_ms < rank_interval_ms (sidecar)))
    return group;
  struct quota_rank rank;
  quota_rank_choose (&sidecar->directory, number, &rank);
  if (group->serial == 0
      || memcmp (rank.handles, group->rank.handles, sizeof rank.handles) != 0)
    group->serial++;
  group->rank = rank;
  group->generation = generation;
  group->ranked_ms = now_ms;
  return group;
}

const struct quota_rank *
sidecar_quota_rank (const struct sidecar *sidecar,
                    const struct quota_account *account)
{
  return &sidecar->quota->groups[account->group].rank;
}

void
sidecar_quota_refresh (struct sidecar *sidecar, struct quota_account *account,
                       uint64_t now_ms)
{
  if (account->config_version != sidecar->config->version)
    set_limit (
        sidecar, account,
        client_account_by_name (&sidecar->config->accounts, account->name));
  struct quota_group *group
      = sidecar_quota_group (sidecar, account->group, now_ms);
  sidecar_quota_observe (sidecar, group, now_ms);
  if (account->rank_serial == group->serial)
    return;
  /* A new owner learns of the share at once. */
  account->rank_serial = group->serial;
  account->share.second_until_ms = 0;
  account->share.next_report_ms = 0;
}

/* Requests of callers */

static void
start_timer (struct sidecar_quota *quota)
{
  if (quota->waiting > 0 && !evtimer_pending (&quota->timer, NULL))
    timer_start (&quota->timer, CHECK_MS);
}

static void
leave_queue (struct sidecar *sidecar, struct quota_waiter *waiter)
{
  struct quota_account *account = waiter->account;
  TAILQ_REMOVE (&account->waiters, waiter, link);
  waiter->waiting = false;
  account->waiting--;
  sidecar->quota->waiting--;
}

static void
decide (struct sidecar *sidecar, struct quota_waiter *waiter,
        enum quota_decision decision, uint32_t retry_ms)
{
  struct quota_account *account = waiter->account;
  leave_queue (sidecar, waiter);
  if (decision == QUOTA_ADMIT)
    account->admitted++;
  else if (decision == QUOTA_REJECT)
    account->rejected++;
  else
    counter_add (&unavailable, 1);
  waiter->on_decision (waiter, decision, retry_ms);
}

/// Gives the share's tokens to the waiting requests.
static void
serve_waiting (struct sidecar *sidecar, struct quota_account *account,
               uint64_t now_ms)
{
  struct quota_waiter *waiter;
  while ((waiter = TAILQ_FIRST (&account->waiters)) != NULL
         && (account->limit.rate_per_s <= 0
             || quota_share_take (&account->share, &waiter->token, now_ms)))
    decide (sidecar, waiter, QUOTA_ADMIT, 0);
}

/// @return the first waiting request whose time for a decision ends before a
///         time, or NULL. A decision may end other requests of its connection,
///         so the queue is searched again after each.
static struct quota_waiter *
first_before (const struct quota_account *account, uint64_t time_ms)
{
  struct quota_waiter *waiter;
  TAILQ_FOREACH (waiter, &account->waiters, link)
  if (waiter->until_ms < time_ms)
    return waiter;
  return NULL;
}

/// Ends the requests that a token would not reach in time.
static void
reject_late (struct sidecar *sidecar, struct quota_account *account,
             uint64_t now_ms)
{
  uint64_t before_ms = quota_share_reject_before (&account->share, now_ms);
  struct quota_waiter *waiter;
  while ((waiter = first_before (account, before_ms)) != NULL)
    decide (sidecar, waiter, QUOTA_REJECT, account->share.over_wait_ms);
}

/// @return true when a request may be admitted without a decision of another
///         node
static bool
may_admit_locally (struct sidecar *sidecar, struct quota_account *account,
                   uint64_t now_ms)
{
  return quota_share_take_local (
      &account->share, sidecar_quota_rank (sidecar, account)->nodes, now_ms);
}

/// Serves waiting requests without a decision of another node.
static void
admit_locally (struct sidecar *sidecar, struct quota_account *account,
               uint64_t now_ms)
{
  struct quota_waiter *waiter;
  while ((waiter = TAILQ_FIRST (&account->waiters)) != NULL
         && may_admit_locally (sidecar, account, now_ms))
    {
      counter_add (&local_admits, 1);
      decide (sidecar, waiter, QUOTA_ADMIT, 0);
    }
}

void
sidecar_quota_apply (struct sidecar *sidecar, struct quota_account *account,
                     const struct quota_answer *answer, uint32_t pending,
                     uint64_t sent_ms)
{
  uint64_t now = clock_monotonic_ms ();
  if (answer == NULL || answer->verdict == QUOTA_NOT_READY)
    {
      quota_share_undecided (&account->share, account->waiting > 0, now);
      admit_locally (sidecar, account, now);
    }
  else
    {
      quota_share_decided (&account->share, answer, pending, sent_ms, now);
      serve_waiting (sidecar, account, now);
      reject_late (sidecar, account, now);
    }
  /* A report that was only due is not repeated at once. */
  if (account->waiting > 0)
    sidecar_quota_pump (sidecar, account);
}

/// Reports to this node itself.
static void
ask_here (struct sidecar *sidecar, struct quota_account *account,
          uint64_t now_ms)
{
  struct sidecar_quota *quota = sidecar->quota;
  struct quota_report report = { 0 };
  quota_share_report (&account->share, &report, now_ms);
  report.node = quota->node;
  report.process = quota->process;
  report.sequence = ++quota->sequence;
  report.pending = account->waiting;
  struct quota_answer answer
      = sidecar_quota_decide (sidecar, account, &report, now_ms);
  sidecar_quota_apply (sidecar, account, &answer, report.pending, now_ms);
}

void
sidecar_quota_pump (struct sidecar *sidecar, struct quota_account *account)
{
  uint64_t now = clock_monotonic_ms ();
  if (sidecar->config == NULL)
    return;
  sidecar_quota_refresh (sidecar, account, now);
  serve_waiting (sidecar, account, now);
  if (account->limit.rate_per_s <= 0 || account->call != NULL
      || account->queued_at != NULL)
    return;
  bool asks = account->waiting > 0 && now >= account->share.next_ask_ms;
  if (!asks && !quota_share_is_due (&account->share, now))
    return;
  bool second = asks && quota_share_asks_second (&account->share, now);
  size_t handle = sidecar_quota_rank (sidecar, account)->handles[second];
  if (handle != SIZE_MAX && handle == sidecar->quota->own_handle)
    {
      ask_here (sidecar, account, now);
      return;
    }
  struct quota_peer *peer
      = handle == SIZE_MAX ? NULL : sidecar_quota_peer (sidecar, handle);
  if (peer != NULL && now >= peer->down_until_ms)
    sidecar_quota_ask (sidecar, peer, account);
  else if (asks)
    sidecar_quota_apply (sidecar, account, NULL, 0, now);
}

/// Ends the requests whose time for a decision has passed.
static void
expire (struct sidecar *sidecar, struct quota_account *account,
        uint64_t now_ms)
{
  uint32_t wait_ms = account->share.over_wait_ms;
  struct quota_waiter *waiter;
  while ((waiter = first_before (account, now_ms + 1)) != NULL)
    decide (sidecar, waiter, wait_ms > 0 ? QUOTA_REJECT : QUOTA_UNAVAILABLE,
            wait_ms);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  uint64_t now = clock_monotonic_ms ();
  for (struct quota_account *account = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL; account = TAILQ_NEXT (account, link))
    if (account->waiting > 0)
      {
        sidecar_quota_pump (sidecar, account);
        expire (sidecar, account, now);
      }
  start_timer (sidecar->quota);
}

enum quota_decision
sidecar_quota_acquire (struct sidecar *sidecar,
                       const struct client_account *configured,
                       uint64_t left_ms, quota_on_decision on_decision,
                       struct quota_waiter *waiter, uint32_t *retry_ms)
{
  uint64_t now = clock_monotonic_ms ();
  struct quota_account *account
      = sidecar_quota_find (sidecar, configured->name);
  if (account == NULL)
    {
      counter_add (&unavailable, 1);
      return QUOTA_UNAVAILABLE;
    }
  if (account->config_version != sidecar->config->version)
    set_limit (sidecar, account, configured);
  account->offered++;
  quota_share_arrive (&account->share, now);
  if (account->waiting == 0
      && quota_share_take (&account->share, &waiter->token, now))
    {
      account->admitted++;
      account->users++;
      waiter->account = account;
      return QUOTA_ADMIT;
    }
  if (quota_share_is_far_over (&account->share, now))
    {
      account->rejected++;
      *retry_ms = account->share.over_wait_ms;
      return QUOTA_REJECT;
    }
  if (quota_share_is_hopeless (&account->share, account->waiting, now))
    {
      bool admitted = may_admit_locally (sidecar, account, now);
      account->admitted += admitted;
      counter_add (admitted ? &local_admits : &unavailable, 1);
      return admitted ? QUOTA_ADMIT : QUOTA_UNAVAILABLE;
    }
  uint64_t most_ms = (uint64_t)((double)left_ms * DECISION_SHARE);
  waiter->account = account;
  account->users++;
  waiter->on_decision = on_decision;
  waiter->until_ms
      = now + (most_ms < DECISION_MS_MAX ? most_ms : DECISION_MS_MAX);
  waiter->waiting = true;
  TAILQ_INSERT_TAIL (&account->waiters, waiter, link);
  account->waiting++;
  sidecar->quota->waiting++;
  /* The owner is asked from the event loop, so that no decision is made before
     this returns and all requests that arrived together are in one message. */
  timer_start (&sidecar->quota->timer, 0);
  return QUOTA_WAIT;
}

void
sidecar_quota_release (struct sidecar *sidecar, struct quota_waiter *waiter,
                       bool ran)
{
  struct quota_account *account = waiter->account;
  if (account == NULL)
    return;
  if (waiter->waiting)
    leave_queue (sidecar, waiter);
  if (!ran)
    quota_share_put_back (&account->share, &waiter->token,
                          clock_monotonic_ms ());
  account->users--;
  waiter->account = NULL;
}

/* Start and end */

enum status
sidecar_quota_start (struct sidecar *sidecar)
{
  struct sidecar_quota *quota = calloc (1, sizeof *quota);
  if (quota == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for the quotas");
  TAILQ_INIT (&quota->accounts);
  quota->own_handle = SIZE_MAX;
  LIST_INIT (&quota->hand_overs);
  quota->process = rng_u64 (&sidecar->rng) >> 1 | 1;
  quota->node = hash_placement_string (sidecar->settings.node) & INT64_MAX;
  quota->started_ms = clock_monotonic_ms ();
  evtimer_assign (&quota->timer, sidecar->base, on_timer, sidecar);
  sidecar->quota = quota;
  return STATUS_OK;
}

void
sidecar_quota_stop (struct sidecar *sidecar)
{
  struct sidecar_quota *quota = sidecar->quota;
  if (quota == NULL)
    return;
  event_del (&quota->timer);
  sidecar_quota_free_peers (sidecar);
  sidecar_quota_free_hand_overs (sidecar);
  struct quota_account *account = TAILQ_FIRST (&quota->accounts);
  while (account != NULL)
    {
      struct quota_account *next = TAILQ_NEXT (account, link);
      sidecar_quota_forget (sidecar, account);
      account = next;
    }
  free (quota);
  sidecar->quota = NULL;
}
