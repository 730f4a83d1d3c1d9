/// In-memory key-value store in virtual time for unit and fuzz tests. It owns
/// the pending operations; faults are set in fields of struct fake_store.
#ifndef HAWTHORNSEAM_TEST_FAKE_STORE_H
#define HAWTHORNSEAM_TEST_FAKE_STORE_H

#include "fake_store_data.h"

static inline void
fake_answer_entry (struct fake_operation *operation, enum status status,
                   const struct fake_entry *entry)
{
  operation->reply.status = status;
  if (entry == NULL)
    return;
  operation->reply.revision = entry->revision;
  operation->reply_data = fake_copy (entry->data, entry->size);
  operation->reply.size = entry->size;
}

static inline void
fake_list (struct fake_store *store, struct fake_operation *operation)
{
  size_t count = 0;
  size_t prefix_size = strlen (operation->key);
  size_t bytes = 0;
  for (size_t i = 0; i < store->entry_count; i++)
    if (store->entries[i].key != NULL
        && strncmp (store->entries[i].key, operation->key, prefix_size) == 0)
      bytes += strlen (store->entries[i].key) + 1;
  operation->reply_data = malloc (bytes + 1);
  operation->reply_keys
      = calloc (store->entry_count + 1, sizeof *operation->reply_keys);
  assert (operation->reply_data != NULL && operation->reply_keys != NULL);
  char *name = (char *)operation->reply_data;
  for (size_t i = 0; i < store->entry_count; i++)
    {
      struct fake_entry *entry = &store->entries[i];
      if (entry->key == NULL
          || strncmp (entry->key, operation->key, prefix_size) != 0)
        continue;
      size_t size = strlen (entry->key) + 1;
      memcpy (name, entry->key, size);
      operation->reply_keys[count++]
          = (struct store_key){ .key = name, .revision = entry->revision };
      name += size;
    }
  operation->reply.status = STATUS_OK;
  operation->reply.key_count = count;
}

static inline void
fake_apply (struct fake_store *store, struct fake_operation *operation)
{
  struct fake_entry *entry
      = operation->key == NULL ? NULL : fake_find (store, operation->key);
  uint64_t revision = entry == NULL ? 0 : entry->revision;
  struct fake_lease *lease;
  switch (operation->call)
    {
    case FAKE_GET:
      fake_answer_entry (operation, entry ? STATUS_OK : STATUS_NOT_FOUND,
                         entry);
      break;
    case FAKE_WATCH:
      if (revision > operation->expected)
        fake_answer_entry (operation, STATUS_OK, entry);
      else if (store->now_ms >= operation->wait_until_ms)
        operation->reply.status = STATUS_TIMEOUT;
      else
        {
          operation->effect_ms = store->now_ms + 1;
          operation->answer_ms = store->now_ms + 1;
          return;
        }
      break;
    case FAKE_PUT:
      if (revision != operation->expected)
        {
          fake_answer_entry (operation, STATUS_CONFLICT, entry);
          break;
        }
      if (operation->lease != 0
          && fake_lease_find (store, operation->lease) == NULL)
        {
          operation->reply.status = STATUS_NOT_FOUND;
          break;
        }
      operation->reply.revision = fake_store_set (
          store, operation->key, operation->data, operation->size);
      operation->reply.status = STATUS_OK;
      fake_find (store, operation->key)->lease = operation->lease;
      break;
    case FAKE_REMOVE:
      if (entry == NULL)
        operation->reply.status = STATUS_NOT_FOUND;
      else if (revision != operation->expected)
        fake_answer_entry (operation, STATUS_CONFLICT, entry);
      else
        fake_entry_drop (entry);
      break;
    case FAKE_LIST:
      fake_list (store, operation);
      break;
    case FAKE_LEASE_GRANT:
      assert (store->lease_count
              < sizeof store->leases / sizeof store->leases[0]);
      operation->reply.revision = ++store->next_lease;
      store->leases[store->lease_count++] = (struct fake_lease){
        .id = store->next_lease,
        .ttl_ms = (uint32_t)operation->expected,
        .expires_ms = store->now_ms + operation->expected,
      };
      break;
    case FAKE_LEASE_KEEPALIVE:
      lease = fake_lease_find (store, operation->expected);
      if (lease == NULL)
        operation->reply.status = STATUS_NOT_FOUND;
      else
        lease->expires_ms = store->now_ms + lease->ttl_ms;
      break;
    default:
      break;
    }
  operation->effect_ms = UINT64_MAX;
}

