/// Owns the count of explanations; see sidecar_explain.h.
#include "sidecar/sidecar_explain.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "protocol/explain_query.h"
#include "sidecar/sidecar_account.h"
#include "sidecar/sidecar_inbound.h"
#include "sidecar/sidecar_move.h"
#include "sidecar/sidecar_outbound.h"
#include "sidecar/sidecar_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Prefixes that are listed when a host has no route for a path.
#define PREFIXES_MAX 50

/// The only count that an explanation changes.
static struct counter explanations
    = COUNTER ("explanations", "explanations of a placement for operators");

static struct log_rate_limit log_limit = { .per_second = 5 };

/// What is asked, and the state that answers it.
struct explanation
{
  struct sidecar *sidecar;
  const struct explain_query *query;
  const struct mesh_route *route;
  const struct client_account *account; ///< NULL: none
  const char *service;
  uint32_t kind;
  uint32_t rank;
  uint32_t deadline_ms;  ///< of the caller
  uint32_t objective_ms; ///< left
  uint64_t now_ms;
};

/// Sends JSON and releases it.
static void
send_json (struct http_request *request, unsigned status, json_t *value)
{
  char *text = value == NULL ? NULL : json_dumps (value, JSON_COMPACT);
  json_decref (value);
  if (text == NULL)
    http_reply (request, 500, NULL, "", 0);
  else
    http_reply (request, status, "Content-Type: application/json\r\n", text,
                strlen (text));
  free (text);
}

static void
send_error (struct http_request *request, unsigned status, const char *name,
            const char *message)
{
  send_json (request, status,
             json_pack ("{s:s, s:s}", "status", name, "message", message));
}

/// @return configuration and age of the view
static json_t *
describe_view (const struct sidecar *sidecar, uint64_t now_ms)
{
  const struct sidecar_store *store = sidecar->store;
  char version[17];
  snprintf (version, sizeof version, "%" PRIx64, sidecar->config->version);
  return json_pack (
      "{s:s, s:s, s:s, s:I, s:o, s:b, s:b, s:b}", "node",
      sidecar->settings.node, "zone", sidecar->settings.availability_zone,
      "config_version", version, "config_age_ms",
      (json_int_t)(now_ms - sidecar->config_ms), "view_age_ms",
      store->caught_up
          ? json_integer ((json_int_t)(now_ms - store->view_checked_ms))
          : json_null (),
      "view_current", (int)sidecar_store_is_current (sidecar),
      "store_unreachable", (int)sidecar_store_is_unreachable (sidecar),
      "stopping", (int)sidecar->stopping);
}

/// Answers that no route matches, with those that the host has.
static void
send_no_route (const struct sidecar *sidecar, struct http_request *request,
               const struct explain_query *query, uint64_t now_ms)
{
  size_t count;
  const struct mesh_route *first
      = mesh_config_host (sidecar->config, query->host, &count);
  json_t *prefixes = json_array ();
  for (size_t i = 0; i < count && i < PREFIXES_MAX; i++)
    json_array_append_new (prefixes, json_string (first[i].prefix));
  send_json (
      request, 404,
      json_pack ("{s:s, s:s, s:o, s:I, s:o}", "status", "no-route", "message",
                 count == 0 ? "no route has this host"
                            : "no route of this host has a prefix of "
                              "this path",
                 "prefixes", prefixes, "prefixes_total", (json_int_t)count,
                 "view", describe_view (sidecar, now_ms)));
}

static const char *
retry_class_name (enum mesh_retry_class retry_class)
{
  switch (retry_class)
    {
    case MESH_IDEMPOTENT:
      return "idempotent";
    case MESH_DOWNLOAD:
      return "download";
    case MESH_NON_IDEMPOTENT:
      break;
    }
  return "non-idempotent";
}

static json_t *
describe_route (const struct explanation *explanation)
{
  const struct mesh_route *route = explanation->route;
  return json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:b}",
                    "name", route->name, "host", route->host, "prefix",
                    route->prefix, "type",
                    retry_class_name (route->retry_class), "timeout_ms",
                    (json_int_t)route->timeout_ms, "objective_ms",
                    (json_int_t)route->objective_ms, "objective_left_ms",
                    (json_int_t)explanation->objective_ms, "deadline_ms",
                    (json_int_t)explanation->deadline_ms, "attempts_max",
                    (json_int_t)route->attempts_max, "needs_key",
                    (int)(explanation->sidecar->config->accounts.required
                          && !route->no_key));
}

