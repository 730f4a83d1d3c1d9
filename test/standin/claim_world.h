/// Simulation of nodes that claim keys of one partition: the nodes, the
/// messages between them and a fake store, in one process and in virtual time.
/// Used by the fuzz target, the unit tests and the benchmark of claims.
#ifndef HAWTHORNSEAM_TEST_CLAIM_WORLD_H
#define HAWTHORNSEAM_TEST_CLAIM_WORLD_H

#include "coordination/claim_client.h"
#include "fake_store.h"
#include "protocol/segment.h"

#define WORLD_NODES 3
#define WORLD_MESSAGES 8192
#define WORLD_WALL_MS 1790000000000ull

enum world_kind
{
  WORLD_CLAIM,
  WORLD_REPORT,
  WORLD_REPLY,
  WORLD_STORE ///< response of the store to an owner
};

struct world_message
{
  enum world_kind kind;
  uint64_t due_ms;
  uint32_t from, to;
  uint32_t generation; ///< of the receiver, for responses of the store
  uint64_t seq;        ///< sequence number, or token of a store operation
  uint32_t deadline_ms;
  enum claim_verdict verdict;
  struct claim_record record;
  uint8_t body[CLAIM_BODY_MAX];
  struct store_reply reply;
  uint8_t *data; ///< value in a response of the store
  struct store_key *keys;
};

struct world_node
{
  struct world *world;
  uint32_t id;
  uint32_t generation;    ///< incremented at each restart
  uint32_t assumed_owner; ///< node to which this one sends its claims
  int32_t skew_s;
  uint64_t paused_until_ms;
  struct rng rng;
  struct claim_client client;
  struct claim_owner owner;
};

struct world
{
  uint64_t now_ms;
  struct fake_store store;
  struct world_node nodes[WORLD_NODES];
  struct world_message *messages[WORLD_MESSAGES];
  uint32_t message_count;
  uint32_t latency_ms; ///< of messages between nodes
  /* Faults of messages between nodes. */
  uint32_t drop;     ///< number of next messages that are lost
  uint32_t repeat;   ///< number of next messages that are delivered twice
  uint32_t delay;    ///< number of next messages that get extra latency
  uint32_t delay_ms; ///< that extra latency
  uint32_t window_s;
  uint32_t ring, chunk_segments; ///< settings of the claim log; 0: default
  void (*on_answer) (struct world *world, uint32_t node, uint32_t attempt,
                     enum claim_verdict verdict,
                     const struct claim_record *outcome);
  void *arg;
};

struct world_call
{
  struct world_node *node;
  uint32_t generation;
  uint64_t token;
};

static inline uint64_t
world_wall_ms (const struct world_node *node)
{
  return WORLD_WALL_MS + node->world->now_ms
         + (uint64_t)((int64_t)node->skew_s * 1000);
}

static inline void
world_free_message (struct world_message *message)
{
  free (message->data);
  free (message->keys);
  free (message);
}

static inline void
world_post (struct world *world, const struct world_message *message)
{
  uint32_t copies = 1;
  uint32_t wait_ms = world->latency_ms;
  if (message->kind != WORLD_STORE)
    {
      if (world->drop > 0 && world->drop--)
        return;
      if (world->repeat > 0 && world->repeat--)
        copies = 2;
      if (world->delay > 0 && world->delay--)
        wait_ms += world->delay_ms;
    }
  for (uint32_t i = 0; i < copies; i++)
    {
      if (world->message_count == WORLD_MESSAGES)
        return;
      struct world_message *copy = malloc (sizeof *copy);
      assert (copy != NULL);
      *copy = *message;
      if (copy->kind != WORLD_STORE)
        copy->due_ms = world->now_ms + wait_ms + i * 150;
      if (copy->record.body_size > 0)
        memcpy (copy->body, message->record.body, copy->record.body_size);
      copy->record.body = copy->body;
      world->messages[world->message_count++] = copy;
    }
}

/* Operations of a claim client. */

