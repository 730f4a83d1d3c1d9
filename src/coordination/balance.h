/// Load balancing over the members that run one version of a service: power of
/// two random choices, preference of the local zone, slow start, and ejection
/// of failing targets up to a bounded share.
#ifndef HAWTHORNSEAM_COORDINATION_BALANCE_H
#define HAWTHORNSEAM_COORDINATION_BALANCE_H

#include "base/rng.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Index that stands for no target.
#define BALANCE_NONE SIZE_MAX

/// Time after which a new target gets its full share of the calls.
#define BALANCE_SLOW_START_MS 10000

/// Slots in use in the local zone above which other zones are used as well,
/// percent.
#define BALANCE_SPILL_PERCENT 80

/// Maximum share of ejected targets, percent.
#define BALANCE_EJECT_PERCENT 30

struct balance_target
{
  uint32_t member; ///< handle in the member table
  uint64_t slot_id;
  uint16_t slots;
  bool local;           ///< in this node's availability zone
  bool present;         ///< offered in the current update
  uint32_t in_flight;   ///< calls from this node without a response yet
  uint32_t latency_us;  ///< smoothed; 0 before the first response
  uint64_t answered_ms; ///< last complete response
  uint64_t failed_ms;   ///< last failure
  uint32_t reported;    ///< slots in use, reported by the target's node
  uint64_t reported_ms;
  uint64_t since_ms; ///< when slow start began
  uint64_t ejected_until_ms;
  unsigned failures;  ///< failures since the last response
  unsigned ejections; ///< ejections since the last complete response
};

struct balance
{
  struct balance_target *items;
  size_t count;
  size_t capacity;
  size_t cursor; ///< index at which the next offered target is expected
  bool started;  ///< the first update has ended
};

void balance_init (struct balance *balance);
void balance_finish (struct balance *balance);

/// Starts an update of the whole list. Targets that are not offered before
/// balance_end_update are removed. An update takes linear time if the targets
/// are offered in the same order each time.
void balance_begin_update (struct balance *balance);
/// Adds a target or updates it.
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status balance_offer (struct balance *balance, uint32_t member,
                           uint64_t slot_id, uint16_t slots, bool local,
                           uint64_t now_ms);
void balance_end_update (struct balance *balance);

/// Chooses a target.
/// @param avoid  slot id of a target that was tried, or 0; it is chosen again
///               only when there is no other
/// @return index, valid until the next update, or BALANCE_NONE
size_t balance_choose (const struct balance *balance, struct rng *rng,
                       uint64_t avoid, uint64_t now_ms);

/// Chooses the one target that may run a request that is suspected of crashing
/// targets. All nodes choose the same one, by rendezvous hashing.
/// @return index, or BALANCE_NONE
size_t balance_choose_single (const struct balance *balance,
                              uint64_t fingerprint);

/// @return index of a target or BALANCE_NONE
size_t balance_find (const struct balance *balance, uint64_t slot_id);

/// Counts a call that is sent to a target as in flight.
void balance_begin (struct balance *balance, size_t index);

enum balance_result
{
  BALANCE_ANSWERED, ///< complete response; its latency is a sample
  BALANCE_SHED,     ///< refused because of load; the target is healthy
  BALANCE_LEAVING,  ///< refused because the target drains or is gone
  BALANCE_FAILED,   ///< no connection, reset or no response
  BALANCE_CANCELLED ///< cancelled; says nothing about the target
};

/// Ends a call. Does nothing for a target that was removed.
/// @param latency_us  time from the choice to the response's headers
void balance_end (struct balance *balance, uint64_t slot_id,
                  enum balance_result result, uint32_t latency_us,
                  uint64_t now_ms);

/// Stores the load that a node reported with a response.
/// @param slots  new number of slots; 0: unchanged
void balance_report (struct balance *balance, uint64_t slot_id,
                     uint32_t in_use, uint32_t slots, uint64_t now_ms);

/// @return true while a target is in slow start
bool balance_is_cold (const struct balance *balance, size_t index,
                      uint64_t now_ms);

#endif
