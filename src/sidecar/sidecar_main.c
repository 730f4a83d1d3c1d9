/// The sidecar program: reads the settings, starts all parts, and on SIGTERM
/// or SIGINT finishes the requests in progress before it exits. SIGHUP reloads
/// the settings.
#include "base/clock.h"
#include "base/findings.h"
#include "base/log.h"
#include "platform/platform.h"
#include "protocol/call_headers.h"
#include "sidecar/sidecar_leave.h"
#include "sidecar/sidecar_quota.h"
#include "transport/timer.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <talloc.h>

#define PROGRAM "hawthornseam-sidecar"
#define VERSION "0.2.0"

/// Environment variable in which the platform passes the settings file's path.
#define SETTINGS_VARIABLE "HAWTHORNSEAM_SETTINGS"

/// Interval of the periodic work.
#define TICK_MS 50

/// Interval at which the settings file is checked for changes.
#define SETTINGS_CHECK_MS 1000

/// Interval at which buffered log lines are written.
#define LOG_FLUSH_MS 100

/// Idle connections to other nodes and to the target are closed after this
/// time. A node in use receives a request every few milliseconds.
#define PEER_IDLE_MS 4000
#define TARGET_IDLE_MS 8000

/// Connect timeouts. Connecting within a region takes a few milliseconds; an
/// unreachable VM does not respond at all.
#define PEER_CONNECT_MS 250
#define TARGET_CONNECT_MS 500

/// Longest idle time of a connection to this node, and longest time to receive
/// a request on it.
#define SERVER_IDLE_MS 60000
#define SERVER_RECEIVE_MS 10000

/// Time on the link of what the kernel, and this node, each hold of a response
/// to another node before it is sent. The rest waits at its target, in its
/// turn, so that a response is not counted as sent while the link still has to
/// carry it.
#define LINK_AHEAD_MS 5

/// The same for a slow link, bytes: one write of libevent.
#define LINK_AHEAD_BYTES_MIN (16u * 1024)

/// Connections with unsent bytes that are logged when the process ends.
#define CUT_LINES_MAX 20

/// Fields of a 503 that a server itself sends, with the wait that callers are
/// told elsewhere: the node of the caller then knows that the request did not
/// run and offers it to another node.
#define NOT_RUN_FIELDS                                                        \
  CALL_HEADER_OUTCOME ": not-run\r\n" CALL_HEADER_REASON                      \
                      ": " CALL_REASON_BUSY "\r\nRetry-After: 0.300\r\n"

/// Limit of open files when the system states none, and the largest one that
/// is used; the platform's machines allow 4,100 to 8,192.
#define DESCRIPTORS_DEFAULT 1024
#define DESCRIPTORS_MAX 65536

enum exit_code
{
  EXIT_CODE_OK = 0,
  EXIT_CODE_FAILED = 1,
  EXIT_CODE_USAGE = 2
};

struct options
{
  const char *settings_path;
  bool check_only;
};

