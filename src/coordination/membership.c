/// Member table of a node and its queues of suspicions and events.
#include "coordination/membership.h"

#include "base/counter.h"
#include "base/hash.h"
#include "coordination/membership_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static struct counter refutations
    = COUNTER ("membership_refutations", "Own incarnation was raised.");
static struct counter deaths
    = COUNTER ("membership_deaths", "Suspicions that were not refuted.");

#define SNAPSHOT_ANSWERS_PER_S 4
/// Average interval at which one dead member is probed.
#define DEAD_RETRY_MS 10000
/// A node whose joins were not answered counts as joined after this time, once
/// it knows another live member.
#define FIRST_NODE_WAIT_MS 3000
/// Nodes that start at the same time through different seeds may form separate
/// meshes. Relays therefore compare their view with that of a seed, on average
/// at this interval.
#define SEED_CHECK_MS 30000

static bool
ensure_capacity (void **items, uint32_t *capacity, uint32_t needed,
                 size_t item_size)
{
  if (needed <= *capacity)
    return true;
  uint32_t new_capacity = *capacity == 0 ? 64 : *capacity * 2;
  void *grown = realloc (*items, new_capacity * item_size);
  if (grown == NULL)
    return false;
  *items = grown;
  *capacity = new_capacity;
  return true;
}

/// Dead and departed members have no share, so that nodes that never knew them
/// agree with nodes that keep their records.
/// @return the share of a member in the view digest
static uint64_t
digest_share (const struct member *member)
{
  if (member->state != MEMBER_ALIVE && member->state != MEMBER_SUSPECT)
    return 0;
  return hash_placement_pair (member->slot_id, member->incarnation);
}

static void
add_suspect (struct membership *m, uint32_t handle, uint64_t now_ms)
{
  if (m->suspect_first > 0 && m->suspect_count == m->suspect_capacity)
    {
      m->suspect_count -= m->suspect_first;
      memmove (m->suspects, m->suspects + m->suspect_first,
               m->suspect_count * sizeof *m->suspects);
      m->suspect_first = 0;
    }
  if (!ensure_capacity ((void **)&m->suspects, &m->suspect_capacity,
                        m->suspect_count + 1, sizeof *m->suspects))
    return;
  m->suspects[m->suspect_count++] = (struct membership_suspect){
    .handle = handle,
    .incarnation = member_get (&m->table, handle)->incarnation,
    .due_ms = now_ms + MEMBERSHIP_SUSPICION_TIMEOUT_MS
  };
}

static void
add_dead (struct membership *m, uint32_t handle)
{
  if (ensure_capacity ((void **)&m->dead, &m->dead_capacity, m->dead_count + 1,
                       sizeof *m->dead))
    m->dead[m->dead_count++] = handle;
}

void
membership_queue_event (struct membership *m, uint32_t handle, bool zone_only,
                        uint64_t now_ms)
{
  if (!ensure_capacity ((void **)&m->events, &m->event_capacity,
                        m->event_count + 1, sizeof *m->events))
    return;
  if (m->event_count == 0)
    m->event_ms = now_ms + MEMBERSHIP_EVENT_BATCH_MS;
  m->events[m->event_count++]
      = (struct membership_event){ .handle = handle, .zone_only = zone_only };
}

void
membership_update_self (struct membership *m, struct member *record,
                        uint64_t now_ms)
{
  record->incarnation++;
  membership_merge (m, record, now_ms);
  membership_queue_event (m, m->self, false, now_ms);
}

void
membership_refute (struct membership *m, const struct member *record,
                   uint64_t now_ms)
{
  struct member own = *membership_self (m);
  bool newer = record->incarnation > own.incarnation;
  bool worse
      = record->incarnation == own.incarnation && record->state > own.state;
  if (!newer && !worse)
    return;
  if (newer)
    own.incarnation = record->incarnation;
  counter_add (&refutations, 1);
  membership_update_self (m, &own, now_ms);
  m->event_ms = now_ms;
}

bool
membership_merge (struct membership *m, const struct member *record,
                  uint64_t now_ms)
{
  uint32_t handle = member_find (&m->table, record->slot_id);
  uint64_t before = 0;
  if (handle != MEMBER_NONE)
    before = digest_share (member_get (&m->table, handle));
  bool changed;
  if (member_merge (&m->table, record, now_ms, &changed) != STATUS_OK
      || !changed)
    return false;
  handle = member_find (&m->table, record->slot_id);
  uint64_t difference = before ^ digest_share (record);
  if (difference != 0)
    {
      m->buckets[membership_bucket (record->slot_id)] ^= difference;
      m->digest ^= difference;
      m->digest_ms = now_ms;
    }
  if (record->state == MEMBER_SUSPECT)
    add_suspect (m, handle, now_ms);
  if (record->state == MEMBER_DEAD)
    add_dead (m, handle);
  return true;
}

