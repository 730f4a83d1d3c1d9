/// Stand-in for the platform's key-value store: serves its HTTP interface and
/// injects faults that are set through /control. This file has the listening
/// socket and the parsing of requests.
#include "store_server.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <sys/socket.h>

static struct server server;

static void
on_connection_closed (struct evhttp_connection *evcon, void *arg)
{
  struct connection *connection = arg;
  LIST_REMOVE (connection, link);
  free (connection);
}

static void
track_connection (struct evhttp_connection *evcon)
{
  if (connection_find (&server, evcon) != NULL)
    return;
  struct connection *connection = calloc (1, sizeof *connection);
  connection->evcon = evcon;
  LIST_INSERT_HEAD (&server.connections, connection, link);
  evhttp_connection_set_closecb (evcon, on_connection_closed, connection);
}

static void
on_call_timer (evutil_socket_t fd, short events, void *arg)
{
  call_run (&server, arg);
}

/// Derives the kind and the key of a call from its method and path.
/// @return false if the request is not part of the interface
static bool
parse_call (struct call *call, const char *path)
{
  enum evhttp_cmd_type method = evhttp_request_get_command (call->request);
  if (strncmp (path, "/kv/", 4) == 0 && path[4] != '\0')
    {
      call->key = evhttp_uridecode (path + 4, 0, NULL);
      if (method == EVHTTP_REQ_GET)
        call->kind = query_text (call, "after") ? CALL_WATCH : CALL_GET;
      else if (method == EVHTTP_REQ_PUT)
        call->kind = CALL_PUT;
      else
        call->kind = CALL_DELETE;
      return method == EVHTTP_REQ_GET
             || (method == EVHTTP_REQ_PUT && query_text (call, "prev"))
             || (method == EVHTTP_REQ_DELETE && query_text (call, "prev"));
    }
  if (strcmp (path, "/list") == 0 && method == EVHTTP_REQ_GET)
    {
      const char *prefix = query_text (call, "prefix");
      call->kind = CALL_LIST;
      call->key = strdup (prefix == NULL ? "" : prefix);
      return true;
    }
  if (strcmp (path, "/lease") == 0 && method == EVHTTP_REQ_POST)
    {
      call->kind = CALL_LEASE;
      return true;
    }
  if (strncmp (path, "/lease/", 7) == 0 && method == EVHTTP_REQ_POST)
    {
      call->kind = CALL_KEEPALIVE;
      call->key = strdup (path + 7);
      char *end = strchr (call->key, '/');
      return end != NULL && strcmp (end, "/keepalive") == 0;
    }
  return false;
}

static uint64_t
call_delay_us (const struct call *call, bool *refused)
{
  uint64_t now_us = clock_monotonic_us ();
  uint64_t wait = limit_take (
      is_write (call->kind) ? &server.writes : &server.reads, now_us);
  *refused = wait > STORE_QUEUE_MAX_US || (server.refuse_excess && wait > 0);
  if (now_us / 1000 < server.slow_until_ms)
    wait += server.slow_ms * 1000;
  return wait + server.delay_ms * 1000;
}

/// Requests on the connections now open are never answered; new ones work.
static void
hang_connections (void)
{
  struct connection *connection = LIST_FIRST (&server.connections);
  for (; connection != NULL; connection = LIST_NEXT (connection, link))
    connection->hung = true;
}

static void
control_set (const struct evkeyvalq *query)
{
  const struct evkeyval *item;
  TAILQ_FOREACH (item, query, next)
  {
    uint64_t value = strtoull (item->value, NULL, 10);
    if (strcmp (item->key, "delay_ms") == 0)
      server.delay_ms = value;
    else if (strcmp (item->key, "outage") == 0)
      server.outage = (enum outage_mode)value;
    else if (strcmp (item->key, "drop_answers") == 0)
      server.drop_answers = value;
    else if (strcmp (item->key, "drop_close") == 0)
      server.drop_close = value != 0;
    else if (strcmp (item->key, "reads_per_s") == 0)
      server.reads = (struct limit){ .per_second = value };
    else if (strcmp (item->key, "writes_per_s") == 0)
      server.writes = (struct limit){ .per_second = value };
    else if (strcmp (item->key, "refuse_excess") == 0)
      server.refuse_excess = value != 0;
    else if (strcmp (item->key, "slow_ms") == 0)
      server.slow_ms = value;
    else if (strcmp (item->key, "slow_for_ms") == 0)
      server.slow_until_ms = clock_monotonic_ms () + value;
    else if (strcmp (item->key, "snapshot") == 0)
      fake_store_save (&server.data);
    else if (strcmp (item->key, "restore") == 0)
      fake_store_restore (&server.data);
    else if (strcmp (item->key, "hang_connections") == 0)
      hang_connections ();
  }
}

