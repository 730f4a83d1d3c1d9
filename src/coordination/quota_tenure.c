/// Decides when this node is entitled to an account group's quotas.
#include "coordination/quota_tenure.h"

/// A node that took over may see itself ranked first later than this.
#define ACCEPTED_MS 3000

static void
restart (struct quota_tenure *tenure, bool joined, bool starting,
         uint64_t now_ms)
{
  tenure->since_ms = now_ms;
  /* A node that is already listed becomes the first when another one's entry
     is missing or says that it is leaving: that node has stopped deciding. */
  tenure->ended_ms = now_ms + QUOTA_MARGIN_MS
                     + (joined ? QUOTA_FRESH_MS + QUOTA_YIELD_MS : 0);
  tenure->from_ms = starting ? now_ms : tenure->ended_ms;
  tenure->starting = starting;
  tenure->entitled = false;
  tenure->handed_over = false;
  tenure->resumed_ms = 0;
  tenure->serial++;
}

void
quota_tenure_observe (struct quota_tenure *tenure,
                      const struct quota_standing *standing, uint64_t now_ms)
{
  tenure->first = standing->first;
  tenure->fresh = standing->fresh;
  if (!standing->fresh)
    return;
  if (!standing->first)
    {
      if (tenure->entitled && tenure->yield_until_ms == 0
          && now_ms - tenure->seen_ms < QUOTA_GAP_MS)
        tenure->yield_until_ms = now_ms + QUOTA_YIELD_MS;
      return;
    }
  if (tenure->since_ms == 0 || tenure->handed_over
      || now_ms - tenure->seen_ms > QUOTA_GAP_MS)
    restart (tenure, standing->joined, standing->starting, now_ms);
  else if (now_ms - tenure->seen_ms > QUOTA_FRESH_MS)
    {
      tenure->resumed_ms = now_ms;
      tenure->from_ms = now_ms;
    }
  tenure->yield_until_ms = 0;
  tenure->seen_ms = now_ms;
  tenure->young = tenure->starting && standing->young;
  if (now_ms - tenure->since_ms
          >= (tenure->young ? QUOTA_YOUNG_MS : QUOTA_ENTITLED_MS)
      && !tenure->entitled)
    {
      /* Until now, unused buckets were filling at a part of the rate. */
      double part = tenure->young ? QUOTA_YOUNG_RATE
                                  : 1 - (double)QUOTA_SHARES_PPM / QUOTA_PPM;
      double unused_ms = (double)quota_tenure_unused_ms (tenure, now_ms);
      tenure->from_ms = now_ms - (uint64_t)(part * unused_ms);
      tenure->entitled = true;
    }
}

bool
quota_tenure_decides (const struct quota_tenure *tenure, uint64_t now_ms)
{
  return tenure->fresh && tenure->since_ms != 0 && !tenure->handed_over
         && (tenure->first || now_ms < tenure->yield_until_ms);
}

bool
quota_tenure_hands_over (const struct quota_tenure *tenure, bool stopping,
                         uint64_t now_ms)
{
  return tenure->entitled && !tenure->handed_over
         && now_ms - tenure->seen_ms < QUOTA_GAP_MS
         && (stopping
             || (!tenure->first && tenure->yield_until_ms != 0
                 && now_ms >= tenure->yield_until_ms));
}

void
quota_tenure_end (struct quota_tenure *tenure)
{
  tenure->handed_over = true;
  tenure->entitled = false;
  tenure->yield_until_ms = 0;
}

uint64_t
quota_tenure_unused_ms (const struct quota_tenure *tenure, uint64_t now_ms)
{
  return now_ms > tenure->from_ms ? now_ms - tenure->from_ms : 0;
}

bool
quota_tenure_accept (struct quota_tenure *tenure, uint64_t unused_ms,
                     uint64_t now_ms)
{
  if (tenure->entitled
      || (tenure->handed_over && now_ms - tenure->seen_ms < QUOTA_GAP_MS))
    return false;
  restart (tenure, false, false, now_ms);
  tenure->ended_ms = now_ms;
  tenure->from_ms = now_ms - unused_ms;
  tenure->entitled = true;
  tenure->seen_ms = now_ms;
  tenure->yield_until_ms = tenure->first ? 0 : now_ms + ACCEPTED_MS;
  return true;
}
