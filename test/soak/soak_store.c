/// The store of a run, and the operator. Each version of the configuration
/// switches one route to the other of two services and adds a route.
#include "soak.h"

#include "../standin/platform_store.h"

/// Of a body; the large uploads have 2 MiB.
#define BODY_BYTES_MAX (4 * 1024 * 1024)

#define VERSIONS_MAX 512

/// Version numbers have gaps, as those of the platform's operators have.
#define VERSION_FIRST 10
#define VERSION_STEP 3

/// Interval of the copies that the store is restored from, in ticks of 100 ms.
#define COPY_TICKS 40

static struct http_server server;
static struct event lease_tick;
static uint64_t acknowledged_ms[VERSIONS_MAX];
static unsigned newest; ///< number of versions written

static void
on_request (void *arg, struct http_request *request)
{
  store_handle (request);
}

static const struct http_server_ops ops
    = { .request = on_request, .disconnected = on_store_request_closed };

static void
on_lease_tick (evutil_socket_t fd, short what, void *arg)
{
  static unsigned ticks;
  if (ticks++ % COPY_TICKS == 0)
    take_copy ();
  expire_leases (false);
}

enum status
soak_store_start (struct soak *soak)
{
  base = soak->base;
  rng_init (&store_rng, soak->options.seed + 1);
  event_assign (&lease_tick, base, -1, EV_PERSIST, on_lease_tick, NULL);
  event_add (&lease_tick, &(struct timeval){ 0, 100000 });
  return http_server_start (&server, base, SOAK_LOOPBACK,
                            (uint16_t)soak->options.base_port, &standin_limits,
                            &ops, soak);
}

void
soak_store_stop (struct soak *soak)
{
  abort_watches ();
  cancel_delayed_calls ();
  http_server_stop (&server);
  event_del (&lease_tick);
  free_items (items, item_count);
  free_items (copy.items, copy.item_count);
}

void
soak_store_set_unavailable (bool unavailable)
{
  store_faults.unavailable = unavailable;
  if (unavailable)
    abort_watches ();
}

void
soak_store_set_unresponsive (bool unresponsive)
{
  store_faults.unresponsive = unresponsive;
}

void
soak_store_set_slow (uint32_t ms)
{
  store_faults.slow_ms = ms;
}

void
soak_store_set_lossy (uint32_t permille)
{
  store_faults.lost_response_permille = permille;
}

void
soak_store_expire_leases (void)
{
  expire_leases (true);
}

void
soak_store_compact_history (void)
{
  compact_history ();
}

void
soak_store_restore (struct soak *soak)
{
  soak_log (soak, "store restored from revision %llu at %llu",
            (unsigned long long)copy.revision, (unsigned long long)revision);
  restore_and_rewrite ();
}

uint64_t
soak_store_calls (void)
{
  return store_calls;
}

size_t
soak_store_turn_service (unsigned version)
{
  return version % 2;
}

static void
write_route (struct evbuffer *text, const char *name, const char *prefix,
             const char *type, const char *service)
{
  evbuffer_add_printf (
      text,
      "%s{\"Name\":\"%s\",\"Host\":\"a.example\",\"Prefix\":\"%s\","
      "\"RouteType\":\"%s\",\"Timeout\":\"%dms\",\"TargetLatency\":\"300ms\","
      "\"Priority\":1,\"Service\":\"%s\",\"MaxAttempts\":2%s}",
      strcmp (name, "read") == 0 ? "" : ",", name, prefix, type,
      SOAK_TIMEOUT_MS, service,
      strcmp (name, "turn") == 0 ? ",\"NoAuth\":true" : "");
}

void
soak_store_next_version (struct soak *soak)
{
  if (newest + 1 >= VERSIONS_MAX)
    return;
  unsigned number = ++newest;
  struct evbuffer *text = evbuffer_new ();
  evbuffer_add_printf (text, "{\"Version\":\"%08x\",\"Routes\":[",
                       VERSION_FIRST + VERSION_STEP * number);
  write_route (text, "read", "/read/", "safe", soak_services[0]);
  write_route (text, "seal", "/seal/", "unsafe", soak_services[1]);
  write_route (text, "upload", "/upload/", "upload", soak_services[1]);
  write_route (text, "sheet", "/sheet/", "download", soak_services[2]);
  write_route (text, "turn", "/turn/", "safe",
               soak_services[soak_store_turn_service (number)]);
  for (unsigned i = 1; i <= number; i++)
    {
      char name[32];
      char prefix[32];
      snprintf (name, sizeof name, "added-%u", i);
      snprintf (prefix, sizeof prefix, "/v%u/", i);
      write_route (text, name, prefix, "safe", soak_services[0]);
    }
  evbuffer_add_printf (
      text,
      "],\"Services\":[{\"Name\":\"%s\"},{\"Name\":\"%s\"},"
      "{\"Name\":\"%s\"}],\"Limits\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":%d,\"HeaderTimeout\":\"3000ms\","
      "\"IdleTimeout\":\"15000ms\"},",
      soak_services[0], soak_services[1], soak_services[2], BODY_BYTES_MAX);
  soak_accounts_write (soak, number, text);
  evbuffer_add (text, "}", 1);
  put_text ("op/config", evbuffer_pullup (text, -1),
            evbuffer_get_length (text));
  evbuffer_free (text);
  acknowledged_ms[number] = clock_monotonic_ms ();
  soak_log (soak, "version %u acknowledged", number);
}

unsigned
soak_store_version_at (uint64_t when_ms)
{
  unsigned version = newest;
  while (version > 0 && acknowledged_ms[version] > when_ms)
    version--;
  return version;
}
