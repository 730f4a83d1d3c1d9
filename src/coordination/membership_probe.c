/// Regular heartbeats: which members get them, and what follows when they do
/// not answer.
#include "coordination/membership_internal.h"

#include "base/counter.h"

#include <string.h>

static struct counter replaced
    = COUNTER ("membership_connections_replaced",
               "Connections closed because a heartbeat was not answered.");
static struct counter suspicions
    = COUNTER ("membership_suspicions", "Members suspected by this node.");

/// When two zones have not heard of each other for this long, both send
/// heartbeats, and to both relays of the other zone.
#define ZONE_SILENT_MS 2000

static struct membership_probe *
find_probe (struct membership *m, uint64_t slot_id)
{
  for (uint32_t i = 0; i < m->probe_count; i++)
    if (m->probes[i].slot_id == slot_id)
      return &m->probes[i];
  return NULL;
}

/// Adds a member to the probes. Takes its state from the previous list or, if
/// it is new, starts at a random time within the heartbeat interval, so that
/// nodes that start together do not send at the same time.
static void
add_probe (struct membership *m, struct membership_probe *previous,
           uint32_t previous_count, uint64_t slot_id, bool is_successor,
           uint64_t now_ms)
{
  if (slot_id == 0 || slot_id == m->self_id || find_probe (m, slot_id) != NULL
      || m->probe_count == MEMBERSHIP_PROBES_MAX)
    return;
  struct membership_probe *probe = &m->probes[m->probe_count++];
  *probe = (struct membership_probe){
    .slot_id = slot_id,
    .next_ms = now_ms + rng_below (m->rng, MEMBERSHIP_HEARTBEAT_MS)
  };
  for (uint32_t i = 0; i < previous_count; i++)
    if (previous[i].slot_id == slot_id)
      *probe = previous[i];
  probe->is_successor = is_successor;
}

/// Adds relays of other zones, if this node is a relay. Of two zones, the one
/// with the lower id sends the regular heartbeats, from each relay to the one
/// of the same rank. The other zone only answers, unless it hears nothing.
static void
add_relay_probes (struct membership *m, struct membership_probe *previous,
                  uint32_t previous_count, uint64_t now_ms)
{
  int rank = ring_relay_rank (ring_find_zone (&m->ring, m->ring.own_zone),
                              m->self_id);
  if (rank < 0)
    return;
  for (uint32_t i = 0; i < m->ring.zone_count; i++)
    {
      const struct ring_zone *zone = &m->ring.zones[i];
      if (zone->id == m->ring.own_zone)
        continue;
      const struct membership_zone *state
          = membership_zone_state (m, zone->name, now_ms);
      bool silent = state == NULL || now_ms - state->heard_ms > ZONE_SILENT_MS;
      uint64_t counterpart
          = zone->relays[rank] != 0 ? zone->relays[rank] : zone->relays[0];
      if (silent || m->ring.own_zone < zone->id)
        add_probe (m, previous, previous_count, counterpart, false, now_ms);
      if (silent)
        add_probe (m, previous, previous_count, zone->relays[1 - rank], false,
                   now_ms);
    }
}

static void
choose_probes (struct membership *m, uint64_t now_ms)
{
  struct membership_probe previous[MEMBERSHIP_PROBES_MAX];
  uint32_t previous_count = m->probe_count;
  memcpy (previous, m->probes, previous_count * sizeof *previous);
  m->probe_count = 0;
  uint64_t successors[MEMBERSHIP_SUCCESSORS];
  uint32_t count = ring_successors (&m->ring, m->self_id, successors,
                                    MEMBERSHIP_SUCCESSORS);
  for (uint32_t i = 0; i < count; i++)
    add_probe (m, previous, previous_count, successors[i], true, now_ms);
  add_relay_probes (m, previous, previous_count, now_ms);
}

static void
fill_heartbeat (struct membership *m, struct heartbeat *heartbeat)
{
  heartbeat->incarnation = membership_self (m)->incarnation;
  heartbeat->has_version = true;
  heartbeat->has_digest = true;
  m->ops->version (m->arg, &heartbeat->version, heartbeat->hash);
  heartbeat->digest = m->digest;
}

void
membership_probe_once (struct membership *m, uint64_t slot_id)
{
  struct heartbeat heartbeat = { 0 };
  fill_heartbeat (m, &heartbeat);
  m->ops->send_heartbeat (m->arg, slot_id, &heartbeat, false);
}