static inline void
world_send_claim (void *arg, uint32_t partition, uint64_t seq,
                  const struct claim_record *record, uint32_t deadline_ms)
{
  struct world_node *node = arg;
  struct world_message message = { .kind = WORLD_CLAIM,
                                   .from = node->id,
                                   .to = node->assumed_owner,
                                   .seq = seq,
                                   .deadline_ms = deadline_ms,
                                   .record = *record };
  world_post (node->world, &message);
}

static inline void
world_send_report (void *arg, uint32_t partition, uint64_t seq,
                   const struct claim_record *record)
{
  struct world_node *node = arg;
  struct world_message message = { .kind = WORLD_REPORT,
                                   .from = node->id,
                                   .to = node->assumed_owner,
                                   .seq = seq,
                                   .record = *record };
  world_post (node->world, &message);
}

static inline void
world_answer (void *arg, uint32_t attempt, enum claim_verdict verdict,
              const struct claim_record *outcome)
{
  struct world_node *node = arg;
  if (node->world->on_answer != NULL)
    node->world->on_answer (node->world, node->id, attempt, verdict, outcome);
}

static const struct claim_client_ops world_client_ops = {
  .send_claim = world_send_claim,
  .send_report = world_send_report,
  .answer = world_answer,
};

/* Operations of a claim owner. */

static inline void
world_stored (void *arg, const struct store_reply *reply)
{
  struct world_call *call = arg;
  struct world *world = call->node->world;
  struct world_message message = { .kind = WORLD_STORE,
                                   .due_ms = world->now_ms,
                                   .to = call->node->id,
                                   .generation = call->generation,
                                   .seq = call->token,
                                   .reply = *reply };
  if (reply->data != NULL && reply->size > 0)
    message.data = fake_copy (reply->data, reply->size);
  message.reply.data = message.data;
  if (reply->key_count > 0)
    {
      /* The names follow the array, in the same allocation. */
      size_t bytes = reply->key_count * sizeof *reply->keys;
      for (size_t i = 0; i < reply->key_count; i++)
        bytes += strlen (reply->keys[i].key) + 1;
      message.keys = malloc (bytes);
      assert (message.keys != NULL);
      char *name = (char *)(message.keys + reply->key_count);
      for (size_t i = 0; i < reply->key_count; i++)
        {
          message.keys[i] = reply->keys[i];
          message.keys[i].key = strcpy (name, reply->keys[i].key);
          name += strlen (name) + 1;
        }
    }
  message.reply.keys = message.keys;
  world_post (world, &message);
  free (call);
}

static inline struct world_call *
world_call_new (struct world_node *node, uint64_t token)
{
  struct world_call *call = malloc (sizeof *call);
  assert (call != NULL);
  *call = (struct world_call){ node, node->generation, token };
  return call;
}

static inline void
world_get (void *arg, const char *key, uint64_t token)
{
  struct world_node *node = arg;
  fake_store_ops.get (&node->world->store, key, world_stored,
                      world_call_new (node, token));
}

static inline void
world_list (void *arg, const char *prefix, uint64_t token)
{
  struct world_node *node = arg;
  fake_store_ops.list (&node->world->store, prefix, world_stored,
                       world_call_new (node, token));
}

static inline void
world_put (void *arg, const char *key, uint64_t expected, const uint8_t *bytes,
           size_t size, uint64_t token)
{
  struct world_node *node = arg;
  fake_store_ops.put (&node->world->store, key, expected, 0, bytes, size,
                      world_stored, world_call_new (node, token));
}

static inline void
world_remove (void *arg, const char *key, uint64_t expected, uint64_t token)
{
  struct world_node *node = arg;
  fake_store_ops.remove (&node->world->store, key, expected, world_stored,
                         world_call_new (node, token));
}

static inline void
world_reply (void *arg, uint64_t to_slot, uint64_t seq,
             enum claim_verdict verdict, const struct claim *claim)
{
  struct world_node *node = arg;
  struct world_message message = { .kind = WORLD_REPLY,
                                   .from = node->id,
                                   .to = (uint32_t)to_slot,
                                   .seq = seq,
                                   .verdict = verdict };
  if (claim != NULL)
    message.record
        = (struct claim_record){ .status = claim->status,
                                 .body_complete = claim->body_complete,
                                 .body_size = claim->body_size,
                                 .body = claim->body };
  world_post (node->world, &message);
}

