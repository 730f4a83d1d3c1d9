/// Counts of call outcomes, the evidence that moves are judged by, and the
/// running percentiles of the old version's latency with which the counts
/// compare latencies. Counts are deltas: merging two tables adds them.
#ifndef HAWTHORNSEAM_STATE_OUTCOME_H
#define HAWTHORNSEAM_STATE_OUTCOME_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest number of cells of a table. Counts for further cells are refused,
/// and the node counts the calls that it drops: evidence may be incomplete,
/// but not wrong.
#define OUTCOME_CELLS_MAX 8192

/// Version of the target that ran a call.
enum outcome_side
{
  OUTCOME_OLD, ///< the version that the move replaces
  OUTCOME_NEW, ///< the version that the move introduces
  OUTCOME_SIDES
};

/// Identifies the calls that a cell counts.
struct outcome_key
{
  uint64_t move;              ///< hash of the name
  uint64_t route;             ///< hash of the name
  uint64_t availability_zone; ///< hash of the name
  uint32_t step; ///< step of the move when the calls ran; keeps evidence of
                 ///< different traffic shares apart
  enum outcome_side side;
};

/// Outcomes of calls. Latencies are compared with the old version's
/// percentiles as of the start of the interval, so that the calls of both
/// versions are measured against the same limits at the same time.
struct outcome_counts
{
  uint32_t calls;
  uint32_t errors; ///< of those, without a usable response
  uint32_t timed;  ///< responses of warmed-up targets, whose latency was
                   ///< compared with the percentiles
  uint32_t slow50; ///< of the timed ones, clearly above the 50th percentile
  uint32_t slow99; ///< of the timed ones, clearly above the 99th percentile
};

struct outcome_cell
{
  struct outcome_key key;
  struct outcome_counts counts;
};

struct outcome_table
{
  struct outcome_cell *cells;
  uint32_t count;
  uint32_t capacity;
  uint32_t *index; ///< open addressing, UINT32_MAX when free
  uint32_t index_size;
};

void outcome_table_init (struct outcome_table *table);
void outcome_table_finish (struct outcome_table *table);

/// Removes all cells and keeps the memory.
void outcome_table_clear (struct outcome_table *table);

/// Removes all but the first `count` cells.
void outcome_table_truncate (struct outcome_table *table, uint32_t count);

/// Adds a delta to the cell of a key.
/// @return STATUS_TOO_LARGE past OUTCOME_CELLS_MAX, STATUS_INVALID for
///         inconsistent counts, STATUS_NO_MEMORY
enum status outcome_add (struct outcome_table *table,
                         const struct outcome_key *key,
                         const struct outcome_counts *delta);

/// @return false for inconsistent counts, for example more errors than calls
bool outcome_counts_valid (const struct outcome_counts *counts);

/// Adds counts; sums saturate at UINT32_MAX.
void outcome_counts_add (struct outcome_counts *sum,
                         const struct outcome_counts *delta);

/// Number of latency buckets: eight per octave from 64 us to about 67 s.
#define OUTCOME_BUCKETS 160

/// Running percentiles of the old version's latency at one node and route. The
/// counts are halved from time to time, so that old responses lose weight.
struct outcome_percentiles
{
  uint32_t buckets[OUTCOME_BUCKETS];
  uint32_t total;     ///< sum of the buckets
  uint64_t halved_ms; ///< when the buckets were last halved
  uint32_t p50_us;    ///< limit in use; 0 while there are too few responses
  uint32_t p99_us;    ///< limit in use; 0 while there are too few responses
};

void outcome_percentiles_init (struct outcome_percentiles *percentiles,
                               uint64_t now_ms);

/// Records a response of the old version. Does not change the limits.
void outcome_percentiles_add (struct outcome_percentiles *percentiles,
                              uint32_t latency_us);

/// Sets the limits for the next interval. Called between intervals, so that
/// the limits do not depend on the calls to which they are applied.
/// @param reduced_load  the old version has less than its usual load, and may
///                      be faster for that reason: limits are not lowered
void outcome_percentiles_refresh (struct outcome_percentiles *percentiles,
                                  uint64_t now_ms, bool reduced_load);

/// @param limits  limits to compare the latency with; NULL, or limits from too
///                few responses: the latency is not compared
/// @return the counts of one call
struct outcome_counts
outcome_of_call (const struct outcome_percentiles *limits, bool failed,
                 uint32_t latency_us);

#endif
