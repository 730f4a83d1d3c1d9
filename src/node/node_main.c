/// The node program: reads the settings, starts the modules in order, and on
/// SIGTERM or SIGINT drains before it exits.
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "node/node.h"
#include "transport/store_client.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <event2/event.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "hawthornseam-node"
#define VERSION "0.1.0"

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
  bool debug;
};

/// One module of the node.
struct module
{
  const char *name;
  enum status (*start) (struct node *node);
  void (*stop) (struct node *node);
};

/// In start order: a module may use those before it.
static const struct module modules[] = {
  { "mesh", node_mesh_start, node_mesh_stop },
  { "config", node_config_start, node_config_stop },
  { "moves", node_moves_start, node_moves_stop },
  { "claims", node_claims_start, node_claims_stop },
  { "calls", node_calls_start, node_calls_stop },
  { "admin", node_admin_start, node_admin_stop },
};

#define MODULE_COUNT (sizeof modules / sizeof modules[0])

/// Parses the command line.
/// @return -1 to continue, or the exit code
static int
parse_options (int argc, char **argv, struct options *options)
{
  struct arg_file *settings
      = arg_file0 ("s", "settings", "FILE", "YAML settings of this node");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *debug = arg_lit0 (NULL, "debug", "log debug lines too");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, check, debug, help, version, end };
  int code = -1;
  int errors = arg_parse (argc, argv, table);
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
  else if (errors > 0 || settings->count == 0)
    {
      arg_print_errors (stderr, end, PROGRAM);
      if (settings->count == 0)
        fputs (PROGRAM ": --settings FILE is required\n", stderr);
      code = EXIT_CODE_USAGE;
    }
  if (settings->count > 0)
    options->settings_path = settings->filename[0];
  options->check_only = check->count > 0;
  options->debug = debug->count > 0;
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

static void
on_drained (void *arg)
{
  struct node *node = arg;
  node_mesh_leave (node);
  /* The announcement needs time to be sent and acknowledged: a broadcast that
     is not acknowledged within BROADCAST_ACK_TIMEOUT_MS goes to another
     member. */
  struct timeval delay = { 0, 400000 };
  event_base_loopexit (node->base, &delay);
}

static void
on_stop_signal (evutil_socket_t signal_number, short events, void *arg)
{
  struct node *node = arg;
  if (node->stopping)
    return;
  node->stopping = true;
  log_event (LOG_LEVEL_INFO, "draining", "signal=%d", (int)signal_number);
  node_calls_drain (node, on_drained, node);
}

static int
run (struct node *node)
{
  struct event *term
      = evsignal_new (node->base, SIGTERM, on_stop_signal, node);
  struct event *interrupt
      = evsignal_new (node->base, SIGINT, on_stop_signal, node);
  event_add (term, NULL);
  event_add (interrupt, NULL);

  int code = EXIT_CODE_OK;
  size_t started = 0;
  while (started < MODULE_COUNT)
    {
      if (modules[started].start (node) != STATUS_OK)
        {
          log_event (LOG_LEVEL_ERROR, "start_failed", "part=%s message=\"%s\"",
                     modules[started].name, status_message ());
          code = EXIT_CODE_FAILED;
          break;
        }
      started++;
    }
  if (code == EXIT_CODE_OK)
    {
      log_event (LOG_LEVEL_INFO, "started", "slot=%s availability_zone=%s",
                 node->settings.slot, node->settings.availability_zone);
      event_base_dispatch (node->base);
    }
  while (started > 0)
    modules[--started].stop (node);
  log_event (LOG_LEVEL_INFO, "stopped", "slot=%s", node->settings.slot);
  event_free (term);
  event_free (interrupt);
  return code;
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  int code = parse_options (argc, argv, &options);
  if (code >= 0)
    return code;
  if (sodium_init () < 0)
    return EXIT_CODE_FAILED;
  if (options.debug)
    log_set_level (LOG_LEVEL_DEBUG);

  static struct node node;
  struct findings findings;
  findings_init (&findings, options.settings_path);
  enum status status
      = settings_load (&node.settings, options.settings_path, &findings);
  findings_print (&findings, stderr);
  if (status != STATUS_OK && findings.total == 0)
    fprintf (stderr, "%s: %s\n", PROGRAM, status_message ());
  findings_finish (&findings);
  if (status != STATUS_OK)
    return EXIT_CODE_FAILED;
  if (options.check_only)
    return EXIT_CODE_OK;

  signal (SIGPIPE, SIG_IGN);
  rng_init_system (&node.rng);
  node.slot_id = hash_placement_string (node.settings.slot);
  node.base = event_base_new ();
  if (node.base == NULL)
    return EXIT_CODE_FAILED;
  struct store_client store;
  char address[INET_ADDRSTRLEN];
  struct in_addr store_address = { htonl (node.settings.store.address) };
  inet_ntop (AF_INET, &store_address, address, sizeof address);
  store_client_init (&store, node.base, address, node.settings.store.port);
  node.store = &store;
  node.store_ops = &store_client_ops;
  code = run (&node);
  store_client_finish (&store);
  event_base_free (node.base);
  return code;
}
