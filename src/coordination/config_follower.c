/// Owns the configuration in force and the records of the last versions.
#include "coordination/config_follower_state.h"

#include "base/counter.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter applied
    = COUNTER ("follow_versions_in_force", "Versions put in force.");
static struct counter refused
    = COUNTER ("follow_refused", "Records and snapshots refused as a whole.");
static struct counter hash_conflicts
    = COUNTER ("follow_hash_conflicts",
               "Offers of a held version with another content hash.");

static struct counter head_regressed
    = COUNTER ("follow_head_regressed",
               "Confirmed heads older than the version in force.");
static struct counter unconfirmed_ready
    = COUNTER ("follow_unconfirmed_ready",
               "Became ready although the floor may be lost.");

void
config_follower_init (struct config_follower *follower,
                      const struct config_follower_ops *ops, void *arg)
{
  *follower = (struct config_follower){ .ops = ops, .arg = arg };
  config_init (&follower->current);
}

static void
drop_waiting (struct config_follower *follower, unsigned from)
{
  for (unsigned i = from; i < follower->waiting_count; i++)
    {
      config_finish (&follower->waiting[i].content);
      talloc_free (follower->waiting[i].arena);
    }
  follower->waiting_count = from;
}

void
config_follower_finish (struct config_follower *follower)
{
  drop_waiting (follower, 0);
  config_finish (&follower->current);
  for (unsigned i = 0; i < CONFIG_FOLLOWER_HISTORY; i++)
    talloc_free (follower->history_arenas[i]);
  free (follower->floors);
}

const struct config *
config_follower_current (const struct config_follower *follower)
{
  return &follower->current;
}

bool
config_follower_ready (const struct config_follower *follower)
{
  return follower->ready;
}

uint64_t
config_follower_newest (const struct config_follower *follower)
{
  return follower->waiting_count > 0
             ? follower->waiting[follower->waiting_count - 1].content.version
             : follower->current.version;
}

const struct config_record *
config_follower_history (const struct config_follower *follower,
                         uint64_t version)
{
  unsigned i = version % CONFIG_FOLLOWER_HISTORY;
  if (follower->history_arenas[i] == NULL
      || follower->history[i].version != version)
    return NULL;
  return &follower->history[i];
}

/// @return talloc context that owns the copied strings, or NULL without memory
static void *
copy_record (struct config_record *copy, const struct config_record *record)
{
  void *arena = talloc_new (NULL);
  if (arena == NULL)
    return NULL;
  *copy = *record;
  copy->author = talloc_strdup (arena, record->author);
  copy->note = talloc_strdup (arena, record->note);
  copy->delta = talloc_memdup (
      arena, record->delta, record->delta_size > 0 ? record->delta_size : 1);
  if (copy->author != NULL && copy->note != NULL && copy->delta != NULL)
    return arena;
  talloc_free (arena);
  return NULL;
}

static void
add_to_history (struct config_follower *follower,
                struct config_follower_waiting *entry)
{
  unsigned i = entry->record.version % CONFIG_FOLLOWER_HISTORY;
  talloc_free (follower->history_arenas[i]);
  follower->history_arenas[i] = entry->arena;
  follower->history[i] = entry->record;
}

static void
update_ready (struct config_follower *follower)
{
  if (follower->bound_known && follower->current.version >= follower->bound)
    follower->ready = true;
}

/// Puts the first waiting version in force.
static void
put_first_in_force (struct config_follower *follower)
{
  assert (follower->waiting_count > 0);
  struct config_follower_waiting entry = follower->waiting[0];
  follower->waiting_count--;
  memmove (follower->waiting, follower->waiting + 1,
           follower->waiting_count * sizeof *follower->waiting);
  assert (entry.content.version > follower->current.version);
  config_finish (&follower->current);
  follower->current = entry.content;
  if (entry.has_record)
    add_to_history (follower, &entry);
  counter_add (&applied, 1);
  update_ready (follower);
  follower->ops->in_force (follower->arg, &follower->current,
                           entry.has_record ? &entry.record : NULL);
}

static void
put_recorded_in_force (struct config_follower *follower)
{
  while (follower->waiting_count > 0
         && (follower->ops->announce_floor == NULL
             || follower->waiting[0].content.version <= follower->own_floor))
    put_first_in_force (follower);
}

static enum status
enqueue (struct config_follower *follower,
         const struct config_follower_waiting *entry)
{
  uint64_t version = entry->content.version;
  follower->waiting[follower->waiting_count++] = *entry;
  if (follower->ops->announce_floor != NULL && version > follower->own_floor)
    follower->ops->announce_floor (follower->arg, version);
  put_recorded_in_force (follower);
  return STATUS_OK;
}

void
config_follower_floor_recorded (struct config_follower *follower,
                                uint64_t version)
{
  if (version <= follower->own_floor)
    return;
  follower->own_floor = version;
  put_recorded_in_force (follower);
}

static enum status
check_same_hash (struct config_follower *follower, uint64_t version,
                 const struct content_hash *hash)
{
  if (version != follower->current.version
      || hash_equal (hash, &follower->current.hash))
    return STATUS_OK;
  counter_add (&hash_conflicts, 1);
  return status_set (STATUS_CORRUPT,
                     "content hash differs from that of version %llu in force",
                     (unsigned long long)version);
}

