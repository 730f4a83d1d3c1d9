/// Stand-in for a target: an HTTP server with slots, cold start, drain and
/// injected faults. It announces itself to its local node.
#include "target_work.h"

#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <unistd.h>

/// A drained target exits after this long without a call, so that the response
/// written last still reaches the node.
#define EXIT_IDLE_MS 100

static void
reply_json (struct evhttp_request *request, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s\n", text);
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
  free (text);
  json_decref (object);
}

/// Serves the control paths, which tests read.
static void
serve_control (struct target *target, struct evhttp_request *request,
               const char *path)
{
  if (strcmp (path, "/_control/executions") == 0)
    {
      json_t *counts = json_object ();
      for (size_t i = 0; i < EXECUTION_BUCKETS; i++)
        for (struct execution *e = target->executions[i]; e != NULL;
             e = e->next)
          json_object_set_new (counts, e->key, json_integer (e->count));
      reply_json (request, counts);
      return;
    }
  if (strcmp (path, "/_control/stats") == 0)
    {
      reply_json (
          request,
          json_pack (
              "{s:I,s:I,s:I,s:I,s:i,s:i,s:I,s:s,s:s}", "served",
              (json_int_t)target->served, "shed", (json_int_t)target->shed,
              "failed", (json_int_t)target->failed, "cancelled",
              (json_int_t)target->cancelled, "in_use", (int)target->in_use,
              "most_in_use", (int)target->most_in_use, "after_drain",
              (json_int_t)target->after_drain, "version",
              target->options.version, "boot_id", target->boot_id));
      return;
    }
  evhttp_send_error (request, 404, NULL);
}

/// @return true if the query or the body of a request begins with `safe`; such
///         a request does not crash the target
static bool
is_marked_safe (struct evhttp_request *request)
{
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  return (query != NULL && strncmp (query, "safe", 4) == 0)
         || (evbuffer_get_length (body) >= 4
             && memcmp (evbuffer_pullup (body, 4), "safe", 4) == 0);
}

static void
serve (struct evhttp_request *request, void *arg)
{
  struct target *target = arg;
  const struct target_options *options = &target->options;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  if (strncmp (path, "/_control/", 10) == 0)
    {
      serve_control (target, request, path);
      return;
    }
  if (strcmp (path, "/health") == 0 || strcmp (path, "/load") == 0)
    {
      reply_json (request,
                  json_pack ("{s:s,s:i,s:i}", "status", "ok", "in_use",
                             (int)target_reported_load (target), "slots",
                             options->slots));
      return;
    }
  size_t length = strlen (path);
  if (length >= 6 && strcmp (path + length - 6, "/crash") == 0
      && !is_marked_safe (request))
    _exit (3);
  if (target->drain_ms != 0
      && clock_monotonic_ms () - target->drain_ms >= 3000)
    target->after_drain++;
  if (target->in_use >= (unsigned)options->slots)
    {
      target->shed++;
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Hawthornseam-Outcome", "not-run");
      evhttp_send_reply (request, 503, "No free slot", NULL);
      return;
    }
  work_start (target, request);
}

/// A request to the local node, on a connection of its own.
struct message
{
  struct target *target;
  struct evhttp_connection *connection;
  bool drain;
};

static void
free_message (evutil_socket_t fd, short what, void *arg)
{
  struct message *message = arg;
  evhttp_connection_free (message->connection);
  free (message);
}

static void
message_done (struct evhttp_request *answer, void *arg)
{
  struct message *message = arg;
  /* Without a response the node is down and forwards no calls either. */
  if (message->drain)
    message->target->drain_reported = true;
  /* evhttp uses the connection until this callback has returned. */
  event_base_once (message->target->base, -1, EV_TIMEOUT, free_message,
                   message, NULL);
}

