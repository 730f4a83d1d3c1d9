/// Owns the clients and the records of their requests.
#include "pipeline.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define UNANSWERED_MAX 8

struct sent_request requests[REQUESTS_MAX];
int request_count;

static struct pipeline_plan plan;
static pthread_t threads[CLIENTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/// A connection of a client and its requests without an answer, in order.
struct client_connection
{
  int client;
  int number;
  int sent;
  struct reader *reader;
  int unanswered[UNANSWERED_MAX];
  int count;
};

struct sent_request *
pipeline_find (const struct upstream_request *request)
{
  long index = strtol (request->id, NULL, 16);
  if (index < 0 || index >= request_count)
    mesh_end (VERDICT_BROKEN, "an upstream got a request that nobody sent");
  return &requests[index];
}

static bool
may_send (void)
{
  return now_ms () < plan.end_ms
         && (plan.may_send == NULL || plan.may_send ());
}

static void
send_request (struct client_connection *connection, unsigned *seed)
{
  char path[128];
  pthread_mutex_lock (&lock);
  int index = request_count;
  if (index < REQUESTS_MAX)
    {
      requests[index]
          = (struct sent_request){ .client = connection->client,
                                   .connection = connection->number,
                                   .position = connection->sent++,
                                   .sent_ms = now_ms () };
      request_count++;
    }
  pthread_mutex_unlock (&lock);
  if (index >= REQUESTS_MAX)
    mesh_end (VERDICT_NOT_RUN, "too many requests");
  plan.draw_path (seed, path, sizeof path);
  record ("client %d.%d: sends %08x GET %s, %d unanswered before it",
          connection->client, connection->number, index, path,
          connection->count);
  send_text (connection->reader->socket,
             "GET %s HTTP/1.1\r\nHost: %s\r\nHawthornseam-Request-Id: %08x\r\n"
             "Hawthornseam-Deadline-Ms: %d\r\n\r\n",
             path, plan.host, index, plan.deadline_ms);
  connection->unanswered[connection->count++] = index;
}

/// Records that the connection ended for its unanswered requests.
static void
end_unanswered (struct client_connection *connection, bool began,
                bool behind_close)
{
  for (int i = 0; i < connection->count; i++)
    {
      struct sent_request *request = &requests[connection->unanswered[i]];
      request->ended_ms = now_ms ();
      request->began = i == 0 && began;
      request->behind_close = behind_close;
      record ("client %d.%d: %08x: connection ended %s", connection->client,
              connection->number, connection->unanswered[i],
              request->began ? "in the answer" : "without an answer");
    }
  connection->count = 0;
}

/// Reads the next answer.
/// @return false when the connection is over
static bool
receive (struct client_connection *connection)
{
  struct response response;
  read_response (connection->reader, &response,
                 now_ms () + plan.deadline_ms + 1000);
  if (!response.complete || connection->count == 0)
    {
      end_unanswered (connection, response.status != 0, false);
      return false;
    }
  int index = connection->unanswered[0];
  if (response.sealed && strtol (response.id, NULL, 16) != index)
    mesh_end (VERDICT_BROKEN, "an answer of another request (MIXED)");
  requests[index].answered_ms = now_ms ();
  requests[index].status = response.status;
  record ("client %d.%d: %08x is answered %d%s", connection->client,
          connection->number, index, response.status,
          response.close ? ", connection closes" : "");
  memmove (connection->unanswered, connection->unanswered + 1,
           sizeof connection->unanswered[0] * (size_t)--connection->count);
  if (response.close)
    end_unanswered (connection, false, true);
  return !response.close;
}

static void
use_connection (struct client_connection *connection, unsigned *seed)
{
  struct reader *reader = connection->reader;
  long next_ms = now_ms () + rand_r (seed) % plan.gap_ms;
  while (connection->count > 0 || may_send ())
    {
      bool sends = may_send () && connection->count < plan.unanswered_max;
      if (sends && now_ms () >= next_ms)
        {
          send_request (connection, seed);
          next_ms = now_ms () + plan.gap_ms;
          continue;
        }
      long wait_ms = sends ? next_ms - now_ms () : 50;
      struct pollfd readable = { .fd = reader->socket, .events = POLLIN };
      bool has_input
          = reader->used < reader->size
            || poll (&readable, 1, wait_ms > 0 ? (int)wait_ms : 0) > 0;
      if (has_input && !receive (connection))
        return;
    }
}

static void *
run_client (void *arg)
{
  unsigned seed = (unsigned)(size_t)arg;
  struct reader *reader = calloc (1, sizeof *reader);
  struct client_connection connection
      = { .client = (int)seed, .reader = reader };
  while (may_send ())
    {
      int s = mesh_connect (plan.entry, 1);
      if (s < 0)
        {
          sleep_ms (100);
          continue;
        }
      *reader = (struct reader){ .socket = s };
      connection.number++;
      connection.sent = 0;
      use_connection (&connection, &seed);
      close (s);
    }
  free (reader);
  return NULL;
}

void
pipeline_start (const struct pipeline_plan *chosen)
{
  plan = *chosen;
  for (size_t i = 0; i < (size_t)plan.clients; i++)
    pthread_create (&threads[i], NULL, run_client, (void *)(i + 1));
}

void
pipeline_join (void)
{
  for (int i = 0; i < plan.clients; i++)
    pthread_join (threads[i], NULL);
}

void
pipeline_run (const struct pipeline_plan *chosen)
{
  pipeline_start (chosen);
  pipeline_join ();
}
