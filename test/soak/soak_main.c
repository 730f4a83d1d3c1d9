/// Main program of the soak: starts its parts, runs the event loop and prints
/// the result.
///   soak [--seed N] [--seconds N] [--nodes N] [--calls N] [--port N]
///        [--large-uploads] --program SIDECAR --directory DIR
/// Exit codes: 0 every guarantee held, 1 one was violated, 2 usage or start-up
/// error.
#include "soak.h"

#include "base/clock.h"

#include <errno.h>
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define TICK_MS 20

/// If a tick is later than this, the soak itself did not get to run. What it
/// measured at that time says nothing about the nodes.
#define STALL_MS 120

#define READY_POLL_MS 1000

/// The nodes are paused for this long at the end, in which most targets send a
/// heartbeat.
#define LAST_PAUSE_MS 900

/// Time without faults at the end of a run: recovery, then measurement.
#define FAULT_FREE_MS (SOAK_RECOVERY_MS + 4000)

const char *const soak_services[SOAK_SERVICES]
    = { "menu", "orders", "sheets" };
const char *const soak_paths[SOAK_KINDS]
    = { "/read/", "/seal/", "/sheet/", "/turn/", "", "/upload/" };

static FILE *log_file;

static void
write_log (struct soak *soak, const char *kind, const char *format,
           va_list list)
{
  fprintf (log_file, "%8.3f %s ",
           (double)(clock_monotonic_ms () - soak->started_ms) / 1000, kind);
  vfprintf (log_file, format, list);
  fputc ('\n', log_file);
}

void
soak_log (struct soak *soak, const char *format, ...)
{
  va_list list;
  va_start (list, format);
  write_log (soak, "note", format, list);
  va_end (list);
}

void
soak_violation (struct soak *soak, const char *guarantee, const char *format,
                ...)
{
  va_list list;
  soak->violations++;
  va_start (list, format);
  write_log (soak, guarantee, format, list);
  va_end (list);
  if (soak->violations > 20)
    return;
  printf ("BROKEN seed=%" PRIu64 " at=%.3f %s: ", soak->options.seed,
          (double)(clock_monotonic_ms () - soak->started_ms) / 1000,
          guarantee);
  va_start (list, format);
  vprintf (format, list);
  va_end (list);
  putchar ('\n');
}

bool
soak_is_stable (const struct soak *soak, uint64_t since_ms)
{
  uint64_t faulty_ms = soak->faulty_until_ms > soak->stalled_until_ms
                           ? soak->faulty_until_ms
                           : soak->stalled_until_ms;
  return since_ms > faulty_ms + SOAK_STABLE_MS;
}

bool
soak_node_is_stable (const struct soak_node *node, uint64_t since_ms)
{
  const struct soak *soak = node->soak;
  return since_ms > node->faulty_until_ms + SOAK_STABLE_MS
         && since_ms > soak->store_faulty_until_ms + SOAK_STABLE_MS
         && since_ms > soak->stalled_until_ms + SOAK_STABLE_MS
         && since_ms > node->started_ms + SOAK_STABLE_MS && node->process > 0;
}

uint16_t
soak_port (const struct soak_node *node, unsigned use)
{
  return (uint16_t)(node->soak->options.base_port + 1
                    + node->index * SOAK_PORTS + use);
}

void
soak_ignore_body (void *arg, const char *data, size_t size)
{
}

static void
on_ready_head (void *arg, struct http_head *head)
{
  ((struct soak_node *)arg)->ready = head->status == 200;
}

static void
on_ready_end (void *arg, enum http_end end)
{
  struct soak_node *node = arg;
  node->ready_poll = NULL;
  if (end != HTTP_END_COMPLETE)
    node->ready = false;
}

static const struct http_exchange_ops ready_ops
    = { .head = on_ready_head, .body = soak_ignore_body, .end = on_ready_end };

static struct http_pool ready_pool;
static uint64_t last_ready_poll_ms;

