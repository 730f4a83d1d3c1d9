/// Owns no state; limits the requests of callers while this node stops, and
/// logs those that the end of the process cuts.
#include "sidecar/sidecar_outbound.h"

#include "base/clock.h"
#include "base/log.h"
#include "transport/timer.h"

#include <inttypes.h>

static struct log_rate_limit progress_log_limit = { .per_second = 20 };

bool
sidecar_outbound_limit_to_stop (struct sidecar_outbound *outbound)
{
  const struct sidecar *sidecar = outbound->sidecar;
  uint64_t by_ms = sidecar->stopping_ms + sidecar->stop_plan.answer_by_ms;
  if (outbound->respond_by_ms <= by_ms)
    return false;
  outbound->respond_by_ms = by_ms;
  return true;
}

void
sidecar_outbound_stopping (struct sidecar *sidecar)
{
  for (struct sidecar_outbound *outbound = TAILQ_FIRST (&sidecar->outbound);
       outbound != NULL; outbound = TAILQ_NEXT (outbound, link))
    /* A response that is held back would keep those behind it from their
       callers until the process ends. */
    if (!http_reply_is_begun (outbound->request)
        && sidecar_outbound_limit_to_stop (outbound))
      timer_start_at (&outbound->timer, outbound->respond_by_ms);
}

uint32_t
sidecar_outbound_whole_ms (const struct sidecar *sidecar, uint64_t now_ms)
{
  if (!sidecar->stopping)
    return 0;
  uint64_t by_ms = sidecar->stopping_ms + sidecar->stop_plan.answer_by_ms;
  return by_ms > now_ms ? (uint32_t)(by_ms - now_ms) : 1;
}

void
sidecar_outbound_log_progress (const struct sidecar_outbound *outbound,
                               const char *event)
{
  const struct sidecar *sidecar = outbound->sidecar;
  const struct http_head *response = outbound->response;
  uint64_t now = clock_monotonic_ms ();
  log_rate_limited (
      &progress_log_limit, LOG_LEVEL_WARNING, event,
      "id=%s begun=%d passed_on=%zu of=%" PRId64 " unacknowledged=%zu "
      "unread=%zu ms=%" PRIu64 " stopping_ms=%" PRId64,
      outbound->id, http_reply_is_begun (outbound->request),
      outbound->forwarded,
      response != NULL && response->has_length ? (int64_t)response->length
                                               : -1,
      http_request_unacknowledged (outbound->request),
      outbound->exchange == NULL ? 0
                                 : http_exchange_unread (outbound->exchange),
      now - outbound->arrived_ms,
      sidecar->stopping ? (int64_t)(now - sidecar->stopping_ms) : -1);
}

void
sidecar_outbound_log_cut (const struct sidecar *sidecar, size_t lines_max)
{
  for (const struct sidecar_outbound *outbound
       = TAILQ_FIRST (&sidecar->outbound);
       outbound != NULL && lines_max > 0;
       outbound = TAILQ_NEXT (outbound, link), lines_max--)
    sidecar_outbound_log_progress (outbound, "response_cut");
}
