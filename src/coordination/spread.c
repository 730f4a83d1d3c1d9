/// Owns the parts that wait for acknowledgement and the ids already seen.
#include "coordination/spread.h"

#include "base/counter.h"
#include "base/hash.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

static struct counter started
    = COUNTER ("spread_started", "Broadcasts that this node started.");
static struct counter duplicates
    = COUNTER ("spread_duplicates", "Broadcasts received again.");
static struct counter asked_again
    = COUNTER ("spread_asked_again", "Parts sent to another member.");
static struct counter parts_lost = COUNTER (
    "spread_parts_lost", "Parts without acknowledgement after all attempts.");

/// Shared by the parts of one broadcast.
struct spread_body
{
  uint32_t references;
  size_t size;
  uint8_t bytes[];
};

static struct spread_body *
body_new (const uint8_t *bytes, size_t size)
{
  struct spread_body *body = talloc_size (NULL, sizeof *body + size);
  if (body == NULL)
    return NULL;
  body->references = 1;
  body->size = size;
  if (size > 0)
    memcpy (body->bytes, bytes, size);
  return body;
}

static void
body_release (struct spread_body *body)
{
  assert (body != NULL && body->references > 0);
  if (--body->references == 0)
    talloc_free (body);
}

static bool
same_id (const struct spread_id *a, const struct spread_id *b)
{
  return a->origin == b->origin && a->number == b->number;
}

static uint64_t
seen_set (const struct spread_id *id)
{
  return hash_place_pair (id->origin, id->number) % SPREAD_SEEN_SETS;
}

static struct spread_seen *
find_seen (struct spread *spread, const struct spread_id *id)
{
  struct spread_seen *set = spread->seen + seen_set (id) * SPREAD_SEEN_WAYS;
  for (int i = 0; i < SPREAD_SEEN_WAYS; i++)
    if (same_id (&set[i].id, id))
      return &set[i];
  return NULL;
}

static void
add_seen (struct spread *spread, const struct spread_id *id, uint64_t lo,
          uint64_t hi)
{
  uint64_t set = seen_set (id);
  unsigned way = spread->seen_next[set]++ % SPREAD_SEEN_WAYS;
  spread->seen[set * SPREAD_SEEN_WAYS + way]
      = (struct spread_seen){ .id = *id, .lo = lo, .hi = hi };
}

/// @return true when [lo, hi) lies in [outer_lo, outer_hi) on the ring
static bool
contained (uint64_t lo, uint64_t hi, uint64_t outer_lo, uint64_t outer_hi)
{
  if (outer_lo == outer_hi)
    return true;
  if (lo == hi)
    return false;
  /* Lengths are exact modulo 2^64 because neither interval is the ring. */
  return lo - outer_lo <= outer_hi - outer_lo
         && (hi - lo) <= (outer_hi - outer_lo) - (lo - outer_lo);
}

static bool
is_live (const struct spread *spread, uint64_t slot_id)
{
  uint32_t handle = member_find (spread->ring->table, slot_id);
  return handle != MEMBER_NONE
         && member_get (spread->ring->table, handle)->state == MEMBER_ALIVE;
}

/// Finds the members of [lo, hi) on the ring.
/// @return their number without this node; they start at ring index *first
static uint32_t
interval_members (struct spread *spread, uint64_t lo, uint64_t hi,
                  uint32_t *first)
{
  ring_refresh (spread->ring);
  const struct ring *ring = spread->ring;
  *first = ring_lower_bound (ring, lo);
  if (lo == hi)
    return ring->count;
  uint32_t end = ring_lower_bound (ring, hi);
  return lo < hi ? end - *first : ring->count - *first + end;
}

static uint64_t
ring_at (const struct ring *ring, uint32_t index)
{
  return ring->slots[index % ring->count];
}

