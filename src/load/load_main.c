/// Load generator: sends calls at a fixed rate or from a fixed number of
/// concurrent callers, checks that each response is complete and belongs to
/// its request, and reports outcomes and latencies. Exit code 1 when a
/// response was wrong, 2 for a wrong command line.
#include "load/load_report.h"

#include "base/clock.h"
#include "base/rng.h"
#include "transport/http_response_guard.h"

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <xxhash.h>

/// Limits of the command line.
#define ENDPOINTS_MAX 64
#define PATHS_MAX 32
#define CALLERS_MAX 4096
#define KEY_SIZE 64
#define URI_SIZE 512

struct endpoint
{
  char address[64];
  uint16_t port;
};

struct path
{
  unsigned weight; ///< relative frequency
  enum evhttp_cmd_type method;
  const char *uri;
  bool keyed; ///< POST, PUT, PATCH: calls have an Idempotency-Key and a body
};

struct load;

/// Makes one call at a time on a connection of its own.
struct caller
{
  struct load *load;
  struct event step; ///< starts the next call outside of evhttp callbacks
  struct evhttp_connection *connection;
  struct http_response_guard guard;
  const struct endpoint *endpoint;
  bool busy;          ///< a call is in progress
  bool broken;        ///< the connection must not be reused
  char id[40];        ///< X-Request-Id
  char key[KEY_SIZE]; ///< Idempotency-Key
  char uri[URI_SIZE];
  bool repeat; ///< the next call repeats the current one with the same key
  const struct path *path;
  uint64_t due_us;    ///< when the call was due; latency starts here
  XXH3_state_t *hash; ///< of the body received so far
  uint64_t bytes;     ///< of the body received so far
};

struct load
{
  struct event_base *base;
  struct rng rng;
  struct endpoint endpoints[ENDPOINTS_MAX];
  size_t endpoint_count;
  struct path paths[PATHS_MAX];
  size_t path_count;
  unsigned weight_sum; ///< sum over the paths
  struct caller *callers;
  size_t caller_count;
  double rate;        ///< calls per second, 0: each caller calls again at once
  uint64_t count_max; ///< calls to start, 0 for no limit
  uint64_t end_us;
  uint64_t next_due_us; ///< when the next call is due by the rate
  uint64_t started;     ///< calls started
  int deadline_ms;      ///< sent with each call, 0 for none
  int timeout_ms;       ///< of an idle connection
  int body_bytes;
  double repeat_share; ///< part of the keyed calls that are sent twice
  bool close_each;     ///< open a new connection for each call
  bool unique;         ///< add a different query to each URI, except repeats
  FILE *key_log; ///< gets "KEY OUTCOME" lines of keyed calls; may be NULL
  struct event ticker; ///< every millisecond
  struct event term;   ///< SIGTERM
  struct load_report report;
};

static void
on_data (struct evhttp_request *response, void *arg)
{
  struct caller *caller = arg;
  struct evbuffer *input = evhttp_request_get_input_buffer (response);
  size_t size = evbuffer_get_length (input);
  XXH3_64bits_update (caller->hash, evbuffer_pullup (input, -1), size);
  caller->bytes += size;
}

