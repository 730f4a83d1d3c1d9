/// Stateless; the observations are kept in the records of the directory.
#include "coordination/placement_estimate.h"

#include "coordination/placement_speed.h"

/// Maximum age of a load report that is used.
#define REPORT_AGE_MS_MAX 1000

/// Maximum age of a reported service time that is used. After that the target
/// is assumed to be as fast as the fastest candidate, so that a target that
/// has become faster gets requests again.
#define SERVICE_TIME_AGE_MS_MAX 3000

/// Service time that is assumed when no candidate has a recent report.
#define SERVICE_US_DEFAULT 50000

/// Cost of a small response from another zone: the service time divided by
/// this, and at least the round trip. Bytes between zones are paid for, so
/// requests leave the zone when its targets are clearly busier or slower.
#define CROSS_ZONE_SMALL_DIVISOR 4
#define CROSS_ZONE_SMALL_US_MIN 1500

/// Cost of a large response from another zone: the latency objective divided
/// by this.
#define CROSS_ZONE_LARGE_DIVISOR 2

/// Half-life of the failure share, so that a target that has recovered gets
/// requests again.
#define ERROR_HALF_LIFE_MS 1500

uint32_t
placement_error_permille (const struct directory_load *load, uint64_t now_ms)
{
  uint64_t halvings = (now_ms - load->error_ms) / ERROR_HALF_LIFE_MS;
  return halvings > 10 ? 0 : load->error_permille >> halvings;
}

static bool
has_recent_service_time (const struct directory_load *load, uint64_t now_ms)
{
  return load->service_us > 0
         && now_ms - load->reported_ms < SERVICE_TIME_AGE_MS_MAX;
}

/// @return shortest recent service time among the candidates, microseconds
static uint64_t
fastest_us (const struct directory *directory, const size_t *handles,
            size_t count, uint64_t now_ms)
{
  uint64_t fastest = UINT64_MAX;
  for (size_t i = 0; i < count; i++)
    {
      const struct directory_load *load = &directory->records[handles[i]].load;
      if (has_recent_service_time (load, now_ms) && load->service_us < fastest)
        fastest = load->service_us;
    }
  return fastest == UINT64_MAX ? SERVICE_US_DEFAULT : fastest;
}

struct placement_basis
placement_basis (const struct directory *directory, const size_t *handles,
                 size_t count, bool with_speed, uint64_t now_ms)
{
  struct placement_basis basis = { .with_speed = with_speed };
  if (with_speed)
    basis.typical = placement_speed_typical (directory, handles, count);
  else
    basis.typical.service_us = fastest_us (directory, handles, count, now_ms);
  return basis;
}

/// @return cost of a response from another zone, microseconds
static uint64_t
cross_zone_us (const struct placement_request *request, uint64_t service_us)
{
  if (request->large_response)
    return (uint64_t)request->objective_ms * 1000 / CROSS_ZONE_LARGE_DIVISOR;
  uint64_t cost_us = service_us / CROSS_ZONE_SMALL_DIVISOR;
  return cost_us > CROSS_ZONE_SMALL_US_MIN ? cost_us : CROSS_ZONE_SMALL_US_MIN;
}

/// Estimates without the speed of any target.
static void
estimate_without_speed (const struct directory_record *record,
                        const struct placement_request *request,
                        uint64_t default_us, uint64_t now_ms,
                        struct placement_estimate *estimate)
{
  const struct directory_load *load = &record->load;
  uint64_t service_us
      = has_recent_service_time (load, now_ms) ? load->service_us : default_us;
  if (now_ms < record->seen_ms + record->entry.cold_ms)
    service_us *= 2;
  uint64_t slots = record->entry.slots > 0 ? record->entry.slots : 1;
  uint64_t occupied = load->in_flight;
  if (load->reported_ms != 0 && now_ms - load->reported_ms < REPORT_AGE_MS_MAX)
    {
      uint64_t reported
          = load->running + load->waiting + load->sent_since_report;
      if (reported > occupied)
        occupied = reported;
    }
  uint64_t busy = occupied < slots ? occupied : slots;
  estimate->service_us = service_us;
  estimate->queue_us = busy * service_us / (4 * slots);
  if (occupied >= slots)
    estimate->queue_us += (occupied - slots + 1) * service_us / slots;
  if (!placement_is_near (record, request))
    estimate->zone_us = cross_zone_us (request, service_us);
}

/// @return cost of the failures that are to be expected, microseconds
/// @param us  the estimate without them
static uint64_t
failure_us (uint64_t us, const struct directory_record *record,
            const struct placement_request *request, uint64_t now_ms)
{
  uint64_t failures = placement_error_permille (&record->load, now_ms);
  return (us + (uint64_t)request->objective_ms * 1000) * failures
         / (1001 - (failures < 1000 ? failures : 1000));
}

uint64_t
placement_estimate_us (const struct placement_estimate *estimate)
{
  return estimate->service_us + estimate->queue_us + estimate->zone_us
         + estimate->body_us + estimate->failure_us;
}

struct placement_estimate
placement_estimate (const struct directory_record *record,
                    const struct placement_request *request,
                    const struct placement_basis *basis, uint64_t now_ms)
{
  struct placement_estimate estimate = { .service_us = 0 };
  if (!basis->with_speed)
    estimate_without_speed (record, request, basis->typical.service_us, now_ms,
                            &estimate);
  else
    {
      placement_speed_estimate (record, &basis->typical, now_ms, &estimate);
      if (!placement_is_near (record, request))
        estimate.zone_us = placement_speed_cross_zone_us (
            request, basis->typical.service_us);
      if (!placement_is_own (record, request))
        estimate.body_us = placement_speed_transfer_us (request, record);
    }
  estimate.failure_us = failure_us (placement_estimate_us (&estimate), record,
                                    request, now_ms);
  return estimate;
}