enum status
membership_init (struct membership *m, const struct member *self,
                 const struct membership_ops *ops, void *arg, struct rng *rng,
                 uint64_t now_ms)
{
  *m = (struct membership){ .ops = ops,
                            .arg = arg,
                            .rng = rng,
                            .self_id = self->slot_id,
                            .tick_ms = now_ms,
                            .join_ms = now_ms,
                            .start_ms = now_ms };
  member_table_init (&m->table);
  ring_init (&m->ring, &m->table, self->availability_zone);
  token_bucket_init (&m->snapshot_tokens, SNAPSHOT_ANSWERS_PER_S,
                     SNAPSHOT_ANSWERS_PER_S, now_ms);
  if (!membership_merge (m, self, now_ms))
    return STATUS_NO_MEMORY;
  m->self = member_find (&m->table, self->slot_id);
  m->dead_ms = now_ms + rng_below (rng, DEAD_RETRY_MS);
  return STATUS_OK;
}

void
membership_finish (struct membership *m)
{
  member_table_finish (&m->table);
  ring_finish (&m->ring);
  free (m->suspects);
  free (m->dead);
  free (m->events);
}

void
membership_joined (struct membership *m, uint64_t now_ms)
{
  m->joined = true;
  m->joined_ms = now_ms;
  m->join_failures = 0;
  m->join_ms = now_ms + SEED_CHECK_MS;
  membership_queue_event (m, m->self, false, now_ms);
}

static void
retry_join (struct membership *m, uint64_t now_ms)
{
  uint32_t live = 0;
  for (uint32_t i = 0; i < m->ring.zone_count; i++)
    live += m->ring.zones[i].live;
  /* The first node of a mesh has nobody to join: the others join it. */
  if (!m->joined && live > 1 && now_ms - m->start_ms >= FIRST_NODE_WAIT_MS)
    membership_joined (m, now_ms);
  if (now_ms < m->join_ms)
    return;
  bool settled = m->joined && live > 1;
  if (settled && m->relay_since_ms == 0)
    return;
  m->ops->send_join (m->arg, m->buckets, m->self);
  if (settled)
    {
      m->join_ms
          = now_ms + SEED_CHECK_MS / 2 + rng_below (m->rng, SEED_CHECK_MS);
      return;
    }
  m->join_failures++;
  /* The fixed part of the delay prevents a second request while the seeds are
     still answering the first one. */
  m->join_ms = now_ms + BACKOFF_FIRST_MS
               + backoff_delay_ms (m->rng, m->join_failures);
}

static void
expire_suspicions (struct membership *m, uint64_t now_ms)
{
  while (m->suspect_first < m->suspect_count
         && m->suspects[m->suspect_first].due_ms <= now_ms)
    {
      struct membership_suspect due = m->suspects[m->suspect_first++];
      struct member record = *member_get (&m->table, due.handle);
      if (record.state != MEMBER_SUSPECT
          || record.incarnation != due.incarnation)
        continue;
      record.state = MEMBER_DEAD;
      membership_merge (m, &record, now_ms);
      counter_add (&deaths, 1);
    }
  if (m->suspect_first == m->suspect_count)
    m->suspect_first = m->suspect_count = 0;
}

/// Probes one random dead member. Its slot may be running again without a
/// store or seed that reports it, or a partition may have ended after which
/// each side considers the other one dead.
static void
probe_dead_member (struct membership *m, uint64_t now_ms)
{
  if (now_ms < m->dead_ms)
    return;
  m->dead_ms = now_ms + DEAD_RETRY_MS / 2 + rng_below (m->rng, DEAD_RETRY_MS);
  while (m->dead_count > 0)
    {
      uint32_t i = (uint32_t)rng_below (m->rng, m->dead_count);
      const struct member *member = member_get (&m->table, m->dead[i]);
      if (member->state == MEMBER_DEAD)
        {
          membership_probe_once (m, member->slot_id);
          return;
        }
      m->dead[i] = m->dead[--m->dead_count];
    }
}

