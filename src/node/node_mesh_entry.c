/// Owns the discovery of members to join: the seeds of the settings, and the
/// entry points, addresses that relays keep under a lease in the store.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct counter list_reads
    = COUNTER ("mesh_entry_lists", "Readings of the list of entry points.");

#define LEASE_MS 15000
#define KEEPALIVE_MS 5000
#define RETRY_MS 2000
/// Maximum of the random delay after which a starting node reads the list.
#define LIST_DELAY_MAX_MS 2000

static void
entry_key (const struct node_mesh *mesh, char key[MESH_ENTRY_KEY_MAX])
{
  const struct settings *settings = &mesh->node->settings;
  snprintf (key, MESH_ENTRY_KEY_MAX, MESH_ENTRY_PREFIX "%s/%s",
            settings->availability_zone, settings->slot);
}

static size_t
entry_value (const struct node_mesh *mesh, char *text, size_t size)
{
  const struct settings *settings = &mesh->node->settings;
  return (size_t)snprintf (
      text, size, "%u.%u.%u.%u:%u", settings->address >> 24,
      settings->address >> 16 & 0xff, settings->address >> 8 & 0xff,
      settings->address & 0xff, settings->peer_port);
}

static bool
parse_entry (const uint8_t *data, size_t size, uint32_t *address,
             uint16_t *port)
{
  char text[32];
  if (size >= sizeof text)
    return false;
  memcpy (text, data, size);
  text[size] = '\0';
  char *colon = strchr (text, ':');
  if (colon == NULL)
    return false;
  *colon = '\0';
  struct in_addr parsed;
  char *end;
  unsigned long number = strtoul (colon + 1, &end, 10);
  if (inet_pton (AF_INET, text, &parsed) != 1 || *end != '\0'
      || end == colon + 1 || number == 0 || number > UINT16_MAX)
    return false;
  *address = ntohl (parsed.s_addr);
  *port = (uint16_t)number;
  return true;
}

/* The entry point of this node */

static void put_entry (struct node_mesh *mesh, uint64_t expected);

static void
entry_failed (struct node_mesh *mesh)
{
  mesh->entry.running = false;
  mesh->entry.lease = 0;
  mesh->entry.listed = false;
  mesh->entry.next_ms = clock_monotonic_ms () + RETRY_MS;
}

static void
on_put (void *arg, const struct store_reply *reply)
{
  struct node_mesh *mesh = ((struct node *)arg)->mesh;
  if (mesh == NULL)
    return;
  /* An earlier process of this slot has left its entry: replace it. */
  if (reply->status == STATUS_CONFLICT && reply->revision != 0)
    {
      put_entry (mesh, reply->revision);
      return;
    }
  if (reply->status != STATUS_OK)
    {
      entry_failed (mesh);
      return;
    }
  mesh->entry.running = false;
  mesh->entry.listed = true;
  mesh->entry.next_ms = clock_monotonic_ms () + KEEPALIVE_MS;
}

static void
put_entry (struct node_mesh *mesh, uint64_t expected)
{
  char key[MESH_ENTRY_KEY_MAX];
  char value[32];
  entry_key (mesh, key);
  size_t size = entry_value (mesh, value, sizeof value);
  mesh->node->store_ops->put (mesh->node->store, key, expected,
                              mesh->entry.lease, value, size, on_put,
                              mesh->node);
}

static void
on_grant (void *arg, const struct store_reply *reply)
{
  struct node_mesh *mesh = ((struct node *)arg)->mesh;
  if (mesh == NULL)
    return;
  if (reply->status != STATUS_OK)
    {
      entry_failed (mesh);
      return;
    }
  mesh->entry.lease = reply->revision;
  put_entry (mesh, 0);
}

static void
on_keepalive (void *arg, const struct store_reply *reply)
{
  struct node_mesh *mesh = ((struct node *)arg)->mesh;
  if (mesh == NULL)
    return;
  if (reply->status != STATUS_OK)
    {
      entry_failed (mesh);
      return;
    }
  mesh->entry.running = false;
  mesh->entry.next_ms = clock_monotonic_ms () + KEEPALIVE_MS;
}

/* Entry points of other nodes */

static void
on_entry (void *arg, const struct store_reply *reply)
{
  struct node_mesh *mesh = ((struct node *)arg)->mesh;
  if (mesh == NULL)
    return;
  uint32_t address;
  uint16_t port;
  mesh->entry.listing = false;
  if (reply->status != STATUS_OK || mesh->membership.joined
      || !parse_entry (reply->data, reply->size, &address, &port))
    return;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_view_pull (&body, mesh->membership.buckets);
  peer_send_address (mesh->peers, address, port, MESSAGE_VIEW_PULL,
                     (const uint8_t *)body.data, body.size);
  msgpack_sbuffer_clear (&body);
  message_write_members (&body, &mesh->membership.table,
                         &mesh->membership.self, 1, false);
  peer_send_address (mesh->peers, address, port, MESSAGE_MEMBERS,
                     (const uint8_t *)body.data, body.size);
  msgpack_sbuffer_destroy (&body);
}

