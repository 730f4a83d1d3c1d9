/// Policy of one timed move: when its share is raised, when it is done and
/// when it is taken back. The driver feeds evidence and times; the policy
/// answers with the next action. It keeps no state that a new driver could not
/// rebuild from the configuration and from new evidence.
#ifndef HAWTHORNSEAM_COORDINATION_MOVE_H
#define HAWTHORNSEAM_COORDINATION_MOVE_H

#include "coordination/move_judge.h"
#include "state/config.h"

#define MOVE_SHARES_MAX 8
#define MOVE_REASON_MAX 159

struct move_settings
{
  struct move_judge_settings judge;
  uint32_t shares_bp[MOVE_SHARES_MAX]; ///< rising; the last one is held until
                                       ///< the end, the rest stays on the old
                                       ///< version for comparison
  uint32_t share_count;
  uint32_t careful_count; ///< shares of at most 5% of the calls
  double careful_part;    ///< part of the time spent at those
  double reserve_part;    ///< part of the time kept free at the end
  uint32_t reserve_min_ms;
  uint32_t reserve_max_ms;
  uint32_t dwell_min_ms; ///< least time at a share
  double warm_part;      ///< part of the time before latency is judged
  uint32_t warm_min_ms;
  uint32_t warm_max_ms;
  uint32_t route_calls;    ///< calls of each version on a route for a step
  double expected_calls;   ///< with this many expected, none is suspicious
  uint32_t load_window_ms; ///< window in which calls per slot are counted
  double load_excess; ///< latency is not judged while the new slots get more
                      ///< calls than this times the old ones' usual number
  double slots_part;  ///< new slots that suffice per old slot
};

extern const struct move_settings move_defaults;

/// What the driver sees at one moment.
struct move_input
{
  uint64_t now_ms;                ///< monotonic
  uint64_t wall_ms;               ///< wall clock, compared with by_ms only
  const struct config_move *move; ///< as in the configuration in force
  uint32_t old_slots;             ///< slots of live, ready targets
  uint32_t new_slots;
  const char *trip_reason; ///< the node's trip table holds the move, or NULL
};

enum move_action_type
{
  MOVE_WAIT,
  MOVE_STEP,      ///< write the share as the next step
  MOVE_FINISH,    ///< write the end `done`
  MOVE_TAKE_BACK, ///< trip at once, then write the end `taken back`
  MOVE_WARN       ///< write the reason; the share stays
};

struct move_action
{
  enum move_action_type type;
  uint32_t share_bp;
  bool write; ///< false: a write is still pending, only trip
  char reason[MOVE_REASON_MAX + 1];
};

/// Names for reason texts; they return NULL for hashes that they don't know.
struct move_names
{
  const char *(*route) (void *arg, uint64_t route);
  const char *(*zone) (void *arg, uint64_t availability_zone);
  void *arg;
};

struct move
{
  const struct move_settings *settings;
  struct move_judge judge;
  struct move_names names;
  uint64_t by_ms;
  uint64_t duration_ms; ///< until the stated time, as seen at the start
  uint32_t start_index; ///< index of the share in force at the start
  uint32_t step;        ///< step of the configuration that evidence is for
  uint32_t share_bp;
  uint64_t step_ms;      ///< monotonic time at which the step was seen
  bool warmed;           ///< the new version served before this view began
  uint64_t first_new_ms; ///< first call of the new version, 0: none yet
  uint64_t window_ms;    ///< start of the load window
  uint64_t window_calls[OUTCOME_SIDES];
  double usual_load;   ///< most calls per ms and old slot at small shares
  double new_load;     ///< calls per ms of the new version
  bool crowded;        ///< the new slots get more calls than is usual
  uint64_t retry_ms;   ///< no write before
  bool write_pending;  ///< no definite result yet
  bool finish_unknown; ///< a write of the end may have taken effect
  bool store_out;      ///< the last write was refused by the store
  enum move_action_type written; ///< action of the last write
  bool condemned;                ///< evidence was significant; permanent
  double evidence;               ///< latest value, significant from 1 on
  char verdict[MOVE_REASON_MAX + 1];
  char warning[MOVE_REASON_MAX + 1]; ///< last warning given
};

/// Starts a driver's view of a running move, at its start or at a takeover.
void move_init (struct move *move, const struct move_settings *settings,
                const struct move_input *input, uint32_t expected_routes,
                uint32_t expected_zones, const struct move_names *names);

/// Adds evidence. Counts of another step than the present one are not used.
/// @return STATUS_CONFLICT for another step, STATUS_INVALID for counts that
///         contradict each other
enum status move_observe (struct move *move, const struct outcome_key *key,
                          const struct outcome_counts *counts,
                          uint64_t now_ms);

/// Decides. An action with `write` is a write that the driver begins now;
/// until move_written no other one is asked for. MOVE_TAKE_BACK trips at once,
/// with or without a write, and is repeated until the configuration records
/// it.
void move_tick (struct move *move, const struct move_input *input,
                struct move_action *action);

/// Reports the result of the write: STATUS_OK, STATUS_CONFLICT (another
/// writer was first: start again from the newest version), else not written.
void move_written (struct move *move, enum status status, uint64_t now_ms);

/// @return plan: ms before the stated time at which the share
/// with this index is due
uint64_t move_due (const struct move *move, uint32_t share_index);

#endif
