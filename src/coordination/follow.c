/// Owns the configuration in force and the records that led to it.
#include "coordination/follow_state.h"

#include "base/counter.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter applied
    = COUNTER ("follow_versions_in_force", "Versions put in force.");
static struct counter refused
    = COUNTER ("follow_refused", "Records and snapshots refused as a whole.");
static struct counter forks
    = COUNTER ("follow_hash_conflicts",
               "Offers of a held version with another content hash.");

static struct counter head_regressed
    = COUNTER ("follow_head_regressed",
               "Confirmed heads older than the version in force.");
static struct counter unconfirmed
    = COUNTER ("follow_unconfirmed_ready",
               "Became ready although the floor may be lost.");

void
follow_init (struct follow *follow, const struct follow_ops *ops, void *arg)
{
  *follow = (struct follow){ .ops = ops, .arg = arg };
  config_init (&follow->current);
}

static void
drop_waiting (struct follow *follow, unsigned from)
{
  for (unsigned i = from; i < follow->waiting_count; i++)
    {
      config_finish (&follow->waiting[i].content);
      talloc_free (follow->waiting[i].arena);
    }
  follow->waiting_count = from;
}

void
follow_finish (struct follow *follow)
{
  drop_waiting (follow, 0);
  config_finish (&follow->current);
  for (unsigned i = 0; i < FOLLOW_HISTORY; i++)
    talloc_free (follow->history_arenas[i]);
  free (follow->floors);
}

const struct config *
follow_current (const struct follow *follow)
{
  return &follow->current;
}

bool
follow_ready (const struct follow *follow)
{
  return follow->ready;
}

uint64_t
follow_newest (const struct follow *follow)
{
  return follow->waiting_count > 0
             ? follow->waiting[follow->waiting_count - 1].content.version
             : follow->current.version;
}

const struct config_record *
follow_history (const struct follow *follow, uint64_t version)
{
  unsigned i = version % FOLLOW_HISTORY;
  if (follow->history_arenas[i] == NULL
      || follow->history[i].version != version)
    return NULL;
  return &follow->history[i];
}

/// @return an arena with a copy of the record, or NULL
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
keep_record (struct follow *follow, struct follow_waiting *entry)
{
  unsigned i = entry->record.version % FOLLOW_HISTORY;
  talloc_free (follow->history_arenas[i]);
  follow->history_arenas[i] = entry->arena;
  follow->history[i] = entry->record;
}

static void
check_ready (struct follow *follow)
{
  if (follow->bound_known && follow->current.version >= follow->bound)
    follow->ready = true;
}

/// Puts the first waiting content in force.
static void
advance (struct follow *follow)
{
  assert (follow->waiting_count > 0);
  struct follow_waiting entry = follow->waiting[0];
  follow->waiting_count--;
  memmove (follow->waiting, follow->waiting + 1,
           follow->waiting_count * sizeof *follow->waiting);
  assert (entry.content.version > follow->current.version);
  config_finish (&follow->current);
  follow->current = entry.content;
  if (entry.has_record)
    keep_record (follow, &entry);
  counter_add (&applied, 1);
  check_ready (follow);
  follow->ops->in_force (follow->arg, &follow->current,
                         entry.has_record ? &entry.record : NULL);
}

static void
advance_to_floor (struct follow *follow)
{
  while (follow->waiting_count > 0
         && (follow->ops->announce_floor == NULL
             || follow->waiting[0].content.version <= follow->own_floor))
    advance (follow);
}

static enum status
enqueue (struct follow *follow, const struct follow_waiting *entry)
{
  uint64_t version = entry->content.version;
  follow->waiting[follow->waiting_count++] = *entry;
  if (follow->ops->announce_floor != NULL && version > follow->own_floor)
    follow->ops->announce_floor (follow->arg, version);
  advance_to_floor (follow);
  return STATUS_OK;
}

void
follow_floor_recorded (struct follow *follow, uint64_t version)
{
  if (version <= follow->own_floor)
    return;
  follow->own_floor = version;
  advance_to_floor (follow);
}

static enum status
check_held (struct follow *follow, uint64_t version,
            const struct content_hash *hash)
{
  if (version != follow->current.version
      || hash_equal (hash, &follow->current.hash))
    return STATUS_OK;
  counter_add (&forks, 1);
  return status_set (STATUS_CORRUPT, "version %llu has another content hash",
                     (unsigned long long)version);
}

