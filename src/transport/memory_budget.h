/// Memory and descriptors of a process, shared by all of its servers. Each
/// connection of a server has an account to which its buffers are charged. At
/// the limit, the connections whose messages make the least progress are
/// chosen to be shed. Decides without I/O.
///
/// Meant for clients that hold many heads or bodies open: their connections
/// stop just short of the end of a message, so that their progress falls with
/// time, while ordinary requests arrive within milliseconds.
#ifndef HAWTHORNSEAM_TRANSPORT_MEMORY_BUDGET_H
#define HAWTHORNSEAM_TRANSPORT_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/// A connection with at most this charge, bytes, is an ordinary one and may
/// use the reserve. A request of 4 KiB without a body is charged 20 KiB.
#define MEMORY_BUDGET_ORDINARY_BYTES (24u * 1024)

/// Uses of descriptors, by the share of them at which each ends. What the
/// platform and the target need is left when callers have used theirs, and
/// connections to other nodes and to the target are left beside all listeners.
enum memory_budget_use
{
  MEMORY_BUDGET_CALLERS,
  MEMORY_BUDGET_NODES,
  MEMORY_BUDGET_LOCAL, ///< readiness probes, reports, metrics
  MEMORY_BUDGET_POOLS
};

struct memory_budget;

struct memory_account
{
  struct memory_budget *budget;
  size_t bytes;            ///< charged
  uint64_t received_bytes; ///< of all its messages, at the last measurement
  uint64_t progress;       ///< bytes received lately
  bool receiving;          ///< a part of a message is buffered
  void *owner;
  TAILQ_ENTRY (memory_account) link;
};

struct memory_budget
{
  size_t limit;   ///< bytes of all accounts
  size_t reserve; ///< bytes of the limit for ordinary connections
  size_t used;    ///< bytes charged
  size_t descriptors_max;
  size_t descriptors;
  size_t paused_uses; ///< listeners that wait for descriptors
  /// Drops what an account's owner has buffered of an incomplete message and
  /// updates the account; must end its `receiving`.
  void (*shed) (void *owner);
  TAILQ_HEAD (memory_account_list, memory_account) accounts;
};

/// @param memory_mb    limit of the process's memory, MiB
/// @param descriptors  limit of the process's open files
void memory_budget_init (struct memory_budget *budget, size_t memory_mb,
                         size_t descriptors, void (*shed) (void *owner));

/// Opens an account without charges.
void memory_account_open (struct memory_account *account,
                          struct memory_budget *budget, void *owner);
void memory_account_close (struct memory_account *account);

/// Replaces what is charged to an account.
void memory_account_charge (struct memory_account *account, size_t bytes,
                            bool receiving);

/// Measures progress; called for each account at the same interval.
/// @param received_bytes  since the connection was accepted
void memory_account_measure (struct memory_account *account,
                             uint64_t received_bytes);

/// @return true when the account may not grow: the limit of its kind is
///         reached
bool memory_account_is_over (const struct memory_account *account);

/// Sheds accounts while one that has just grown is over the limit, those with
/// the least progress first, among equals the one with the largest charge.
/// @return false when there was none left to shed and it is still over
bool memory_account_settle (struct memory_account *account);

/// @return true when a connection is to be shed for its descriptor: a listener
///         waits for one, and this connection's message has nearly stopped
bool memory_account_blocks_others (const struct memory_account *account);

/// @return true when a descriptor may be opened for this use
bool memory_budget_has_descriptor (const struct memory_budget *budget,
                                   enum memory_budget_use use);

#endif
