/// Claims of idempotency keys at a node: the attempts that this node started,
/// the partitions of keys that it owns, and the messages between the two.
#include "base/clock.h"
#include "base/counter.h"
#include "coordination/claim_client.h"
#include "node/claim_store.h"
#include "node/node.h"
#include "protocol/claim_message.h"
#include "protocol/segment.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <talloc.h>

/// Interval of the timer, which runs while claims are in progress or a
/// partition is open.
#define TICK_INTERVAL_MS 10
/// A partition that this node no longer owns is closed after this time without
/// requests, because its table may take tens of megabytes.
#define PARTITION_IDLE_TIMEOUT_MS 30000

struct node_claim
{
  struct node_claims *claims;
  uint32_t attempt; ///< CLAIM_ATTEMPT_NONE when no attempt was started
  enum claim_result refusal;   ///< result when no attempt was started
  struct event *refusal_event; ///< reports that result from the event loop
  void (*done) (void *arg, struct node_claim *claim, enum claim_result result,
                const struct claim_outcome *outcome);
  void *arg;
  bool granted;
  bool ending; ///< `done` is running with a result other than granted
};

/// A message from this node to itself.
struct local_message
{
  unsigned type;
  struct claim_message message;
  uint8_t body[CLAIM_BODY_MAX];
  STAILQ_ENTRY (local_message) link;
};

STAILQ_HEAD (local_messages, local_message);

struct partition
{
  struct node_claims *claims;
  uint32_t number;
  struct claim_owner owner;
};

struct node_claims
{
  struct node *node;
  struct claim_client client;
  struct partition *partitions;
  uint32_t partition_count;
  struct node_claim *claim_of_attempt[CLAIM_CLIENT_ATTEMPTS];
  struct local_messages local;
  struct claim_store store;
  struct event *deliver;
  struct event *tick;
  bool timer_running;
};

static struct counter messages_corrupt = COUNTER (
    "claim_messages_corrupt", "Messages about claims that could not be read.");
static struct counter messages_misplaced
    = COUNTER ("claim_messages_misplaced",
               "Claims for partitions that this node does not own.");

static void
start_timer (struct node_claims *claims)
{
  if (claims->timer_running)
    return;
  struct timeval interval = { 0, TICK_INTERVAL_MS * 1000 };
  claims->timer_running = true;
  event_add (claims->tick, &interval);
}

static uint64_t
partition_owner (const struct node_claims *claims, uint32_t partition)
{
  char role[32];
  snprintf (role, sizeof role, "claims/%u", partition);
  return node_role_owner (claims->node, role);
}

/// Queues a message to this node itself. It is handled from the event loop, so
/// that no callback runs before the function that caused it has returned.
static void
send_local (struct node_claims *claims, unsigned type,
            const struct claim_message *message)
{
  struct local_message *local = talloc_zero (claims, struct local_message);
  if (local == NULL)
    return;
  local->type = type;
  local->message = *message;
  if (message->record.body_size > 0)
    memcpy (local->body, message->record.body, message->record.body_size);
  local->message.record.body = local->body;
  STAILQ_INSERT_TAIL (&claims->local, local, link);
  event_active (claims->deliver, EV_TIMEOUT, 0);
}

/// Sends a message. A message that cannot be queued is lost; clients resend
/// theirs.
static void
send_message (struct node_claims *claims, uint64_t to_slot, unsigned type,
              const struct claim_message *message)
{
  if (to_slot == claims->node->slot_id)
    {
      send_local (claims, type, message);
      return;
    }
  uint8_t bytes[CLAIM_MESSAGE_MAX];
  size_t size = claim_message_encode (type, message, bytes);
  (void)peer_send (node_peers (claims->node), to_slot, type, bytes, size);
}

/* Callbacks of the claim client. */

static void
client_send_claim (void *arg, uint32_t partition, uint64_t seq,
                   const struct claim_record *record, uint32_t deadline_ms)
{
  struct node_claims *claims = arg;
  struct claim_message message = { .partition = partition,
                                   .seq = seq,
                                   .deadline_ms = deadline_ms,
                                   .record = *record };
  send_message (claims, partition_owner (claims, partition),
                CLAIM_MESSAGE_CLAIM, &message);
}

