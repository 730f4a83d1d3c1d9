/// Membership and broadcast at the size of the design page: memory, bytes,
/// messages and hops. Bounds are the targets of the page, section 2.3; lines
/// without one are for information.
#include "../test/unit/mesh_sim.h"
#include "coordination/rendezvous.h"

#define MEMBERS 5100
#define ZONES 10
#define ZONE_MEMBERS (MEMBERS / ZONES)
#define REPLACEMENTS_PER_DAY 1300
#define DAY_S 86400.0
#define GOAL_BYTES 300  ///< per node and second when idle
#define HARD_BYTES 3000 ///< per node and second always
#define MEMORY_BOUND 128e6
#define ZONE_EVENT_BYTES 60

static void
print (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.2f %s %g %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

static void
inform (const char *name, double value, const char *unit)
{
  printf ("%s %.2f %s - info\n", name, value, unit);
}

static void
reset (struct sim *sim)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim->nodes[i].bytes = sim->nodes[i].messages = 0;
}

static void
track_connections (struct sim *sim)
{
  sim->last_use
      = calloc ((size_t)sim->count * sim->count, sizeof *sim->last_use);
}

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

/* Memory and bytes of one event */

static void
bench_memory (void)
{
  struct sim sim;
  sim_init (&sim, MEMBERS, ZONES, 1);
  sim_start (&sim, 0);
  struct membership *m = &sim.nodes[0].m;
  for (unsigned i = 1; i < MEMBERS; i++)
    membership_events (m, &sim.nodes[i].record, 1, NULL, sim.now_ms);
  ring_refresh (&m->ring);
  double bytes
      = sizeof *m + sizeof sim.nodes[0].s
        + (double)m->table.capacity * sizeof *m->table.items
        + (double)m->table.index_size * sizeof *m->table.index
        + (double)m->ring.capacity * sizeof *m->ring.slots
        + SPREAD_SEEN_SETS * SPREAD_SEEN_WAYS * sizeof (struct spread_seen);
  print ("mesh_memory_5100", bytes, "bytes", MEMORY_BOUND);
  inform ("mesh_memory_per_member", sizeof *m->table.items, "bytes");
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  uint32_t handle = 7;
  message_write_events (&body, &m->table, &handle, 1, NULL);
  inform ("mesh_member_event", (double)body.size, "bytes");
  msgpack_sbuffer_clear (&body);
  struct zone_mark mark = { .unreachable = true, .number = 1000 };
  memcpy (mark.name, sim.nodes[0].record.availability_zone, sizeof mark.name);
  message_write_events (&body, &m->table, NULL, 0, &mark);
  print ("mesh_zone_event", (double)body.size, "bytes", ZONE_EVENT_BYTES);
  msgpack_sbuffer_destroy (&body);
  sim_finish (&sim);
}

/* Broadcast: instances of spread that share one view */

struct wave_node
{
  struct spread s;
  uint64_t slot_id;
  unsigned hops;
  bool reached;
};

struct wave_message
{
  struct wave_node *from, *to;
  struct spread_message message;
  bool ack;
  unsigned hops;
};

static struct wave_node *wave_nodes;
static unsigned wave_count;
static struct wave_message *wave_queue;
static size_t wave_queued;
static struct wave_node *wave_current;
static uint64_t wave_broadcasts;

static struct wave_node *
wave_find (uint64_t slot_id)
{
  for (unsigned i = 0; i < wave_count; i++)
    if (wave_nodes[i].slot_id == slot_id)
      return &wave_nodes[i];
  return NULL;
}

static void
wave_send (void *arg, uint64_t slot_id, const struct spread_message *message)
{
  struct wave_node *from = arg;
  wave_broadcasts++;
  wave_queue[wave_queued++]
      = (struct wave_message){ .from = from,
                               .to = wave_find (slot_id),
                               .message = *message,
                               .hops
                               = (wave_current == from ? from->hops : 0) + 1 };
}

static void
wave_ack (void *arg, uint64_t slot_id, const struct spread_id *id)
{
  wave_queue[wave_queued++] = (struct wave_message){
    .from = arg, .to = wave_find (slot_id), .message.id = *id, .ack = true
  };
}

static void
wave_deliver (void *arg, uint64_t origin, unsigned kind, const uint8_t *body,
              size_t size)
{
  ((struct wave_node *)arg)->reached = true;
}

static const struct spread_ops wave_ops
    = { .send = wave_send, .send_ack = wave_ack, .deliver = wave_deliver };

