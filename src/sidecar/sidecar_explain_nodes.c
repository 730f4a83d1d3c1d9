/// Owns no state; shows placement's view of the nodes of a service.
#include "sidecar/sidecar_explain.h"

#include "coordination/placement_estimate.h"

/// Nodes that are listed. A service has up to some hundred; the answer stays
/// below 1 MiB.
#define LISTED_MAX 500

static const char *
obstacle_name (enum placement_obstacle obstacle)
{
  switch (obstacle)
    {
    case PLACEMENT_ELIGIBLE:
      return NULL;
    case PLACEMENT_OTHER_SERVICE:
      return "other-service";
    case PLACEMENT_TARGET_ABSENT:
      return "no-target";
    case PLACEMENT_TARGET_DRAINING:
      return "draining";
    case PLACEMENT_NODE_LEAVING:
      return "node-leaving";
    case PLACEMENT_ZONE_EVACUATED:
      return "zone-evacuated";
    case PLACEMENT_OTHER_VERSION:
      return "other-version";
    case PLACEMENT_LATER_IN_MOVE:
      return "later-in-move";
    case PLACEMENT_TRIED:
      return "tried";
    case PLACEMENT_FAILED_LATELY:
      return "failed-recently";
    }
  return "unknown";
}

static bool
is_compared (const struct placement_decision *decision, size_t handle)
{
  for (size_t i = 0; i < decision->compared_count; i++)
    if (decision->compared[i] == handle)
      return true;
  return false;
}

/// @return what the node reported last, or null
static json_t *
describe_report (const struct directory_load *load, uint64_t now_ms)
{
  if (load->reported_ms == 0)
    return json_null ();
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "age_ms",
                    (json_int_t)(now_ms - load->reported_ms), "running",
                    (json_int_t)load->running, "waiting",
                    (json_int_t)load->waiting, "service_us",
                    (json_int_t)load->service_us, "speed_percent",
                    (json_int_t)load->speed_percent, "usual_percent",
                    (json_int_t)load->usual_percent, "link_free_kbytes_per_s",
                    (json_int_t)load->link_free_kbytes_per_s);
}

static json_t *
describe_estimate (const struct placement_estimate *estimate)
{
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I}", "service_us",
                    (json_int_t)estimate->service_us, "queue_us",
                    (json_int_t)estimate->queue_us, "zone_us",
                    (json_int_t)estimate->zone_us, "body_us",
                    (json_int_t)estimate->body_us, "failure_us",
                    (json_int_t)estimate->failure_us, "total_us",
                    (json_int_t)placement_estimate_us (estimate));
}

static json_t *
describe_node (const struct sidecar *sidecar,
               const struct placement_request *request,
               const struct placement_decision *decision, size_t handle,
               uint64_t now_ms)
{
  const struct directory_record *record = &sidecar->directory.records[handle];
  const struct directory_load *load = &record->load;
  enum placement_obstacle obstacle
      = placement_obstacle (&sidecar->directory, request, handle, now_ms);
  bool eligible
      = obstacle == PLACEMENT_ELIGIBLE
        || (obstacle == PLACEMENT_FAILED_LATELY && decision->with_failed);
  json_t *estimated = json_null ();
  if (eligible)
    {
      struct placement_estimate estimate
          = placement_estimate (record, request, &decision->basis, now_ms);
      estimated = describe_estimate (&estimate);
    }
  return json_pack (
      "{s:s, s:s, s:s, s:i, s:b, s:s?, s:b, s:b, s:o, s:o, s:I, s:I, s:I, "
      "s:I, s:I, s:I}",
      "node", record->entry.node, "zone", record->entry.availability_zone,
      "version", record->entry.version, "slots", (int)record->entry.slots,
      "eligible", (int)eligible, "reason", obstacle_name (obstacle),
      "compared", (int)is_compared (decision, handle), "best",
      (int)(decision->best == handle), "report",
      describe_report (load, now_ms), "estimate", estimated, "in_flight",
      (json_int_t)load->in_flight, "sent_since_report",
      (json_int_t)load->sent_since_report, "failures_in_a_row",
      (json_int_t)load->failures, "failure_permille",
      (json_int_t)placement_error_permille (load, now_ms), "avoided_for_ms",
      (json_int_t)(load->down_until_ms > now_ms ? load->down_until_ms - now_ms
                                                : 0),
      "missing_for_ms",
      (json_int_t)(record->missing_ms == 0 ? 0 : now_ms - record->missing_ms));
}

json_t *
sidecar_explain_nodes (const struct sidecar *sidecar,
                       const struct placement_request *request,
                       const struct placement_decision *decision,
                       uint64_t now_ms, size_t *omitted)
{
  const struct directory *directory = &sidecar->directory;
  json_t *list = json_array ();
  *omitted = 0;
  for (size_t i = 0; i < decision->compared_count; i++)
    json_array_append_new (list,
                           describe_node (sidecar, request, decision,
                                          decision->compared[i], now_ms));
  for (size_t i = 0; i < directory->count; i++)
    {
      if (is_compared (decision, i)
          || placement_obstacle (directory, request, i, now_ms)
                 == PLACEMENT_OTHER_SERVICE)
        continue;
      if (json_array_size (list) < LISTED_MAX)
        json_array_append_new (
            list, describe_node (sidecar, request, decision, i, now_ms));
      else
        ++*omitted;
    }
  return list;
}

json_t *
sidecar_explain_decision (const struct sidecar *sidecar,
                          const struct placement_decision *decision)
{
  const struct directory_record *records = sidecar->directory.records;
  json_t *compared = json_array ();
  for (size_t i = 0; i < decision->compared_count; i++)
    json_array_append_new (
        compared, json_string (records[decision->compared[i]].entry.node));
  return json_pack (
      "{s:s?, s:o, s:b, s:b, s:I, s:f}", "best",
      decision->best == SIZE_MAX ? NULL : records[decision->best].entry.node,
      "compared", compared, "with_failed", (int)decision->with_failed,
      "with_speed", (int)decision->basis.with_speed, "typical_service_us",
      (json_int_t)decision->basis.typical.service_us, "typical_busy",
      decision->basis.typical.busy);
}
