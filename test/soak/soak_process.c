/// Starts, signals and reaps the processes of the sidecars. Only processes
/// that the soak has started are signalled.
#include "soak.h"

#include "base/clock.h"
#include "base/hash.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static void
write_settings (const struct soak_node *node, const char *path)
{
  FILE *file = fopen (path, "w");
  if (file == NULL)
    {
      perror (path);
      exit (1);
    }
  fprintf (file, "format: 1\nnode: %s\navailability_zone: z%zu\nservice: %s\n",
           node->name, node->index % 3, soak_services[node->service]);
  static const struct
  {
    const char *name;
    unsigned use;
  } ports[] = {
    { "calls", SOAK_PORT_CALLS },
    { "peers", SOAK_PORT_PEERS },
    { "announced", SOAK_PORT_PROXY + PROXY_PEERS },
    { "ready", SOAK_PORT_READY },
    { "reports", SOAK_PORT_REPORTS },
    { "metrics", SOAK_PORT_METRICS },
    { "store", SOAK_PORT_PROXY + PROXY_STORE },
    { "target", SOAK_PORT_PROXY + PROXY_TARGET },
  };
  for (size_t i = 0; i < sizeof ports / sizeof ports[0]; i++)
    fprintf (file, "%s: 127.0.0.1:%u\n", ports[i].name,
             soak_port (node, ports[i].use));
  /* With accounts the default is the order by cost. */
  if (node->soak->options.seed % 4 == 3)
    fprintf (file, "admission: rank\n");
  fprintf (file, "heartbeat: 1500ms\ndrain: %dms\ngrace: %dms\n",
           SOAK_DRAIN_MS, (int)node->grace_ms);
  fclose (file);
}

/// @return the grace period of the next process of a node; the choice leaves
///         the sequence of the seed's random numbers as it is
static uint32_t
choose_grace_ms (const struct soak_node *node)
{
  static const uint32_t graces_ms[] = { 1500, 3000, 6000, 10000 };
  uint64_t mixed = hash_placement_pair (node->soak->options.seed,
                                        node->index * 1000 + node->starts);
  return graces_ms[mixed % (sizeof graces_ms / sizeof graces_ms[0])];
}

void
soak_process_start (struct soak_node *node)
{
  const struct soak_options *options = &node->soak->options;
  char settings[512];
  char log[512];
  snprintf (settings, sizeof settings, "%s/%s.yaml", options->directory,
            node->name);
  snprintf (log, sizeof log, "%s/%s.log", options->directory, node->name);
  node->grace_ms = choose_grace_ms (node);
  write_settings (node, settings);
  pid_t process = fork ();
  if (process < 0)
    {
      perror ("fork");
      exit (1);
    }
  if (process == 0)
    {
      /* The process must not outlive the soak. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (options->program, options->program, "--settings", settings,
             (char *)NULL);
      perror (options->program);
      _exit (127);
    }
  node->process = process;
  node->starts++;
  node->started_ms = clock_monotonic_ms ();
  node->restart_ms = 0;
  node->kill_ms = 0;
  node->exit_expected = false;
  node->newest_version = 0;
  soak_proxy_open (node->proxies[PROXY_PEERS], true);
}

void
soak_process_signal (struct soak_node *node, int number)
{
  if (node->process > 0)
    kill (node->process, number);
}

static void
reap (struct soak_node *node, uint64_t now_ms)
{
  int status;
  pid_t process = waitpid (node->process, &status, WNOHANG);
  if (process != node->process)
    return;
  node->process = 0;
  soak_proxy_open (node->proxies[PROXY_PEERS], false);
  soak_log (node->soak, "%s ended status=%d signal=%d", node->name,
            WIFEXITED (status) ? WEXITSTATUS (status) : -1,
            WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  if (!node->exit_expected)
    soak_violation (node->soak, "FAULT",
                    "%s ended unexpectedly: exit status %d, signal %d",
                    node->name, WIFEXITED (status) ? WEXITSTATUS (status) : -1,
                    WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  if (node->restart_ms == 0)
    node->restart_ms = now_ms + 100 + rng_below (&node->soak->rng, 1500);
}

void
soak_process_tick (struct soak *soak)
{
  uint64_t now = clock_monotonic_ms ();
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      if (node->process > 0)
        reap (node, now);
      if (node->process > 0 && node->kill_ms != 0 && now >= node->kill_ms)
        {
          soak_log (soak,
                    "%s killed: still running at the end of its grace period",
                    node->name);
          soak_process_signal (node, SIGKILL);
          node->kill_ms = 0;
        }
      if (node->process == 0 && now >= node->restart_ms && !soak->stopping)
        {
          soak_log (soak, "%s restarted", node->name);
          soak_process_start (node);
        }
    }
}

void
soak_process_kill_all (struct soak *soak)
{
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      if (node->process <= 0)
        continue;
      soak_process_signal (node, SIGCONT);
      soak_process_signal (node, SIGKILL);
      while (waitpid (node->process, NULL, 0) < 0 && errno == EINTR)
        ;
      node->process = 0;
    }
}
