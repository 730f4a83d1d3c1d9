/// Owns no state of its own: takes a membership's messages and repairs
/// differing views.
#include "coordination/membership_parts.h"

#include <stdlib.h>
#include <string.h>

/// Differing digests are repaired at once when the own view was quiet for this
/// time; younger differences are mostly events that are still on their way.
#define QUIET_MS 1000
#define MISMATCH_MAX_MS 5000
/// Answers with more records than this count as snapshots.
#define SMALL_REPLY 64
/// After joining, records from MEMBERS are news to this node only.
#define SETTLE_MS 5000
#define NOTICES_MAX 16 ///< members told of their death per MEMBERS
#define RANDOM_PROBES 2

/// Pulls the view of a member that states another digest.
static void
compare_digest (struct membership *m, uint64_t from, uint64_t digest,
                uint64_t now_ms)
{
  if (digest == m->digest)
    {
      m->mismatch_ms = 0;
      return;
    }
  if (m->mismatch_ms == 0)
    m->mismatch_ms = now_ms;
  bool quiet = now_ms - m->digest_ms >= QUIET_MS;
  bool lasting = now_ms - m->mismatch_ms >= MISMATCH_MAX_MS;
  if ((!quiet && !lasting) || now_ms < m->pull_ms)
    return;
  m->pull_ms = now_ms + QUIET_MS + rng_below (m->rng, QUIET_MS);
  m->ops->send_view_pull (m->arg, from, m->buckets);
}

/// An answer states what differs from the heartbeat, or changed lately.
static void
answer_heartbeat (struct membership *m, uint64_t from,
                  const struct heartbeat *heartbeat, uint64_t now_ms)
{
  struct heartbeat reply = { .seq = heartbeat->seq, .digest = m->digest };
  m->ops->version (m->arg, &reply.version, reply.hash);
  if (heartbeat->incarnation != 0)
    reply.incarnation = membership_self (m)->incarnation;
  if (heartbeat->states_version)
    reply.states_version
        = reply.version != heartbeat->version
          || memcmp (reply.hash, heartbeat->hash, sizeof reply.hash) != 0;
  else
    reply.states_version = now_ms - m->version_ms < MEMBERSHIP_FRESH_MS;
  if (heartbeat->states_digest)
    reply.states_digest = reply.digest != heartbeat->digest;
  else
    reply.states_digest = now_ms - m->digest_ms < MEMBERSHIP_FRESH_MS;
  m->ops->send_heartbeat (m->arg, from, &reply, true);
}

void
membership_heartbeat (struct membership *m, uint64_t from,
                      const struct heartbeat *heartbeat, bool answer,
                      uint64_t now_ms)
{
  if (from == m->self_id)
    return;
  if (answer)
    membership_probe_answered (m, from);
  else
    answer_heartbeat (m, from, heartbeat, now_ms);
  if (heartbeat->states_version)
    m->ops->heard_version (m->arg, from, heartbeat->version, heartbeat->hash);
  uint32_t handle = member_find (&m->table, from);
  if (handle == MEMBER_NONE)
    {
      /* A process without known members joins through the first one that
         contacts it. */
      if (!m->joined)
        {
          m->ops->send_view_pull (m->arg, from, m->buckets);
          m->ops->send_members (m->arg, from, &m->self, 1, false);
        }
      else if (heartbeat->states_digest)
        compare_digest (m, from, heartbeat->digest, now_ms);
      return;
    }
  const struct member *member = member_get (&m->table, handle);
  membership_zone_heard (m, member, now_ms);
  if (member->state != MEMBER_ALIVE
      && heartbeat->incarnation <= member->incarnation)
    m->ops->send_members (m->arg, from, &handle, 1, false);
  if (heartbeat->states_digest)
    compare_digest (m, from, heartbeat->digest, now_ms);
}

/// Decides how far a record that MEMBERS brought is passed on.
static void
pass_on (struct membership *m, uint64_t from, uint32_t handle, bool settled,
         uint64_t now_ms)
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
membership_members (struct membership *m, uint64_t from,
                    const struct member *records, size_t count, bool answer,
                    uint64_t now_ms)
{
  bool settled = m->joined && now_ms - m->joined_ms >= SETTLE_MS;
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
      /* Whoever was cut off holds others for dead: give them time to refute
         before that view wins. */
      bool contested = record.state == MEMBER_DEAD && handle != MEMBER_NONE
                       && member_get (&m->table, handle)->state == MEMBER_ALIVE
                       && member_get (&m->table, handle)->incarnation
                              == record.incarnation;
      if (contested)
        record.state = MEMBER_SUSPECT;
      if (!membership_merge (m, &record, now_ms))
        continue;
      handle = member_find (&m->table, record.slot_id);
      if (contested && notices++ < NOTICES_MAX)
        m->ops->send_members (m->arg, record.slot_id, &handle, 1, false);
      pass_on (m, from, handle, settled, now_ms);
    }
  if (!m->joined && answer)
    membership_joined (m, now_ms);
}

void
membership_view_pull (struct membership *m, uint64_t from,
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
  if (count > SMALL_REPLY && !token_bucket_take (&m->snapshots, now_ms))
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
membership_retry_after (struct membership *m, uint32_t delay_ms,
                        uint64_t now_ms)
{
  uint64_t until = now_ms + delay_ms + rng_below (m->rng, delay_ms + 1);
  m->pull_ms = until;
  if (!m->joined)
    m->join_ms = until;
}

void
membership_events (struct membership *m, const struct member *records,
                   size_t count, const struct zone_mark *mark, uint64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    {
      if (records[i].slot_id != m->self_id)
        membership_merge (m, &records[i], now_ms);
      else if (!m->leaving)
        membership_refute (m, &records[i], now_ms);
    }
  if (mark != NULL)
    membership_zone_marked (m, mark, now_ms);
}