static void
send_to_node (struct target *target, enum evhttp_cmd_type method,
              const char *path, json_t *object)
{
  struct message *message = calloc (1, sizeof *message);
  if (message == NULL)
    abort ();
  message->target = target;
  message->drain = method == EVHTTP_REQ_POST;
  message->connection = evhttp_connection_base_new (
      target->base, NULL, "127.0.0.1", (uint16_t)target->options.node_port);
  evhttp_connection_set_timeout (message->connection, 2);
  struct evhttp_request *request = evhttp_request_new (message_done, message);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", "node");
  evhttp_add_header (headers, "Content-Type", "application/json");
  evhttp_add_header (headers, "Connection", "close");
  char *text = json_dumps (object, JSON_COMPACT);
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", text);
  free (text);
  json_decref (object);
  evhttp_make_request (message->connection, request, method, path);
}

static json_t *
announcement (const struct target *target)
{
  const struct target_options *options = &target->options;
  return json_pack ("{s:s,s:s,s:i,s:i,s:i,s:s}", "service", options->service,
                    "version", options->version, "port", options->port,
                    "slots", options->slots, "connections",
                    options->connections, "boot_id", target->boot_id);
}

static void
announce (evutil_socket_t fd, short what, void *arg)
{
  struct target *target = arg;
  if (target->drain_ms == 0)
    send_to_node (target, EVHTTP_REQ_PUT, "/_hawthornseam/target",
                  announcement (target));
}

static void
sample (evutil_socket_t fd, short what, void *arg)
{
  target_sample_load (arg);
}

static void
exit_when_idle (evutil_socket_t fd, short what, void *arg)
{
  struct target *target = arg;
  static unsigned idle_ticks;
  idle_ticks
      = target->in_use == 0 && target->drain_reported ? idle_ticks + 1 : 0;
  if (idle_ticks * 20 >= EXIT_IDLE_MS)
    event_base_loopexit (target->base, NULL);
}

static void
start_drain (evutil_socket_t fd, short what, void *arg)
{
  struct target *target = arg;
  if (target->drain_ms != 0)
    return;
  target->drain_ms = clock_monotonic_ms ();
  if (target->options.node_port != 0)
    send_to_node (target, EVHTTP_REQ_POST, "/_hawthornseam/drain",
                  announcement (target));
  else
    target->drain_reported = true;
  struct timeval step = { 0, 20000 };
  event_add (target->exit_timer, &step);
}