static void
send_probe (struct membership *m, struct membership_probe *probe)
{
  struct heartbeat heartbeat = { 0 };
  fill_heartbeat (m, &heartbeat);
  probe->seq = (probe->seq + 1) & 0xffff;
  heartbeat.seq = probe->seq;
  bool changed = heartbeat.version != probe->sent_version
                 || heartbeat.digest != probe->sent_digest;
  if (changed || probe->heartbeats_until_full == 0
      || probe->connection_replaced)
    {
      probe->heartbeats_until_full = MEMBERSHIP_FULL_HEARTBEAT_EVERY - 1;
      probe->sent_version = heartbeat.version;
      probe->sent_digest = heartbeat.digest;
    }
  else
    {
      probe->heartbeats_until_full--;
      heartbeat = (struct heartbeat){ .seq = probe->seq };
    }
  m->ops->send_heartbeat (m->arg, probe->slot_id, &heartbeat, false);
}

void
membership_probe_answered (struct membership *m, uint64_t slot_id)
{
  struct membership_probe *probe = find_probe (m, slot_id);
  if (probe == NULL)
    return;
  probe->awaiting_ack = false;
  probe->connection_replaced = false;
}

void
membership_probe_resume (struct membership *m, uint64_t now_ms)
{
  for (uint32_t i = 0; i < m->probe_count; i++)
    {
      m->probes[i].awaiting_ack = false;
      m->probes[i].connection_replaced = false;
      m->probes[i].next_ms = now_ms;
    }
}

/// Handles a member that did not answer on a new connection either. Only ring
/// neighbours suspect a member: a relay that is not reachable from another
/// zone may be alive, which the members of its own zone find out.
static void
handle_probe_failure (struct membership *m, struct membership_probe *probe,
                      uint64_t now_ms)
{
  probe->awaiting_ack = false;
  probe->connection_replaced = false;
  probe->next_ms = now_ms + MEMBERSHIP_HEARTBEAT_MS;
  if (!probe->is_successor)
    return;
  uint32_t handle = member_find (&m->table, probe->slot_id);
  if (handle == MEMBER_NONE)
    return;
  struct member record = *member_get (&m->table, handle);
  if (record.state != MEMBER_ALIVE)
    return;
  record.state = MEMBER_SUSPECT;
  if (!membership_merge (m, &record, now_ms))
    return;
  counter_add (&suspicions, 1);
  membership_queue_event (m, handle, false, now_ms);
}

static void
retry_on_new_connection (struct membership *m, struct membership_probe *probe,
                         uint64_t now_ms)
{
  counter_add (&replaced, 1);
  probe->connection_replaced = true;
  probe->sent_ms = now_ms;
  probe->next_ms = now_ms + MEMBERSHIP_HEARTBEAT_MS;
  m->ops->replace_connection (m->arg, probe->slot_id);
  send_probe (m, probe);
}

static void
check_probe (struct membership *m, struct membership_probe *probe,
             uint64_t now_ms)
{
  uint64_t limit = probe->connection_replaced ? MEMBERSHIP_RETRY_TIMEOUT_MS
                                              : MEMBERSHIP_ACK_TIMEOUT_MS;
  if (probe->awaiting_ack && now_ms - probe->sent_ms >= limit)
    {
      if (probe->connection_replaced)
        handle_probe_failure (m, probe, now_ms);
      else
        retry_on_new_connection (m, probe, now_ms);
      return;
    }
  if (now_ms < probe->next_ms || probe->connection_replaced)
    return;
  probe->next_ms = now_ms + MEMBERSHIP_HEARTBEAT_MS;
  if (!probe->awaiting_ack)
    {
      probe->awaiting_ack = true;
      probe->sent_ms = now_ms;
    }
  send_probe (m, probe);
}

void
membership_handle_connect_failure (struct membership *m, uint64_t slot_id,
                                   uint64_t now_ms)
{
  struct membership_probe *probe = find_probe (m, slot_id);
  if (probe == NULL || !probe->awaiting_ack)
    return;
  if (probe->connection_replaced)
    handle_probe_failure (m, probe, now_ms);
}

void
membership_probe_tick (struct membership *m, uint64_t now_ms)
{
  if (m->leaving)
    return;
  /* On a relay the choice also depends on the silence of zones, which changes
     without the table. The list is short enough to rebuild at each tick. */
  if (m->probes_generation != m->ring.generation || m->relay_since_ms != 0)
    choose_probes (m, now_ms);
  m->probes_generation = m->ring.generation;
  for (uint32_t i = 0; i < m->probe_count; i++)
    check_probe (m, &m->probes[i], now_ms);
}
