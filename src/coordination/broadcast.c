/// Parts that wait for a BROADCAST_ACK, and the cache of ids already received.
#include "coordination/broadcast.h"

#include "base/counter.h"
#include "base/hash.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

static struct counter started
    = COUNTER ("spread_started", "Broadcasts that this node started.");
static struct counter duplicates
    = COUNTER ("spread_duplicates", "Broadcasts received again.");
static struct counter parts_resent
    = COUNTER ("spread_asked_again", "Parts sent to another member.");
static struct counter parts_lost = COUNTER (
    "spread_parts_lost", "Parts without acknowledgement after all attempts.");

/// Reference-counted body, shared by the parts of one broadcast.
struct broadcast_body
{
  uint32_t references;
  size_t size;
  uint8_t bytes[];
};

static struct broadcast_body *
new_body (const uint8_t *bytes, size_t size)
{
  struct broadcast_body *body = talloc_size (NULL, sizeof *body + size);
  if (body == NULL)
    return NULL;
  body->references = 1;
  body->size = size;
  if (size > 0)
    memcpy (body->bytes, bytes, size);
  return body;
}

static void
release_body (struct broadcast_body *body)
{
  assert (body != NULL && body->references > 0);
  if (--body->references == 0)
    talloc_free (body);
}

static bool
same_id (const struct broadcast_id *a, const struct broadcast_id *b)
{
  return a->origin == b->origin && a->number == b->number;
}

static uint64_t
seen_set_index (const struct broadcast_id *id)
{
  return hash_placement_pair (id->origin, id->number) % BROADCAST_SEEN_SETS;
}

static struct broadcast_seen *
find_seen (struct broadcaster *broadcaster, const struct broadcast_id *id)
{
  struct broadcast_seen *set
      = broadcaster->seen + seen_set_index (id) * BROADCAST_SEEN_WAYS;
  for (int i = 0; i < BROADCAST_SEEN_WAYS; i++)
    if (same_id (&set[i].id, id))
      return &set[i];
  return NULL;
}

static void
add_seen (struct broadcaster *broadcaster, const struct broadcast_id *id,
          uint64_t lo, uint64_t hi)
{
  uint64_t set = seen_set_index (id);
  unsigned way = broadcaster->seen_next[set]++ % BROADCAST_SEEN_WAYS;
  broadcaster->seen[set * BROADCAST_SEEN_WAYS + way]
      = (struct broadcast_seen){ .id = *id, .lo = lo, .hi = hi };
}

/// @return true when [lo, hi) lies within [outer_lo, outer_hi) on the ring
static bool
is_contained (uint64_t lo, uint64_t hi, uint64_t outer_lo, uint64_t outer_hi)
{
  if (outer_lo == outer_hi)
    return true;
  if (lo == hi)
    return false;
  /* Neither interval is the whole ring, so lengths modulo 2^64 are exact. */
  return lo - outer_lo <= outer_hi - outer_lo
         && (hi - lo) <= (outer_hi - outer_lo) - (lo - outer_lo);
}

static bool
is_live (const struct broadcaster *broadcaster, uint64_t slot_id)
{
  uint32_t handle = member_find (broadcaster->ring->table, slot_id);
  return handle != MEMBER_NONE
         && member_get (broadcaster->ring->table, handle)->state
                == MEMBER_ALIVE;
}

/// Finds the members of [lo, hi) on the ring.
/// @param first  set to the ring index of the first one
/// @return number of members, which includes this node if it is one of them
static uint32_t
interval_members (struct broadcaster *broadcaster, uint64_t lo, uint64_t hi,
                  uint32_t *first)
{
  ring_refresh (broadcaster->ring);
  const struct ring *ring = broadcaster->ring;
  *first = ring_lower_bound (ring, lo);
  if (lo == hi)
    return ring->count;
  uint32_t end = ring_lower_bound (ring, hi);
  return lo < hi ? end - *first : ring->count - *first + end;
}

static uint64_t
slot_at (const struct ring *ring, uint32_t index)
{
  return ring->slots[index % ring->count];
}

/// Chooses a member of [lo, hi) other than this node.
/// @param except  member to avoid
/// @return a random live member other than `except`; if there is none, one
///         that is not alive, and `except` only as last resort; 0 when there
///         is no other member than this node
static uint64_t
choose_receiver (struct broadcaster *broadcaster, uint64_t lo, uint64_t hi,
                 uint64_t except)
{
  uint32_t first;
  uint32_t count = interval_members (broadcaster, lo, hi, &first);
  if (count == 0)
    return 0;
  uint32_t start = (uint32_t)rng_below (broadcaster->rng, count);
  uint64_t fallback = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t slot = slot_at (broadcaster->ring, first + (start + i) % count);
      if (slot == broadcaster->self)
        continue;
      if (slot != except && is_live (broadcaster, slot))
        return slot;
      if (fallback == 0 || fallback == except)
        fallback = slot;
    }
  return fallback;
}

