/// Queue in front of the own target, which is the only way to it. Answers the
/// load of the heaviest days: more requests than slots for seconds on end.
///
/// A free slot goes to the most urgent rank; within a rank to the request
/// whose latency objective ends first among those that can still meet theirs,
/// and only then to those that can no longer. Late ones are kept only as far
/// as the slots that late ones got lately will serve them before their
/// deadline: the others are refused at once and may come back, instead of
/// waiting for an end that is known.
#ifndef HAWTHORNSEAM_COORDINATION_GATE_H
#define HAWTHORNSEAM_COORDINATION_GATE_H

#include "coordination/admit.h"

/// Tickets that may wait; more are refused as full.
#define GATE_QUEUE_MAX 512

/// Kinds of work whose service times are told apart.
#define GATE_KINDS 16

struct gate_work
{
  uint32_t kind;         ///< hash of the route's properties
  uint32_t rank;         ///< 0 is served first
  uint64_t objective_ms; ///< when full value ends
  uint64_t deadline_ms;  ///< when nobody waits any more
};

struct gate_ticket
{
  enum admit_state state;
  struct gate_work work;
  uint32_t service_us; ///< expected time in the target
  uint64_t started_us;
  size_t place; ///< in the queue
};

struct gate_ops
{
  void (*run) (void *arg, struct gate_ticket *ticket);
  void (*refuse) (void *arg, struct gate_ticket *ticket,
                  enum admit_refusal why);
};

struct gate_kind
{
  uint32_t kind;
  uint32_t mean_us; ///< smoothed time in the target
  uint64_t used;    ///< for replacement of the least used
};

struct gate
{
  const struct gate_ops *ops;
  void *arg;
  size_t slots;
  size_t running;
  size_t queued;
  bool draining;
  uint32_t mean_us;      ///< smoothed time in the target over all kinds
  double late_per_s;     ///< smoothed rate at which late tickets are started
  uint64_t late_us;      ///< when that rate was last brought up to date
  uint64_t late_free_us; ///< when no late ticket waited last
  struct gate_kind kinds[GATE_KINDS];
  struct gate_ticket *queue[GATE_QUEUE_MAX];
};

void gate_init (struct gate *gate, const struct gate_ops *ops, void *arg);

/// Sets the target's slots; 0: there is no target and queued work is refused.
void gate_set_slots (struct gate *gate, size_t slots, uint64_t now_us);

/// Refuses what waits and all new work while true.
void gate_set_draining (struct gate *gate, bool draining);

/// Offers work. STATUS_OK: it runs or waits, see the ticket's state.
/// STATUS_UNAVAILABLE: refused for `why`; the ticket is over.
enum status gate_offer (struct gate *gate, struct gate_ticket *ticket,
                        const struct gate_work *work, uint64_t now_us,
                        enum admit_refusal *why);

/// Ends a running ticket and starts waiting ones.
/// @param served  true when the time it took is that of the target's work
void gate_finish (struct gate *gate, struct gate_ticket *ticket, bool served,
                  uint64_t now_us);

/// Takes back a waiting ticket.
void gate_cancel (struct gate *gate, struct gate_ticket *ticket);

/// Refuses waiting tickets that cannot be done in time any more.
void gate_expire (struct gate *gate, uint64_t now_us);

/// @return estimated wait of new work of a rank, microseconds
uint64_t gate_wait_us (const struct gate *gate, uint32_t rank);

#endif
