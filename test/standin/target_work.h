/// Handles a call to the stand-in target from taking a slot to the end of its
/// response: service time, downloads, nested calls through the node.
#ifndef HAWTHORNSEAM_TEST_STANDIN_TARGET_WORK_H
#define HAWTHORNSEAM_TEST_STANDIN_TARGET_WORK_H

#include "target_state.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <xxhash.h>

#define WORK_BLOCK_BYTES 4096
#define WORK_CHUNK_BYTES (16 * WORK_BLOCK_BYTES)

struct work
{
  struct target *target;
  struct evhttp_request *request; ///< NULL once the caller has disconnected
  struct evhttp_connection *connection;
  struct evkeyvalq query;
  struct event *timer;
  struct evhttp_connection *nested;
  char id[128];
  uint64_t size; ///< bytes of the download
  uint64_t sent;
  uint64_t cut_at; ///< bytes after which to close the connection; UINT64_MAX:
                   ///< never
  uint64_t started_ms;
  uint8_t block[WORK_BLOCK_BYTES];
};

static inline uint64_t
work_number (struct work *work, const char *name, uint64_t fallback)
{
  const char *text = evhttp_find_header (&work->query, name);
  return text == NULL ? fallback : strtoull (text, NULL, 10);
}

static inline void
work_free (struct work *work)
{
  if (work->connection != NULL)
    evhttp_connection_set_closecb (work->connection, NULL, NULL);
  if (work->nested != NULL)
    evhttp_connection_free (work->nested);
  event_free (work->timer);
  evhttp_clear_headers (&work->query);
  work->target->in_use--;
  work->target->served++;
  free (work);
}

/// Cancels the call because its caller has closed the connection.
static inline void
work_caller_disconnected (struct evhttp_connection *connection, void *arg)
{
  struct work *work = arg;
  work->connection = NULL;
  work->target->cancelled++;
  /* evhttp detaches the request from its connection before this callback;
     the reply functions then only release it. */
  if (work->request != NULL)
    evhttp_send_reply_end (work->request);
  work->request = NULL;
  work_free (work);
}

static inline void
work_reply (struct work *work, int status, const char *text)
{
  struct evkeyvalq *headers
      = evhttp_request_get_output_headers (work->request);
  char checksum[32];
  snprintf (checksum, sizeof checksum, "%016llx",
            (unsigned long long)XXH3_64bits (text, strlen (text)));
  evhttp_add_header (headers, "X-Checksum", checksum);
  evhttp_add_header (headers, "Content-Type", "application/json");
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, text, strlen (text));
  evhttp_connection_set_closecb (work->connection, NULL, NULL);
  evhttp_send_reply (work->request, status, NULL, body);
  evbuffer_free (body);
  work->request = NULL;
  work->connection = NULL;
  work_free (work);
}

static inline void
work_send_chunk (struct evhttp_connection *connection, void *arg)
{
  struct work *work = arg;
  if (work->sent >= work->cut_at)
    {
      evhttp_connection_set_closecb (connection, NULL, NULL);
      work->connection = NULL;
      work->request = NULL;
      evhttp_connection_free (connection);
      work_free (work);
      return;
    }
  if (work->sent == work->size)
    {
      evhttp_connection_set_closecb (connection, NULL, NULL);
      work->connection = NULL;
      evhttp_send_reply_end (work->request);
      work_free (work);
      return;
    }
  struct evbuffer *chunk = evbuffer_new ();
  while (work->sent < work->size && work->sent < work->cut_at
         && evbuffer_get_length (chunk) < WORK_CHUNK_BYTES)
    {
      uint64_t left = work->size - work->sent;
      size_t part = left < WORK_BLOCK_BYTES ? (size_t)left : WORK_BLOCK_BYTES;
      evbuffer_add (chunk, work->block, part);
      work->sent += part;
    }
  evhttp_send_reply_chunk_with_cb (work->request, chunk, work_send_chunk,
                                   work);
  evbuffer_free (chunk);
}

/// Streams a download. Its content is a function of the request id.
static inline void
work_download (struct work *work)
{
  uint64_t seed = XXH3_64bits (work->id, strlen (work->id));
  struct rng content;
  rng_init (&content, seed);
  for (size_t i = 0; i < WORK_BLOCK_BYTES; i += sizeof seed)
    {
      seed = rng_u64 (&content);
      memcpy (work->block + i, &seed, sizeof seed);
    }
  XXH3_state_t *state = XXH3_createState ();
  XXH3_64bits_reset (state);
  for (uint64_t done = 0; done < work->size; done += WORK_BLOCK_BYTES)
    XXH3_64bits_update (state, work->block,
                        work->size - done < WORK_BLOCK_BYTES
                            ? work->size - done
                            : WORK_BLOCK_BYTES);
  char text[32];
  struct evkeyvalq *headers
      = evhttp_request_get_output_headers (work->request);
  snprintf (text, sizeof text, "%016llx",
            (unsigned long long)XXH3_64bits_digest (state));
  XXH3_freeState (state);
  evhttp_add_header (headers, "X-Checksum", text);
  evhttp_add_header (headers, "Content-Type", "application/octet-stream");
  const char *framing = evhttp_find_header (&work->query, "framing");
  if (framing == NULL || strcmp (framing, "chunked") != 0)
    {
      snprintf (text, sizeof text, "%llu", (unsigned long long)work->size);
      evhttp_add_header (headers, "Content-Length", text);
    }
  work->cut_at = work_number (work, "cut", UINT64_MAX);
  evhttp_send_reply_start (work->request, 200, "OK");
  work_send_chunk (work->connection, work);
}

