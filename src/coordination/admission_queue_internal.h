/// Parts of the admission queue that its policies use.
#ifndef HAWTHORNSEAM_COORDINATION_ADMISSION_QUEUE_INTERNAL_H
#define HAWTHORNSEAM_COORDINATION_ADMISSION_QUEUE_INTERNAL_H

#include "coordination/admission_queue.h"

/// Time that a response or refusal needs to reach the caller's node.
#define ADMISSION_RESPONSE_MARGIN_US 15000

/// Decides about queued tickets; admission_queue.c keeps the slots, the link's
/// limits and the service times.
struct admission_policy
{
  /// A ticket is offered, or was queued when the policy came into force.
  void (*offered) (struct admission_queue *queue,
                   struct admission_queue_ticket *ticket, uint64_t now_us);
  /// A ticket was refused or left the queue.
  void (*dropped) (struct admission_queue *queue,
                   struct admission_queue_ticket *ticket);
  /// A running ticket was served.
  void (*served) (struct admission_queue *queue,
                  struct admission_queue_ticket *ticket, uint64_t now_us);
  /// @return the queued ticket to start next, or NULL when all of them are
  ///         kinds at the link's limit; may refuse queued tickets
  struct admission_queue_ticket *(*next) (struct admission_queue *queue,
                                          uint64_t now_us);
  /// @return true when a ticket must not take the slot that is free
  bool (*is_held_back) (const struct admission_queue *queue,
                        const struct admission_queue_ticket *ticket);
  /// A ticket is about to start.
  void (*starting) (struct admission_queue *queue,
                    struct admission_queue_ticket *ticket, uint64_t now_us);
  /// @return true when a queued ticket is ahead of an offered one
  bool (*precedes) (const struct admission_queue *queue,
                    const struct admission_queue_ticket *queued,
                    const struct admission_queue_ticket *offered,
                    uint64_t now_us);
  /// @return estimated time until an offered ticket gets a slot, microseconds
  uint64_t (*wait_us) (struct admission_queue *queue,
                       struct admission_queue_ticket *ticket, uint64_t now_us);
  /// Makes room in a full queue for a ticket, if it may displace another.
  /// @return true when there is room
  bool (*displace) (struct admission_queue *queue,
                    struct admission_queue_ticket *ticket, uint64_t now_us);
  /// Refuses the queued tickets that are not expected to end in time.
  void (*expire) (struct admission_queue *queue, uint64_t now_us);
};

/// By the cost to callers, see shed_cost.h.
extern const struct admission_policy admission_cost_policy;

/// By rank, see admission_queue.h.
extern const struct admission_policy admission_rank_policy;

/// @return the entry of a kind of work, or NULL if it has no samples
struct admission_queue_kind *
admission_queue_find_kind (struct admission_queue *queue, uint32_t kind);

/// @return time that the mean response of a kind takes on the link,
///         microseconds; 0 when the link is no limit or the kind is unknown
uint64_t
admission_queue_kind_link_us (const struct admission_queue *queue,
                              const struct admission_queue_kind *kind);

/// @return estimated time until work with `ahead` tickets before it gets a
///         slot, microseconds
uint64_t admission_queue_slot_wait_us (const struct admission_queue *queue,
                                       size_t ahead);

bool
admission_queue_at_link_limit (struct admission_queue *queue,
                               const struct admission_queue_ticket *ticket);

/// @return time that a response of the ticket's kind takes on the link,
///         microseconds; 0 when the link is no limit
uint64_t admission_queue_link_us (struct admission_queue *queue,
                                  const struct admission_queue_ticket *ticket);

bool
admission_queue_finishes_before (const struct admission_queue_ticket *ticket,
                                 uint64_t limit_ms, uint64_t now_us);

void admission_queue_refuse_queued (struct admission_queue *queue,
                                    struct admission_queue_ticket *ticket,
                                    enum admit_refusal why);

#endif
