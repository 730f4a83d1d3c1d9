/// Sends large responses in turn, at most TRANSFER_SENDING_MAX at a time, to
/// handle a saturated VM link. Large responses that share the link all finish
/// late, and small responses wait behind the bytes of all of them. Sent in
/// turn, the first ones finish early and small responses wait behind few
/// bytes. Those whose sender stops go first, earliest due first.
#ifndef HAWTHORNSEAM_COORDINATION_TRANSFER_H
#define HAWTHORNSEAM_COORDINATION_TRANSFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/// Number of responses that are sent at the same time. The second one keeps
/// the link busy while the first one ends.
#define TRANSFER_SENDING_MAX 2

/// Time after which a transfer is no longer counted, so that others can start:
/// its reader may be slow or disconnected.
#define TRANSFER_SENDING_MS_MAX 500

enum transfer_state
{
  TRANSFER_NONE,
  TRANSFER_WAITING,
  TRANSFER_SENDING, ///< counted in `sending`
  TRANSFER_OVERDUE  ///< continues, but is no longer counted
};

struct transfer
{
  enum transfer_state state;
  uint64_t due_ms;   ///< when a stopping node needs the whole response;
                     ///< UINT64_MAX: no node stops. Set by the caller
  uint64_t since_ms; ///< start of sending
  TAILQ_ENTRY (transfer) link;
};

struct transfer_ops
{
  /// A waiting transfer may be sent now.
  void (*start) (void *arg, struct transfer *transfer);
};

struct transfer_scheduler
{
  const struct transfer_ops *ops;
  void *arg;
  size_t sending;
  TAILQ_HEAD (transfer_queue, transfer) transfers;
};

void transfer_scheduler_init (struct transfer_scheduler *scheduler,
                              const struct transfer_ops *ops, void *arg);

/// @return true when the transfer may be sent now; otherwise it waits until
///         `start` is called
bool transfer_begin (struct transfer_scheduler *scheduler,
                     struct transfer *transfer, uint64_t now_ms);

/// Ends a transfer in any state; does nothing if it has not begun.
void transfer_end (struct transfer_scheduler *scheduler,
                   struct transfer *transfer, uint64_t now_ms);

/// Stops counting transfers that take too long and starts waiting ones.
void transfer_tick (struct transfer_scheduler *scheduler, uint64_t now_ms);

#endif
