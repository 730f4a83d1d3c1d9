/// Clients send further safe requests before the first has been answered, and
/// their node gets SIGTERM. No request that was read and passed on to an
/// upstream may end without an answer (LOST, planned work).
#include "../common/pipeline.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 1200

/// The platform asks once a second whether the node is ready. After two
/// misses, 2 s at most, clients send it nothing more.
#define NO_NEW_WORK_MS 2000

#define SIGTERM_MS 12000
#define END_MS 17000
#define GRACE_MS 6000

static long sigterm_ms; ///< 0: not sent

static const char config[]
    = "{\"Version\":\"00000007\",\"Routes\":[{\"Name\":\"r-agenda\",\"Host\":"
      "\"agenda.example\",\"Prefix\":\"/agenda/\",\"RouteType\":\"safe\","
      "\"Timeout\":\"1500ms\",\"TargetLatency\":\"200ms\",\"Priority\":1,"
      "\"Service\":\"program\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":"
      "\"program\",\"HealthPath\":\"/healthz\",\"MaxConns\":130},{\"Name\":"
      "\"zapisy\",\"HealthPath\":\"/healthz\",\"MaxConns\":130}],\"Limits\":{"
      "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,\"HeaderTimeout\":"
      "\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";

/// Works for the time in the path, /agenda/MS/.
static void
handle (struct upstream_request *request)
{
  struct sent_request *sent = pipeline_find (request);
  sent->ran_at = request->machine;
  sent->run_ms = now_ms ();
  if (!upstream_work (request, atol (request->path + strlen ("/agenda/"))))
    return;
  sent->done_ms = now_ms ();
  upstream_answer (request, 200, "agenda");
}

/// Most requests take 30 to 80 ms, one in four 200 to 400 ms.
static void
draw_path (unsigned *seed, char *path, size_t size)
{
  int work_ms = rand_r (seed) % 4 == 0 ? 200 + rand_r (seed) % 200
                                       : 30 + rand_r (seed) % 50;
  snprintf (path, size, "/agenda/%d/", work_ms);
}

static bool
may_send (void)
{
  return sigterm_ms == 0 || now_ms () < sigterm_ms + NO_NEW_WORK_MS;
}

/// @return true when LOST counts the request: it was read and passed on to an
///         upstream, the connection ended without an answer, and neither its
///         deadline nor the time of the planned work was over
static bool
is_lost (const struct sent_request *request)
{
  return sigterm_ms != 0 && request->ended_ms != 0 && request->ran_at != NULL
         && request->ended_ms >= sigterm_ms
         && request->ended_ms < request->sent_ms + DEADLINE_MS
         && request->sent_ms < sigterm_ms + GRACE_MS + 1000;
}

static void
judge (void)
{
  int lost = 0;
  int answered = 0;
  char reason[96];
  for (int i = 0; i < request_count; i++)
    {
      const struct sent_request *request = &requests[i];
      answered += request->answered_ms != 0;
      if (!is_lost (request))
        continue;
      lost++;
      record ("LOST: %08x: sent %ld, reached %s %ld, connection ended %ld%s",
              i, request->sent_ms, request->ran_at->instance, request->run_ms,
              request->ended_ms,
              request->behind_close ? ", behind an answer that closes it"
                                    : "");
    }
  record ("%d requests sent, %d answered, %d lost", request_count, answered,
          lost);
  if (answered < 100 || (!trouble && answered < request_count))
    mesh_end (VERDICT_NOT_RUN, "the deployment does not serve");
  snprintf (reason, sizeof reason,
            "%d requests were passed on and ended without an answer", lost);
  mesh_end (lost > 0 ? VERDICT_BROKEN : VERDICT_HELD, reason);
}

int
main (int argc, char **argv)
{
  mesh_begin (argc, argv);
  struct machine *entry = mesh_add ("praha-a", "zapisy", handle);
  mesh_add ("praha-a", "program", handle);
  mesh_add ("praha-b", "program", handle);
  mesh_add ("kladno-c", "program", handle);
  mesh_start (config);
  pipeline_start (&(struct pipeline_plan){ .entry = entry,
                                           .clients = 12,
                                           .host = "agenda.example",
                                           .draw_path = draw_path,
                                           .gap_ms = 70,
                                           .unanswered_max = 4,
                                           .deadline_ms = DEADLINE_MS,
                                           .end_ms = END_MS,
                                           .may_send = may_send });
  while (now_ms () < SIGTERM_MS)
    sleep_ms (1);
  if (trouble)
    {
      sigterm_ms = now_ms ();
      sidecar_signal (entry, SIGTERM);
      if (!sidecar_wait (entry, GRACE_MS))
        mesh_end (VERDICT_NOT_RUN, "the sidecar outlasts its grace period");
      sidecar_start (entry);
    }
  pipeline_join ();
  sleep_ms (500);
  judge ();
}