/// @return the outcome of a call whose response evhttp regards as complete
static enum load_outcome
classify (const struct caller *caller, struct evhttp_request *response)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (response);
  int status = evhttp_request_get_response_code (response);
  const char *outcome = evhttp_find_header (headers, "Hawthornseam-Outcome");
  const char *reason = evhttp_find_header (headers, "Hawthornseam-Reason");
  const char *length = evhttp_find_header (headers, "Content-Length");
  if (length == NULL && caller->path->method != EVHTTP_REQ_HEAD
      && evhttp_find_header (headers, "Transfer-Encoding") == NULL
      && status != 204 && status != 304)
    return LOAD_UNFRAMED;
  if (length != NULL && caller->path->method != EVHTTP_REQ_HEAD
      && strtoull (length, NULL, 10) != caller->bytes)
    return LOAD_TRUNCATED;
  if (outcome != NULL && strcmp (outcome, "not-run") == 0)
    return LOAD_NOT_RUN;
  if (outcome != NULL && strcmp (outcome, "unknown") == 0)
    return LOAD_UNKNOWN;
  if (reason != NULL && strncmp (reason, "recorded", 8) == 0)
    return LOAD_RECORDED; /* for an earlier request, with another id */
  const char *id = evhttp_find_header (headers, "X-Request-Id");
  const char *checksum = evhttp_find_header (headers, "X-Checksum");
  /* Targets echo the request id, if only in responses below 300. */
  if (id == NULL ? status < 300 : strcmp (id, caller->id) != 0)
    return LOAD_WRONG_ID;
  if (checksum != NULL && caller->path->method != EVHTTP_REQ_HEAD
      && strtoull (checksum, NULL, 16) != XXH3_64bits_digest (caller->hash))
    return LOAD_WRONG_CONTENT;
  return status < 300 ? LOAD_RAN : LOAD_RAN_ERROR;
}

static void
end_call (struct caller *caller, enum load_outcome call_outcome)
{
  struct load *load = caller->load;
  uint64_t now = clock_monotonic_us ();
  caller->broken = call_outcome == LOAD_NO_ANSWER
                   || call_outcome == LOAD_NOT_CONNECTED
                   || caller->guard.malformed || load->close_each;
  load_report_add (&load->report, call_outcome, now - caller->due_us,
                   caller->bytes);
  if (caller->path->keyed && load->key_log != NULL)
    fprintf (load->key_log, "%s %s\n", caller->key,
             load_outcome_names[call_outcome]);
  caller->busy = false;
  event_active (&caller->step, EV_TIMEOUT, 1);
}

static void
on_done (struct evhttp_request *response, void *arg)
{
  struct caller *caller = arg;
  if (caller->guard.malformed)
    return;
  /* After a failed connect, evhttp passes a request without a status. */
  if (response == NULL)
    end_call (caller, LOAD_NO_ANSWER);
  else if (evhttp_request_get_response_code (response) == 0)
    end_call (caller, LOAD_NOT_CONNECTED);
  else
    end_call (caller, classify (caller, response));
}

static void
on_malformed (void *arg)
{
  end_call (arg, LOAD_UNFRAMED);
}

/// @return a random path, by weight
static const struct path *
choose_path (struct load *load)
{
  uint64_t position = rng_below (&load->rng, load->weight_sum);
  const struct path *path = load->paths;
  while (position >= path->weight)
    position -= path++->weight;
  return path;
}

/// Opens a connection to a random endpoint unless there is a usable one.
static void
connect_caller (struct caller *caller)
{
  struct load *load = caller->load;
  if (caller->connection != NULL && !caller->broken)
    return;
  if (caller->connection != NULL)
    evhttp_connection_free (caller->connection);
  caller->broken = false;
  caller->endpoint
      = &load->endpoints[rng_below (&load->rng, load->endpoint_count)];
  caller->connection = evhttp_connection_base_new (
      load->base, NULL, caller->endpoint->address, caller->endpoint->port);
  struct timeval timeout
      = { load->timeout_ms / 1000, load->timeout_ms % 1000 * 1000 };
  evhttp_connection_set_timeout_tv (caller->connection, &timeout);
  http_response_guard_init (&caller->guard, caller->connection, on_malformed,
                            caller);
}

