/// Stateless; the observations are kept in the records of the directory.
#include "coordination/placement_speed.h"

#include "coordination/target_speed.h"

#include <math.h>

/// Weight of a report in the target's usual figure and usual load, 1 / 8.
#define USUAL_SMOOTHING_DIVISOR 8

/// Unit of the usual load, 1 / 256 of a request.
#define BUSY_UNIT 256

/// Largest number of requests in a report that is believed.
#define BUSY_MAX 1000000

/// Time after which half of a reported deviation from the target's usual
/// figure is expected to be over. Disturbances last about 600 ms, so a report
/// comes on average when half of that is left.
#define SPEED_HALF_LIFE_MS 350.0

/// Service times after which half of a reported deviation from the usual load
/// is expected to be over: requests of all entry nodes end and begin.
#define BUSY_HALF_LIFE_SERVICES 2.0

/// Maximum age of a service time that is used. At 100 percent it changes only
/// with the mix of requests. A target that is slow by nature gets few
/// requests, and must not look like a typical one after each pause.
#define SERVICE_TIME_AGE_MS_MAX 60000

/// Service time that is assumed when no candidate has a report.
#define SERVICE_US_DEFAULT 50000

/// Share of the typical service time in the estimate of a target's own one. A
/// quarter costs callers little (mean response time +0.5 percent at medium
/// load, -2 percent at high load in the simulation), and keeps requests and so
/// reports coming from targets that are slow by nature.
#define TYPICAL_SHARE 0.25

/// Largest share of used slots that is assumed of a target without reports.
/// Where all others queue, a new target or one of another zone gets requests.
#define TYPICAL_BUSY_MAX 0.5

/// Expected queueing of a target whose slots are all in use when the request
/// is sent, as a share of the service time. It grows with the fourth power of
/// the used share of slots: a target with some free slots hardly ever queues.
#define FULL_QUEUE_SHARE 0.25

/// Cost of a small request to another zone: the typical service time divided
/// by this, and the round trip. Low enough to leave a zone before its targets
/// queue, high enough to return when they no longer do.
#define CROSS_ZONE_DIVISOR 3
#define CROSS_ZONE_ROUND_TRIP_US 1500

/// Bytes between zones are paid for. A body of this size or more adds what a
/// large response costs, a smaller one its part of that.
#define CROSS_ZONE_BODY_BYTES (256u * 1024)

/// Bodies that take less time on the VM's link are not limited by it, as in
/// the admission queue.
#define TRANSFER_US_MIN 10000

/// Largest body that is computed with; none that is accepted is larger.
#define BODY_BYTES_MAX (1u << 30)

/// Cost of a large response or body from or to another zone: the latency
/// objective divided by this.
#define CROSS_ZONE_LARGE_DIVISOR 2

static uint32_t
smooth (uint32_t mean, uint64_t value)
{
  return (uint32_t)(((uint64_t)mean * (USUAL_SMOOTHING_DIVISOR - 1) + value)
                    / USUAL_SMOOTHING_DIVISOR);
}

void
placement_report_speed (struct directory_record *record,
                        uint32_t speed_percent,
                        uint32_t link_free_kbytes_per_s)
{
  struct directory_load *load = &record->load;
  load->link_free_kbytes_per_s = link_free_kbytes_per_s;
  uint64_t busy = (uint64_t)load->running + load->waiting;
  if (busy > BUSY_MAX)
    busy = BUSY_MAX;
  /* The first figure may be that of a disturbance, so the target counts as
     usual before it. */
  if (load->usual_percent == 0)
    {
      load->usual_percent = TARGET_SPEED_USUAL_PERCENT;
      load->usual_busy = (uint32_t)busy * BUSY_UNIT;
    }
  load->speed_percent = speed_percent;
  load->usual_percent = smooth (load->usual_percent, speed_percent);
  load->usual_busy = smooth (load->usual_busy, busy * BUSY_UNIT);
}

static double
slots_of (const struct directory_record *record)
{
  return record->entry.slots > 0 ? record->entry.slots : 1;
}

struct placement_speed_typical
placement_speed_typical (const struct directory *directory,
                         const size_t *handles, size_t count)
{
  struct placement_speed_typical typical
      = { .service_us = SERVICE_US_DEFAULT };
  uint64_t sum_us = 0;
  uint64_t known = 0;
  double busy = 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct directory_record *record = &directory->records[handles[i]];
      if (record->load.service_us == 0)
        continue;
      known++;
      sum_us += record->load.service_us;
      busy += (double)record->load.usual_busy / BUSY_UNIT / slots_of (record);
    }
  if (known > 0)
    {
      typical.service_us = sum_us / known;
      busy /= (double)known;
      typical.busy = busy < TYPICAL_BUSY_MAX ? busy : TYPICAL_BUSY_MAX;
    }
  return typical;
}

