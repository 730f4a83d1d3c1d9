/// Turns of large answers on the VM's link. Answers the load of days on which
/// the link is full: answers that share it end late all together, and small
/// answers wait behind the bytes of all of them. With turns, the first ones
/// end early and small answers wait behind few bytes.
#ifndef HAWTHORNSEAM_COORDINATION_TRANSFER_H
#define HAWTHORNSEAM_COORDINATION_TRANSFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/// Answers that are sent at the same time: the second keeps the link busy
/// while the first one ends.
#define TRANSFER_TURNS 2

/// A turn that takes longer does not keep others waiting: its reader may be
/// slow or cut off.
#define TRANSFER_TURN_MS 500

enum transfer_state
{
  TRANSFER_NONE,
  TRANSFER_WAITING,
  TRANSFER_SENDING, ///< has a turn
  TRANSFER_OVERDUE  ///< goes on without counting
};

struct transfer
{
  enum transfer_state state;
  uint64_t since_ms; ///< of the turn
  TAILQ_ENTRY (transfer) link;
};

struct transfer_ops
{
  /// The transfer's turn has come.
  void (*go) (void *arg, struct transfer *transfer);
};

struct transfer_line
{
  const struct transfer_ops *ops;
  void *arg;
  size_t sending;
  TAILQ_HEAD (transfer_queue, transfer) transfers;
};

void transfer_line_init (struct transfer_line *line,
                         const struct transfer_ops *ops, void *arg);

/// @return true when the transfer may be sent now; otherwise `go` follows
bool transfer_begin (struct transfer_line *line, struct transfer *transfer,
                     uint64_t now_ms);

/// Ends a transfer in any state, or does nothing when it never began.
void transfer_end (struct transfer_line *line, struct transfer *transfer,
                   uint64_t now_ms);

/// Lets waiting transfers go on beside turns that take too long.
void transfer_tick (struct transfer_line *line, uint64_t now_ms);

#endif
