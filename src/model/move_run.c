/// Owns the virtual time of one run: the delays between callers, driver, store
/// and nodes, which are one tick of the model each, and the two drivers.
#include "model/move_run.h"

#include "coordination/trip.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS MODEL_TICK_MS

/// Virtual wall clock at the start of a run.
#define EPOCH_MS 1700000000000ull

/// A pause is noticed after suspicion (1.5 s) and death (3 s); then another
/// member drives.
#define TAKEOVER_MS 5000

/// A write whose answer is lost gets a definite result after this.
#define LOST_ANSWER_MS 5000

/// Time for which the run goes on after the stated time, so that an end that
/// is effective but not recorded shows.
#define AFTER_MS 5000

/// The driver, the member that takes over while it is paused, and the watcher.
#define DRIVERS 3

struct driver
{
  struct move move;
  bool running;
  uint64_t answer_ms; ///< when the pending write's result arrives
  enum status answer;
};

struct run
{
  const struct move_scenario *scenario;
  const struct move_settings *settings;
  struct model model;
  struct config_move config; ///< accepted state of the move
  struct config_move before; ///< as the paused driver remembers it
  uint64_t change_ms;        ///< when the accepted state reaches the nodes
  uint32_t node_share_bp;
  uint32_t node_step; ///< step that the nodes have in force
  bool tripped;
  uint64_t trip_ms; ///< when the trip reaches the nodes
  char trip_reason[MOVE_REASON_MAX + 1];
  bool by_evidence;
  struct trip_watch watch;
  struct outcome_counts late[MODEL_ROUTES_MAX][MODEL_ZONES][OUTCOME_SIDES];
  uint32_t late_step;
  uint32_t watch_step;
  struct driver drivers[DRIVERS];
  struct move_judge shadow; ///< judges what the callers saw, without delay
  uint32_t shadow_step;
  bool shadow_used;
  uint32_t writes;
  /* Of the baselines. */
  uint32_t window_calls;
  uint32_t window_errors;
  uint64_t window_ms;
};

static bool
within (uint64_t now_ms, uint32_t from_s, uint32_t to_s)
{
  return from_s > 0 && now_ms >= from_s * 1000ull && now_ms < to_s * 1000ull;
}

static bool
store_out (const struct run *run, uint64_t now_ms)
{
  return within (now_ms, run->scenario->store_out_s,
                 run->scenario->store_back_s);
}

static struct move_input
make_input (const struct run *run, const struct config_move *config,
            uint64_t now_ms)
{
  return (struct move_input){
    .now_ms = now_ms,
    .wall_ms = EPOCH_MS + now_ms + run->scenario->clock_error_ms,
    .move = config,
    .old_slots = (uint32_t)run->scenario->setup.old_slots,
    .new_slots = model_new_slots (&run->model),
    .trip_reason = run->tripped ? run->trip_reason : NULL,
  };
}

static void
start_driver (struct run *run, struct driver *driver, uint64_t now_ms)
{
  static const struct move_names no_names = { 0 };
  struct move_input input = make_input (run, &run->config, now_ms);
  memset (driver, 0, sizeof *driver);
  driver->running = true;
  move_init (&driver->move, run->settings, &input, run->scenario->setup.routes,
             MODEL_ZONES, &no_names);
}

static void
trip (struct run *run, const char *reason, uint64_t now_ms)
{
  if (run->tripped)
    return;
  run->tripped = true;
  run->trip_ms = now_ms + TICK_MS;
  run->by_evidence = strncmp (reason, "not done", 8) != 0;
  snprintf (run->trip_reason, sizeof run->trip_reason, "%s", reason);
}

/// Applies a write to the accepted state by compare-and-swap on the step.
static void
write_action (struct run *run, struct driver *driver,
              const struct move_action *action, uint32_t base_step,
              uint64_t now_ms)
{
  driver->answer_ms = now_ms + TICK_MS;
  if (store_out (run, now_ms))
    {
      driver->answer = STATUS_UNAVAILABLE;
      return;
    }
  if (base_step != run->config.step || run->config.phase != MOVE_RUNNING)
    {
      driver->answer = STATUS_CONFLICT;
      return;
    }
  driver->answer = STATUS_OK;
  if (run->scenario->lost_answers && ++run->writes % 2 == 1)
    driver->answer_ms = now_ms + LOST_ANSWER_MS;
  run->config.step++;
  if (action->type == MOVE_STEP)
    run->config.share_bp = action->share_bp;
  else if (action->type == MOVE_FINISH)
    run->config.phase = MOVE_DONE;
  else if (action->type == MOVE_TAKE_BACK)
    run->config.phase = MOVE_TAKEN_BACK;
  run->change_ms = now_ms + TICK_MS;
}

static void
tick_driver (struct run *run, struct driver *driver,
             const struct config_move *config, uint64_t now_ms)
{
  struct move_action action;
  struct move_input input = make_input (run, config, now_ms);
  if (driver->move.write_pending && now_ms >= driver->answer_ms)
    move_written (&driver->move, driver->answer, now_ms);
  move_tick (&driver->move, &input, &action);
  if (action.type == MOVE_TAKE_BACK)
    trip (run, action.reason, now_ms);
  if (action.type != MOVE_WAIT && action.write)
    write_action (run, driver, &action, config->step, now_ms);
}

