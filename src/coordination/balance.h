/// Choice of a target among the members that run one version of a service:
/// two random choices, the local zone first, slow start, and a bounded share
/// of ejected targets.
#ifndef HAWTHORNSEAM_COORDINATION_BALANCE_H
#define HAWTHORNSEAM_COORDINATION_BALANCE_H

#include "base/rng.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BALANCE_NONE SIZE_MAX

/// A new target reaches its full share after this time.
#define BALANCE_SLOW_START_MS 10000

/// Load of the local zone above which other zones are used as well, percent.
#define BALANCE_SPILL_PERCENT 80

/// Share of a service's targets that may be ejected, percent.
#define BALANCE_EJECT_PERCENT 30

struct balance_target
{
  uint32_t member; ///< handle in the member table
  uint64_t slot_id;
  uint16_t slots;
  bool local;   ///< in this node's availability zone
  bool present; ///< offered in the update that runs
  uint32_t in_flight;
  uint32_t latency_us;  ///< smoothed; 0 before the first answer
  uint64_t answered_ms; ///< last answer
  uint64_t failed_ms;   ///< last failure
  uint32_t reported;    ///< slots in use, as the target's node said
  uint64_t reported_ms;
  uint64_t since_ms; ///< first seen; slow start counts from here
  uint64_t ejected_until_ms;
  unsigned failures;  ///< since the last answer
  unsigned ejections; ///< since the last good time
};

struct balance
{
  struct balance_target *items;
  size_t count;
  size_t capacity;
  size_t cursor; ///< where the next offered target is expected
  bool started;  ///< the first update is over
};

void balance_init (struct balance *balance);
void balance_finish (struct balance *balance);

/// Starts an update of the whole list. Targets that are not offered before
/// balance_end_update are removed. Offering them in the same order each time
/// keeps an update linear.
void balance_begin_update (struct balance *balance);
enum status balance_offer (struct balance *balance, uint32_t member,
                           uint64_t slot_id, uint16_t slots, bool local,
                           uint64_t now_ms);
void balance_end_update (struct balance *balance);

/// Chooses a target.
/// @param avoid  slot id of a target that was tried, or 0; it is used again
///               only when there is no other
/// @return index, valid until the next update, or BALANCE_NONE
size_t balance_choose (const struct balance *balance, struct rng *rng,
                       uint64_t avoid, uint64_t now_ms);

/// @return the one target for a crash suspect, by rendezvous hash, or
/// BALANCE_NONE
size_t balance_choose_single (const struct balance *balance,
                              uint64_t fingerprint);

/// @return index of a target or BALANCE_NONE
size_t balance_find (const struct balance *balance, uint64_t slot_id);

/// Counts a call that is sent to a target.
void balance_begin (struct balance *balance, size_t index);

enum balance_result
{
  BALANCE_ANSWERED, ///< the latency counts
  BALANCE_SHED,     ///< refused: healthy, but loaded
  BALANCE_LEAVING,  ///< refused: drains or is gone
  BALANCE_FAILED,   ///< no connection, reset or silent
  BALANCE_CANCELLED ///< says nothing about the target
};

/// Counts its end. Does nothing for a target that is gone.
/// @param latency_us  from the choice to the answer's headers
void balance_end (struct balance *balance, uint64_t slot_id,
                  enum balance_result result, uint32_t latency_us,
                  uint64_t now_ms);

/// Keeps the load that came with an answer.
void balance_report (struct balance *balance, uint64_t slot_id,
                     uint32_t in_use, uint32_t slots, uint64_t now_ms);

/// @return true while a target is in slow start
bool balance_is_cold (const struct balance *balance, size_t index,
                      uint64_t now_ms);

#endif
