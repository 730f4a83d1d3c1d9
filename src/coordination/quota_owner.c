/// Owns the table of shares and the token bucket of one account at its owner.
#include "coordination/quota_owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/// Interval of removing shares that have ended, and of summing up the demand.
#define SWEEP_MS 100

/// A share with less than one token could never be used.
#define TOKENS_MIN 1.0

/// Smaller changes of a rate are not worth a message.
#define CHANGE_MIN 0.05

/// Largest debt, as time at the rate, and its decay relative to the rate:
/// requests that found no token are rejected or come back, so it must not
/// outlive them.
#define DEBT_S_MAX 1.0
#define DEBT_DECAY 2.0

#define WAIT_MS_MAX 5000u

/// While its bucket is fuller than this, the owner fills the shares from it,
/// for this time at the node's demand and one request more. So a node with few
/// requests has a token for the next one, and a tenth of the requests asks
/// less.
#define FILL_ABOVE 0.4
#define FILL_S 1.0

/// Nodes with less demand get tokens only in this way: at so small a rate, a
/// part of a token lies idle at each node.
#define RATE_DEMAND_MIN 0.7

/// Largest rate of a share, relative to the demand. The usual demand is 1
/// / 1.6 of the quota, and all of the rate is divided then. Of an account that
/// is used less, more stays here for nodes that begin to use it.
#define HEADROOM 1.4

double
quota_part_burst (const struct quota_part *part,
                  const struct quota_limit *limit)
{
  return quota_plan_pool (limit) * part->burst_ppm / QUOTA_PPM
         + quota_plan_shared_burst (limit, part->rate_ppm);
}

void
quota_owner_init (struct quota_owner *owner)
{
  memset (owner, 0, sizeof *owner);
}

void
quota_owner_finish (struct quota_owner *owner)
{
  free (owner->holders);
  owner->holders = NULL;
}

void
quota_owner_set_limit (struct quota_owner *owner,
                       const struct quota_limit *limit)
{
  owner->limit = *limit;
  owner->tokens = fmin (owner->tokens, quota_plan_burst (limit));
}

/// Removes ended shares and computes the sums.
static void
sum_up (struct quota_owner *owner, uint64_t now_ms)
{
  size_t kept = 0;
  owner->booked_rate_ppm = 0;
  owner->booked_burst_ppm = 0;
  owner->demand_per_s = 0;
  for (size_t i = 0; i < owner->count; i++)
    {
      struct quota_holder *holder = &owner->holders[i];
      if (now_ms >= holder->until_ms)
        continue;
      owner->booked_rate_ppm += holder->part.rate_ppm;
      owner->booked_burst_ppm += holder->part.burst_ppm;
      owner->demand_per_s += holder->demand_per_s;
      owner->holders[kept++] = *holder;
    }
  owner->count = kept;
  owner->swept_ms = now_ms;
}

void
quota_owner_sweep (struct quota_owner *owner, uint64_t now_ms)
{
  if (now_ms - owner->swept_ms >= SWEEP_MS)
    sum_up (owner, now_ms);
}

/// Follows the tenure: a new one begins with an empty table; after a gap,
/// another node may have renewed any share.
static void
follow (struct quota_owner *owner, const struct quota_tenure *tenure,
        uint64_t now_ms)
{
  if (owner->serial != tenure->serial)
    {
      owner->serial = tenure->serial;
      owner->count = 0;
      owner->known = (struct quota_part){ 0 };
      owner->refilled_ms = 0;
      owner->resumed_ms = tenure->resumed_ms;
      sum_up (owner, now_ms);
    }
  if (owner->resumed_ms != tenure->resumed_ms)
    {
      owner->resumed_ms = tenure->resumed_ms;
      owner->refilled_ms = 0;
      for (size_t i = 0; i < owner->count; i++)
        owner->holders[i].until_ms
            = tenure->resumed_ms + QUOTA_FRESH_MS + QUOTA_SHARE_MS;
    }
  quota_owner_sweep (owner, now_ms);
}

static struct quota_holder *
find (struct quota_owner *owner, uint64_t node)
{
  for (size_t i = 0; i < owner->count; i++)
    if (owner->holders[i].node == node)
      return &owner->holders[i];
  return NULL;
}

static struct quota_holder *
append (struct quota_owner *owner)
{
  if (owner->count == QUOTA_HOLDERS_MAX)
    return NULL;
  if (owner->count == owner->capacity)
    {
      size_t capacity = owner->capacity == 0 ? 4 : 2 * owner->capacity;
      struct quota_holder *holders
          = realloc (owner->holders, capacity * sizeof *holders);
      if (holders == NULL)
        return NULL;
      owner->holders = holders;
      owner->capacity = capacity;
    }
  struct quota_holder *holder = &owner->holders[owner->count++];
  *holder = (struct quota_holder){ 0 };
  return holder;
}

/* Bucket */

