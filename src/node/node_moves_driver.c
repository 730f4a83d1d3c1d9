/// Owns the moves that this node drives or watches, and the configuration
/// versions that it publishes for them.
#include "node/node_moves.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define AUTHOR_MAX 64

static struct counter steps_written
    = COUNTER ("moves_steps_written", "steps and ends of moves written");
static struct counter step_conflicts = COUNTER (
    "moves_steps_conflicting", "steps that met a newer configuration");
static struct counter steps_failed
    = COUNTER ("moves_steps_failed", "steps that the store did not confirm");
static struct counter stale_cells = COUNTER (
    "moves_evidence_stale", "cells of another step than the present one");

static const struct config *
in_force (const struct node_moves *moves)
{
  return config_follower_current (node_config_follower (moves->node));
}

static const char *
route_name (void *arg, uint64_t route)
{
  const struct config *config = in_force (arg);
  for (size_t i = 0; i < config->route_count; i++)
    if (hash_placement_string (config->routes[i].name) == route)
      return config->routes[i].name;
  return NULL;
}

static const char *
zone_name (void *arg, uint64_t availability_zone)
{
  struct node_moves *moves = arg;
  const struct member_table *table = node_members (moves->node);
  for (uint32_t i = 0; i < table->count; i++)
    {
      const char *zone = member_get (table, i)->availability_zone;
      if (hash_placement_string (zone) == availability_zone)
        return zone;
    }
  return NULL;
}

static uint32_t
count_slots (const struct node_moves *moves, const char *service,
             const char *version)
{
  const struct member_table *table = node_members (moves->node);
  uint32_t slots = 0;
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct member *member = member_get (table, i);
      if (member_serves (member, service, version))
        slots += member->target_slots;
    }
  return slots;
}

static uint32_t
count_routes (const struct config *config, const char *service)
{
  uint32_t count = 0;
  for (size_t i = 0; i < config->route_count; i++)
    count += strcmp (config->routes[i].service, service) == 0;
  return count;
}

/// @return number of zones with targets of the service, at least 1
static uint32_t
count_zones (const struct node_moves *moves, const char *service)
{
  const struct member_table *table = node_members (moves->node);
  uint64_t seen[MOVE_ZONES_MAX];
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count && count < MOVE_ZONES_MAX; i++)
    {
      const struct member *member = member_get (table, i);
      if (strcmp (member->service, service) != 0)
        continue;
      uint64_t zone = hash_placement_string (member->availability_zone);
      uint32_t at = 0;
      while (at < count && seen[at] != zone)
        at++;
      if (at == count)
        seen[count++] = zone;
    }
  return count > 0 ? count : 1;
}

static struct move_input
make_input (const struct node_moves *moves, const struct config_move *move,
            uint64_t now_ms)
{
  const struct trip *trip = trip_find (&moves->trips, move->name);
  return (struct move_input){
    .now_ms = now_ms,
    .wall_ms = clock_wall_ms (),
    .move = move,
    .old_slots = count_slots (moves, move->service, move->from),
    .new_slots = count_slots (moves, move->service, move->to),
    .trip_reason = trip != NULL ? trip->reason : NULL,
  };
}

static struct moves_judged *
find_judged (const struct node_moves *moves, const char *name)
{
  for (uint32_t i = 0; i < moves->judged_count; i++)
    if (strcmp (moves->judged[i]->name, name) == 0)
      return moves->judged[i];
  return NULL;
}

static struct moves_judged *
add_judged (struct node_moves *moves, const struct config_move *move,
            uint64_t now_ms)
{
  const struct move_names names = { route_name, zone_name, moves };
  struct moves_judged **list = talloc_realloc (
      moves, moves->judged, struct moves_judged *, moves->judged_count + 1);
  if (list == NULL)
    return NULL;
  moves->judged = list;
  struct moves_judged *judged = talloc_zero (moves, struct moves_judged);
  if (judged == NULL)
    return NULL;
  struct move_input input = make_input (moves, move, now_ms);
  snprintf (judged->name, sizeof judged->name, "%s", move->name);
  move_init (&judged->move, &move_defaults, &input,
             count_routes (in_force (moves), move->service),
             count_zones (moves, move->service), &names);
  list[moves->judged_count++] = judged;
  return judged;
}

static void
on_published (void *arg, enum status status, uint64_t version)
{
  struct moves_write *write = arg;
  struct node_moves *moves = write->moves;
  if (moves == NULL)
    {
      talloc_free (write);
      return;
    }
  struct moves_write **at = &moves->writes;
  while (*at != write)
    at = &(*at)->next;
  *at = write->next;
  counter_add (status == STATUS_OK         ? &steps_written
               : status == STATUS_CONFLICT ? &step_conflicts
                                           : &steps_failed,
               1);
  if (status == STATUS_OK)
    log_event (LOG_LEVEL_INFO, "move_written", "move=%s version=%llu",
               write->name, (unsigned long long)version);
  struct moves_judged *judged = find_judged (moves, write->name);
  if (judged != NULL && judged->driver && judged->move.write_pending)
    move_written (&judged->move, status, clock_monotonic_ms ());
  talloc_free (write);
}

