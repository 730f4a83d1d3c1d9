/// Owns what is known of the own target: its announcement, its drain, and
/// whether its process is alive.
#include "node/node_call_parts.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <jansson.h>
#include <netinet/in.h>
#include <string.h>

#define PROBE_MS 500

/// The target announces itself every second. After this time without an
/// announcement its port is probed, and after a longer time it counts as down
/// although the port accepts: the process is frozen then.
#define QUIET_MS 3000
#define FROZEN_MS 10000

static struct counter crashes
    = COUNTER ("calls_target_crashes", "deaths of the own target's process");
static struct counter downs = COUNTER (
    "calls_target_downs", "times that the own target was announced as down");

static const char *const state_names[] = {
  [TARGET_ABSENT] = "absent",
  [TARGET_READY] = "ready",
  [TARGET_DRAINING] = "draining",
  [TARGET_DOWN] = "down",
};

/// @return identity of the death of the process that announced itself last;
/// the same however the death is noticed
static uint64_t
crash_identity (const struct node_calls *calls)
{
  uint64_t crash = hash_place_pair (calls->node->slot_id,
                                    hash_place_string (calls->own.boot_id));
  return crash == 0 ? 1 : crash;
}

/// Puts the announcement and the state in force and spreads them.
static void
apply_state (struct node_calls *calls, enum target_state state)
{
  struct own_target *own = &calls->own;
  log_event (LOG_LEVEL_INFO, "target_state",
             "service=%s version=%s from=%s to=%s admitted=%llu", own->service,
             own->version, state_names[own->state], state_names[state],
             (unsigned long long)node_call_runs_admitted ());
  own->state = state;
  if (state == TARGET_DOWN)
    counter_add (&downs, 1);
  uint64_t now = clock_monotonic_ms ();
  size_t slots = own->slots < own->connections ? own->slots : own->connections;
  calls->target.options.connections_max = own->connections;
  bool serves = state == TARGET_READY || state == TARGET_DRAINING;
  if (state == TARGET_DRAINING || calls->draining)
    admit_drain (&calls->admit);
  else
    admit_undrain (&calls->admit);
  admit_set_slots (&calls->admit, serves ? slots : 0, now);
  node_mesh_set_target (calls->node, own->service, own->version, own->slots,
                        state);
}

void
node_call_set_target_state (struct node_calls *calls, enum target_state state)
{
  if (calls->own.state != state)
    apply_state (calls, state);
}

static void
target_died (struct node_calls *calls)
{
  counter_add (&crashes, 1);
  log_event (LOG_LEVEL_WARNING, "target_died", "service=%s boot_id=%s",
             calls->own.service, calls->own.boot_id);
  node_call_runs_crashed (calls, crash_identity (calls),
                          clock_monotonic_ms ());
  call_client_forget (&calls->target, INADDR_LOOPBACK, calls->own.port);
}

static void
on_probe (void *arg, enum probe_result result)
{
  struct node_calls *calls = arg;
  calls->own.probe = NULL;
  if (result != PROBE_REFUSED)
    {
      if (clock_monotonic_ms () - calls->own.announced_ms > FROZEN_MS)
        node_call_set_target_state (calls, TARGET_DOWN);
      node_call_runs_probed (calls, 0);
      return;
    }
  if (calls->own.state == TARGET_DRAINING && calls->runs == NULL)
    {
      /* It has drained and exited. */
      node_call_set_target_state (calls, TARGET_ABSENT);
      return;
    }
  if (calls->own.state != TARGET_DOWN)
    target_died (calls);
  node_call_set_target_state (calls, TARGET_DOWN);
  node_call_runs_probed (calls, crash_identity (calls));
}

void
node_call_target_suspected (struct node_calls *calls)
{
  if (calls->own.probe != NULL)
    return;
  calls->own.probe
      = call_probe_start (calls->node->base, INADDR_LOOPBACK, calls->own.port,
                          PROBE_MS, on_probe, calls);
  if (calls->own.probe == NULL)
    node_call_runs_probed (calls, 0);
}

void
node_call_remember_lost (struct node_calls *calls, uint64_t fingerprint)
{
  size_t place = calls->lost_count++ % NODE_CALL_LOST_MAX;
  calls->lost[place]
      = (struct lost_call){ fingerprint, clock_monotonic_ms () };
}

void
node_call_target_tick (struct node_calls *calls, uint64_t now_ms)
{
  const struct own_target *own = &calls->own;
  if (own->state != TARGET_READY && own->state != TARGET_DRAINING)
    return;
  if (now_ms - own->announced_ms < QUIET_MS)
    return;
  /* A draining target stops its announcements; it is probed all the same, so
     that its exit is noticed. */
  if (own->state == TARGET_DRAINING && calls->runs != NULL)
    return;
  node_call_target_suspected (calls);
}

/// Fields of an announcement; strings are borrowed from the JSON object.
struct announcement
{
  const char *service;
  const char *version;
  const char *boot_id;
  int port;
  int slots;
  int connections;
};

