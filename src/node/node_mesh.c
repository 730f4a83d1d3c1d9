/// Owns the mesh module of a node: connects peers, membership, broadcasts and
/// the configuration follower to each other and to the event loop.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/hash.h"
#include "coordination/rendezvous.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define TIMER_INTERVAL_MS 50
#define MEMBERSHIP_INTERVAL_MS 100

uint32_t
mesh_live_others (struct node_mesh *mesh)
{
  uint32_t live = 0;
  ring_refresh (&mesh->membership.ring);
  for (uint32_t i = 0; i < mesh->membership.ring.zone_count; i++)
    live += mesh->membership.ring.zones[i].live;
  return live > 0 ? live - 1 : 0;
}

/* Callbacks of the peers */

static bool
member_address (void *arg, uint64_t slot_id, uint32_t *address, uint16_t *port)
{
  const struct node_mesh *mesh = arg;
  uint32_t handle = member_find (&mesh->membership.table, slot_id);
  if (handle == MEMBER_NONE)
    return false;
  const struct member *member = member_get (&mesh->membership.table, handle);
  *address = member->address;
  *port = member->peer_port;
  return true;
}

static void
connect_failed (void *arg, uint64_t slot_id)
{
  struct node_mesh *mesh = arg;
  membership_handle_connect_failure (&mesh->membership, slot_id,
                                     clock_monotonic_ms ());
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct node_mesh *mesh = arg;
  uint64_t now_ms = clock_monotonic_ms ();
  broadcast_tick (&mesh->broadcaster, now_ms);
  mesh_config_tick (mesh, now_ms);
  mesh_floor_tick (mesh, now_ms);
  mesh_head_tick (mesh, now_ms);
  if (now_ms < mesh->tick_ms)
    return;
  mesh->tick_ms = now_ms + MEMBERSHIP_INTERVAL_MS;
  membership_tick (&mesh->membership, now_ms);
  mesh_entry_tick (mesh, now_ms);
  mesh_report_tick (mesh, now_ms);
}

static void
fill_self (struct member *self, const struct settings *settings)
{
  *self = (struct member){ .slot_id = hash_placement_string (settings->slot),
                           .incarnation = clock_wall_ms (),
                           .state = MEMBER_ALIVE,
                           .address = settings->address,
                           .peer_port = settings->peer_port,
                           .call_port = settings->call_port,
                           .target_state = TARGET_ABSENT };
  memcpy (self->slot, settings->slot, sizeof self->slot);
  memcpy (self->availability_zone, settings->availability_zone,
          sizeof self->availability_zone);
  memcpy (self->region, settings->region, sizeof self->region);
}

static enum status
start_modules (struct node_mesh *mesh)
{
  struct node *node = mesh->node;
  struct member self;
  fill_self (&self, &node->settings);
  node->slot_id = self.slot_id;
  uint64_t now_ms = clock_monotonic_ms ();
  enum status status
      = membership_init (&mesh->membership, &self, &mesh_membership_ops, mesh,
                         &node->rng, now_ms);
  if (status != STATUS_OK)
    return status;
  status = broadcast_init (&mesh->broadcaster, self.slot_id,
                           &mesh->membership.ring, &mesh_broadcast_ops, mesh,
                           &node->rng);
  if (status != STATUS_OK)
    return status;
  config_follower_init (&mesh->follower, &mesh_config_follower_ops, mesh);
  report_tree_init (&mesh->tree, &mesh->membership.ring, self.slot_id);
  struct peers_options options = { .base = node->base,
                                   .settings = &node->settings,
                                   .slot_id = self.slot_id,
                                   .rng = &node->rng,
                                   .address = member_address,
                                   .connect_failed = connect_failed,
                                   .arg = mesh };
  status = peers_start (&mesh->peers, &options);
  if (status != STATUS_OK)
    return status;
  mesh_wire_start (mesh);
  mesh_config_start (mesh);
  mesh_floor_start (mesh);
  mesh_head_start (mesh);
  mesh_entry_start (mesh);
  mesh_report_start (mesh);
  struct timeval interval = { .tv_usec = TIMER_INTERVAL_MS * 1000 };
  mesh->timer = event_new (node->base, -1, EV_PERSIST, on_timer, mesh);
  if (mesh->timer == NULL || event_add (mesh->timer, &interval) != 0)
    return status_set (STATUS_NO_MEMORY, "cannot start the timer of the mesh");
  return STATUS_OK;
}

