/// Measures membership and broadcast in simulated meshes of the size of the
/// design page: memory, bytes, messages and hops. The bounds are the targets
/// in section 2.3 of that page; figures marked "info" have none.
#include "../test/unit/mesh_sim.h"
#include "coordination/rendezvous.h"

#define MEMBERS 5100
#define ZONES 10
#define ZONE_MEMBERS (MEMBERS / ZONES)
#define REPLACEMENTS_PER_DAY 1300
#define DAY_S 86400.0
#define IDLE_BYTES_PER_S_MAX 300 ///< per node when idle
#define BYTES_PER_S_MAX 3000     ///< per node at any time
#define MEMORY_BYTES_MAX 128e6
#define ZONE_EVENT_BYTES_MAX 60

/// Prints a figure with its upper bound.
static void
print (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.2f %s %g %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

/// Prints a figure without a bound.
static void
print_info (const char *name, double value, const char *unit)
{
  printf ("%s %.2f %s - info\n", name, value, unit);
}

static void
reset_counters (struct sim *sim)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim->nodes[i].bytes = sim->nodes[i].messages = 0;
}

/// Makes the simulation count the bytes of new connections.
static void
track_connections (struct sim *sim)
{
  sim->last_use
      = calloc ((size_t)sim->count * sim->count, sizeof *sim->last_use);
}

/// @return mean over the running nodes
static double
mean_bytes (const struct sim *sim)
{
  double sum = 0;
  unsigned up = 0;
  for (unsigned i = 0; i < sim->count; i++)
    if (sim->nodes[i].up)
      {
        sum += (double)sim->nodes[i].bytes;
        up++;
      }
  return sum / up;
}

/* Memory of a node, and size of one event */

static void
bench_memory (void)
{
  struct sim sim;
  sim_init (&sim, MEMBERS, ZONES, 1);
  sim_start (&sim, 0);
  struct membership *m = &sim.nodes[0].m;
  for (unsigned i = 1; i < MEMBERS; i++)
    membership_handle_events (m, &sim.nodes[i].record, 1, NULL, sim.now_ms);
  ring_refresh (&m->ring);
  double bytes = sizeof *m + sizeof sim.nodes[0].broadcaster
                 + (double)m->table.capacity * sizeof *m->table.items
                 + (double)m->table.index_size * sizeof *m->table.index
                 + (double)m->ring.capacity * sizeof *m->ring.slots
                 + BROADCAST_SEEN_SETS * BROADCAST_SEEN_WAYS
                       * sizeof (struct broadcast_seen);
  print ("mesh_memory_5100", bytes, "bytes", MEMORY_BYTES_MAX);
  print_info ("mesh_memory_per_member", sizeof *m->table.items, "bytes");
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  uint32_t handle = 7;
  message_write_events (&body, &m->table, &handle, 1, NULL);
  print_info ("mesh_member_event", (double)body.size, "bytes");
  msgpack_sbuffer_clear (&body);
  struct zone_reachability reachability
      = { .unreachable = true, .change_number = 1000 };
  memcpy (reachability.name, sim.nodes[0].record.availability_zone,
          sizeof reachability.name);
  message_write_events (&body, &m->table, NULL, 0, &reachability);
  print ("mesh_zone_event", (double)body.size, "bytes", ZONE_EVENT_BYTES_MAX);
  msgpack_sbuffer_destroy (&body);
  sim_finish (&sim);
}

/* Broadcasts among nodes that share one view of the members */

struct bcast_node
{
  struct broadcaster s;
  uint64_t slot_id;
  unsigned hops; ///< of the first message that arrived
  bool reached;
};

struct bcast_message
{
  struct bcast_node *from, *to;
  struct broadcast_message message;
  bool ack; ///< acknowledges message.id
  unsigned hops;
};

static struct bcast_node *bcast_nodes;
static unsigned bcast_node_count;
static struct bcast_message *bcast_queue;
static size_t bcast_queue_size;
static struct bcast_node *bcast_receiver;
static uint64_t bcast_sent;

static struct bcast_node *
bcast_find (uint64_t slot_id)
{
  for (unsigned i = 0; i < bcast_node_count; i++)
    if (bcast_nodes[i].slot_id == slot_id)
      return &bcast_nodes[i];
  return NULL;
}