/// Chooses a relay of another zone: first the one of this node's rank, then
/// the relays in turn.
/// @return its slot id; 0 when the zone has no relay
static uint64_t
choose_zone_relay (struct broadcaster *broadcaster,
                   const struct broadcast_part *part)
{
  const struct ring_zone *zone
      = ring_find_zone (broadcaster->ring, part->zone);
  if (zone == NULL)
    return 0;
  const struct ring_zone *own
      = ring_find_zone (broadcaster->ring, broadcaster->ring->own_zone);
  int rank = ring_relay_rank (own, broadcaster->self);
  unsigned turn = (unsigned)(rank > 0 ? rank : 0) + part->attempts;
  uint64_t slot = zone->relays[turn % RING_RELAYS];
  return slot != 0 ? slot : zone->relays[0];
}

/// Sends a part to the next receiver.
/// @return false after the last attempt, or when there is no receiver
static bool
send_part (struct broadcaster *broadcaster, struct broadcast_part *part,
           uint64_t now_ms)
{
  if (part->attempts == BROADCAST_ATTEMPTS_MAX)
    return false;
  uint64_t slot = part->zone != 0 ? choose_zone_relay (broadcaster, part)
                                  : choose_receiver (broadcaster, part->lo,
                                                     part->hi, part->receiver);
  if (slot == 0)
    return false;
  part->receiver = slot;
  part->attempts++;
  part->due_ms = now_ms + BROADCAST_ACK_TIMEOUT_MS;
  struct broadcast_message message = { .id = part->id,
                                       .lo = part->zone != 0 ? slot : part->lo,
                                       .hi = part->zone != 0 ? slot : part->hi,
                                       .kind = part->kind,
                                       .body = part->body->bytes,
                                       .size = part->body->size,
                                       .zone_only = part->zone_only };
  broadcaster->ops->send (broadcaster->arg, slot, &message);
  return true;
}

static bool
reserve_part (struct broadcaster *broadcaster)
{
  if (broadcaster->part_count < broadcaster->part_capacity)
    return true;
  if (broadcaster->part_count == BROADCAST_PENDING_MAX)
    return false;
  uint32_t capacity
      = broadcaster->part_capacity == 0 ? 16 : broadcaster->part_capacity * 2;
  struct broadcast_part *parts = talloc_realloc (
      NULL, broadcaster->parts, struct broadcast_part, capacity);
  if (parts == NULL)
    return false;
  broadcaster->parts = parts;
  broadcaster->part_capacity = capacity;
  return true;
}

/// Keeps a part until it is acknowledged. A part for which there is no room is
/// dropped, after it was sent if send_now is true.
/// @param send_now  send it at once, otherwise at its due time
static void
queue_part (struct broadcaster *broadcaster,
            const struct broadcast_part *template, bool send_now,
            uint64_t now_ms)
{
  struct broadcast_part part = *template;
  if (send_now && !send_part (broadcaster, &part, now_ms))
    return;
  if (!reserve_part (broadcaster))
    return;
  part.body->references++;
  broadcaster->parts[broadcaster->part_count++] = part;
}

/// Splits an interval that does not contain this node into parts and sends
/// each part to one of its members.
/// @param parts  maximum number of parts
static void
forward_interval (struct broadcaster *broadcaster,
                  const struct broadcast_message *message, uint64_t lo,
                  uint64_t hi, uint32_t parts, struct broadcast_body *body,
                  uint64_t now_ms)
{
  uint32_t first;
  uint32_t count = interval_members (broadcaster, lo, hi, &first);
  if (parts > count)
    parts = count;
  for (uint32_t i = 0; i < parts; i++)
    {
      uint32_t next = (uint32_t)((uint64_t)(i + 1) * count / parts);
      struct broadcast_part part
          = { .id = message->id,
              .lo = lo,
              .hi
              = i + 1 < parts ? slot_at (broadcaster->ring, first + next) : hi,
              .kind = message->kind,
              .zone_only = message->zone_only,
              .body = body };
      queue_part (broadcaster, &part, true, now_ms);
      lo = part.hi;
    }
}

