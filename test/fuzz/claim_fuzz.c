/// Lets several nodes claim the same keys while messages, store responses and
/// processes fail. Invariants: at most one attempt of a key runs or may have
/// run; a refused attempt never runs; a recorded outcome is the one that was
/// reported; without faults a new key is granted.
#include "../standin/claim_world.h"

#include <stdio.h>

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "invariant violated: %s\n", #condition);             \
        __builtin_trap ();                                                    \
      }                                                                       \
  while (0)

#define KEYS 12
#define ATTEMPTS_MAX 2000
#define EVENTS_MIN 150 /* of a run; a longer input adds more */
#define WINDOW_S 150

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum attempt_state
{
  ATTEMPT_WAITING,
  ATTEMPT_RUNNING,
  ATTEMPT_EXECUTED, ///< ran or may have run
  ATTEMPT_NOT_RUN
};

struct attempt
{
  uint32_t node;
  uint32_t generation;
  uint32_t handle;
  uint32_t key;
  enum attempt_state state;
};

struct key
{
  char text[64];
  uint32_t attempts;
  uint32_t executions;
  uint32_t running;
  uint16_t status; ///< of the reported outcome; 0: none
};

struct oracle
{
  struct world world;
  struct key keys[KEYS];
  struct attempt attempts[ATTEMPTS_MAX];
  uint32_t attempt_count;
  enum claim_verdict last_verdict;
  uint32_t answers;
};

/// Bytes of the input, then pseudo-random ones seeded with its hash, so that
/// short inputs give long runs as well.
struct input
{
  const uint8_t *next;
  const uint8_t *end;
  uint64_t random_state;
};

static uint8_t
next_byte (struct input *input)
{
  if (input->next < input->end)
    return *input->next++;
  /* splitmix64; any generator would do. */
  input->random_state += 0x9e3779b97f4a7c15ull;
  uint64_t bits = input->random_state;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ull;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebull;
  return (uint8_t)(bits >> 40);
}

static void
on_answer (struct world *world, uint32_t node, uint32_t handle,
           enum claim_verdict verdict, const struct claim_record *outcome)
{
  struct oracle *oracle = world->arg;
  struct attempt *attempt = NULL;
  for (uint32_t i = 0; i < oracle->attempt_count; i++)
    {
      struct attempt *other = &oracle->attempts[i];
      if (other->node == node && other->handle == handle
          && other->generation == world->nodes[node].generation
          && other->state == ATTEMPT_WAITING)
        attempt = other;
    }
  CHECK (attempt != NULL);
  struct key *key = &oracle->keys[attempt->key];
  oracle->last_verdict = verdict;
  oracle->answers++;
  switch (verdict)
    {
    case CLAIM_VERDICT_GRANTED:
      CHECK (key->running == 0 && key->executions == 0);
      attempt->state = ATTEMPT_RUNNING;
      key->running++;
      return;
    case CLAIM_VERDICT_RECORDED:
      CHECK (key->executions == 1 && outcome->status == key->status);
      break;
    case CLAIM_VERDICT_OUTCOME_UNKNOWN:
      CHECK (key->attempts > 1);
      break;
    default:
      CHECK (verdict == CLAIM_VERDICT_TIMED_OUT
             || verdict == CLAIM_VERDICT_KEY_REFUSED);
      break;
    }
  attempt->state = ATTEMPT_NOT_RUN;
}

/// Records the end of a running attempt.
static void
end_attempt (struct oracle *oracle, struct attempt *attempt, bool executed)
{
  struct key *key = &oracle->keys[attempt->key];
  key->running--;
  key->executions += executed;
  CHECK (key->executions <= 1);
  attempt->state = executed ? ATTEMPT_EXECUTED : ATTEMPT_NOT_RUN;
}

static void
begin_attempt (struct oracle *oracle, uint32_t node_id, uint32_t key_id,
               uint32_t deadline_ms)
{
  struct world_node *node = &oracle->world.nodes[node_id];
  struct key *key = &oracle->keys[key_id];
  if (oracle->attempt_count == ATTEMPTS_MAX)
    return;
  if (node->paused_until_ms > oracle->world.now_ms)
    return;
  struct attempt *attempt = &oracle->attempts[oracle->attempt_count];
  *attempt = (struct attempt){ .node = node_id,
                               .generation = node->generation,
                               .key = key_id };
  enum status status = claim_client_begin (
      &node->client, key->text, deadline_ms, oracle->world.now_ms,
      world_wall_ms (node), &attempt->handle);
  if (status != STATUS_OK)
    return;
  oracle->attempt_count++;
  key->attempts++;
}

/// Finishes one running attempt: the target ran it, refused it, or did not
/// respond.
/// @param first    index of the attempt at which the search starts
/// @param variant  selects the kind of the end and its status
static void
finish_attempt (struct oracle *oracle, uint32_t first, uint32_t variant)
{
  static const enum claim_record_kind kinds[]
      = { CLAIM_RECORD_OUTCOME, CLAIM_RECORD_RELEASE,
          CLAIM_RECORD_OUTCOME_UNKNOWN };
  for (uint32_t i = 0; i < oracle->attempt_count; i++)
    {
      struct attempt *attempt
          = &oracle->attempts[(first + i) % oracle->attempt_count];
      struct world_node *node = &oracle->world.nodes[attempt->node];
      if (attempt->state != ATTEMPT_RUNNING
          || node->paused_until_ms > oracle->world.now_ms)
        continue;
      enum claim_record_kind kind = kinds[variant % 3];
      struct claim_record outcome = { .status = (uint16_t)(200 + variant),
                                      .body_size = 5,
                                      .body = (const uint8_t *)"sealed",
                                      .body_complete = true };
      if (kind == CLAIM_RECORD_OUTCOME)
        oracle->keys[attempt->key].status = outcome.status;
      end_attempt (oracle, attempt, kind != CLAIM_RECORD_RELEASE);
      claim_client_end (&node->client, attempt->handle, kind, &outcome,
                        oracle->world.now_ms);
      return;
    }
}