enum status
follow_offer_record (struct follow *follow, const struct config_record *record,
                     uint64_t now_ms)
{
  if (record->version <= follow->current.version)
    return check_held (follow, record->version, &record->hash);
  uint64_t newest = follow_newest (follow);
  if (record->version <= newest)
    return STATUS_OK;
  if (record->version > newest + 1
      || follow->waiting_count == FOLLOW_WAITING_MAX)
    return status_set (
        STATUS_UNAVAILABLE, "version %llu does not follow version %llu",
        (unsigned long long)record->version, (unsigned long long)newest);
  const struct config *base
      = follow->waiting_count > 0
            ? &follow->waiting[follow->waiting_count - 1].content
            : &follow->current;
  struct follow_waiting entry = { .has_record = true };
  enum status status = config_copy (&entry.content, base);
  if (status != STATUS_OK)
    return status;
  status = config_apply (&entry.content, record);
  if (status == STATUS_OK)
    {
      entry.arena = copy_record (&entry.record, record);
      if (entry.arena == NULL)
        status = status_set (STATUS_NO_MEMORY, "no memory for a record");
    }
  if (status == STATUS_OK)
    return enqueue (follow, &entry);
  config_finish (&entry.content);
  counter_add (&refused, 1);
  /* A record that does not apply to its predecessor is as bad as one with a
     wrong hash: the content must come from elsewhere. */
  return status == STATUS_CONFLICT
             ? status_set (STATUS_CORRUPT, "record does not follow")
             : status;
}

enum status
follow_offer_snapshot (struct follow *follow, uint64_t version,
                       const struct content_hash *hash,
                       const uint8_t *encoding, size_t size, uint64_t now_ms)
{
  if (version < follow->current.version)
    return status_set (STATUS_CONFLICT, "snapshot is older than version %llu",
                       (unsigned long long)follow->current.version);
  if (version == follow->current.version)
    return check_held (follow, version, hash);
  struct follow_waiting entry = { .has_record = false };
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
      return status_set (STATUS_CORRUPT, "snapshot has another content hash");
    }
  entry.content.version = version;
  /* Waiting contents of older versions are skipped, newer ones come again. */
  drop_waiting (follow, 0);
  return enqueue (follow, &entry);
}

static void
set_bound (struct follow *follow, uint64_t version)
{
  if (version > follow->bound)
    follow->bound = version;
  follow->bound_known = true;
  check_ready (follow);
}

void
follow_head_confirmed (struct follow *follow, uint64_t version)
{
  if (version < follow->current.version)
    counter_add (&head_regressed, 1);
  if (!follow->ready)
    set_bound (follow, version);
}

void
follow_ask_peers (struct follow *follow, uint64_t now_ms)
{
  if (follow->asked_ms == 0)
    follow->asked_ms = now_ms;
}

void
follow_floor_reply (struct follow *follow, uint64_t from, uint64_t floor,
                    uint64_t version, bool ready, uint32_t alive)
{
  if (follow->ready)
    return;
  uint64_t bound = floor > version ? floor : version;
  if (bound > follow->any_bound)
    follow->any_bound = bound;
  if (!ready)
    return;
  if (bound > follow->answers_bound)
    follow->answers_bound = bound;
  for (unsigned i = 0; i < follow->answer_count; i++)
    if (follow->answers[i] == from)
      return;
  if (follow->answer_count < FOLLOW_ANSWERS)
    follow->answers[follow->answer_count++] = from;
  unsigned needed = alive < FOLLOW_ANSWERS ? alive : FOLLOW_ANSWERS;
  /* Floors that peers without readiness recorded count as well. */
  if (follow->answer_count >= needed)
    set_bound (follow, follow->any_bound);
}

bool
follow_bound_known (const struct follow *follow)
{
  return follow->bound_known;
}

uint64_t
follow_bound (const struct follow *follow)
{
  return follow->bound;
}

bool
follow_asks_peers (const struct follow *follow)
{
  return follow->asked_ms != 0;
}

void
follow_tick (struct follow *follow, uint64_t now_ms)
{
  if (follow->ready || follow->bound_known || follow->asked_ms == 0
      || now_ms - follow->asked_ms < FOLLOW_ANSWERS_MS
      || follow->any_bound == 0)
    return;
  counter_add (&unconfirmed, 1);
  set_bound (follow, follow->any_bound);
}