static void
bcast_send (void *arg, uint64_t slot_id,
            const struct broadcast_message *message)
{
  struct bcast_node *from = arg;
  bcast_sent++;
  bcast_queue[bcast_queue_size++] = (struct bcast_message){
    .from = from,
    .to = bcast_find (slot_id),
    .message = *message,
    .hops = (bcast_receiver == from ? from->hops : 0) + 1
  };
}

static void
bcast_send_ack (void *arg, uint64_t slot_id, const struct broadcast_id *id)
{
  bcast_queue[bcast_queue_size++] = (struct bcast_message){
    .from = arg, .to = bcast_find (slot_id), .message.id = *id, .ack = true
  };
}

static void
bcast_deliver (void *arg, uint64_t origin, unsigned kind, const uint8_t *body,
               size_t size)
{
  ((struct bcast_node *)arg)->reached = true;
}

static const struct broadcast_ops bcast_ops = { .send = bcast_send,
                                                .send_ack = bcast_send_ack,
                                                .deliver = bcast_deliver };

/// Broadcasts a trip and prints the members missed, the hops and the messages.
/// @param hop_bound  upper bound of the hops
static void
bench_broadcast (unsigned count, unsigned zones, unsigned hop_bound)
{
  struct sim sim;
  sim_init (&sim, count, zones, 2);
  struct member_table table;
  member_table_init (&table);
  bool changed;
  for (unsigned i = 0; i < count; i++)
    {
      sim.nodes[i].record.incarnation = 1;
      member_merge (&table, &sim.nodes[i].record, 0, &changed);
    }
  struct ring rings[ZONES];
  for (unsigned i = 0; i < zones; i++)
    ring_init (&rings[i], &table, sim.nodes[i].record.availability_zone);
  bcast_nodes = calloc (count, sizeof *bcast_nodes);
  bcast_queue = calloc ((size_t)count * 4, sizeof *bcast_queue);
  bcast_node_count = count;
  bcast_queue_size = bcast_sent = 0;
  struct rng rng;
  rng_init (&rng, 3);
  for (unsigned i = 0; i < count; i++)
    {
      bcast_nodes[i].slot_id = sim.nodes[i].record.slot_id;
      broadcast_init (&bcast_nodes[i].s, bcast_nodes[i].slot_id,
                      &rings[i % zones], &bcast_ops, &bcast_nodes[i], &rng);
    }
  broadcast_start (&bcast_nodes[5].s, BROADCAST_KIND_TRIP,
                   (const uint8_t *)"trip", 4, false, 0);
  unsigned hops = 0;
  for (size_t i = 0; i < bcast_queue_size; i++)
    {
      struct bcast_message next = bcast_queue[i];
      if (next.ack)
        {
          broadcast_receive_ack (&next.to->s, next.from->slot_id,
                                 &next.message.id);
          continue;
        }
      if (!next.to->reached)
        next.to->hops = next.hops;
      bcast_receiver = next.to;
      broadcast_receive (&next.to->s, next.from->slot_id, &next.message, 0);
      if (next.hops > hops)
        hops = next.hops;
    }
  /* The second relay of the zone also sends it to the other zones. */
  for (unsigned i = 0; i < count; i++)
    broadcast_tick (&bcast_nodes[i].s, BROADCAST_SECOND_RELAY_DELAY_MS);
  unsigned reached = 1;
  for (unsigned i = 0; i < count; i++)
    reached += bcast_nodes[i].reached;
  char name[48];
  snprintf (name, sizeof name, "mesh_broadcast_missed_%u", count);
  print (name, count - reached, "members", 0);
  snprintf (name, sizeof name, "mesh_broadcast_hops_%u", count);
  print (name, hops, "hops", hop_bound);
  snprintf (name, sizeof name, "mesh_broadcast_messages_%u", count);
  print (name, (double)bcast_sent, "messages", count - 1 + (zones - 1));
  for (unsigned i = 0; i < count; i++)
    broadcast_finish (&bcast_nodes[i].s);
  for (unsigned i = 0; i < zones; i++)
    ring_finish (&rings[i]);
  free (bcast_nodes);
  free (bcast_queue);
  member_table_finish (&table);
  sim_finish (&sim);
}

/* Bytes of the membership */

/// @return bytes per second that the reports along the zone's tree add: each
/// node sends one and receives one per REPORT_IDLE_MS
static double
report_bytes (void)
{
  struct report report = { .members = 8, .lowest = 100000 };
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_report (&body, &report);
  double bytes = 2.0 * (double)(body.size + SIM_FRAME_BYTES);
  msgpack_sbuffer_destroy (&body);
  return bytes * 1000 / REPORT_IDLE_MS;
}

