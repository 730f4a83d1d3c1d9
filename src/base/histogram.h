/// Process-wide latency histograms with fixed buckets, declared as static
/// objects like counters.
#ifndef HAWTHORNSEAM_BASE_HISTOGRAM_H
#define HAWTHORNSEAM_BASE_HISTOGRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Number of bucket bounds; one more bucket holds the values above the last.
#define HISTOGRAM_BOUNDS 12

struct histogram
{
  const char *name; ///< lower case, prefixed with the module, ending in
                    ///< the unit
  const char *help; ///< one sentence
  uint64_t buckets[HISTOGRAM_BOUNDS + 1];
  uint64_t sum_us;
  bool registered;
  struct histogram *next;
};

#define HISTOGRAM(histogram_name, help_text)                                  \
  {                                                                           \
    .name = (histogram_name), .help = (help_text)                             \
  }

/// @return upper bound of a bucket in milliseconds
uint32_t histogram_bound_ms (size_t bucket);

/// Records a value in microseconds and registers the histogram on first use.
void histogram_add (struct histogram *histogram, uint64_t us);

/// @return the first registered histogram or NULL; follow `next` for the rest
const struct histogram *histogram_first (void);

#endif
