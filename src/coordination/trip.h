/// Trips: local rollbacks of moves at this node, like the trip of a circuit
/// breaker that is never reset. A trip sets the share of the new version to 0
/// at once, without a write to the store. It lasts as long as the process. It
/// is broadcast, so that the other nodes trip the move too, and again until
/// the configuration records the rollback.
#ifndef HAWTHORNSEAM_COORDINATION_TRIP_H
#define HAWTHORNSEAM_COORDINATION_TRIP_H

#include "coordination/seqtest.h"
#include "state/config.h"

/// One entry per declared move, and as many for moves that the configuration
/// in force at this node does not contain yet.
#define TRIP_MAX (2 * CONFIG_MOVES_MAX)
#define TRIP_REASON_MAX 159

struct trip
{
  char move[CONFIG_NAME_MAX + 1];
  char reason[TRIP_REASON_MAX + 1];
  bool recorded;       ///< the move has ended in the configuration in force
  bool repeats;        ///< this node broadcasts the trip until it is recorded
  uint64_t due_ms;     ///< time of the next broadcast
  uint32_t broadcasts; ///< number of broadcasts sent
};

struct trip_table
{
  struct trip *items;
  uint32_t count;
  uint32_t capacity;
};

void trip_table_init (struct trip_table *table);
void trip_table_finish (struct trip_table *table);

/// Adds a trip. For a move that is already tripped it can only set `repeats`.
/// @param repeats  true at the node that found the fault, at the driver and at
///                 relays
/// @param added    set to true when the move was not tripped before
/// @return STATUS_INVALID when `move` is not a valid name, STATUS_TOO_LARGE
///         when the table is full, STATUS_NO_MEMORY
enum status trip_add (struct trip_table *table, const char *move,
                      const char *reason, bool repeats, uint64_t now_ms,
                      bool *added);

/// @return the trip of a move or NULL
const struct trip *trip_find (const struct trip_table *table,
                              const char *move);

/// Marks as recorded the trips of moves that have ended in the configuration.
/// They stay in the table: no later move of the same name sends calls to its
/// new version from this node.
void trip_mark_recorded (struct trip_table *table,
                         const struct config *config);

/// Calls `send` for each trip whose broadcast is due and schedules the next
/// one.
void trip_broadcast_due (struct trip_table *table, uint64_t now_ms,
                         void (*send) (void *arg, const struct trip *trip),
                         void *arg);

/// Evidence on the errors of one move that this node has seen itself.
struct trip_watch
{
  struct seqtest test;
  struct seqtest_block block;
  uint64_t started_ms; ///< last starting time of the test
  uint32_t starts;     ///< starting times after the first one
};

void trip_watch_init (struct trip_watch *watch, uint64_t now_ms);

/// Counts one call.
void trip_watch_count (struct trip_watch *watch, bool new_version,
                       bool failed);

/// Drops the calls that were not tested yet. Called when the share has
/// changed.
void trip_watch_discard_block (struct trip_watch *watch);

/// Tests the calls since the last check.
/// @return true when this node's evidence alone justifies a trip
bool trip_watch_check (struct trip_watch *watch, uint64_t now_ms);

#endif