/// Polls the readiness of each node, as the platform does.
static void
poll_readiness (struct soak *soak, uint64_t now_ms)
{
  if (now_ms < last_ready_poll_ms + READY_POLL_MS)
    return;
  last_ready_poll_ms = now_ms;
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      /* A paused node answers when it resumes. */
      if (node->ready_poll != NULL)
        continue;
      struct evbuffer *bytes = evbuffer_new ();
      evbuffer_add_printf (bytes,
                           "GET /api/readyz HTTP/1.1\r\nHost: node\r\n\r\n");
      struct http_send send = { .address = SOAK_LOOPBACK,
                                .port = soak_port (node, SOAK_PORT_READY),
                                .request = bytes };
      node->ready_poll = http_pool_send (&ready_pool, &send, &ready_ops, node);
      if (node->ready_poll == NULL)
        node->ready = false;
      evbuffer_free (bytes);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct soak *soak = arg;
  uint64_t now = clock_monotonic_ms ();
  if (now > soak->tick_ms + TICK_MS + STALL_MS)
    {
      soak_log (soak, "the soak was stalled for %" PRIu64 " ms",
                now - soak->tick_ms);
      soak->stalled_until_ms = now;
    }
  soak->tick_ms = now;
  soak_process_tick (soak);
  poll_readiness (soak, now);
  static bool faults_ended;
  if (!faults_ended && now >= soak->faults_end_ms)
    {
      faults_ended = true;
      soak_log (soak, "no more faults");
      soak_faults_end (soak);
    }
  if (!soak->stopping && now >= soak->faults_end_ms + FAULT_FREE_MS)
    event_base_loopbreak (soak->base);
}

static bool
parse_options (int argc, char **argv, struct soak_options *options)
{
  static const struct option names[]
      = { { "seed", required_argument, NULL, 's' },
          { "seconds", required_argument, NULL, 't' },
          { "nodes", required_argument, NULL, 'n' },
          { "calls", required_argument, NULL, 'c' },
          { "port", required_argument, NULL, 'p' },
          { "large-uploads", no_argument, NULL, 'l' },
          { "program", required_argument, NULL, 'x' },
          { "directory", required_argument, NULL, 'd' },
          { NULL, 0, NULL, 0 } };
  *options = (struct soak_options){ .seed = 1,
                                    .seconds = 60,
                                    .nodes = 9,
                                    .calls_per_s = 150,
                                    .base_port = 21000 };
  int option;
  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 's':
        options->seed = strtoull (optarg, NULL, 10);
        break;
      case 't':
        options->seconds = (unsigned)atoi (optarg);
        break;
      case 'n':
        options->nodes = (unsigned)atoi (optarg);
        break;
      case 'c':
        options->calls_per_s = (unsigned)atoi (optarg);
        break;
      case 'p':
        options->base_port = (unsigned)atoi (optarg);
        break;
      case 'l':
        options->large_uploads = true;
        break;
      case 'x':
        options->program = optarg;
        break;
      case 'd':
        options->directory = optarg;
        break;
      default:
        return false;
      }
  return options->program != NULL && options->directory != NULL
         && options->nodes >= SOAK_SERVICES && options->nodes <= SOAK_NODES_MAX
         && options->calls_per_s > 0 && options->seconds * 1000 > FAULT_FREE_MS
         && options->base_port + 1 + options->nodes * SOAK_PORTS < 32000;
}

static enum status
start_node (struct soak *soak, size_t index)
{
  struct soak_node *node = &soak->nodes[index];
  node->soak = soak;
  node->index = index;
  node->service = index % SOAK_SERVICES;
  snprintf (node->name, sizeof node->name, "node-%zu", index);
  static const unsigned server_port[PROXY_SIDES]
      = { SOAK_PORT_PEERS, 0, SOAK_PORT_TARGET };
  for (unsigned i = 0; i < PROXY_SIDES; i++)
    {
      uint16_t forward = i == PROXY_STORE ? (uint16_t)soak->options.base_port
                                          : soak_port (node, server_port[i]);
      node->proxies[i] = soak_proxy_new (
          soak->base, soak_port (node, SOAK_PORT_PROXY + i), forward);
    }
  soak_proxy_open (node->proxies[PROXY_STORE], true);
  enum status status = soak_target_start (node);
  if (status != STATUS_OK)
    return status;
  soak_process_start (node);
  soak_callers_start (node);
  return STATUS_OK;
}