static int
run (struct target *target)
{
  /* The default clock of the event loop is too coarse for service times of
     1 ms. */
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  target->base = event_base_new_with_config (config);
  event_config_free (config);
  target->http = evhttp_new (target->base);
  evhttp_set_allowed_methods (target->http, 0x1ff & ~EVHTTP_REQ_CONNECT);
  evhttp_set_gencb (target->http, serve, target);
  if (evhttp_bind_socket (target->http, "127.0.0.1",
                          (uint16_t)target->options.port)
      != 0)
    {
      fprintf (stderr, "cannot listen on port %d\n", target->options.port);
      return 1;
    }
  signal (SIGPIPE, SIG_IGN);
  rng_init (&target->rng, (uint64_t)target->options.seed);
  snprintf (target->boot_id, sizeof target->boot_id, "%08x%08x",
            (unsigned)getpid (), randombytes_random ());
  target->started_ms = clock_monotonic_ms ();
  target->exit_timer
      = event_new (target->base, -1, EV_PERSIST, exit_when_idle, target);
  struct event *term
      = evsignal_new (target->base, SIGTERM, start_drain, target);
  struct event *interrupt
      = evsignal_new (target->base, SIGINT, start_drain, target);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  struct event *sampler
      = event_new (target->base, -1, EV_PERSIST, sample, target);
  event_add (sampler, &(struct timeval){ 0, 100000 });
  target->announce_timer
      = event_new (target->base, -1, EV_PERSIST, announce, target);
  if (target->options.node_port != 0)
    {
      int ms = target->options.announce_ms;
      struct timeval period = { ms / 1000, ms % 1000 * 1000 };
      event_add (target->announce_timer, &period);
      announce (-1, 0, target);
    }
  event_base_dispatch (target->base);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version_text = arg_lit0 (NULL, "version", "print version");
  struct arg_int *port = arg_int0 ("p", "port", "N", "port to listen on");
  struct arg_int *node
      = arg_int0 ("n", "node-port", "N", "call port of the local node");
  struct arg_str *service = arg_str0 ("s", "service", "NAME", "service");
  struct arg_str *version
      = arg_str0 ("v", "target-version", "NAME", "target version");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "concurrent calls");
  struct arg_int *connections
      = arg_int0 (NULL, "connections", "N", "concurrent connections");
  struct arg_int *announce_ms
      = arg_int0 (NULL, "announce-ms", "MS", "period of announcements");
  struct arg_dbl *service_ms
      = arg_dbl0 (NULL, "service-ms", "MS", "service time");
  struct arg_dbl *tail_ms
      = arg_dbl0 (NULL, "tail-ms", "MS", "mean latency added in the tail");
  struct arg_dbl *tail_share
      = arg_dbl0 (NULL, "tail-share", "X", "share of calls in the tail");
  struct arg_dbl *cold_s
      = arg_dbl0 (NULL, "cold-s", "S", "length of the cold start");
  struct arg_dbl *cold_factor = arg_dbl0 (
      NULL, "cold-factor", "X", "slowdown at the start of the cold start");
  struct arg_dbl *fail_rate = arg_dbl0 (NULL, "fail-rate", "X",
                                        "bad version: share of 500 responses");
  struct arg_dbl *add_latency
      = arg_dbl0 (NULL, "add-latency-ms", "MS", "bad version: added latency");
  struct arg_dbl *bad_from = arg_dbl0 (
      NULL, "bad-from-s", "S", "bad from this second after the start on");
  struct arg_dbl *bad_above
      = arg_dbl0 (NULL, "bad-above-share", "X",
                  "bad only above this share of slots in use");
  struct arg_str *bad_prefix
      = arg_str0 (NULL, "bad-prefix", "PATH", "bad only below this path");
  struct arg_dbl *lag = arg_dbl0 (
      NULL, "lag-s", "S", "age of the load that /health and /load report");
  struct arg_lit *print_keys = arg_lit0 (
      NULL, "print-keys", "print the key of each execution when it starts");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "seed of the random numbers");
  struct arg_end *end = arg_end (20);
  void *table[]
      = { help,        version_text, port,        node,        service,
          version,     slots,        connections, announce_ms, service_ms,
          tail_ms,     tail_share,   cold_s,      cold_factor, fail_rate,
          add_latency, bad_from,     bad_above,   bad_prefix,  lag,
          print_keys,  seed,         end };
  if (arg_nullcheck (table) != 0)
    return 1;
  port->ival[0] = 9000;
  node->ival[0] = 0;
  service->sval[0] = "zapisy";
  version->sval[0] = "v1";
  slots->ival[0] = 12;
  connections->ival[0] = 130;
  announce_ms->ival[0] = 1000;
  service_ms->dval[0] = 1;
  tail_ms->dval[0] = tail_share->dval[0] = cold_s->dval[0] = 0;
  cold_factor->dval[0] = 1;
  fail_rate->dval[0] = add_latency->dval[0] = bad_from->dval[0] = 0;
  bad_above->dval[0] = -1;
  bad_prefix->sval[0] = "/";
  lag->dval[0] = 0;
  seed->ival[0] = 1;
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return 0;
    }
  if (version_text->count > 0)
    {
      puts ("standin-target (hawthornseam)");
      return 0;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  static struct target target;
  target.options = (struct target_options){
    .service = service->sval[0],
    .version = version->sval[0],
    .port = port->ival[0],
    .node_port = node->ival[0],
    .slots = slots->ival[0],
    .connections = connections->ival[0],
    .announce_ms = announce_ms->ival[0] < 10 ? 10 : announce_ms->ival[0],
    .service_ms = service_ms->dval[0],
    .tail_ms = tail_ms->dval[0],
    .tail_share = tail_share->dval[0],
    .cold_s = cold_s->dval[0],
    .cold_factor = cold_factor->dval[0],
    .fail_rate = fail_rate->dval[0],
    .add_latency_ms = add_latency->dval[0],
    .bad_from_s = bad_from->dval[0],
    .bad_above_share = bad_above->dval[0],
    .bad_prefix = bad_prefix->sval[0],
    .lag_s = lag->dval[0],
    .print_keys = print_keys->count > 0,
    .seed = seed->ival[0],
  };
  int result = run (&target);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return result;
}
