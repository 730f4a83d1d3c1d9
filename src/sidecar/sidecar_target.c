/// Owns the state of the local target as seen by this node: its reports,
/// draining, and whether it is gone. Every change updates the admission queue
/// and the node's directory entry in the store.
#include "sidecar/sidecar_leave.h"

#include "base/clock.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/// A target whose last report is older than this many report intervals counts
/// as gone. Reports may be seconds late.
#define MISSED_REPORTS_MAX 5

/// A target that refused this many connections in a row counts as gone. A
/// single refusal may come from a connection limit.
#define CONNECT_REFUSALS_MAX 3

/// Longest time for which the acknowledgement of a leave waits for the store
/// alone; then other nodes are asked to hold its notice.
#define LEAVE_STORE_WAIT_MS 400

/// A leave that is not recorded anywhere by then is not acknowledged. Targets
/// wait a second.
#define LEAVE_ACK_WAIT_MS 900

static struct counter reports
    = COUNTER ("target_reports", "reports of the own target");
static struct counter stale = COUNTER (
    "target_reports_stale", "reports that a newer one had overtaken");
static struct counter malformed
    = COUNTER ("target_reports_malformed", "reports that cannot be read");
static struct counter overruled
    = COUNTER ("target_reports_overruled",
               "reports of a target whose leave was acknowledged earlier");
static struct counter unrecorded = COUNTER (
    "target_leaves_unrecorded",
    "leaves not acknowledged: neither the store nor a node could record them");

static const char *
state_name (const struct sidecar_target *target)
{
  if (!target->known || target->gone)
    return "absent";
  return target->draining ? "draining" : "ready";
}

void
sidecar_target_update (struct sidecar *sidecar)
{
  const struct sidecar_target *target = &sidecar->target;
  bool present = target->known && !target->gone;
  admission_queue_set_slots (&sidecar->admission,
                             present ? target->report.slots : 0,
                             clock_monotonic_us ());
  sidecar_inbound_tick (sidecar);
  log_event (LOG_LEVEL_INFO, "target_state",
             "state=%s instance=%s version=%s slots=%u report_age_ms=%" PRIu64
             " sequence=%" PRIu64,
             state_name (target), target->report.instance,
             target->report.version, target->report.slots,
             clock_monotonic_ms () - target->last_report_ms,
             target->report.sequence);
  sidecar_store_announce (sidecar);
}

void
sidecar_target_entry (const struct sidecar *sidecar,
                      struct directory_entry *entry)
{
  const struct sidecar_target *target = &sidecar->target;
  memset (entry, 0, sizeof *entry);
  strcpy (entry->node, sidecar->settings.node);
  strcpy (entry->availability_zone, sidecar->settings.availability_zone);
  strcpy (entry->service, target->report.service);
  strcpy (entry->version, target->report.version);
  strcpy (entry->instance, target->report.instance);
  entry->address = sidecar->settings.announced.address;
  entry->port = sidecar->settings.announced.port;
  entry->slots = target->report.slots;
  entry->cold_ms = target->cold_ms;
  entry->epoch = sidecar->epoch;
  entry->started_ms = target->report.started_ms;
  entry->leaving = target->draining;
  if (sidecar->stopping)
    entry->state = DIRECTORY_LEAVING;
  else if (!target->known || target->gone)
    entry->state = DIRECTORY_ABSENT;
  else
    entry->state = target->draining ? DIRECTORY_DRAINING : DIRECTORY_READY;
}

/// @return true when a report is newer than the last accepted one
static bool
is_newer (const struct sidecar_target *target,
          const struct target_report *report)
{
  if (target_history_judge (&target->history, report->instance,
                            report->started_ms)
      == TARGET_REPLACED)
    return false;
  if (!target->known)
    return true;
  if (report->started_ms != target->report.started_ms)
    return report->started_ms > target->report.started_ms;
  if (strcmp (report->instance, target->report.instance) != 0)
    return true;
  return report->sequence > target->report.sequence;
}

void
sidecar_target_limit_cold (struct sidecar *sidecar)
{
  const struct mesh_service *service
      = sidecar->config == NULL
            ? NULL
            : mesh_config_service (sidecar->config, sidecar->settings.service);
  cold_limit_set (&sidecar->target.cold,
                  service == NULL ? 0 : service->cold_per_s,
                  sidecar->settings.cold_slack);
}

bool
sidecar_target_is_evacuated (const struct sidecar *sidecar)
{
  return evacuation_contains (&sidecar->evacuations,
                              sidecar->settings.availability_zone);
}

