/// Policy of one move with a deadline: when the share of the new version is
/// raised, when the move is done and when it is rolled back. The caller passes
/// in evidence and the time and gets the next action. A driver that takes over
/// rebuilds the state from the configuration and from new evidence.
#ifndef HAWTHORNSEAM_COORDINATION_MOVE_H
#define HAWTHORNSEAM_COORDINATION_MOVE_H

#include "coordination/move_judge.h"
#include "state/config.h"

#define MOVE_SHARES_MAX 8
#define MOVE_REASON_MAX 159

struct move_settings
{
  struct move_judge_settings judge;
  uint32_t shares_bp[MOVE_SHARES_MAX]; ///< ascending; the last one is held
                                       ///< until the move is done, the other
                                       ///< calls stay on the old version for
                                       ///< comparison
  uint32_t share_count;
  uint32_t canary_count;   ///< number of canary shares: the first ones, of at
                           ///< most 5% of the calls
  double canary_fraction;  ///< fraction of the duration at the canary shares
  double reserve_fraction; ///< fraction of the duration kept free at the end
  uint32_t reserve_min_ms;
  uint32_t reserve_max_ms;
  uint32_t dwell_min_ms;  ///< minimum time at a share
  double warmup_fraction; ///< fraction of the duration, counted from the first
                          ///< call of the new version, without latency tests
  uint32_t warmup_min_ms;
  uint32_t warmup_max_ms;
  uint32_t route_calls_min; ///< calls of each version that a route needs
                            ///< before the next step
  double expected_calls;    ///< from this many expected calls on, none at all
                            ///< means that evidence is missing
  uint32_t load_window_ms;  ///< window in which calls per slot are counted
  double load_excess;    ///< latency is not judged while a new slot gets more
                         ///< calls than this times the baseline of an old slot
  double slots_fraction; ///< new slots needed per old slot
};

extern const struct move_settings move_defaults;

/// Snapshot of what the driver knows when it calls move_tick.
struct move_input
{
  uint64_t now_ms;                ///< monotonic
  uint64_t wall_ms;               ///< wall clock, only compared with by_ms
  const struct config_move *move; ///< as in the configuration in force
  uint32_t old_slots;             ///< slots of live, ready targets
  uint32_t new_slots;
  const char *trip_reason; ///< from this node's trip table; NULL: no trip
};

enum move_action_type
{
  MOVE_WAIT,
  MOVE_STEP,      ///< write the share as the next step
  MOVE_FINISH,    ///< write the phase `done`
  MOVE_ROLL_BACK, ///< trip at once, then write the phase `taken_back`
  MOVE_WARN       ///< write the reason without changing the share
};

struct move_action
{
  enum move_action_type type;
  uint32_t share_bp;
  bool write; ///< false: do not write now; the caller only trips
  char reason[MOVE_REASON_MAX + 1];
};

/// Callbacks that turn hashes into names for the reason texts; they return
/// NULL for an unknown hash.
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
  uint64_t duration_ms; ///< from move_init to the deadline
  uint32_t start_index; ///< index of the share in force at move_init
  uint32_t step;        ///< step in the configuration; evidence of other
                        ///< steps is refused
  uint32_t share_bp;
  uint64_t step_ms;      ///< monotonic time at which the step was first seen
  bool served_before;    ///< the new version had a share at move_init
  uint64_t first_new_ms; ///< first call of the new version; 0: none yet
  uint64_t window_ms;    ///< start of the load window
  uint64_t window_calls[OUTCOME_SIDES];
  double baseline_load; ///< highest rate of calls per ms and old slot at the
                        ///< canary shares
  double new_load;      ///< calls per ms of the new version
  bool new_slots_overloaded; ///< the new slots get more calls than the
                             ///< baseline allows
  uint64_t retry_ms;         ///< earliest time of the next write
  bool write_pending;        ///< the result of a write is not known yet
  bool finish_unknown; ///< a write of the phase `done` may have taken effect
  bool store_failed;   ///< the last write failed for another reason than a
                       ///< conflict
  enum move_action_type written; ///< action of the last write
  bool rollback_decided;         ///< never reset
  double evidence;               ///< latest value; significant from 1 on
  char rollback_reason[MOVE_REASON_MAX + 1];
  char warning[MOVE_REASON_MAX + 1]; ///< last warning given
};

/// Initializes the policy of a running move, for its first driver or for one
/// that takes over.
/// @param settings  outlives the move
void move_init (struct move *move, const struct move_settings *settings,
                const struct move_input *input, uint32_t expected_routes,
                uint32_t expected_zones, const struct move_names *names);

/// Adds evidence. Counts of any step but the current one are refused.
/// @return STATUS_CONFLICT for another step, STATUS_INVALID for counts that
///         contradict each other
enum status move_observe (struct move *move, const struct outcome_key *key,
                          const struct outcome_counts *counts,
                          uint64_t now_ms);

/// Decides on the next action. When `write` is set, the driver starts a write
/// to the store now; no other write is requested before move_written.
/// MOVE_ROLL_BACK trips at once, with or without a write, and is repeated
/// until the configuration records the rollback.
void move_tick (struct move *move, const struct move_input *input,
                struct move_action *action);

/// Takes the result of the write: STATUS_OK, STATUS_CONFLICT (another writer
/// was first; the policy continues from the newest version), STATUS_UNKNOWN
/// (it may have taken effect) or any other status when it was not written.
void move_written (struct move *move, enum status status, uint64_t now_ms);

/// @return how long before the deadline the share with this index is due, ms;
///         for the index share_count: when the move should be done
uint64_t move_due (const struct move *move, uint32_t share_index);

#endif
