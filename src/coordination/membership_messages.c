/// Handlers of received messages, and reconciliation of views that differ.
/// Keeps no state of its own.
#include "coordination/membership_internal.h"

#include <stdlib.h>
#include <string.h>

/// A digest that differs leads to a pull at once if the own view has not
/// changed for this time; more recent differences are mostly events that are
/// still on their way. Also the minimum interval between two pulls.
#define DIGEST_STABLE_MS 1000
/// A digest mismatch that lasts this long leads to a pull in any case.
#define MISMATCH_MAX_MS 5000
/// Answers to VIEW_PULL with more records than this are snapshots, which are
/// rate-limited.
#define SMALL_REPLY_RECORDS 64
/// For this time after joining, records from MEMBERS are new to this node only
/// and are not forwarded.
#define JOIN_SETTLE_MS 5000
/// Members that are told that others consider them dead, per MEMBERS message.
#define DEATH_NOTICES_MAX 16
/// Random members of the zone that get a full heartbeat after a new record.
#define RANDOM_PROBES 2

/// Pulls the view of a member whose digest differs from the own one.
static void
reconcile_digest (struct membership *m, uint64_t from, uint64_t digest,
                  uint64_t now_ms)
{
  if (digest == m->digest)
    {
      m->mismatch_ms = 0;
      return;
    }
  if (m->mismatch_ms == 0)
    m->mismatch_ms = now_ms;
  bool own_view_stable = now_ms - m->digest_ms >= DIGEST_STABLE_MS;
  bool mismatch_persists = now_ms - m->mismatch_ms >= MISMATCH_MAX_MS;
  if ((!own_view_stable && !mismatch_persists) || now_ms < m->pull_ms)
    return;
  m->pull_ms
      = now_ms + DIGEST_STABLE_MS + rng_below (m->rng, DIGEST_STABLE_MS);
  m->ops->send_view_pull (m->arg, from, m->buckets);
}

/// Sends an ACK. It carries version and digest if they differ from those of
/// the heartbeat or, if the heartbeat has none, if they changed recently.
static void
answer_heartbeat (struct membership *m, uint64_t from,
                  const struct heartbeat *heartbeat, uint64_t now_ms)
{
  struct heartbeat reply = { .seq = heartbeat->seq, .digest = m->digest };
  m->ops->version (m->arg, &reply.version, reply.hash);
  if (heartbeat->incarnation != 0)
    reply.incarnation = membership_self (m)->incarnation;
  if (heartbeat->has_version)
    reply.has_version
        = reply.version != heartbeat->version
          || memcmp (reply.hash, heartbeat->hash, sizeof reply.hash) != 0;
  else
    reply.has_version = now_ms - m->version_ms < MEMBERSHIP_RECENT_CHANGE_MS;
  if (heartbeat->has_digest)
    reply.has_digest = reply.digest != heartbeat->digest;
  else
    reply.has_digest = now_ms - m->digest_ms < MEMBERSHIP_RECENT_CHANGE_MS;
  m->ops->send_heartbeat (m->arg, from, &reply, true);
}

void
membership_handle_heartbeat (struct membership *m, uint64_t from,
                             const struct heartbeat *heartbeat, bool answer,
                             uint64_t now_ms)
{
  if (from == m->self_id)
    return;
  if (answer)
    membership_probe_answered (m, from);
  else
    answer_heartbeat (m, from, heartbeat, now_ms);
  if (heartbeat->has_version)
    m->ops->member_version (m->arg, from, heartbeat->version, heartbeat->hash);
  uint32_t handle = member_find (&m->table, from);
  if (handle == MEMBER_NONE)
    {
      /* A node that has not joined yet joins through the first member that
         contacts it. */
      if (!m->joined)
        {
          m->ops->send_view_pull (m->arg, from, m->buckets);
          m->ops->send_members (m->arg, from, &m->self, 1, false);
        }
      else if (heartbeat->has_digest)
        reconcile_digest (m, from, heartbeat->digest, now_ms);
      return;
    }
  const struct member *member = member_get (&m->table, handle);
  membership_zone_heard (m, member, now_ms);
  if (member->state != MEMBER_ALIVE
      && heartbeat->incarnation <= member->incarnation)
    m->ops->send_members (m->arg, from, &handle, 1, false);
  if (heartbeat->has_digest)
    reconcile_digest (m, from, heartbeat->digest, now_ms);
}

