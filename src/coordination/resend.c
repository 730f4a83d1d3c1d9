/// Stateless; the caller keeps the counts of a request.
#include "coordination/resend.h"

enum resend_step
resend_give_up (const struct resend *resend)
{
  return resend->runs > 0 ? RESEND_RESPOND_UNKNOWN : RESEND_RESPOND_NOT_RUN;
}

/// @return true when the request may be offered to another node
static bool
may_offer (const struct resend *resend, uint64_t left_ms, uint64_t needed_ms)
{
  return !resend->continued && resend->load_refusals < RESEND_LOAD_REFUSALS_MAX
         && resend->offers < RESEND_OFFERS_MAX && left_ms > needed_ms
         && (resend->runs == 0
             || (resend->retry_class != MESH_NON_IDEMPOTENT
                 && resend->runs < resend->attempts_max));
}

enum resend_step
resend_decide (struct resend *resend, enum resend_event event,
               uint64_t left_ms, uint64_t needed_ms,
               bool (*budget) (void *arg), void *arg)
{
  bool reached_target
      = event == RESEND_SHED || event == RESEND_LOST || event == RESEND_FAILED;
  if (event == RESEND_LOST || event == RESEND_FAILED)
    resend->runs++;
  if (event == RESEND_OVERLOADED)
    resend->load_refusals++;
  if (event == RESEND_EXPIRED)
    return RESEND_RESPOND_TIMED_OUT;
  if (may_offer (resend, left_ms, needed_ms)
      && (!reached_target || budget (arg)))
    return RESEND_AGAIN;
  return event == RESEND_FAILED ? RESEND_FORWARD : resend_give_up (resend);
}
