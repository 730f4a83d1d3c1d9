/// Owns the schedule of a move and the choice of its next action.
#include "coordination/move.h"

#include <assert.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/// Minimum time between the end of a write and the next one.
#define RETRY_MS 500

/// A move starts with share 0 for 1/LEARN_DIVISOR of its duration, within
/// these limits, to measure the old version's traffic and latency percentiles
/// before the first share is chosen.
#define LEARN_DIVISOR 60
#define LEARN_MIN_MS 2000
#define LEARN_MAX_MS 10000

/// A share is lowered when it exceeds the limit set by the slots by this
/// factor; smaller changes are targets that join and leave in normal
/// operation.
#define SLOTS_HYSTERESIS 1.25

static uint64_t
clamp (double value, uint64_t low, uint64_t high)
{
  return value < (double)low    ? low
         : value > (double)high ? high
                                : (uint64_t)value;
}

static uint64_t
reserve_ms (const struct move *move)
{
  const struct move_settings *settings = move->settings;
  return clamp (settings->reserve_fraction * (double)move->duration_ms,
                settings->reserve_min_ms, settings->reserve_max_ms);
}

/// @return index of the largest configured share that is not above `share_bp`;
///         share_count when all are
static uint32_t
share_index_at_most (const struct move_settings *settings, uint32_t share_bp)
{
  uint32_t index = settings->share_count;
  for (uint32_t i = 0; i < settings->share_count; i++)
    if (settings->shares_bp[i] <= share_bp)
      index = i;
  return index;
}

static uint64_t
learn_ms (const struct move *move)
{
  return clamp ((double)move->duration_ms / LEARN_DIVISOR, LEARN_MIN_MS,
                LEARN_MAX_MS);
}

uint64_t
move_due (const struct move *move, uint32_t share_index)
{
  const struct move_settings *settings = move->settings;
  double duration = (double)move->duration_ms;
  double reserve = (double)reserve_ms (move);
  double count = settings->share_count;
  if (reserve > duration)
    reserve = duration;
  if (share_index >= settings->share_count)
    return (uint64_t)reserve;
  if (move->start_index >= settings->canary_count)
    return (uint64_t)(reserve
                      + (duration - reserve) * (count - share_index)
                            / (count - move->start_index));
  double canary = settings->canary_fraction * duration;
  if (canary > duration - reserve)
    canary = duration - reserve;
  if (share_index < settings->canary_count)
    return (uint64_t)(duration
                      - canary * share_index / (2.0 * settings->canary_count));
  return (uint64_t)(reserve
                    + (duration - canary - reserve) * (count - share_index)
                          / (count - settings->canary_count));
}

/// @return largest share that the slots of the new targets can carry, basis
///         points
static uint32_t
slots_limit_bp (const struct move *move, const struct move_input *input)
{
  double needed = move->settings->slots_fraction * input->old_slots;
  if (input->new_slots == 0)
    return 0;
  if (input->new_slots >= needed)
    return CONFIG_SHARE_ALL;
  return (uint32_t)(CONFIG_SHARE_ALL * input->new_slots / needed);
}

enum evidence
{
  EVIDENCE_MISSING, ///< no calls of the new version, though some were expected
  EVIDENCE_INSUFFICIENT, ///< too few calls to judge, but no reason to expect
                         ///< more
  EVIDENCE_SUFFICIENT
};

/// @param weakest  set to the route with the least evidence among the routes
///                 with calls; 0 when all of them have enough
/// @return amount of evidence on that route; EVIDENCE_SUFFICIENT when there is
///         none
static enum evidence
weakest_evidence (const struct move *move, uint64_t *weakest)
{
  enum evidence result = EVIDENCE_SUFFICIENT;
  *weakest = 0;
  for (uint32_t i = 0; i < move->judge.route_count; i++)
    {
      const struct move_route *route = &move->judge.routes[i];
      uint64_t old_calls = route->calls[OUTCOME_OLD];
      uint64_t new_calls = route->calls[OUTCOME_NEW];
      uint64_t least = old_calls < new_calls ? old_calls : new_calls;
      if (old_calls + new_calls == 0
          || least >= move->settings->route_calls_min)
        continue;
      double expected = (double)(old_calls + new_calls) * move->share_bp
                        / CONFIG_SHARE_ALL;
      enum evidence state
          = new_calls == 0 && expected >= move->settings->expected_calls
                ? EVIDENCE_MISSING
                : EVIDENCE_INSUFFICIENT;
      if (state >= result)
        continue;
      result = state;
      *weakest = route->route;
    }
  return result;
}

