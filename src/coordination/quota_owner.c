/// Owns the token bucket of one account at its owner or standby.
#include "coordination/quota_owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/// Share of the rate for each of two nodes that cannot reach each other.
#define PAIR_SHARE 0.5

/// Share of the rate that silent nodes may use on their own (quota_lease.h).
#define SILENT_SHARE 0.5

/// Requests of silent nodes within a window that need no reserve: half of the
/// constant part of the tolerance.
#define SILENT_FREE 10.0

/// Interval of computing the reserve.
#define RESERVE_MS 250

/// Expected requests of one node get at most this share of the tokens.
#define EXPECTED_SHARE 0.25

/// Largest debt, as time at the rate.
#define DEBT_S_MAX 1.0

/// Decay of the debt relative to the rate: requests that found no token are
/// rejected or come back, so it must not outlive them.
#define DEBT_DECAY 2.0

#define WAIT_MS_MAX 5000u

void
quota_owner_init (struct quota_owner *owner)
{
  memset (owner, 0, sizeof *owner);
  owner->rank = QUOTA_RANKS;
  owner->promised_to = SIZE_MAX;
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    owner->votes[i].voter = SIZE_MAX;
}

void
quota_owner_finish (struct quota_owner *owner)
{
  free (owner->heard_ms);
  owner->heard_ms = NULL;
}

void
quota_owner_set_limit (struct quota_owner *owner,
                       const struct quota_limit *limit)
{
  owner->limit = *limit;
  if (owner->tokens > limit->burst)
    owner->tokens = limit->burst;
}

bool
quota_owner_is_settled (const struct quota_owner *owner, uint64_t now_ms)
{
  return owner->rank < QUOTA_RANKS
         && now_ms - owner->ranked_since_ms >= QUOTA_SETTLE_MS;
}

void
quota_owner_set_rank (struct quota_owner *owner, const struct quota_rank *rank,
                      size_t own, uint64_t now_ms)
{
  struct quota_vote votes[QUOTA_RANKS - 1];
  size_t count = 0;
  unsigned place = quota_rank_of (rank, own);
  for (unsigned i = 0; i < QUOTA_RANKS && count < QUOTA_RANKS - 1; i++)
    {
      if (i == place)
        continue;
      struct quota_vote vote = { .voter = rank->handles[i] };
      for (size_t k = 0; k < QUOTA_RANKS - 1; k++)
        if (vote.voter != SIZE_MAX && owner->votes[k].voter == vote.voter)
          vote = owner->votes[k];
      votes[count++] = vote;
    }
  memcpy (owner->votes, votes, sizeof votes);
  if (owner->rank == QUOTA_RANKS)
    owner->ranked_since_ms = now_ms;
  owner->rank = place;
}

static bool
is_majority (const struct quota_owner *owner, bool settled, uint64_t now_ms)
{
  bool any_settled = false;
  bool all = true;
  bool alone = true;
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    {
      const struct quota_vote *vote = &owner->votes[i];
      bool valid = now_ms < vote->until_ms;
      if (vote->voter == SIZE_MAX)
        continue;
      alone = false;
      all = all && valid;
      any_settled = any_settled || (valid && vote->settled);
    }
  /* At its start, a node's directory may lack all others. */
  return alone ? settled : all || (settled && any_settled);
}

bool
quota_owner_is_held (const struct quota_owner *owner, uint64_t now_ms)
{
  return owner->rank <= QUOTA_RANK_STANDBY && now_ms >= owner->promise_until_ms
         && is_majority (owner, quota_owner_is_settled (owner, now_ms),
                         now_ms);
}

static bool
is_candidate (const struct quota_owner *owner, uint64_t now_ms)
{
  if (owner->rank > QUOTA_RANK_STANDBY || now_ms < owner->promise_until_ms)
    return false;
  return owner->rank == QUOTA_RANK_OWNER
         || (owner->asked_ms != 0
             && now_ms - owner->asked_ms < QUOTA_CANDIDATE_MS);
}

/// @return true when one vote suffices and will not expire soon
static bool
has_firm_vote (const struct quota_owner *owner, uint64_t now_ms)
{
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    if (owner->votes[i].settled
        && owner->votes[i].until_ms > now_ms + QUOTA_HOLD_MS / 2)
      return quota_owner_is_settled (owner, now_ms);
  return false;
}

size_t
quota_owner_due_vote (struct quota_owner *owner, uint64_t now_ms)
{
  if (!is_candidate (owner, now_ms))
    return SIZE_MAX;
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    {
      struct quota_vote *vote = &owner->votes[i];
      if (vote->voter == SIZE_MAX || now_ms < vote->next_ms
          || (i > 0 && has_firm_vote (owner, now_ms)))
        continue;
      /* The votes of all accounts are due at the same times, to go into the
         same messages. */
      vote->next_ms = (now_ms / QUOTA_RENEW_MS + 1) * QUOTA_RENEW_MS;
      return vote->voter;
    }
  return SIZE_MAX;
}