/// @return a member of [lo, hi) to ask: alive and not `except` if there is
/// one, otherwise any, `except` last; 0 when there is none
static uint64_t
choose (struct spread *spread, uint64_t lo, uint64_t hi, uint64_t except)
{
  uint32_t first;
  uint32_t count = interval_members (spread, lo, hi, &first);
  if (count == 0)
    return 0;
  uint32_t start = (uint32_t)rng_below (spread->rng, count);
  uint64_t fallback = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t slot = ring_at (spread->ring, first + (start + i) % count);
      if (slot == spread->self)
        continue;
      if (slot != except && is_live (spread, slot))
        return slot;
      if (fallback == 0 || fallback == except)
        fallback = slot;
    }
  return fallback;
}

/// @return a member of another zone to ask, its relays first
static uint64_t
choose_in_zone (struct spread *spread, const struct spread_part *part)
{
  const struct ring_zone *zone = ring_find_zone (spread->ring, part->zone);
  if (zone == NULL)
    return 0;
  const struct ring_zone *own
      = ring_find_zone (spread->ring, spread->ring->own_zone);
  int rank = ring_relay_rank (own, spread->self);
  unsigned turn = (unsigned)(rank > 0 ? rank : 0) + part->attempts;
  uint64_t slot = zone->relays[turn % RING_RELAYS];
  return slot != 0 ? slot : zone->relays[0];
}

/// Sends a part to the next member to ask.
/// @return false when no member is left
static bool
send_part (struct spread *spread, struct spread_part *part, uint64_t now_ms)
{
  if (part->attempts == SPREAD_ATTEMPTS)
    return false;
  uint64_t slot = part->zone != 0
                      ? choose_in_zone (spread, part)
                      : choose (spread, part->lo, part->hi, part->asked);
  if (slot == 0)
    return false;
  part->asked = slot;
  part->attempts++;
  part->due_ms = now_ms + SPREAD_ACK_MS;
  struct spread_message message = { .id = part->id,
                                    .lo = part->zone != 0 ? slot : part->lo,
                                    .hi = part->zone != 0 ? slot : part->hi,
                                    .kind = part->kind,
                                    .body = part->body->bytes,
                                    .size = part->body->size,
                                    .zone_only = part->zone_only };
  spread->ops->send (spread->arg, slot, &message);
  return true;
}

static bool
reserve_part (struct spread *spread)
{
  if (spread->part_count < spread->part_capacity)
    return true;
  if (spread->part_count == SPREAD_PENDING_MAX)
    return false;
  uint32_t capacity
      = spread->part_capacity == 0 ? 16 : spread->part_capacity * 2;
  struct spread_part *parts
      = talloc_realloc (NULL, spread->parts, struct spread_part, capacity);
  if (parts == NULL)
    return false;
  spread->parts = parts;
  spread->part_capacity = capacity;
  return true;
}

/// Keeps a part until it is acknowledged.
static void
add_part (struct spread *spread, const struct spread_part *template,
          bool send_now, uint64_t now_ms)
{
  struct spread_part part = *template;
  if (send_now && !send_part (spread, &part, now_ms))
    return;
  if (!reserve_part (spread))
    return;
  part.body->references++;
  spread->parts[spread->part_count++] = part;
}

/// Splits an interval without this node into parts and sends each one to one
/// of its members.
static void
cover_side (struct spread *spread, const struct spread_message *message,
            uint64_t lo, uint64_t hi, uint32_t parts, struct spread_body *body,
            uint64_t now_ms)
{
  uint32_t first;
  uint32_t count = interval_members (spread, lo, hi, &first);
  if (parts > count)
    parts = count;
  for (uint32_t i = 0; i < parts; i++)
    {
      uint32_t next = (uint32_t)((uint64_t)(i + 1) * count / parts);
      struct spread_part part
          = { .id = message->id,
              .lo = lo,
              .hi = i + 1 < parts ? ring_at (spread->ring, first + next) : hi,
              .kind = message->kind,
              .zone_only = message->zone_only,
              .body = body };
      add_part (spread, &part, true, now_ms);
      lo = part.hi;
    }
}