/// Measures a mesh without changes. Figures of 5,100 members weight those of
/// members and relays by their numbers.
/// @return bytes per second of a member that is no relay
static double
bench_idle (void)
{
  struct sim sim;
  sim_init (&sim, 60, ZONES, 4);
  sim_start_settled (&sim);
  track_connections (&sim);
  sim_run (&sim, 90000);
  reset_counters (&sim);
  sim_run (&sim, 120000);
  double members = 0, relays = 0, largest = 0;
  unsigned relay_count = 0;
  for (unsigned i = 0; i < sim.count; i++)
    {
      double bytes = (double)sim.nodes[i].bytes / 120;
      if (!membership_is_relay (&sim.nodes[i].m))
        {
          members += bytes;
          continue;
        }
      relays += bytes;
      relay_count++;
      if (bytes > largest)
        largest = bytes;
    }
  members = members / (sim.count - relay_count) + report_bytes ();
  relays = relays / relay_count + report_bytes ();
  double mean
      = (members * (MEMBERS - 2 * ZONES) + relays * 2 * ZONES) / MEMBERS;
  print ("mesh_idle_member", members, "B/s", IDLE_BYTES_PER_S_MAX);
  print ("mesh_idle_mean_5100", mean, "B/s", IDLE_BYTES_PER_S_MAX);
  print ("mesh_idle_relay_largest", largest, "B/s", BYTES_PER_S_MAX);
  sim_finish (&sim);
  return members;
}

/// Measures one replacement in a zone of full size: a VM fails, and another
/// one takes over its slot.
/// @param idle  bytes per second of a member in a mesh without changes
static void
bench_replacements (double idle)
{
  struct sim sim;
  sim_init (&sim, ZONE_MEMBERS, 1, 5);
  sim_start_settled (&sim);
  track_connections (&sim);
  sim_run (&sim, 65000);
  reset_counters (&sim);
  sim_run (&sim, 20000);
  double idle_bytes = mean_bytes (&sim);
  reset_counters (&sim);
  sim_kill (&sim, 100, true);
  sim_run (&sim, 10000);
  sim_start (&sim, 100);
  sim_run (&sim, 10000);
  double join_bytes = (double)sim.nodes[100].bytes;
  sim.nodes[100].bytes = (uint64_t)mean_bytes (&sim);
  double added_bytes = mean_bytes (&sim) - idle_bytes;
  print_info ("mesh_bytes_per_replacement", added_bytes, "bytes");
  print_info ("mesh_bytes_to_join_510", join_bytes, "bytes");
  print ("mesh_bytes_at_1300_replacements",
         idle + added_bytes * REPLACEMENTS_PER_DAY / DAY_S, "B/s",
         IDLE_BYTES_PER_S_MAX);
  sim_finish (&sim);
}

/// Measures what the failure of a whole zone costs the members of the others.
static void
bench_lost_zone (void)
{
  struct sim sim;
  unsigned others = 20 * (ZONES - 1);
  sim_init (&sim, ZONE_MEMBERS + others, ZONES - 1, 6);
  for (unsigned i = others; i < sim.count; i++)
    snprintf (sim.nodes[i].record.availability_zone, MEMBER_NAME_MAX,
              "cz-central-z");
  sim_start_settled (&sim);
  track_connections (&sim);
  sim_run (&sim, 10000);
  reset_counters (&sim);
  sim_run (&sim, 20000);
  double idle_bytes = 0;
  for (unsigned i = 0; i < others; i++)
    idle_bytes += (double)sim.nodes[i].bytes / others;
  for (unsigned i = others; i < sim.count; i++)
    sim_kill (&sim, i, true);
  reset_counters (&sim);
  sim_run (&sim, 20000);
  double bytes = 0, messages = 0, largest = 0;
  unsigned aware = 0;
  for (unsigned i = 0; i < others; i++)
    {
      bytes += (double)sim.nodes[i].bytes / others;
      messages += (double)sim.nodes[i].messages / others;
      if ((double)sim.nodes[i].bytes > largest)
        largest = (double)sim.nodes[i].bytes;
      aware += !membership_zone_reachable (&sim.nodes[i].m, "cz-central-z");
    }
  print ("mesh_lost_zone_unaware", others - aware, "members", 0);
  print_info ("mesh_lost_zone_extra", bytes - idle_bytes, "bytes/node");
  print_info ("mesh_lost_zone_messages", messages / 20, "messages/node/s");
  print ("mesh_lost_zone_largest", largest / 20, "B/s", BYTES_PER_S_MAX);
  sim_finish (&sim);
}

