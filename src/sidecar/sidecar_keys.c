/// Applies keys that were read from the store, or received from another node,
/// to the configuration, the directory, the moves and the crash suspects.
/// Owns no state.
#include "sidecar/sidecar_leave.h"
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

/// Longest value under a key of the project's own, bytes; records are shorter.
/// Longer ones of another writer would fill the views that nodes exchange.
#define OWN_VALUE_BYTES_MAX (16u * 1024)

static struct counter malformed_values = COUNTER (
    "store_entries_malformed", "entries and records that cannot be read");

static struct counter older_configs
    = COUNTER ("store_configs_older",
               "configurations ignored because a later revision is in force");

static struct log_rate_limit older_config_log_limit = { .per_second = 1 };

static void
apply_config (struct sidecar *sidecar, const struct store_key *key)
{
  struct mesh_config *config;
  /* The same configuration arrives again with a full read or from another
     relay, and parsing a large one takes a small VM tens of milliseconds. */
  if (sidecar->config != NULL && key->revision <= sidecar->config_revision)
    {
      if (key->revision < sidecar->config_revision)
        {
          counter_add (&older_configs, 1);
          log_rate_limited (&older_config_log_limit, LOG_LEVEL_INFO,
                            "config_older",
                            "revision=%" PRIu64 " in_force_revision=%" PRIu64
                            " store_era=%" PRIu64,
                            key->revision, sidecar->config_revision,
                            sidecar->store_client.era);
        }
      return;
    }
  if (sidecar->adapter->read_config (key->data, key->size, &config)
      != STATUS_OK)
    {
      counter_add (&malformed_values, 1);
      log_event (LOG_LEVEL_ERROR, "config_refused",
                 "revision=%" PRIu64 " reason=\"%s\"", key->revision,
                 status_message ());
      return;
    }
  if (sidecar->config != NULL && config->version <= sidecar->config->version)
    {
      log_event (LOG_LEVEL_INFO, "config_ignored",
                 "version=%" PRIx64 " in_force=%" PRIx64, config->version,
                 sidecar->config->version);
      sidecar->config_revision = key->revision;
      talloc_free (config);
      return;
    }
  log_event (LOG_LEVEL_INFO, "config_in_force",
             "version=%" PRIx64 " before=%" PRIx64 " revision=%" PRIu64
             " routes=%zu services=%zu",
             config->version,
             sidecar->config == NULL ? 0 : sidecar->config->version,
             key->revision, config->route_count, config->service_count);
  talloc_free (sidecar->config);
  sidecar->config = config;
  sidecar->config_ms = clock_monotonic_ms ();
  sidecar->config_revision = key->revision;
  sidecar_target_limit_cold (sidecar);
  sidecar->calls.limits = (struct http_server_limits){
    .head_bytes = config->limits.head_bytes,
    .body_bytes = config->limits.body_bytes,
    .stream_bytes = SIDECAR_BUFFERED_BODY_BYTES_MAX,
    .receive_ms = config->limits.head_ms,
    .idle_ms = config->limits.idle_ms,
  };
  /* What an entry node accepted and added its fields to. */
  size_t head_bytes = config->limits.head_bytes + HTTP_HEAD_ADDED_BYTES_MAX;
  sidecar->peers.limits.head_bytes
      = head_bytes > HTTP_HEAD_BYTES_MAX ? head_bytes : HTTP_HEAD_BYTES_MAX;
  sidecar->peers.limits.body_bytes
      = config->limits.body_bytes > SIDECAR_BODY_BYTES_MAX
            ? config->limits.body_bytes
            : SIDECAR_BODY_BYTES_MAX;
  sidecar->peers.limits.stream_bytes = SIDECAR_BUFFERED_BODY_BYTES_MAX;
  sidecar->peers.limits.streams_chunked = true;
}

