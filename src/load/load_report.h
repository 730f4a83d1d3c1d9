/// Counts and latencies of a run of the load generator.
#ifndef HAWTHORNSEAM_BENCH_LOAD_REPORT_H
#define HAWTHORNSEAM_BENCH_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/// Latencies kept for the percentiles; calls past this number are only
/// counted.
#define LOAD_SAMPLES_MAX (8u * 1024 * 1024)

enum load_class
{
  LOAD_RAN,           ///< whole and own answer, status below 300
  LOAD_RAN_ERROR,     ///< whole and own answer, other status
  LOAD_RECORDED,      ///< the recorded answer of an earlier call
  LOAD_NOT_RUN,       ///< the node said so
  LOAD_UNKNOWN,       ///< the node said so
  LOAD_NOT_CONNECTED, ///< nothing was sent
  LOAD_NO_ANSWER,     ///< reset, cut off or timeout after it was sent
  LOAD_UNFRAMED,      ///< wrong: the end of the answer cannot be verified
  LOAD_TRUNCATED,     ///< wrong: shorter than announced, but ended as whole
  LOAD_WRONG_ID,      ///< wrong: the answer to another request
  LOAD_WRONG_CONTENT, ///< wrong: the checksum differs
  LOAD_CLASSES
};

static const char *const load_class_names[LOAD_CLASSES] = {
  "ran",       "ran_error",     "recorded",      "not_run",
  "unknown",   "not_connected", "no_answer",     "unframed",
  "truncated", "wrong_id",      "wrong_content",
};

struct load_report
{
  uint64_t counts[LOAD_CLASSES];
  uint32_t *samples; ///< microseconds, of answers that ran
  size_t sample_count;
  size_t sample_capacity;
  uint64_t bytes;
  double elapsed_s;
  double cpu_s; ///< of the load generator itself
};

static inline void
load_report_add (struct load_report *report, enum load_class class,
                 uint64_t latency_us, uint64_t bytes)
{
  report->counts[class]++;
  report->bytes += bytes;
  if (class > LOAD_RECORDED || report->sample_count == LOAD_SAMPLES_MAX)
    return;
  if (report->sample_count == report->sample_capacity)
    {
      size_t capacity = 4096 + 2 * report->sample_capacity;
      uint32_t *samples
          = realloc (report->samples, capacity * sizeof *samples);
      if (samples == NULL)
        return;
      report->samples = samples;
      report->sample_capacity = capacity;
    }
  report->samples[report->sample_count++]
      = latency_us < UINT32_MAX ? (uint32_t)latency_us : UINT32_MAX;
}

static inline int
load_report_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

/// @return latency below which a share of the answers lies, milliseconds;
/// samples must be sorted
static inline double
load_report_percentile (const struct load_report *report, double share)
{
  if (report->sample_count == 0)
    return 0;
  size_t place = (size_t)(share * (double)report->sample_count);
  if (place >= report->sample_count)
    place = report->sample_count - 1;
  return report->samples[place] / 1000.0;
}

static inline void
load_report_print (struct load_report *report, bool json)
{
  uint64_t total = 0;
  for (size_t i = 0; i < LOAD_CLASSES; i++)
    total += report->counts[i];
  if (report->sample_count > 0)
    qsort (report->samples, report->sample_count, sizeof *report->samples,
           load_report_compare);
  const struct
  {
    const char *name;
    double value;
  } figures[] = {
    { "elapsed_s", report->elapsed_s },
    { "calls_per_s",
      report->elapsed_s > 0 ? (double)total / report->elapsed_s : 0 },
    { "p50_ms", load_report_percentile (report, 0.5) },
    { "p90_ms", load_report_percentile (report, 0.9) },
    { "p99_ms", load_report_percentile (report, 0.99) },
    { "max_ms", load_report_percentile (report, 1) },
    { "client_cpu_us_per_call",
      total > 0 ? report->cpu_s * 1e6 / (double)total : 0 },
  };
  printf (json ? "{\"calls\":%llu" : "calls %llu\n",
          (unsigned long long)total);
  for (size_t i = 0; i < LOAD_CLASSES; i++)
    printf (json ? ",\"%s\":%llu" : "%s %llu\n", load_class_names[i],
            (unsigned long long)report->counts[i]);
  printf (json ? ",\"bytes\":%llu" : "bytes %llu\n",
          (unsigned long long)report->bytes);
  for (size_t i = 0; i < sizeof figures / sizeof figures[0]; i++)
    printf (json ? ",\"%s\":%.3f" : "%s %.3f\n", figures[i].name,
            figures[i].value);
  printf (json ? "}\n" : "");
}

/// @return true when an answer was not the whole answer to its own request
static inline bool
load_report_is_wrong (const struct load_report *report)
{
  return report->counts[LOAD_UNFRAMED] + report->counts[LOAD_TRUNCATED]
             + report->counts[LOAD_WRONG_ID]
             + report->counts[LOAD_WRONG_CONTENT]
         > 0;
}

static inline void
load_report_finish (struct load_report *report)
{
  free (report->samples);
}

#endif
