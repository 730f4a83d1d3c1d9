#include "coordination/move.h"
#include "testing.h"

#include <string.h>

#define START_WALL 1700000000000ull
#define DURATION 600000u

/// One move with a simple world: 100 calls a second on one route.
struct world
{
  struct config_move config;
  struct move_input input;
  struct move move;
  struct move_action action;
  unsigned raises;
  unsigned finishes;
  unsigned take_backs;
};

static void
world_init (struct world *world)
{
  static const struct move_names names = { 0 };
  memset (world, 0, sizeof *world);
  world->config = (struct config_move){
    .name = "m", .from = "v1", .to = "v2", .by_ms = START_WALL + DURATION
  };
  world->input = (struct move_input){ .now_ms = 1000,
                                      .wall_ms = START_WALL,
                                      .move = &world->config,
                                      .old_slots = 48,
                                      .new_slots = 48 };
  move_init (&world->move, &move_defaults, &world->input, 1, 1, &names);
}

static void
feed (struct world *world, uint32_t new_errors_percent)
{
  struct outcome_key key = { 1, 1, 1, world->config.step, OUTCOME_OLD };
  uint32_t fresh = world->config.share_bp / 100;
  struct outcome_counts old = { 100 - fresh, 0, 100 - fresh, 0, 0 };
  struct outcome_counts new
      = { fresh, fresh * new_errors_percent / 100, 0, 0, 0 };
  move_observe (&world->move, &key, &old, world->input.now_ms);
  key.side = OUTCOME_NEW;
  if (fresh > 0)
    move_observe (&world->move, &key, &new, world->input.now_ms);
}

/// One second: evidence, decision, and the write with a given result.
static void
second (struct world *world, uint32_t new_errors_percent, enum status result)
{
  struct move_action *action = &world->action;
  world->input.now_ms += 1000;
  world->input.wall_ms += 1000;
  feed (world, new_errors_percent);
  move_tick (&world->move, &world->input, action);
  if (action->type == MOVE_TAKE_BACK)
    world->take_backs++;
  if (action->type == MOVE_WAIT || !action->write)
    return;
  if (result == STATUS_OK)
    {
      if (action->type == MOVE_STEP)
        {
          world->raises += action->share_bp > world->config.share_bp;
          world->config.share_bp = action->share_bp;
        }
      world->finishes += action->type == MOVE_FINISH;
      if (action->type == MOVE_FINISH)
        world->config.phase = MOVE_DONE;
      if (action->type == MOVE_TAKE_BACK)
        world->config.phase = MOVE_TAKEN_BACK;
      world->config.step++;
    }
  move_written (&world->move, result, world->input.now_ms);
}

static void
run_seconds (struct world *world, unsigned seconds, uint32_t errors,
             enum status result)
{
  for (unsigned i = 0; i < seconds; i++)
    second (world, errors, result);
}

static void
test_good_move_is_done (void)
{
  struct world world;
  world_init (&world);
  run_seconds (&world, 290, 0, STATUS_OK);
  CU_ASSERT (world.config.share_bp <= 500);
  run_seconds (&world, 309, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_DONE);
  CU_ASSERT_EQUAL (world.finishes, 1);
  CU_ASSERT_EQUAL (world.take_backs, 0);
}

static void
test_bad_move_stays_taken_back (void)
{
  struct world world;
  world_init (&world);
  run_seconds (&world, 20, 100, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_TAKEN_BACK);
  unsigned raises = world.raises;
  run_seconds (&world, 600, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_TAKEN_BACK);
  CU_ASSERT_EQUAL (world.raises, raises);
}

