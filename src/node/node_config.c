/// Owns the watch of the store's head record. Only relays watch the store;
/// other nodes receive versions from their peers.
#include "node/node_config.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "coordination/backoff.h"

#include <stdlib.h>
#include <talloc.h>

/// A watch ends after this time at the latest. The head is then read without a
/// watch, so that a store whose revisions have decreased is detected too.
#define WATCH_WAIT_MS 10000
#define TICK_MS 250
#define FAILURES_MAX 6 ///< bounds the delay after failures to 3.2 s

static struct counter head_reads
    = COUNTER ("config_head_reads", "answers to reads of the head");
static struct counter head_failures
    = COUNTER ("config_head_failures", "reads of the head without an answer");
static struct counter head_corrupt
    = COUNTER ("config_head_corrupt", "heads that could not be decoded");
static struct counter head_regressed = COUNTER (
    "config_head_regressed", "heads older than the version in force");

struct node_config
{
  struct node *node;
  struct event *timer;
  uint64_t revision; ///< last seen revision of the head
  uint64_t next_ms;  ///< earliest time of the next read
  uint32_t failures;
  bool busy;       ///< a read, a fetch or a restore is in progress
  bool plain_read; ///< the next read is a get instead of a watch
  bool reachable;  ///< the store responded to the last read
};

static void
schedule_retry (struct node_config *config)
{
  if (config->failures < FAILURES_MAX)
    config->failures++;
  config->next_ms = clock_monotonic_ms ()
                    + backoff_delay_ms (&config->node->rng, config->failures);
}

static void
on_processed (void *arg, enum status status)
{
  struct node_config *config = arg;
  config->busy = false;
  if (status == STATUS_OK)
    {
      config->failures = 0;
      config->next_ms = 0;
      return;
    }
  config->revision = 0;
  config->plain_read = true;
  schedule_retry (config);
}

static void
process_head (struct node_config *config, const struct store_reply *reply)
{
  struct record_head head;
  if (record_head_decode (&head, reply->data, reply->size) != STATUS_OK)
    {
      counter_add (&head_corrupt, 1);
      on_processed (config, STATUS_CORRUPT);
      return;
    }
  config->revision = reply->revision;
  uint64_t held = config_follower_newest (node_config_follower (config->node));
  if (head.version > held)
    node_fetch (config->node, &head, on_processed, config);
  else if (head.version < held)
    {
      counter_add (&head_regressed, 1);
      node_restore_head (config->node, reply->revision, on_processed, config);
    }
  else
    on_processed (config, STATUS_OK);
}

static void
set_reachable (struct node_config *config, bool reachable)
{
  if (config->reachable == reachable)
    return;
  config->reachable = reachable;
  log_event (reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
             reachable ? "store_reachable" : "store_unreachable", "%s", "");
}

static void
on_head (void *arg, const struct store_reply *reply)
{
  struct node_config *config = arg;
  config->plain_read = false;
  switch (reply->status)
    {
    case STATUS_OK:
      counter_add (&head_reads, 1);
      set_reachable (config, true);
      process_head (config, reply);
      break;
    case STATUS_NOT_FOUND:
      set_reachable (config, true);
      config->revision = 0;
      if (config_follower_current (node_config_follower (config->node))
              ->version
          > 0)
        {
          counter_add (&head_regressed, 1);
          node_restore_head (config->node, 0, on_processed, config);
          break;
        }
      on_processed (config, STATUS_OK);
      break;
    case STATUS_TIMEOUT:
      set_reachable (config, true);
      config->plain_read = true;
      on_processed (config, STATUS_OK);
      break;
    default:
      counter_add (&head_failures, 1);
      set_reachable (config, false);
      on_processed (config, reply->status);
    }
}

static void
on_timer (evutil_socket_t descriptor, short events, void *arg)
{
  struct node_config *config = arg;
  struct node *node = config->node;
  if (config->busy || !node_mesh_watches_store (node)
      || clock_monotonic_ms () < config->next_ms)
    return;
  config->busy = true;
  if (config->plain_read)
    node->store_ops->get (node->store, RECORD_HEAD_KEY, on_head, config);
  else
    node->store_ops->watch (node->store, RECORD_HEAD_KEY, config->revision,
                            WATCH_WAIT_MS, on_head, config);
}

enum status
node_config_start (struct node *node)
{
  struct node_config *config = talloc_zero (NULL, struct node_config);
  if (config == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the head watch");
  config->node = node;
  config->plain_read = true;
  config->reachable = true;
  config->timer = event_new (node->base, -1, EV_PERSIST, on_timer, config);
  struct timeval interval = { 0, TICK_MS * 1000 };
  event_add (config->timer, &interval);
  counter_register (&head_regressed);
  node->config = config;
  return STATUS_OK;
}

void
node_config_stop (struct node *node)
{
  event_free (node->config->timer);
  /* Operations in progress still refer to the struct. The store client is
     finished after all modules and ends them without a callback. */
  talloc_free (node->config);
  node->config = NULL;
}