/* Selection of relays */

/// Ways to select the two members that have a role.
enum method
{
  RENDEZVOUS,
  LOWEST_SLOT,
  RING_ORDER,
  METHODS
};

static const char *const method_names[]
    = { "rendezvous", "lowest_slot", "ring_order" };

struct candidate
{
  uint64_t name; ///< serial number of the slot
  uint64_t id;
  bool up;
};

/// Selects two members for a role.
/// @param chosen  set to their ids, 0 for none
static void
choose_members (enum method method, const struct candidate *candidates,
                uint64_t role, uint64_t chosen[2])
{
  struct rendezvous choice;
  rendezvous_init (&choice, role, 2);
  uint64_t best[2] = { UINT64_MAX, UINT64_MAX };
  chosen[0] = chosen[1] = 0;
  for (unsigned i = 0; i < ZONE_MEMBERS; i++)
    {
      if (!candidates[i].up)
        continue;
      rendezvous_add (&choice, candidates[i].id);
      uint64_t order = method == LOWEST_SLOT ? candidates[i].name
                                             : candidates[i].id - role;
      if (order < best[0])
        {
          best[1] = best[0];
          chosen[1] = chosen[0];
          best[0] = order;
          chosen[0] = candidates[i].id;
        }
      else if (order < best[1])
        {
          best[1] = order;
          chosen[1] = candidates[i].id;
        }
    }
  if (method == RENDEZVOUS)
    memcpy (chosen, choice.slots, 2 * sizeof choice.slots[0]);
}

/// Counts how often a zone's relays change in 300 days with the zone's share
/// of the replacements, and the largest number of 64 roles at one member.
/// @param new_slots  a replacement gets a new slot instead of the old one
static void
bench_choice (enum method method, bool new_slots)
{
  struct rng rng;
  rng_init (&rng, 7);
  struct candidate candidates[ZONE_MEMBERS];
  uint64_t name_count = 0;
  for (unsigned i = 0; i < ZONE_MEMBERS; i++)
    {
      uint64_t name = name_count++;
      candidates[i]
          = (struct candidate){ name, hash_placement (&name, 8), true };
    }
  uint64_t role = hash_placement_string ("cz-central-a");
  uint64_t before[2], after[2];
  choose_members (method, candidates, role, before);
  unsigned changes = 0;
  unsigned days = 300;
  for (unsigned i = 0; i < days * REPLACEMENTS_PER_DAY / ZONES; i++)
    {
      struct candidate *candidate
          = &candidates[rng_below (&rng, ZONE_MEMBERS)];
      for (int up = 0; up < 2; up++)
        {
          candidate->up = up;
          if (up && new_slots)
            {
              candidate->name = name_count++;
              candidate->id = hash_placement (&candidate->name, 8);
            }
          choose_members (method, candidates, role, after);
          for (int k = 0; k < 2; k++)
            changes += after[k] != before[0] && after[k] != before[1];
          memcpy (before, after, sizeof before);
        }
    }
  char name[64];
  snprintf (name, sizeof name, "mesh_relay_changes_%s_%s",
            method_names[method], new_slots ? "new_slot" : "same_slot");
  print_info (name, (double)changes / days, "per_zone_and_day");
  if (new_slots)
    return;
  unsigned largest = 0;
  unsigned role_counts[ZONE_MEMBERS] = { 0 };
  for (uint64_t r = 0; r < 64; r++)
    {
      choose_members (method, candidates, hash_placement (&r, sizeof r),
                      after);
      for (unsigned i = 0; i < ZONE_MEMBERS; i++)
        if (candidates[i].id == after[0] && ++role_counts[i] > largest)
          largest = role_counts[i];
    }
  snprintf (name, sizeof name, "mesh_roles_at_one_member_%s",
            method_names[method]);
  print_info (name, largest, "of_64");
}

int
main (void)
{
  bench_memory ();
  bench_broadcast (ZONE_MEMBERS, 1, 3);
  /* 3 hops to the relay, 1 to the other zone, 3 within it. */
  bench_broadcast (MEMBERS, ZONES, 7);
  double idle = bench_idle ();
  bench_replacements (idle);
  bench_lost_zone ();
  for (int method = 0; method < METHODS; method++)
    for (int new_slots = 0; new_slots < 2; new_slots++)
      bench_choice (method, new_slots != 0);
  return 0;
}
