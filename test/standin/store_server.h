/// State of the stand-in store and the handling of one call: rate limits,
/// faults, pending watches and counts. Included by store.c only.
#ifndef HAWTHORNSEAM_TEST_STORE_SERVER_H
#define HAWTHORNSEAM_TEST_STORE_SERVER_H

#include "base/clock.h"
#include "fake_store_data.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <sys/queue.h>

/// A call that would wait longer than this for the rate limit gets 429.
#define STORE_QUEUE_MAX_US 5000000

enum call_kind
{
  CALL_GET,
  CALL_WATCH,
  CALL_LIST,
  CALL_PUT,
  CALL_DELETE,
  CALL_LEASE,
  CALL_KEEPALIVE,
  CALL_KINDS
};

static const char *const call_names[CALL_KINDS]
    = { "get", "watch", "list", "put", "delete", "lease", "keepalive" };

enum outage_mode
{
  OUTAGE_NONE,
  OUTAGE_REFUSE, ///< every call gets 503
  OUTAGE_SILENT  ///< no call is answered
};

struct connection
{
  struct evhttp_connection *evcon;
  bool hung; ///< requests on it are not answered any more
  LIST_ENTRY (connection) link;
};

struct call
{
  struct evhttp_request *request;
  enum call_kind kind;
  char *key; ///< key, prefix or lease id
  struct evkeyvalq query;
  struct event *timer;
  bool waiting; ///< a watch that was counted and waits for a change
  uint64_t wait_until_ms;
  LIST_ENTRY (call) link;
};

LIST_HEAD (call_list, call);
LIST_HEAD (connection_list, connection);

struct limit
{
  uint64_t per_second; ///< 0: no limit
  uint64_t next_free_us;
};

struct server
{
  struct event_base *base;
  struct fake_store data;
  struct call_list calls;
  struct connection_list connections;
  uint64_t counts[CALL_KINDS];
  uint64_t refused; ///< 429 or 503
  uint64_t dropped; ///< responses dropped after the call took effect
  uint64_t unanswered;
  uint64_t delay_ms;
  uint64_t slow_ms;       ///< additional delay during the slow period
  uint64_t slow_until_ms; ///< end of the slow period
  enum outage_mode outage;
  uint64_t drop_answers; ///< number of next writes whose response is dropped
  bool drop_close;       ///< a dropped response also closes the connection
  bool refuse_excess;    ///< calls over the rate limit get 429 at once
  struct limit reads;
  struct limit writes;
};

static inline bool
is_write (enum call_kind kind)
{
  return kind >= CALL_PUT;
}

static inline const char *
query_text (const struct call *call, const char *name)
{
  return evhttp_find_header (&call->query, name);
}

static inline uint64_t
query_number (const struct call *call, const char *name)
{
  const char *text = query_text (call, name);
  return text == NULL ? 0 : strtoull (text, NULL, 10);
}

static inline void
call_free (struct call *call)
{
  LIST_REMOVE (call, link);
  event_free (call->timer);
  evhttp_clear_headers (&call->query);
  free (call->key);
  free (call);
}

static inline void
set_revision (struct evhttp_request *request, uint64_t revision)
{
  char text[24];
  snprintf (text, sizeof text, "%llu", (unsigned long long)revision);
  evhttp_add_header (evhttp_request_get_output_headers (request), "X-Revision",
                     text);
}

static inline struct connection *
connection_find (struct server *server, struct evhttp_connection *evcon)
{
  struct connection *connection = LIST_FIRST (&server->connections);
  while (connection != NULL && connection->evcon != evcon)
    connection = LIST_NEXT (connection, link);
  return connection;
}

/// Sends the response unless a fault drops it, and frees the call.
static inline void
call_answer (struct server *server, struct call *call, int code,
             struct evbuffer *body)
{
  struct evhttp_request *request = call->request;
  struct evhttp_connection *evcon = evhttp_request_get_connection (request);
  struct connection *connection = connection_find (server, evcon);
  bool silent = connection != NULL && connection->hung;
  bool drop = is_write (call->kind) && server->drop_answers > 0;
  if (drop)
    {
      server->drop_answers--;
      server->dropped++;
    }
  call_free (call);
  if (drop && server->drop_close)
    {
      evhttp_connection_free (evcon);
      return;
    }
  if (drop || silent)
    {
      server->unanswered++;
      return;
    }
  evhttp_send_reply (request, code, NULL, body);
}

static inline void
answer_entry (struct server *server, struct call *call, int code,
              const struct fake_entry *entry)
{
  set_revision (call->request, entry == NULL ? 0 : entry->revision);
  struct evbuffer *body = evbuffer_new ();
  if (entry != NULL)
    evbuffer_add (body, entry->data, entry->size);
  call_answer (server, call, code, body);
  evbuffer_free (body);
}

static inline void
answer_json (struct server *server, struct call *call, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, text, strlen (text));
  call_answer (server, call, 200, body);
  evbuffer_free (body);
  free (text);
  json_decref (json);
}

