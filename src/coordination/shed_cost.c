/// Owns the recent outcomes of kinds and accounts.
#include "coordination/shed_cost.h"

#include <math.h>
#include <string.h>

/// Each rank counts half of the one before: a rank outweighs requests that
/// need up to half of the work, and does not outweigh all of them.
#define RANK_WEIGHT_RATIO 0.5

/// Value of a response between objective and deadline, relative to one within
/// the objective; callers state 0.3 to 0.75.
#define LATE_VALUE 0.5

/// Calls without an account are calls of other targets while clients have
/// accounts. They count as one rank more urgent: a refusal wastes the work
/// that their parents have already done.
#define INNER_CALL_WEIGHT 2.0

/// Requests beyond an account's usual share count this much.
#define OVER_SHARE_WEIGHT (1.0 / 32)

/// Work whose objective leaves less than 9 / 8 of its expected time counts as
/// late: requests of a kind differ, and with less time left half of them would
/// miss the objective in slots that others could use in time. With 5 / 4,
/// short work on slow machines would always count as late.
#define OBJECTIVE_MARGIN_DIVISOR 8

/// Slack is discounted over this many mean slot times.
#define SLACK_MEANS 2.0

/// Shortest slot time in a score, microseconds; also that of unknown work, so
/// that kinds without samples are ordered by rank.
#define SERVICE_US_MIN 1000.0

/// Decay of outcomes and offered work: a few times the duration of the longest
/// requests, and as long as the bursts.
#define OUTCOME_TAU_US 3e6

/// Interval of the decay and of the comparison of kinds.
#define UPDATE_US 20000

/// A kind is raised when it is served less than this fraction as often as all
/// requests. Callers are promised a quarter.
#define SERVED_FLOOR 0.3

/// Largest factor by which a kind is raised, more than the ratio of the values
/// per slot time of usual kinds, and the factor of one step.
#define BOOST_MAX 64.0
#define BOOST_STEP 1.5

/// A kind is raised when it is served less often, or less often on time, than
/// a less urgent one by more than this. Callers are promised 5 and 15 in 100.
#define SERVED_GAP_MAX 0.01
#define ON_TIME_GAP_MAX 0.08

/// A kind counts as short, so that a free slot helps it, when its work is less
/// than the mean divided by this.
#define RESERVE_WORK_RATIO 2

/// Outcomes needed before a kind or an account is compared with others.
#define OUTCOMES_MIN 4.0

/// Time constant of an account's usual use.
#define USUAL_TAU_US 60e6

/// Use is known after this time; until then no account is over its share.
#define USUAL_LEARN_US 10e6

/// An account may use this multiple of its usual slot time: bursts of all
/// accounts reach 1.7 times the load.
#define USUAL_MULTIPLE 2.0

/// An account may use its share of this time at once.
#define BUCKET_US 1e6

/// Requests that fit into the bucket of an account without history.
#define BUCKET_REQUESTS 3.0

/// An account counts as active for this time after a request.
#define ACTIVE_US 5000000

/// Part of the slots for which returning requests are scheduled; the rest is
/// for new ones.
#define RETURN_SHARE 0.5

/// Bounds of a Retry-After.
#define RETRY_US_MIN 50000
#define RETRY_US_MAX 2000000

/// Callers honour a Retry-After up to a third of their remaining time.
#define RETRY_LEFT_DIVISOR 3

/// Largest share of the slots that is expected to be taken by requests with a
/// higher score. Above it, kinds with a low score were refused although slots
/// were left for them (simulated value 5 in 100 lower at 0.9).
#define SHARE_AHEAD_MAX 0.5

void
shed_cost_init (struct shed_cost *cost)
{
  memset (cost, 0, sizeof *cost);
  for (size_t i = 0; i <= SHED_COST_RANK_MAX; i++)
    cost->rank_weights[i] = pow (RANK_WEIGHT_RATIO, (double)i);
}

bool
shed_cost_may_take_last (const struct shed_cost *cost,
                         const struct shed_cost_item *item)
{
  return !cost->reserve
         || item->service_us * RESERVE_WORK_RATIO < cost->mean_us;
}

static double
slot_time (uint32_t service_us)
{
  return service_us > SERVICE_US_MIN ? service_us : SERVICE_US_MIN;
}