/// @return time of the next effect or response, UINT64_MAX if none is pending
static inline uint64_t
fake_store_next_ms (const struct fake_store *store)
{
  uint64_t next = UINT64_MAX;
  for (size_t i = 0; i < store->operation_count; i++)
    {
      const struct fake_operation *operation = store->operations[i];
      if (operation->effect_ms < next)
        next = operation->effect_ms;
      if (operation->answer_ms < next)
        next = operation->answer_ms;
    }
  return next;
}

static inline void
fake_answer (struct fake_operation *operation)
{
  struct store_reply reply = operation->reply;
  reply.data = operation->reply_data;
  reply.keys = operation->reply_keys;
  if (operation->lost)
    reply = (struct store_reply){ .status = STATUS_UNKNOWN };
  operation->answer_ms = UINT64_MAX;
  void (*done) (void *, const struct store_reply *) = operation->done;
  operation->done = NULL;
  if (done != NULL)
    done (operation->arg, &reply);
}

/// Advances virtual time; effects and responses occur in time order.
static inline void
fake_store_advance (struct fake_store *store, uint64_t now_ms)
{
  for (;;)
    {
      uint64_t next = fake_store_next_ms (store);
      if (next > now_ms)
        break;
      if (next > store->now_ms)
        store->now_ms = next;
      fake_expire_leases (store);
      struct fake_operation *operation = NULL;
      size_t index = 0;
      for (size_t i = 0; i < store->operation_count; i++)
        {
          struct fake_operation *other = store->operations[i];
          if ((other->effect_ms <= next || other->answer_ms <= next)
              && (operation == NULL || other->order < operation->order))
            {
              operation = other;
              index = i;
            }
        }
      if (operation->effect_ms <= operation->answer_ms)
        fake_apply (store, operation);
      else
        fake_answer (operation);
      /* A callback may have appended operations to the list. */
      if (operation->effect_ms != UINT64_MAX
          || operation->answer_ms != UINT64_MAX)
        continue;
      fake_operation_free (operation);
      memmove (&store->operations[index], &store->operations[index + 1],
               (--store->operation_count - index)
                   * sizeof (struct fake_operation *));
    }
  store->now_ms = now_ms;
  fake_expire_leases (store);
}

static inline struct fake_operation *
fake_add (struct fake_store *store, enum fake_store_call call, const char *key,
          uint64_t expected,
          void (*done) (void *arg, const struct store_reply *reply), void *arg)
{
  struct fake_operation *operation = calloc (1, sizeof *operation);
  store->operations
      = realloc (store->operations,
                 (store->operation_count + 1) * sizeof *store->operations);
  assert (operation != NULL && store->operations != NULL);
  store->operations[store->operation_count++] = operation;
  *operation = (struct fake_operation){
    .call = call,
    .key = key == NULL ? NULL : strdup (key),
    .expected = expected,
    .effect_ms = store->now_ms + store->latency_ms / 2,
    .answer_ms = store->now_ms + store->latency_ms,
    .order = ++store->order,
    .done = done,
    .arg = arg,
  };
  store->counts[call]++;
  if (store->outage
      || (store->refuse_keys != NULL && key != NULL
          && strstr (key, store->refuse_keys) != NULL))
    {
      operation->effect_ms = UINT64_MAX;
      operation->reply.status = STATUS_UNAVAILABLE;
    }
  else if (store->lose_requests > 0)
    {
      store->lose_requests--;
      operation->effect_ms = UINT64_MAX;
      operation->answer_ms = store->now_ms + store->timeout_ms;
      operation->lost = true;
    }
  return operation;
}

