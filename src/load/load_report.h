/// Results of a run of the load generator: calls by outcome, and latencies.
#ifndef HAWTHORNSEAM_LOAD_LOAD_REPORT_H
#define HAWTHORNSEAM_LOAD_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/// Latency samples kept for the percentiles; further calls are counted but not
/// sampled.
#define LOAD_SAMPLES_MAX (8u * 1024 * 1024)

/// Outcome of a call. Those marked "wrong" fail the run.
enum load_outcome
{
  LOAD_RAN,       ///< correct response, status below 300
  LOAD_RAN_ERROR, ///< correct response, other status
  LOAD_RECORDED,  ///< recorded response to an earlier call with the same key
  LOAD_NOT_RUN,   ///< the node reports that the call did not run
  LOAD_UNKNOWN,   ///< the node reports that the call may have run
  LOAD_NOT_CONNECTED, ///< connection failed, nothing was sent
  LOAD_NO_ANSWER,     ///< sent, then reset, closed early or timed out
  LOAD_UNFRAMED,      ///< wrong: malformed response, or no framing that marks
                      ///< its end
  LOAD_TRUNCATED,     ///< wrong: taken for complete, but not of Content-Length
                      ///< bytes
  LOAD_WRONG_ID,      ///< wrong: response to another request
  LOAD_WRONG_CONTENT, ///< wrong: checksum of the body differs
  LOAD_OUTCOMES       ///< number of outcomes
};

static const char *const load_outcome_names[LOAD_OUTCOMES] = {
  "ran",       "ran_error",     "recorded",      "not_run",
  "unknown",   "not_connected", "no_answer",     "unframed",
  "truncated", "wrong_id",      "wrong_content",
};

struct load_report
{
  uint64_t counts[LOAD_OUTCOMES];
  uint32_t *samples; ///< latencies of LOAD_RAN to LOAD_RECORDED, us
  size_t sample_count;
  size_t sample_capacity;
  uint64_t bytes; ///< received in response bodies
  double elapsed_s;
  double cpu_s; ///< processor time of the load generator
};

/// Counts a call and samples its latency.
static inline void
load_report_add (struct load_report *report, enum load_outcome outcome,
                 uint64_t latency_us, uint64_t bytes)
{
  report->counts[outcome]++;
  report->bytes += bytes;
  if (outcome > LOAD_RECORDED || report->sample_count == LOAD_SAMPLES_MAX)
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

/// @param share  percentile as a fraction in [0, 1]
/// @return latency at the percentile, ms; 0 without samples. The samples must
/// be sorted.
static inline double
load_report_percentile (const struct load_report *report, double share)
{
  if (report->sample_count == 0)
    return 0;
  size_t index = (size_t)(share * (double)report->sample_count);
  if (index >= report->sample_count)
    index = report->sample_count - 1;
  return report->samples[index] / 1000.0;
}

/// Sorts the samples and prints the results, one "NAME VALUE" per line or as
/// one JSON object.
static inline void
load_report_print (struct load_report *report, bool json)
{
  uint64_t total = 0;
  for (size_t i = 0; i < LOAD_OUTCOMES; i++)
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
  for (size_t i = 0; i < LOAD_OUTCOMES; i++)
    printf (json ? ",\"%s\":%llu" : "%s %llu\n", load_outcome_names[i],
            (unsigned long long)report->counts[i]);
  printf (json ? ",\"bytes\":%llu" : "bytes %llu\n",
          (unsigned long long)report->bytes);
  for (size_t i = 0; i < sizeof figures / sizeof figures[0]; i++)
    printf (json ? ",\"%s\":%.3f" : "%s %.3f\n", figures[i].name,
            figures[i].value);
  printf (json ? "}\n" : "");
}

/// @return true when a response was malformed, incomplete or another request's
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