void
sidecar_target_note_evacuation (struct sidecar *sidecar, bool was_evacuated)
{
  bool is_evacuated = sidecar_target_is_evacuated (sidecar);
  if (is_evacuated == was_evacuated)
    return;
  /* Without requests a target may have become cold. */
  if (!is_evacuated)
    cold_limit_suspect (&sidecar->target.cold, clock_monotonic_ms ());
  sidecar_inbound_tick (sidecar);
}

static void
apply_report (struct sidecar *sidecar, const struct target_report *report)
{
  struct sidecar_target *target = &sidecar->target;
  uint64_t now = clock_monotonic_ms ();
  bool first_report = !target->known;
  bool new_incarnation
      = first_report || report->started_ms != target->report.started_ms
        || strcmp (report->instance, target->report.instance) != 0;
  if (new_incarnation)
    {
      if (target->known && !target->draining)
        sidecar_crash_confirmed (sidecar);
      target->draining = false;
      target->cold_ms = report->cold_ms;
      target->speed = (struct target_speed){ .percent = 0 };
    }
  bool changed = new_incarnation || target->gone
                 || report->slots != target->report.slots
                 || strcmp (report->version, target->report.version) != 0;
  if (report->draining && !target->draining)
    {
      target->draining = true;
      /* An earlier process of this node may have acknowledged the leave long
         ago, so the target receives no further requests. */
      target->draining_ms = first_report ? 0 : now;
      changed = true;
    }
  target->report = *report;
  target->known = true;
  target->gone = false;
  target->refusals = 0;
  target->last_report_ms = now;
  cold_limit_report (&target->cold, report->cold_ms, now);
  if (changed)
    sidecar_target_update (sidecar);
}

static void
send_reply (struct http_request *request, unsigned status, const char *text)
{
  http_reply (request, status, "Content-Type: application/json\r\n", text,
              strlen (text));
}

void
sidecar_target_recorded (struct sidecar *sidecar)
{
  for (size_t i = 0; i < SIDECAR_LEAVE_ACKS_MAX; i++)
    {
      struct sidecar_leave_ack *ack = &sidecar->target.leave_acks[i];
      struct http_request *request = ack->request;
      ack->request = NULL;
      if (request != NULL)
        send_reply (request, 200, "{}");
    }
}

/// @return true when the store can record the leave soon: the entry names the
///         target, and the store answers
static bool
can_record_leave (const struct sidecar *sidecar)
{
  return sidecar->target.known && !sidecar_store_is_unreachable (sidecar);
}

/// Acknowledges a leave once the store or another node has it, so that the
/// next process of this node knows of it too.
static void
acknowledge_leave (struct sidecar *sidecar, struct http_request *request)
{
  bool is_recorded = sidecar->target.known
                     && sidecar_store_is_announced (sidecar)
                     && !sidecar_store_is_unreachable (sidecar);
  if (is_recorded
      || (!can_record_leave (sidecar) && sidecar_leave_replicate (sidecar)))
    {
      send_reply (request, 200, "{}");
      return;
    }
  for (size_t i = 0; i < SIDECAR_LEAVE_ACKS_MAX; i++)
    {
      struct sidecar_leave_ack *ack = &sidecar->target.leave_acks[i];
      if (ack->request != NULL)
        continue;
      *ack
          = (struct sidecar_leave_ack){ .request = request,
                                        .received_ms = clock_monotonic_ms () };
      return;
    }
  send_reply (request, 503, "{\"error\":\"too many reports wait\"}");
}

/// Looks for another place to record a leave that the store has not recorded,
/// and refuses its acknowledgement when there is none.
static void
tick_leave_acks (struct sidecar *sidecar, uint64_t now_ms)
{
  for (size_t i = 0; i < SIDECAR_LEAVE_ACKS_MAX; i++)
    {
      struct sidecar_leave_ack *ack = &sidecar->target.leave_acks[i];
      struct http_request *request = ack->request;
      if (request == NULL)
        continue;
      uint64_t waited_ms = now_ms - ack->received_ms;
      if (waited_ms >= LEAVE_ACK_WAIT_MS)
        {
          counter_add (&unrecorded, 1);
          log_event (LOG_LEVEL_WARNING, "leave_not_recorded",
                     "instance=%s waited_ms=%" PRIu64 " store_away=%d",
                     sidecar->target.report.instance, waited_ms,
                     sidecar_store_is_unreachable (sidecar));
          ack->request = NULL;
          send_reply (request, 503, "{\"error\":\"leave not recorded\"}");
        }
      else if (waited_ms >= LEAVE_STORE_WAIT_MS || !can_record_leave (sidecar))
        {
          if (sidecar_leave_replicate (sidecar))
            sidecar_target_recorded (sidecar);
        }
    }
}