static void
client_send_report (void *arg, uint32_t partition, uint64_t seq,
                    const struct claim_record *record)
{
  struct node_claims *claims = arg;
  struct claim_message message
      = { .partition = partition, .seq = seq, .record = *record };
  send_message (claims, partition_owner (claims, partition),
                CLAIM_MESSAGE_OUTCOME, &message);
}

static const enum claim_result results[] = {
  [CLAIM_VERDICT_RECORDED] = CLAIM_RECORDED,
  [CLAIM_VERDICT_OUTCOME_UNKNOWN] = CLAIM_RESULT_OUTCOME_UNKNOWN,
  [CLAIM_VERDICT_KEY_REFUSED] = CLAIM_KEY_REFUSED,
  [CLAIM_VERDICT_TIMED_OUT] = CLAIM_TIMED_OUT,
};

/// Reports a result other than granted and frees the claim.
static void
end_claim (struct node_claim *claim, enum claim_result result,
           const struct claim_outcome *outcome)
{
  claim->ending = true;
  claim->done (claim->arg, claim, result, outcome);
  talloc_free (claim);
}

static void
client_result (void *arg, uint32_t attempt, enum claim_verdict verdict,
               const struct claim_record *record)
{
  struct node_claims *claims = arg;
  struct node_claim *claim = claims->claim_of_attempt[attempt];
  assert (claim != NULL);
  if (verdict == CLAIM_VERDICT_GRANTED)
    {
      claim->granted = true;
      claim->done (claim->arg, claim, CLAIM_GRANTED, NULL);
      return;
    }
  assert (verdict <= CLAIM_VERDICT_TIMED_OUT);
  claims->claim_of_attempt[attempt] = NULL;
  struct claim_outcome outcome = { 0 };
  if (record != NULL)
    outcome = (struct claim_outcome){ .status = record->status,
                                      .body = record->body,
                                      .body_size = record->body_size,
                                      .body_complete = record->body_complete };
  end_claim (claim, results[verdict], record == NULL ? NULL : &outcome);
}

static const struct claim_client_ops client_ops = {
  .send_claim = client_send_claim,
  .send_report = client_send_report,
  .answer = client_result,
};

/* Callbacks of a partition's owner. */

static void
owner_get (void *arg, const char *key, uint64_t token)
{
  struct partition *partition = arg;
  claim_store_get (&partition->claims->store, &partition->owner, key, token);
}

static void
owner_list (void *arg, const char *prefix, uint64_t token)
{
  struct partition *partition = arg;
  claim_store_list (&partition->claims->store, &partition->owner, prefix,
                    token);
}

static void
owner_put (void *arg, const char *key, uint64_t expected, const uint8_t *bytes,
           size_t size, uint64_t token)
{
  struct partition *partition = arg;
  claim_store_put (&partition->claims->store, &partition->owner, key, expected,
                   bytes, size, token);
}

static void
owner_remove (void *arg, const char *key, uint64_t expected, uint64_t token)
{
  struct partition *partition = arg;
  claim_store_remove (&partition->claims->store, &partition->owner, key,
                      expected, token);
}

static void
owner_reply (void *arg, uint64_t to_slot, uint64_t seq,
             enum claim_verdict verdict, const struct claim *claim)
{
  struct partition *partition = arg;
  struct claim_message message = { .seq = seq, .verdict = verdict };
  if (claim != NULL)
    message.record
        = (struct claim_record){ .status = claim->status,
                                 .body_complete = claim->body_complete,
                                 .body_size = claim->body_size,
                                 .body = claim->body };
  send_message (partition->claims, to_slot, CLAIM_MESSAGE_REPLY, &message);
}

static const struct claim_owner_ops owner_ops = {
  .get = owner_get,
  .list = owner_list,
  .put = owner_put,
  .remove = owner_remove,
  .reply = owner_reply,
};

/* Messages. */

/// @return the partition of a message; NULL when its number is out of range or
/// this node does not own it, which is then reported to the sender
static struct partition *
owned_partition (struct node_claims *claims, uint64_t from_slot,
                 const struct claim_message *message)
{
  if (message->partition >= claims->partition_count)
    {
      counter_add (&messages_corrupt, 1);
      return NULL;
    }
  struct partition *partition = &claims->partitions[message->partition];
  if (partition_owner (claims, message->partition) == claims->node->slot_id)
    return partition;
  counter_add (&messages_misplaced, 1);
  struct claim_message reply
      = { .seq = message->seq, .verdict = CLAIM_VERDICT_NOT_OWNER };
  send_message (claims, from_slot, CLAIM_MESSAGE_REPLY, &reply);
  return NULL;
}

