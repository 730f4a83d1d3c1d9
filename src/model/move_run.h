/// Simulates one move of a scenario under a policy in virtual time.
#ifndef HAWTHORNSEAM_MODEL_MOVE_RUN_H
#define HAWTHORNSEAM_MODEL_MOVE_RUN_H

#include "coordination/move.h"
#include "model/move_scenarios.h"

/// How the move is decided.
enum run_policy
{
  RUN_PRODUCT,  ///< the product's: coordination/move with trips
  RUN_SCHEDULE, ///< fixed schedule, rolled back above an error rate
  RUN_SWITCH,   ///< all calls at once, rolled back when the health endpoint
                ///< fails
  RUN_POLICIES  ///< number of policies
};

/// State of the move at its deadline.
enum run_end
{
  RUN_DONE,        ///< completed
  RUN_ROLLED_BACK, ///< rolled back by evidence of a fault
  RUN_TIMED_OUT, ///< rolled back because it could not complete by the deadline
  RUN_UNFINISHED ///< neither completed nor rolled back at the deadline
};

struct run_result
{
  enum run_end end;
  double share_before;   ///< fraction of the service's calls that the new
                         ///< version got until the move was rolled back
  double share_at_fault; ///< share of the new version when the fault was first
                         ///< active
  double harmed;     ///< fraction of the service's calls that met the fault
  uint64_t fault_ms; ///< when the fault was first active, UINT64_MAX: never
  uint64_t significant_ms;  ///< when the evidence became significant,
                            ///< UINT64_MAX: never
  uint64_t no_new_calls_ms; ///< first tick without calls of the new version
                            ///< after the roll-back, UINT64_MAX: never
};

/// Simulates one move.
/// @param settings  settings of RUN_PRODUCT; the other policies ignore them
void run_move (const struct move_scenario *scenario, enum run_policy policy,
               const struct move_settings *settings, uint64_t seed,
               struct run_result *result);

#endif
