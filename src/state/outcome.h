/// Counts of call outcomes for the evidence of moves, and the running
/// percentiles of the old version's latency that the counts refer to. Counts
/// are deltas: merging two tables adds them.
#ifndef HAWTHORNSEAM_STATE_OUTCOME_H
#define HAWTHORNSEAM_STATE_OUTCOME_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Cells of one table. A node that would need more drops the counts and says
/// so; the evidence is then incomplete but not wrong.
#define OUTCOME_CELLS_MAX 8192

enum outcome_side
{
  OUTCOME_OLD,
  OUTCOME_NEW,
  OUTCOME_SIDES
};

/// Names are placement hashes. The step is the one that was in force when the
/// calls ran, so that evidence of an earlier share is told apart.
struct outcome_key
{
  uint64_t move;
  uint64_t route;
  uint64_t availability_zone;
  uint32_t step;
  enum outcome_side side;
};

/// slow50 and slow99 count answers above the old version's percentiles, as
/// they stood before the interval began; both versions are measured with the
/// same limits at the same time.
struct outcome_counts
{
  uint32_t calls;
  uint32_t errors; ///< of those, without usable answer
  uint32_t timed;  ///< answers of warm targets, compared with the percentiles
  uint32_t slow50; ///< of those, above the 50th percentile
  uint32_t slow99; ///< of those, above the 99th percentile
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

/// Forgets all cells and keeps the memory.
void outcome_table_clear (struct outcome_table *table);

/// Forgets the cells from `count` on.
void outcome_table_truncate (struct outcome_table *table, uint32_t count);

/// Adds a delta to a cell.
/// @return STATUS_TOO_LARGE past OUTCOME_CELLS_MAX, STATUS_INVALID for counts
///         that contradict each other, STATUS_NO_MEMORY
enum status outcome_add (struct outcome_table *table,
                         const struct outcome_key *key,
                         const struct outcome_counts *delta);

/// @return false when, for example, more errors than calls are counted
bool outcome_counts_valid (const struct outcome_counts *counts);

/// Adds counts without overflow.
void outcome_counts_add (struct outcome_counts *sum,
                         const struct outcome_counts *delta);

/// Latency buckets: eight per octave from 64 us to about 67 s.
#define OUTCOME_BUCKETS 160

/// Running percentiles of the old version's latency at one node and route.
/// Old answers lose weight by halves.
struct outcome_percentiles
{
  uint32_t buckets[OUTCOME_BUCKETS];
  uint32_t total;
  uint64_t halved_ms;
  uint32_t p50_us; ///< limits in use; 0 while there are too few answers
  uint32_t p99_us;
};

void outcome_percentiles_init (struct outcome_percentiles *percentiles,
                               uint64_t now_ms);

/// Records an answer of the old version. The limits do not change by this.
void outcome_percentiles_add (struct outcome_percentiles *percentiles,
                              uint32_t latency_us);

/// Sets the limits for the next interval. Called between intervals, so that
/// the limits do not depend on the calls that they are applied to.
/// @param relieved  the old version has lost part of its usual load: the
///                  limits may rise but not fall
void outcome_percentiles_refresh (struct outcome_percentiles *percentiles,
                                  uint64_t now_ms, bool relieved);

/// Turns one call into a delta.
/// @param limits  NULL or without limits: latency is not compared
struct outcome_counts
outcome_of_call (const struct outcome_percentiles *limits, bool failed,
                 uint32_t latency_us);

#endif
