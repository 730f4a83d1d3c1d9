/// Groups of targets by service and version, built from the member table, and
/// the lookup of routes.
#include "node/node_call_internal.h"

#include "base/clock.h"
#include "base/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/// Minimum time between two reads of the member table. One read takes a large
/// part of a millisecond with 5,100 members, and members change all the time.
#define MEMBERS_READ_INTERVAL_MS 100

static struct target_group **
find_link (struct node_calls *calls, const char *service, const char *version)
{
  uint64_t hash = hash_placement_pair (hash_placement_string (service),
                                       hash_placement_string (version));
  struct target_group **link = &calls->groups[hash % NODE_CALL_GROUP_BUCKETS];
  while (*link != NULL
         && (strcmp ((*link)->service, service) != 0
             || strcmp ((*link)->version, version) != 0))
    link = &(*link)->next;
  return link;
}

struct target_group *
node_call_group (struct node_calls *calls, const char *service,
                 const char *version)
{
  return *find_link (calls, service, version);
}

/// @return the group of a member's target, which is added if it does not
/// exist; NULL when out of memory
static struct target_group *
group_of_member (struct node_calls *calls, const struct member *member)
{
  struct target_group **link
      = find_link (calls, member->service, member->target_version);
  struct target_group *group = *link;
  if (group == NULL)
    {
      group = calloc (1, sizeof *group);
      if (group == NULL)
        return NULL;
      memcpy (group->service, member->service, sizeof group->service);
      memcpy (group->version, member->target_version, sizeof group->version);
      balance_init (&group->balance);
      /* Groups of the first read hold targets that may have served calls
         before this node started, so these skip slow start. Targets of groups
         that appear later are new. */
      group->balance.started = calls->members_read;
      *link = group;
    }
  if (!group->updated)
    {
      balance_begin_update (&group->balance);
      group->updated = true;
    }
  return group;
}

static void
end_updates (struct node_calls *calls)
{
  for (size_t i = 0; i < NODE_CALL_GROUP_BUCKETS; i++)
    {
      struct target_group **link = &calls->groups[i];
      while (*link != NULL)
        {
          struct target_group *group = *link;
          if (!group->updated)
            balance_begin_update (&group->balance);
          group->updated = false;
          balance_end_update (&group->balance);
          if (group->balance.count > 0 || group->call_count > 0)
            {
              link = &group->next;
              continue;
            }
          *link = group->next;
          balance_finish (&group->balance);
          free (group);
        }
    }
}

void
node_call_read_members (struct node_calls *calls, uint64_t now_ms)
{
  const struct member_table *table = node_members (calls->node);
  if (calls->members_read
      && (table->generation == calls->members_generation
          || now_ms - calls->members_read_ms < MEMBERS_READ_INTERVAL_MS))
    return;
  const char *zone = calls->node->settings.availability_zone;
  for (uint32_t handle = 0; handle < table->count; handle++)
    {
      const struct member *member = member_get (table, handle);
      if (member->state != MEMBER_ALIVE
          || member->target_state != TARGET_READY)
        continue;
      struct target_group *group = group_of_member (calls, member);
      if (group != NULL)
        balance_offer (&group->balance, handle, member->slot_id,
                       member->target_slots,
                       strcmp (member->availability_zone, zone) == 0, now_ms);
    }
  end_updates (calls);
  calls->members_generation = table->generation;
  calls->members_read_ms = now_ms;
  calls->members_read = true;
}

void
node_call_free_groups (struct node_calls *calls)
{
  for (size_t i = 0; i < NODE_CALL_GROUP_BUCKETS; i++)
    while (calls->groups[i] != NULL)
      {
        struct target_group *group = calls->groups[i];
        calls->groups[i] = group->next;
        balance_finish (&group->balance);
        free (group);
      }
}

const struct route_entry *
node_call_route (struct node_calls *calls, const char *uri)
{
  const struct config *config
      = config_follower_current (node_config_follower (calls->node));
  if (calls->routes.config.version != config->version)
    {
      struct route_table table;
      if (route_table_init (&table, config) == STATUS_OK)
        {
          route_table_finish (&calls->routes);
          calls->routes = table;
        }
    }
  return route_table_match (&calls->routes, uri);
}
