/// Owns the process's list of registered histograms.
#include "base/histogram.h"

#include <assert.h>

static struct histogram *first_histogram;

static const uint32_t bounds_ms[HISTOGRAM_BOUNDS]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

uint32_t
histogram_bound_ms (size_t bucket)
{
  assert (bucket < HISTOGRAM_BOUNDS);
  return bounds_ms[bucket];
}

void
histogram_add (struct histogram *histogram, uint64_t us)
{
  if (!histogram->registered)
    {
      histogram->registered = true;
      histogram->next = first_histogram;
      first_histogram = histogram;
    }
  size_t bucket = 0;
  while (bucket < HISTOGRAM_BOUNDS && us > (uint64_t)bounds_ms[bucket] * 1000)
    bucket++;
  histogram->buckets[bucket]++;
  histogram->sum_us += us;
}

const struct histogram *
histogram_first (void)
{
  return first_histogram;
}