static void
handle_message (struct node_claims *claims, uint64_t from_slot, unsigned type,
                const struct claim_message *message)
{
  uint64_t now_ms = clock_monotonic_ms ();
  if (type == CLAIM_MESSAGE_REPLY)
    {
      claim_client_reply (&claims->client, message->seq, message->verdict,
                          &message->record, now_ms);
      return;
    }
  struct partition *partition = owned_partition (claims, from_slot, message);
  if (partition == NULL)
    return;
  if (type == CLAIM_MESSAGE_CLAIM)
    claim_owner_claim (&partition->owner, from_slot, message->seq,
                       &message->record, message->deadline_ms, now_ms,
                       clock_wall_ms ());
  else
    claim_owner_report (&partition->owner, from_slot, message->seq,
                        &message->record, now_ms);
  start_timer (claims);
}

static void
on_message (struct node_claims *claims, uint64_t from_slot, unsigned type,
            const uint8_t *body, size_t size)
{
  struct claim_message message;
  if (claim_message_decode (type, body, size, &message) == STATUS_OK)
    handle_message (claims, from_slot, type, &message);
  else
    counter_add (&messages_corrupt, 1);
}

static void
on_claim (void *arg, uint64_t from_slot, const uint8_t *body, size_t size)
{
  on_message (arg, from_slot, CLAIM_MESSAGE_CLAIM, body, size);
}

static void
on_reply (void *arg, uint64_t from_slot, const uint8_t *body, size_t size)
{
  on_message (arg, from_slot, CLAIM_MESSAGE_REPLY, body, size);
}

static void
on_outcome (void *arg, uint64_t from_slot, const uint8_t *body, size_t size)
{
  on_message (arg, from_slot, CLAIM_MESSAGE_OUTCOME, body, size);
}

static void
on_deliver (evutil_socket_t fd, short events, void *arg)
{
  struct node_claims *claims = arg;
  /* Messages that are queued meanwhile are delivered by the next call. */
  struct local_messages pending = STAILQ_HEAD_INITIALIZER (pending);
  STAILQ_CONCAT (&pending, &claims->local);
  while (!STAILQ_EMPTY (&pending))
    {
      struct local_message *local = STAILQ_FIRST (&pending);
      STAILQ_REMOVE_HEAD (&pending, link);
      handle_message (claims, claims->node->slot_id, local->type,
                      &local->message);
      talloc_free (local);
    }
}

static void
on_tick (evutil_socket_t fd, short events, void *arg)
{
  struct node_claims *claims = arg;
  uint64_t now_ms = clock_monotonic_ms ();
  uint64_t wall_ms = clock_wall_ms ();
  bool active = claims->client.active > 0;
  claim_client_tick (&claims->client, now_ms);
  for (uint32_t i = 0; i < claims->partition_count; i++)
    {
      struct claim_owner *owner = &claims->partitions[i].owner;
      if (!claim_owner_active (owner))
        continue;
      claim_owner_tick (owner, now_ms, wall_ms);
      if (now_ms - owner->last_request_ms > PARTITION_IDLE_TIMEOUT_MS
          && partition_owner (claims, i) != claims->node->slot_id)
        claim_owner_retire (owner);
      active = true;
    }
  if (active)
    return;
  claims->timer_running = false;
  event_del (claims->tick);
}

