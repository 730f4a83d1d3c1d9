/// Owns the decision steps of one attempt to write a version; the store and
/// the encoding of records belong to the caller.
#include "coordination/publish.h"

#include "coordination/backoff.h"

#include <assert.h>
#include <string.h>

/// Bounds the retry delay to 1.6 s, so that an attempt with a deadline of ten
/// seconds notices the return of the store.
#define DOUBLINGS_MAX 5

static void
finish (struct publish *publish, enum status result, uint64_t version)
{
  publish->action = PUBLISH_FINISHED;
  publish->result = result;
  publish->new_version = version;
}

/// Stays at the present action, or ends the attempt at its deadline.
static void
retry_or_finish (struct publish *publish, uint64_t now_ms)
{
  publish->attempts++;
  if (now_ms < publish->deadline_ms)
    return;
  if (publish->head_uncertain)
    {
      finish (publish,
              status_set (STATUS_UNKNOWN,
                          "the store did not answer whether version %llu was "
                          "accepted; ask again with the same nonce",
                          (unsigned long long)publish->base_version + 1),
              0);
      return;
    }
  finish (publish,
          status_set (STATUS_UNAVAILABLE,
                      "the store cannot be reached; nothing was changed"),
          0);
}

static bool
head_lists (const struct publish_head *head, uint64_t nonce, uint64_t *version)
{
  for (size_t i = 0; i < head->recent_count; i++)
    if (head->recent[i].nonce == nonce)
      {
        *version = head->recent[i].version;
        return true;
      }
  return false;
}

static void
finish_conflict (struct publish *publish, uint64_t newest)
{
  finish (publish,
          status_set (STATUS_CONFLICT,
                      "the change is based on version %llu, but version %llu "
                      "is accepted already",
                      (unsigned long long)publish->base_version,
                      (unsigned long long)newest),
          newest);
}

/// A head that moved on by more versions than it lists cannot tell whether
/// this attempt is among them.
static bool
head_dropped (const struct publish *publish, const struct publish_head *head)
{
  uint64_t version = publish->base_version + 1;
  if (head->version < version)
    return false;
  for (size_t i = 0; i < head->recent_count; i++)
    if (head->recent[i].version == version)
      return false;
  return true;
}

void
publish_init (struct publish *publish, uint64_t nonce, uint64_t base_version,
              const struct content_hash *base_hash, uint64_t held_version,
              uint64_t deadline_ms)
{
  *publish = (struct publish){
    .nonce = nonce,
    .base_version = base_version,
    .base_hash = *base_hash,
    .held_version = held_version,
    .deadline_ms = deadline_ms,
    .action = PUBLISH_READ_HEAD,
  };
}

void
publish_head_read (struct publish *publish, enum status status,
                   const struct publish_head *head, uint64_t now_ms)
{
  assert (publish->action == PUBLISH_READ_HEAD);
  static const struct publish_head none;
  if (status == STATUS_NOT_FOUND)
    head = &none;
  else if (status == STATUS_CORRUPT)
    {
      finish (publish, status_set (STATUS_CORRUPT, "the head is unreadable"),
              0);
      return;
    }
  else if (status != STATUS_OK)
    {
      retry_or_finish (publish, now_ms);
      return;
    }

  uint64_t accepted;
  if (head_lists (head, publish->nonce, &accepted))
    {
      finish (publish, STATUS_OK, accepted);
      return;
    }
  if (head->version < publish->held_version)
    {
      /* Extending an older head would create a second history. */
      finish (publish,
              status_set (STATUS_UNAVAILABLE,
                          "the store holds version %llu but version %llu is "
                          "in force; nothing was changed",
                          (unsigned long long)head->version,
                          (unsigned long long)publish->held_version),
              head->version);
      return;
    }
  if (head->version != publish->base_version)
    {
      finish_conflict (publish, head->version);
      return;
    }
  if (head->version > 0 && !hash_equal (&head->hash, &publish->base_hash))
    {
      finish (publish,
              status_set (STATUS_CORRUPT,
                          "the store and this node hold different contents "
                          "of version %llu",
                          (unsigned long long)head->version),
              head->version);
      return;
    }
  publish->head_revision = head->revision;
  publish->attempts = 0;
  publish->action = PUBLISH_WRITE_RECORD;
}

void
publish_record_written (struct publish *publish, enum status status,
                        uint64_t now_ms)
{
  assert (publish->action == PUBLISH_WRITE_RECORD);
  if (status == STATUS_OK || status == STATUS_CONFLICT)
    {
      publish->attempts = 0;
      publish->action = PUBLISH_WRITE_HEAD;
      return;
    }
  if (status == STATUS_TOO_LARGE)
    {
      finish (publish, status, 0);
      return;
    }
  retry_or_finish (publish, now_ms);
}

void
publish_head_written (struct publish *publish, enum status status,
                      const struct publish_head *head, uint64_t now_ms)
{
  assert (publish->action == PUBLISH_WRITE_HEAD);
  if (status == STATUS_OK)
    {
      finish (publish, STATUS_OK, publish->base_version + 1);
      return;
    }
  if (status != STATUS_CONFLICT)
    {
      if (status != STATUS_UNAVAILABLE)
        publish->head_uncertain = true;
      retry_or_finish (publish, now_ms);
      return;
    }
  /* The revision has moved on, so no copy of this compare-and-swap that is
     still under way can take effect. */
  uint64_t accepted;
  if (head_lists (head, publish->nonce, &accepted))
    finish (publish, STATUS_OK, accepted);
  else if (publish->head_uncertain && head_dropped (publish, head))
    finish (publish,
            status_set (STATUS_UNKNOWN,
                        "version %llu is no longer listed in the head; see "
                        "the history",
                        (unsigned long long)publish->base_version + 1),
            head->version);
  else
    finish_conflict (publish, head->version);
}

uint64_t
publish_delay_ms (const struct publish *publish, struct rng *rng)
{
  if (publish->attempts == 0)
    return 0;
  return backoff_delay_ms (rng, publish->attempts < DOUBLINGS_MAX
                                    ? publish->attempts
                                    : DOUBLINGS_MAX);
}