static json_t *
control_counts (void)
{
  json_t *counts = json_object ();
  for (int i = 0; i < CALL_KINDS; i++)
    json_object_set_new (counts, call_names[i],
                         json_integer ((json_int_t)server.counts[i]));
  size_t keys = 0;
  for (size_t i = 0; i < server.data.entry_count; i++)
    keys += server.data.entries[i].key != NULL;
  json_object_update_new (
      counts,
      json_pack ("{sI sI sI sI sI sI}", "refused", (json_int_t)server.refused,
                 "dropped", (json_int_t)server.dropped, "unanswered",
                 (json_int_t)server.unanswered, "keys", (json_int_t)keys,
                 "bytes_written", (json_int_t)server.data.bytes_written,
                 "revision", (json_int_t)server.data.revision));
  return counts;
}

static void
serve_control (struct evhttp_request *request)
{
  struct evkeyvalq query;
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  evhttp_parse_query_str (text == NULL ? "" : text, &query);
  if (evhttp_request_get_command (request) == EVHTTP_REQ_POST)
    control_set (&query);
  evhttp_clear_headers (&query);
  json_t *counts = control_counts ();
  char *body_text = json_dumps (counts, JSON_COMPACT);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s\n", body_text);
  evhttp_send_reply (request, 200, NULL, body);
  evbuffer_free (body);
  free (body_text);
  json_decref (counts);
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  if (strcmp (path, "/control") == 0)
    {
      serve_control (request);
      return;
    }
  struct evhttp_connection *evcon = evhttp_request_get_connection (request);
  track_connection (evcon);
  struct connection *connection = connection_find (&server, evcon);
  if (server.outage == OUTAGE_SILENT || connection->hung)
    {
      /* Never answered; evhttp frees the request with its connection. */
      server.unanswered++;
      return;
    }
  if (server.outage == OUTAGE_REFUSE)
    {
      server.refused++;
      evhttp_send_reply (request, 503, NULL, NULL);
      return;
    }
  struct call *call = calloc (1, sizeof *call);
  call->request = request;
  call->timer = evtimer_new (server.base, on_call_timer, call);
  LIST_INSERT_HEAD (&server.calls, call, link);
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  evhttp_parse_query_str (text == NULL ? "" : text, &call->query);
  if (!parse_call (call, path))
    {
      call_free (call);
      evhttp_send_reply (request, 400, NULL, NULL);
      return;
    }
  server.counts[call->kind]++;
  bool refused = false;
  uint64_t delay_us = call_delay_us (call, &refused);
  if (refused)
    {
      server.refused++;
      call_free (call);
      evhttp_send_reply (request, 429, NULL, NULL);
      return;
    }
  struct timeval due
      = { (time_t)(delay_us / 1000000), (suseconds_t)(delay_us % 1000000) };
  evtimer_add (call->timer, &due);
}

static void
on_signal (evutil_socket_t fd, short events, void *arg)
{
  event_base_loopbreak (server.base);
}

static int
serve (const char *address, uint16_t port)
{
  signal (SIGPIPE, SIG_IGN);
  fake_store_init (&server.data);
  server.base = event_base_new ();
  struct evhttp *http = evhttp_new (server.base);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT
                                        | EVHTTP_REQ_DELETE | EVHTTP_REQ_POST);
  evhttp_set_max_body_size (http, STORE_VALUE_MAX);
  evhttp_set_gencb (http, on_request, NULL);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, address, port);
  if (bound == NULL)
    {
      fprintf (stderr, "store: cannot listen on %s:%u\n", address, port);
      return 1;
    }
  struct sockaddr_in name;
  socklen_t size = sizeof name;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&name,
               &size);
  printf ("listening address=%s port=%u\n", address, ntohs (name.sin_port));
  fflush (stdout);
  struct event *term = evsignal_new (server.base, SIGTERM, on_signal, NULL);
  struct event *interrupt
      = evsignal_new (server.base, SIGINT, on_signal, NULL);
  evsignal_add (term, NULL);
  evsignal_add (interrupt, NULL);
  event_base_dispatch (server.base);
  while (!LIST_EMPTY (&server.calls))
    call_free (LIST_FIRST (&server.calls));
  event_free (term);
  event_free (interrupt);
  evhttp_free (http);
  event_base_free (server.base);
  fake_store_finish (&server.data);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_str *address
      = arg_str0 (NULL, "address", "<ip>", "address to listen on (127.0.0.1)");
  struct arg_int *port
      = arg_int0 (NULL, "port", "<n>", "port to listen on (0: any free one)");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, address, port, end };
  address->sval[0] = "127.0.0.1";
  port->ival[0] = 0;
  int errors = arg_parse (argc, argv, table);
  int code = 0;
  if (help->count > 0)
    {
      printf ("usage: store");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
    }
  else if (version->count > 0)
    puts ("hawthornseam store stand-in");
  else if (errors > 0 || port->ival[0] < 0 || port->ival[0] > 65535)
    {
      arg_print_errors (stderr, end, "store");
      code = 2;
    }
  else
    code = serve (address->sval[0], (uint16_t)port->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
