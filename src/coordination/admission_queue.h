/// Admission queue in front of this node's own target. Every request to the
/// target passes through it. It handles sustained overload, when there are
/// more requests than slots for seconds at a time.
///
/// A policy decides the order. With ADMISSION_COST, a free slot goes to the
/// request that would cost callers most if it were not started now, see
/// shed_cost.h. The rest of this comment is about ADMISSION_RANK.
///
/// A free slot goes to the lowest rank. Within a rank, requests that can still
/// meet their latency objective go first, earliest objective first; requests
/// that will miss it (late ones) follow, earliest deadline first. Late
/// requests stay queued only if, at the rate at which late ones were started
/// recently, they will finish before their deadline. The others are refused at
/// once, so that the caller can retry instead of waiting for a certain
/// time-out.
///
/// Large responses leave through the VM's link, which may carry fewer of them
/// than the slots produce. Of each kind, only as many run at once as keep the
/// link busy (Little's law: link rate times the time one takes). More would
/// share the link: all of them would be late, and small responses would wait
/// behind them.
#ifndef HAWTHORNSEAM_COORDINATION_ADMISSION_QUEUE_H
#define HAWTHORNSEAM_COORDINATION_ADMISSION_QUEUE_H

#include "coordination/admit.h"
#include "coordination/shed_cost.h"
#include "coordination/target_speed.h"

/// Maximum number of queued tickets; beyond it, requests are refused as full.
#define ADMISSION_QUEUE_MAX 512

/// Number of kinds of work whose service times are tracked separately.
#define ADMISSION_QUEUE_KINDS 16

enum admission_mode
{
  ADMISSION_RANK,
  ADMISSION_COST
};

struct admission_queue_work
{
  uint32_t kind;         ///< hash of the route's properties
  uint32_t rank;         ///< 0 is served first
  uint64_t objective_ms; ///< end of the latency objective, monotonic time
  uint64_t deadline_ms;  ///< time at which the caller gives up, monotonic time
  uint32_t account;      ///< hash of the client account; 0: none
};

struct admission_queue_ticket
{
  enum admit_state state;
  struct admission_queue_work work;
  uint32_t service_us; ///< expected service time
  uint64_t wait_us;    ///< expected time in the queue when it was offered; 0:
                       ///< it was not compared with the queue
  uint64_t started_us;
  uint64_t head_us;   ///< arrival of the response head; 0: not yet
  uint64_t bytes;     ///< size of the response body so far
  bool link_limited;  ///< the VM's link, not the slots, limits its kind
  bool counted;       ///< included in the running tickets of its kind
  size_t queue_index; ///< index in the queue
  bool scored;        ///< `cost` is set and its outcome is counted
  struct shed_cost_item cost;
};

struct admission_queue_ops
{
  /// A queued ticket got a slot.
  void (*run) (void *arg, struct admission_queue_ticket *ticket);
  /// A queued ticket is refused; it never ran and is over.
  void (*refuse) (void *arg, struct admission_queue_ticket *ticket,
                  enum admit_refusal why);
};

/// Exponentially smoothed rate at which late tickets are started.
struct admission_queue_rate
{
  double per_s;
  uint64_t us; ///< time of the last update
};

struct admission_queue_kind
{
  uint32_t kind;
  uint32_t mean_us;        ///< smoothed service time
  uint64_t last_sample_us; ///< time of the last sample
  uint32_t head_mean_us;   ///< smoothed time to the response head
  uint32_t mean_bytes;     ///< smoothed size of the response body
  size_t running;
  struct admission_queue_rate late; ///< used when the link limits the kind
  uint64_t samples; ///< the kind with the fewest is replaced first
};

struct admission_policy;

struct admission_queue
{
  const struct admission_queue_ops *ops;
  const struct admission_policy *policy;
  void *arg;
  size_t slots;
  size_t running; ///< including the abandoned ones
  size_t queued;
  bool draining;
  uint64_t link_bytes_per_s;        ///< rate of the VM's link; 0: no limit
  uint32_t mean_us;                 ///< smoothed service time over all kinds
  uint64_t last_sample_us;          ///< time of the last sample of any kind
  struct admission_queue_rate late; ///< for the kinds that the slots limit
  uint64_t last_none_late_us;       ///< last time without a queued late ticket
  const struct target_speed *speed; ///< of the target; NULL: not reported
  size_t abandoned; ///< slots of requests that the target may still run
  uint64_t abandoned_until_us[ADMIT_SLOTS_MAX];
  struct shed_cost cost; ///< used by ADMISSION_COST
  struct admission_queue_kind kinds[ADMISSION_QUEUE_KINDS];
  struct admission_queue_ticket *waiting[ADMISSION_QUEUE_MAX];
};