/// Pauses all nodes, so that every run ends with exchanges in flight. The
/// leak checker reports those that are not cancelled.
static void
pause_all (struct soak *soak)
{
  soak->stopping = true;
  for (size_t i = 0; i < soak->node_count; i++)
    soak_process_signal (&soak->nodes[i], SIGSTOP);
  event_base_loopexit (soak->base,
                       &(struct timeval){ 0, 1000 * LAST_PAUSE_MS });
  event_base_dispatch (soak->base);
}

static void
stop_all (struct soak *soak)
{
  soak->stopping = true;
  soak_faults_stop ();
  soak_callers_stop_hot (soak);
  for (size_t i = 0; i < soak->node_count; i++)
    soak_callers_stop (&soak->nodes[i]);
  soak_process_kill_all (soak);
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      soak_target_stop (node);
      if (node->ready_poll != NULL)
        http_exchange_cancel (node->ready_poll);
      for (int side = 0; side < PROXY_SIDES; side++)
        soak_proxy_free (node->proxies[side]);
    }
  soak_heartbeat_finish ();
  http_pool_finish (&ready_pool);
  soak_store_stop (soak);
}

static void
on_interrupt (evutil_socket_t number, short what, void *arg)
{
  event_base_loopbreak (arg);
}

int
main (int argc, char **argv)
{
  static struct soak soak;
  if (sodium_init () < 0 || !parse_options (argc, argv, &soak.options))
    {
      fprintf (stderr, "usage: soak --program SIDECAR --directory DIR "
                       "[--seed N] [--seconds N (20 or more)] [--nodes N] "
                       "[--calls N] [--port N] [--large-uploads]\n");
      return 2;
    }
  char path[512];
  mkdir (soak.options.directory, 0755);
  snprintf (path, sizeof path, "%s/soak.log", soak.options.directory);
  log_file = fopen (path, "w");
  if (log_file == NULL)
    {
      perror (path);
      return 2;
    }
  setvbuf (log_file, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  rng_init (&soak.rng, soak.options.seed);
  soak.base = event_base_new ();
  soak.started_ms = clock_monotonic_ms ();
  soak.tick_ms = soak.started_ms;
  soak.faults_end_ms
      = soak.started_ms + soak.options.seconds * 1000 - FAULT_FREE_MS;
  static const struct http_pool_options ready_options
      = { .idle_ms = 500, .connect_ms = 1000 };
  http_pool_init (&ready_pool, soak.base, &ready_options);
  soak_ledger_init ();
  enum status status = soak_store_start (&soak);
  while (status == STATUS_OK && soak.node_count < soak.options.nodes)
    status = start_node (&soak, soak.node_count++);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "soak: cannot listen: %s\n", status_message ());
      stop_all (&soak);
      return 2;
    }
  soak_store_next_version (&soak);
  soak_faults_start (&soak);
  soak_callers_start_hot (&soak);
  event_assign (&soak.tick, soak.base, -1, EV_PERSIST, on_tick, &soak);
  event_add (&soak.tick, &(struct timeval){ 0, TICK_MS * 1000 });
  struct event *interrupt
      = evsignal_new (soak.base, SIGINT, on_interrupt, soak.base);
  struct event *terminate
      = evsignal_new (soak.base, SIGTERM, on_interrupt, soak.base);
  event_add (interrupt, NULL);
  event_add (terminate, NULL);
  event_base_dispatch (soak.base);
  soak_ledger_check (&soak);
  pause_all (&soak);
  stop_all (&soak);
  soak_ledger_finish ();
  event_free (interrupt);
  event_free (terminate);
  event_del (&soak.tick);
  /* What still belongs to a timer or connection here is a leak. */
  event_base_free (soak.base);
  fclose (log_file);
  return soak.violations > 0 ? 1 : 0;
}