static const char *
route_name (const struct move *move, uint64_t route)
{
  const char *name = NULL;
  if (move->names.route != NULL)
    name = move->names.route (move->names.arg, route);
  return name != NULL ? name : "(unknown)";
}

static void __attribute__ ((format (printf, 3, 4)))
set_action (struct move_action *action, enum move_action_type type,
            const char *format, ...)
{
  va_list args;
  va_start (args, format);
  action->type = type;
  vsnprintf (action->reason, sizeof action->reason, format, args);
  va_end (args);
}

static void
describe_finding (struct move *move, const struct move_input *input,
                  const struct move_finding *finding)
{
  static const char *const measures[MOVE_MEASURES]
      = { "fails more often", "answers slower (50th percentile)",
          "has more slow answers (99th percentile)" };
  const char *place = NULL;
  const char *kind = "";
  if (finding->route != 0)
    {
      kind = " on route ";
      place = route_name (move, finding->route);
    }
  else if (finding->availability_zone != 0)
    {
      kind = " in zone ";
      if (move->names.zone != NULL)
        place = move->names.zone (move->names.arg, finding->availability_zone);
      if (place == NULL)
        place = "(unknown)";
    }
  snprintf (move->rollback_reason, sizeof move->rollback_reason,
            "%s %s than %s%s%s", input->move->to, measures[finding->measure],
            input->move->from, kind, place != NULL ? place : "");
}

/// Starts new evidence when the configuration shows a new step or share.
static void
update_step (struct move *move, const struct move_input *input)
{
  if (input->move->step == move->step
      && input->move->share_bp == move->share_bp)
    return;
  move->step = input->move->step;
  move->share_bp = input->move->share_bp;
  move->step_ms = input->now_ms;
  move->warning[0] = 0;
  move_judge_step (&move->judge);
}

/// Compares the calls per slot of the new version with the baseline of the old
/// version from the canary steps, when it carried most of the traffic. Targets
/// with more calls are expected to be slower whatever their version, so their
/// latency must not count against the new version.
static void
update_load (struct move *move, const struct move_input *input)
{
  const struct move_settings *settings = move->settings;
  uint32_t canary_bp = settings->shares_bp[settings->canary_count - 1];
  uint64_t elapsed = input->now_ms - move->window_ms;
  if (elapsed >= settings->load_window_ms)
    {
      double span = (double)elapsed;
      double old_load = (double)move->window_calls[OUTCOME_OLD] / span;
      move->new_load = (double)move->window_calls[OUTCOME_NEW] / span;
      if (input->old_slots > 0 && move->share_bp <= canary_bp
          && old_load / input->old_slots > move->baseline_load)
        move->baseline_load = old_load / input->old_slots;
      memset (move->window_calls, 0, sizeof move->window_calls);
      move->window_ms = input->now_ms;
    }
  move->new_slots_overloaded = move->baseline_load > 0
                               && move->new_load > settings->load_excess
                                                       * move->baseline_load
                                                       * input->new_slots;
}

/// Requests a write of the warning unless it repeats the last one.
static void
warn (struct move *move, struct move_action *action, const char *text)
{
  if (strcmp (move->warning, text) == 0)
    return;
  snprintf (move->warning, sizeof move->warning, "%s", text);
  set_action (action, MOVE_WARN, "%s", text);
  action->share_bp = move->share_bp;
}

/// @return index of the first share: the smallest canary share at which enough
///         calls are expected during its time in the schedule
static uint32_t
first_share_index (const struct move *move, uint64_t elapsed_ms)
{
  const struct move_settings *settings = move->settings;
  uint64_t calls = 0;
  for (uint32_t i = 0; i < move->judge.route_count; i++)
    calls += move->judge.routes[i].calls[OUTCOME_OLD];
  double per_ms = (double)calls / (double)(elapsed_ms > 0 ? elapsed_ms : 1);
  for (uint32_t i = 0; i + 1 < settings->canary_count; i++)
    {
      double span = (double)(move_due (move, i) - move_due (move, i + 1));
      if (per_ms * span * settings->shares_bp[i] / CONFIG_SHARE_ALL
          >= settings->expected_calls)
        return i;
    }
  return settings->canary_count - 1;
}