static void
read_next_entry (struct node_mesh *mesh)
{
  struct mesh_entry *entry = &mesh->entry;
  if (entry->next_key == entry->key_count)
    {
      entry->listing = false;
      return;
    }
  mesh->node->store_ops->get (
      mesh->node->store, entry->keys[entry->next_key++], on_entry, mesh->node);
}

static void
on_list (void *arg, const struct store_reply *reply)
{
  struct node_mesh *mesh = ((struct node *)arg)->mesh;
  if (mesh == NULL)
    return;
  struct mesh_entry *entry = &mesh->entry;
  if (reply->status == STATUS_OK && reply->key_count == 0)
    entry->list_empty = true;
  if (reply->status != STATUS_OK || reply->key_count == 0)
    {
      entry->listing = false;
      return;
    }
  size_t first = rng_below (&mesh->node->rng, reply->key_count);
  entry->next_key = entry->key_count = 0;
  for (size_t i = 0; i < reply->key_count && i < MESH_ENTRY_TRIES; i++)
    {
      const char *key = reply->keys[(first + i) % reply->key_count].key;
      if (strlen (key) < MESH_ENTRY_KEY_MAX)
        strcpy (entry->keys[entry->key_count++], key);
    }
  read_next_entry (mesh);
}

/// Reads the next listed entry point, or the list when all were tried.
static void
try_entry (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_entry *entry = &mesh->entry;
  entry->listing = true;
  entry->list_attempts++;
  entry->list_ms = now_ms + BACKOFF_FIRST_MS
                   + backoff_delay_ms (&mesh->node->rng, entry->list_attempts);
  if (entry->next_key < entry->key_count)
    {
      read_next_entry (mesh);
      return;
    }
  counter_add (&list_reads, 1);
  mesh->node->store_ops->list (mesh->node->store, MESH_ENTRY_PREFIX, on_list,
                               mesh->node);
}

void
mesh_entry_join (struct node_mesh *mesh,
                 const uint64_t digests[MEMBERSHIP_BUCKETS],
                 uint32_t own_handle)
{
  const struct settings *settings = &mesh->node->settings;
  if (settings->seed_count == 0)
    return;
  const struct settings_endpoint *seed
      = &settings->seeds[mesh->entry.next_seed++ % settings->seed_count];
  if (seed->address == settings->address && seed->port == settings->peer_port)
    {
      seed = &settings->seeds[mesh->entry.next_seed++ % settings->seed_count];
      if (seed->address == settings->address
          && seed->port == settings->peer_port)
        return;
    }
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_view_pull (&body, digests);
  peer_send_address (mesh->peers, seed->address, seed->port, MESSAGE_VIEW_PULL,
                     (const uint8_t *)body.data, body.size);
  msgpack_sbuffer_clear (&body);
  message_write_members (&body, &mesh->membership.table, &own_handle, 1,
                         false);
  peer_send_address (mesh->peers, seed->address, seed->port, MESSAGE_MEMBERS,
                     (const uint8_t *)body.data, body.size);
  msgpack_sbuffer_destroy (&body);
}

void
mesh_entry_start (struct node_mesh *mesh)
{
  mesh->entry.next_seed = (unsigned)rng_below (&mesh->node->rng, 1024);
  mesh->entry.list_ms = clock_monotonic_ms ()
                        + rng_below (&mesh->node->rng, LIST_DELAY_MAX_MS);
}

void
mesh_entry_tick (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_entry *entry = &mesh->entry;
  struct node *node = mesh->node;
  if (node->store_ops == NULL)
    return;
  if (!mesh->membership.joined && !entry->listing && now_ms >= entry->list_ms)
    try_entry (mesh, now_ms);
  if (entry->running || now_ms < entry->next_ms)
    return;
  /* A node that has not joined knows no other member and so considers itself a
     relay. If many such nodes created entries, each would cost the store two
     writes, and joining nodes would try to join through them. */
  if (!mesh->membership.joined && !entry->list_empty)
    return;
  /* A node that is no longer a relay lets the lease of its entry expire. */
  if (!node_is_relay (node) || mesh->membership.leaving)
    {
      entry->lease = 0;
      entry->listed = false;
      return;
    }
  entry->running = true;
  if (entry->listed)
    node->store_ops->lease_keepalive (node->store, entry->lease, on_keepalive,
                                      node);
  else
    node->store_ops->lease_grant (node->store, LEASE_MS, on_grant, node);
}
