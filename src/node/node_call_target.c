/// State of the own target: announcements, drain, and detection of the death
/// of its process.
#include "node/node_call_internal.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <jansson.h>
#include <netinet/in.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 500

/// The target announces itself every second. Its port is probed when there was
/// no announcement for ANNOUNCEMENT_TIMEOUT_MS. After FROZEN_TIMEOUT_MS the
/// target counts as down even if its port accepts connections, because then
/// its process is frozen.
#define ANNOUNCEMENT_TIMEOUT_MS 3000
#define FROZEN_TIMEOUT_MS 10000

static struct counter target_crashes
    = COUNTER ("calls_target_crashes", "deaths of the own target's process");
static struct counter target_downs = COUNTER (
    "calls_target_downs", "times that the own target was announced as down");

static const char *const state_names[] = {
  [TARGET_ABSENT] = "absent",
  [TARGET_READY] = "ready",
  [TARGET_DRAINING] = "draining",
  [TARGET_DOWN] = "down",
};

/// @return id of the crash of the process that announced itself last, not 0;
/// the same id no matter how the crash is detected
static uint64_t
crash_id (const struct node_calls *calls)
{
  uint64_t crash = hash_placement_pair (
      calls->node->slot_id, hash_placement_string (calls->own_target.boot_id));
  return crash == 0 ? 1 : crash;
}

/// Applies the announced values and a state, and publishes them to the
/// members.
static void
apply_state (struct node_calls *calls, enum target_state state)
{
  struct own_target *own = &calls->own_target;
  log_event (LOG_LEVEL_INFO, "target_state",
             "service=%s version=%s from=%s to=%s admitted=%llu", own->service,
             own->version, state_names[own->state], state_names[state],
             (unsigned long long)node_call_inbound_admitted ());
  own->state = state;
  if (state == TARGET_DOWN)
    counter_add (&target_downs, 1);
  uint64_t now = clock_monotonic_ms ();
  size_t slots = own->slots < own->connections ? own->slots : own->connections;
  calls->target_client.options.connections_max = own->connections;
  bool accepts_calls = state == TARGET_READY || state == TARGET_DRAINING;
  if (state == TARGET_DRAINING || calls->draining)
    admit_drain (&calls->admit);
  else
    admit_undrain (&calls->admit);
  admit_set_slots (&calls->admit, accepts_calls ? slots : 0, now);
  node_mesh_set_target (calls->node, own->service, own->version, own->slots,
                        state);
}

void
node_call_set_target_state (struct node_calls *calls, enum target_state state)
{
  if (calls->own_target.state != state)
    apply_state (calls, state);
}

static void
record_crash (struct node_calls *calls)
{
  counter_add (&target_crashes, 1);
  log_event (LOG_LEVEL_WARNING, "target_died", "service=%s boot_id=%s",
             calls->own_target.service, calls->own_target.boot_id);
  node_call_inbound_crashed (calls, crash_id (calls), clock_monotonic_ms ());
  call_client_close_idle (&calls->target_client, INADDR_LOOPBACK,
                          calls->own_target.port);
}

static void
on_probe (void *arg, enum probe_result result)
{
  struct node_calls *calls = arg;
  calls->own_target.probe = NULL;
  if (result != PROBE_REFUSED)
    {
      if (clock_monotonic_ms () - calls->own_target.announced_ms
          > FROZEN_TIMEOUT_MS)
        node_call_set_target_state (calls, TARGET_DOWN);
      node_call_inbound_probed (calls, 0);
      return;
    }
  if (calls->own_target.state == TARGET_DRAINING && calls->inbound == NULL)
    {
      /* The target has drained and exited. */
      node_call_set_target_state (calls, TARGET_ABSENT);
      return;
    }
  if (calls->own_target.state != TARGET_DOWN)
    record_crash (calls);
  node_call_set_target_state (calls, TARGET_DOWN);
  node_call_inbound_probed (calls, crash_id (calls));
}

void
node_call_probe_target (struct node_calls *calls)
{
  if (calls->own_target.probe != NULL)
    return;
  calls->own_target.probe = call_probe_start (
      calls->node->base, INADDR_LOOPBACK, calls->own_target.port,
      PROBE_TIMEOUT_MS, on_probe, calls);
  if (calls->own_target.probe == NULL)
    node_call_inbound_probed (calls, 0);
}

void
node_call_record_lost (struct node_calls *calls, uint64_t fingerprint)
{
  size_t index = calls->lost_count++ % NODE_CALL_LOST_MAX;
  calls->lost[index]
      = (struct lost_call){ fingerprint, clock_monotonic_ms () };
}

void
node_call_target_tick (struct node_calls *calls, uint64_t now_ms)
{
  const struct own_target *own = &calls->own_target;
  if (own->state != TARGET_READY && own->state != TARGET_DRAINING)
    return;
  if (now_ms - own->announced_ms < ANNOUNCEMENT_TIMEOUT_MS)
    return;
  /* A draining target stops its announcements. Once its calls have ended it is
     probed, so that its exit is noticed. */
  if (own->state == TARGET_DRAINING && calls->inbound != NULL)
    return;
  node_call_probe_target (calls);
}