/// Divides the parts between the members before and after this node so that
/// the largest part is as small as possible.
/// @return number of parts for the members before this node
static uint32_t
divide_parts (uint32_t before, uint32_t after)
{
  if (before == 0)
    return 0;
  if (after == 0)
    return BROADCAST_FANOUT;
  uint32_t best = 1;
  uint32_t best_size = UINT32_MAX;
  for (uint32_t parts = 1; parts < BROADCAST_FANOUT; parts++)
    {
      uint32_t first = (before + parts - 1) / parts;
      uint32_t second = (after + BROADCAST_FANOUT - parts - 1)
                        / (BROADCAST_FANOUT - parts);
      uint32_t size = first > second ? first : second;
      if (size < best_size)
        {
          best_size = size;
          best = parts;
        }
    }
  return best;
}

/// Forwards a message to the interval that it covers. If this node lies
/// inside, the sides before and after it are split separately, because a part
/// that contained this node would come back to it.
static void
forward (struct broadcaster *broadcaster,
         const struct broadcast_message *message, struct broadcast_body *body,
         uint64_t now_ms)
{
  uint64_t lo = message->lo;
  uint64_t hi = message->hi;
  uint64_t self = broadcaster->self;
  bool inside = lo == hi || self - lo < hi - lo;
  if (!inside)
    {
      forward_interval (broadcaster, message, lo, hi, BROADCAST_FANOUT, body,
                        now_ms);
      return;
    }
  uint32_t first;
  uint32_t before
      = lo == self ? 0 : interval_members (broadcaster, lo, self, &first);
  uint32_t after = hi == self + 1
                       ? 0
                       : interval_members (broadcaster, self + 1, hi, &first);
  if (before + after == 0)
    return;
  uint32_t parts = divide_parts (before, after);
  if (before > 0)
    forward_interval (broadcaster, message, lo, self, parts, body, now_ms);
  if (after > 0)
    forward_interval (broadcaster, message, self + 1, hi,
                      BROADCAST_FANOUT - parts, body, now_ms);
}

/// @return true for kinds whose loss heartbeats or view digests repair; the
///         second relay does not need to send them as well
static bool
is_repaired_otherwise (unsigned kind)
{
  return kind == BROADCAST_KIND_VERSION_RECORD
         || kind == BROADCAST_KIND_MEMBER_EVENTS;
}

/// Forwards a broadcast to the other zones if this node is a relay of the
/// origin's zone. The first relay and a relay that is the origin send at once,
/// the second one after BROADCAST_SECOND_RELAY_DELAY_MS.
static void
forward_to_zones (struct broadcaster *broadcaster,
                  const struct broadcast_message *message,
                  struct broadcast_body *body, uint64_t now_ms)
{
  const struct ring *ring = broadcaster->ring;
  const struct ring_zone *own = ring_find_zone (ring, ring->own_zone);
  int rank = ring_relay_rank (own, broadcaster->self);
  /* The last member of a zone is no longer a relay when it broadcasts that it
     leaves, but no other node can forward its broadcast. */
  if (message->id.origin == broadcaster->self
      && (own == NULL || own->relays[0] == 0))
    rank = 0;
  if (rank < 0
      || (rank > 0 && is_repaired_otherwise (message->kind)
          && message->id.origin != broadcaster->self))
    return;
  bool send_now = rank == 0 || message->id.origin == broadcaster->self;
  for (uint32_t i = 0; i < ring->zone_count; i++)
    {
      if (ring->zones[i].id == ring->own_zone)
        continue;
      struct broadcast_part part
          = { .id = message->id,
              .zone = ring->zones[i].id,
              .kind = message->kind,
              .due_ms = now_ms + BROADCAST_SECOND_RELAY_DELAY_MS,
              .body = body };
      queue_part (broadcaster, &part, send_now, now_ms);
    }
}

static bool
in_own_zone (const struct broadcaster *broadcaster, uint64_t slot_id)
{
  if (slot_id == broadcaster->self)
    return true;
  /* The member table, not the ring: a member that leaves is no longer on the
     ring when its broadcast is forwarded. */
  uint32_t handle = member_find (broadcaster->ring->table, slot_id);
  return handle != MEMBER_NONE
         && hash_placement_string (
                member_get (broadcaster->ring->table, handle)
                    ->availability_zone)
                == broadcaster->ring->own_zone;
}

enum status
broadcast_init (struct broadcaster *broadcaster, uint64_t self,
                struct ring *ring, const struct broadcast_ops *ops, void *arg,
                struct rng *rng)
{
  *broadcaster = (struct broadcaster){ .ops = ops,
                                       .arg = arg,
                                       .rng = rng,
                                       .ring = ring,
                                       .self = self,
                                       .number = rng_u64 (rng) };
  broadcaster->seen = talloc_zero_array (
      NULL, struct broadcast_seen, BROADCAST_SEEN_SETS * BROADCAST_SEEN_WAYS);
  broadcaster->seen_next
      = talloc_zero_array (NULL, uint8_t, BROADCAST_SEEN_SETS);
  if (broadcaster->seen != NULL && broadcaster->seen_next != NULL)
    return STATUS_OK;
  broadcast_finish (broadcaster);
  return status_set (STATUS_NO_MEMORY,
                     "out of memory for the cache of broadcast ids");
}

