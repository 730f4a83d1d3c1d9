/// A mesh in one process for tests of the call path. Replaces the parts of a
/// node that calls use; broadcasts are delivered at once, without a network.
/// The functions are weak symbols, so that a test may link the real ones.
#ifndef HAWTHORNSEAM_TEST_CALL_MESH_H
#define HAWTHORNSEAM_TEST_CALL_MESH_H

#include "base/clock.h"
#include "base/hash.h"
#include "node/node.h"
#include "node/node_call_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MESH_NODES 3
#define MESH_CLAIMS 16

/// Version of the configuration that tests use.
#define MESH_VERSION 1

struct mesh_handler
{
  void (*call) (void *arg, uint64_t origin, const uint8_t *body, size_t size);
  void *arg;
};

struct node_claim
{
  char key[64];
  bool in_progress;
  bool recorded;
  bool spent;
  uint16_t status;
  uint8_t body[512];
  size_t size;
  bool complete;
  struct event event;
  void (*done) (void *arg, struct node_claim *claim, enum claim_result result,
                const struct claim_outcome *outcome);
  void *arg;
  enum claim_result result;
};

static struct
{
  struct event_base *base;
  struct node nodes[MESH_NODES];
  struct mesh_handler handlers[MESH_NODES][6];
  struct member members[MESH_NODES];
  struct member_table table;
  struct config config;
  struct node_claim claims[MESH_CLAIMS];
  unsigned observed;
  unsigned observed_failures;
  uint32_t share_bp;
  const char *share_to;
} mesh;

#define WEAK __attribute__ ((weak))

WEAK const struct member_table *
node_members (const struct node *node)
{
  return &mesh.table;
}

WEAK const struct member *
member_get (const struct member_table *table, uint32_t handle)
{
  return &table->items[handle];
}

WEAK struct config_follower *
node_config_follower (struct node *node)
{
  return NULL;
}

WEAK const struct config *
config_follower_current (const struct config_follower *follower)
{
  return &mesh.config;
}

WEAK bool
config_follower_ready (const struct config_follower *follower)
{
  return true;
}

WEAK void
node_mesh_set_target (struct node *node, const char *service,
                      const char *version, uint16_t slots,
                      enum target_state state)
{
  struct member *member = &mesh.members[node - mesh.nodes];
  snprintf (member->service, sizeof member->service, "%s", service);
  snprintf (member->target_version, sizeof member->target_version, "%s",
            version);
  member->target_slots = slots;
  member->target_state = state;
  mesh.table.generation++;
}

WEAK void
node_mesh_on_broadcast (struct node *node, unsigned kind,
                        void (*handler) (void *arg, uint64_t origin,
                                         const uint8_t *body, size_t size),
                        void *arg)
{
  mesh.handlers[node - mesh.nodes][kind]
      = (struct mesh_handler){ handler, arg };
}

WEAK void
node_mesh_broadcast (struct node *node, unsigned kind, const uint8_t *body,
                     size_t size)
{
  for (size_t i = 0; i < MESH_NODES; i++)
    if (&mesh.nodes[i] != node && mesh.handlers[i][kind].call != NULL)
      mesh.handlers[i][kind].call (mesh.handlers[i][kind].arg, node->slot_id,
                                   body, size);
}

WEAK uint32_t
node_moves_share (const struct node *node, const char *service,
                  const char **to)
{
  *to = mesh.share_to;
  return mesh.share_bp;
}

WEAK void
node_moves_observe (struct node *node, const char *service, const char *route,
                    const char *version, const char *zone, bool cold,
                    bool failed, uint32_t latency_us)
{
  mesh.observed++;
  mesh.observed_failures += failed;
}

static void
mesh_claim_decided (evutil_socket_t fd, short what, void *arg)
{
  struct node_claim *claim = arg;
  struct claim_outcome outcome = { .status = claim->status,
                                   .body = claim->body,
                                   .body_size = claim->size,
                                   .body_complete = claim->complete };
  claim->done (claim->arg, claim, claim->result,
               claim->result == CLAIM_RECORDED ? &outcome : NULL);
}

