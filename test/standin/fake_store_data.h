/// Content of the in-memory store: keys, leases and a snapshot of the keys.
/// Included by fake_store.h and store_server.h.
#ifndef HAWTHORNSEAM_TEST_FAKE_STORE_DATA_H
#define HAWTHORNSEAM_TEST_FAKE_STORE_DATA_H

#include "coordination/store.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum fake_store_call
{
  FAKE_GET,
  FAKE_WATCH,
  FAKE_PUT,
  FAKE_REMOVE,
  FAKE_LIST,
  FAKE_LEASE_GRANT,
  FAKE_LEASE_KEEPALIVE,
  FAKE_CALLS
};

struct fake_entry
{
  char *key; ///< NULL: the entry is unused
  uint64_t revision;
  uint64_t lease;
  uint8_t *data;
  size_t size;
};

struct fake_lease
{
  uint64_t id;
  uint32_t ttl_ms;
  uint64_t expires_ms;
};

struct fake_operation
{
  enum fake_store_call call;
  char *key;
  uint64_t expected; ///< expected revision; `after` of a watch; TTL of a new
                     ///< lease in ms; id of a lease that is kept alive
  uint64_t lease;
  uint8_t *data;
  size_t size;
  uint64_t effect_ms; ///< when it takes effect; UINT64_MAX: never, or it has
  uint64_t answer_ms; ///< when `done` is called; UINT64_MAX once it was
  uint64_t wait_until_ms;
  uint64_t order;
  bool lost; ///< the caller gets STATUS_UNKNOWN whatever the effect
  struct store_reply reply;
  uint8_t *reply_data;
  struct store_key *reply_keys;
  void (*done) (void *arg, const struct store_reply *reply);
  void *arg;
};

struct fake_store
{
  uint64_t now_ms;
  uint64_t revision;
  uint64_t order;
  struct fake_entry *entries;
  size_t entry_count;
  struct fake_entry *saved; ///< snapshot of fake_store_save
  size_t saved_count;
  struct fake_lease leases[256];
  size_t lease_count;
  uint64_t next_lease;
  struct fake_operation **operations;
  size_t operation_count;
  uint64_t counts[FAKE_CALLS];
  uint64_t bytes_written;
  /* Faults. */
  uint32_t latency_ms; ///< of each operation; it takes effect after half of it
  uint32_t timeout_ms; ///< when a lost response is reported; default 2000
  bool outage;         ///< new operations get STATUS_UNAVAILABLE
  const char *refuse_keys; ///< so do operations on keys that contain this text
  uint32_t lose_answers;   ///< next writes that take effect but return UNKNOWN
  uint32_t delay_writes;   ///< next writes that return UNKNOWN and act late
  uint32_t delay_writes_ms; ///< delay of that effect
  uint32_t lose_requests;   ///< next operations that return UNKNOWN, no effect
  uint32_t repeat_writes;   ///< next writes that are applied a second time
  uint32_t repeat_after_ms; ///< delay of the second time
};

static inline void
fake_store_init (struct fake_store *store)
{
  *store = (struct fake_store){ .latency_ms = 2, .timeout_ms = 2000 };
}

static inline void
fake_entries_free (struct fake_entry *entries, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (entries[i].key);
      free (entries[i].data);
    }
  free (entries);
}

static inline void
fake_operation_free (struct fake_operation *operation)
{
  free (operation->key);
  free (operation->data);
  free (operation->reply_data);
  free (operation->reply_keys);
  free (operation);
}

/// Frees the store. Callbacks of pending operations are not called.
static inline void
fake_store_finish (struct fake_store *store)
{
  fake_entries_free (store->entries, store->entry_count);
  fake_entries_free (store->saved, store->saved_count);
  for (size_t i = 0; i < store->operation_count; i++)
    fake_operation_free (store->operations[i]);
  free (store->operations);
}

static inline struct fake_entry *
fake_find (struct fake_store *store, const char *key)
{
  for (size_t i = 0; i < store->entry_count; i++)
    if (store->entries[i].key != NULL
        && strcmp (store->entries[i].key, key) == 0)
      return &store->entries[i];
  return NULL;
}

static inline void
fake_entry_drop (struct fake_entry *entry)
{
  free (entry->key);
  free (entry->data);
  *entry = (struct fake_entry){ 0 };
}

static inline uint8_t *
fake_copy (const void *data, size_t size)
{
  uint8_t *copy = malloc (size + 1);
  assert (copy != NULL);
  if (size > 0)
    memcpy (copy, data, size);
  copy[size] = 0;
  return copy;
}

/// Writes a key unconditionally, for the setup of a test.
/// @return the new revision
static inline uint64_t
fake_store_set (struct fake_store *store, const char *key, const void *data,
                size_t size)
{
  struct fake_entry *entry = fake_find (store, key);
  for (size_t i = 0; entry == NULL && i < store->entry_count; i++)
    if (store->entries[i].key == NULL)
      entry = &store->entries[i];
  if (entry == NULL)
    {
      store->entries = realloc (store->entries, (store->entry_count + 1)
                                                    * sizeof *store->entries);
      assert (store->entries != NULL);
      entry = &store->entries[store->entry_count++];
      *entry = (struct fake_entry){ 0 };
    }
  if (entry->key == NULL)
    entry->key = strdup (key);
  free (entry->data);
  entry->data = fake_copy (data, size);
  entry->size = size;
  entry->lease = 0;
  entry->revision = ++store->revision;
  store->bytes_written += size;
  return entry->revision;
}

static inline struct fake_entry *
fake_entries_copy (const struct fake_entry *entries, size_t count)
{
  struct fake_entry *copy = calloc (count + 1, sizeof *copy);
  assert (copy != NULL);
  for (size_t i = 0; i < count; i++)
    if (entries[i].key != NULL)
      {
        copy[i] = entries[i];
        copy[i].key = strdup (entries[i].key);
        copy[i].data = fake_copy (entries[i].data, entries[i].size);
      }
  return copy;
}

/// Takes a snapshot of the keys for fake_store_restore.
static inline void
fake_store_save (struct fake_store *store)
{
  fake_entries_free (store->saved, store->saved_count);
  store->saved = fake_entries_copy (store->entries, store->entry_count);
  store->saved_count = store->entry_count;
}

/// Restores the snapshot. Revision numbers are not reused.
static inline void
fake_store_restore (struct fake_store *store)
{
  fake_entries_free (store->entries, store->entry_count);
  store->entries = fake_entries_copy (store->saved, store->saved_count);
  store->entry_count = store->saved_count;
}

static inline struct fake_lease *
fake_lease_find (struct fake_store *store, uint64_t id)
{
  for (size_t i = 0; i < store->lease_count; i++)
    if (store->leases[i].id == id)
      return &store->leases[i];
  return NULL;
}

static inline void
fake_expire_leases (struct fake_store *store)
{
  for (size_t i = 0; i < store->lease_count;)
    {
      if (store->leases[i].expires_ms > store->now_ms)
        {
          i++;
          continue;
        }
      for (size_t j = 0; j < store->entry_count; j++)
        if (store->entries[j].lease == store->leases[i].id)
          fake_entry_drop (&store->entries[j]);
      store->leases[i] = store->leases[--store->lease_count];
    }
}

#endif