static void
crash_node (struct oracle *oracle, uint32_t node_id)
{
  struct world_node *node = &oracle->world.nodes[node_id];
  for (uint32_t i = 0; i < oracle->attempt_count; i++)
    {
      struct attempt *attempt = &oracle->attempts[i];
      if (attempt->node != node_id || attempt->generation != node->generation)
        continue;
      if (attempt->state == ATTEMPT_RUNNING)
        end_attempt (oracle, attempt, true);
      else if (attempt->state == ATTEMPT_WAITING)
        attempt->state = ATTEMPT_NOT_RUN;
    }
  node->paused_until_ms = 0;
  world_node_restart (node);
}

static void
run_event (struct oracle *oracle, struct input *input)
{
  struct world *world = &oracle->world;
  uint8_t event = next_byte (input) % 22;
  uint8_t a = next_byte (input);
  uint8_t b = next_byte (input);
  uint32_t node = a % WORLD_NODES;
  switch (event)
    {
    case 0:
    case 1:
    case 2:
    case 3:
      begin_attempt (oracle, node, b % KEYS, 50u << (a >> 4) % 8);
      break;
    case 4:
    case 5:
    case 6:
      finish_attempt (oracle, a, b);
      break;
    case 7:
    case 8:
      world_run (world, 1 + a, 7);
      break;
    case 9:
      world_run (world, a * 20u, 20);
      break;
    case 10:
      world_run (world, a * 1000u, 5000);
      break;
    case 11:
      world->nodes[node].assumed_owner = b % WORLD_NODES;
      break;
    case 12:
      for (uint32_t i = 0; i < WORLD_NODES; i++)
        world->nodes[i].assumed_owner = node;
      break;
    case 13:
      crash_node (oracle, node);
      break;
    case 14:
      world->nodes[node].paused_until_ms = world->now_ms + 10u * b * (a & 31);
      break;
    case 15:
      world->drop = a % 4;
      world->repeat = b % 8;
      break;
    case 16:
      world->delay = a % 8;
      world->delay_ms = b * 50u;
      break;
    case 17:
      world->store.outage = a & 1;
      break;
    case 18:
      world->store.lose_answers = a % 3;
      world->store.lose_requests = (a >> 4) % 2;
      world->store.repeat_writes = b % 4;
      world->store.repeat_after_ms = b * 100u;
      break;
    case 21:
      world->store.refuse_keys = a & 1 ? "/chunk/" : NULL;
      break;
    case 20:
      /* A series of short attempts fills the ring of segments. */
      for (uint32_t i = 0; i < 16; i++)
        {
          begin_attempt (oracle, node, (b + i) % KEYS, 60);
          world_run (world, 60, 10);
        }
      break;
    case 19:
      world->store.delay_writes = 1 + a % 2;
      world->store.delay_writes_ms = b * 100u;
      break;
    }
}

/// Clears all faults and checks that a new key can be claimed.
static void
check_recovery (struct oracle *oracle)
{
  struct world *world = &oracle->world;
  world->drop = world->repeat = world->delay = 0;
  world->store.outage = false;
  world->store.refuse_keys = NULL;
  world->store.lose_answers = world->store.lose_requests = 0;
  world->store.delay_writes = world->store.repeat_writes = 0;
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    {
      world->nodes[i].assumed_owner = 1;
      world->nodes[i].paused_until_ms = 0;
    }
  oracle->attempt_count = oracle->attempt_count < ATTEMPTS_MAX
                              ? oracle->attempt_count
                              : ATTEMPTS_MAX - 1;
  struct key *key = &oracle->keys[KEYS - 1];
  *key = (struct key){ 0 };
  snprintf (key->text, sizeof key->text, "%llu-recovered",
            (unsigned long long)(WORLD_WALL_MS + world->now_ms) / 1000);
  for (uint32_t i = 0; i < oracle->attempt_count; i++)
    if (oracle->attempts[i].key == KEYS - 1)
      return; /* Attempts of the old key would count for the new one. */
  begin_attempt (oracle, 0, KEYS - 1, 20000);
  for (int i = 0; i < 1000 && key->running == 0; i++)
    world_step (world, 20);
  CHECK (key->running == 1);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 8 || size > 3000)
    return 0;
  struct input input = { data, data + size, hash_placement (data, size) };
  struct oracle *oracle = calloc (1, sizeof *oracle);
  assert (oracle != NULL);
  struct world *world = &oracle->world;
  world->window_s = WINDOW_S;
  world->ring = 8;
  world->chunk_segments = 2;
  world->latency_ms = 3;
  world->on_answer = on_answer;
  world->arg = oracle;
  for (uint32_t i = 0; i < WORLD_NODES; i++)
    world->nodes[i].skew_s = (int32_t)(next_byte (&input) % 121) - 60;
  world_init (world, next_byte (&input));
  for (uint32_t i = 0; i < KEYS; i++)
    snprintf (oracle->keys[i].text, sizeof oracle->keys[i].text,
              "%llu-random%06u",
              (unsigned long long)(WORLD_WALL_MS / 1000 + i * 20 - 20), i);
  for (uint32_t i = 0; i < EVENTS_MIN || input.next < input.end; i++)
    run_event (oracle, &input);
  check_recovery (oracle);
  world_finish (world);
  free (oracle);
  return 0;
}