/// Starts a call: the repetition of the last one or a new one.
/// @param due_us  when it was due; its latency is measured from here
static void
send_call (struct caller *caller, uint64_t due_us)
{
  struct load *load = caller->load;
  connect_caller (caller);
  caller->busy = true;
  caller->due_us = due_us;
  caller->bytes = 0;
  XXH3_64bits_reset (caller->hash);
  load->started++;
  snprintf (caller->id, sizeof caller->id, "%016llx-%llu",
            (unsigned long long)rng_u64 (&load->rng),
            (unsigned long long)load->started);
  if (!caller->repeat)
    {
      caller->path = choose_path (load);
      snprintf (caller->key, sizeof caller->key, "%llu-%016llx",
                (unsigned long long)(clock_wall_ms () / 1000),
                (unsigned long long)rng_u64 (&load->rng));
      snprintf (caller->uri, sizeof caller->uri, "%s", caller->path->uri);
      size_t length = strlen (caller->uri);
      if (load->unique)
        snprintf (caller->uri + length, sizeof caller->uri - length,
                  "%cu=%llu", strchr (caller->uri, '?') == NULL ? '?' : '&',
                  (unsigned long long)load->started);
    }
  caller->repeat = caller->path->keyed && !caller->repeat
                   && rng_unit (&load->rng) < load->repeat_share;
  struct evhttp_request *request = evhttp_request_new (on_done, caller);
  evhttp_request_set_chunked_cb (request, on_data);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", "mesh");
  evhttp_add_header (headers, "X-Request-Id", caller->id);
  if (caller->path->keyed)
    evhttp_add_header (headers, "Idempotency-Key", caller->key);
  if (load->deadline_ms > 0)
    {
      char text[16];
      snprintf (text, sizeof text, "%d", load->deadline_ms);
      evhttp_add_header (headers, "Hawthornseam-Deadline-Ms", text);
    }
  for (int remaining = caller->path->keyed ? load->body_bytes : 0;
       remaining > 0; remaining -= 64)
    evbuffer_add (evhttp_request_get_output_buffer (request),
                  "0123456789abcdef0123456789abcdef"
                  "0123456789abcdef0123456789abcdef",
                  remaining < 64 ? (size_t)remaining : 64);
  http_response_guard_next (&caller->guard,
                            caller->path->method == EVHTTP_REQ_HEAD);
  evhttp_make_request (caller->connection, request, caller->path->method,
                       caller->uri);
}

/// @return true when no more calls are to be started
static bool
is_over (const struct load *load)
{
  return (load->count_max != 0 && load->started >= load->count_max)
         || clock_monotonic_us () >= load->end_us;
}

static void
stop_when_idle (struct load *load)
{
  for (size_t i = 0; i < load->caller_count; i++)
    if (load->callers[i].busy)
      return;
  event_base_loopexit (load->base, NULL);
}

static void
on_step (evutil_socket_t fd, short what, void *arg)
{
  struct caller *caller = arg;
  struct load *load = caller->load;
  if (caller->busy)
    return;
  if (is_over (load))
    stop_when_idle (load);
  else if (load->rate == 0)
    send_call (caller, clock_monotonic_us ());
}

/// Starts the calls that are due by the rate. A call for which no caller is
/// free waits; the wait is part of its latency.
static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct load *load = arg;
  uint64_t now = clock_monotonic_us ();
  if (is_over (load))
    {
      stop_when_idle (load);
      return;
    }
  size_t next = 0;
  while (load->rate > 0 && load->next_due_us <= now && !is_over (load))
    {
      while (next < load->caller_count && load->callers[next].busy)
        next++;
      if (next == load->caller_count)
        return;
      send_call (&load->callers[next], load->next_due_us);
      load->next_due_us += (uint64_t)(1e6 / load->rate);
    }
}

