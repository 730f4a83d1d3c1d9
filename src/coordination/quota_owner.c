/// Owns the token bucket of one account at its owner or standby.
#include "coordination/quota_owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/// Share of the rate for an owner without a hold, and for a standby without a
/// promise. Together they are the rate.
#define UNHELD_SHARE 0.5

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
  owner->role = QUOTA_OTHER;
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

static void
empty (struct quota_owner *owner)
{
  owner->tokens = 0;
  owner->refilled_ms = 0;
}

void
quota_owner_set_role (struct quota_owner *owner, enum quota_role role,
                      uint64_t now_ms)
{
  if (role == owner->role)
    return;
  if (owner->role == QUOTA_OTHER)
    owner->role_since_ms = now_ms;
  /* Another node may have granted while this one had another role. */
  if (role != QUOTA_OWNER || owner->role == QUOTA_OTHER)
    empty (owner);
  if (role != QUOTA_OWNER)
    owner->hold_until_ms = 0;
  owner->role = role;
}

void
quota_owner_held (struct quota_owner *owner, uint64_t sent_ms)
{
  if (owner->role == QUOTA_OWNER
      && owner->hold_until_ms < sent_ms + QUOTA_HOLD_MS)
    {
      owner->hold_until_ms = sent_ms + QUOTA_HOLD_MS;
      if (owner->refilled_ms == 0)
        owner->refilled_ms = sent_ms;
    }
}

bool
quota_owner_has_hold (const struct quota_owner *owner, uint64_t now_ms)
{
  return owner->role == QUOTA_OWNER && now_ms < owner->hold_until_ms;
}

bool
quota_owner_promise (struct quota_owner *owner, bool sender_owns,
                     uint64_t now_ms)
{
  if (!sender_owns || owner->role != QUOTA_STANDBY)
    return false;
  owner->promise_until_ms = now_ms + QUOTA_HOLD_MS;
  empty (owner);
  return true;
}

/// @return true when this node may grant at all
static bool
may_grant (const struct quota_owner *owner, bool current, uint64_t now_ms)
{
  if (owner->role == QUOTA_OTHER || now_ms < owner->promise_until_ms)
    return false;
  if (quota_owner_has_hold (owner, now_ms))
    return true;
  /* Without contact to the store it is unknown whether another pair of nodes
     has taken over. */
  return current && now_ms - owner->role_since_ms >= QUOTA_SETTLE_MS;
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

/// Computes the part of the rate that nodes which have not been heard may use
/// on their own.
static void
update_reserve (struct quota_owner *owner, size_t nodes, uint64_t now_ms)
{
  if (owner->reserved_ms != 0 && now_ms - owner->reserved_ms < RESERVE_MS)
    return;
  size_t heard = 0;
  for (size_t i = 0; i < owner->heard_capacity; i++)
    heard += owner->heard_ms[i] != 0
             && (uint32_t)now_ms - owner->heard_ms[i] < QUOTA_SILENCE_MS;
  double silent
      = nodes > heard ? (double)(nodes - heard) / (double)nodes : 0.0;
  double window_s = QUOTA_SILENCE_MS / 1000.0;
  double use = silent * SILENT_SHARE * owner->limit.rate_per_s;
  owner->reserved = fmax (0, use - SILENT_FREE / window_s);
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
  if (!may_grant (owner, current, now_ms))
    return grant;
  bool held = quota_owner_has_hold (owner, now_ms);
  /* Without its hold, the standby may have granted meanwhile. */
  if (!held && owner->hold_until_ms != 0)
    {
      owner->hold_until_ms = 0;
      empty (owner);
    }
  note_heard (owner, node, now_ms);
  update_reserve (owner, nodes, now_ms);
  double rate = (owner->limit.rate_per_s - owner->reserved)
                * (held ? 1 : UNHELD_SHARE);
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