/// @return part of the rate that fills the owner's bucket
static double
bucket_rate (const struct quota_owner *owner,
             const struct quota_tenure *tenure)
{
  double kept = 1 - (double)owner->booked_rate_ppm / QUOTA_PPM;
  if (tenure->entitled)
    return fmax (0, kept);
  if (tenure->young)
    return fmax (0, fmin (kept, QUOTA_YOUNG_RATE));
  return 1 - (double)QUOTA_SHARES_PPM / QUOTA_PPM;
}

/// @return tokens that the bucket may hold
static double
bucket_most (const struct quota_owner *owner)
{
  return quota_plan_burst (&owner->limit)
         - quota_plan_shared_burst (&owner->limit,
                                    (double)owner->booked_rate_ppm);
}

static void
refill (struct quota_owner *owner, const struct quota_tenure *tenure,
        uint64_t now_ms)
{
  double rate = owner->limit.rate_per_s * bucket_rate (owner, tenure) / 1000;
  if (owner->refilled_ms == 0)
    {
      owner->tokens = 0;
      owner->refilled_ms = now_ms - quota_tenure_unused_ms (tenure, now_ms);
    }
  double passed_ms = (double)(now_ms - owner->refilled_ms);
  owner->tokens = fmin (bucket_most (owner), owner->tokens + rate * passed_ms);
  owner->refilled_ms = now_ms;
  owner->debt = fmax (0, owner->debt
                             - DEBT_DECAY * owner->limit.rate_per_s
                                   * (double)(now_ms - owner->debt_ms) / 1000);
  owner->debt_ms = now_ms;
}

/// Serves waiting requests from the bucket.
static void
grant (struct quota_owner *owner, const struct quota_tenure *tenure,
       uint32_t pending, struct quota_answer *answer, uint64_t now_ms)
{
  double whole = floor (fmax (0, owner->tokens));
  answer->verdict = QUOTA_DECIDED;
  answer->tokens = whole < pending ? (uint32_t)whole : pending;
  owner->tokens -= answer->tokens;
  uint32_t missing = pending - answer->tokens;
  if (missing == 0)
    return;
  double rate = owner->limit.rate_per_s * bucket_rate (owner, tenure) / 1000;
  owner->debt = fmin (owner->debt + missing,
                      DEBT_S_MAX * owner->limit.rate_per_s + missing);
  double wait = rate > 0 ? (1 + owner->debt - missing - owner->tokens) / rate
                         : WAIT_MS_MAX;
  answer->wait_ms = (uint32_t)fmin (WAIT_MS_MAX, fmax (1, wait));
}

/* Shares */

static uint32_t
unallocated (uint32_t most, uint64_t booked, uint32_t own)
{
  uint64_t others = booked - own;
  return most > others ? most - (uint32_t)others : 0;
}

/// @return the part that the node is to have, as its demand requires and as
///         the other shares allow
static struct quota_part
choose_part (const struct quota_owner *owner,
             const struct quota_tenure *tenure,
             const struct quota_holder *holder,
             const struct quota_report *report)
{
  struct quota_part most = { QUOTA_SHARES_PPM, QUOTA_PPM };
  if (!tenure->entitled)
    most = owner->known;
  double weight = owner->demand_per_s > 0
                      ? report->demand_per_s / owner->demand_per_s
                      : 0;
  double pool = quota_plan_pool (&owner->limit);
  double least = ceil (TOKENS_MIN * QUOTA_PPM / pool);
  double burst = weight * QUOTA_PPM;
  /* With fewer tokens than holders, some get one each; the others ask for
     each request, and their part of the rate stays here. */
  if (weight > 0 && burst < least)
    burst = least;
  double available = unallocated (most.burst_ppm, owner->booked_burst_ppm,
                                  holder->part.burst_ppm);
  /* While not entitled, a share may always keep what it has. */
  if (!tenure->entitled)
    available = fmax (available, report->held.burst_ppm);
  burst = fmin (burst, available);
  if (burst < least)
    return (struct quota_part){ 0 };
  double rate = fmin (weight * QUOTA_SHARES_PPM,
                      HEADROOM * report->demand_per_s * QUOTA_PPM
                          / owner->limit.rate_per_s);
  if (report->demand_per_s < RATE_DEMAND_MIN)
    rate = 0;
  double held = report->held.rate_ppm;
  if (fabs (rate - held) < CHANGE_MIN * held)
    rate = held;
  available = unallocated (most.rate_ppm, owner->booked_rate_ppm,
                           holder->part.rate_ppm);
  if (!tenure->entitled)
    available = fmax (available, held);
  return (struct quota_part){ (uint32_t)fmin (rate, available),
                              (uint32_t)burst };
}

/// Counts the larger one of two parts: the answer may be lost.
static void
book (struct quota_owner *owner, struct quota_holder *holder,
      struct quota_part held, struct quota_part part)
{
  owner->booked_rate_ppm -= holder->part.rate_ppm;
  owner->booked_burst_ppm -= holder->part.burst_ppm;
  holder->part.rate_ppm
      = held.rate_ppm > part.rate_ppm ? held.rate_ppm : part.rate_ppm;
  holder->part.burst_ppm
      = held.burst_ppm > part.burst_ppm ? held.burst_ppm : part.burst_ppm;
  owner->booked_rate_ppm += holder->part.rate_ppm;
  owner->booked_burst_ppm += holder->part.burst_ppm;
}

