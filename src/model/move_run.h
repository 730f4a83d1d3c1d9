/// Runs one move of one scenario under a policy in virtual time.
#ifndef HAWTHORNSEAM_BENCH_MOVE_RUN_H
#define HAWTHORNSEAM_BENCH_MOVE_RUN_H

#include "coordination/move.h"
#include "model/move_scenarios.h"

enum run_policy
{
  RUN_PRODUCT,  ///< coordination/move with trips
  RUN_SCHEDULE, ///< fixed schedule, taken back above an error rate
  RUN_SWITCH,   ///< all at once, taken back when the health endpoint fails
  RUN_POLICIES
};

enum run_end
{
  RUN_DONE,
  RUN_TAKEN_BACK, ///< by evidence
  RUN_GIVEN_UP,   ///< not done by the stated time
  RUN_BETWEEN     ///< neither at the stated time
};

struct run_result
{
  enum run_end end;
  double share_before;   ///< calls of the new version, part of the service's,
                         ///< until the evidence is significant
  double share_at_fault; ///< share when the fault was first active
  double harmed;         ///< calls that met the fault, part of the service's
  uint64_t fault_ms;     ///< first active, UINT64_MAX: never
  uint64_t significant_ms; ///< evidence significant, UINT64_MAX: never
  uint64_t none_ms; ///< no call of the new version from then, UINT64_MAX:
                    ///< never
};

/// @param settings  of the product's policy
void run_move (const struct move_scenario *scenario, enum run_policy policy,
               const struct move_settings *settings, uint64_t seed,
               struct run_result *result);

#endif