enum status
config_follower_offer_record (struct config_follower *follower,
                              const struct config_record *record,
                              uint64_t now_ms)
{
  if (record->version <= follower->current.version)
    return check_same_hash (follower, record->version, &record->hash);
  uint64_t newest = config_follower_newest (follower);
  if (record->version <= newest)
    return STATUS_OK;
  if (record->version > newest + 1
      || follower->waiting_count == CONFIG_FOLLOWER_WAITING_MAX)
    return status_set (STATUS_UNAVAILABLE,
                       "version %llu is not the successor of version %llu",
                       (unsigned long long)record->version,
                       (unsigned long long)newest);
  const struct config *base
      = follower->waiting_count > 0
            ? &follower->waiting[follower->waiting_count - 1].content
            : &follower->current;
  struct config_follower_waiting entry = { .has_record = true };
  enum status status = config_copy (&entry.content, base);
  if (status != STATUS_OK)
    return status;
  status = config_apply (&entry.content, record);
  if (status == STATUS_OK)
    {
      entry.arena = copy_record (&entry.record, record);
      if (entry.arena == NULL)
        status
            = status_set (STATUS_NO_MEMORY, "configuration record: no memory");
    }
  if (status == STATUS_OK)
    return enqueue (follower, &entry);
  config_finish (&entry.content);
  counter_add (&refused, 1);
  /* A record that does not apply to its predecessor is treated like one with a
     wrong hash: the caller has to get the version from elsewhere. */
  return status == STATUS_CONFLICT
             ? status_set (STATUS_CORRUPT, "record does not apply to its base")
             : status;
}

enum status
config_follower_offer_snapshot (struct config_follower *follower,
                                uint64_t version,
                                const struct content_hash *hash,
                                const uint8_t *encoding, size_t size,
                                uint64_t now_ms)
{
  if (version < follower->current.version)
    return status_set (STATUS_CONFLICT,
                       "snapshot is older than version %llu in force",
                       (unsigned long long)follower->current.version);
  if (version == follower->current.version)
    return check_same_hash (follower, version, hash);
  struct config_follower_waiting entry = { .has_record = false };
  enum status status = config_decode (&entry.content, encoding, size);
  if (status != STATUS_OK)
    {
      counter_add (&refused, 1);
      return status;
    }
  if (!hash_equal (&entry.content.hash, hash))
    {
      config_finish (&entry.content);
      counter_add (&refused, 1);
      return status_set (STATUS_CORRUPT,
                         "snapshot: content does not match its hash");
    }
  entry.content.version = version;
  /* The snapshot replaces older versions that wait; newer ones are offered
     again. */
  drop_waiting (follower, 0);
  return enqueue (follower, &entry);
}

static void
set_bound (struct config_follower *follower, uint64_t version)
{
  if (version > follower->bound)
    follower->bound = version;
  follower->bound_known = true;
  update_ready (follower);
}

void
config_follower_head_confirmed (struct config_follower *follower,
                                uint64_t version)
{
  if (version < follower->current.version)
    counter_add (&head_regressed, 1);
  if (!follower->ready)
    set_bound (follower, version);
}

void
config_follower_ask_peers (struct config_follower *follower, uint64_t now_ms)
{
  if (follower->asked_ms == 0)
    follower->asked_ms = now_ms;
}

void
config_follower_floor_reply (struct config_follower *follower, uint64_t from,
                             uint64_t floor, uint64_t version, bool ready,
                             uint32_t alive)
{
  if (follower->ready)
    return;
  uint64_t bound = floor > version ? floor : version;
  if (bound > follower->all_replies_bound)
    follower->all_replies_bound = bound;
  if (!ready)
    return;
  if (bound > follower->ready_replies_bound)
    follower->ready_replies_bound = bound;
  for (unsigned i = 0; i < follower->reply_count; i++)
    if (follower->repliers[i] == from)
      return;
  if (follower->reply_count < CONFIG_FOLLOWER_REPLIES_MIN)
    follower->repliers[follower->reply_count++] = from;
  unsigned needed = alive < CONFIG_FOLLOWER_REPLIES_MIN
                        ? alive
                        : CONFIG_FOLLOWER_REPLIES_MIN;
  /* Replies of peers that are not ready do not count towards the number, but
     the floors in them are used. */
  if (follower->reply_count >= needed)
    set_bound (follower, follower->all_replies_bound);
}

bool
config_follower_bound_known (const struct config_follower *follower)
{
  return follower->bound_known;
}

uint64_t
config_follower_bound (const struct config_follower *follower)
{
  return follower->bound;
}

bool
config_follower_asks_peers (const struct config_follower *follower)
{
  return follower->asked_ms != 0;
}

void
config_follower_tick (struct config_follower *follower, uint64_t now_ms)
{
  if (follower->ready || follower->bound_known || follower->asked_ms == 0
      || now_ms - follower->asked_ms < CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS
      || follower->all_replies_bound == 0)
    return;
  counter_add (&unconfirmed_ready, 1);
  set_bound (follower, follower->all_replies_bound);
}