void
broadcast_finish (struct broadcaster *broadcaster)
{
  for (uint32_t i = 0; i < broadcaster->part_count; i++)
    release_body (broadcaster->parts[i].body);
  talloc_free (broadcaster->seen);
  talloc_free (broadcaster->seen_next);
  talloc_free (broadcaster->parts);
  *broadcaster = (struct broadcaster){ 0 };
}

enum status
broadcast_start (struct broadcaster *broadcaster, unsigned kind,
                 const uint8_t *body, size_t size, bool zone_only,
                 uint64_t now_ms)
{
  if (size > BROADCAST_BODY_MAX)
    return status_set (
        STATUS_TOO_LARGE,
        "broadcast body of %zu bytes exceeds the limit of %d bytes", size,
        BROADCAST_BODY_MAX);
  struct broadcast_body *shared = new_body (body, size);
  if (shared == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for a broadcast body");
  ring_refresh (broadcaster->ring);
  struct broadcast_message message
      = { .id = { broadcaster->self, ++broadcaster->number },
          .lo = broadcaster->self,
          .hi = broadcaster->self,
          .kind = kind,
          .zone_only = zone_only };
  counter_add (&started, 1);
  add_seen (broadcaster, &message.id, message.lo, message.hi);
  forward (broadcaster, &message, shared, now_ms);
  if (!zone_only)
    forward_to_zones (broadcaster, &message, shared, now_ms);
  release_body (shared);
  return STATUS_OK;
}

void
broadcast_receive (struct broadcaster *broadcaster, uint64_t from,
                   const struct broadcast_message *message, uint64_t now_ms)
{
  broadcaster->ops->send_ack (broadcaster->arg, from, &message->id);
  ring_refresh (broadcaster->ring);
  struct broadcast_seen *seen = find_seen (broadcaster, &message->id);
  if (seen != NULL)
    {
      counter_add (&duplicates, 1);
      /* A duplicate with a larger interval comes from a sender whose first
         receiver did not acknowledge, so members of the interval may still
         lack the body. The exception is a duplicate from another zone: it is
         sent by that zone's second relay, and the first copy has reached the
         whole own zone. */
      if (is_contained (message->lo, message->hi, seen->lo, seen->hi)
          || !in_own_zone (broadcaster, from))
        return;
      seen->lo = message->lo;
      seen->hi = message->hi;
    }
  else
    add_seen (broadcaster, &message->id, message->lo, message->hi);
  struct broadcast_body *body = new_body (message->body, message->size);
  if (body == NULL)
    return;
  forward (broadcaster, message, body, now_ms);
  if (seen == NULL && message->id.origin != broadcaster->self)
    broadcaster->ops->deliver (broadcaster->arg, message->id.origin,
                               message->kind, body->bytes, body->size);
  /* Refresh after delivery, because a join event adds its origin to the member
     table. */
  ring_refresh (broadcaster->ring);
  if (seen == NULL && !message->zone_only
      && in_own_zone (broadcaster, message->id.origin))
    forward_to_zones (broadcaster, message, body, now_ms);
  release_body (body);
}

void
broadcast_receive_ack (struct broadcaster *broadcaster, uint64_t from,
                       const struct broadcast_id *id)
{
  for (uint32_t i = 0; i < broadcaster->part_count;)
    {
      struct broadcast_part *part = &broadcaster->parts[i];
      if (part->receiver != from || !same_id (&part->id, id))
        {
          i++;
          continue;
        }
      release_body (part->body);
      *part = broadcaster->parts[--broadcaster->part_count];
    }
}

void
broadcast_tick (struct broadcaster *broadcaster, uint64_t now_ms)
{
  for (uint32_t i = 0; i < broadcaster->part_count;)
    {
      struct broadcast_part *part = &broadcaster->parts[i];
      if (now_ms < part->due_ms)
        {
          i++;
          continue;
        }
      if (part->attempts > 0)
        counter_add (&parts_resent, 1);
      /* The send operation only queues the message, so it does not change the
         list of parts. */
      if (send_part (broadcaster, part, now_ms))
        {
          i++;
          continue;
        }
      if (part->attempts > 0)
        counter_add (&parts_lost, 1);
      release_body (part->body);
      *part = broadcaster->parts[--broadcaster->part_count];
    }
}