static void
feed_driver (struct run *run, struct driver *driver, uint64_t now_ms)
{
  for (uint32_t r = 0; r < run->scenario->setup.routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      for (enum outcome_side side = 0; side < OUTCOME_SIDES; side++)
        {
          struct outcome_key key = { 1, r + 1, z + 1, run->late_step, side };
          if (run->late[r][z][side].calls > 0)
            move_observe (&driver->move, &key, &run->late[r][z][side], now_ms);
        }
}

/// The watcher gets the same evidence and only trips. It makes a difference in
/// runs with a pause only; elsewhere its view equals the driver's.
static void
tick_watcher (struct run *run, uint64_t now_ms)
{
  struct driver *watcher = &run->drivers[2];
  struct move_input input = make_input (run, &run->config, now_ms);
  struct move_action action;
  if (run->scenario->paused_s == 0)
    return;
  if (!watcher->running)
    start_driver (run, watcher, now_ms);
  feed_driver (run, watcher, now_ms);
  move_tick (&watcher->move, &input, &action);
  if (action.type == MOVE_TAKE_BACK && watcher->move.evidence >= 1)
    trip (run, action.reason, now_ms);
  if (action.type != MOVE_WAIT && action.write)
    move_written (&watcher->move, STATUS_CONFLICT, now_ms);
}

static void
tick_product (struct run *run, uint64_t now_ms)
{
  const struct move_scenario *scenario = run->scenario;
  bool paused = within (now_ms, scenario->paused_s, scenario->resumed_s);
  uint64_t pause_ms = scenario->paused_s * 1000ull;
  struct driver *first = &run->drivers[0];
  struct driver *second = &run->drivers[1];
  if (!first->running)
    start_driver (run, first, now_ms);
  if (paused && now_ms >= pause_ms + TAKEOVER_MS && !second->running)
    start_driver (run, second, now_ms);
  if (!paused && second->running)
    {
      /* The first driver wakes up with what it knew before the pause. */
      second->running = false;
      tick_driver (run, first, &run->before, now_ms);
    }
  struct driver *active = !paused ? first : second->running ? second : NULL;
  if (!paused)
    run->before = run->config;
  if (active != NULL)
    {
      feed_driver (run, active, now_ms);
      tick_driver (run, active, &run->config, now_ms);
    }
  tick_watcher (run, now_ms);
  for (int side = 0; side < OUTCOME_SIDES; side++)
    {
      const struct outcome_counts *node = &run->model.node[side];
      struct seqtest_block *block = &run->watch.block;
      bool new = side == OUTCOME_NEW;
      *(new ? &block->new_calls : &block->old_calls) += node->calls;
      *(new ? &block->new_events : &block->old_events) += node->errors;
    }
  if (run->watch_step != run->node_step)
    trip_watch_step (&run->watch);
  run->watch_step = run->node_step;
  if (trip_watch_check (&run->watch, now_ms))
    trip (run, "a node's own evidence", now_ms);
}

/// Share of the fixed schedule after a part of the time.
static uint32_t
scheduled_share (double part)
{
  return part < 0.15   ? 100
         : part < 0.35 ? 1000
         : part < 0.55 ? 2500
         : part < 0.75 ? 5000
                       : CONFIG_SHARE_ALL;
}

static void
tick_baseline (struct run *run, enum run_policy policy, uint64_t now_ms)
{
  const struct model_setup *setup = &run->scenario->setup;
  double part = (double)now_ms / (run->scenario->duration_s * 1000.0);
  if (run->config.phase != MOVE_RUNNING || store_out (run, now_ms))
    return;
  bool back = false;
  for (uint32_t r = 0; r < setup->routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      {
        run->window_calls += run->late[r][z][OUTCOME_NEW].calls;
        run->window_errors += run->late[r][z][OUTCOME_NEW].errors;
      }
  if (now_ms >= run->window_ms + 30000)
    {
      back = policy == RUN_SCHEDULE && run->window_calls >= 20
             && run->window_errors > 0.05 * run->window_calls;
      run->window_ms = now_ms;
      run->window_calls = run->window_errors = 0;
    }
  if (policy == RUN_SWITCH && run->model.faulty
      && setup->fault.error_rate >= 0.5 && !run->scenario->misleading_health
      && now_ms >= run->window_ms + 10000)
    back = true;
  if (back)
    {
      run->by_evidence = true;
      run->config.phase = MOVE_TAKEN_BACK;
      run->change_ms = now_ms + TICK_MS;
      return;
    }
  uint32_t share
      = policy == RUN_SWITCH ? CONFIG_SHARE_ALL : scheduled_share (part);
  if (share != run->config.share_bp)
    run->change_ms = now_ms + TICK_MS;
  run->config.share_bp = share;
  if (part >= 0.95 && share == CONFIG_SHARE_ALL)
    run->config.phase = MOVE_DONE;
}

static uint32_t
accepted_share (const struct run *run)
{
  if (run->config.phase == MOVE_DONE)
    return CONFIG_SHARE_ALL;
  return run->config.phase == MOVE_RUNNING ? run->config.share_bp : 0;
}

/// Judges the callers' counts at once, as the measure of "significant".
static void
tick_shadow (struct run *run, uint64_t now_ms, struct run_result *result)
{
  struct move_finding finding;
  if (!run->shadow_used || result->significant_ms != UINT64_MAX)
    return;
  if (run->shadow_step != run->node_step)
    move_judge_step (&run->shadow);
  run->shadow_step = run->node_step;
  for (uint32_t r = 0; r < run->scenario->setup.routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      for (enum outcome_side side = 0; side < OUTCOME_SIDES; side++)
        move_judge_add (&run->shadow, r + 1, z + 1, side,
                        &run->model.counts[r][z][side], now_ms > 40000);
  if (move_judge_update (&run->shadow, now_ms, &finding) >= 1)
    result->significant_ms = now_ms;
}

static void
run_init (struct run *run, const struct move_scenario *scenario,
          const struct move_settings *settings, uint64_t seed)
{
  memset (run, 0, sizeof *run);
  run->scenario = scenario;
  run->settings = settings;
  model_init (&run->model, &scenario->setup, seed);
  trip_watch_init (&run->watch, 0);
  run->shadow_used = scenario->paused_s > 0;
  move_judge_init (&run->shadow, &settings->judge, scenario->setup.routes,
                   MODEL_ZONES, scenario->duration_s * 1000ull, 0);
  run->config = (struct config_move){
    .name = "move",
    .service = "service",
    .from = "v1",
    .to = "v2",
    .by_ms = EPOCH_MS + scenario->duration_s * 1000ull,
  };
}

static void
set_end (const struct run *run, struct run_result *result)
{
  if (run->config.phase == MOVE_DONE)
    result->end = RUN_DONE;
  else if (run->config.phase == MOVE_TAKEN_BACK || run->tripped)
    result->end = run->by_evidence ? RUN_TAKEN_BACK : RUN_GIVEN_UP;
  else
    result->end = RUN_BETWEEN;
}

void
run_move (const struct move_scenario *scenario, enum run_policy policy,
          const struct move_settings *settings, uint64_t seed,
          struct run_result *result)
{
  static struct run run;
  uint64_t by_ms = scenario->duration_s * 1000ull;
  uint64_t calls = 0;
  uint64_t new_calls = 0;
  uint64_t harmed = 0;
  bool ended = false;
  run_init (&run, scenario, settings, seed);
  run.model.errors_only = policy != RUN_PRODUCT;
  *result = (struct run_result){ .fault_ms = UINT64_MAX,
                                 .significant_ms = UINT64_MAX,
                                 .none_ms = UINT64_MAX };
  for (uint64_t now_ms = 0; now_ms < by_ms + AFTER_MS; now_ms += TICK_MS)
    {
      if (now_ms >= run.change_ms)
        {
          run.node_share_bp = accepted_share (&run);
          run.node_step = run.config.step;
        }
      if (run.tripped && now_ms >= run.trip_ms
          && run.config.phase != MOVE_DONE)
        run.node_share_bp = 0;
      memcpy (run.late, run.model.counts, sizeof run.late);
      model_tick (&run.model, (double)run.node_share_bp / CONFIG_SHARE_ALL);
      uint64_t end_ms = now_ms + TICK_MS;
      calls += run.model.calls;
      new_calls += run.model.new_calls;
      harmed += run.model.harmed;
      if (run.model.faulty && result->fault_ms == UINT64_MAX)
        {
          result->fault_ms = now_ms;
          result->share_at_fault
              = (double)run.node_share_bp / CONFIG_SHARE_ALL;
        }
      if (policy == RUN_PRODUCT)
        {
          tick_shadow (&run, end_ms, result);
          tick_product (&run, end_ms);
        }
      else
        tick_baseline (&run, policy, end_ms);
      run.late_step = run.node_step;
      bool back = run.tripped || run.config.phase == MOVE_TAKEN_BACK;
      if (back && !ended)
        {
          ended = true;
          result->share_before
              = calls > 0 ? (double)new_calls / (double)calls : 0;
          /* The deciding counts are those of the tick before. */
          if (result->significant_ms == UINT64_MAX && run.by_evidence)
            result->significant_ms = now_ms;
        }
      if (back && result->none_ms == UINT64_MAX && run.model.new_calls == 0
          && run.node_share_bp == 0)
        result->none_ms = now_ms;
      if (end_ms == by_ms)
        set_end (&run, result);
      bool recorded = run.config.phase == MOVE_TAKEN_BACK;
      if (recorded && end_ms < by_ms && result->none_ms != UINT64_MAX)
        {
          set_end (&run, result);
          break;
        }
    }
  if (!ended)
    result->share_before = calls > 0 ? (double)new_calls / (double)calls : 0;
  result->harmed = calls > 0 ? (double)harmed / (double)calls : 0;
}