/// Parses "WEIGHT:METHOD:URI" and adds the path.
/// @return false when the text is malformed or there are PATHS_MAX paths
static bool
add_path (struct load *load, const char *text)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type method;
  } methods[]
      = { { "GET", EVHTTP_REQ_GET },       { "POST", EVHTTP_REQ_POST },
          { "PUT", EVHTTP_REQ_PUT },       { "HEAD", EVHTTP_REQ_HEAD },
          { "DELETE", EVHTTP_REQ_DELETE }, { "PATCH", EVHTTP_REQ_PATCH } };
  char method[8];
  unsigned weight;
  int used = 0;
  if (load->path_count == PATHS_MAX
      || sscanf (text, "%u:%7[A-Z]:%n", &weight, method, &used) != 2
      || weight == 0 || text[used] != '/')
    return false;
  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (methods[i].name, method) == 0)
      {
        enum evhttp_cmd_type type = methods[i].method;
        load->weight_sum += weight;
        load->paths[load->path_count++] = (struct path){
          .weight = weight,
          .method = type,
          .uri = text + used,
          .keyed = type == EVHTTP_REQ_POST || type == EVHTTP_REQ_PUT
                   || type == EVHTTP_REQ_PATCH,
        };
        return true;
      }
  return false;
}

/// Parses "ADDRESS:PORT" and adds the endpoint.
/// @return false when the text is malformed or there are ENDPOINTS_MAX
static bool
add_endpoint (struct load *load, const char *text)
{
  struct endpoint *endpoint = &load->endpoints[load->endpoint_count];
  if (load->endpoint_count == ENDPOINTS_MAX
      || sscanf (text, "%63[0-9.]:%hu", endpoint->address, &endpoint->port)
             != 2)
    return false;
  load->endpoint_count++;
  return true;
}

/// Handles SIGTERM: starts no more calls; the report follows when those in
/// progress have ended.
static void
on_signal (evutil_socket_t fd, short what, void *arg)
{
  struct load *load = arg;
  load->end_us = clock_monotonic_us ();
}