/// @return the number of parts for the members before this node that makes the
/// largest part on either side smallest
static uint32_t
parts_before (uint32_t before, uint32_t after)
{
  if (before == 0)
    return 0;
  if (after == 0)
    return SPREAD_PARTS;
  uint32_t best = 1;
  uint32_t best_size = UINT32_MAX;
  for (uint32_t parts = 1; parts < SPREAD_PARTS; parts++)
    {
      uint32_t first = (before + parts - 1) / parts;
      uint32_t second
          = (after + SPREAD_PARTS - parts - 1) / (SPREAD_PARTS - parts);
      uint32_t size = first > second ? first : second;
      if (size < best_size)
        {
          best_size = size;
          best = parts;
        }
    }
  return best;
}

/// Covers an interval on both sides of this node: a part that contained it
/// would come back to it.
static void
cover (struct spread *spread, const struct spread_message *message,
       struct spread_body *body, uint64_t now_ms)
{
  uint64_t lo = message->lo;
  uint64_t hi = message->hi;
  uint64_t self = spread->self;
  bool inside = lo == hi || self - lo < hi - lo;
  if (!inside)
    {
      cover_side (spread, message, lo, hi, SPREAD_PARTS, body, now_ms);
      return;
    }
  uint32_t first;
  uint32_t before
      = lo == self ? 0 : interval_members (spread, lo, self, &first);
  uint32_t after
      = hi == self + 1 ? 0 : interval_members (spread, self + 1, hi, &first);
  if (before + after == 0)
    return;
  uint32_t parts = parts_before (before, after);
  if (before > 0)
    cover_side (spread, message, lo, self, parts, body, now_ms);
  if (after > 0)
    cover_side (spread, message, self + 1, hi, SPREAD_PARTS - parts, body,
                now_ms);
}

/// Kinds that heartbeats or view digests repair need no second sender.
static bool
is_repaired (unsigned kind)
{
  return kind == SPREAD_VERSION_RECORD || kind == SPREAD_MEMBER_EVENTS;
}

/// As a relay of the origin's zone: passes a broadcast to the other zones.
static void
cover_zones (struct spread *spread, const struct spread_message *message,
             struct spread_body *body, uint64_t now_ms)
{
  const struct ring *ring = spread->ring;
  const struct ring_zone *own = ring_find_zone (ring, ring->own_zone);
  int rank = ring_relay_rank (own, spread->self);
  /* The last member of a zone that announces that it leaves is no relay any
     more, and no other node is. */
  if (message->id.origin == spread->self
      && (own == NULL || own->relays[0] == 0))
    rank = 0;
  if (rank < 0
      || (rank > 0 && is_repaired (message->kind)
          && message->id.origin != spread->self))
    return;
  bool send_now = rank == 0 || message->id.origin == spread->self;
  for (uint32_t i = 0; i < ring->zone_count; i++)
    {
      if (ring->zones[i].id == ring->own_zone)
        continue;
      struct spread_part part = { .id = message->id,
                                  .zone = ring->zones[i].id,
                                  .kind = message->kind,
                                  .due_ms = now_ms + SPREAD_SECOND_MS,
                                  .body = body };
      add_part (spread, &part, send_now, now_ms);
    }
}

static bool
in_own_zone (const struct spread *spread, uint64_t slot_id)
{
  if (slot_id == spread->self)
    return true;
  /* Not the ring: a member that announces that it leaves is not on it. */
  uint32_t handle = member_find (spread->ring->table, slot_id);
  return handle != MEMBER_NONE
         && hash_place_string (
                member_get (spread->ring->table, handle)->availability_zone)
                == spread->ring->own_zone;
}

enum status
spread_init (struct spread *spread, uint64_t self, struct ring *ring,
             const struct spread_ops *ops, void *arg, struct rng *rng)
{
  *spread = (struct spread){ .ops = ops,
                             .arg = arg,
                             .rng = rng,
                             .ring = ring,
                             .self = self,
                             .number = rng_u64 (rng) };
  spread->seen = talloc_zero_array (NULL, struct spread_seen,
                                    SPREAD_SEEN_SETS * SPREAD_SEEN_WAYS);
  spread->seen_next = talloc_zero_array (NULL, uint8_t, SPREAD_SEEN_SETS);
  if (spread->seen != NULL && spread->seen_next != NULL)
    return STATUS_OK;
  spread_finish (spread);
  return status_set (STATUS_NO_MEMORY, "no memory for broadcasts");
}

