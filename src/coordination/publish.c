/// Owns the state machine of one attempt to write a version. The caller does
/// the store's operations and encodes the records.
#include "coordination/publish.h"

#include "coordination/backoff.h"

#include <assert.h>
#include <string.h>

/// Limits the retry delay to 1.6 s, so that an attempt with a deadline of ten
/// seconds still succeeds when the store becomes available again.
#define DOUBLINGS_MAX 5

static void
finish (struct publish *publish, enum status result, uint64_t version)
{
  publish->action = PUBLISH_FINISHED;
  publish->result = result;
  publish->new_version = version;
}

/// Repeats the current action, or ends the attempt after its deadline.
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
                          "the store did not confirm whether version %llu was "
                          "accepted; repeat the change with the same nonce",
                          (unsigned long long)publish->base_version + 1),
              0);
      return;
    }
  finish (publish,
          status_set (STATUS_UNAVAILABLE,
                      "the store is unavailable; nothing was changed"),
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
                      "has already been accepted",
                      (unsigned long long)publish->base_version,
                      (unsigned long long)newest),
          newest);
}

/// @return true when the head no longer lists the version of this attempt, so
///         that it cannot tell whether the attempt was accepted
static bool
head_no_longer_lists (const struct publish *publish,
                      const struct publish_head *head)
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
      finish (publish,
              status_set (STATUS_CORRUPT,
                          "the head in the store cannot be decoded"),
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
      /* A version on top of an older head would start a second history. */
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
  /* The head has another revision now, so that no copy of this
     compare-and-swap that is still in flight can take effect. */
  uint64_t accepted;
  if (head_lists (head, publish->nonce, &accepted))
    finish (publish, STATUS_OK, accepted);
  else if (publish->head_uncertain && head_no_longer_lists (publish, head))
    finish (publish,
            status_set (STATUS_UNKNOWN,
                        "version %llu is no longer listed in the head; the "
                        "history shows whether it was accepted",
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
