#include "coordination/move.h"
#include "testing.h"

#include <string.h>

#define START_WALL_MS 1700000000000ull
#define DURATION_MS 600000u

/// A simulated move: a service with one route and 100 calls a second.
struct sim
{
  struct config_move config;
  struct move_input input;
  struct move move;
  struct move_action action;
  unsigned raised;
  unsigned finished;
  unsigned rollbacks;
};

static void
sim_init (struct sim *sim)
{
  static const struct move_names names = { 0 };
  memset (sim, 0, sizeof *sim);
  sim->config = (struct config_move){
    .name = "m", .from = "v1", .to = "v2", .by_ms = START_WALL_MS + DURATION_MS
  };
  sim->input = (struct move_input){ .now_ms = 1000,
                                    .wall_ms = START_WALL_MS,
                                    .move = &sim->config,
                                    .old_slots = 48,
                                    .new_slots = 48 };
  move_init (&sim->move, &move_defaults, &sim->input, 1, 1, &names);
}

static void
add_counts_of_second (struct sim *sim, uint32_t new_errors_percent)
{
  struct outcome_key key = { 1, 1, 1, sim->config.step, OUTCOME_OLD };
  uint32_t new_calls = sim->config.share_bp / 100;
  struct outcome_counts old = { 100 - new_calls, 0, 100 - new_calls, 0, 0 };
  struct outcome_counts new
      = { new_calls, new_calls * new_errors_percent / 100, 0, 0, 0 };
  move_observe (&sim->move, &key, &old, sim->input.now_ms);
  key.side = OUTCOME_NEW;
  if (new_calls > 0)
    move_observe (&sim->move, &key, &new, sim->input.now_ms);
}

/// Simulates one second: evidence, decision, and a write with a given result.
static void
run_second (struct sim *sim, uint32_t new_errors_percent, enum status result)
{
  struct move_action *action = &sim->action;
  sim->input.now_ms += 1000;
  sim->input.wall_ms += 1000;
  add_counts_of_second (sim, new_errors_percent);
  move_tick (&sim->move, &sim->input, action);
  if (action->type == MOVE_ROLL_BACK)
    sim->rollbacks++;
  if (action->type == MOVE_WAIT || !action->write)
    return;
  if (result == STATUS_OK)
    {
      if (action->type == MOVE_STEP)
        {
          sim->raised += action->share_bp > sim->config.share_bp;
          sim->config.share_bp = action->share_bp;
        }
      sim->finished += action->type == MOVE_FINISH;
      if (action->type == MOVE_FINISH)
        sim->config.phase = MOVE_DONE;
      if (action->type == MOVE_ROLL_BACK)
        sim->config.phase = MOVE_ROLLED_BACK;
      sim->config.step++;
    }
  move_written (&sim->move, result, sim->input.now_ms);
}

static void
run_seconds (struct sim *sim, unsigned seconds, uint32_t errors,
             enum status result)
{
  for (unsigned i = 0; i < seconds; i++)
    run_second (sim, errors, result);
}

static void
test_good_move_is_done (void)
{
  struct sim sim;
  sim_init (&sim);
  run_seconds (&sim, 290, 0, STATUS_OK);
  CU_ASSERT (sim.config.share_bp <= 500);
  run_seconds (&sim, 309, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_DONE);
  CU_ASSERT_EQUAL (sim.finished, 1);
  CU_ASSERT_EQUAL (sim.rollbacks, 0);
}

static void
test_bad_move_stays_rolled_back (void)
{
  struct sim sim;
  sim_init (&sim);
  run_seconds (&sim, 20, 100, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_ROLLED_BACK);
  unsigned raised = sim.raised;
  run_seconds (&sim, 600, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_ROLLED_BACK);
  CU_ASSERT_EQUAL (sim.raised, raised);
}

