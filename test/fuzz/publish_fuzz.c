/// Several writers race on a model store that loses responses, delays writes
/// and has outages. Invariants: no attempt is accepted twice; an attempt that
/// was reported as accepted is in the history; one that was reported as
/// refused is never in it, not later either; one with an unknown outcome may
/// be either.
#include "coordination/publish.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 3
#define HISTORY 512
#define RECENT 4 ///< small, so that older versions drop out of the head

struct model_store
{
  uint64_t revision; ///< equals the number of accepted versions
  uint64_t nonces[HISTORY];
};

struct delayed_write
{
  bool used;
  uint64_t expected;
  uint64_t nonce;
};

struct outcome
{
  uint64_t nonce;
  enum status result;
};

static struct model_store store;
static struct delayed_write delayed[8];
static struct publish writers[WRITERS];
static struct outcome outcomes[HISTORY];
static size_t outcome_count;
static uint64_t next_nonce;
static uint64_t now_ms;

static uint64_t
accepted_version (uint64_t nonce)
{
  for (uint64_t i = 0; i < store.revision; i++)
    if (store.nonces[i] == nonce)
      return i + 1;
  return 0;
}

static bool
model_swap (uint64_t expected, uint64_t nonce)
{
  if (store.revision != expected || store.revision == HISTORY)
    return false;
  assert (accepted_version (nonce) == 0); /* no attempt is accepted twice */
  store.nonces[store.revision++] = nonce;
  return true;
}

static struct publish_head
model_head (struct publish_entry recent[RECENT])
{
  struct publish_head head = { .revision = store.revision,
                               .version = store.revision,
                               .recent = recent };
  for (uint64_t v = store.revision; v > 0 && head.recent_count < RECENT; v--)
    recent[head.recent_count++]
        = (struct publish_entry){ v, store.nonces[v - 1] };
  return head;
}

static void
start_attempt (struct publish *writer)
{
  static const struct content_hash hash;
  publish_init (writer, ++next_nonce, store.revision, &hash, 0, now_ms + 20);
}

static void
record_outcome (struct publish *writer)
{
  uint64_t version = accepted_version (writer->nonce);
  if (writer->result == STATUS_OK)
    assert (version != 0 && version == writer->new_version);
  else if (writer->result != STATUS_UNKNOWN)
    assert (version == 0);
  if (outcome_count < HISTORY)
    outcomes[outcome_count++]
        = (struct outcome){ writer->nonce, writer->result };
  start_attempt (writer);
}

static void
check_outcomes (void)
{
  for (size_t i = 0; i < outcome_count; i++)
    if (outcomes[i].result != STATUS_OK
        && outcomes[i].result != STATUS_UNKNOWN)
      assert (accepted_version (outcomes[i].nonce) == 0);
}

/// Runs the next action of one writer.
/// @param fault  selects what happens to the request and to its response
static void
run_action (struct publish *writer, unsigned fault)
{
  struct publish_entry recent[RECENT];
  struct publish_head head;
  enum status lost = STATUS_UNKNOWN;
  switch (writer->action)
    {
    case PUBLISH_READ_HEAD:
      head = model_head (recent);
      publish_head_read (writer, fault == 0 ? STATUS_UNAVAILABLE : STATUS_OK,
                         &head, now_ms);
      break;
    case PUBLISH_WRITE_RECORD:
      publish_record_written (writer, fault == 0 ? lost : STATUS_OK, now_ms);
      break;
    case PUBLISH_WRITE_HEAD:
      if (fault == 0)
        publish_head_written (writer, STATUS_UNAVAILABLE, NULL, now_ms);
      else if (fault == 1)
        { /* The write takes effect, its response is lost. */
          model_swap (writer->head_revision, writer->nonce);
          publish_head_written (writer, lost, NULL, now_ms);
        }
      else if (fault == 2)
        { /* The write is delayed in the network and the writer times out. */
          struct delayed_write *slot = &delayed[now_ms % 8];
          *slot = (struct delayed_write){ true, writer->head_revision,
                                          writer->nonce };
          publish_head_written (writer, lost, NULL, now_ms);
        }
      else
        {
          bool swapped = model_swap (writer->head_revision, writer->nonce);
          head = model_head (recent);
          publish_head_written (writer, swapped ? STATUS_OK : STATUS_CONFLICT,
                                &head, now_ms);
        }
      break;
    case PUBLISH_FINISHED:
      break;
    }
  if (writer->action == PUBLISH_FINISHED)
    record_outcome (writer);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  memset (&store, 0, sizeof store);
  memset (delayed, 0, sizeof delayed);
  outcome_count = 0;
  next_nonce = 0;
  now_ms = 0;
  for (int i = 0; i < WRITERS; i++)
    start_attempt (&writers[i]);
  for (size_t i = 0; i < size; i++)
    {
      now_ms++;
      unsigned event = data[i];
      if (event >= 0xe0)
        {
          struct delayed_write *slot = &delayed[event % 8];
          if (slot->used)
            model_swap (slot->expected, slot->nonce);
          slot->used = false;
        }
      else
        run_action (&writers[event % WRITERS], (event / WRITERS) % 8);
    }
  check_outcomes ();
  return 0;
}
