/// Simulates the nodes that decide about a move: the driver, the member that
/// takes over from it, and the watcher. Evidence, writes to the store and
/// changes of the share each take one tick of the model to arrive.
#include "model/move_run.h"

#include "coordination/trip.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS MODEL_TICK_MS

/// Virtual wall-clock time at the start of a run.
#define START_WALL_MS 1700000000000ull

/// Time from the driver's pause until another member drives the move: the
/// membership suspects the paused member (1.5 s) and declares it dead (3 s).
#define TAKEOVER_DELAY_MS 5000

/// A write whose response is lost has a definite result after this time.
#define LOST_RESPONSE_DELAY_MS 5000

/// Time for which a run continues after the move's deadline, so that a
/// roll-back that is in effect but not yet recorded is seen.
#define AFTER_DEADLINE_MS 5000

/// The driver, the member that takes over while it is paused, and the watcher.
#define DRIVERS 3

/// A member that drives or watches the move.
struct driver
{
  struct move move;
  bool running;         ///< move has been initialized
  uint64_t response_ms; ///< when the pending write's result arrives
  enum status response; ///< result of the pending write
};

struct run
{
  const struct move_scenario *scenario;
  const struct move_settings *settings;
  struct model model;
  struct config_move config;        ///< state of the move in the store
  struct config_move paused_config; ///< state that the paused driver last saw
  uint64_t change_ms;     ///< when the state in the store reaches the nodes
  uint32_t node_share_bp; ///< share that the nodes have in force
  uint32_t node_step;     ///< step that the nodes have in force
  bool tripped;
  uint64_t trip_ms; ///< when the trip takes effect at the nodes
  char trip_reason[MOVE_REASON_MAX + 1];
  bool by_evidence;        ///< rolled back by evidence, not at the deadline
  struct trip_watch watch; ///< of the observed node
  /* Counts and step of the previous tick, as the driver sees them. */
  struct outcome_counts previous[MODEL_ROUTES_MAX][MODEL_ZONES][OUTCOME_SIDES];
  uint32_t previous_step;
  uint32_t watch_step;
  struct driver drivers[DRIVERS];
  struct move_judge immediate_judge; ///< judges without delay
  uint32_t immediate_step;
  bool immediate_used;
  uint32_t writes; ///< accepted, when responses are lost
  /* For the baseline policies: the window of the error rate. */
  uint32_t window_calls;
  uint32_t window_errors;
  uint64_t window_ms;
};

/// @return true from from_s until before to_s; false when from_s is 0
static bool
within (uint64_t now_ms, uint32_t from_s, uint32_t to_s)
{
  return from_s > 0 && now_ms >= from_s * 1000ull && now_ms < to_s * 1000ull;
}

static bool
store_unavailable (const struct run *run, uint64_t now_ms)
{
  return within (now_ms, run->scenario->outage_start_s,
                 run->scenario->outage_end_s);
}