enum status
node_mesh_start (struct node *node)
{
  struct node_mesh *mesh = calloc (1, sizeof *mesh);
  if (mesh == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the mesh module");
  mesh->node = node;
  node->mesh = mesh;
  enum status status = start_modules (mesh);
  if (status != STATUS_OK)
    node_mesh_stop (node);
  return status;
}

void
node_mesh_stop (struct node *node)
{
  struct node_mesh *mesh = node->mesh;
  if (mesh == NULL)
    return;
  if (mesh->timer != NULL)
    event_free (mesh->timer);
  if (mesh->peers != NULL)
    peers_stop (mesh->peers);
  mesh_head_stop (mesh);
  mesh_config_stop (mesh);
  broadcast_finish (&mesh->broadcaster);
  if (mesh->follower.ops != NULL)
    config_follower_finish (&mesh->follower);
  membership_finish (&mesh->membership);
  free (mesh);
  node->mesh = NULL;
}

struct peers *
node_peers (struct node *node)
{
  return node->mesh->peers;
}

const struct member_table *
node_members (const struct node *node)
{
  return &node->mesh->membership.table;
}

struct config_follower *
node_config_follower (struct node *node)
{
  return &node->mesh->follower;
}

void
node_mesh_set_target (struct node *node, const char *service,
                      const char *target_version, uint16_t target_slots,
                      enum target_state state)
{
  membership_set_target (&node->mesh->membership, service, target_version,
                         target_slots, state, clock_monotonic_ms ());
}

void
node_mesh_leave (struct node *node)
{
  membership_leave (&node->mesh->membership, clock_monotonic_ms ());
}

void
node_mesh_broadcast (struct node *node, unsigned kind, const uint8_t *body,
                     size_t size)
{
  assert (kind < BROADCAST_KINDS && kind != BROADCAST_KIND_MEMBER_EVENTS);
  if (kind == BROADCAST_KIND_VERSION_RECORD)
    mesh_config_broadcast_record (node->mesh, body, size);
  else
    broadcast_start (&node->mesh->broadcaster, kind, body, size, false,
                     clock_monotonic_ms ());
}

void
node_mesh_on_broadcast (struct node *node, unsigned kind,
                        void (*handler) (void *arg, uint64_t origin_slot,
                                         const uint8_t *body, size_t size),
                        void *arg)
{
  assert (kind < BROADCAST_KINDS
          && node->mesh->broadcast_handlers[kind].call == NULL);
  node->mesh->broadcast_handlers[kind]
      = (struct mesh_broadcast_handler){ .call = handler, .arg = arg };
}

void
node_mesh_on_version (struct node *node,
                      void (*handler) (void *arg, const struct config *config),
                      void *arg)
{
  struct node_mesh *mesh = node->mesh;
  assert (mesh->version_handler_count < MESH_HANDLERS_MAX);
  mesh->version_handlers[mesh->version_handler_count++]
      = (struct mesh_version_handler){ .call = handler, .arg = arg };
}

uint64_t
node_mesh_next_hop (const struct node *node, uint64_t destination_slot)
{
  struct node_mesh *mesh = node->mesh;
  ring_refresh (&mesh->membership.ring);
  uint64_t parent = report_parent (&mesh->membership.ring, node->slot_id);
  return parent != 0 ? parent : destination_slot;
}

bool
node_is_relay (const struct node *node)
{
  return membership_is_relay (&node->mesh->membership);
}

uint64_t
node_role_owner (const struct node *node, const char *role)
{
  struct node_mesh *mesh = node->mesh;
  const struct member_table *table = &mesh->membership.table;
  uint64_t id = hash_placement_string (role);
  /* Rendezvous hashing examines every member, so its result is cached until
     the member table changes. */
  struct mesh_role *cached = &mesh->roles[id % MESH_ROLE_CACHE_SIZE];
  if (cached->role != id || cached->generation != table->generation)
    *cached = (struct mesh_role){ .role = id,
                                  .generation = table->generation,
                                  .owner = rendezvous_owner (table, id) };
  return cached->owner;
}
