/// Owns the list of running moves that routing and counting of calls use, the
/// trips at this node, and the timer of the module.
#include "node/node_moves.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define TICK_MS 250
/// Broadcast kind of a trip, the same as BROADCAST_KIND_TRIP.
#define BROADCAST_TRIP 3

/// Up to this share the old version carries its usual load. Above it the
/// latency limits of a route may rise but not fall.
#define BASELINE_SHARE_MAX_BP 500

/// A relay repeats the trip of another node only after this time: until then
/// the driver of the move should have recorded it in the configuration.
#define RELAY_REPEAT_DELAY_MS 10000

static struct counter trips_started
    = COUNTER ("moves_trips", "moves taken back first by this node");
static struct counter trips_received
    = COUNTER ("moves_trips_received", "broadcasts of trips received");
static struct counter malformed
    = COUNTER ("moves_trips_malformed", "broadcasts of trips not understood");
static struct counter calls_not_counted = COUNTER (
    "moves_calls_not_counted", "calls without a place in the evidence table");

static struct moves_entry *
find_entry_by_service (const struct node_moves *moves, uint64_t service_id)
{
  for (uint32_t i = 0; i < moves->entry_count; i++)
    if (moves->entries[i]->service_id == service_id)
      return moves->entries[i];
  return NULL;
}

static struct moves_entry *
find_entry_by_name (const struct node_moves *moves, const char *name)
{
  for (uint32_t i = 0; i < moves->entry_count; i++)
    if (strcmp (moves->entries[i]->name, name) == 0)
      return moves->entries[i];
  return NULL;
}

static struct moves_entry *
add_entry (struct node_moves *moves, const struct config_move *move)
{
  struct moves_entry **entries = talloc_realloc (
      moves, moves->entries, struct moves_entry *, moves->entry_count + 1);
  if (entries == NULL)
    return NULL;
  moves->entries = entries;
  struct moves_entry *entry = talloc_zero (moves, struct moves_entry);
  if (entry == NULL)
    return NULL;
  snprintf (entry->name, sizeof entry->name, "%s", move->name);
  snprintf (entry->service, sizeof entry->service, "%s", move->service);
  snprintf (entry->from, sizeof entry->from, "%s", move->from);
  snprintf (entry->to, sizeof entry->to, "%s", move->to);
  entry->id = hash_placement_string (entry->name);
  entry->service_id = hash_placement_string (entry->service);
  entry->step = move->step;
  trip_watch_init (&entry->watch, clock_monotonic_ms ());
  entries[moves->entry_count++] = entry;
  return entry;
}

/// Updates the running moves from the configuration in force.
static void
update_moves (void *arg, const struct config *config)
{
  struct node_moves *moves = arg;
  trip_mark_recorded (&moves->trips, config);
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      if (move->phase != MOVE_RUNNING)
        continue;
      struct moves_entry *entry = find_entry_by_name (moves, move->name);
      if (entry == NULL)
        entry = add_entry (moves, move);
      if (entry == NULL)
        continue;
      if (entry->step != move->step)
        trip_watch_discard_block (&entry->watch);
      entry->step = move->step;
      entry->share_bp = move->share_bp;
      entry->listed = true;
    }
  uint32_t kept = 0;
  for (uint32_t i = 0; i < moves->entry_count; i++)
    {
      struct moves_entry *entry = moves->entries[i];
      if (!entry->listed)
        {
          talloc_free (entry);
          continue;
        }
      entry->listed = false;
      moves->entries[kept++] = entry;
    }
  moves->entry_count = kept;
}

static struct moves_route *
find_route (struct moves_entry *entry, uint64_t route)
{
  for (uint32_t i = 0; i < entry->route_count; i++)
    if (entry->routes[i].route == route)
      return &entry->routes[i];
  if (entry->route_count == MOVE_ROUTES_MAX)
    return NULL;
  struct moves_route *routes = talloc_realloc (
      entry, entry->routes, struct moves_route, entry->route_count + 1);
  if (routes == NULL)
    return NULL;
  entry->routes = routes;
  struct moves_route *added = &routes[entry->route_count++];
  added->route = route;
  outcome_percentiles_init (&added->percentiles, clock_monotonic_ms ());
  return added;
}

static void
handle_trip (void *arg, uint64_t origin_slot, const uint8_t *body, size_t size)
{
  struct node_moves *moves = arg;
  struct trip trip;
  bool added = false;
  counter_add (&trips_received, 1);
  if (trip_decode (body, size, &trip) != STATUS_OK
      || trip_add (&moves->trips, trip.move, trip.reason,
                   node_is_relay (moves->node),
                   clock_monotonic_ms () + RELAY_REPEAT_DELAY_MS, &added)
             != STATUS_OK)
    {
      counter_add (&malformed, 1);
      return;
    }
  trip_mark_recorded (&moves->trips, config_follower_current (
                                         node_config_follower (moves->node)));
  if (added)
    log_event (LOG_LEVEL_WARNING, "move_tripped",
               "move=%s origin=%016llx reason=\"%s\"", trip.move,
               (unsigned long long)origin_slot, trip.reason);
}

static void
send_trip (void *arg, const struct trip *trip)
{
  struct node_moves *moves = arg;
  uint8_t *bytes = NULL;
  size_t size = 0;
  if (trip_encode (trip->move, trip->reason, moves, &bytes, &size)
      != STATUS_OK)
    return;
  node_mesh_broadcast (moves->node, BROADCAST_TRIP, bytes, size);
  talloc_free (bytes);
}

