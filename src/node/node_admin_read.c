/// Endpoints that show the state of the node and the mesh.
#include "node/node_admin.h"

#include "base/counter.h"
#include "node/node_mesh.h"
#include "protocol/declaration.h"
#include "state/config_fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const member_states[]
    = { "alive", "suspect", "left", "dead" };
static const char *const target_states[]
    = { "absent", "ready", "draining", "down" };

void
node_admin_counters (void *arg, struct admin_request *request)
{
  const struct counter *counter = counter_first ();
  if (admin_query (request, "json") != NULL)
    {
      json_t *object = json_object ();
      for (; counter != NULL; counter = counter->next)
        json_object_set_new (object, counter->name,
                             json_integer ((json_int_t)counter->value));
      node_admin_reply_json (request, 200, object);
      return;
    }
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (stream == NULL)
    {
      node_admin_reply_status (request, STATUS_NO_MEMORY, "no memory");
      return;
    }
  for (; counter != NULL; counter = counter->next)
    fprintf (stream, "%s %llu\n", counter->name,
             (unsigned long long)counter->value);
  fclose (stream);
  admin_reply (request, 200, "text/plain", text, size);
  free (text);
}

/// Adds 1 to the number table[row][column], which starts at 0.
static void
increment (json_t *table, const char *row, const char *column)
{
  json_t *object = json_object_get (table, row);
  if (object == NULL)
    {
      object = json_object ();
      json_object_set_new (table, row, object);
    }
  json_int_t count = json_integer_value (json_object_get (object, column));
  json_object_set_new (object, column, json_integer (count + 1));
}

/// @return {zone: {member state: number of members}}
static json_t *
members_by_zone (const struct node *node)
{
  const struct member_table *table = node_members (node);
  json_t *zones = json_object ();
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct member *member = &table->items[i];
      increment (zones, member->availability_zone,
                 member_states[member->state]);
    }
  return zones;
}

/// @return {service: {version: number of ready targets of live members}}
static json_t *
targets_by_version (const struct node *node)
{
  const struct member_table *table = node_members (node);
  json_t *services = json_object ();
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct member *member = &table->items[i];
      if (member->state == MEMBER_ALIVE
          && member->target_state == TARGET_READY)
        increment (services, member->service, member->target_version);
    }
  return services;
}

static json_t *
own_target (const struct node *node)
{
  const struct member_table *table = node_members (node);
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct member *member = &table->items[i];
      if (member->slot_id == node->slot_id
          && member->target_state != TARGET_ABSENT)
        return json_pack ("{s:s, s:s, s:i, s:s}", "service", member->service,
                          "version", member->target_version, "slots",
                          (int)member->target_slots, "state",
                          target_states[member->target_state]);
    }
  return json_null ();
}

static const struct config *
in_force (const struct node *node)
{
  return config_follower_current (node_config_follower ((struct node *)node));
}

void
node_admin_state (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  const struct config *config = in_force (node);
  char hash[2 * CONTENT_HASH_SIZE + 1];
  hash_hex (&config->hash, hash);
  node_admin_reply_json (
      request, 200,
      json_pack ("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:s, s:o, s:o}", "mesh",
                 node->settings.mesh, "slot", node->settings.slot,
                 "availability_zone", node->settings.availability_zone,
                 "region", node->settings.region, "ready",
                 (int)config_follower_ready (node_config_follower (node)),
                 "relay", (int)node_is_relay (node), "version",
                 (json_int_t)config->version, "hash", hash, "members",
                 members_by_zone (node), "target", own_target (node)));
}

static json_t *
move_list (const struct config *config)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < config->move_count; i++)
    json_array_append_new (list,
                           node_admin_item (CONFIG_MOVE, &config->moves[i]));
  return list;
}

/// @return JSON array of the zones with their reachability and the lowest
/// configuration version in force in each
static json_t *
zone_list (struct node *node)
{
  static struct node_zone_report zones[RING_ZONES_MAX];
  const struct member_table *table = node_members (node);
  size_t count = node_mesh_zones (node, zones, RING_ZONES_MAX);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    {
      const struct node_zone_report *zone = &zones[i];
      json_t *lagging = json_array ();
      for (uint32_t j = 0; zone->reported && j < zone->lagging_count; j++)
        for (uint32_t k = 0; k < table->count; k++)
          if (table->items[k].slot_id == zone->lagging[j])
            json_array_append_new (lagging,
                                   node_admin_text (table->items[k].slot));
      json_array_append_new (
          list,
          json_pack ("{s:s, s:i, s:b, s:b, s:i, s:I, s:I, s:o}", "name",
                     zone->name, "members", (int)zone->members, "reachable",
                     (int)zone->reachable, "reported", (int)zone->reported,
                     "reporting", (int)zone->reporting, "lowest_version",
                     (json_int_t)zone->lowest, "age_ms",
                     (json_int_t)zone->age_ms, "lagging", lagging));
    }
  return list;
}

void
node_admin_status (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  const struct config *config = in_force (node);
  json_t *versions = json_object ();
  for (size_t i = 0; i < config->service_count; i++)
    json_object_set_new (versions, config->services[i].name,
                         node_admin_text (config->services[i].version));
  node_admin_reply_json (
      request, 200,
      json_pack ("{s:s, s:b, s:I, s:i, s:o, s:o, s:o, s:o, s:o}", "mesh",
                 node->settings.mesh, "ready",
                 (int)config_follower_ready (node_config_follower (node)),
                 "version", (json_int_t)config->version, "routes",
                 (int)config->route_count, "services", versions, "targets",
                 targets_by_version (node), "members", members_by_zone (node),
                 "zones", zone_list (node), "moves", move_list (config)));
}

void
node_admin_moves (void *arg, struct admin_request *request)
{
  const struct config *config = in_force (arg);
  node_admin_reply_json (request, 200,
                         json_pack ("{s:I, s:o}", "version",
                                    (json_int_t)config->version, "moves",
                                    move_list (config)));
}

void
node_admin_get_config (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (stream == NULL)
    {
      node_admin_reply_status (request, STATUS_NO_MEMORY, "no memory");
      return;
    }
  declaration_print (in_force (node), node->settings.mesh, stream);
  fclose (stream);
  admin_reply (request, 200, "application/yaml", text, size);
  free (text);
}

void
node_admin_get_config_json (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  const struct config *config = in_force (node);
  char hash[2 * CONTENT_HASH_SIZE + 1];
  hash_hex (&config->hash, hash);
  json_t *object = node_admin_config (config);
  json_object_set_new (object, "mesh", json_string (node->settings.mesh));
  json_object_set_new (object, "version",
                       json_integer ((json_int_t)config->version));
  json_object_set_new (object, "hash", json_string (hash));
  node_admin_reply_json (request, 200, object);
}