static struct move_input
make_input (const struct run *run, const struct config_move *config,
            uint64_t now_ms)
{
  return (struct move_input){
    .now_ms = now_ms,
    .wall_ms = START_WALL_MS + now_ms + run->scenario->clock_error_ms,
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

/// Records a trip; the nodes drop the new version's share one tick later.
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

/// Writes an action to the store by compare-and-swap on the step.
static void
write_action (struct run *run, struct driver *driver,
              const struct move_action *action, uint32_t base_step,
              uint64_t now_ms)
{
  driver->response_ms = now_ms + TICK_MS;
  if (store_unavailable (run, now_ms))
    {
      driver->response = STATUS_UNAVAILABLE;
      return;
    }
  if (base_step != run->config.step || run->config.phase != MOVE_RUNNING)
    {
      driver->response = STATUS_CONFLICT;
      return;
    }
  driver->response = STATUS_OK;
  if (run->scenario->lost_responses && ++run->writes % 2 == 1)
    driver->response_ms = now_ms + LOST_RESPONSE_DELAY_MS;
  run->config.step++;
  if (action->type == MOVE_STEP)
    run->config.share_bp = action->share_bp;
  else if (action->type == MOVE_FINISH)
    run->config.phase = MOVE_DONE;
  else if (action->type == MOVE_ROLL_BACK)
    run->config.phase = MOVE_ROLLED_BACK;
  run->change_ms = now_ms + TICK_MS;
}

static void
tick_driver (struct run *run, struct driver *driver,
             const struct config_move *config, uint64_t now_ms)
{
  struct move_action action;
  struct move_input input = make_input (run, config, now_ms);
  if (driver->move.write_pending && now_ms >= driver->response_ms)
    move_written (&driver->move, driver->response, now_ms);
  move_tick (&driver->move, &input, &action);
  if (action.type == MOVE_ROLL_BACK)
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
          struct outcome_key key
              = { 1, r + 1, z + 1, run->previous_step, side };
          if (run->previous[r][z][side].calls > 0)
            move_observe (&driver->move, &key, &run->previous[r][z][side],
                          now_ms);
        }
}

/// Runs the watcher, which gets the driver's evidence but can only trip. Only
/// runs with a pause need it: otherwise it sees the same as the driver.
static void
tick_watcher (struct run *run, uint64_t now_ms)
{
  struct driver *watcher = &run->drivers[2];
  struct move_input input = make_input (run, &run->config, now_ms);
  struct move_action action;
  if (run->scenario->pause_start_s == 0)
    return;
  if (!watcher->running)
    start_driver (run, watcher, now_ms);
  feed_driver (run, watcher, now_ms);
  move_tick (&watcher->move, &input, &action);
  if (action.type == MOVE_ROLL_BACK && watcher->move.evidence >= 1)
    trip (run, action.reason, now_ms);
  if (action.type != MOVE_WAIT && action.write)
    move_written (&watcher->move, STATUS_CONFLICT, now_ms);
}

/// Runs the product's policy for one tick.
static void
tick_product (struct run *run, uint64_t now_ms)
{
  const struct move_scenario *scenario = run->scenario;
  bool paused
      = within (now_ms, scenario->pause_start_s, scenario->pause_end_s);
  uint64_t pause_ms = scenario->pause_start_s * 1000ull;
  struct driver *first = &run->drivers[0];
  struct driver *second = &run->drivers[1];
  if (!first->running)
    start_driver (run, first, now_ms);
  if (paused && now_ms >= pause_ms + TAKEOVER_DELAY_MS && !second->running)
    start_driver (run, second, now_ms);
  if (!paused && second->running)
    {
      /* The first driver resumes with the state from before the pause. */
      second->running = false;
      tick_driver (run, first, &run->paused_config, now_ms);
    }
  struct driver *active = !paused ? first : second->running ? second : NULL;
  if (!paused)
    run->paused_config = run->config;
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
    trip_watch_discard_block (&run->watch);
  run->watch_step = run->node_step;
  if (trip_watch_check (&run->watch, now_ms))
    trip (run, "a node's own evidence", now_ms);
}

/// @param fraction  elapsed fraction of the time to the deadline
/// @return share of the fixed schedule, basis points
static uint32_t
scheduled_share (double fraction)
{
  return fraction < 0.15   ? 100
         : fraction < 0.35 ? 1000
         : fraction < 0.55 ? 2500
         : fraction < 0.75 ? 5000
                           : CONFIG_SHARE_ALL;
}

/// Runs one of the baseline policies for one tick. RUN_SCHEDULE rolls
/// back when more than 5% of at least 20 calls in 30 s failed.
static void
tick_baseline (struct run *run, enum run_policy policy, uint64_t now_ms)
{
  const struct model_setup *setup = &run->scenario->setup;
  double fraction = (double)now_ms / (run->scenario->duration_s * 1000.0);
  if (run->config.phase != MOVE_RUNNING || store_unavailable (run, now_ms))
    return;
  bool rolled_back = false;
  for (uint32_t r = 0; r < setup->routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      {
        run->window_calls += run->previous[r][z][OUTCOME_NEW].calls;
        run->window_errors += run->previous[r][z][OUTCOME_NEW].errors;
      }
  if (now_ms >= run->window_ms + 30000)
    {
      rolled_back = policy == RUN_SCHEDULE && run->window_calls >= 20
                    && run->window_errors > 0.05 * run->window_calls;
      run->window_ms = now_ms;
      run->window_calls = run->window_errors = 0;
    }
  if (policy == RUN_SWITCH && run->model.faulty
      && setup->fault.error_rate >= 0.5 && !run->scenario->misleading_health
      && now_ms >= run->window_ms + 10000)
    rolled_back = true;
  if (rolled_back)
    {
      run->by_evidence = true;
      run->config.phase = MOVE_ROLLED_BACK;
      run->change_ms = now_ms + TICK_MS;
      return;
    }
  uint32_t share
      = policy == RUN_SWITCH ? CONFIG_SHARE_ALL : scheduled_share (fraction);
  if (share != run->config.share_bp)
    run->change_ms = now_ms + TICK_MS;
  run->config.share_bp = share;
  if (fraction >= 0.95 && share == CONFIG_SHARE_ALL)
    run->config.phase = MOVE_DONE;
}

/// @return share of the state in the store, basis points
static uint32_t
accepted_share (const struct run *run)
{
  if (run->config.phase == MOVE_DONE)
    return CONFIG_SHARE_ALL;
  return run->config.phase == MOVE_RUNNING ? run->config.share_bp : 0;
}

/// Finds the time at which the evidence became significant: judges the
/// callers' counts without delay, even while the driver is paused.
static void
tick_immediate_judge (struct run *run, uint64_t now_ms,
                      struct run_result *result)
{
  struct move_finding finding;
  if (!run->immediate_used || result->significant_ms != UINT64_MAX)
    return;
  if (run->immediate_step != run->node_step)
    move_judge_step (&run->immediate_judge);
  run->immediate_step = run->node_step;
  for (uint32_t r = 0; r < run->scenario->setup.routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      for (enum outcome_side side = 0; side < OUTCOME_SIDES; side++)
        move_judge_add (&run->immediate_judge, r + 1, z + 1, side,
                        &run->model.counts[r][z][side], now_ms > 40000);
  if (move_judge_update (&run->immediate_judge, now_ms, &finding) >= 1)
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
  run->immediate_used = scenario->pause_start_s > 0;
  move_judge_init (&run->immediate_judge, &settings->judge,
                   scenario->setup.routes, MODEL_ZONES,
                   scenario->duration_s * 1000ull, 0);
  run->config = (struct config_move){
    .name = "move",
    .service = "service",
    .from = "v1",
    .to = "v2",
    .by_ms = START_WALL_MS + scenario->duration_s * 1000ull,
  };
}

static void
set_end (const struct run *run, struct run_result *result)
{
  if (run->config.phase == MOVE_DONE)
    result->end = RUN_DONE;
  else if (run->config.phase == MOVE_ROLLED_BACK || run->tripped)
    result->end = run->by_evidence ? RUN_ROLLED_BACK : RUN_TIMED_OUT;
  else
    result->end = RUN_UNFINISHED;
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
                                 .no_new_calls_ms = UINT64_MAX };
  for (uint64_t now_ms = 0; now_ms < by_ms + AFTER_DEADLINE_MS;
       now_ms += TICK_MS)
    {
      if (now_ms >= run.change_ms)
        {
          run.node_share_bp = accepted_share (&run);
          run.node_step = run.config.step;
        }
      if (run.tripped && now_ms >= run.trip_ms
          && run.config.phase != MOVE_DONE)
        run.node_share_bp = 0;
      memcpy (run.previous, run.model.counts, sizeof run.previous);
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
          tick_immediate_judge (&run, end_ms, result);
          tick_product (&run, end_ms);
        }
      else
        tick_baseline (&run, policy, end_ms);
      run.previous_step = run.node_step;
      bool rolled_back = run.tripped || run.config.phase == MOVE_ROLLED_BACK;
      if (rolled_back && !ended)
        {
          ended = true;
          result->share_before
              = calls > 0 ? (double)new_calls / (double)calls : 0;
          /* The decision was made on the counts of the previous tick. */
          if (result->significant_ms == UINT64_MAX && run.by_evidence)
            result->significant_ms = now_ms;
        }
      if (rolled_back && result->no_new_calls_ms == UINT64_MAX
          && run.model.new_calls == 0 && run.node_share_bp == 0)
        result->no_new_calls_ms = now_ms;
      if (end_ms == by_ms)
        set_end (&run, result);
      bool recorded = run.config.phase == MOVE_ROLLED_BACK;
      if (recorded && end_ms < by_ms && result->no_new_calls_ms != UINT64_MAX)
        {
          set_end (&run, result);
          break;
        }
    }
  if (!ended)
    result->share_before = calls > 0 ? (double)new_calls / (double)calls : 0;
  result->harmed = calls > 0 ? (double)harmed / (double)calls : 0;
}