/// Builds the configuration in which the move has the state that an action
/// gives it.
static enum status
build_config (struct config *next_config, const struct config *base,
              const struct config_move *move, const struct move_action *action)
{
  enum status status = config_copy (next_config, base);
  if (status != STATUS_OK)
    return status;
  struct config_move changed = *move;
  changed.step = move->step + 1;
  changed.reason = action->reason;
  changed.share_bp = action->type == MOVE_ROLL_BACK ? 0 : action->share_bp;
  if (action->type == MOVE_FINISH)
    changed.phase = MOVE_DONE;
  if (action->type == MOVE_ROLL_BACK)
    changed.phase = MOVE_ROLLED_BACK;
  /* A warning keeps the step, so that the evidence collected for it stays
     valid. */
  if (action->type == MOVE_WARN)
    changed.step = move->step;
  struct config_service service = { move->service, move->to };
  if (action->type == MOVE_FINISH)
    status = config_set_service (next_config, &service);
  if (status == STATUS_OK)
    status = config_set_move (next_config, &changed);
  if (status == STATUS_OK)
    status = config_rehash (next_config);
  if (status != STATUS_OK)
    config_finish (next_config);
  return status;
}

static void
publish (struct node_moves *moves, struct moves_judged *judged,
         const struct config_move *move, const struct move_action *action)
{
  const struct config *base = in_force (moves);
  char author[AUTHOR_MAX];
  struct config next_config;
  struct moves_write *write = talloc_zero (NULL, struct moves_write);
  if (write == NULL
      || build_config (&next_config, base, move, action) != STATUS_OK)
    {
      talloc_free (write);
      move_written (&judged->move, STATUS_UNAVAILABLE, clock_monotonic_ms ());
      return;
    }
  write->moves = moves;
  write->type = action->type;
  write->next = moves->writes;
  moves->writes = write;
  snprintf (write->name, sizeof write->name, "%s", judged->name);
  snprintf (author, sizeof author, "move-driver %s",
            moves->node->settings.slot);
  log_event (LOG_LEVEL_INFO, "move_writing",
             "move=%s base=%llu share_bp=%u reason=\"%s\"", judged->name,
             (unsigned long long)base->version, action->share_bp,
             action->reason);
  node_config_publish (moves->node, &next_config, base->version, author,
                       action->reason, rng_u64 (&moves->node->rng),
                       on_published, write);
  config_finish (&next_config);
}

static void
judge_move (struct node_moves *moves, struct moves_judged *judged,
            const struct config_move *move, uint64_t now_ms)
{
  struct move_input input = make_input (moves, move, now_ms);
  struct move_action action;
  move_tick (&judged->move, &input, &action);
  if (action.type == MOVE_WAIT)
    return;
  /* Both the driver and the watcher trip a move when the evidence is
     significant; only the driver does when the move is late. */
  if (action.type == MOVE_ROLL_BACK
      && (judged->driver || judged->move.evidence >= 1))
    node_moves_trip (moves, judged->name, action.reason);
  if (!action.write)
    return;
  if (judged->driver)
    publish (moves, judged, move, &action);
  else
    move_written (&judged->move, STATUS_CONFLICT, now_ms);
}

void
node_moves_judge (struct node_moves *moves, uint64_t now_ms)
{
  const struct config *config = in_force (moves);
  uint64_t self = moves->node->slot_id;
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      if (move->phase != MOVE_RUNNING)
        continue;
      bool driver = node_role_owner (moves->node, move->name) == self;
      if (!driver && node_moves_watcher (moves->node, move->name) != self)
        continue;
      struct moves_judged *judged = find_judged (moves, move->name);
      if (judged == NULL)
        judged = add_judged (moves, move, now_ms);
      if (judged == NULL)
        continue;
      if (judged->driver != driver)
        log_event (LOG_LEVEL_INFO, "move_role", "move=%s role=%s", move->name,
                   driver ? "driver" : "watcher");
      judged->driver = driver;
      judged->listed = true;
      judge_move (moves, judged, move, now_ms);
    }
  uint32_t kept = 0;
  for (uint32_t i = 0; i < moves->judged_count; i++)
    {
      struct moves_judged *judged = moves->judged[i];
      if (!judged->listed)
        {
          talloc_free (judged);
          continue;
        }
      judged->listed = false;
      moves->judged[kept++] = judged;
    }
  moves->judged_count = kept;
}

void
node_moves_add_evidence (struct node_moves *moves,
                         const struct outcome_cell *cell, uint64_t now_ms)
{
  for (uint32_t i = 0; i < moves->judged_count; i++)
    {
      struct moves_judged *judged = moves->judged[i];
      if (hash_placement_string (judged->name) != cell->key.move)
        continue;
      if (move_observe (&judged->move, &cell->key, &cell->counts, now_ms)
          != STATUS_OK)
        counter_add (&stale_cells, 1);
    }
}

void
node_moves_driver_finish (struct node_moves *moves)
{
  for (struct moves_write *write = moves->writes; write != NULL;
       write = write->next)
    write->moves = NULL;
}
