/// The state of a follow, for the memory of its owner. Only follow*.c read the
/// fields.
#ifndef HAWTHORNSEAM_COORDINATION_FOLLOW_STATE_H
#define HAWTHORNSEAM_COORDINATION_FOLLOW_STATE_H

#include "coordination/follow.h"

/// A version that is checked and about to come into force.
struct follow_waiting
{
  struct config content;
  void *arena; ///< of the record
  struct config_record record;
  bool has_record;
};

struct follow_floor
{
  uint64_t slot_id; ///< 0: free
  uint64_t version;
};

struct follow
{
  const struct follow_ops *ops;
  void *arg;
  struct config current;
  void *history_arenas[FOLLOW_HISTORY]; ///< NULL: no record
  struct config_record history[FOLLOW_HISTORY];
  struct follow_waiting waiting[FOLLOW_WAITING_MAX];
  unsigned waiting_count;
  uint64_t own_floor; ///< highest version that another node recorded for us
  struct follow_floor *floors; ///< of other slots, open addressing
  uint32_t floor_count, floor_size;
  bool ready;
  bool bound_known;
  uint64_t bound; ///< the slot may have held this version before
  uint64_t answers[FOLLOW_ANSWERS]; ///< slots of ready peers that answered
  unsigned answer_count;
  uint64_t answers_bound; ///< highest version among the answers
  uint64_t any_bound;     ///< as before, with peers that are not ready
  uint64_t asked_ms;      ///< first question to peers; 0: none
};

#endif