static const struct claim_owner_ops world_owner_ops = {
  .get = world_get,
  .list = world_list,
  .put = world_put,
  .remove = world_remove,
  .reply = world_reply,
};

static inline void
world_node_start (struct world_node *node)
{
  struct world *world = node->world;
  claim_client_init (&node->client, &world_client_ops, node, &node->rng, 1,
                     world->window_s);
  claim_owner_init (&node->owner, &world_owner_ops, node, &segment_codec,
                    &node->rng, 0, world->window_s);
  if (world->ring > 0)
    node->owner.log.ring = world->ring;
  if (world->chunk_segments > 0)
    node->owner.log.chunk_segments = world->chunk_segments;
}

/// Restarts a node, which loses its state.
static inline void
world_node_restart (struct world_node *node)
{
  claim_client_finish_all (&node->client);
  claim_owner_finish (&node->owner);
  node->generation++;
  world_node_start (node);
}

static inline void
world_init (struct world *world, uint64_t seed)
{
  world->now_ms = 1000;
  fake_store_init (&world->store);
  world->store.now_ms = world->now_ms;
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    {
      world->nodes[i].world = world;
      world->nodes[i].id = i;
      rng_init (&world->nodes[i].rng, seed * WORLD_NODES + i);
      world_node_start (&world->nodes[i]);
    }
}

static inline void
world_finish (struct world *world)
{
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    {
      claim_client_finish_all (&world->nodes[i].client);
      claim_owner_finish (&world->nodes[i].owner);
    }
  for (uint32_t i = 0; i < world->message_count; i++)
    world_free_message (world->messages[i]);
  for (size_t i = 0; i < world->store.operation_count; i++)
    if (world->store.operations[i]->done == world_stored)
      free (world->store.operations[i]->arg);
  fake_store_finish (&world->store);
}

static inline void
world_deliver (struct world *world, struct world_message *message)
{
  struct world_node *node = &world->nodes[message->to];
  uint64_t now = world->now_ms;
  uint64_t wall = world_wall_ms (node);
  switch (message->kind)
    {
    case WORLD_CLAIM:
      claim_owner_claim (&node->owner, message->from, message->seq,
                         &message->record, message->deadline_ms, now, wall);
      break;
    case WORLD_REPORT:
      claim_owner_report (&node->owner, message->from, message->seq,
                          &message->record, now);
      break;
    case WORLD_REPLY:
      claim_client_reply (&node->client, message->seq, message->verdict,
                          &message->record, now);
      break;
    case WORLD_STORE:
      if (message->generation == node->generation)
        claim_owner_completed (&node->owner, message->seq, &message->reply,
                               now, wall);
      break;
    }
}

/// Advances the time by one step: delivers messages that are due, then runs
/// the timers of every node that is not paused.
static inline void
world_step (struct world *world, uint32_t step_ms)
{
  world->now_ms += step_ms;
  fake_store_advance (&world->store, world->now_ms);
  for (uint32_t i = 0; i < world->message_count;)
    {
      struct world_message *message = world->messages[i];
      struct world_node *node = &world->nodes[message->to];
      if (message->due_ms > world->now_ms
          || node->paused_until_ms > world->now_ms)
        {
          i++;
          continue;
        }
      memmove (&world->messages[i], &world->messages[i + 1],
               (--world->message_count - i) * sizeof world->messages[0]);
      world_deliver (world, message);
      world_free_message (message);
    }
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    {
      struct world_node *node = &world->nodes[i];
      if (node->paused_until_ms > world->now_ms)
        continue;
      claim_owner_tick (&node->owner, world->now_ms, world_wall_ms (node));
      claim_client_tick (&node->client, world->now_ms);
    }
}

/// Advances the time in steps.
static inline void
world_run (struct world *world, uint64_t time_ms, uint32_t step_ms)
{
  for (uint64_t passed = 0; passed < time_ms; passed += step_ms)
    world_step (world, step_ms);
}

#endif