void
spread_finish (struct spread *spread)
{
  for (uint32_t i = 0; i < spread->part_count; i++)
    body_release (spread->parts[i].body);
  talloc_free (spread->seen);
  talloc_free (spread->seen_next);
  talloc_free (spread->parts);
  *spread = (struct spread){ 0 };
}

enum status
spread_start (struct spread *spread, unsigned kind, const uint8_t *body,
              size_t size, bool zone_only, uint64_t now_ms)
{
  if (size > SPREAD_BODY_MAX)
    return status_set (STATUS_TOO_LARGE, "broadcast of %zu bytes, limit %d",
                       size, SPREAD_BODY_MAX);
  struct spread_body *shared = body_new (body, size);
  if (shared == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a broadcast");
  ring_refresh (spread->ring);
  struct spread_message message = { .id = { spread->self, ++spread->number },
                                    .lo = spread->self,
                                    .hi = spread->self,
                                    .kind = kind,
                                    .zone_only = zone_only };
  counter_add (&started, 1);
  add_seen (spread, &message.id, message.lo, message.hi);
  cover (spread, &message, shared, now_ms);
  if (!zone_only)
    cover_zones (spread, &message, shared, now_ms);
  body_release (shared);
  return STATUS_OK;
}

void
spread_receive (struct spread *spread, uint64_t from,
                const struct spread_message *message, uint64_t now_ms)
{
  spread->ops->send_ack (spread->arg, from, &message->id);
  ring_refresh (spread->ring);
  struct spread_seen *seen = find_seen (spread, &message->id);
  if (seen != NULL)
    {
      counter_add (&duplicates, 1);
      /* A larger interval comes from a sender whose first choice did not
         answer; its members may still lack the body. The copy that the
         second relay sends from another zone is the exception: the first
         copy reached the whole zone. */
      if (contained (message->lo, message->hi, seen->lo, seen->hi)
          || !in_own_zone (spread, from))
        return;
      seen->lo = message->lo;
      seen->hi = message->hi;
    }
  else
    add_seen (spread, &message->id, message->lo, message->hi);
  struct spread_body *body = body_new (message->body, message->size);
  if (body == NULL)
    return;
  cover (spread, message, body, now_ms);
  if (seen == NULL && message->id.origin != spread->self)
    spread->ops->deliver (spread->arg, message->id.origin, message->kind,
                          body->bytes, body->size);
  /* After delivery, which makes the origin of a join event known. */
  ring_refresh (spread->ring);
  if (seen == NULL && !message->zone_only
      && in_own_zone (spread, message->id.origin))
    cover_zones (spread, message, body, now_ms);
  body_release (body);
}

void
spread_ack (struct spread *spread, uint64_t from, const struct spread_id *id)
{
  for (uint32_t i = 0; i < spread->part_count;)
    {
      struct spread_part *part = &spread->parts[i];
      if (part->asked != from || !same_id (&part->id, id))
        {
          i++;
          continue;
        }
      body_release (part->body);
      *part = spread->parts[--spread->part_count];
    }
}

void
spread_tick (struct spread *spread, uint64_t now_ms)
{
  for (uint32_t i = 0; i < spread->part_count;)
    {
      struct spread_part *part = &spread->parts[i];
      if (now_ms < part->due_ms)
        {
          i++;
          continue;
        }
      if (part->attempts > 0)
        counter_add (&asked_again, 1);
      /* Sending may not touch the list: the operations only queue. */
      if (send_part (spread, part, now_ms))
        {
          i++;
          continue;
        }
      if (part->attempts > 0)
        counter_add (&parts_lost, 1);
      body_release (part->body);
      *part = spread->parts[--spread->part_count];
    }
}