/// Broadcasts a trip and prints how far and how often it travelled.
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
  wave_nodes = calloc (count, sizeof *wave_nodes);
  wave_queue = calloc ((size_t)count * 4, sizeof *wave_queue);
  wave_count = count;
  wave_queued = wave_broadcasts = 0;
  struct rng rng;
  rng_init (&rng, 3);
  for (unsigned i = 0; i < count; i++)
    {
      wave_nodes[i].slot_id = sim.nodes[i].record.slot_id;
      spread_init (&wave_nodes[i].s, wave_nodes[i].slot_id, &rings[i % zones],
                   &wave_ops, &wave_nodes[i], &rng);
    }
  spread_start (&wave_nodes[5].s, SPREAD_TRIP, (const uint8_t *)"trip", 4,
                false, 0);
  unsigned hops = 0;
  for (size_t i = 0; i < wave_queued; i++)
    {
      struct wave_message next = wave_queue[i];
      if (next.ack)
        {
          spread_ack (&next.to->s, next.from->slot_id, &next.message.id);
          continue;
        }
      if (!next.to->reached)
        next.to->hops = next.hops;
      wave_current = next.to;
      spread_receive (&next.to->s, next.from->slot_id, &next.message, 0);
      if (next.hops > hops)
        hops = next.hops;
    }
  /* The second relay repeats the broadcast to the other zones. */
  for (unsigned i = 0; i < count; i++)
    spread_tick (&wave_nodes[i].s, SPREAD_SECOND_MS);
  unsigned reached = 1;
  for (unsigned i = 0; i < count; i++)
    reached += wave_nodes[i].reached;
  char name[48];
  snprintf (name, sizeof name, "mesh_broadcast_missed_%u", count);
  print (name, count - reached, "members", 0);
  snprintf (name, sizeof name, "mesh_broadcast_hops_%u", count);
  print (name, hops, "hops", hop_bound);
  snprintf (name, sizeof name, "mesh_broadcast_messages_%u", count);
  print (name, (double)wave_broadcasts, "messages", count - 1 + (zones - 1));
  for (unsigned i = 0; i < count; i++)
    spread_finish (&wave_nodes[i].s);
  for (unsigned i = 0; i < zones; i++)
    ring_finish (&rings[i]);
  free (wave_nodes);
  free (wave_queue);
  member_table_finish (&table);
  sim_finish (&sim);
}

/* Bytes */

/// @return bytes per second that reports up the zone's tree add to a node,
/// which sends one and receives one in 5 s
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

static double
bench_idle (void)
{
  struct sim sim;
  sim_init (&sim, 60, ZONES, 4);
  sim_start_settled (&sim);
  track_connections (&sim);
  sim_run (&sim, 90000);
  reset (&sim);
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
  print ("mesh_idle_member", members, "B/s", GOAL_BYTES);
  print ("mesh_idle_mean_5100", mean, "B/s", GOAL_BYTES);
  print ("mesh_idle_relay_largest", largest, "B/s", HARD_BYTES);
  sim_finish (&sim);
  return members;
}

/// One replacement in a zone of full size: a machine fails, and another one
/// takes its slot.
static void
bench_replacements (double idle)
{
  struct sim sim;
  sim_init (&sim, ZONE_MEMBERS, 1, 5);
  sim_start_settled (&sim);
  track_connections (&sim);
  sim_run (&sim, 65000);
  reset (&sim);
  sim_run (&sim, 20000);
  double quiet = mean_bytes (&sim);
  reset (&sim);
  sim_kill (&sim, 100, true);
  sim_run (&sim, 10000);
  sim_start (&sim, 100);
  sim_run (&sim, 10000);
  double joined = (double)sim.nodes[100].bytes;
  sim.nodes[100].bytes = (uint64_t)mean_bytes (&sim);
  double extra = mean_bytes (&sim) - quiet;
  inform ("mesh_bytes_per_replacement", extra, "bytes");
  inform ("mesh_bytes_to_join_510", joined, "bytes");
  print ("mesh_bytes_at_1300_replacements",
         idle + extra * REPLACEMENTS_PER_DAY / DAY_S, "B/s", GOAL_BYTES);
  sim_finish (&sim);
}

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
  reset (&sim);
  sim_run (&sim, 20000);
  double quiet = 0;
  for (unsigned i = 0; i < others; i++)
    quiet += (double)sim.nodes[i].bytes / others;
  for (unsigned i = others; i < sim.count; i++)
    sim_kill (&sim, i, true);
  reset (&sim);
  sim_run (&sim, 20000);
  double bytes = 0, messages = 0, largest = 0;
  unsigned marked = 0;
  for (unsigned i = 0; i < others; i++)
    {
      bytes += (double)sim.nodes[i].bytes / others;
      messages += (double)sim.nodes[i].messages / others;
      if ((double)sim.nodes[i].bytes > largest)
        largest = (double)sim.nodes[i].bytes;
      marked += !membership_zone_reachable (&sim.nodes[i].m, "cz-central-z");
    }
  print ("mesh_lost_zone_unaware", others - marked, "members", 0);
  inform ("mesh_lost_zone_extra", bytes - quiet, "bytes/node");
  inform ("mesh_lost_zone_messages", messages / 20, "messages/node/s");
  print ("mesh_lost_zone_largest", largest / 20, "B/s", HARD_BYTES);
  sim_finish (&sim);
}