/// @return the index of a kind; a new one replaces that with the least work
static size_t
find_or_add_kind (struct shed_cost *cost, uint32_t kind, uint32_t rank)
{
  size_t least = 0;
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    {
      const struct shed_cost_kind *known = &cost->kinds[i];
      if (known->used && known->kind == kind && known->rank == rank)
        return i;
      if (known->offered_us < cost->kinds[least].offered_us)
        least = i;
    }
  cost->kinds[least] = (struct shed_cost_kind){
    .used = true, .kind = kind, .rank = rank, .boost = 1
  };
  return least;
}

/// @return the entry of a kind, or NULL when another one has replaced it
static const struct shed_cost_kind *
kind_of (const struct shed_cost *cost, const struct shed_cost_item *item)
{
  const struct shed_cost_kind *kind = &cost->kinds[item->entry];
  return kind->used && kind->kind == item->kind && kind->rank == item->rank
             ? kind
             : NULL;
}

static struct shed_cost_account *
find_account (struct shed_cost *cost, uint32_t account)
{
  for (size_t i = 0; i < SHED_COST_ACCOUNTS; i++)
    if (cost->accounts[i].account == account)
      return &cost->accounts[i];
  return NULL;
}

static double
resolved (const struct shed_cost_outcomes *outcomes)
{
  return outcomes->served + outcomes->refused;
}

static double
served_share (const struct shed_cost_outcomes *outcomes)
{
  double total = resolved (outcomes);
  return total > 0 ? outcomes->served / total : 1;
}

static double
on_time_share (const struct shed_cost_outcomes *outcomes)
{
  return outcomes->served > 0 ? outcomes->on_time / outcomes->served : 1;
}

static void
decay (struct shed_cost_outcomes *outcomes, double factor)
{
  outcomes->served *= factor;
  outcomes->on_time *= factor;
  outcomes->refused *= factor;
}

/// How a kind is served in comparison with less urgent ones.
enum order_state
{
  ORDER_KEPT,
  ORDER_SERVED_LESS,  ///< served less often than the bound allows
  ORDER_LESS_ON_TIME, ///< less often on time than the bound allows
};

static enum order_state
order_of (const struct shed_cost *cost, const struct shed_cost_kind *kind)
{
  enum order_state state = ORDER_KEPT;
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    {
      const struct shed_cost_kind *other = &cost->kinds[i];
      if (!other->used || other->rank <= kind->rank
          || resolved (&other->outcomes) < OUTCOMES_MIN)
        continue;
      if (served_share (&kind->outcomes) + SERVED_GAP_MAX
          < served_share (&other->outcomes))
        return ORDER_SERVED_LESS;
      if (on_time_share (&kind->outcomes) + ON_TIME_GAP_MAX
          < on_time_share (&other->outcomes))
        state = ORDER_LESS_ON_TIME;
    }
  return state;
}

/// Raises a kind that is served too seldom, and lowers it step by step once it
/// is not.
static void
update_boost (struct shed_cost *cost, struct shed_cost_kind *kind)
{
  bool known = resolved (&kind->outcomes) >= OUTCOMES_MIN;
  enum order_state order = known ? order_of (cost, kind) : ORDER_KEPT;
  if (order == ORDER_LESS_ON_TIME
      && kind->service_us * RESERVE_WORK_RATIO < cost->mean_us)
    cost->reserve = true;
  if (known
      && served_share (&kind->outcomes)
             < SERVED_FLOOR * served_share (&cost->outcomes))
    kind->boost = BOOST_MAX;
  else if (order != ORDER_KEPT)
    kind->boost = fmin (kind->boost * BOOST_STEP, BOOST_MAX);
  else
    kind->boost = fmax (kind->boost / BOOST_STEP, 1);
}

void
shed_cost_update (struct shed_cost *cost, size_t slots, uint64_t now_us)
{
  cost->slots = slots;
  if (now_us < cost->updated_us + UPDATE_US)
    return;
  double factor = exp (-(double)(now_us - cost->updated_us) / OUTCOME_TAU_US);
  cost->updated_us = now_us;
  cost->offered *= factor;
  cost->offered_us *= factor;
  decay (&cost->outcomes, factor);
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    {
      cost->kinds[i].offered_us *= factor;
      decay (&cost->kinds[i].outcomes, factor);
    }
  cost->reserve = false;
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    if (cost->kinds[i].used)
      update_boost (cost, &cost->kinds[i]);
  cost->active = 0;
  for (size_t i = 0; i < SHED_COST_ACCOUNTS; i++)
    {
      struct shed_cost_account *account = &cost->accounts[i];
      decay (&account->outcomes, factor);
      cost->active
          += account->account != 0 && account->updated_us + ACTIVE_US > now_us;
    }
}