static void
on_report (struct sidecar *sidecar, struct http_request *request,
           const char *instance)
{
  struct target_report report;
  size_t size = evbuffer_get_length (request->body);
  const char *body = (const char *)evbuffer_pullup (request->body, -1);
  counter_add (&reports, 1);
  if (sidecar->adapter->read_report (instance, body == NULL ? "" : body, size,
                                     &report)
      != STATUS_OK)
    {
      counter_add (&malformed, 1);
      log_event (LOG_LEVEL_WARNING, "target_report_malformed",
                 "instance=%s reason=\"%s\"", instance, status_message ());
      send_reply (request, 400, "{\"error\":\"malformed report\"}");
      return;
    }
  if (!report.draining
      && target_history_judge (&sidecar->target.history, instance,
                               report.started_ms)
             == TARGET_LEAVING)
    {
      counter_add (&overruled, 1);
      report.draining = true;
    }
  if (is_newer (&sidecar->target, &report))
    apply_report (sidecar, &report);
  else
    {
      counter_add (&stale, 1);
      log_event (LOG_LEVEL_INFO, "target_report_stale",
                 "instance=%s sequence=%" PRIu64 " known_instance=%s "
                 "known_sequence=%" PRIu64,
                 instance, report.sequence, sidecar->target.report.instance,
                 sidecar->target.report.sequence);
    }
  if (sidecar->target.draining)
    acknowledge_leave (sidecar, request);
  else
    send_reply (request, 200, "{}");
}

/// Handles the target's notice that it is about to end. Targets may send it
/// first and keep serving for a while, so it starts draining.
static void
on_leave (struct sidecar *sidecar, struct http_request *request,
          const char *instance)
{
  struct sidecar_target *target = &sidecar->target;
  if (!target->known)
    target_history_note_leave (&target->history, instance);
  else if (strcmp (target->report.instance, instance) == 0
           && !target->draining)
    {
      target->draining = true;
      target->draining_ms = clock_monotonic_ms ();
      sidecar_target_update (sidecar);
    }
  acknowledge_leave (sidecar, request);
}

static void
on_request (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  char instance[DIRECTORY_NAME_MAX + 1];
  char path[256];
  size_t size = strcspn (request->head->target, "?");
  if (size >= sizeof path)
    size = sizeof path - 1;
  memcpy (path, request->head->target, size);
  path[size] = '\0';
  switch (sidecar->adapter->classify (http_method_str (request->head->method),
                                      path, instance))
    {
    case ADAPTER_CALL_REPORT:
      on_report (sidecar, request, instance);
      break;
    case ADAPTER_CALL_LEAVE:
      on_leave (sidecar, request, instance);
      break;
    default:
      send_reply (request, 404, "{\"error\":\"no such call\"}");
      break;
    }
}

static void
on_disconnected (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  for (size_t i = 0; i < SIDECAR_LEAVE_ACKS_MAX; i++)
    if (sidecar->target.leave_acks[i].request == request)
      sidecar->target.leave_acks[i].request = NULL;
}

const struct http_server_ops sidecar_report_ops
    = { .request = on_request, .disconnected = on_disconnected };

static void
mark_gone (struct sidecar *sidecar)
{
  sidecar->target.gone = true;
  sidecar_target_update (sidecar);
}

void
sidecar_target_refused (struct sidecar *sidecar)
{
  struct sidecar_target *target = &sidecar->target;
  /* It may have been restarted, and then is cold. */
  cold_limit_suspect (&target->cold, clock_monotonic_ms ());
  if (++target->refusals < CONNECT_REFUSALS_MAX || !target->known
      || target->gone)
    return;
  if (!target->draining)
    sidecar_crash_confirmed (sidecar);
  mark_gone (sidecar);
}

void
sidecar_target_tick (struct sidecar *sidecar)
{
  struct sidecar_target *target = &sidecar->target;
  uint64_t now = clock_monotonic_ms ();
  uint64_t report_age_max_ms
      = (uint64_t)MISSED_REPORTS_MAX * sidecar->settings.heartbeat_ms;
  if (target->known && !target->gone
      && now - target->last_report_ms > report_age_max_ms)
    mark_gone (sidecar);
  tick_leave_acks (sidecar, now);
}

void
sidecar_target_restore (struct sidecar *sidecar,
                        const struct directory_entry *entry)
{
  struct sidecar_target *target = &sidecar->target;
  target_history_restore (&target->history, entry);
  if (!target->known || target->gone || target->draining)
    return;
  switch (target_history_judge (&target->history, target->report.instance,
                                target->report.started_ms))
    {
    case TARGET_CURRENT:
      return;
    case TARGET_LEAVING:
      target->draining = true;
      target->draining_ms = 0;
      sidecar_target_update (sidecar);
      return;
    case TARGET_REPLACED:
      mark_gone (sidecar);
      return;
    }
}