/// @return minimum time at the current share, ms; shorter than scheduled when
///         the move is behind its schedule
static uint64_t
min_dwell_ms (const struct move *move, uint32_t next, uint64_t left)
{
  const struct move_settings *settings = move->settings;
  uint64_t planned
      = next < settings->share_count
            ? (move_due (move, next) - move_due (move, next + 1)) / 2
            : move_due (move, next) / 2;
  uint64_t half_reserve = reserve_ms (move) / 2;
  double free_ms = left > half_reserve ? (double)(left - half_reserve) : 0;
  double each = free_ms / (settings->share_count - next + 1);
  if (planned < settings->dwell_min_ms)
    return settings->dwell_min_ms;
  return clamp (each, settings->dwell_min_ms, planned);
}

/// Requests the next step, or the phase `done` after the last share.
static void
advance (struct move *move, struct move_action *action, uint32_t next,
         enum evidence evidence, uint64_t weakest)
{
  const char *unjudged_route
      = evidence == EVIDENCE_INSUFFICIENT ? route_name (move, weakest) : NULL;
  bool last = next == move->settings->share_count;
  const char *summary = last ? "no fault found" : "evidence in order";
  enum move_action_type type = last ? MOVE_FINISH : MOVE_STEP;
  if (unjudged_route != NULL)
    set_action (action, type, "%s; too little traffic to judge route %s",
                summary, unjudged_route);
  else
    set_action (action, type, "%s", summary);
  action->share_bp = last ? CONFIG_SHARE_ALL : move->settings->shares_bp[next];
}

/// Decides on the next step of a running move before its deadline.
static void
plan_next (struct move *move, const struct move_input *input, uint64_t left,
           struct move_action *action)
{
  const struct move_settings *settings = move->settings;
  uint32_t index = share_index_at_most (settings, move->share_bp);
  uint32_t limit_bp = slots_limit_bp (move, input);
  uint64_t elapsed = input->now_ms - move->step_ms;
  char text[MOVE_REASON_MAX + 1];
  if (move->share_bp > limit_bp * SLOTS_HYSTERESIS)
    {
      uint32_t lower = share_index_at_most (settings, limit_bp);
      set_action (action, MOVE_STEP,
                  "lowered: the new targets have only %u slots",
                  input->new_slots);
      action->share_bp
          = lower < settings->share_count ? settings->shares_bp[lower] : 0;
      return;
    }
  bool starting = index == settings->share_count;
  if (starting && elapsed < learn_ms (move))
    return;
  uint32_t next = starting ? first_share_index (move, elapsed) : index + 1;
  if (!starting && left > move_due (move, next))
    return;
  bool late
      = left < (next < settings->share_count
                    ? (move_due (move, next) + move_due (move, next + 1)) / 2
                    : move_due (move, next) / 2);
  uint32_t wanted = next < settings->share_count ? settings->shares_bp[next]
                                                 : CONFIG_SHARE_ALL;
  if (wanted > limit_bp)
    {
      snprintf (text, sizeof text,
                "late: the new targets have %u slots, %.0f are needed",
                input->new_slots,
                ceil (settings->slots_fraction * input->old_slots * wanted
                      / CONFIG_SHARE_ALL));
      if (late || starting)
        warn (move, action, text);
      return;
    }
  if (!starting && elapsed < min_dwell_ms (move, next, left))
    return;
  uint64_t weakest = 0;
  enum evidence evidence
      = starting ? EVIDENCE_SUFFICIENT : weakest_evidence (move, &weakest);
  if (evidence == EVIDENCE_MISSING
      || (evidence == EVIDENCE_INSUFFICIENT && !late))
    {
      snprintf (text, sizeof text,
                "late: no calls to %s on route %s at this share",
                input->move->to, route_name (move, weakest));
      if (late)
        warn (move, action, text);
      return;
    }
  advance (move, action, next, evidence, weakest);
}

/// Rolls back a move that is not done by its deadline and sets the reason.
static void
roll_back_at_deadline (struct move *move, const struct move_input *input)
{
  const char *cause = "the evidence did not suffice in time";
  if (move->store_failed)
    cause = "the store was out";
  else if (slots_limit_bp (move, input) < CONFIG_SHARE_ALL)
    cause = "the new targets have too few slots";
  snprintf (move->rollback_reason, sizeof move->rollback_reason,
            "not done by the stated time: %s", cause);
  move->rollback_decided = true;
}

