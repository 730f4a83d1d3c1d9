/// Admission of calls to the own target: never more at once than its slots, a
/// bounded queue ordered by deadline, shedding of what cannot be done in time,
/// and drain. A ticket lives in the caller's memory until it is over.
#ifndef HAWTHORNSEAM_COORDINATION_ADMIT_H
#define HAWTHORNSEAM_COORDINATION_ADMIT_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Most slots of a target; bounds the memory of the queue.
#define ADMIT_SLOTS_MAX 1024

enum admit_state
{
  ADMIT_NEW,
  ADMIT_QUEUED,
  ADMIT_RUNNING,
  ADMIT_OVER
};

enum admit_refusal
{
  ADMIT_REFUSED_ABSENT,   ///< no target
  ADMIT_REFUSED_DRAINING, ///< the target leaves
  ADMIT_REFUSED_FULL,     ///< slots and queue are taken
  ADMIT_REFUSED_LATE      ///< the deadline cannot be met
};

struct admit_ticket
{
  enum admit_state state;
  uint64_t deadline_ms;
  uint64_t started_ms;
  size_t place; ///< in the queue
};

struct admit_ops
{
  /// A queued ticket got a slot.
  void (*run) (void *arg, struct admit_ticket *ticket);
  /// A queued ticket is refused; it never ran and is over.
  void (*refuse) (void *arg, struct admit_ticket *ticket,
                  enum admit_refusal why);
};

struct admit
{
  const struct admit_ops *ops;
  void *arg;
  size_t slots; ///< 0 while there is no target
  size_t running;
  size_t queued;
  uint64_t service_us; ///< smoothed service time
  bool draining;
  struct admit_ticket *queue[2 * ADMIT_SLOTS_MAX]; ///< heap, earliest first
};

/// Starts without a target.
void admit_init (struct admit *admit, const struct admit_ops *ops, void *arg);

/// Sets the slots that the target announced. Fewer slots than tickets that run
/// stop admission until enough have finished. 0: the target is gone; queued
/// tickets are refused, running ones go on.
void admit_set_slots (struct admit *admit, size_t slots, uint64_t now_ms);

/// Offers a ticket.
/// @param ticket  state ADMIT_NEW; kept until it is over
/// @param why     set when the result is STATUS_UNAVAILABLE
/// @return STATUS_OK when it runs or waits, see its state; STATUS_UNAVAILABLE
///         when it is refused and over
enum status admit_offer (struct admit *admit, struct admit_ticket *ticket,
                         uint64_t deadline_ms, uint64_t now_ms,
                         enum admit_refusal *why);

/// Ends a running ticket and starts the next that can still be done in time.
/// @param served  false when the time says nothing about the target
void admit_finish (struct admit *admit, struct admit_ticket *ticket,
                   bool served, uint64_t now_ms);

/// Takes back a queued ticket whose caller went away.
void admit_cancel (struct admit *admit, struct admit_ticket *ticket);

/// Refuses everything new and everything queued from now on.
void admit_drain (struct admit *admit);

/// Admits again after a drained target was replaced by a new process.
void admit_undrain (struct admit *admit);

/// @return when the next queued ticket becomes late, UINT64_MAX without one
uint64_t admit_next_expiry (const struct admit *admit);

/// Refuses queued tickets that can no longer be done in time.
void admit_expire (struct admit *admit, uint64_t now_ms);

#endif