static inline void
work_answer (struct work *work, unsigned nested)
{
  const struct target_options *options = &work->target->options;
  char text[512];
  snprintf (text, sizeof text,
            "{\"id\":\"%s\",\"service\":\"%s\",\"version\":\"%s\","
            "\"boot_id\":\"%s\",\"nested\":%u}\n",
            work->id, options->service, options->version,
            work->target->boot_id, nested);
  work_reply (work, 200, text);
}

static inline void
work_nested_done (struct evhttp_request *answer, void *arg)
{
  struct work *work = arg;
  int status = answer == NULL ? 0 : evhttp_request_get_response_code (answer);
  if (status != 200)
    {
      work->target->failed++;
      work_reply (work, 502, "nested call failed\n");
      return;
    }
  const char *depth = evhttp_find_header (
      evhttp_request_get_input_headers (answer), "X-Nested");
  unsigned nested = 1 + (depth == NULL ? 0 : (unsigned)atoi (depth));
  char value[16];
  snprintf (value, sizeof value, "%u", nested);
  evhttp_add_header (evhttp_request_get_output_headers (work->request),
                     "X-Nested", value);
  work_answer (work, nested);
}

/// Calls the path `next` through the node, with the depth reduced by one.
static inline void
work_call_nested (struct work *work, unsigned depth, const char *next)
{
  struct target *target = work->target;
  char uri[512];
  snprintf (uri, sizeof uri, "%s?depth=%u&next=%s", next, depth - 1, next);
  work->nested = evhttp_connection_base_new (
      target->base, NULL, "127.0.0.1", (uint16_t)target->options.node_port);
  struct evhttp_request *request = evhttp_request_new (work_nested_done, work);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", "node");
  evhttp_add_header (headers, "X-Request-Id", work->id);
  const char *deadline
      = evhttp_find_header (evhttp_request_get_input_headers (work->request),
                            "Hawthornseam-Deadline-Ms");
  if (deadline != NULL)
    {
      uint64_t spent = clock_monotonic_ms () - work->started_ms;
      uint64_t left = strtoull (deadline, NULL, 10);
      char value[24];
      snprintf (value, sizeof value, "%llu",
                (unsigned long long)(left > spent ? left - spent : 0));
      evhttp_add_header (headers, "Hawthornseam-Deadline-Ms", value);
    }
  evhttp_make_request (work->nested, request, EVHTTP_REQ_GET, uri);
}

static inline void
work_finish (evutil_socket_t fd, short what, void *arg)
{
  struct work *work = arg;
  struct target *target = work->target;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (work->request));
  if (target_is_bad (target, path)
      && rng_unit (&target->rng) < target->options.fail_rate)
    {
      target->failed++;
      work_reply (work, 500, "failed as this version does\n");
      return;
    }
  unsigned depth = (unsigned)work_number (work, "depth", 0);
  const char *next = evhttp_find_header (&work->query, "next");
  work->size = work_number (work, "bytes", 0);
  if (depth > 0 && next != NULL && target->options.node_port != 0)
    work_call_nested (work, depth, next);
  else if (work->size > 0)
    work_download (work);
  else
    work_answer (work, 0);
}

/// Takes a slot for a call and starts it.
static inline void
work_start (struct target *target, struct evhttp_request *request)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  struct evkeyvalq *input = evhttp_request_get_input_headers (request);
  struct work *work = calloc (1, sizeof *work);
  if (work == NULL)
    abort ();
  work->target = target;
  work->request = request;
  work->connection = evhttp_request_get_connection (request);
  work->started_ms = clock_monotonic_ms ();
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (work->connection);
  int on = 1;
  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  /* evhttp stops reading while it handles a request. Reading without a read
     callback detects that the caller closes the connection to cancel. */
  bufferevent_data_cb on_write;
  bufferevent_event_cb on_event;
  void *context;
  bufferevent_getcb (bev, NULL, &on_write, &on_event, &context);
  bufferevent_setcb (bev, NULL, on_write, on_event, context);
  bufferevent_enable (bev, EV_READ);
  work->cut_at = UINT64_MAX;
  evhttp_parse_query_str (
      evhttp_uri_get_query (uri) == NULL ? "" : evhttp_uri_get_query (uri),
      &work->query);
  const char *id = evhttp_find_header (input, "X-Request-Id");
  snprintf (work->id, sizeof work->id, "%s", id == NULL ? "" : id);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "X-Request-Id", work->id);
  const char *key = evhttp_find_header (input, "Idempotency-Key");
  if (key != NULL)
    target_count_execution (target, key);
  if (++target->in_use > target->most_in_use)
    target->most_in_use = target->in_use;
  evhttp_connection_set_closecb (work->connection, work_caller_disconnected,
                                 work);
  work->timer = evtimer_new (target->base, work_finish, work);
  uint64_t us = target_service_us (target, evhttp_uri_get_path (uri));
  us = 1000 * work_number (work, "ms", us / 1000)
       + (evhttp_find_header (&work->query, "ms") == NULL ? us % 1000 : 0);
  struct timeval delay = { (time_t)(us / 1000000), (long)(us % 1000000) };
  evtimer_add (work->timer, &delay);
}

#endif
