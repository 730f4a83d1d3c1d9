/// Clients with ids of 16 and of 72 bytes ask upstreams that now and then send
/// an extra copy of an answer late, at the point where the next answer is
/// expected. No client may get the answer to another request (MIXED).
#include "../common/mesh.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 8
#define DEADLINE_MS 3000
#define WORK_MS 20

/// The trouble lasts 5 s, as in the site file.
#define TROUBLE_BEGIN_MS 9000
#define TROUBLE_END_MS 14000
#define END_MS 15000

/// Three answers in a hundred are sent twice: x = 0.03 of the site file.
#define EXTRA_IN 33

static int sent;
static int answered;
static int foreign;
static int extras;

static const char config[]
    = "{\"Version\":\"00000007\",\"Routes\":[{\"Name\":\"r-minutes\",\"Host\":"
      "\"minutes.example\",\"Prefix\":\"/minutes/\",\"RouteType\":\"safe\","
      "\"Timeout\":\"1500ms\",\"TargetLatency\":\"500ms\",\"Priority\":2,"
      "\"Service\":\"zapisy\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":"
      "\"zapisy\",\"HealthPath\":\"/healthz\",\"MaxConns\":130},{\"Name\":"
      "\"pecet\",\"HealthPath\":\"/healthz\",\"MaxConns\":130}],\"Limits\":{"
      "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,\"HeaderTimeout\":"
      "\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";

/// Writes the answer to a request: its path is the body.
static void
write_answer (struct upstream_request *request, const char *id,
              const char *body)
{
  send_text (request->socket,
             "HTTP/1.1 200 OK\r\nHawthornseam-Request-Id: %s\r\n"
             "Hawthornseam-Response-Seal: seal-%s\r\nContent-Length: %zu\r\n"
             "Hawthornseam-Server-Load: 0,0,12\r\n\r\n%s",
             id, id, strlen (body), body);
}

static void
handle (struct upstream_request *request)
{
  /* The threads of an upstream serve one connection each. */
  static __thread char last_path[256];
  static __thread bool extra;
  static int answers;
  if (!upstream_work (request, WORK_MS))
    return;
  if (extra)
    {
      __atomic_add_fetch (&extras, 1, __ATOMIC_SEQ_CST);
      record ("%s: upstream %s: sends the answer to %s once more, before that "
              "to %s",
              request->machine->name, request->machine->instance,
              request->previous, request->id);
      write_answer (request, request->previous, last_path);
    }
  write_answer (request, request->id, request->path);
  snprintf (last_path, sizeof last_path, "%s", request->path);
  extra
      = trouble && now_ms () >= TROUBLE_BEGIN_MS && now_ms () < TROUBLE_END_MS
        && __atomic_add_fetch (&answers, 1, __ATOMIC_SEQ_CST) % EXTRA_IN == 0;
}

static void *
run_client (void *arg)
{
  int number = (int)(size_t)arg;
  struct machine *entry = &machines[0];
  struct reader *reader = calloc (1, sizeof *reader);
  int s = -1;
  while (now_ms () < END_MS)
    {
      int index = __atomic_add_fetch (&sent, 1, __ATOMIC_SEQ_CST);
      char id[128], path[64];
      if (number % 2 == 0)
        snprintf (id, sizeof id, "%016x", index);
      else
        snprintf (id, sizeof id,
                  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-"
                  "%016x",
                  index);
      snprintf (path, sizeof path, "/minutes/%d", index);
      if (s < 0)
        {
          s = mesh_connect (entry, 1);
          *reader = (struct reader){ .socket = s };
        }
      send_text (s,
                 "GET %s HTTP/1.1\r\nHost: minutes.example\r\n"
                 "Hawthornseam-Request-Id: %s\r\nHawthornseam-Deadline-Ms: %d"
                 "\r\n\r\n",
                 path, id, DEADLINE_MS);
      struct response response;
      read_response (reader, &response, now_ms () + DEADLINE_MS);
      if (response.complete && response.status == 200)
        {
          bool is_own = strcmp (response.id, id) == 0
                        && strcmp (response.body, path) == 0;
          __atomic_add_fetch (&answered, 1, __ATOMIC_SEQ_CST);
          if (!is_own)
            {
              __atomic_add_fetch (&foreign, 1, __ATOMIC_SEQ_CST);
              record ("MIXED: client %d: %s GET %s is answered 200 with id %s "
                      "and body %s",
                      number, id, path, response.id, response.body);
            }
        }
      else
        record ("client %d: %s is answered %d, %s", number, id,
                response.status, response.complete ? "whole" : "not whole");
      if (!response.complete || response.close)
        {
          close (s);
          s = -1;
        }
      sleep_ms (15);
    }
  free (reader);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];
  char reason[96];
  mesh_begin (argc, argv);
  mesh_add ("praha-a", "pecet", handle);
  mesh_add ("praha-a", "zapisy", handle);
  mesh_add ("praha-b", "zapisy", handle);
  mesh_start (config);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, run_client, (void *)i);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  record ("%d requests sent, %d answered, %d extra answers, %d answers of "
          "another request",
          sent, answered, extras, foreign);
  if (answered < 500 || (trouble && extras == 0))
    mesh_end (VERDICT_NOT_RUN, "the deployment does not serve");
  snprintf (reason, sizeof reason,
            "%d clients got the answer to another request", foreign);
  mesh_end (foreign > 0 ? VERDICT_BROKEN : VERDICT_HELD, reason);
}
