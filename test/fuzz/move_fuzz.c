/// Runs several drivers of one move with events from the input. Invariants:
/// the share rises only with evidence at the current share and through the
/// store, never after a trip (an immediate rollback) is recorded or known to
/// the writer; the move ends at most once; at the stated time it is done or
/// rolled back.
#include "coordination/move.h"
#include "coordination/trip.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRIVERS 3
#define ROUTES 2
#define WALL_START 1700000000000ull
#define NO_WRITE UINT32_MAX

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

struct driver
{
  struct move move;
  struct trip_table trips;
  struct config_move seen; ///< as in the configuration in force at this node
  bool running;            ///< was started
  bool paused;
  uint32_t base_step; ///< of the pending write; NO_WRITE: none
  bool applied;       ///< the pending write took effect
  int32_t clock_error_ms;
  uint64_t calls[ROUTES][OUTCOME_SIDES]; ///< observed since the seen step
};

struct world
{
  struct config_move accepted;
  struct driver drivers[DRIVERS];
  uint64_t now_ms;
  uint32_t old_slots;
  uint32_t new_slots;
  bool store_unavailable;
  bool lose_response;
  unsigned ends;
};

static void
require (bool holds, const char *invariant)
{
  if (holds)
    return;
  fprintf (stderr, "invariant violated: %s\n", invariant);
  abort ();
}

static void
start_driver (struct world *world, struct driver *driver)
{
  static const struct move_names names = { 0 };
  struct move_input input
      = { .now_ms = world->now_ms,
          .wall_ms = WALL_START + world->now_ms + driver->clock_error_ms,
          .move = &driver->seen,
          .old_slots = world->old_slots,
          .new_slots = world->new_slots };
  move_init (&driver->move, &move_defaults, &input, ROUTES, 1, &names);
  driver->running = true;
  driver->base_step = NO_WRITE;
  memset (driver->calls, 0, sizeof driver->calls);
}

static void
add_trip (struct world *world, struct driver *driver, const char *reason)
{
  bool added;
  trip_add (&driver->trips, "m", reason, true, world->now_ms, &added);
}

/// Checks that a raise of the share follows no trip, and that each route on
/// which at least 3 calls of the new version are expected at the current share
/// had some.
static void
check_raise (const struct world *world, const struct driver *driver)
{
  require (trip_find (&driver->trips, "m") == NULL,
           "no raise of the share after a trip");
  if (driver->seen.share_bp == 0)
    return;
  for (int r = 0; r < ROUTES; r++)
    {
      const uint64_t *calls = driver->calls[r];
      uint64_t all = calls[OUTCOME_OLD] + calls[OUTCOME_NEW];
      require (calls[OUTCOME_NEW] > 0
                   || (double)all * driver->seen.share_bp
                          < 3.0 * CONFIG_SHARE_ALL,
               "no raise of the share without evidence at the current one");
    }
}

static void
apply_action (struct world *world, struct driver *driver,
              const struct move_action *action)
{
  struct config_move *accepted = &world->accepted;
  uint32_t share = accepted->share_bp;
  require (accepted->phase == MOVE_RUNNING,
           "no step after the end of the move");
  accepted->step += action->type != MOVE_WARN;
  if (action->type == MOVE_STEP)
    accepted->share_bp = action->share_bp;
  if (action->type == MOVE_STEP && action->share_bp > share)
    check_raise (world, driver);
  if (action->type == MOVE_FINISH)
    {
      check_raise (world, driver);
      accepted->phase = MOVE_DONE;
      world->ends++;
    }
  if (action->type == MOVE_ROLL_BACK)
    {
      accepted->phase = MOVE_ROLLED_BACK;
      accepted->share_bp = 0;
      world->ends++;
    }
  require (world->ends <= 1, "the move ends at most once");
}

/// Ends a driver's pending write with a result.
static void
end_write (struct world *world, struct driver *driver, enum status status)
{
  driver->base_step = NO_WRITE;
  move_written (&driver->move, status, world->now_ms);
}

static void
tick_driver (struct world *world, struct driver *driver)
{
  if (!driver->running || driver->paused || driver->seen.phase != MOVE_RUNNING)
    return;
  const struct trip *known = trip_find (&driver->trips, "m");
  struct move_input input
      = { .now_ms = world->now_ms,
          .wall_ms = WALL_START + world->now_ms + driver->clock_error_ms,
          .move = &driver->seen,
          .old_slots = world->old_slots,
          .new_slots = world->new_slots,
          .trip_reason = known == NULL ? NULL : known->reason };
  struct move_action action;
  move_tick (&driver->move, &input, &action);
  if (driver->seen.step != driver->move.step)
    abort ();
  if (action.type == MOVE_ROLL_BACK)
    add_trip (world, driver, action.reason);
  bool time_is_up = input.wall_ms >= driver->seen.by_ms;
  bool finish_pending
      = driver->move.finish_unknown
        || (driver->move.write_pending && driver->move.written == MOVE_FINISH);
  require (!time_is_up || finish_pending
               || trip_find (&driver->trips, "m") != NULL,
           "done or rolled back at the stated time");
  if (action.type == MOVE_WAIT || !action.write)
    return;
  driver->base_step = driver->seen.step;
  driver->applied = false;
  if (world->store_unavailable)
    {
      end_write (world, driver, STATUS_UNAVAILABLE);
      return;
    }
  if (driver->seen.step != world->accepted.step
      || world->accepted.phase != MOVE_RUNNING)
    {
      end_write (world, driver, STATUS_CONFLICT);
      return;
    }
  apply_action (world, driver, &action);
  driver->applied = true;
  if (!world->lose_response)
    end_write (world, driver, STATUS_OK);
  world->lose_response = false;
}