/// Announces the entry of this node again when another writer has replaced it.
/// The entry of a later process of this node stays.
/// @param entry  NULL: the key holds no entry
static void
restore_own_entry (struct sidecar_store *store, const struct store_key *key,
                   const struct directory_entry *entry)
{
  bool is_announced
      = key->size == strlen (store->pending_entry)
        && memcmp (key->data, store->pending_entry, key->size) == 0;
  if (is_announced || store->sidecar->stopping
      || (entry != NULL && entry->epoch > store->sidecar->epoch))
    return;
  store->announced = false;
  log_event (LOG_LEVEL_INFO, "own_entry_replaced",
             "revision=%" PRIu64 " epoch=%" PRIu64, key->revision,
             entry == NULL ? 0 : entry->epoch);
}

static void
apply_entry (struct sidecar_store *store, const struct store_key *key,
             const char *node)
{
  struct sidecar *sidecar = store->sidecar;
  uint64_t now = clock_monotonic_ms ();
  bool is_own = strcmp (key->key, store->key) == 0;
  bool is_own_news = is_own && key->revision > store->revision;
  if (is_own_news)
    store->revision = key->removed ? 0 : key->revision;
  if (key->removed)
    {
      directory_mark_missing (&sidecar->directory, node, key->revision, now);
      log_event (LOG_LEVEL_INFO, "entry_lapsed", "node=%s revision=%" PRIu64,
                 node, key->revision);
      if (is_own && !sidecar->stopping)
        {
          /* The key may be gone because the lease has ended. */
          store->lease = 0;
          store->announced = false;
        }
      return;
    }
  struct directory_entry entry;
  if (entry_record_read (key->data, key->size, &entry) != STATUS_OK
      || strcmp (entry.node, node) != 0)
    {
      counter_add (&malformed_values, 1);
      log_event (LOG_LEVEL_WARNING, "entry_malformed",
                 "node=%s revision=%" PRIu64 " reason=\"%s\"", node,
                 key->revision, status_message ());
      if (is_own_news)
        restore_own_entry (store, key, NULL);
      return;
    }
  if (is_own_news)
    restore_own_entry (store, key, &entry);
  if (is_own && entry.epoch != sidecar->epoch)
    sidecar_target_restore (sidecar, &entry);
  directory_put (&sidecar->directory, &entry, key->revision, now);
  log_event (LOG_LEVEL_INFO, "entry",
             "node=%s service=%s version=%s instance=%s state=%d "
             "revision=%" PRIu64,
             node, entry.service, entry.version, entry.instance, entry.state,
             key->revision);
}

/// @return the part of the key after the prefix, or NULL when the key does not
///         start with it
static const char *
strip_prefix (const char *key, const char *prefix)
{
  size_t size = strlen (prefix);
  return strncmp (key, prefix, size) == 0 ? key + size : NULL;
}

/// Applies an operator's order to evacuate a zone, or its end.
static void
apply_evacuation (struct sidecar *sidecar, const struct store_key *key,
                  const char *zone)
{
  bool was_evacuated = sidecar_target_is_evacuated (sidecar);
  bool known = evacuation_contains (&sidecar->evacuations, zone);
  if (key->removed)
    evacuation_remove (&sidecar->evacuations, zone, key->revision);
  else if (evacuation_add (&sidecar->evacuations, zone, key->revision)
           != STATUS_OK)
    log_event (LOG_LEVEL_ERROR, "evacuation_refused",
               "revision=%" PRIu64 " reason=\"%s\"", key->revision,
               status_message ());
  bool evacuated = evacuation_contains (&sidecar->evacuations, zone);
  if (evacuated != known)
    log_event (LOG_LEVEL_INFO, evacuated ? "zone_evacuated" : "zone_restored",
               "zone=%s revision=%" PRIu64, zone, key->revision);
  sidecar_target_note_evacuation (sidecar, was_evacuated);
}

/// Empties the value of one of the project's own keys when it is too long for
/// any record.
static struct store_key
limit_value (const struct sidecar *sidecar, const struct store_key *key)
{
  struct store_key limited = *key;
  if (key->size <= OWN_VALUE_BYTES_MAX
      || strip_prefix (key->key, sidecar->adapter->own_prefix) == NULL)
    return limited;
  log_event (LOG_LEVEL_WARNING, "value_too_long",
             "key=%.96s revision=%" PRIu64 " size=%zu", key->key,
             key->revision, key->size);
  limited.size = 0;
  return limited;
}

