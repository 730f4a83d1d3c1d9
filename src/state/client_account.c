/// Sorted tables of key hashes and of names.
#include "state/client_account.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static int
compare_keys (const void *a, const void *b)
{
  const struct client_account_key *left = a;
  const struct client_account_key *right = b;
  return memcmp (left->hash.bytes, right->hash.bytes, CONTENT_HASH_SIZE);
}

static int
compare_names (const void *a, const void *b)
{
  const struct client_account *left = *(const struct client_account *const *)a;
  const struct client_account *right
      = *(const struct client_account *const *)b;
  int order = strcmp (left->name, right->name);
  return order != 0 ? order : (left > right) - (left < right);
}

enum status
client_account_add_key (struct client_account_table *table, void *arena,
                        const char *key, size_t size)
{
  if (size == 0 || size > CLIENT_ACCOUNT_KEY_MAX)
    return status_set (STATUS_INVALID,
                       "account %s has an empty or too long key",
                       table->accounts[table->account_count - 1].name);
  size_t capacity = talloc_array_length (table->keys);
  if (table->key_count == capacity)
    {
      struct client_account_key *keys
          = talloc_realloc (arena, table->keys, struct client_account_key,
                            capacity == 0 ? 16 : 2 * capacity);
      if (keys == NULL)
        return status_set (STATUS_NO_MEMORY, "out of memory for API keys");
      table->keys = keys;
    }
  struct client_account_key *added = &table->keys[table->key_count++];
  added->account = table->account_count - 1;
  hash_content (&added->hash, key, size);
  return STATUS_OK;
}

enum status
client_account_prepare (struct client_account_table *table, void *arena)
{
  table->by_name = talloc_array (arena, const struct client_account *,
                                 table->account_count + 1);
  if (table->by_name == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for account names");
  for (size_t i = 0; i < table->account_count; i++)
    table->by_name[i] = &table->accounts[i];
  qsort (table->by_name, table->account_count,
         sizeof (const struct client_account *), compare_names);
  if (table->key_count > 0)
    qsort (table->keys, table->key_count, sizeof table->keys[0], compare_keys);
  for (size_t i = 1; i < table->key_count; i++)
    {
      const struct client_account_key *key = &table->keys[i];
      const struct client_account_key *before = &table->keys[i - 1];
      if (compare_keys (before, key) == 0 && before->account != key->account)
        return status_set (STATUS_INVALID,
                           "accounts %s and %s have the same key",
                           table->accounts[before->account].name,
                           table->accounts[key->account].name);
    }
  return STATUS_OK;
}

const struct client_account *
client_account_find (const struct client_account_table *table, const char *key)
{
  struct client_account_key wanted = { .account = 0 };
  size_t size = strlen (key);
  if (size == 0 || size > CLIENT_ACCOUNT_KEY_MAX || table->key_count == 0)
    return NULL;
  hash_content (&wanted.hash, key, size);
  const struct client_account_key *found = bsearch (
      &wanted, table->keys, table->key_count, sizeof wanted, compare_keys);
  return found == NULL ? NULL : &table->accounts[found->account];
}

const struct client_account *
client_account_by_name (const struct client_account_table *table,
                        const char *name)
{
  size_t first = 0;
  size_t end = table->account_count;
  while (first < end)
    {
      size_t middle = first + (end - first) / 2;
      if (strcmp (table->by_name[middle]->name, name) < 0)
        first = middle + 1;
      else
        end = middle;
    }
  return first < table->account_count
                 && strcmp (table->by_name[first]->name, name) == 0
             ? table->by_name[first]
             : NULL;
}