static void
send_due_events (struct membership *m, uint64_t now_ms)
{
  if (m->event_count == 0 || now_ms < m->event_ms)
    return;
  uint32_t handles[MEMBERSHIP_EVENTS_MAX];
  for (int zone_only = 0; zone_only <= 1; zone_only++)
    {
      size_t count = 0;
      for (uint32_t i = 0; i < m->event_count; i++)
        {
          if (m->events[i].zone_only != (zone_only != 0))
            continue;
          /* Consecutive events of one member are sent once, with its current
             record. */
          if (count > 0 && handles[count - 1] == m->events[i].handle)
            continue;
          if (count == MEMBERSHIP_EVENTS_MAX)
            {
              m->ops->broadcast (m->arg, handles, count, NULL, zone_only != 0);
              count = 0;
            }
          handles[count++] = m->events[i].handle;
        }
      if (count > 0)
        m->ops->broadcast (m->arg, handles, count, NULL, zone_only != 0);
    }
  m->event_count = 0;
}

/// Handles a pause of this process. Its view of who answered is out of date,
/// so deadlines are moved by the pause. After a pause longer than a suspicion
/// the other members consider this node dead, which it refutes.
static void
resume_after_pause (struct membership *m, uint64_t gap_ms, uint64_t now_ms)
{
  for (uint32_t i = m->suspect_first; i < m->suspect_count; i++)
    m->suspects[i].due_ms += gap_ms;
  membership_probe_resume (m, now_ms);
  for (uint32_t i = 0; i < m->zone_count; i++)
    {
      uint64_t heard_ms = m->zones[i].heard_ms + gap_ms;
      m->zones[i].heard_ms = heard_ms < now_ms ? heard_ms : now_ms;
    }
  if (gap_ms < MEMBERSHIP_SUSPICION_TIMEOUT_MS || m->leaving)
    return;
  struct member own = *membership_self (m);
  counter_add (&refutations, 1);
  membership_update_self (m, &own, now_ms);
  m->event_ms = now_ms;
}

void
membership_tick (struct membership *m, uint64_t now_ms)
{
  assert (now_ms >= m->tick_ms);
  uint64_t gap_ms = now_ms - m->tick_ms;
  m->tick_ms = now_ms;
  if (gap_ms > MEMBERSHIP_HEARTBEAT_MS)
    resume_after_pause (m, gap_ms, now_ms);
  uint64_t version;
  uint8_t hash[8];
  m->ops->version (m->arg, &version, hash);
  if (version != m->last_version)
    m->version_ms = now_ms;
  m->last_version = version;
  expire_suspicions (m, now_ms);
  ring_refresh (&m->ring);
  retry_join (m, now_ms);
  membership_probe_tick (m, now_ms);
  membership_zone_tick (m, now_ms);
  probe_dead_member (m, now_ms);
  while (m->random_probes > 0)
    {
      m->random_probes--;
      uint64_t slot_id = membership_random_member (m);
      if (slot_id != 0)
        membership_probe_once (m, slot_id);
    }
  send_due_events (m, now_ms);
}

void
membership_set_target (struct membership *m, const char *service,
                       const char *target_version, uint16_t target_slots,
                       enum target_state state, uint64_t now_ms)
{
  struct member own = *membership_self (m);
  if (own.target_state == state && own.target_slots == target_slots
      && strcmp (own.service, service) == 0
      && strcmp (own.target_version, target_version) == 0)
    return;
  assert (strlen (service) <= MEMBER_NAME_MAX
          && strlen (target_version) <= MEMBER_NAME_MAX);
  memset (own.service, 0, sizeof own.service);
  memset (own.target_version, 0, sizeof own.target_version);
  memcpy (own.service, service, strlen (service));
  memcpy (own.target_version, target_version, strlen (target_version));
  own.target_slots = target_slots;
  own.target_state = state;
  membership_update_self (m, &own, now_ms);
  /* A target that is not ready must stop getting calls soon: broadcast at the
     next tick, without waiting for further events. */
  if (state != TARGET_READY)
    m->event_ms = now_ms;
}

void
membership_leave (struct membership *m, uint64_t now_ms)
{
  struct member own = *membership_self (m);
  own.state = MEMBER_LEFT;
  m->leaving = true;
  membership_update_self (m, &own, now_ms);
  m->event_ms = now_ms;
  send_due_events (m, now_ms);
}

const struct member *
membership_self (const struct membership *m)
{
  return member_get (&m->table, m->self);
}

bool
membership_is_relay (struct membership *m)
{
  ring_refresh (&m->ring);
  return ring_relay_rank (ring_find_zone (&m->ring, m->ring.own_zone),
                          m->self_id)
         >= 0;
}

uint64_t
membership_random_member (struct membership *m)
{
  ring_refresh (&m->ring);
  if (m->ring.count < 2)
    return 0;
  uint32_t start = (uint32_t)rng_below (m->rng, m->ring.count);
  uint64_t slot_id = m->ring.slots[start];
  return slot_id != m->self_id ? slot_id
                               : m->ring.slots[(start + 1) % m->ring.count];
}