void
sidecar_store_apply_key (struct sidecar_store *store,
                         const struct store_key *stored)
{
  struct sidecar *sidecar = store->sidecar;
  const struct adapter_ops *adapter = sidecar->adapter;
  struct store_key limited = limit_value (sidecar, stored);
  const struct store_key *key = &limited;
  enum status status
      = key->removed ? mirror_remove (&store->mirror, key->key, key->revision)
                     : mirror_put (&store->mirror, key->key, key->revision,
                                   key->data, key->size);
  if (status != STATUS_OK)
    log_event (LOG_LEVEL_ERROR, "view_incomplete", "key=%s reason=\"%s\"",
               key->key, status_message ());
  const char *order = strip_prefix (key->key, adapter->order_prefix);
  const char *own_key = strip_prefix (key->key, adapter->own_prefix);
  const char *node
      = own_key == NULL ? NULL : strip_prefix (own_key, NODE_KEY_PREFIX);
  const char *move
      = own_key == NULL ? NULL : strip_prefix (own_key, MOVE_KEY_PREFIX);
  const char *leave
      = own_key == NULL ? NULL : strip_prefix (own_key, LEAVE_KEY_PREFIX);
  const char *crash
      = own_key == NULL ? NULL : strip_prefix (own_key, CRASH_KEY_PREFIX);
  const char *evacuated = strip_prefix (key->key, adapter->evacuation_prefix);
  if (node != NULL)
    apply_entry (store, key, node);
  else if (evacuated != NULL)
    apply_evacuation (sidecar, key, evacuated);
  else if (key->removed)
    return;
  else if (strcmp (key->key, adapter->config_key) == 0)
    apply_config (sidecar, key);
  else if (order != NULL)
    sidecar_moves_on_order (sidecar, key, order);
  else if (move != NULL)
    sidecar_moves_on_record (sidecar, key, move);
  else if (leave != NULL)
    sidecar_leave_on_record (sidecar, key);
  else if (crash != NULL)
    sidecar_crash_on_record (sidecar, key);
}

void
sidecar_store_apply_keys (struct sidecar_store *store,
                          const struct store_reply *reply)
{
  for (size_t i = 0; i < reply->key_count; i++)
    sidecar_store_apply_key (store, &reply->keys[i]);
  size_t nodes = 0;
  const struct directory *directory = &store->sidecar->directory;
  for (size_t i = 0; i < directory->count; i++)
    nodes += directory->records[i].used;
  store->node_count = nodes;
  retry_quota_set_slack (&store->sidecar->retry_quotas,
                         store->sidecar->settings.retry_slack, nodes);
}

void
sidecar_store_begin_list (struct sidecar_store *store)
{
  directory_begin_list (&store->sidecar->directory);
  evacuation_begin_list (&store->sidecar->evacuations);
}

void
sidecar_store_end_list (struct sidecar_store *store, uint64_t as_of)
{
  struct sidecar *sidecar = store->sidecar;
  bool was_evacuated = sidecar_target_is_evacuated (sidecar);
  directory_end_list (&sidecar->directory, as_of, clock_monotonic_ms ());
  evacuation_end_list (&sidecar->evacuations, as_of);
  sidecar_target_note_evacuation (sidecar, was_evacuated);
}

void
sidecar_store_apply_changes (struct sidecar_store *store,
                             const struct mirror *view, uint64_t as_of,
                             bool full)
{
  struct store_key *keys
      = talloc_zero_array (NULL, struct store_key, view->count + 1);
  if (keys == NULL)
    return;
  for (size_t i = 0; i < view->count; i++)
    {
      const struct mirror_item *item = &view->items[i];
      keys[i] = (struct store_key){ .key = item->key,
                                    .revision = item->revision,
                                    .removed = item->removed,
                                    .data = item->data,
                                    .size = item->size };
    }
  struct store_reply reply = { .keys = keys, .key_count = view->count };
  if (full)
    {
      mirror_clear (&store->mirror, as_of);
      sidecar_store_begin_list (store);
    }
  sidecar_store_apply_keys (store, &reply);
  if (full)
    sidecar_store_end_list (store, as_of);
  store->as_of = as_of;
  talloc_free (keys);
}