static inline bool
fake_has_no_effect (const struct fake_operation *operation)
{
  return operation->effect_ms == UINT64_MAX;
}

/// Applies the faults that affect writes.
static inline void
fake_add_write (struct fake_store *store, struct fake_operation *operation)
{
  if (fake_has_no_effect (operation))
    return;
  if (store->delay_writes > 0)
    {
      store->delay_writes--;
      operation->effect_ms = store->now_ms + store->delay_writes_ms;
      operation->answer_ms = store->now_ms + store->timeout_ms;
      operation->lost = true;
    }
  else if (store->lose_answers > 0)
    {
      store->lose_answers--;
      operation->answer_ms = store->now_ms + store->timeout_ms;
      operation->lost = true;
    }
  if (store->repeat_writes == 0)
    return;
  store->repeat_writes--;
  struct fake_operation *duplicate = fake_add (
      store, operation->call, operation->key, operation->expected, NULL, NULL);
  store->counts[operation->call]--; /* The client called once. */
  if (fake_has_no_effect (duplicate))
    return;
  duplicate->lease = operation->lease;
  duplicate->data = fake_copy (operation->data, operation->size);
  duplicate->size = operation->size;
  duplicate->effect_ms = operation->effect_ms + store->repeat_after_ms;
  duplicate->answer_ms = duplicate->effect_ms;
}

static inline void
fake_get (void *store, const char *key,
          void (*done) (void *, const struct store_reply *), void *arg)
{
  fake_add (store, FAKE_GET, key, 0, done, arg);
}

static inline void
fake_watch (void *store, const char *key, uint64_t after, uint32_t wait_ms,
            void (*done) (void *, const struct store_reply *), void *arg)
{
  struct fake_operation *operation
      = fake_add (store, FAKE_WATCH, key, after, done, arg);
  operation->wait_until_ms = ((struct fake_store *)store)->now_ms + wait_ms;
}

static inline void
fake_put (void *store, const char *key, uint64_t expected, uint64_t lease,
          const void *data, size_t size,
          void (*done) (void *, const struct store_reply *), void *arg)
{
  assert (size <= STORE_VALUE_MAX);
  struct fake_operation *operation
      = fake_add (store, FAKE_PUT, key, expected, done, arg);
  operation->lease = lease;
  operation->data = fake_copy (data, size);
  operation->size = size;
  fake_add_write (store, operation);
}

static inline void
fake_remove (void *store, const char *key, uint64_t expected,
             void (*done) (void *, const struct store_reply *), void *arg)
{
  fake_add_write (store,
                  fake_add (store, FAKE_REMOVE, key, expected, done, arg));
}

static inline void
fake_list_keys (void *store, const char *prefix,
                void (*done) (void *, const struct store_reply *), void *arg)
{
  fake_add (store, FAKE_LIST, prefix, 0, done, arg);
}

static inline void
fake_lease_grant (void *store, uint32_t ttl_ms,
                  void (*done) (void *, const struct store_reply *), void *arg)
{
  fake_add_write (store,
                  fake_add (store, FAKE_LEASE_GRANT, NULL, ttl_ms, done, arg));
}

static inline void
fake_lease_keepalive (void *store, uint64_t lease,
                      void (*done) (void *, const struct store_reply *),
                      void *arg)
{
  fake_add_write (
      store, fake_add (store, FAKE_LEASE_KEEPALIVE, NULL, lease, done, arg));
}

static const struct store_ops fake_store_ops = {
  .get = fake_get,
  .watch = fake_watch,
  .put = fake_put,
  .remove = fake_remove,
  .list = fake_list_keys,
  .lease_grant = fake_lease_grant,
  .lease_keepalive = fake_lease_keepalive,
};

#endif