enum status
node_claims_start (struct node *node)
{
  struct node_claims *claims = talloc_zero (NULL, struct node_claims);
  if (claims == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for claims");
  claims->node = node;
  claims->partition_count = node->settings.claim_partitions;
  claims->partitions
      = talloc_zero_array (claims, struct partition, claims->partition_count);
  claims->deliver = event_new (node->base, -1, 0, on_deliver, claims);
  claims->tick = event_new (node->base, -1, EV_PERSIST, on_tick, claims);
  if (claims->partitions == NULL || claims->deliver == NULL
      || claims->tick == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for claims");
  STAILQ_INIT (&claims->local);
  claim_store_init (&claims->store, node->store_ops, node->store);
  claim_client_init (&claims->client, &client_ops, claims, &node->rng,
                     claims->partition_count, node->settings.claim_window_s);
  for (uint32_t i = 0; i < claims->partition_count; i++)
    {
      struct partition *partition = &claims->partitions[i];
      partition->claims = claims;
      partition->number = i;
      claim_owner_init (&partition->owner, &owner_ops, partition,
                        &segment_codec, &node->rng, i,
                        node->settings.claim_window_s);
    }
  node->claims = claims;
  struct peers *peers = node_peers (node);
  peer_register_handler (peers, CLAIM_MESSAGE_CLAIM, on_claim, claims);
  peer_register_handler (peers, CLAIM_MESSAGE_REPLY, on_reply, claims);
  peer_register_handler (peers, CLAIM_MESSAGE_OUTCOME, on_outcome, claims);
  return STATUS_OK;
}

void
node_claims_stop (struct node *node)
{
  struct node_claims *claims = node->claims;
  if (claims == NULL)
    return;
  claim_store_finish (&claims->store);
  for (uint32_t i = 0; i < claims->partition_count; i++)
    claim_owner_finish (&claims->partitions[i].owner);
  claim_client_finish_all (&claims->client);
  event_free (claims->deliver);
  event_free (claims->tick);
  node->claims = NULL;
  talloc_free (claims);
}

static int
destroy_claim (struct node_claim *claim)
{
  if (claim->refusal_event != NULL)
    event_free (claim->refusal_event);
  return 0;
}

/// Reports the result of a claim for which no attempt was started.
static void
on_refusal (evutil_socket_t fd, short events, void *arg)
{
  struct node_claim *claim = arg;
  end_claim (claim, claim->refusal, NULL);
}

struct node_claim *
node_claim_begin (struct node *node, const char *idempotency_key,
                  uint32_t deadline_ms,
                  void (*done) (void *arg, struct node_claim *claim,
                                enum claim_result result,
                                const struct claim_outcome *outcome),
                  void *arg)
{
  struct node_claims *claims = node->claims;
  struct node_claim *claim = talloc_zero (claims, struct node_claim);
  assert (claim != NULL);
  *claim = (struct node_claim){
    .claims = claims, .attempt = CLAIM_ATTEMPT_NONE, .done = done, .arg = arg
  };
  talloc_set_destructor (claim, destroy_claim);
  enum status status = claim_client_begin (&claims->client, idempotency_key,
                                           deadline_ms, clock_monotonic_ms (),
                                           clock_wall_ms (), &claim->attempt);
  if (status == STATUS_OK)
    {
      claims->claim_of_attempt[claim->attempt] = claim;
      start_timer (claims);
      return claim;
    }
  claim->refusal
      = status == STATUS_INVALID ? CLAIM_KEY_REFUSED : CLAIM_TIMED_OUT;
  claim->refusal_event = event_new (node->base, -1, 0, on_refusal, claim);
  assert (claim->refusal_event != NULL);
  event_active (claim->refusal_event, EV_TIMEOUT, 0);
  return claim;
}

void
node_claim_finish (struct node_claim *claim, bool unknown,
                   const struct claim_outcome *outcome)
{
  struct node_claims *claims = claim->claims;
  if (claim->ending)
    return;
  if (claim->attempt != CLAIM_ATTEMPT_NONE)
    {
      claims->claim_of_attempt[claim->attempt] = NULL;
      struct claim_record record = { 0 };
      enum claim_record_kind kind = CLAIM_RECORD_RELEASE;
      if (claim->granted && unknown)
        kind = CLAIM_RECORD_OUTCOME_UNKNOWN;
      else if (claim->granted && outcome != NULL)
        {
          kind = CLAIM_RECORD_OUTCOME;
          bool fits = outcome->body_size <= CLAIM_BODY_MAX;
          record.status = outcome->status;
          record.body = outcome->body;
          record.body_size
              = (uint16_t)(fits ? outcome->body_size : CLAIM_BODY_MAX);
          record.body_complete = outcome->body_complete && fits;
        }
      claim_client_end (&claims->client, claim->attempt, kind, &record,
                        clock_monotonic_ms ());
      start_timer (claims);
    }
  talloc_free (claim);
}
