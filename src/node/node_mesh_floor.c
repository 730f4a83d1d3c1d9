/// Owns the announcement of this node's floor, the highest version that its
/// slot may hold, to neighbours that record it.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"

static struct counter floors_unrecorded
    = COUNTER ("follow_floor_unrecorded",
               "Versions put in force without a recorded floor.");

/// Without FLOOR_ACK in this time, another member is asked.
#define FLOOR_ACK_TIMEOUT_MS 200
#define FLOOR_ATTEMPTS_MAX 3

/// Sends the floor to the next neighbour. After the last one the version comes
/// into force unrecorded.
static void
announce (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_floor *floor = &mesh->floor;
  uint64_t neighbours[FLOOR_ATTEMPTS_MAX];
  const struct ring *ring = &mesh->membership.ring;
  ring_refresh (&mesh->membership.ring);
  uint32_t count = ring_successors (ring, mesh->node->slot_id, neighbours,
                                    FLOOR_ATTEMPTS_MAX);
  /* A node with few neighbours in its zone asks relays of other zones too. */
  for (uint32_t i = 0; i < ring->zone_count && count < FLOOR_ATTEMPTS_MAX; i++)
    if (ring->zones[i].id != ring->own_zone && ring->zones[i].relays[0] != 0)
      neighbours[count++] = ring->zones[i].relays[0];
  floor->due_ms = now_ms + FLOOR_ACK_TIMEOUT_MS;
  if (floor->attempts < count)
    {
      struct message_floor message
          = { .slot_id = mesh->node->slot_id, .version = floor->version };
      msgpack_sbuffer body;
      msgpack_sbuffer_init (&body);
      message_write_floor (&body, &message);
      mesh_send (mesh, neighbours[floor->attempts++], MESSAGE_FLOOR, &body);
      return;
    }
  if (floor->attempts == 0)
    {
      /* There is no other member; wait once for one that is just joining. */
      floor->attempts = FLOOR_ATTEMPTS_MAX;
      return;
    }
  uint64_t version = floor->version;
  floor->version = 0;
  counter_add (&floors_unrecorded, 1);
  config_follower_floor_recorded (&mesh->follower, version);
}

void
mesh_floor_announce (void *arg, uint64_t version)
{
  struct node_mesh *mesh = arg;
  if (version <= mesh->floor.version)
    return;
  mesh->floor.version = version;
  mesh->floor.attempts = 0;
  announce (mesh, clock_monotonic_ms ());
}

static void
on_floor (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_floor floor;
  if (message_read_floor (body, size, &floor) != STATUS_OK)
    return;
  config_follower_set_floor (&mesh->follower, floor.slot_id, floor.version);
  msgpack_sbuffer reply;
  msgpack_sbuffer_init (&reply);
  message_write_floor (&reply, &floor);
  mesh_send (mesh, from, MESSAGE_FLOOR_ACK, &reply);
}

static void
on_floor_ack (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_floor floor;
  if (message_read_floor (body, size, &floor) != STATUS_OK
      || floor.slot_id != mesh->node->slot_id)
    return;
  if (floor.version >= mesh->floor.version)
    mesh->floor.version = 0;
  config_follower_floor_recorded (&mesh->follower, floor.version);
}

void
mesh_floor_start (struct node_mesh *mesh)
{
  peer_register_handler (mesh->peers, MESSAGE_FLOOR, on_floor, mesh);
  peer_register_handler (mesh->peers, MESSAGE_FLOOR_ACK, on_floor_ack, mesh);
}

void
mesh_floor_tick (struct node_mesh *mesh, uint64_t now_ms)
{
  if (mesh->floor.version != 0 && now_ms >= mesh->floor.due_ms)
    announce (mesh, now_ms);
}