static const char *
phase_name (const struct service_move *move)
{
  if (!move->has_record)
    return "ordered";
  switch (move->record.phase)
    {
    case MOVE_PHASE_RUNNING:
      return "running";
    case MOVE_PHASE_DONE:
      return "done";
    case MOVE_PHASE_ROLLED_BACK:
      break;
    }
  return "rolled-back";
}

/// @param version  that was chosen
static json_t *
describe_version (const struct explanation *explanation,
                  const struct placement_version *version)
{
  const struct service_move *move
      = sidecar_move_find (explanation->sidecar, explanation->service);
  json_t *described = json_null ();
  if (move != NULL && (move->has_order || move->has_record))
    described = json_pack (
        "{s:s, s:s, s:I}", "to",
        move->has_record ? move->record.to_version : move->order.to_version,
        "phase", phase_name (move), "share_bp",
        (json_int_t)(move->has_record ? move->record.share_bp : 0));
  return json_pack ("{s:s?, s:b, s:o}", "name", version->name, "excluded",
                    (int)version->exclude, "move", described);
}

static json_t *
describe_rank (const struct explanation *explanation)
{
  const struct client_account *account = explanation->account;
  bool of_account = account != NULL && account->has_priority;
  return json_pack (
      "{s:I, s:s, s:I, s:o}", "value", (json_int_t)explanation->rank, "from",
      of_account ? "account, then route" : "route", "route_priority",
      (json_int_t)explanation->route->priority, "account_priority",
      of_account ? json_integer ((json_int_t)account->priority)
                 : json_null ());
}

static json_t *
describe_account (const struct explanation *explanation)
{
  if (explanation->account == NULL)
    return json_null ();
  return json_pack (
      "{s:s, s:o}", "name", explanation->account->name, "quota",
      sidecar_quota_explain (explanation->sidecar, explanation->account));
}

static json_t *
describe_retry (const struct explanation *explanation)
{
  const struct retry_quota_table *table = &explanation->sidecar->retry_quotas;
  return json_pack (
      "{s:b, s:I}", "budget_allows",
      (int)retry_quota_would_allow (table, explanation->service),
      "millitokens",
      (json_int_t)retry_quota_millitokens (table, explanation->service));
}

/// Adds what admission control beside the own target would do.
static void
preview_admission (const struct explanation *explanation, json_t *target)
{
  const struct sidecar *sidecar = explanation->sidecar;
  uint32_t timeout_ms = explanation->route->timeout_ms;
  struct admission_queue_work work = {
    .kind = explanation->kind,
    .rank = explanation->rank,
    .objective_ms = explanation->now_ms + explanation->objective_ms,
    .deadline_ms
    = explanation->now_ms
      + (timeout_ms < explanation->deadline_ms ? timeout_ms
                                               : explanation->deadline_ms),
    .account = sidecar_account_hash (
        explanation->account == NULL ? NULL : explanation->account->name),
  };
  struct admission_preview preview;
  if (admission_queue_preview (&sidecar->admission, &work,
                               explanation->now_ms * 1000, &preview)
      != STATUS_OK)
    return;
  bool refused = preview.state == ADMIT_OVER;
  json_object_set_new (target, "result",
                       json_string (refused ? "refuse"
                                    : preview.state == ADMIT_RUNNING
                                        ? "run"
                                        : "wait"));
  if (refused)
    json_object_set_new (target, "reason",
                         json_string (call_refusal_reason (preview.why)));
  json_object_set_new (target, "expected_service_us",
                       json_integer ((json_int_t)preview.service_us));
  json_object_set_new (target, "expected_wait_us",
                       json_integer ((json_int_t)preview.wait_us));
  json_object_set_new (target, "over_share",
                       json_boolean (preview.over_share));
}

static json_t *
describe_own_target (const struct explanation *explanation)
{
  const struct sidecar *sidecar = explanation->sidecar;
  const struct sidecar_target *target = &sidecar->target;
  const struct admission_queue *queue = &sidecar->admission;
  struct hop hop = { .rank = explanation->rank };
  strcpy (hop.service, target->report.service);
  strcpy (hop.version, target->report.version);
  const char *reason
      = sidecar_inbound_refusal (sidecar, &hop, explanation->now_ms);
  if (strcmp (sidecar->settings.service, explanation->service) != 0)
    reason = "other-service";
  json_t *described = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:I, s:s, s:s?}", "service",
      sidecar->settings.service, "version", target->report.version, "policy",
      admission_queue_mode (queue) == ADMISSION_COST ? "cost" : "rank",
      "slots", (json_int_t)queue->slots, "running", (json_int_t)queue->running,
      "waiting", (json_int_t)queue->queued, "result",
      reason == NULL ? "unknown" : "refuse", "reason", reason);
  if (reason == NULL && described != NULL)
    preview_admission (explanation, described);
  return described;
}