void
move_init (struct move *move, const struct move_settings *settings,
           const struct move_input *input, uint32_t expected_routes,
           uint32_t expected_zones, const struct move_names *names)
{
  assert (settings->share_count >= 1
          && settings->share_count <= MOVE_SHARES_MAX);
  assert (settings->canary_count >= 1
          && settings->canary_count < settings->share_count);
  uint64_t by_ms = input->move->by_ms;
  uint64_t left = by_ms > input->wall_ms ? by_ms - input->wall_ms : 0;
  memset (move, 0, sizeof *move);
  move->settings = settings;
  move->names = *names;
  move->by_ms = by_ms;
  move->duration_ms = left;
  move->step = input->move->step;
  move->share_bp = input->move->share_bp;
  move->step_ms = input->now_ms;
  move->window_ms = input->now_ms;
  move->served_before = input->move->share_bp > 0;
  uint32_t index = share_index_at_most (settings, move->share_bp);
  move->start_index = index < settings->share_count ? index : 0;
  move_judge_init (&move->judge, &settings->judge, expected_routes,
                   expected_zones, left, input->now_ms);
}

enum status
move_observe (struct move *move, const struct outcome_key *key,
              const struct outcome_counts *counts, uint64_t now_ms)
{
  if (key->step != move->step)
    return STATUS_CONFLICT;
  if (!outcome_counts_valid (counts))
    return status_set (STATUS_INVALID, "outcome counts contradict each other");
  if (key->side == OUTCOME_NEW && counts->calls > 0 && move->first_new_ms == 0)
    move->first_new_ms = now_ms;
  uint64_t warm_ms
      = clamp (move->settings->warmup_fraction * (double)move->duration_ms,
               move->settings->warmup_min_ms, move->settings->warmup_max_ms);
  move->window_calls[key->side] += counts->calls;
  bool warm
      = move->served_before
        || (move->first_new_ms != 0 && now_ms >= move->first_new_ms + warm_ms);
  move_judge_add (&move->judge, key->route, key->availability_zone, key->side,
                  counts, warm && !move->new_slots_overloaded);
  return STATUS_OK;
}

void
move_tick (struct move *move, const struct move_input *input,
           struct move_action *action)
{
  memset (action, 0, sizeof *action);
  if (input->move->phase != MOVE_RUNNING)
    return;
  update_step (move, input);
  update_load (move, input);
  struct move_finding finding = { 0 };
  move->evidence = move_judge_update (&move->judge, input->now_ms, &finding);
  uint64_t left
      = move->by_ms > input->wall_ms ? move->by_ms - input->wall_ms : 0;
  bool finishing = move->finish_unknown
                   || (move->write_pending && move->written == MOVE_FINISH);
  if (!move->rollback_decided && input->trip_reason != NULL)
    {
      snprintf (move->rollback_reason, sizeof move->rollback_reason, "%s",
                input->trip_reason);
      move->rollback_decided = true;
    }
  if (!move->rollback_decided && move->evidence >= 1)
    {
      describe_finding (move, input, &finding);
      move->rollback_decided = true;
    }
  /* A write of the phase `done` without a result may have taken effect; the
     move must not end a second time with a rollback. */
  if (!move->rollback_decided && left == 0 && !finishing)
    roll_back_at_deadline (move, input);
  if (move->rollback_decided)
    set_action (action, MOVE_ROLL_BACK, "%s", move->rollback_reason);
  else if (move->write_pending || input->now_ms < move->retry_ms)
    return;
  else if (finishing && left == 0)
    {
      set_action (action, MOVE_FINISH, "no fault found");
      action->share_bp = CONFIG_SHARE_ALL;
    }
  else if (left > 0)
    plan_next (move, input, left, action);
  if (action->type == MOVE_WAIT)
    return;
  action->write = !move->write_pending && input->now_ms >= move->retry_ms;
  if (!action->write)
    return;
  move->write_pending = true;
  move->written = action->type;
}

void
move_written (struct move *move, enum status status, uint64_t now_ms)
{
  assert (move->write_pending);
  move->write_pending = false;
  if (status == STATUS_UNKNOWN && move->written == MOVE_FINISH)
    move->finish_unknown = true;
  else if (status == STATUS_OK || status == STATUS_CONFLICT)
    move->finish_unknown = false;
  move->store_failed = status != STATUS_OK && status != STATUS_CONFLICT;
  /* Also after a success: it takes a moment until the new version is in
     force at this node. */
  move->retry_ms = now_ms + RETRY_MS;
  if (status != STATUS_OK && move->written == MOVE_WARN)
    move->warning[0] = 0;
}