/// Forwards a record that was new in a MEMBERS message. From a sender in
/// another zone it is broadcast in the own zone. From a sender in the own zone
/// it leads to heartbeats to random members, which pull it because their
/// digests differ.
static void
forward_record (struct membership *m, uint64_t from, uint32_t handle,
                bool settled, uint64_t now_ms)
{
  /* A joining node broadcasts its own record once it knows its zone. */
  if (!settled || member_get (&m->table, handle)->slot_id == from)
    return;
  uint32_t sender = member_find (&m->table, from);
  const struct member *self = membership_self (m);
  if (sender != MEMBER_NONE
      && strcmp (member_get (&m->table, sender)->availability_zone,
                 self->availability_zone)
             != 0)
    membership_queue_event (m, handle, true, now_ms);
  else
    m->random_probes = RANDOM_PROBES;
}

void
membership_handle_members (struct membership *m, uint64_t from,
                           const struct member *records, size_t count,
                           bool answer, uint64_t now_ms)
{
  bool settled = m->joined && now_ms - m->joined_ms >= JOIN_SETTLE_MS;
  unsigned notices = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct member record = records[i];
      if (record.slot_id == m->self_id)
        {
          if (!m->leaving)
            membership_refute (m, &record, now_ms);
          continue;
        }
      uint32_t handle = member_find (&m->table, record.slot_id);
      /* A node that was cut off may consider live members dead. Suspecting
         them first gives them time to refute. */
      bool disputed = record.state == MEMBER_DEAD && handle != MEMBER_NONE
                      && member_get (&m->table, handle)->state == MEMBER_ALIVE
                      && member_get (&m->table, handle)->incarnation
                             == record.incarnation;
      if (disputed)
        record.state = MEMBER_SUSPECT;
      if (!membership_merge (m, &record, now_ms))
        continue;
      handle = member_find (&m->table, record.slot_id);
      if (disputed && notices++ < DEATH_NOTICES_MAX)
        m->ops->send_members (m->arg, record.slot_id, &handle, 1, false);
      forward_record (m, from, handle, settled, now_ms);
    }
  if (!m->joined && answer)
    membership_joined (m, now_ms);
}

void
membership_handle_view_pull (struct membership *m, uint64_t from,
                             const uint64_t digests[MEMBERSHIP_BUCKETS],
                             uint64_t now_ms)
{
  bool differs[MEMBERSHIP_BUCKETS];
  for (unsigned i = 0; i < MEMBERSHIP_BUCKETS; i++)
    differs[i] = digests[i] != m->buckets[i];
  uint32_t *handles = malloc ((size_t)m->table.count * sizeof *handles);
  if (handles == NULL)
    return;
  uint32_t count = 0;
  for (uint32_t i = 0; i < m->table.count; i++)
    if (differs[membership_bucket (m->table.items[i].slot_id)])
      handles[count++] = i;
  if (count > SMALL_REPLY_RECORDS
      && !token_bucket_take (&m->snapshot_tokens, now_ms))
    m->ops->send_retry_after (m->arg, from,
                              (uint32_t)(250 + rng_below (m->rng, 1000)));
  else
    for (uint32_t i = 0; i < count; i += MEMBERSHIP_RECORDS_MAX)
      m->ops->send_members (m->arg, from, handles + i,
                            count - i < MEMBERSHIP_RECORDS_MAX
                                ? count - i
                                : MEMBERSHIP_RECORDS_MAX,
                            true);
  free (handles);
}

void
membership_handle_retry_after (struct membership *m, uint32_t delay_ms,
                               uint64_t now_ms)
{
  uint64_t until = now_ms + delay_ms + rng_below (m->rng, delay_ms + 1);
  m->pull_ms = until;
  if (!m->joined)
    m->join_ms = until;
}

void
membership_handle_events (struct membership *m, const struct member *records,
                          size_t count,
                          const struct zone_reachability *reachability,
                          uint64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    {
      if (records[i].slot_id != m->self_id)
        membership_merge (m, &records[i], now_ms);
      else if (!m->leaving)
        membership_refute (m, &records[i], now_ms);
    }
  if (reachability != NULL)
    membership_zone_merge (m, reachability, now_ms);
}