/// Initializes with ADMISSION_RANK.
void admission_queue_init (struct admission_queue *queue,
                           const struct admission_queue_ops *ops, void *arg);

/// Changes the policy; queued tickets stay queued and running ones run on.
void admission_queue_set_mode (struct admission_queue *queue,
                               enum admission_mode mode, uint64_t now_us);

enum admission_mode admission_queue_mode (const struct admission_queue *queue);

/// Sets the number of the target's slots and starts queued tickets.
/// @param slots  0: there is no target, and queued tickets are refused
void admission_queue_set_slots (struct admission_queue *queue, size_t slots,
                                uint64_t now_us);

/// @return true if a response of this size takes long enough on the link for
///         the link to limit its kind
bool admission_queue_is_large (const struct admission_queue *queue,
                               uint64_t bytes);

/// Records the arrival of a response's head and the bytes of its body. The
/// link's limit for a kind is computed from them.
void admission_queue_note_head (struct admission_queue_ticket *ticket,
                                uint64_t now_us);
void admission_queue_note_bytes (struct admission_queue_ticket *ticket,
                                 size_t size);

/// @param draining  true: refuses all queued tickets now and all new work
///                  until it is set to false
void admission_queue_set_draining (struct admission_queue *queue,
                                   bool draining);

/// Offers work.
/// @param ticket  state ADMIT_NEW; kept until it is over
/// @param why     set when the result is STATUS_UNAVAILABLE
/// @return STATUS_OK when it runs or is queued, see its state; `run` is called
///         only for tickets that were queued. STATUS_UNAVAILABLE when it is
///         refused and over.
enum status admission_queue_offer (struct admission_queue *queue,
                                   struct admission_queue_ticket *ticket,
                                   const struct admission_queue_work *work,
                                   uint64_t now_us, enum admit_refusal *why);

/// What admission_queue_offer would do.
struct admission_preview
{
  enum admit_state state; ///< ADMIT_RUNNING, ADMIT_QUEUED, or ADMIT_OVER when
                          ///< it would be refused
  enum admit_refusal why; ///< of a refusal
  uint32_t service_us;    ///< expected service time
  uint64_t wait_us;       ///< expected time in the queue
  bool over_share;        ///< beyond the usual share of its account
};

/// Finds out what would happen to work that is offered now; changes nothing.
/// Takes some microseconds and about 100 kB: it offers the work to a copy.
/// @return STATUS_NO_MEMORY without memory for the copy
enum status admission_queue_preview (const struct admission_queue *queue,
                                     const struct admission_queue_work *work,
                                     uint64_t now_us,
                                     struct admission_preview *preview);

/// Ends a running ticket and starts queued ones.
/// @param served  true when the elapsed time is a valid sample of the target's
///                service time
void admission_queue_finish (struct admission_queue *queue,
                             struct admission_queue_ticket *ticket,
                             bool served, uint64_t now_us);

/// Ends a running ticket whose caller went away. With ADMISSION_COST its slot
/// stays taken for the rest of its expected service time: a target may not
/// notice the closed connection, and one that is full resets new ones.
void admission_queue_abandon (struct admission_queue *queue,
                              struct admission_queue_ticket *ticket,
                              uint64_t now_us);

/// Removes a queued ticket whose caller went away.
void admission_queue_cancel (struct admission_queue *queue,
                             struct admission_queue_ticket *ticket);

/// Refuses queued tickets that can no longer finish before their deadline, and
/// late ones that are not expected to get a slot in time.
void admission_queue_expire (struct admission_queue *queue, uint64_t now_us);

/// @return estimated time in the queue of new work of a kind and rank,
///         microseconds
uint64_t admission_queue_wait_us (struct admission_queue *queue, uint32_t kind,
                                  uint32_t rank);

/// Schedules the return of a ticket that was refused for load with
/// ADMISSION_COST.
/// @param unit  random number in [0, 1)
/// @return time after which it should return, microseconds
uint64_t admission_queue_retry_after_us (struct admission_queue *queue,
                                         struct admission_queue_ticket *ticket,
                                         double unit, uint64_t now_us);

#endif