/// Fields of an announcement; strings are borrowed from the JSON object.
struct announcement
{
  const char *service;
  const char *version;
  const char *boot_id;
  json_int_t port;
  json_int_t slots;
  json_int_t connections;
};

/// Reads and validates an announcement.
/// @return NULL, or the error message
static const char *
read_announcement (json_t *object, struct announcement *announced)
{
  memset (announced, 0, sizeof *announced);
  if (json_unpack (object, "{s:s,s:s,s:s,s:I,s:I,s?I}", "service",
                   &announced->service, "version", &announced->version,
                   "boot_id", &announced->boot_id, "port", &announced->port,
                   "slots", &announced->slots, "connections",
                   &announced->connections)
      != 0)
    return "service, version and boot_id (strings), port and slots (numbers) "
           "are required; connections must be a number";
  if (announced->connections == 0)
    announced->connections = announced->slots;
  if (announced->service[0] == '\0'
      || strlen (announced->service) > MEMBER_NAME_MAX)
    return "service must have 1 to 31 bytes";
  if (announced->version[0] == '\0'
      || strlen (announced->version) > MEMBER_NAME_MAX)
    return "version must have 1 to 31 bytes";
  if (announced->boot_id[0] == '\0'
      || strlen (announced->boot_id) > NODE_CALL_BOOT_ID_MAX)
    return "boot_id must have 1 to 64 bytes";
  if (announced->port < 1 || announced->port > 65535)
    return "port must be 1 to 65535";
  if (announced->slots < 1 || announced->slots > ADMIT_SLOTS_MAX)
    return "slots must be 1 to 1024";
  if (announced->connections < 1 || announced->connections > 65535)
    return "connections must be 1 to 65535";
  return NULL;
}

/// Called when a new boot id is announced. Records a crash of the previous
/// process if calls were in progress at it or were lost shortly before.
static void
detect_restart (struct node_calls *calls)
{
  if (calls->own_target.state == TARGET_ABSENT)
    return;
  uint64_t now = clock_monotonic_ms ();
  bool call_lost = false;
  for (size_t i = 0; i < NODE_CALL_LOST_MAX; i++)
    call_lost = call_lost
                || (calls->lost[i].fingerprint != 0
                    && now - calls->lost[i].lost_ms < NODE_CALL_LOST_MS);
  if (calls->own_target.state != TARGET_DOWN
      && (call_lost || calls->inbound != NULL))
    record_crash (calls);
  memset (calls->lost, 0, sizeof calls->lost);
  calls->lost_count = 0;
}

static void
apply_announcement (struct node_calls *calls,
                    const struct announcement *announced)
{
  struct own_target *own = &calls->own_target;
  bool restarted = strcmp (own->boot_id, announced->boot_id) != 0;
  bool changed = restarted || strcmp (own->service, announced->service) != 0
                 || strcmp (own->version, announced->version) != 0
                 || own->port != announced->port
                 || own->slots != announced->slots
                 || own->connections != announced->connections;
  if (restarted)
    detect_restart (calls);
  own->announced_ms = clock_monotonic_ms ();
  enum target_state state = own->state;
  if (restarted || state != TARGET_DRAINING)
    state = calls->draining ? TARGET_DRAINING : TARGET_READY;
  if (!changed)
    {
      node_call_set_target_state (calls, state);
      return;
    }
  if (own->port != announced->port && own->port != 0)
    call_client_close_idle (&calls->target_client, INADDR_LOOPBACK, own->port);
  strcpy (own->service, announced->service);
  strcpy (own->version, announced->version);
  strcpy (own->boot_id, announced->boot_id);
  own->port = (uint16_t)announced->port;
  own->slots = (uint16_t)announced->slots;
  own->connections = (uint16_t)announced->connections;
  apply_state (calls, state);
}

static void
handle_announcement (struct node_calls *calls, struct call_request *request)
{
  struct evbuffer *body = call_request_body (request);
  size_t size = evbuffer_get_length (body);
  json_t *object
      = json_loadb ((const char *)evbuffer_pullup (body, -1), size, 0, NULL);
  struct announcement announced;
  const char *error = object == NULL ? "the body is not valid JSON"
                                     : read_announcement (object, &announced);
  if (error == NULL)
    apply_announcement (calls, &announced);
  json_decref (object);
  const char *text = error == NULL ? "ok" : error;
  call_request_reply (request, error == NULL ? 200 : 400, text, strlen (text));
}

void
node_call_target_request (struct node_calls *calls,
                          struct call_request *request)
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
      if (calls->own_target.state == TARGET_READY)
        node_call_set_target_state (calls, TARGET_DRAINING);
      call_request_reply (request, 200, "draining", 8);
      return;
    }
  node_call_refuse (calls, request, 404, CALL_NOT_RUN, CALL_REASON_NO_ROUTE);
}
