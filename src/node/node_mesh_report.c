/// Owns the reports of versions in force: they are summed up along the zone's
/// tree and exchanged between the first relays of the zones.
#include "node/node_mesh.h"

#include "base/clock.h"

#include <string.h>

static void
store_zone_report (struct node_mesh *mesh, uint64_t zone,
                   const struct report *report, uint64_t now_ms)
{
  uint32_t i = 0;
  while (i < mesh->zone_report_count && mesh->zone_reports[i].zone != zone)
    i++;
  if (i == RING_ZONES_MAX)
    return;
  if (i == mesh->zone_report_count)
    mesh->zone_report_count++;
  mesh->zone_reports[i] = (struct mesh_zone_report){ .zone = zone,
                                                     .received_ms = now_ms,
                                                     .report = *report };
}

static void
on_report (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct report report;
  uint64_t now_ms = clock_monotonic_ms ();
  uint32_t handle = member_find (&mesh->membership.table, from);
  if (handle == MEMBER_NONE
      || message_read_report (body, size, &report) != STATUS_OK)
    return;
  const struct member *member = member_get (&mesh->membership.table, handle);
  uint64_t zone = hash_placement_string (member->availability_zone);
  if (zone == mesh->membership.ring.own_zone)
    report_receive (&mesh->tree, from, &report, now_ms);
  else
    store_zone_report (mesh, zone, &report, now_ms);
}

static void
send_report (struct node_mesh *mesh, uint64_t to, const struct report *report)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_report (&body, report);
  mesh_send (mesh, to, MESSAGE_REPORT, &body);
}

/// Sends the zone's report to the first relays of the other zones. Runs at the
/// root of the zone's tree.
static void
send_zone_report (struct node_mesh *mesh, uint64_t now_ms)
{
  const struct ring *ring = &mesh->membership.ring;
  struct report_tree *tree = &mesh->tree;
  uint64_t version = config_follower_current (&mesh->follower)->version;
  uint64_t age_ms = now_ms - tree->sent_ms;
  if (tree->sent_ms != 0 && age_ms < REPORT_INTERVAL_MIN_MS)
    return;
  struct report sum;
  report_sum (tree, version, now_ms, &sum);
  /* Between zones, only a change of the lowest version is sent at once. */
  if (tree->sent_ms != 0 && age_ms < REPORT_IDLE_MS
      && sum.lowest == tree->sent.lowest)
    return;
  tree->sent = sum;
  tree->sent_ms = now_ms;
  for (uint32_t i = 0; i < ring->zone_count; i++)
    if (ring->zones[i].id != ring->own_zone && ring->zones[i].relays[0] != 0)
      send_report (mesh, ring->zones[i].relays[0], &sum);
}

void
mesh_report_start (struct node_mesh *mesh)
{
  peer_register_handler (mesh->peers, MESSAGE_REPORT, on_report, mesh);
}

void
mesh_report_tick (struct node_mesh *mesh, uint64_t now_ms)
{
  const struct ring *ring = &mesh->membership.ring;
  ring_refresh (&mesh->membership.ring);
  const struct ring_zone *own = ring_find_zone (ring, ring->own_zone);
  if (own != NULL && own->relays[0] == mesh->node->slot_id)
    {
      send_zone_report (mesh, now_ms);
      return;
    }
  struct report sum;
  uint64_t parent = report_due (
      &mesh->tree, config_follower_current (&mesh->follower)->version, now_ms,
      &sum);
  if (parent != 0)
    send_report (mesh, parent, &sum);
}

static void
copy_report (struct node_zone_report *zone, const struct report *sum,
             uint64_t age_ms)
{
  zone->reported = true;
  zone->reporting = sum->members;
  zone->lowest = sum->lowest;
  zone->lagging_count = sum->lagging_count;
  memcpy (zone->lagging, sum->lagging, sizeof zone->lagging);
  zone->age_ms = age_ms;
}

size_t
node_mesh_zones (struct node *node, struct node_zone_report *zones, size_t max)
{
  struct node_mesh *mesh = node->mesh;
  struct ring *ring = &mesh->membership.ring;
  uint64_t now_ms = clock_monotonic_ms ();
  ring_refresh (ring);
  size_t count = 0;
  for (uint32_t i = 0; i < ring->zone_count && count < max; i++)
    {
      const struct ring_zone *seen = &ring->zones[i];
      struct node_zone_report *zone = &zones[count++];
      *zone = (struct node_zone_report){
        .members = seen->live,
        .reachable = membership_zone_reachable (&mesh->membership, seen->name)
      };
      memcpy (zone->name, seen->name, sizeof zone->name);
      struct report sum;
      if (seen->id == ring->own_zone)
        {
          report_sum (&mesh->tree,
                      config_follower_current (&mesh->follower)->version,
                      now_ms, &sum);
          copy_report (zone, &sum, 0);
          continue;
        }
      for (uint32_t j = 0; j < mesh->zone_report_count; j++)
        if (mesh->zone_reports[j].zone == seen->id)
          copy_report (zone, &mesh->zone_reports[j].report,
                       now_ms - mesh->zone_reports[j].received_ms);
    }
  return count;
}