/// Parses the command line.
/// @return -1 to continue, or the exit code
static int
parse_options (int argc, char **argv, struct options *options)
{
  struct arg_file *settings = arg_file0 (
      "s", "settings", "FILE",
      "YAML settings; default: the file named in " SETTINGS_VARIABLE);
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, check, help, version, end };
  int code = -1;
  int errors = arg_parse (argc, argv, table);
  options->settings_path = settings->count > 0 ? settings->filename[0]
                                               : getenv (SETTINGS_VARIABLE);
  options->check_only = check->count > 0;
  if (help->count > 0)
    {
      printf ("Usage: %s", PROGRAM);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
      code = EXIT_CODE_OK;
    }
  else if (version->count > 0)
    {
      puts (PROGRAM " " VERSION);
      code = EXIT_CODE_OK;
    }
  else if (errors > 0 || options->settings_path == NULL)
    {
      arg_print_errors (stderr, end, PROGRAM);
      if (options->settings_path == NULL)
        fputs (PROGRAM
               ": no settings: give --settings or set " SETTINGS_VARIABLE "\n",
               stderr);
      code = EXIT_CODE_USAGE;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

static void
close_idle_connections (struct sidecar *sidecar)
{
  http_server_close_idle (&sidecar->calls);
  http_server_close_idle (&sidecar->peers);
}

static void
end_process (struct sidecar *sidecar)
{
  log_event (LOG_LEVEL_INFO, "drained", "after_ms=%" PRIu64 " in_progress=%zu",
             clock_monotonic_ms () - sidecar->stopping_ms,
             sidecar->calls.in_progress + sidecar->peers.in_progress);
  sidecar_outbound_log_cut (sidecar, CUT_LINES_MAX);
  http_server_log_unsent (&sidecar->calls, "calls", CUT_LINES_MAX);
  http_server_log_unsent (&sidecar->peers, "peers", CUT_LINES_MAX);
  event_base_loopbreak (sidecar->base);
}

/// The grace period is about to end.
static void
on_exit_timer (evutil_socket_t fd, short what, void *arg)
{
  end_process (arg);
}

/// Ends the event loop once callers had time to leave and all responses were
/// sent.
static void
continue_stop (struct sidecar *sidecar, uint64_t now_ms)
{
  uint64_t stopped_for_ms = now_ms - sidecar->stopping_ms;
  if (stopped_for_ms < sidecar->stop_plan.accept_callers_ms)
    return;
  /* Until then the order of responses on the link matters more. */
  if (stopped_for_ms >= sidecar->stop_plan.answer_by_ms)
    http_server_end_kernel_limit (&sidecar->peers);
  close_idle_connections (sidecar);
  bool idle = !http_server_has_work (&sidecar->calls)
              && !http_server_has_work (&sidecar->peers);
  /* Once the listeners are closed, the connections that were still waiting are
     answered before the process exits. */
  bool listening = sidecar->calls.listener != NULL;
  if (idle && listening)
    {
      http_server_stop_accepting (&sidecar->calls);
      http_server_stop_accepting (&sidecar->peers);
    }
  if (idle && !listening)
    end_process (sidecar);
}

static void
on_log_timer (evutil_socket_t fd, short what, void *arg)
{
  log_flush ();
}

static void
on_stop_signal (evutil_socket_t number, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  if (sidecar->stopping)
    return;
  sidecar->stopping = true;
  sidecar->stopping_ms = clock_monotonic_ms ();
  sidecar->stop_plan = stop_plan_make (sidecar->settings.grace_ms);
  timer_start (&sidecar->exit_timer, sidecar->stop_plan.exit_by_ms);
  log_event (LOG_LEVEL_INFO, "stopping",
             "signal=%d callers=%zu in_progress=%zu grace_ms=%" PRIu32,
             (int)number, sidecar->calls.connections,
             sidecar->calls.in_progress + sidecar->peers.in_progress,
             sidecar->settings.grace_ms);
  http_server_drain (&sidecar->calls);
  sidecar_outbound_stopping (sidecar);
  if (sidecar_moves_is_driving (sidecar))
    sidecar_store_announce (sidecar);
}

/// @return modification time of the settings file, or 0 when it cannot be read
static int64_t
settings_modified_ns (const struct sidecar *sidecar)
{
  struct stat state;
  if (stat (sidecar->settings_path, &state) != 0)
    return 0;
  return (int64_t)state.st_mtim.tv_sec * 1000000000 + state.st_mtim.tv_nsec;
}

static void
reload (struct sidecar *sidecar)
{
  struct sidecar_settings settings;
  struct findings findings;
  findings_init (&findings, sidecar->settings_path);
  enum status status
      = sidecar_settings_load (&settings, sidecar->settings_path, &findings);
  if (status != STATUS_OK)
    log_event (LOG_LEVEL_ERROR, "reload_refused", "findings=%zu reason=\"%s\"",
               findings.total, status_message ());
  else
    {
      /* These settings take effect at once. All others, such as the addresses
         and the retry ratio, keep their values until a restart. */
      struct sidecar_settings *active = &sidecar->settings;
      active->heartbeat_ms = settings.heartbeat_ms;
      active->drain_ms = settings.drain_ms;
      active->config_apply_ms = settings.config_apply_ms;
      active->grace_ms = settings.grace_ms;
      active->retry_slack = settings.retry_slack;
      active->admission = settings.admission;
      log_event (LOG_LEVEL_INFO, "reloaded", "path=%s",
                 sidecar->settings_path);
    }
  findings_finish (&findings);
}

static void
on_reload_signal (evutil_socket_t number, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  sidecar->settings_changed_ns = settings_modified_ns (sidecar);
  reload (sidecar);
}

/// Reloads the settings when the file was modified without a signal.
static void
check_settings (struct sidecar *sidecar, uint64_t now_ms)
{
  if (now_ms - sidecar->settings_checked_ms < SETTINGS_CHECK_MS)
    return;
  sidecar->settings_checked_ms = now_ms;
  int64_t changed_ns = settings_modified_ns (sidecar);
  if (changed_ns == sidecar->settings_changed_ns || changed_ns == 0)
    return;
  sidecar->settings_changed_ns = changed_ns;
  reload (sidecar);
}

/// Notices the end of a pause, at the latest with the first tick after it.
static void
note_pause (struct sidecar *sidecar, uint64_t now_ms)
{
  uint64_t gap_ms
      = sidecar->last_tick_ms == 0 ? 0 : now_ms - sidecar->last_tick_ms;
  sidecar->last_tick_ms = now_ms;
  if (gap_ms < SIDECAR_PAUSE_MS_MIN)
    return;
  sidecar->resumed_us = now_ms * 1000;
  log_event (LOG_LEVEL_WARNING, "resumed", "paused_ms=%" PRIu64, gap_ms);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct sidecar *sidecar = arg;
  note_pause (sidecar, clock_monotonic_ms ());
  sidecar_target_tick (sidecar);
  sidecar_inbound_tick (sidecar);
  sidecar_store_tick (sidecar);
  sidecar_leave_tick (sidecar);
  sidecar_moves_tick (sidecar);
  sidecar_quota_tick (sidecar);
  check_settings (sidecar, clock_monotonic_ms ());
  if (sidecar->stopping)
    continue_stop (sidecar, clock_monotonic_ms ());
}

/// @return bytes of a response to another node that are taken ahead of the
///         link; 0 when its rate is not known
static uint32_t
link_ahead_bytes (const struct sidecar *sidecar)
{
  uint32_t size = sidecar->settings.link_kbit_per_s / 8 * LINK_AHEAD_MS;
  return size > 0 && size < LINK_AHEAD_BYTES_MIN ? LINK_AHEAD_BYTES_MIN : size;
}

static enum status
start_server (struct sidecar *sidecar, struct http_server *server,
              const struct settings_endpoint *endpoint,
              const struct http_server_ops *ops, enum memory_budget_use use)
{
  const struct http_server_limits limits
      = { .head_bytes = HTTP_HEAD_BYTES_MAX,
          .body_bytes = SIDECAR_BODY_BYTES_MAX,
          .receive_ms = SERVER_RECEIVE_MS,
          .idle_ms = SERVER_IDLE_MS };
  if (endpoint->port == 0)
    return STATUS_OK;
  enum status status
      = http_server_start (server, sidecar->base, endpoint->address,
                           endpoint->port, &limits, ops, sidecar);
  http_server_use_budget (server, &sidecar->budget, use);
  server->not_run_fields = NOT_RUN_FIELDS;
  if (server == &sidecar->peers)
    server->kernel_unsent_max = link_ahead_bytes (sidecar);
  server->id_header = sidecar->adapter->headers.request_id;
  return status;
}

/// @return limit of this process's open files
static size_t
descriptor_limit (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return DESCRIPTORS_DEFAULT;
  return limit.rlim_cur > DESCRIPTORS_MAX ? DESCRIPTORS_MAX
                                          : (size_t)limit.rlim_cur;
}

static enum status
start (struct sidecar *sidecar)
{
  const struct sidecar_settings *settings = &sidecar->settings;
  const struct http_pool_options peer
      = { .idle_ms = PEER_IDLE_MS,
          .connect_ms = PEER_CONNECT_MS,
          .head_bytes = HTTP_HEAD_BYTES_MAX + HTTP_HEAD_ADDED_BYTES_MAX,
          .budget = &sidecar->budget };
  const struct http_pool_options target
      = { .idle_ms = TARGET_IDLE_MS,
          .connect_ms = TARGET_CONNECT_MS,
          .budget = &sidecar->budget,
          .id_header = sidecar->adapter->headers.request_id };
  memory_budget_init (&sidecar->budget, settings->memory_mb,
                      descriptor_limit (), http_server_shed);
  TAILQ_INIT (&sidecar->outbound);
  directory_init (&sidecar->directory);
  retry_quota_init (&sidecar->retry_quotas, settings->retry_ratio_permille);
  transfer_scheduler_init (&sidecar->transfers, &sidecar_transfer_ops,
                           sidecar);
  admission_queue_init (&sidecar->admission, &sidecar_admission_ops, sidecar);
  sidecar->admission.link_bytes_per_s
      = (uint64_t)sidecar->settings.link_kbit_per_s * 1000 / 8;
  http_pool_init (&sidecar->peer_pool, sidecar->base, &peer);
  http_pool_init (&sidecar->target_pool, sidecar->base, &target);
  enum status status = sidecar_store_start (sidecar);
  if (status == STATUS_OK)
    status = sidecar_leave_start (sidecar);
  if (status == STATUS_OK)
    status = sidecar_moves_start (sidecar);
  if (status == STATUS_OK)
    status = sidecar_crash_start (sidecar);
  if (status == STATUS_OK)
    status = sidecar_quota_start (sidecar);
  const struct
  {
    struct http_server *server;
    const struct settings_endpoint *endpoint;
    const struct http_server_ops *ops;
    enum memory_budget_use use;
  } servers[] = {
    { &sidecar->calls, &settings->calls, &sidecar_outbound_ops,
      MEMORY_BUDGET_CALLERS },
    { &sidecar->peers, &settings->peers, &sidecar_inbound_ops,
      MEMORY_BUDGET_NODES },
    { &sidecar->ready, &settings->ready, &sidecar_ready_ops,
      MEMORY_BUDGET_LOCAL },
    { &sidecar->reports, &settings->reports, &sidecar_report_ops,
      MEMORY_BUDGET_LOCAL },
    { &sidecar->metrics, &settings->metrics, &sidecar_metrics_ops,
      MEMORY_BUDGET_LOCAL },
  };
  for (size_t i = 0; status == STATUS_OK && i < 5; i++)
    status = start_server (sidecar, servers[i].server, servers[i].endpoint,
                           servers[i].ops, servers[i].use);
  return status;
}

static void
stop (struct sidecar *sidecar)
{
  http_server_stop (&sidecar->calls);
  http_server_stop (&sidecar->peers);
  http_server_stop (&sidecar->ready);
  http_server_stop (&sidecar->reports);
  http_server_stop (&sidecar->metrics);
  sidecar_moves_stop (sidecar);
  sidecar_leave_stop (sidecar);
  sidecar_store_stop (sidecar);
  sidecar_crash_stop (sidecar);
  sidecar_quota_stop (sidecar);
  http_pool_finish (&sidecar->peer_pool);
  http_pool_finish (&sidecar->target_pool);
  directory_finish (&sidecar->directory);
  retry_quota_finish (&sidecar->retry_quotas);
  talloc_free (sidecar->config);
}

/// Blocks or unblocks SIGHUP. One that arrives before its handler is installed
/// would end the process.
/// @param how  SIG_BLOCK or SIG_UNBLOCK
static void
mask_reload_signal (int how)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

static int
run (struct sidecar *sidecar)
{
  struct event *signals[3];
  signals[0] = evsignal_new (sidecar->base, SIGTERM, on_stop_signal, sidecar);
  signals[1] = evsignal_new (sidecar->base, SIGINT, on_stop_signal, sidecar);
  signals[2] = evsignal_new (sidecar->base, SIGHUP, on_reload_signal, sidecar);
  for (size_t i = 0; i < 3; i++)
    event_add (signals[i], NULL);
  mask_reload_signal (SIG_UNBLOCK);
  event_assign (&sidecar->tick, sidecar->base, -1, EV_PERSIST, on_tick,
                sidecar);
  event_add (&sidecar->tick, &(struct timeval){ 0, TICK_MS * 1000 });
  evtimer_assign (&sidecar->exit_timer, sidecar->base, on_exit_timer, sidecar);
  event_assign (&sidecar->log_timer, sidecar->base, -1, EV_PERSIST,
                on_log_timer, sidecar);
  event_add (&sidecar->log_timer, &(struct timeval){ 0, LOG_FLUSH_MS * 1000 });
  enum status status = start (sidecar);
  if (status == STATUS_OK)
    {
      log_event (LOG_LEVEL_INFO, "started",
                 "version=%s node=%s service=%s availability_zone=%s "
                 "epoch=%" PRIu64,
                 VERSION, sidecar->settings.node, sidecar->settings.service,
                 sidecar->settings.availability_zone, sidecar->epoch);
      event_base_dispatch (sidecar->base);
    }
  else
    log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"",
               status_message ());
  event_del (&sidecar->tick);
  event_del (&sidecar->log_timer);
  event_del (&sidecar->exit_timer);
  stop (sidecar);
  for (size_t i = 0; i < 3; i++)
    event_free (signals[i]);
  log_event (LOG_LEVEL_INFO, "stopped", "node=%s", sidecar->settings.node);
  log_flush ();
  return status == STATUS_OK ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

static enum status
load_settings (struct sidecar *sidecar, const char *path)
{
  struct findings findings;
  findings_init (&findings, path);
  enum status status
      = sidecar_settings_load (&sidecar->settings, path, &findings);
  findings_print (&findings, stderr);
  if (status != STATUS_OK && findings.total == 0)
    fprintf (stderr, "%s: %s\n", PROGRAM, status_message ());
  findings_finish (&findings);
  sidecar->settings_path = path;
  return status;
}

int
main (int argc, char **argv)
{
  static struct sidecar sidecar;
  struct options options;
  mask_reload_signal (SIG_BLOCK);
  int code = parse_options (argc, argv, &options);
  if (code >= 0)
    return code;
  if (sodium_init () < 0
      || load_settings (&sidecar, options.settings_path) != STATUS_OK)
    return EXIT_CODE_FAILED;
  if (options.check_only)
    return EXIT_CODE_OK;
  signal (SIGPIPE, SIG_IGN);
  log_use_buffer ();
  rng_init_system (&sidecar.rng);
  sidecar.epoch = clock_wall_ms ();
  sidecar.settings_changed_ns = settings_modified_ns (&sidecar);
  sidecar.adapter = &platform_adapter;
  sidecar.base = event_base_new ();
  if (sidecar.base == NULL)
    return EXIT_CODE_FAILED;
  char address[INET_ADDRSTRLEN];
  struct in_addr store = { htonl (sidecar.settings.store.address) };
  inet_ntop (AF_INET, &store, address, sizeof address);
  store_client_init (&sidecar.store_client, sidecar.base, address,
                     sidecar.settings.store.port);
  store_client_set_codec (&sidecar.store_client, sidecar.adapter->store);
  code = run (&sidecar);
  store_client_finish (&sidecar.store_client);
  event_base_free (sidecar.base);
  return code;
}
