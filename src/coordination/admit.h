/// Admission of calls to this node's own target: at most as many running calls
/// as the target has slots, a bounded queue ordered by deadline, refusal of
/// calls that cannot finish in time, and drain. The caller owns the memory of
/// a ticket and keeps it until the ticket is over.
#ifndef HAWTHORNSEAM_COORDINATION_ADMIT_H
#define HAWTHORNSEAM_COORDINATION_ADMIT_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Maximum number of slots of a target; bounds the memory of the queue.
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
  ADMIT_REFUSED_DRAINING, ///< the target is draining
  ADMIT_REFUSED_FULL,     ///< all slots are in use and the queue is full
  ADMIT_REFUSED_LATE      ///< the deadline cannot be met
};

struct admit_ticket
{
  enum admit_state state;
  uint64_t deadline_ms;
  uint64_t started_ms;
  size_t queue_index; ///< index in the queue
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
  uint64_t service_us; ///< exponentially smoothed service time
  bool draining;
  /// Heap, earliest deadline first.
  struct admit_ticket *queue[2 * ADMIT_SLOTS_MAX];
};

/// Initializes without a target: everything is refused until the first
/// admit_set_slots.
void admit_init (struct admit *admit, const struct admit_ops *ops, void *arg);

/// Sets the number of slots that the target announced. Tickets that already
/// run continue; no other is started until fewer run than there are slots.
/// @param slots  0: the target is gone and queued tickets are refused
void admit_set_slots (struct admit *admit, size_t slots, uint64_t now_ms);

/// Offers a ticket.
/// @param ticket  state ADMIT_NEW; kept until it is over
/// @param why     set when the result is STATUS_UNAVAILABLE
/// @return STATUS_OK when it runs or is queued, see its state;
///         STATUS_UNAVAILABLE when it is refused and over
enum status admit_offer (struct admit *admit, struct admit_ticket *ticket,
                         uint64_t deadline_ms, uint64_t now_ms,
                         enum admit_refusal *why);

/// Ends a running ticket and starts queued ones that can still finish in time.
/// @param served  true when the elapsed time is a valid sample of the target's
///                service time
void admit_finish (struct admit *admit, struct admit_ticket *ticket,
                   bool served, uint64_t now_ms);

/// Removes a queued ticket whose caller went away.
void admit_cancel (struct admit *admit, struct admit_ticket *ticket);

/// Refuses all queued tickets now and all new ones from now on.
void admit_drain (struct admit *admit);

/// Resumes admission after a new process replaced a drained target.
void admit_undrain (struct admit *admit);

/// @return time at which the next queued ticket becomes late, milliseconds;
///         UINT64_MAX when none is queued
uint64_t admit_next_expiry (const struct admit *admit);

/// Refuses queued tickets that can no longer finish before their deadline.
void admit_expire (struct admit *admit, uint64_t now_ms);

#endif