/// A share that an earlier owner leased becomes known: while this node is not
/// entitled, it divides what such shares had.
static void
learn (struct quota_owner *owner, const struct quota_part *held)
{
  owner->known.rate_ppm += held->rate_ppm;
  owner->known.burst_ppm += held->burst_ppm;
  if (owner->known.rate_ppm > QUOTA_SHARES_PPM)
    owner->known.rate_ppm = QUOTA_SHARES_PPM;
  if (owner->known.burst_ppm > QUOTA_PPM)
    owner->known.burst_ppm = QUOTA_PPM;
}

static void
set_demand (struct quota_owner *owner, struct quota_holder *holder,
            double demand_per_s)
{
  owner->demand_per_s += demand_per_s - holder->demand_per_s;
  holder->demand_per_s = demand_per_s;
}

/// Removes the record of a node that holds nothing.
static void
remove_holder (struct quota_owner *owner, struct quota_holder *holder)
{
  set_demand (owner, holder, 0);
  book (owner, holder, (struct quota_part){ 0 }, (struct quota_part){ 0 });
  *holder = owner->holders[--owner->count];
}

/// @return the record of the reporting node, or NULL when the report is late,
///         or finds no room
static struct quota_holder *
enter (struct quota_owner *owner, const struct quota_tenure *tenure,
       const struct quota_report *report, uint64_t now_ms)
{
  struct quota_holder *holder = find (owner, report->node);
  if (holder != NULL && holder->process == report->process)
    return report->sequence > holder->sequence ? holder : NULL;
  if (holder == NULL && !tenure->entitled && !tenure->young)
    learn (owner, &report->held);
  /* Another process of the node: the earlier one has ended, and its share. */
  if (holder != NULL)
    remove_holder (owner, holder);
  holder = append (owner);
  if (holder == NULL)
    return NULL;
  holder->node = report->node;
  holder->process = report->process;
  return holder;
}

/// @return tokens of the owner's bucket that go into a share
static uint32_t
fill (struct quota_owner *owner, const struct quota_report *report,
      const struct quota_part *part)
{
  double most = bucket_most (owner);
  double wanted = fmin (FILL_S * report->demand_per_s + 1,
                        quota_part_burst (part, &owner->limit))
                  - report->tokens;
  double count = floor (fmin (wanted, owner->tokens - FILL_ABOVE * most));
  if (report->demand_per_s <= 0 || count < 1)
    return 0;
  owner->tokens -= count;
  return (uint32_t)count;
}

struct quota_answer
quota_owner_report (struct quota_owner *owner,
                    const struct quota_tenure *tenure,
                    const struct quota_report *report, uint64_t now_ms)
{
  struct quota_answer answer = { .verdict = QUOTA_NOT_READY };
  /* The earlier owner may still move rate between the shares. */
  bool is_early
      = !tenure->entitled && !tenure->young && now_ms < tenure->ended_ms;
  if (!quota_tenure_decides (tenure, now_ms) || is_early
      || owner->limit.rate_per_s <= 0)
    return answer;
  follow (owner, tenure, now_ms);
  refill (owner, tenure, now_ms);
  struct quota_holder *holder = enter (owner, tenure, report, now_ms);
  if (holder == NULL)
    return answer;
  holder->sequence = report->sequence;
  holder->until_ms = now_ms + QUOTA_SHARE_MS;
  set_demand (owner, holder, report->demand_per_s);
  book (owner, holder, report->held, (struct quota_part){ 0 });
  answer.part = choose_part (owner, tenure, holder, report);
  book (owner, holder, report->held, answer.part);
  grant (owner, tenure, report->pending, &answer, now_ms);
  if (answer.wait_ms == 0)
    answer.tokens += fill (owner, report, &answer.part);
  if (report->demand_per_s <= 0 && report->pending == 0
      && report->held.rate_ppm == 0 && report->held.burst_ppm == 0)
    remove_holder (owner, holder);
  return answer;
}

void
quota_owner_accept (struct quota_owner *owner,
                    const struct quota_tenure *tenure, double tokens,
                    uint64_t now_ms)
{
  follow (owner, tenure, now_ms);
  owner->tokens = fmin (fmax (0, tokens), quota_plan_burst (&owner->limit));
  owner->refilled_ms = now_ms;
  owner->debt_ms = now_ms;
}

bool
quota_owner_accept_holder (struct quota_owner *owner,
                           const struct quota_holder *added)
{
  struct quota_holder *holder
      = find (owner, added->node) == NULL ? append (owner) : NULL;
  if (holder == NULL)
    return false;
  *holder = *added;
  owner->booked_rate_ppm += added->part.rate_ppm;
  owner->booked_burst_ppm += added->part.burst_ppm;
  owner->demand_per_s += added->demand_per_s;
  return true;
}