/* Choice of relays */

enum method
{
  RENDEZVOUS,
  LOWEST_SLOT,
  RING_ORDER,
  METHODS
};

static const char *const method_names[]
    = { "rendezvous", "lowest_slot", "ring_order" };

struct machine
{
  uint64_t name; ///< order in which slots were named
  uint64_t id;
  bool up;
};

/// Two members for a role.
static void
choose (enum method method, const struct machine *machines, uint64_t role,
        uint64_t chosen[2])
{
  struct rendezvous choice;
  rendezvous_init (&choice, role);
  uint64_t best[2] = { UINT64_MAX, UINT64_MAX };
  chosen[0] = chosen[1] = 0;
  for (unsigned i = 0; i < ZONE_MEMBERS; i++)
    {
      if (!machines[i].up)
        continue;
      rendezvous_add (&choice, machines[i].id);
      uint64_t order
          = method == LOWEST_SLOT ? machines[i].name : machines[i].id - role;
      if (order < best[0])
        {
          best[1] = best[0];
          chosen[1] = chosen[0];
          best[0] = order;
          chosen[0] = machines[i].id;
        }
      else if (order < best[1])
        {
          best[1] = order;
          chosen[1] = machines[i].id;
        }
    }
  if (method == RENDEZVOUS)
    memcpy (chosen, choice.slots, sizeof choice.slots);
}

/// Counts changes of a zone's relays over 300 days of its share of the
/// replacements, and the largest number of 64 roles at one member.
static void
bench_choice (enum method method, bool new_slots)
{
  struct rng rng;
  rng_init (&rng, 7);
  struct machine machines[ZONE_MEMBERS];
  uint64_t names = 0;
  for (unsigned i = 0; i < ZONE_MEMBERS; i++)
    {
      uint64_t name = names++;
      machines[i] = (struct machine){ name, hash_place (&name, 8), true };
    }
  uint64_t role = hash_place_string ("cz-central-a");
  uint64_t before[2], after[2];
  choose (method, machines, role, before);
  unsigned changes = 0;
  unsigned days = 300;
  for (unsigned i = 0; i < days * REPLACEMENTS_PER_DAY / ZONES; i++)
    {
      struct machine *machine = &machines[rng_below (&rng, ZONE_MEMBERS)];
      for (int up = 0; up < 2; up++)
        {
          machine->up = up;
          if (up && new_slots)
            {
              machine->name = names++;
              machine->id = hash_place (&machine->name, 8);
            }
          choose (method, machines, role, after);
          for (int k = 0; k < 2; k++)
            changes += after[k] != before[0] && after[k] != before[1];
          memcpy (before, after, sizeof before);
        }
    }
  char name[64];
  snprintf (name, sizeof name, "mesh_relay_changes_%s_%s",
            method_names[method], new_slots ? "new_slot" : "same_slot");
  inform (name, (double)changes / days, "per_zone_and_day");
  if (new_slots)
    return;
  unsigned largest = 0;
  unsigned held[ZONE_MEMBERS] = { 0 };
  for (uint64_t r = 0; r < 64; r++)
    {
      choose (method, machines, hash_place (&r, sizeof r), after);
      for (unsigned i = 0; i < ZONE_MEMBERS; i++)
        if (machines[i].id == after[0] && ++held[i] > largest)
          largest = held[i];
    }
  snprintf (name, sizeof name, "mesh_roles_at_one_member_%s",
            method_names[method]);
  inform (name, largest, "of_64");
}

int
main (void)
{
  bench_memory ();
  bench_broadcast (ZONE_MEMBERS, 1, 3);
  /* 3 hops to the relay, one to the other zone, 3 hops there. */
  bench_broadcast (MEMBERS, ZONES, 7);
  double idle = bench_idle ();
  bench_replacements (idle);
  bench_lost_zone ();
  for (int method = 0; method < METHODS; method++)
    for (int new_slots = 0; new_slots < 2; new_slots++)
      bench_choice (method, new_slots != 0);
  return 0;
}