/// Responds to the watches whose key has a newer revision.
static inline void
wake_watches (struct server *server)
{
  struct call *call = LIST_FIRST (&server->calls);
  while (call != NULL)
    {
      struct call *next = LIST_NEXT (call, link);
      if (call->waiting)
        {
          struct fake_entry *entry = fake_find (&server->data, call->key);
          if (entry != NULL && entry->revision > query_number (call, "after"))
            answer_entry (server, call, 200, entry);
        }
      call = next;
    }
}

static inline void
run_put (struct server *server, struct call *call)
{
  struct fake_entry *entry = fake_find (&server->data, call->key);
  uint64_t lease = query_number (call, "lease");
  if ((entry == NULL ? 0 : entry->revision) != query_number (call, "prev"))
    {
      answer_entry (server, call, 409, entry);
      return;
    }
  if (lease != 0 && fake_lease_find (&server->data, lease) == NULL)
    {
      call_answer (server, call, 404, NULL);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (call->request);
  size_t size = evbuffer_get_length (input);
  uint64_t revision = fake_store_set (&server->data, call->key,
                                      evbuffer_pullup (input, -1), size);
  fake_find (&server->data, call->key)->lease = lease;
  set_revision (call->request, revision);
  call_answer (server, call, 200, NULL);
  wake_watches (server);
}

static inline void
run_delete (struct server *server, struct call *call)
{
  struct fake_entry *entry = fake_find (&server->data, call->key);
  if (entry == NULL)
    call_answer (server, call, 404, NULL);
  else if (entry->revision != query_number (call, "prev"))
    answer_entry (server, call, 409, entry);
  else
    {
      fake_entry_drop (entry);
      call_answer (server, call, 200, NULL);
    }
}

static inline void
run_list (struct server *server, struct call *call)
{
  json_t *list = json_array ();
  size_t size = strlen (call->key);
  for (size_t i = 0; i < server->data.entry_count; i++)
    {
      const struct fake_entry *entry = &server->data.entries[i];
      if (entry->key != NULL && strncmp (entry->key, call->key, size) == 0)
        json_array_append_new (
            list, json_pack ("[sI]", entry->key, (json_int_t)entry->revision));
    }
  answer_json (server, call, list);
}

static inline void
run_lease (struct server *server, struct call *call)
{
  struct fake_store *data = &server->data;
  uint64_t ttl_ms = query_number (call, "ttl_ms");
  if (data->lease_count == sizeof data->leases / sizeof data->leases[0]
      || ttl_ms == 0)
    {
      call_answer (server, call, 400, NULL);
      return;
    }
  struct fake_lease *lease = &data->leases[data->lease_count++];
  *lease = (struct fake_lease){ .id = ++data->next_lease,
                                .ttl_ms = (uint32_t)ttl_ms,
                                .expires_ms = data->now_ms + ttl_ms };
  answer_json (server, call, json_pack ("{sI}", "id", (json_int_t)lease->id));
}

static inline void
run_keepalive (struct server *server, struct call *call)
{
  struct fake_lease *lease
      = fake_lease_find (&server->data, strtoull (call->key, NULL, 10));
  if (lease == NULL)
    {
      call_answer (server, call, 404, NULL);
      return;
    }
  lease->expires_ms = server->data.now_ms + lease->ttl_ms;
  call_answer (server, call, 200, NULL);
}

static inline void
run_get (struct server *server, struct call *call)
{
  struct fake_entry *entry = fake_find (&server->data, call->key);
  if (call->kind == CALL_GET || entry == NULL
      || entry->revision <= query_number (call, "after"))
    {
      if (call->kind == CALL_GET)
        {
          answer_entry (server, call, entry == NULL ? 404 : 200, entry);
          return;
        }
      uint64_t now = server->data.now_ms;
      if (!call->waiting)
        call->wait_until_ms = now + query_number (call, "wait_ms");
      call->waiting = true;
      if (now >= call->wait_until_ms)
        {
          call_answer (server, call, 304, NULL);
          return;
        }
      uint64_t left = call->wait_until_ms - now;
      struct timeval after
          = { (time_t)(left / 1000), (suseconds_t)(left % 1000) * 1000 };
      evtimer_add (call->timer, &after);
      return;
    }
  answer_entry (server, call, 200, entry);
}

static inline void
call_run (struct server *server, struct call *call)
{
  server->data.now_ms = clock_monotonic_ms ();
  fake_expire_leases (&server->data);
  switch (call->kind)
    {
    case CALL_PUT:
      run_put (server, call);
      break;
    case CALL_DELETE:
      run_delete (server, call);
      break;
    case CALL_LIST:
      run_list (server, call);
      break;
    case CALL_LEASE:
      run_lease (server, call);
      break;
    case CALL_KEEPALIVE:
      run_keepalive (server, call);
      break;
    default:
      run_get (server, call);
      break;
    }
}

/// @return microseconds to wait for the rate limit
static inline uint64_t
limit_take (struct limit *limit, uint64_t now_us)
{
  if (limit->per_second == 0)
    return 0;
  if (limit->next_free_us < now_us)
    limit->next_free_us = now_us;
  uint64_t wait = limit->next_free_us - now_us;
  if (wait <= STORE_QUEUE_MAX_US)
    limit->next_free_us += 1000000 / limit->per_second;
  return wait;
}

#endif