/// @return slot time per second that an account may use, microseconds
static double
account_rate (const struct shed_cost *cost,
              const struct shed_cost_account *account, uint64_t now_us)
{
  double age_us = (double)(now_us - account->first_us);
  if (age_us < USUAL_LEARN_US)
    age_us = USUAL_LEARN_US;
  double window_s = USUAL_TAU_US / 1e6 * (1 - exp (-age_us / USUAL_TAU_US));
  double usual = USUAL_MULTIPLE * account->usual_us / window_s;
  double fair = (double)cost->slots * 1e6
                / (double)(cost->active > 0 ? cost->active : 1);
  return usual > fair ? usual : fair;
}

/// @return the account's entry, refilled; a new one replaces that with the
///         least use
static struct shed_cost_account *
refill_account (struct shed_cost *cost, uint32_t hash, double need_us,
                uint64_t now_us)
{
  struct shed_cost_account *account = find_account (cost, hash);
  if (account == NULL)
    {
      account = &cost->accounts[0];
      for (size_t i = 1; i < SHED_COST_ACCOUNTS; i++)
        if (cost->accounts[i].usual_us < account->usual_us)
          account = &cost->accounts[i];
      *account = (struct shed_cost_account){ .account = hash,
                                             .tokens_us = INFINITY,
                                             .first_us = now_us,
                                             .updated_us = now_us };
    }
  uint64_t last_us = account->updated_us;
  double elapsed_us = now_us > last_us ? (double)(now_us - last_us) : 0;
  if (elapsed_us > 0)
    {
      account->usual_us *= exp (-elapsed_us / USUAL_TAU_US);
      account->updated_us = now_us;
    }
  double per_s = account_rate (cost, account, account->updated_us);
  double limit_us = per_s * BUCKET_US / 1e6 + BUCKET_REQUESTS * need_us;
  account->tokens_us += per_s * elapsed_us / 1e6;
  if (account->tokens_us > limit_us)
    account->tokens_us = limit_us;
  return account;
}

/// @return true when the request is beyond the usual share of its account
static bool
charge_account (struct shed_cost *cost, uint32_t hash, double need_us,
                uint64_t now_us)
{
  struct shed_cost_account *account
      = refill_account (cost, hash, need_us, now_us);
  bool learning = (double)(now_us - cost->started_us) < USUAL_LEARN_US;
  if (!learning && account->tokens_us < need_us)
    /* Even an account beyond its share is served within the bound. */
    return resolved (&account->outcomes) < OUTCOMES_MIN
           || served_share (&account->outcomes)
                  >= SERVED_FLOOR * served_share (&cost->outcomes);
  account->usual_us += need_us;
  account->tokens_us
      = account->tokens_us > need_us ? account->tokens_us - need_us : 0;
  return false;
}

void
shed_cost_offer (struct shed_cost *cost, struct shed_cost_item *item,
                 uint64_t now_us)
{
  double need_us = slot_time (item->service_us);
  if (cost->started_us == 0)
    cost->started_us = now_us;
  item->entry = (uint8_t)find_or_add_kind (cost, item->kind, item->rank);
  struct shed_cost_kind *kind = &cost->kinds[item->entry];
  kind->service_us = item->service_us;
  item->over_share = item->account != 0
                     && charge_account (cost, item->account, need_us, now_us);
  cost->offered += 1;
  cost->mean_us = (cost->offered_us + need_us) / cost->offered;
  cost->offered_us += need_us;
  if (!item->over_share)
    kind->offered_us += need_us;
}

/// @return value of a response on time, by rank and bounds
static double
weight (const struct shed_cost *cost, const struct shed_cost_item *item)
{
  uint32_t rank = item->rank / SHED_COST_ROUTE_RANKS
                  + item->rank % SHED_COST_ROUTE_RANKS;
  if (rank > SHED_COST_RANK_MAX)
    rank = SHED_COST_RANK_MAX;
  double value = cost->rank_weights[rank];
  const struct shed_cost_kind *kind = kind_of (cost, item);
  if (kind != NULL)
    value *= kind->boost;
  if (item->account == 0 && cost->active > 0)
    value *= INNER_CALL_WEIGHT;
  return item->over_share ? value * OVER_SHARE_WEIGHT : value;
}

/// @return 1 without slack, falling towards 0
static double
urgency (double slack_us, double scale_us)
{
  double relative = 1 + slack_us / scale_us;
  return 1 / (relative * relative);
}