static void
test_store_out (void)
{
  struct world world;
  world_init (&world);
  run_seconds (&world, 100, 0, STATUS_OK);
  unsigned raises = world.raises;
  run_seconds (&world, 400, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (world.raises, raises);
  CU_ASSERT_EQUAL (world.take_backs, 0);
  second (&world, 100, STATUS_UNAVAILABLE);
  run_seconds (&world, 5, 100, STATUS_UNAVAILABLE);
  CU_ASSERT (world.take_backs > 0); /* trips without the store */
  run_seconds (&world, 5, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_TAKEN_BACK);
}

static void
test_stated_time_without_store (void)
{
  struct world world;
  world_init (&world);
  run_seconds (&world, 300, 0, STATUS_OK);
  run_seconds (&world, 299, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (world.take_backs, 0);
  second (&world, 0, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (world.action.type, MOVE_TAKE_BACK);
  CU_ASSERT_PTR_NOT_NULL (strstr (world.action.reason, "store"));
}

static void
test_unresolved_end_is_not_taken_back (void)
{
  struct world world;
  world_init (&world);
  while (world.action.type != MOVE_FINISH)
    {
      world.input.now_ms += 1000;
      world.input.wall_ms += 1000;
      feed (&world, 0);
      move_tick (&world.move, &world.input, &world.action);
      if (world.action.type != MOVE_STEP)
        continue;
      world.config.share_bp = world.action.share_bp;
      world.config.step++;
      move_written (&world.move, STATUS_OK, world.input.now_ms);
    }
  world.input.wall_ms = START_WALL + DURATION + 1;
  move_tick (&world.move, &world.input, &world.action);
  CU_ASSERT_EQUAL (world.action.type, MOVE_WAIT);
  move_written (&world.move, STATUS_UNAVAILABLE, world.input.now_ms);
  move_tick (&world.move, &world.input, &world.action);
  CU_ASSERT_EQUAL (world.action.type, MOVE_TAKE_BACK);
}

static void
test_no_step_without_calls (void)
{
  struct world world;
  world_init (&world);
  static const struct move_names names = { 0 };
  world.config.share_bp = 100;
  world.config.step = 1;
  move_init (&world.move, &move_defaults, &world.input, 1, 1, &names);
  for (int i = 0; i < 500; i++)
    {
      struct outcome_key key = { 1, 1, 1, world.config.step, OUTCOME_OLD };
      struct outcome_counts old = { 100, 0, 0, 0, 0 };
      world.input.now_ms += 1000;
      world.input.wall_ms += 1000;
      move_observe (&world.move, &key, &old, world.input.now_ms);
      move_tick (&world.move, &world.input, &world.action);
      CU_ASSERT (world.action.type == MOVE_WAIT
                 || world.action.type == MOVE_WARN);
      if (world.action.type == MOVE_WARN && world.action.write)
        move_written (&world.move, STATUS_OK, world.input.now_ms);
    }
}

static void
test_evidence_of_other_steps_is_ignored (void)
{
  struct world world;
  struct outcome_counts failed = { 1000, 1000, 0, 0, 0 };
  world_init (&world);
  run_seconds (&world, 15, 0, STATUS_OK);
  struct outcome_key key = { 1, 1, 1, world.config.step + 1, OUTCOME_NEW };
  CU_ASSERT_EQUAL (move_observe (&world.move, &key, &failed, 1),
                   STATUS_CONFLICT);
  second (&world, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.take_backs, 0);
}

static void
test_second_driver_conflicts (void)
{
  struct world world;
  static const struct move_names names = { 0 };
  struct move other;
  world_init (&world);
  run_seconds (&world, 200, 0, STATUS_OK);
  move_init (&other, &move_defaults, &world.input, 1, 1, &names);
  CU_ASSERT_EQUAL (other.share_bp, world.config.share_bp);
  CU_ASSERT_EQUAL (other.judge.route_count, 0);
  world.config.share_bp = 1000; /* written by the other driver */
  world.config.step++;
  move_tick (&world.move, &world.input, &world.action);
  CU_ASSERT_EQUAL (world.action.type, MOVE_WAIT);
  CU_ASSERT_EQUAL (world.move.judge.routes[0].calls[OUTCOME_NEW], 0);
}

static void
test_slots_bound_the_share (void)
{
  struct world world;
  world_init (&world);
  world.input.new_slots = 4;
  run_seconds (&world, 599, 0, STATUS_OK);
  CU_ASSERT (world.config.share_bp <= 1000);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_RUNNING);
  second (&world, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_TAKEN_BACK);
  CU_ASSERT_PTR_NOT_NULL (strstr (world.action.reason, "slots"));
}

static void
test_trip_of_another_node (void)
{
  struct world world;
  world_init (&world);
  run_seconds (&world, 100, 0, STATUS_OK);
  world.input.trip_reason = "found elsewhere";
  second (&world, 0, STATUS_OK);
  CU_ASSERT_EQUAL (world.config.phase, MOVE_TAKEN_BACK);
  CU_ASSERT_STRING_EQUAL (world.action.reason, "found elsewhere");
}

static void
test_clock_off_by_a_minute (void)
{
  static const int errors[] = { -60000, 60000 };
  for (size_t i = 0; i < sizeof errors / sizeof errors[0]; i++)
    {
      struct world world;
      world_init (&world);
      world.config.by_ms = START_WALL + 900000;
      world.input.wall_ms += errors[i];
      static const struct move_names names = { 0 };
      move_init (&world.move, &move_defaults, &world.input, 1, 1, &names);
      run_seconds (&world, 900, 0, STATUS_OK);
      CU_ASSERT_EQUAL (world.config.phase, MOVE_DONE);
    }
}

static const struct test_case cases[] = {
  { "a good move that is late, or careless early", test_good_move_is_done },
  { "a take-back that is undone", test_bad_move_stays_taken_back },
  { "a raise while the store is out", test_store_out },
  { "a move between its versions after the stated time",
    test_stated_time_without_store },
  { "two ends by an unresolved write", test_unresolved_end_is_not_taken_back },
  { "a step without calls at the share", test_no_step_without_calls },
  { "evidence of another step that counts",
    test_evidence_of_other_steps_is_ignored },
  { "two drivers that use each other's evidence",
    test_second_driver_conflicts },
  { "a share above the slots", test_slots_bound_the_share },
  { "a trip of another node that is not recorded", test_trip_of_another_node },
  { "a driver's clock off by a minute", test_clock_off_by_a_minute },
};

int
main (void)
{
  return testing_run ("move", cases, sizeof cases / sizeof cases[0]);
}