static void
run (struct load *load, double duration_s)
{
  signal (SIGPIPE, SIG_IGN);
  /* The default event loop clock is too coarse for a 1 ms tick. */
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  load->base = event_base_new_with_config (config);
  event_config_free (config);
  load->callers = calloc (load->caller_count, sizeof *load->callers);
  if (load->callers == NULL)
    abort ();
  uint64_t start = clock_monotonic_us ();
  load->end_us = start + (uint64_t)(duration_s * 1e6);
  load->next_due_us = start;
  for (size_t i = 0; i < load->caller_count; i++)
    {
      struct caller *caller = &load->callers[i];
      caller->load = load;
      caller->hash = XXH3_createState ();
      evtimer_assign (&caller->step, load->base, on_step, caller);
      if (load->rate == 0)
        event_active (&caller->step, EV_TIMEOUT, 1);
    }
  event_assign (&load->ticker, load->base, -1, EV_PERSIST, on_tick, load);
  event_add (&load->ticker, &(struct timeval){ 0, 1000 });
  evsignal_assign (&load->term, load->base, SIGTERM, on_signal, load);
  event_add (&load->term, NULL);
  event_base_dispatch (load->base);
  event_del (&load->term);
  load->report.elapsed_s = (double)(clock_monotonic_us () - start) / 1e6;
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  load->report.cpu_s
      = (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
  for (size_t i = 0; i < load->caller_count; i++)
    {
      if (load->callers[i].connection != NULL)
        evhttp_connection_free (load->callers[i].connection);
      XXH3_freeState (load->callers[i].hash);
    }
  free (load->callers);
  event_base_free (load->base);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this text");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print version");
  struct arg_str *to = arg_strn ("t", "to", "ADDRESS:PORT", 0, ENDPOINTS_MAX,
                                 "call port of a node; may be repeated");
  struct arg_str *paths
      = arg_strn ("p", "path", "WEIGHT:METHOD:URI", 0, PATHS_MAX,
                  "weighted request to send; may be repeated");
  struct arg_dbl *rate
      = arg_dbl0 ("r", "rate", "N", "calls per second; default: no limit");
  struct arg_int *callers
      = arg_int0 ("c", "concurrency", "N", "concurrent callers, default 1");
  struct arg_dbl *duration
      = arg_dbl0 ("d", "duration-s", "S", "run time, default 10");
  struct arg_int *count
      = arg_int0 ("n", "count", "N", "stop after this number of calls");
  struct arg_int *deadline = arg_int0 (NULL, "deadline-ms", "MS",
                                       "deadline that is sent with each call");
  struct arg_int *timeout
      = arg_int0 (NULL, "timeout-ms", "MS",
                  "timeout of an idle connection, default 15000");
  struct arg_int *body
      = arg_int0 (NULL, "body-bytes", "N", "body size of POST, PUT and PATCH");
  struct arg_dbl *repeat
      = arg_dbl0 (NULL, "repeat-share", "X",
                  "part of the POST, PUT and PATCH calls that is sent twice");
  struct arg_lit *close_each
      = arg_lit0 (NULL, "close", "open a new connection for each call");
  struct arg_lit *unique = arg_lit0 (
      NULL, "unique", "append a unique query to the URI of each call");
  struct arg_file *key_log = arg_file0 (
      NULL, "key-log", "FILE",
      "write the key and outcome of each POST, PUT and PATCH call");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "seed of the random numbers, default 1");
  struct arg_lit *json = arg_lit0 ("j", "json", "print JSON");
  struct arg_end *end = arg_end (20);
  void *table[] = { help,       version, to,       paths,   rate, callers,
                    duration,   count,   deadline, timeout, body, repeat,
                    close_each, unique,  key_log,  seed,    json, end };
  if (arg_nullcheck (table) != 0)
    return 1;
  rate->dval[0] = 0;
  callers->ival[0] = 1;
  duration->dval[0] = 10;
  count->ival[0] = deadline->ival[0] = body->ival[0] = 0;
  timeout->ival[0] = 15000;
  repeat->dval[0] = 0;
  seed->ival[0] = 1;
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-30s %s\n");
      return 0;
    }
  if (version->count > 0)
    {
      puts ("hawthornseam-load (hawthornseam)");
      return 0;
    }
  static struct load load;
  for (int i = 0; i < to->count; i++)
    errors += !add_endpoint (&load, to->sval[i]);
  for (int i = 0; i < paths->count; i++)
    errors += !add_path (&load, paths->sval[i]);
  if (errors > 0 || load.endpoint_count == 0 || load.path_count == 0
      || callers->ival[0] < 1 || callers->ival[0] > CALLERS_MAX
      || duration->dval[0] <= 0 || duration->dval[0] > 3600
      || timeout->ival[0] < 1)
    {
      arg_print_errors (stderr, end, argv[0]);
      fprintf (stderr,
               "%s: needs at least one valid --to and --path, "
               "--concurrency from 1 to %d, --duration-s above 0 and up to "
               "3600, and --timeout-ms of at least 1\n",
               argv[0], CALLERS_MAX);
      return 2;
    }
  rng_init (&load.rng, (uint64_t)seed->ival[0]);
  load.rate = rate->dval[0];
  load.caller_count = (size_t)callers->ival[0];
  load.count_max = (uint64_t)count->ival[0];
  load.deadline_ms = deadline->ival[0];
  load.timeout_ms = timeout->ival[0];
  load.body_bytes = body->ival[0];
  load.repeat_share = repeat->dval[0];
  load.close_each = close_each->count > 0;
  load.unique = unique->count > 0;
  if (key_log->count > 0)
    {
      load.key_log = fopen (key_log->filename[0], "w");
      if (load.key_log == NULL)
        {
          perror (key_log->filename[0]);
          return 1;
        }
    }
  run (&load, duration->dval[0]);
  load_report_print (&load.report, json->count > 0);
  bool wrong = load_report_is_wrong (&load.report);
  load_report_finish (&load.report);
  if (load.key_log != NULL)
    fclose (load.key_log);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return wrong ? 1 : 0;
}
