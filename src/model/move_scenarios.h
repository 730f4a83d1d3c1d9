/// Scenarios in which bench/move_bench.c measures the policies of moves.
#ifndef HAWTHORNSEAM_MODEL_MOVE_SCENARIOS_H
#define HAWTHORNSEAM_MODEL_MOVE_SCENARIOS_H

#include "model/move_model.h"

struct move_scenario
{
  const char *name;
  bool bad; ///< true: the move must be rolled back; false: completed
  uint32_t duration_s; ///< from the start of the move to its deadline
  struct model_setup setup;
  uint32_t outage_start_s; ///< start of a store outage, 0: none
  uint32_t outage_end_s;   ///< end of the outage
  uint32_t pause_start_s;  ///< start of a pause of the driver, 0: none
  uint32_t pause_end_s;    ///< end of the pause
  bool lost_responses;     ///< the result of every second write arrives late
  int32_t clock_error_ms;  ///< offset of the driver's wall clock
  bool misleading_health;  ///< the health endpoint reports no fault
  bool shows_late;         ///< the fault cannot show at a share of 5%
  bool twice;              ///< followed by a second move with the same fault
};

extern const struct move_scenario move_scenarios[];
extern const unsigned move_scenario_count;

#endif