static void
test_store_unavailable (void)
{
  struct sim sim;
  sim_init (&sim);
  run_seconds (&sim, 100, 0, STATUS_OK);
  unsigned raised = sim.raised;
  run_seconds (&sim, 400, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (sim.raised, raised);
  CU_ASSERT_EQUAL (sim.rollbacks, 0);
  run_second (&sim, 100, STATUS_UNAVAILABLE);
  run_seconds (&sim, 5, 100, STATUS_UNAVAILABLE);
  CU_ASSERT (sim.rollbacks > 0); /* it trips without the store */
  run_seconds (&sim, 5, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_ROLLED_BACK);
}

static void
test_deadline_without_store (void)
{
  struct sim sim;
  sim_init (&sim);
  run_seconds (&sim, 300, 0, STATUS_OK);
  run_seconds (&sim, 299, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (sim.rollbacks, 0);
  run_second (&sim, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (sim.action.type, MOVE_ROLL_BACK);
  CU_ASSERT_PTR_NOT_NULL (strstr (sim.action.reason, "store"));
}

static void
test_uncertain_finish_is_not_rolled_back (void)
{
  struct sim sim;
  sim_init (&sim);
  while (sim.action.type != MOVE_FINISH)
    {
      sim.input.now_ms += 1000;
      sim.input.wall_ms += 1000;
      add_counts_of_second (&sim, 0);
      move_tick (&sim.move, &sim.input, &sim.action);
      if (sim.action.type != MOVE_STEP)
        continue;
      sim.config.share_bp = sim.action.share_bp;
      sim.config.step++;
      move_written (&sim.move, STATUS_OK, sim.input.now_ms);
    }
  sim.input.wall_ms = START_WALL_MS + DURATION_MS + 1;
  move_tick (&sim.move, &sim.input, &sim.action);
  CU_ASSERT_EQUAL (sim.action.type, MOVE_WAIT);
  move_written (&sim.move, STATUS_UNAVAILABLE, sim.input.now_ms);
  move_tick (&sim.move, &sim.input, &sim.action);
  CU_ASSERT_EQUAL (sim.action.type, MOVE_ROLL_BACK);
}

static void
test_no_step_without_calls (void)
{
  struct sim sim;
  sim_init (&sim);
  static const struct move_names names = { 0 };
  sim.config.share_bp = 100;
  sim.config.step = 1;
  move_init (&sim.move, &move_defaults, &sim.input, 1, 1, &names);
  for (int i = 0; i < 500; i++)
    {
      struct outcome_key key = { 1, 1, 1, sim.config.step, OUTCOME_OLD };
      struct outcome_counts old = { 100, 0, 0, 0, 0 };
      sim.input.now_ms += 1000;
      sim.input.wall_ms += 1000;
      move_observe (&sim.move, &key, &old, sim.input.now_ms);
      move_tick (&sim.move, &sim.input, &sim.action);
      CU_ASSERT (sim.action.type == MOVE_WAIT || sim.action.type == MOVE_WARN);
      if (sim.action.type == MOVE_WARN && sim.action.write)
        move_written (&sim.move, STATUS_OK, sim.input.now_ms);
    }
}

static void
test_evidence_of_other_steps_is_ignored (void)
{
  struct sim sim;
  struct outcome_counts failed = { 1000, 1000, 0, 0, 0 };
  sim_init (&sim);
  run_seconds (&sim, 15, 0, STATUS_OK);
  /* A step that the configuration at this driver does not show. */
  struct outcome_key key = { 1, 1, 1, sim.config.step + 1, OUTCOME_NEW };
  CU_ASSERT_EQUAL (move_observe (&sim.move, &key, &failed, 1),
                   STATUS_CONFLICT);
  run_second (&sim, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.rollbacks, 0);
}

static void
test_step_of_another_driver (void)
{
  struct sim sim;
  static const struct move_names names = { 0 };
  struct move other;
  sim_init (&sim);
  run_seconds (&sim, 200, 0, STATUS_OK);
  move_init (&other, &move_defaults, &sim.input, 1, 1, &names);
  CU_ASSERT_EQUAL (other.share_bp, sim.config.share_bp);
  CU_ASSERT_EQUAL (other.judge.route_count, 0);
  sim.config.share_bp = 1000; /* written by the other driver */
  sim.config.step++;
  move_tick (&sim.move, &sim.input, &sim.action);
  CU_ASSERT_EQUAL (sim.action.type, MOVE_WAIT);
  CU_ASSERT_EQUAL (sim.move.judge.routes[0].calls[OUTCOME_NEW], 0);
}

static void
test_slots_limit_the_share (void)
{
  struct sim sim;
  sim_init (&sim);
  sim.input.new_slots = 4;
  run_seconds (&sim, 599, 0, STATUS_OK);
  CU_ASSERT (sim.config.share_bp <= 1000);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_RUNNING);
  run_second (&sim, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_ROLLED_BACK);
  CU_ASSERT_PTR_NOT_NULL (strstr (sim.action.reason, "slots"));
}

static void
test_trip_of_another_node (void)
{
  struct sim sim;
  sim_init (&sim);
  run_seconds (&sim, 100, 0, STATUS_OK);
  sim.input.trip_reason = "found elsewhere";
  run_second (&sim, 0, STATUS_OK);
  CU_ASSERT_EQUAL (sim.config.phase, MOVE_ROLLED_BACK);
  CU_ASSERT_STRING_EQUAL (sim.action.reason, "found elsewhere");
}

static void
test_clock_error_of_a_minute (void)
{
  static const int errors[] = { -60000, 60000 };
  for (size_t i = 0; i < sizeof errors / sizeof errors[0]; i++)
    {
      struct sim sim;
      sim_init (&sim);
      sim.config.by_ms = START_WALL_MS + 900000;
      sim.input.wall_ms += errors[i];
      static const struct move_names names = { 0 };
      move_init (&sim.move, &move_defaults, &sim.input, 1, 1, &names);
      run_seconds (&sim, 900, 0, STATUS_OK);
      CU_ASSERT_EQUAL (sim.config.phase, MOVE_DONE);
    }
}

static const struct test_case cases[] = {
  { "a good move misses its deadline, or has a large share too early",
    test_good_move_is_done },
  { "a rolled back move gets calls again", test_bad_move_stays_rolled_back },
  { "a share is raised while the store is unavailable",
    test_store_unavailable },
  { "a move still runs after its deadline", test_deadline_without_store },
  { "a move that is possibly done is rolled back",
    test_uncertain_finish_is_not_rolled_back },
  { "a share is raised although the new version got no calls",
    test_no_step_without_calls },
  { "evidence of another step counts",
    test_evidence_of_other_steps_is_ignored },
  { "a driver uses evidence of another driver's step",
    test_step_of_another_driver },
  { "a share exceeds what the new slots can carry",
    test_slots_limit_the_share },
  { "a trip of another node is not recorded as a rollback",
    test_trip_of_another_node },
  { "a clock error of a minute makes a good move fail",
    test_clock_error_of_a_minute },
};

int
main (void)
{
  return testing_run ("move", cases, sizeof cases / sizeof cases[0]);
}
