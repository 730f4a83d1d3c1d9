/// Queue in front of the own target, which is the only way to it. Answers the
/// load of the heaviest days: more requests than slots for seconds on end.
///
/// A free slot goes to the most urgent rank; within a rank to the request
/// whose latency objective ends first among those that can still meet theirs,
/// and only then to those that can no longer. Late ones are kept only as far
/// as the slots that late ones got lately will serve them before their
/// deadline: the others are refused at once and may come back, instead of
/// waiting for an end that is known.
///
/// Large answers leave through the VM's link, which may carry fewer of them
/// than the slots produce. Only as many of a kind run at once as keep the link
/// busy (its rate times the time one takes, Little's law). More would share
/// the link: all of them would be late, and small answers would wait behind
/// them.
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
  uint64_t head_us;  ///< when the answer's head came; 0: not yet
  uint64_t bytes;    ///< of the answer's body so far
  bool link_limited; ///< the VM's link, not the slots, limits its kind
  bool counted;      ///< among the running tickets of its kind
  size_t place;      ///< in the queue
};

struct gate_ops
{
  void (*run) (void *arg, struct gate_ticket *ticket);
  void (*refuse) (void *arg, struct gate_ticket *ticket,
                  enum admit_refusal why);
};

/// Smoothed rate at which late tickets are started.
struct gate_rate
{
  double per_s;
  uint64_t us; ///< when it was last brought up to date
};

struct gate_kind
{
  uint32_t kind;
  uint32_t mean_us;      ///< smoothed time in the target
  uint64_t learnt_us;    ///< when a time was learnt last
  uint32_t head_mean_us; ///< smoothed time to the answer's head
  uint32_t mean_bytes;   ///< smoothed size of the answer
  size_t running;
  struct gate_rate late; ///< of a kind that the link limits
  uint64_t used;         ///< for replacement of the least used
};

struct gate
{
  const struct gate_ops *ops;
  void *arg;
  size_t slots;
  size_t running;
  size_t queued;
  bool draining;
  uint64_t link_bytes_per_s; ///< of the VM's link; 0: not a limit
  uint32_t mean_us;          ///< smoothed time in the target over all kinds
  struct gate_rate late;     ///< of the kinds that the slots limit
  uint64_t late_free_us;     ///< when no late ticket waited last
  struct gate_kind kinds[GATE_KINDS];
  struct gate_ticket *queue[GATE_QUEUE_MAX];
};

void gate_init (struct gate *gate, const struct gate_ops *ops, void *arg);

/// Sets the target's slots; 0: there is no target and queued work is refused.
void gate_set_slots (struct gate *gate, size_t slots, uint64_t now_us);

/// @return true for an answer that takes so long on the link that the link may
///         limit its kind
bool gate_is_large (const struct gate *gate, uint64_t bytes);

/// Notes the start and the size of an answer, for the limit by the link.
void gate_note_head (struct gate_ticket *ticket, uint64_t now_us);
void gate_note_bytes (struct gate_ticket *ticket, size_t size);

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

/// @return estimated wait of new work of a kind and rank, microseconds
uint64_t gate_wait_us (struct gate *gate, uint32_t kind, uint32_t rank);

#endif
