/// Owns the counters of refusals.
#include "sidecar/sidecar_admission.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <inttypes.h>
#include <string.h>

static struct counter refused_absent = COUNTER (
    "run_refused_absent", "requests refused by admission: no target");
static struct counter refused_draining = COUNTER (
    "run_refused_draining", "requests refused by admission: draining");
static struct counter refused_full = COUNTER (
    "run_refused_full", "requests refused by admission: queue full");
static struct counter refused_late
    = COUNTER ("run_refused_late",
               "requests refused by admission: not before their deadline");
static struct counter refused_share
    = COUNTER ("run_refused_share", "requests refused by admission beyond the "
                                    "usual share of their account");

static enum admission_mode
wanted_mode (const struct sidecar *sidecar)
{
  switch ((enum sidecar_admission)sidecar->settings.admission)
    {
    case SIDECAR_ADMISSION_RANK:
      return ADMISSION_RANK;
    case SIDECAR_ADMISSION_COST:
      return ADMISSION_COST;
    case SIDECAR_ADMISSION_AUTO:
      break;
    }
  bool has_accounts
      = sidecar->config != NULL && sidecar->config->accounts.required;
  return has_accounts ? ADMISSION_COST : ADMISSION_RANK;
}

void
sidecar_admission_tick (struct sidecar *sidecar)
{
  enum admission_mode mode = wanted_mode (sidecar);
  if (mode == admission_queue_mode (&sidecar->admission))
    return;
  admission_queue_set_mode (&sidecar->admission, mode, clock_monotonic_us ());
  log_event (LOG_LEVEL_INFO, "admission_mode", "mode=%s waiting=%zu",
             mode == ADMISSION_COST ? "cost" : "rank",
             sidecar->admission.queued);
}

void
sidecar_admission_count_refusal (const struct admission_queue_ticket *ticket,
                                 enum admit_refusal why)
{
  static struct counter *const counters[]
      = { [ADMIT_REFUSED_ABSENT] = &refused_absent,
          [ADMIT_REFUSED_DRAINING] = &refused_draining,
          [ADMIT_REFUSED_FULL] = &refused_full,
          [ADMIT_REFUSED_LATE] = &refused_late };
  bool for_load = why == ADMIT_REFUSED_FULL || why == ADMIT_REFUSED_LATE;
  counter_add (
      for_load && ticket->cost.over_share ? &refused_share : counters[why], 1);
}

uint64_t
sidecar_admission_retry_after_ms (struct sidecar *sidecar,
                                  struct sidecar_inbound *inbound)
{
  return admission_queue_retry_after_us (&sidecar->admission, &inbound->ticket,
                                         rng_unit (&sidecar->rng),
                                         clock_monotonic_us ())
         / 1000;
}

/// @return the name of the route whose kind this is, or NULL
static const char *
route_name (const struct sidecar *sidecar, uint32_t kind)
{
  const struct mesh_config *config = sidecar->config;
  for (size_t i = 0; config != NULL && i < config->route_count; i++)
    if ((uint32_t)hash_placement_string (config->routes[i].name) == kind)
      return config->routes[i].name;
  return NULL;
}

void
sidecar_admission_add_metrics (const struct sidecar *sidecar,
                               struct evbuffer *text)
{
  bool by_cost = admission_queue_mode (&sidecar->admission) == ADMISSION_COST;
  evbuffer_add_printf (text,
                       "# TYPE hawthornseam_gate_by_cost gauge\n"
                       "hawthornseam_gate_by_cost %d\n",
                       by_cost);
  if (!by_cost)
    return;
  evbuffer_add_printf (text,
                       "# TYPE hawthornseam_gate_kind_requests counter\n");
  for (size_t i = 0; i < SHED_COST_KINDS; i++)
    {
      const struct shed_cost_kind *kind = &sidecar->admission.cost.kinds[i];
      const char *name = route_name (sidecar, kind->kind);
      /* A name that would end the label's value early is left out. */
      if (!kind->used || name == NULL || strpbrk (name, "\"\\\n") != NULL)
        continue;
      evbuffer_add_printf (text,
                           "hawthornseam_gate_kind_requests{route=\"%s\",rank="
                           "\"%u\",end=\"served\"} "
                           "%" PRIu64 "\n"
                           "hawthornseam_gate_kind_requests{route=\"%s\",rank="
                           "\"%u\",end=\"refused\"} "
                           "%" PRIu64 "\n",
                           name, kind->rank, kind->served_total, name,
                           kind->rank, kind->refused_total);
    }
}