/// Brings the accepted configuration in force at a driver's node.
static void
update_seen (struct world *world, struct driver *driver)
{
  if (driver->seen.step != world->accepted.step)
    memset (driver->calls, 0, sizeof driver->calls);
  driver->seen = world->accepted;
}

/// Feeds evidence about calls to a driver.
/// @param choice  bits that select route, version, step, count, errors and
///                slowness
static void
observe_calls (struct world *world, struct driver *driver, uint8_t choice,
               uint8_t amount)
{
  struct outcome_key key = { 1, 1 + choice % ROUTES, 1,
                             driver->seen.step + ((choice & 8) != 0 ? 1 : 0),
                             (choice & 4) != 0 ? OUTCOME_NEW : OUTCOME_OLD };
  uint32_t calls = 1u + amount * ((choice & 16) != 0 ? 20u : 1u);
  uint32_t errors = (choice & 32) != 0 ? calls / (1 + (choice >> 6)) : 0;
  struct outcome_counts counts = { calls, errors, calls - errors, 0, 0 };
  if ((choice & 0xe0) == 0x80)
    counts.slow50 = counts.slow99 = counts.timed;
  if (!driver->running || driver->paused)
    return;
  if (move_observe (&driver->move, &key, &counts, world->now_ms) != STATUS_OK)
    return;
  require (key.step == driver->move.step,
           "only evidence for the current step counts");
  driver->calls[choice % ROUTES][key.side] += calls;
}

static void
run_event (struct world *world, const uint8_t *event)
{
  struct driver *driver = &world->drivers[event[0] / 16 % DRIVERS];
  switch (event[0] % 16)
    {
    case 0:
    case 1:
    case 2:
      observe_calls (world, driver, event[1], event[2]);
      break;
    case 3:
      world->now_ms += 250;
      tick_driver (world, driver);
      break;
    case 4:
      world->now_ms += 250u * (1 + event[1]);
      tick_driver (world, driver);
      break;
    case 5:
      update_seen (world, driver);
      break;
    case 6:
      driver->paused = !driver->paused;
      break;
    case 7:
      world->store_unavailable = !world->store_unavailable;
      break;
    case 8:
      world->lose_response = true;
      break;
    case 9: /* the lost response arrives, or the result stays unknown */
      if (driver->base_step != NO_WRITE && driver->running)
        end_write (world, driver,
                   (event[1] & 1) != 0 ? STATUS_UNKNOWN : STATUS_OK);
      break;
    case 10: /* a driver starts or restarts */
      if (!driver->paused && driver->seen.phase == MOVE_RUNNING)
        start_driver (world, driver);
      break;
    case 11:
      add_trip (world, driver, "another node");
      break;
    case 12:
      world->new_slots = event[1] % 64;
      break;
    case 13:
      if (event[1] < 32 && world->accepted.phase == MOVE_RUNNING)
        {
          world->accepted.phase = MOVE_CANCELLED;
          world->accepted.step++;
          world->ends++;
        }
      break;
    default: /* all drivers see the accepted configuration and tick */
      world->now_ms += 250;
      for (int i = 0; i < DRIVERS; i++)
        {
          update_seen (world, &world->drivers[i]);
          tick_driver (world, &world->drivers[i]);
        }
      break;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct world world;
  if (size < 4)
    return 0;
  memset (&world, 0, sizeof world);
  world.now_ms = 1000;
  world.old_slots = world.new_slots = 48;
  world.accepted = (struct config_move){ .name = "m",
                                         .service = "s",
                                         .from = "v1",
                                         .to = "v2",
                                         .by_ms = WALL_START + 60000
                                                  + data[0] * 1000ull };
  for (int i = 0; i < DRIVERS; i++)
    {
      trip_table_init (&world.drivers[i].trips);
      world.drivers[i].seen = world.accepted;
      world.drivers[i].base_step = NO_WRITE;
      world.drivers[i].clock_error_ms = (data[1 + i] - 128) * 500;
    }
  start_driver (&world, &world.drivers[0]);
  for (size_t i = 4; i + 3 <= size && i < 3000; i += 3)
    run_event (&world, data + i);
  for (int i = 0; i < DRIVERS; i++)
    trip_table_finish (&world.drivers[i].trips);
  return 0;
}
