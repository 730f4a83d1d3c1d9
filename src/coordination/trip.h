/// Permanent take-backs of moves at this node. A trip sets the share of the
/// new version to 0 at once and without the store; it is kept for as long as
/// the process runs and is broadcast again until the configuration records it.
#ifndef HAWTHORNSEAM_COORDINATION_TRIP_H
#define HAWTHORNSEAM_COORDINATION_TRIP_H

#include "coordination/seqtest.h"
#include "state/config.h"

/// At most one entry per declared move, and as many that the configuration at
/// this node does not name yet.
#define TRIP_MAX (2 * CONFIG_MOVES_MAX)
#define TRIP_REASON_MAX 159

struct trip
{
  char move[CONFIG_NAME_MAX + 1];
  char reason[TRIP_REASON_MAX + 1];
  bool recorded;   ///< the configuration in force holds the end
  bool repeats;    ///< this node broadcasts it until it is recorded
  uint64_t due_ms; ///< next broadcast
  uint32_t broadcasts;
};

struct trip_table
{
  struct trip *items;
  uint32_t count;
  uint32_t capacity;
};

void trip_table_init (struct trip_table *table);
void trip_table_finish (struct trip_table *table);

/// Adds a trip; a second one of the same move changes nothing but `repeats`.
/// @param repeats  true at the node that found the reason, at the driver and
///                 at relays
/// @param added    set to true when the move was not tripped before
/// @return STATUS_INVALID for a name that is no name, STATUS_TOO_LARGE,
///         STATUS_NO_MEMORY
enum status trip_add (struct trip_table *table, const char *move,
                      const char *reason, bool repeats, uint64_t now_ms,
                      bool *added);

/// @return the trip of a move or NULL
const struct trip *trip_find (const struct trip_table *table,
                              const char *move);

/// Marks the trips whose move has ended in the configuration. A recorded trip
/// stays in the table: its move's name never gets traffic again here.
void trip_follow (struct trip_table *table, const struct config *config);

/// Calls `send` for each broadcast that is due.
void trip_repeat (struct trip_table *table, uint64_t now_ms,
                  void (*send) (void *arg, const struct trip *trip),
                  void *arg);

/// A node's own evidence about the errors of one move.
struct trip_watch
{
  struct seqtest test;
  struct seqtest_block block;
  uint64_t started_ms;
  uint32_t starts;
};

void trip_watch_init (struct trip_watch *watch, uint64_t now_ms);

/// Counts one call.
void trip_watch_count (struct trip_watch *watch, bool new_version,
                       bool failed);

/// Forgets calls that were not judged yet, when the share has changed.
void trip_watch_step (struct trip_watch *watch);

/// Judges the calls since the last check.
/// @return true when they alone are overwhelming
bool trip_watch_check (struct trip_watch *watch, uint64_t now_ms);

#endif