/// Applies the number of nodes that asked the node which granted before.
static void
inherit (struct quota_owner *owner, uint32_t known, uint64_t now_ms)
{
  if (known == 0
      || (owner->inherited_ms == now_ms && known < owner->inherited))
    return;
  owner->inherited = known;
  owner->inherited_ms = now_ms;
}

/// Empties the bucket after a time without a majority, in which another node
/// may have granted.
static void
note_hold (struct quota_owner *owner, uint64_t now_ms)
{
  bool held = quota_owner_is_held (owner, now_ms);
  if (held && !owner->was_held)
    {
      owner->tokens = 0;
      owner->refilled_ms = now_ms;
      for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
        inherit (owner, owner->votes[i].known, now_ms);
    }
  owner->was_held = held;
}

void
quota_owner_vote (struct quota_owner *owner, size_t voter, bool settled,
                  uint32_t known, uint64_t sent_ms, uint64_t now_ms)
{
  note_hold (owner, now_ms);
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    {
      struct quota_vote *vote = &owner->votes[i];
      if (vote->voter != voter || voter == SIZE_MAX)
        continue;
      vote->settled = settled;
      vote->known = known;
      vote->until_ms = sent_ms + QUOTA_HOLD_MS;
    }
  note_hold (owner, now_ms);
}

bool
quota_owner_promise (struct quota_owner *owner,
                     const struct quota_candidate *candidate, bool *settled,
                     uint64_t now_ms)
{
  if (candidate->rank > QUOTA_RANK_STANDBY || owner->rank >= QUOTA_RANKS
      || owner->rank == candidate->rank || owner->rank == QUOTA_RANK_OWNER)
    return false;
  if (now_ms < owner->promise_until_ms
      && owner->promised_to != candidate->node)
    return false;
  if (quota_owner_is_held (owner, now_ms)
      && (owner->rank < candidate->rank || !candidate->settled))
    return false;
  for (size_t i = 0; i < QUOTA_RANKS - 1; i++)
    owner->votes[i].until_ms = 0;
  owner->was_held = false;
  owner->promised_to = candidate->node;
  owner->promise_until_ms = now_ms + QUOTA_HOLD_MS;
  inherit (owner, candidate->known, now_ms);
  *settled = quota_owner_is_settled (owner, now_ms);
  return true;
}

/// @return rate at which this node may grant; 0: it may not decide
static double
granted_rate (const struct quota_owner *owner, bool current, uint64_t now_ms)
{
  double rate = owner->limit.rate_per_s - owner->reserved;
  if (quota_owner_is_held (owner, now_ms))
    return rate;
  /* Without contact to the store it is unknown whether there are others by
     now. */
  bool pair
      = owner->votes[0].voter != SIZE_MAX && owner->votes[1].voter == SIZE_MAX;
  return pair && current && owner->rank <= QUOTA_RANK_STANDBY
                 && now_ms >= owner->promise_until_ms
                 && quota_owner_is_settled (owner, now_ms)
             ? rate * PAIR_SHARE
             : 0;
}

static void
note_heard (struct quota_owner *owner, size_t node, uint64_t now_ms)
{
  if (node >= DIRECTORY_RECORDS_MAX)
    return;
  if (node >= owner->heard_capacity)
    {
      size_t capacity = node < 64 ? 64 : 2 * node;
      uint32_t *heard_ms
          = realloc (owner->heard_ms, capacity * sizeof *heard_ms);
      if (heard_ms == NULL)
        return; /* the node counts as silent, which is the safe side */
      memset (heard_ms + owner->heard_capacity, 0,
              (capacity - owner->heard_capacity) * sizeof *heard_ms);
      owner->heard_ms = heard_ms;
      owner->heard_capacity = capacity;
    }
  owner->heard_ms[node] = (uint32_t)now_ms | 1;
}

/// @return number of nodes that were last heard between `age_min_ms` and
///         QUOTA_LOCAL_END_MS ago
static size_t
count_heard (const struct quota_owner *owner, uint32_t age_min_ms,
             uint64_t now_ms)
{
  size_t count = 0;
  for (size_t i = 0; i < owner->heard_capacity; i++)
    {
      uint32_t age_ms = (uint32_t)now_ms - (owner->heard_ms[i] & ~1u);
      count += owner->heard_ms[i] != 0 && age_ms >= age_min_ms
               && age_ms < QUOTA_LOCAL_END_MS;
    }
  return count;
}

static bool
has_inherited (const struct quota_owner *owner, uint64_t now_ms)
{
  return owner->inherited_ms != 0
         && now_ms - owner->inherited_ms < QUOTA_LOCAL_END_MS;
}

uint32_t
quota_owner_known (const struct quota_owner *owner, uint64_t now_ms)
{
  uint32_t heard = (uint32_t)count_heard (owner, 0, now_ms);
  return has_inherited (owner, now_ms) && owner->inherited > heard
             ? owner->inherited
             : heard;
}