/// Refreshes the latency limits, and trips moves that the calls of this node
/// alone show to fail.
static void
check_own_evidence (struct node_moves *moves, uint64_t now_ms)
{
  for (uint32_t i = 0; i < moves->entry_count; i++)
    {
      struct moves_entry *entry = moves->entries[i];
      for (uint32_t k = 0; k < entry->route_count; k++)
        outcome_percentiles_refresh (&entry->routes[k].percentiles, now_ms,
                                     entry->share_bp > BASELINE_SHARE_MAX_BP);
      if (!trip_watch_check (&entry->watch, now_ms)
          || trip_find (&moves->trips, entry->name) != NULL)
        continue;
      char reason[TRIP_REASON_MAX + 1];
      snprintf (reason, sizeof reason,
                "%s fails more often than %s, seen by node %s alone",
                entry->to, entry->from, moves->node->settings.slot);
      node_moves_trip (moves, entry->name, reason);
    }
}

static void
on_tick (evutil_socket_t fd, short events, void *arg)
{
  struct node_moves *moves = arg;
  uint64_t now_ms = clock_monotonic_ms ();
  check_own_evidence (moves, now_ms);
  node_moves_send (moves, now_ms);
  node_moves_judge (moves, now_ms);
  trip_broadcast_due (&moves->trips, now_ms, send_trip, moves);
}

void
node_moves_trip (struct node_moves *moves, const char *name,
                 const char *reason)
{
  bool added = false;
  uint64_t now_ms = clock_monotonic_ms ();
  enum status status
      = trip_add (&moves->trips, name, reason, true, now_ms, &added);
  if (status != STATUS_OK || !added)
    return;
  counter_add (&trips_started, 1);
  log_event (LOG_LEVEL_WARNING, "move_tripped",
             "move=%s origin=self reason=\"%s\"", name, reason);
  trip_broadcast_due (&moves->trips, now_ms, send_trip, moves);
}

enum status
node_moves_start (struct node *node)
{
  struct node_moves *moves = talloc_zero (NULL, struct node_moves);
  if (moves == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the moves module");
  moves->node = node;
  moves->boot = rng_u64 (&node->rng);
  trip_table_init (&moves->trips);
  outcome_table_init (&moves->local_counts);
  moves->tick = event_new (node->base, -1, EV_PERSIST, on_tick, moves);
  struct timeval interval = { 0, TICK_MS * 1000 };
  if (moves->tick == NULL || event_add (moves->tick, &interval) != 0)
    {
      if (moves->tick != NULL)
        event_free (moves->tick);
      talloc_free (moves);
      return status_set (STATUS_NO_MEMORY,
                         "cannot start the timer of the moves module");
    }
  node->moves = moves;
  peer_register_handler (node_peers (node), EVIDENCE_MESSAGE_TYPE,
                         node_moves_receive, moves);
  node_mesh_on_broadcast (node, BROADCAST_TRIP, handle_trip, moves);
  node_mesh_on_version (node, update_moves, moves);
  update_moves (moves, config_follower_current (node_config_follower (node)));
  return STATUS_OK;
}

void
node_moves_stop (struct node *node)
{
  struct node_moves *moves = node->moves;
  if (moves == NULL)
    return;
  event_free (moves->tick);
  node_moves_driver_finish (moves);
  node_moves_evidence_finish (moves);
  trip_table_finish (&moves->trips);
  outcome_table_finish (&moves->local_counts);
  node->moves = NULL;
  talloc_free (moves);
}

uint32_t
node_moves_share (const struct node *node, const char *service,
                  const char **to)
{
  const struct node_moves *moves = node->moves;
  *to = NULL;
  if (moves == NULL || moves->entry_count == 0)
    return 0;
  const struct moves_entry *entry
      = find_entry_by_service (moves, hash_placement_string (service));
  if (entry == NULL)
    return 0;
  *to = entry->to;
  return trip_find (&moves->trips, entry->name) != NULL ? 0 : entry->share_bp;
}

void
node_moves_observe (struct node *node, const char *service, const char *route,
                    const char *target_version, const char *availability_zone,
                    bool cold_target, bool failed, uint32_t latency_us)
{
  struct node_moves *moves = node->moves;
  if (moves == NULL || moves->entry_count == 0)
    return;
  struct moves_entry *entry
      = find_entry_by_service (moves, hash_placement_string (service));
  if (entry == NULL)
    return;
  bool new_version = strcmp (target_version, entry->to) == 0;
  if (!new_version && strcmp (target_version, entry->from) != 0)
    return;
  struct outcome_key key
      = { entry->id, hash_placement_string (route),
          hash_placement_string (availability_zone), entry->step,
          new_version ? OUTCOME_NEW : OUTCOME_OLD };
  struct moves_route *limits = find_route (entry, key.route);
  /* The latency of cold targets is not counted, but their failures are: the
     targets of a version that keeps crashing never warm up. */
  bool counts_latency = limits != NULL && !cold_target;
  struct outcome_counts counts = outcome_of_call (
      counts_latency ? &limits->percentiles : NULL, failed, latency_us);
  if (outcome_add (&moves->local_counts, &key, &counts) != STATUS_OK)
    counter_add (&calls_not_counted, 1);
  if (counts_latency && !new_version && !failed)
    outcome_percentiles_add (&limits->percentiles, latency_us);
  trip_watch_count (&entry->watch, new_version, failed);
}