/// @return what this node would do with the request
static const char *
result_name (const struct explanation *explanation,
             const struct placement_decision *decision)
{
  const struct sidecar *sidecar = explanation->sidecar;
  if (sidecar->config->accounts.required && !explanation->route->no_key
      && explanation->account == NULL)
    return "key-needed";
  return decision->best == SIZE_MAX ? "no-node" : "send";
}

static json_t *
explain (const struct explanation *explanation)
{
  struct sidecar *sidecar = explanation->sidecar;
  struct rng rng = sidecar->rng;
  struct placement_request request;
  struct placement_decision decision;
  size_t omitted;
  sidecar_outbound_describe (
      sidecar, explanation->service, explanation->route->retry_class,
      explanation->objective_ms, explanation->query->body_bytes, &request);
  sidecar_move_preview (sidecar, explanation->service, explanation->kind, &rng,
                        &request.version);
  placement_decide (&sidecar->directory, &request, &rng, explanation->now_ms,
                    &decision);
  log_rate_limited (
      &log_limit, LOG_LEVEL_INFO, "explained",
      "host=%.64s path=%.96s route=%s service=%s result=%s "
      "node=%s",
      explanation->query->host, explanation->query->path,
      explanation->route->name, explanation->service,
      result_name (explanation, &decision),
      decision.best == SIZE_MAX
          ? "-"
          : sidecar->directory.records[decision.best].entry.node);
  json_t *nodes = sidecar_explain_nodes (sidecar, &request, &decision,
                                         explanation->now_ms, &omitted);
  return json_pack (
      "{s:s, s:o, s:o, s:s, s:o, s:o, s:o, s:o, s:o, s:o, s:I, s:o}", "result",
      result_name (explanation, &decision), "view",
      describe_view (sidecar, explanation->now_ms), "route",
      describe_route (explanation), "service", explanation->service, "version",
      describe_version (explanation, &request.version), "rank",
      describe_rank (explanation), "account", describe_account (explanation),
      "retry", describe_retry (explanation), "placement",
      sidecar_explain_decision (sidecar, &decision), "nodes", nodes,
      "nodes_omitted", (json_int_t)omitted, "own_target",
      describe_own_target (explanation));
}

void
sidecar_explain_serve (struct sidecar *sidecar, struct http_request *request)
{
  struct explain_query query;
  uint64_t now = clock_monotonic_ms ();
  counter_add (&explanations, 1);
  if (request->head->method != HTTP_GET)
    {
      send_error (request, 405, "method", "only GET is answered");
      return;
    }
  if (explain_query_read (request->head->target, &query) != STATUS_OK)
    {
      send_error (request, 400, "malformed", status_message ());
      return;
    }
  if (sidecar->config == NULL)
    {
      send_error (request, 503, "not-ready", "no configuration is known");
      return;
    }
  const struct mesh_route *route
      = mesh_config_find (sidecar->config, query.host, query.path);
  if (route == NULL)
    {
      send_no_route (sidecar, request, &query, now);
      return;
    }
  const struct client_account *account
      = query.account[0] == '\0'
            ? NULL
            : client_account_by_name (&sidecar->config->accounts,
                                      query.account);
  if (query.account[0] != '\0' && account == NULL)
    {
      send_error (request, 404, "no-account",
                  "the configuration has no account of this name");
      return;
    }
  struct explanation explanation = {
    .sidecar = sidecar,
    .query = &query,
    .route = route,
    /* Requests of a route without keys have no account. */
    .account = route->no_key ? NULL : account,
    .service = mesh_route_next (route),
    .kind = (uint32_t)hash_placement_string (route->name),
    .now_ms = now,
    .deadline_ms = query.deadline_ms == 0 ? route->timeout_ms
                   : query.deadline_ms < CALL_DEADLINE_MAX_MS
                       ? query.deadline_ms
                       : CALL_DEADLINE_MAX_MS,
  };
  explanation.rank
      = sidecar_account_rank (sidecar, explanation.account, route);
  explanation.objective_ms
      = mesh_route_objective_ms (route, explanation.deadline_ms);
  send_json (request, 200, explain (&explanation));
}