/// @return expected value after some time of a figure that tends to its usual
///         value
static double
expected (double reported, double usual, double age_ms, double half_life_ms)
{
  return usual + (reported - usual) * exp2 (-age_ms / half_life_ms);
}

/// @return expected requests in the target and its queue
static double
expected_busy (const struct directory_record *record, double service_us,
               double typical_busy, double age_ms)
{
  const struct directory_load *load = &record->load;
  double in_flight = load->in_flight;
  /* A new target is new to all entry nodes. If it counted as free, all of them
     would choose it until their first responses. */
  if (load->reported_ms == 0)
    return typical_busy * slots_of (record) + in_flight;
  double busy = (double)load->running + load->waiting;
  if (load->speed_percent > 0)
    busy = expected (busy, (double)load->usual_busy / BUSY_UNIT, age_ms,
                     BUSY_HALF_LIFE_SERVICES * service_us / 1000 + 1);
  /* Of those sent since the report, the ones that have not ended. */
  busy += load->sent_since_report < load->in_flight ? load->sent_since_report
                                                    : load->in_flight;
  return busy > in_flight ? busy : in_flight;
}

void
placement_speed_estimate (const struct directory_record *record,
                          const struct placement_speed_typical *typical,
                          uint64_t now_ms, struct placement_estimate *estimate)
{
  const struct directory_load *load = &record->load;
  double age_ms = (double)(now_ms - load->reported_ms);
  double typical_us = (double)typical->service_us;
  double service_us = typical_us;
  if (load->service_us > 0 && age_ms < SERVICE_TIME_AGE_MS_MAX)
    service_us = load->service_us;
  double percent = TARGET_SPEED_USUAL_PERCENT;
  /* The request runs from now on for about the service time. */
  if (load->speed_percent > 0)
    percent = expected (load->speed_percent, load->usual_percent,
                        age_ms + service_us / 2000, SPEED_HALF_LIFE_MS);
  double busy = expected_busy (record, service_us, typical->busy, age_ms);
  double slots = slots_of (record);
  double used = busy < slots ? busy / slots : 1;
  double queue = FULL_QUEUE_SHARE * used * used * used * used;
  if (busy >= slots)
    queue += (busy - slots + 1) / slots;
  if (now_ms < record->seen_ms + record->entry.cold_ms)
    service_us *= 2;
  service_us += (typical_us - service_us) * TYPICAL_SHARE;
  double at_speed_us = service_us * percent / TARGET_SPEED_USUAL_PERCENT;
  estimate->service_us = (uint64_t)at_speed_us;
  estimate->queue_us
      = (uint64_t)(at_speed_us * (1 + queue)) - estimate->service_us;
}

uint64_t
placement_speed_transfer_us (const struct placement_request *request,
                             const struct directory_record *record)
{
  uint64_t bytes_per_s = request->link_bytes_per_s;
  uint64_t left_per_s
      = record == NULL ? 0 : record->load.link_free_kbytes_per_s * 1000ull;
  if (left_per_s > 0 && (bytes_per_s == 0 || left_per_s < bytes_per_s))
    bytes_per_s = left_per_s;
  if (bytes_per_s == 0)
    return 0;
  uint64_t bytes = request->body_bytes < BODY_BYTES_MAX ? request->body_bytes
                                                        : BODY_BYTES_MAX;
  uint64_t us = bytes * 1000000 / bytes_per_s;
  return us < TRANSFER_US_MIN ? 0 : us;
}

uint64_t
placement_speed_cross_zone_us (const struct placement_request *request,
                               uint64_t typical_us)
{
  uint64_t large_us
      = (uint64_t)request->objective_ms * 1000 / CROSS_ZONE_LARGE_DIVISOR;
  uint64_t body = request->body_bytes < CROSS_ZONE_BODY_BYTES
                      ? request->body_bytes
                      : CROSS_ZONE_BODY_BYTES;
  uint64_t body_us = large_us * body / CROSS_ZONE_BODY_BYTES;
  if (request->large_response)
    return large_us + body_us;
  return typical_us / CROSS_ZONE_DIVISOR + CROSS_ZONE_ROUND_TRIP_US + body_us;
}
