/// The table of scenarios that the move policy is measured with.
#ifndef HAWTHORNSEAM_BENCH_MOVE_SCENARIOS_H
#define HAWTHORNSEAM_BENCH_MOVE_SCENARIOS_H

#include "model/move_model.h"

struct move_scenario
{
  const char *name;
  bool bad; ///< the new version must be taken back, else done
  uint32_t duration_s;
  struct model_setup setup;
  uint32_t store_out_s; ///< start and end of a store outage, 0: none
  uint32_t store_back_s;
  uint32_t paused_s; ///< start and end of a pause of the driver, 0: none
  uint32_t resumed_s;
  bool lost_answers;      ///< every second write answers late
  int32_t clock_error_ms; ///< of the driver's wall clock
  bool misleading_health; ///< the health endpoint says that all is well
  bool shows_late;        ///< the fault cannot show at a share of 5%
  bool twice;             ///< a second move with the same fault follows
};

extern const struct move_scenario move_scenarios[];
extern const unsigned move_scenario_count;

#endif