WEAK struct node_claim *
node_claim_begin (struct node *node, const char *key, uint32_t deadline_ms,
                  void (*done) (void *arg, struct node_claim *claim,
                                enum claim_result result,
                                const struct claim_outcome *outcome),
                  void *arg)
{
  struct node_claim *claim = mesh.claims;
  while (claim->key[0] != '\0' && strcmp (claim->key, key) != 0)
    claim++;
  snprintf (claim->key, sizeof claim->key, "%s", key);
  claim->done = done;
  claim->arg = arg;
  claim->result = CLAIM_GRANTED;
  if (claim->spent || claim->in_progress)
    claim->result = CLAIM_RESULT_OUTCOME_UNKNOWN;
  if (claim->recorded)
    claim->result = CLAIM_RECORDED;
  if (claim->result == CLAIM_GRANTED)
    claim->in_progress = true;
  evtimer_assign (&claim->event, mesh.base, mesh_claim_decided, claim);
  event_add (&claim->event, &(struct timeval){ 0, 1000 });
  return claim;
}

WEAK void
node_claim_finish (struct node_claim *claim, bool unknown,
                   const struct claim_outcome *outcome)
{
  event_del (&claim->event);
  claim->in_progress = false;
  if (unknown)
    claim->spent = true;
  else if (outcome != NULL)
    {
      claim->recorded = true;
      claim->status = outcome->status;
      claim->size = outcome->body_size;
      claim->complete = outcome->body_complete;
      memcpy (claim->body, outcome->body, outcome->body_size);
    }
}

/// Starts nodes 0 to MESH_NODES - 1 on loopback, without targets. Routes: /s/
/// (idempotent, 1 s) and /once/ (non-idempotent, 1 s), both to service "s".
static inline void
mesh_start (struct event_base *base)
{
  memset (&mesh, 0, sizeof mesh);
  mesh.base = base;
  mesh.table.items = mesh.members;
  mesh.table.count = MESH_NODES;
  config_init (&mesh.config);
  config_set_service (
      &mesh.config, &(struct config_service){ .name = "s", .version = "v1" });
  config_set_route (&mesh.config,
                    &(struct config_route){ .name = "read",
                                            .prefix = "/s/",
                                            .service = "s",
                                            .idempotent = true,
                                            .timeout_ms = 1000 });
  config_set_route (&mesh.config,
                    &(struct config_route){ .name = "once",
                                            .prefix = "/once/",
                                            .service = "s",
                                            .timeout_ms = 1000 });
  mesh.config.version = MESH_VERSION;
  for (size_t i = 0; i < MESH_NODES; i++)
    {
      struct node *node = &mesh.nodes[i];
      node->base = base;
      rng_init (&node->rng, i + 1);
      snprintf (node->settings.slot, sizeof node->settings.slot, "n%zu", i);
      strcpy (node->settings.availability_zone, "zone-a");
      node->settings.address = 0x7f000001;
      node->settings.request_body_max = 1024 * 1024;
      node->settings.call_concurrency = 1024;
      node->settings.keys[0].id = 1;
      memset (node->settings.keys[0].bytes, 7, SETTINGS_KEY_SIZE);
      node->settings.key_count = 1;
      node->slot_id = hash_placement_string (node->settings.slot);
      if (node_calls_start (node) != STATUS_OK)
        abort ();
      struct member *member = &mesh.members[i];
      member->slot_id = node->slot_id;
      member->state = MEMBER_ALIVE;
      member->address = 0x7f000001;
      member->call_port = call_server_port (node->calls->server);
      strcpy (member->availability_zone, "zone-a");
    }
}

static inline void
mesh_stop (void)
{
  for (size_t i = 0; i < MESH_NODES; i++)
    node_calls_stop (&mesh.nodes[i]);
  config_finish (&mesh.config);
}

/// Runs the event loop for `ms`.
static inline void
mesh_run (uint32_t ms)
{
  struct timeval time = { ms / 1000, ms % 1000 * 1000 };
  event_base_loopexit (mesh.base, &time);
  event_base_dispatch (mesh.base);
}

#endif
