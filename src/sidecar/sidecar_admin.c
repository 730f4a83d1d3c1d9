/// Owns no state; serves the readiness probe, the metrics and, at their
/// address, explanations.
#include "sidecar/sidecar_admission.h"
#include "sidecar/sidecar_explain.h"
#include "sidecar/sidecar_quota.h"
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "protocol/explain_query.h"

#include <inttypes.h>
#include <string.h>

bool
sidecar_is_ready (const struct sidecar *sidecar)
{
  return sidecar->config != NULL && !sidecar->stopping;
}

static void
on_ready (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  char id[DIRECTORY_NAME_MAX + 1];
  if (sidecar->adapter->classify (http_method_str (request->head->method),
                                  request->head->target, id)
      != ADAPTER_CALL_READY)
    http_reply (request, 404, NULL, "", 0);
  else
    http_reply (request, sidecar_is_ready (sidecar) ? 200 : 503, NULL, "", 0);
}

static void
on_disconnected (void *arg, struct http_request *request)
{
}

const struct http_server_ops sidecar_ready_ops
    = { .request = on_ready, .disconnected = on_disconnected };

static void
add_gauge (struct evbuffer *text, const char *name, uint64_t value)
{
  evbuffer_add_printf (text,
                       "# TYPE hawthornseam_%s gauge\n"
                       "hawthornseam_%s %" PRIu64 "\n",
                       name, name, value);
}

static void
add_histogram (struct evbuffer *text, const struct histogram *histogram)
{
  uint64_t count = 0;
  evbuffer_add_printf (text,
                       "# HELP hawthornseam_%s %s\n"
                       "# TYPE hawthornseam_%s histogram\n",
                       histogram->name, histogram->help, histogram->name);
  for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++)
    {
      count += histogram->buckets[i];
      evbuffer_add_printf (text,
                           "hawthornseam_%s_bucket{le=\"%u\"} %" PRIu64 "\n",
                           histogram->name, histogram_bound_ms (i), count);
    }
  count += histogram->buckets[HISTOGRAM_BOUNDS];
  evbuffer_add_printf (
      text,
      "hawthornseam_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "hawthornseam_%s_sum %" PRIu64 ".%03u\n"
      "hawthornseam_%s_count %" PRIu64 "\n",
      histogram->name, count, histogram->name, histogram->sum_us / 1000,
      (unsigned)(histogram->sum_us % 1000), histogram->name, count);
}

static void
on_metrics (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  if (explain_query_is (request->head->target))
    {
      sidecar_explain_serve (sidecar, request);
      return;
    }
  struct evbuffer *text = evbuffer_new ();
  for (const struct counter *counter = counter_first (); counter != NULL;
       counter = counter->next)
    evbuffer_add_printf (text,
                         "# HELP hawthornseam_%s %s\n"
                         "# TYPE hawthornseam_%s counter\n"
                         "hawthornseam_%s %" PRIu64 "\n",
                         counter->name, counter->help, counter->name,
                         counter->name, counter->value);
  for (const struct histogram *histogram = histogram_first ();
       histogram != NULL; histogram = histogram->next)
    add_histogram (text, histogram);
  add_gauge (text, "ready", sidecar_is_ready (sidecar));
  add_gauge (text, "config_version",
             sidecar->config == NULL ? 0 : sidecar->config->version);
  add_gauge (text, "store_away", sidecar_store_is_unreachable (sidecar));
  add_gauge (text, "store_era", sidecar->store_client.era);
  add_gauge (text, "view_revision", sidecar->store->as_of);
  add_gauge (text, "view_checked_ms_ago",
             clock_monotonic_ms () - sidecar->store->view_checked_ms);
  add_gauge (text, "gate_running", sidecar->admission.running);
  add_gauge (text, "gate_waiting", sidecar->admission.queued);
  add_gauge (text, "gate_service_us", sidecar->admission.mean_us);
  add_gauge (text, "target_speed_percent", sidecar->target.speed.percent);
  add_gauge (text, "target_usual_service_us",
             sidecar->target.speed.service_us);
  sidecar_admission_add_metrics (sidecar, text);
  add_gauge (text, "caller_connections", sidecar->calls.connections);
  add_gauge (text, "peer_connections", sidecar->peer_pool.connections);
  add_gauge (text, "target_connections", sidecar->target_pool.connections);
  sidecar_quota_metrics (sidecar, text);
  size_t size = evbuffer_get_length (text);
  http_reply (request, 200, "Content-Type: text/plain; version=0.0.4\r\n",
              evbuffer_pullup (text, -1), size);
  evbuffer_free (text);
}

const struct http_server_ops sidecar_metrics_ops
    = { .request = on_metrics, .disconnected = on_disconnected };