/// @return NULL, or the text of the finding
static const char *
check_announcement (json_t *object, struct announcement *found)
{
  memset (found, 0, sizeof *found);
  if (json_unpack (object, "{s:s,s:s,s:s,s:i,s:i,s?i}", "service",
                   &found->service, "version", &found->version, "boot_id",
                   &found->boot_id, "port", &found->port, "slots",
                   &found->slots, "connections", &found->connections)
      != 0)
    return "service, version, boot_id, port and slots are needed";
  if (found->connections == 0)
    found->connections = found->slots;
  if (found->service[0] == '\0' || strlen (found->service) > MEMBER_NAME_MAX)
    return "service: 1 to 31 bytes";
  if (found->version[0] == '\0' || strlen (found->version) > MEMBER_NAME_MAX)
    return "version: 1 to 31 bytes";
  if (found->boot_id[0] == '\0'
      || strlen (found->boot_id) > NODE_CALL_BOOT_ID_MAX)
    return "boot_id: 1 to 64 bytes";
  if (found->port < 1 || found->port > 65535)
    return "port: 1 to 65535";
  if (found->slots < 1 || found->slots > ADMIT_SLOTS_MAX)
    return "slots: 1 to 1024";
  if (found->connections < 1 || found->connections > 65535)
    return "connections: 1 to 65535";
  return NULL;
}

/// A new process answers: calls of the one before were in a crash.
static void
notice_new_process (struct node_calls *calls)
{
  if (calls->own.state == TARGET_ABSENT)
    return;
  uint64_t now = clock_monotonic_ms ();
  bool lost = false;
  for (size_t i = 0; i < NODE_CALL_LOST_MAX; i++)
    lost = lost
           || (calls->lost[i].fingerprint != 0
               && now - calls->lost[i].lost_ms < NODE_CALL_LOST_MS);
  if (calls->own.state != TARGET_DOWN && (lost || calls->runs != NULL))
    target_died (calls);
  memset (calls->lost, 0, sizeof calls->lost);
  calls->lost_count = 0;
}

static void
take_announcement (struct node_calls *calls, const struct announcement *found)
{
  struct own_target *own = &calls->own;
  bool rebooted = strcmp (own->boot_id, found->boot_id) != 0;
  bool changed = rebooted || strcmp (own->service, found->service) != 0
                 || strcmp (own->version, found->version) != 0
                 || own->port != found->port || own->slots != found->slots
                 || own->connections != found->connections;
  if (rebooted)
    notice_new_process (calls);
  own->announced_ms = clock_monotonic_ms ();
  enum target_state state = own->state;
  if (rebooted || state != TARGET_DRAINING)
    state = calls->draining ? TARGET_DRAINING : TARGET_READY;
  if (!changed)
    {
      node_call_set_target_state (calls, state);
      return;
    }
  if (own->port != found->port && own->port != 0)
    call_client_forget (&calls->target, INADDR_LOOPBACK, own->port);
  strcpy (own->service, found->service);
  strcpy (own->version, found->version);
  strcpy (own->boot_id, found->boot_id);
  own->port = (uint16_t)found->port;
  own->slots = (uint16_t)found->slots;
  own->connections = (uint16_t)found->connections;
  apply_state (calls, state);
}

static void
handle_announcement (struct node_calls *calls, struct call_request *request)
{
  struct evbuffer *body = call_request_body (request);
  size_t size = evbuffer_get_length (body);
  json_t *object
      = json_loadb ((const char *)evbuffer_pullup (body, -1), size, 0, NULL);
  struct announcement found;
  const char *finding = object == NULL ? "the body is not JSON"
                                       : check_announcement (object, &found);
  if (finding == NULL)
    take_announcement (calls, &found);
  json_decref (object);
  const char *text = finding == NULL ? "ok" : finding;
  call_request_reply (request, finding == NULL ? 200 : 400, text,
                      strlen (text));
}

void
node_call_own_request (struct node_calls *calls, struct call_request *request)
{
  const char *uri = call_request_uri (request);
  enum evhttp_cmd_type method = call_request_method (request);
  if (!call_request_is_from (request, calls->node->settings.address))
    {
      node_call_refuse (calls, request, 403, CALL_NOT_RUN,
                        CALL_REASON_BAD_REQUEST);
      return;
    }
  if (strcmp (uri, CALL_PATH_TARGET) == 0 && method == EVHTTP_REQ_PUT
      && evbuffer_get_length (call_request_body (request)) > 0)
    {
      handle_announcement (calls, request);
      return;
    }
  if (strcmp (uri, CALL_PATH_DRAIN) == 0 && method == EVHTTP_REQ_POST)
    {
      if (calls->own.state == TARGET_READY)
        node_call_set_target_state (calls, TARGET_DRAINING);
      call_request_reply (request, 200, "draining", 8);
      return;
    }
  node_call_refuse (calls, request, 404, CALL_NOT_RUN, CALL_REASON_NO_ROUTE);
}