double
shed_cost_score (const struct shed_cost *cost,
                 const struct shed_cost_item *item, uint64_t now_us)
{
  double need_us = slot_time (item->service_us);
  double scale_us
      = SLACK_MEANS
        * (cost->mean_us > SERVICE_US_MIN ? cost->mean_us : SERVICE_US_MIN);
  double to_objective
      = (double)(int64_t)(item->objective_us - now_us) - need_us;
  double to_deadline = (double)(int64_t)(item->deadline_us - now_us) - need_us;
  if (to_deadline < 0)
    return 0;
  double loss = LATE_VALUE * urgency (to_deadline, scale_us);
  if (to_objective >= need_us / OBJECTIVE_MARGIN_DIVISOR)
    loss += (1 - LATE_VALUE) * urgency (to_objective, scale_us);
  return weight (cost, item) * loss / need_us;
}

double
shed_cost_share_ahead (const struct shed_cost *cost,
                       const struct shed_cost_item *item)
{
  double own = weight (cost, item) / slot_time (item->service_us);
  double ahead_us = 0;
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    {
      const struct shed_cost_kind *kind = &cost->kinds[i];
      if (!kind->used || (kind == kind_of (cost, item) && !item->over_share))
        continue;
      struct shed_cost_item other = { .kind = kind->kind,
                                      .rank = kind->rank,
                                      .account = item->account,
                                      .service_us = kind->service_us,
                                      .entry = (uint8_t)i };
      if (weight (cost, &other) / slot_time (kind->service_us) > own)
        ahead_us += kind->offered_us;
    }
  double share = ahead_us / OUTCOME_TAU_US
                 / (double)(cost->slots > 0 ? cost->slots : 1);
  return share < SHARE_AHEAD_MAX ? share : SHARE_AHEAD_MAX;
}

static void
count (struct shed_cost *cost, const struct shed_cost_item *item,
       double served, double on_time)
{
  struct shed_cost_kind *kind
      = kind_of (cost, item) == NULL ? NULL : &cost->kinds[item->entry];
  struct shed_cost_account *account
      = item->account == 0 ? NULL : find_account (cost, item->account);
  if (kind != NULL)
    {
      kind->served_total += served > 0;
      kind->refused_total += served == 0;
    }
  struct shed_cost_outcomes *const counted[]
      = { &cost->outcomes, kind == NULL ? NULL : &kind->outcomes,
          account == NULL ? NULL : &account->outcomes };
  for (size_t i = 0; i < sizeof counted / sizeof counted[0]; i++)
    {
      /* An account beyond its share must not make its kinds look underserved.
       */
      if (counted[i] == NULL || (i < 2 && item->over_share && served == 0))
        continue;
      counted[i]->served += served;
      counted[i]->on_time += on_time;
      counted[i]->refused += 1 - served;
    }
}

void
shed_cost_served (struct shed_cost *cost, const struct shed_cost_item *item,
                  uint64_t now_us)
{
  count (cost, item, 1, now_us <= item->objective_us);
}

void
shed_cost_refused (struct shed_cost *cost, const struct shed_cost_item *item)
{
  count (cost, item, 0, 0);
}

uint64_t
shed_cost_retry_after_us (struct shed_cost *cost,
                          const struct shed_cost_item *item, uint64_t drain_us,
                          uint64_t left_us, double unit, uint64_t now_us)
{
  double slots = cost->slots > 0 ? (double)cost->slots : 1;
  double step_us = slot_time (item->service_us) / (slots * RETURN_SHARE);
  uint64_t first_us
      = now_us + (drain_us > RETRY_US_MIN ? drain_us : RETRY_US_MIN);
  if (cost->return_us < first_us)
    cost->return_us = first_us;
  uint64_t after_us = cost->return_us - now_us;
  uint64_t latest_us = left_us / RETRY_LEFT_DIVISOR;
  if (latest_us > RETRY_US_MAX)
    latest_us = RETRY_US_MAX;
  if (after_us + (uint64_t)step_us > latest_us)
    {
      /* No scheduled time is left that this caller would honour. */
      uint64_t from_us = first_us - now_us;
      if (from_us >= latest_us)
        return from_us < RETRY_US_MAX ? from_us : RETRY_US_MAX;
      return from_us + (uint64_t)(unit * (double)(latest_us - from_us));
    }
  cost->return_us += (uint64_t)step_us;
  return after_us + (uint64_t)(unit * step_us);
}
