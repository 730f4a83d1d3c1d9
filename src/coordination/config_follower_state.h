/// The state of a follower, so that its owner can allocate it. Only the files
/// of this module access the members.
#ifndef HAWTHORNSEAM_COORDINATION_CONFIG_FOLLOWER_STATE_H
#define HAWTHORNSEAM_COORDINATION_CONFIG_FOLLOWER_STATE_H

#include "coordination/config_follower.h"

/// A verified version that comes into force when the floor is recorded.
struct config_follower_waiting
{
  struct config content;
  void *arena; ///< talloc context of the record
  struct config_record record;
  bool has_record;
};

struct config_follower_floor
{
  uint64_t slot_id; ///< 0: free
  uint64_t version;
};

struct config_follower
{
  const struct config_follower_ops *ops;
  void *arg;
  struct config current;
  void *history_arenas[CONFIG_FOLLOWER_HISTORY]; ///< NULL: no record
  struct config_record history[CONFIG_FOLLOWER_HISTORY];
  struct config_follower_waiting waiting[CONFIG_FOLLOWER_WAITING_MAX];
  unsigned waiting_count;
  uint64_t own_floor; ///< highest floor that another node has recorded for
                      ///< this slot
  struct config_follower_floor *floors; ///< hash table of other slots' floors,
                                        ///< open addressing
  uint32_t floor_count, floor_size;
  bool ready;
  bool bound_known;
  uint64_t bound; ///< version that this slot may have had in force before; the
                  ///< node is ready from it on
  uint64_t repliers[CONFIG_FOLLOWER_REPLIES_MIN]; ///< slot ids of ready peers
                                                  ///< that replied
  unsigned reply_count;
  uint64_t ready_replies_bound; ///< highest version in replies of ready peers
  uint64_t all_replies_bound;   ///< highest version in all replies
  uint64_t asked_ms; ///< time when peers were first asked; 0: not yet
};

#endif