/// Computes the part of the rate that nodes which have fallen silent may use
/// on their own.
static void
update_reserve (struct quota_owner *owner, size_t nodes, uint64_t now_ms)
{
  if (owner->reserved_ms != 0 && now_ms - owner->reserved_ms < RESERVE_MS)
    return;
  size_t heard = count_heard (owner, 0, now_ms);
  size_t silent = count_heard (owner, QUOTA_SILENCE_MS, now_ms);
  /* Which nodes asked the one that granted before is not known, only their
     number. */
  size_t unheard = nodes > heard ? nodes - heard : 0;
  if (has_inherited (owner, now_ms)
      && now_ms - owner->inherited_ms >= QUOTA_SILENCE_MS - QUOTA_HOLD_MS)
    silent += owner->inherited < unheard ? owner->inherited : unheard;
  double use = nodes == 0 ? 0
                          : SILENT_SHARE * owner->limit.rate_per_s
                                * (double)silent / (double)nodes;
  owner->reserved = fmax (0, use - SILENT_FREE * 1000 / QUOTA_SILENCE_MS);
  owner->reserved_ms = now_ms;
}

/// @return tokens that may still be in use at other nodes
static double
outstanding (struct quota_owner *owner, uint64_t now_ms)
{
  uint64_t slot = now_ms / QUOTA_SLOT_MS;
  if (slot - owner->slot >= QUOTA_SLOTS)
    memset (owner->slots, 0, sizeof owner->slots);
  else
    for (uint64_t s = owner->slot + 1; s <= slot; s++)
      owner->slots[s % QUOTA_SLOTS] = 0;
  owner->slot = slot;
  double sum = 0;
  for (size_t i = 0; i < QUOTA_SLOTS; i++)
    sum += owner->slots[i];
  return sum;
}

/// Takes back unused tokens, from the oldest slots: those expire first, so the
/// count of outstanding tokens is never too low. Tokens of expired leases come
/// back too, of requests that were admitted and never ran.
static void
take_back (struct quota_owner *owner, uint32_t count)
{
  owner->tokens += count; /* refill limits it to the burst */
  for (uint64_t i = 1; i <= QUOTA_SLOTS && count > 0; i++)
    {
      uint32_t *slot = &owner->slots[(owner->slot + i) % QUOTA_SLOTS];
      uint32_t taken = *slot < count ? *slot : count;
      *slot -= taken;
      count -= taken;
    }
}

static void
refill (struct quota_owner *owner, double rate_per_s, double outside,
        uint64_t now_ms)
{
  double passed_s = owner->refilled_ms == 0
                        ? 0
                        : (double)(now_ms - owner->refilled_ms) / 1000;
  /* Tokens that come back and go out again would otherwise add up to more
     than the burst. */
  double room = owner->limit.burst
                + owner->limit.rate_per_s * QUOTA_LEASE_MS / 1000 - outside;
  double most = fmax (1, fmin (owner->limit.burst, room));
  owner->tokens = fmin (most, owner->tokens + rate_per_s * passed_s);
  owner->debt = fmax (
      0, owner->debt - DEBT_DECAY * owner->limit.rate_per_s * passed_s);
  owner->refilled_ms = now_ms;
}

/// @return time until the requests without a token could have one
static uint32_t
wait_ms (const struct quota_owner *owner, double rate_per_s)
{
  double missing = owner->debt + 1 - owner->tokens;
  if (missing <= 0)
    return 1;
  double wait = rate_per_s > 0 ? missing / rate_per_s * 1000 : WAIT_MS_MAX;
  return wait < WAIT_MS_MAX ? (uint32_t)ceil (wait) : WAIT_MS_MAX;
}

struct quota_grant
quota_owner_ask (struct quota_owner *owner, size_t node, size_t nodes,
                 bool current, uint32_t pending, uint32_t expected,
                 uint32_t returned, uint64_t now_ms)
{
  struct quota_grant grant = { .verdict = QUOTA_NOT_READY };
  owner->asked_ms = now_ms;
  note_heard (owner, node, now_ms);
  update_reserve (owner, nodes, now_ms);
  note_hold (owner, now_ms);
  double rate = granted_rate (owner, current, now_ms);
  if (rate <= 0)
    return grant;
  outstanding (owner, now_ms);
  take_back (owner, returned);
  double outside = outstanding (owner, now_ms);
  refill (owner, rate, outside, now_ms);
  grant.verdict = QUOTA_DECIDED;
  double whole = floor (owner->tokens);
  grant.tokens = pending < whole ? pending : (uint32_t)whole;
  if (grant.tokens < pending)
    {
      owner->debt = fmin (owner->debt + pending - grant.tokens,
                          DEBT_S_MAX * owner->limit.rate_per_s);
      grant.wait_ms = wait_ms (owner, rate);
    }
  else
    {
      double spare = floor ((whole - pending) * EXPECTED_SHARE);
      grant.tokens += expected < spare ? expected : (uint32_t)spare;
    }
  owner->tokens -= grant.tokens;
  owner->slots[owner->slot % QUOTA_SLOTS] += grant.tokens;
  return grant;
}
