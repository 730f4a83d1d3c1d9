/// An upstream says that it leaves while the store is away, and its node is
/// killed after the acknowledgement and started again. A heartbeat from before
/// the leave arrives late. The node is bound by its acknowledgement: the
/// upstream gets nothing later than Drain after it (DRAIN).
#include "../common/mesh.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define REQUESTS_MAX 4000
#define DEADLINE_MS 4000
#define WORK_MS 300
#define DRAIN_MS 2000
#define STABLE_MS 3000

/// The store answers 503 for 4.5 s; the site has up to 8 s.
#define AWAY_MS 10000
#define AWAY_FOR_MS 4500

/// The leave, the kill of the node that has acknowledged it, its restart, and
/// the late heartbeat.
#define LEAVE_MS 11000
#define KILL_AFTER_MS 200
#define RESTART_AFTER_MS 500
#define LATE_BEAT_AFTER_MS 1500

/// The upstream serves for many seconds after the acknowledgement.
#define EXIT_AFTER_MS 8000
#define END_MS 21000

struct sent_request
{
  long sent_ms;
  long run_ms; ///< at the leaving upstream; 0: not run there
  long done_ms;
  long ended_ms;
  int status; ///< 0: no answer
};

static struct sent_request requests[REQUESTS_MAX];
static int request_count;
static struct machine *leaving;

static const char config[]
    = "{\"Version\":\"00000007\",\"Routes\":[{\"Name\":\"r-seal\",\"Host\":"
      "\"seal.example\",\"Prefix\":\"/seal/\",\"RouteType\":\"unsafe\","
      "\"Timeout\":\"2000ms\",\"TargetLatency\":\"600ms\",\"Priority\":1,"
      "\"Service\":\"pecet\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":"
      "\"pecet\",\"HealthPath\":\"/healthz\",\"MaxConns\":130}],\"Limits\":{"
      "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,\"HeaderTimeout\":"
      "\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";

static void
handle (struct upstream_request *request)
{
  struct sent_request *sent = &requests[strtol (request->id, NULL, 16)];
  bool is_leaving = request->machine == leaving;
  if (is_leaving)
    sent->run_ms = now_ms ();
  if (!upstream_work (request, WORK_MS))
    return;
  if (is_leaving)
    sent->done_ms = now_ms ();
  upstream_answer (request, 200, "sealed");
}

static void *
run_client (void *arg)
{
  int number = (int)(size_t)arg;
  struct reader *reader = calloc (1, sizeof *reader);
  int s = -1;
  while (now_ms () < END_MS)
    {
      if (s < 0)
        s = mesh_connect (leaving, 1);
      if (s < 0)
        {
          sleep_ms (100);
          continue;
        }
      int index = __atomic_fetch_add (&request_count, 1, __ATOMIC_SEQ_CST);
      if (index >= REQUESTS_MAX)
        mesh_end (VERDICT_NOT_RUN, "too many requests");
      struct sent_request *sent = &requests[index];
      *reader = (struct reader){ .socket = s };
      sent->sent_ms = now_ms ();
      send_text (s,
                 "POST /seal/%d HTTP/1.1\r\nHost: seal.example\r\n"
                 "Hawthornseam-Request-Id: %016x\r\n"
                 "Hawthornseam-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
                 index, index, DEADLINE_MS);
      struct response response;
      read_response (reader, &response, now_ms () + DEADLINE_MS);
      sent->status = response.complete ? response.status : 0;
      sent->ended_ms = now_ms ();
      record ("client %d: %016x, sent %ld, is answered %d", number, index,
              sent->sent_ms, sent->status);
      if (!response.complete || response.close)
        {
          close (s);
          s = -1;
        }
      sleep_ms (50);
    }
  free (reader);
  return NULL;
}

static void
wait_until (long ms)
{
  while (now_ms () < ms)
    sleep_ms (1);
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];
  char reason[160];
  mesh_begin (argc, argv);
  leaving = mesh_add ("praha-a", "pecet", handle);
  mesh_add ("praha-b", "pecet", handle);
  mesh_add ("kladno-c", "pecet", handle);
  mesh_start (config);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, run_client, (void *)i);
  wait_until (AWAY_MS);
  if (trouble)
    store_control ("away?1", "");
  wait_until (LEAVE_MS);
  /* This upstream reports no draining and sends no heartbeat after it. */
  leaving->beats = false;
  sleep_ms (100);
  long late_sequence = ++leaving->sequence;
  if (upstream_deregister (leaving) != 200)
    mesh_end (VERDICT_NOT_RUN, "the leave is not acknowledged");
  long acknowledged_ms = now_ms ();
  long restarted_ms = 0;
  if (trouble)
    {
      wait_until (acknowledged_ms + KILL_AFTER_MS);
      sidecar_signal (leaving, SIGKILL);
      sidecar_wait (leaving, 2000);
      sleep_ms (RESTART_AFTER_MS);
      sidecar_start (leaving);
      restarted_ms = now_ms ();
    }
  wait_until (acknowledged_ms + LATE_BEAT_AFTER_MS);
  record ("%s: the heartbeat %ld, ready, sent before the leave, arrives: %d",
          leaving->name, late_sequence,
          upstream_report (leaving, "ready", late_sequence));
  if (trouble)
    {
      wait_until (AWAY_MS + AWAY_FOR_MS);
      store_control ("away?0", "");
    }
  wait_until (acknowledged_ms + EXIT_AFTER_MS);
  upstream_stop (leaving);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  /* All are in touch once the restart and the store's return are StableWindow
     ago. */
  long in_touch_ms
      = trouble ? AWAY_MS + AWAY_FOR_MS + STABLE_MS : acknowledged_ms;
  if (in_touch_ms < restarted_ms + STABLE_MS)
    in_touch_ms = restarted_ms + STABLE_MS;
  int late = 0;
  int lost = 0;
  int answered = 0;
  for (int i = 0; i < request_count; i++)
    {
      const struct sent_request *sent = &requests[i];
      answered += sent->status == 200;
      if (sent->run_ms <= acknowledged_ms + DRAIN_MS
          || sent->sent_ms < in_touch_ms)
        continue;
      late++;
      lost += sent->status != 200;
      record ("DRAIN: %016x, sent %ld, reached %s %ld ms after the "
              "acknowledgement, answered %d",
              i, sent->sent_ms, leaving->instance,
              sent->run_ms - acknowledged_ms, sent->status);
    }
  record ("%d requests sent, %d answered 200, %d reached the leaving upstream "
          "too late, %d of them were lost",
          request_count, answered, late, lost);
  if (answered < 100)
    mesh_end (VERDICT_NOT_RUN, "the deployment does not serve");
  snprintf (reason, sizeof reason,
            "%d requests reached the leaving upstream too late, %d of them "
            "were lost when it ended",
            late, lost);
  mesh_end (late > 0 ? VERDICT_BROKEN : VERDICT_HELD, reason);
}
