/// Owns the walks in progress through the version records in the store.
#include "node/node_history.h"

#include <string.h>
#include <talloc.h>

struct head_read
{
  void (*done) (void *arg, enum status status, const struct record_head *head);
  void *arg;
};

struct walk
{
  struct node *node;
  struct record_head head;
  const struct node_history_ops *ops;
  void *arg;
  uint64_t version;         ///< of the record that is read next
  struct content_hash hash; ///< hash of the content of this version
  char **keys;              ///< keys of the attempts to write the version
  size_t key_count;
  size_t next_key;
  bool listed; ///< the store was asked for the keys of all attempts
};

static void
head_done (void *arg, const struct store_reply *reply)
{
  struct head_read *read = arg;
  struct record_head head = { 0 };
  enum status status = reply->status;
  if (status == STATUS_OK)
    status = record_head_decode (&head, reply->data, reply->size);
  else
    status_set (status, "cannot read the head record from the store: %s",
                status_name (status));
  read->done (read->arg, status, &head);
  talloc_free (read);
}

void
node_history_head (struct node *node,
                   void (*done) (void *arg, enum status status,
                                 const struct record_head *head),
                   void *arg)
{
  struct head_read *read = talloc (NULL, struct head_read);
  if (read == NULL)
    {
      done (arg,
            status_set (STATUS_NO_MEMORY, "no memory to read the history"),
            NULL);
      return;
    }
  *read = (struct head_read){ done, arg };
  node->store_ops->get (node->store, RECORD_HEAD_KEY, head_done, read);
}

static void read_next_key (struct walk *walk);

static void
end_walk (struct walk *walk, enum status status)
{
  walk->ops->end (walk->arg, status);
  talloc_free (walk);
}

/// Reads the record of walk->version. The head lists the nonce of the accepted
/// attempt for recent versions; otherwise all attempts are listed.
static void
read_version (struct walk *walk)
{
  if (walk->version == 0)
    {
      end_walk (walk, STATUS_OK);
      return;
    }
  talloc_free (walk->keys);
  walk->keys = talloc_zero_array (walk, char *, 1);
  walk->key_count = 0;
  walk->next_key = 0;
  walk->listed = false;
  for (size_t i = 0; i < walk->head.recent_count && walk->keys != NULL; i++)
    if (walk->head.recent[i].version == walk->version)
      {
        char key[RECORD_KEY_MAX];
        record_version_key (key, walk->version, walk->head.recent[i].nonce);
        walk->keys[0] = talloc_strdup (walk->keys, key);
        walk->key_count = 1;
      }
  read_next_key (walk);
}

static void
record_done (void *arg, const struct store_reply *reply)
{
  struct walk *walk = arg;
  struct config_record record;
  if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    {
      end_walk (walk,
                status_set (reply->status,
                            "cannot read version %llu from the store: %s",
                            (unsigned long long)walk->version,
                            status_name (reply->status)));
      return;
    }
  void *arena = talloc_new (NULL);
  bool accepted
      = reply->status == STATUS_OK
        && record_version_decode (arena, reply->data, reply->size, &record)
               == STATUS_OK
        && record.version == walk->version
        && hash_equal (&record.hash, &walk->hash);
  bool wanted = accepted && walk->ops->record (walk->arg, &record);
  if (accepted)
    walk->hash = record.previous_hash;
  talloc_free (arena);
  if (!accepted)
    {
      read_next_key (walk);
      return;
    }
  if (!wanted)
    {
      end_walk (walk, STATUS_OK);
      return;
    }
  walk->version--;
  read_version (walk);
}

static void
list_done (void *arg, const struct store_reply *reply)
{
  struct walk *walk = arg;
  if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    {
      end_walk (walk,
                status_set (reply->status,
                            "cannot read version %llu from the store: %s",
                            (unsigned long long)walk->version,
                            status_name (reply->status)));
      return;
    }
  size_t count = reply->status == STATUS_OK ? reply->key_count : 0;
  talloc_free (walk->keys);
  walk->keys = talloc_zero_array (walk, char *, count + 1);
  walk->key_count = walk->keys == NULL ? 0 : count;
  walk->next_key = 0;
  for (size_t i = 0; i < walk->key_count; i++)
    walk->keys[i] = talloc_strdup (walk->keys, reply->keys[i].key);
  read_next_key (walk);
}

/// Reads the next attempt. Several writers may have left a record of the same
/// version; the hash identifies the accepted one.
static void
read_next_key (struct walk *walk)
{
  const struct store_ops *ops = walk->node->store_ops;
  if (walk->next_key < walk->key_count)
    {
      const char *key = walk->keys[walk->next_key++];
      ops->get (walk->node->store, key, record_done, walk);
      return;
    }
  if (walk->listed)
    {
      end_walk (walk, status_set (STATUS_NOT_FOUND,
                                  "version %llu is not in the store",
                                  (unsigned long long)walk->version));
      return;
    }
  char prefix[RECORD_KEY_MAX];
  walk->listed = true;
  record_version_prefix (prefix, walk->version);
  ops->list (walk->node->store, prefix, list_done, walk);
}

void
node_history_walk (struct node *node, const struct record_head *head,
                   const struct node_history_ops *ops, void *arg)
{
  struct walk *walk = talloc_zero (NULL, struct walk);
  if (walk == NULL)
    {
      ops->end (
          arg, status_set (STATUS_NO_MEMORY, "no memory to read the history"));
      return;
    }
  walk->node = node;
  walk->head = *head;
  walk->ops = ops;
  walk->arg = arg;
  walk->version = head->version;
  walk->hash = head->hash;
  read_version (walk);
}
