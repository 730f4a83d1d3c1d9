/// Owns the node's lease and entry in the store, and the watch that keeps the
/// configuration, the directory and the moves in step with it.
///
/// While the store is away, renewals of the lease are the probe: they cost
/// least. The watch and the entry follow once a renewal was answered.
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Time to live of the lease: two lost renewals are survived.
#define LEASE_MS 7000
#define RENEW_MS 2200

/// The same while other nodes follow the store through this one: they are to
/// learn soon that it has lost the store.
#define RENEW_FOLLOWED_MS 500

/// Interval of probes while the store is away. Entries are to be back within
/// two seconds of its return.
#define PROBE_MS 500

/// Part of the time in which a configuration is to be in force that a watch
/// waits, 3 / 5. A watch from a revision that the store has forgotten since
/// may be told so only at its end.
#define WATCH_WAIT_PERCENT 60

/// Part of the time in which a configuration is to be in force that a watch
/// pauses after its answer, 1 / 5: changes that come together cost one call,
/// and the rest of the time is for the call and the reading of a large
/// configuration on a slow VM.
#define WATCH_PACE_PERCENT 20

/// The same while a move runs: until its end is known, a bad version gets its
/// share.
#define WATCH_PACE_MOVE_MS 100

/// Part of the store's reads that the watches of all nodes may take, 1 / 3.
#define WATCH_PART 3

/// Longest pause, whatever the number of nodes.
#define WATCH_PACE_MS_MAX 1500

/// Wait before a read or write that failed is tried again.
#define RETRY_MS 250

static struct counter lost
    = COUNTER ("store_lost", "times that the store became unreachable");
static struct counter relists
    = COUNTER ("store_relists", "full reads of the watched keys");

static void list_next (struct sidecar_store *store);

static void
note_away (struct sidecar_store *store, const char *call,
           const struct store_reply *reply)
{
  if (store->away_since_ms != 0 || reply->abandoned)
    return;
  store->away_since_ms = clock_monotonic_ms ();
  store->relist = true;
  counter_add (&lost, 1);
  log_event (LOG_LEVEL_WARNING, "store_lost",
             "call=%s status=%s view_revision=%" PRIu64, call,
             status_name (reply->status), store->as_of);
}

static void
note_back (struct sidecar_store *store)
{
  if (store->away_since_ms == 0)
    return;
  uint64_t now = clock_monotonic_ms ();
  log_event (LOG_LEVEL_INFO, "store_back",
             "away_ms=%" PRIu64 " view_revision=%" PRIu64,
             now - store->away_since_ms, store->as_of);
  store->away_since_ms = 0;
  /* Calls that were sent during the outage may never be answered, and must
     not be taken for a new one when they time out. */
  store_client_abandon (&store->sidecar->store_client);
  store->next_watch_ms = now;
  store->next_write_ms = now;
}

/// Notes the time of an answer.
/// @return true when the store answered the call
static bool
is_answer (struct sidecar_store *store, const struct store_reply *reply)
{
  bool answered
      = reply->status != STATUS_UNAVAILABLE && reply->status != STATUS_UNKNOWN
        && reply->status != STATUS_TIMEOUT && reply->status != STATUS_CORRUPT;
  if (answered)
    store->contact_ms = clock_monotonic_ms ();
  return answered;
}

static void
on_list (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  bool answered = is_answer (store, reply);
  store->listing = false;
  if (reply->status != STATUS_OK)
    {
      if (!answered)
        note_away (store, "range", reply);
      store->next_watch_ms = clock_monotonic_ms () + RETRY_MS;
      return;
    }
  note_back (store);
  if (store->list_after[0] == '\0')
    {
      store->list_as_of = reply->as_of;
      mirror_clear (&store->mirror, reply->as_of);
      directory_begin_list (&store->sidecar->directory);
    }
  sidecar_store_take_keys (store, reply);
  if (reply->more && reply->key_count > 0)
    {
      snprintf (store->list_after, STORE_KEY_MAX, "%s",
                reply->keys[reply->key_count - 1].key);
      list_next (store);
      return;
    }
  directory_end_list (&store->sidecar->directory, store->list_as_of,
                      clock_monotonic_ms ());
  store->relist = false;
  /* Pages are not a snapshot: changes since the first one follow. */
  store->as_of = store->list_as_of;
}

static void
list_next (struct sidecar_store *store)
{
  struct sidecar *sidecar = store->sidecar;
  store->listing = true;
  store_client_ops.range (
      &sidecar->store_client, sidecar->adapter->watch_prefix,
      store->list_after[0] == '\0' ? NULL : store->list_after, on_list, store);
}

/// @return pause between two watches, so that all nodes together stay within
///         the store's rate
static uint64_t
watch_pace_ms (const struct sidecar_store *store)
{
  uint32_t reads_per_s = store->sidecar->settings.store_reads_per_s;
  uint64_t pace_ms = reads_per_s == 0
                         ? WATCH_PACE_MS_MAX
                         : store->nodes * 1000 * WATCH_PART / reads_per_s;
  uint64_t least_ms = sidecar_moves_is_running (store->sidecar)
                          ? WATCH_PACE_MOVE_MS
                          : store->sidecar->settings.config_apply_ms
                                * WATCH_PACE_PERCENT / 100;
  if (pace_ms < least_ms)
    return least_ms;
  return pace_ms < WATCH_PACE_MS_MAX ? pace_ms : WATCH_PACE_MS_MAX;
}

static void
on_watch (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  bool answered = is_answer (store, reply);
  store->watching = false;
  store->next_watch_ms = clock_monotonic_ms () + watch_pace_ms (store);
  switch (reply->status)
    {
    case STATUS_OK:
      note_back (store);
      sidecar_store_take_keys (store, reply);
      if (reply->as_of > store->as_of)
        store->as_of = reply->as_of;
      sidecar_relay_tick (store->sidecar);
      break;
    case STATUS_TOO_OLD:
      log_event (LOG_LEVEL_INFO, "store_history_lost",
                 "view_revision=%" PRIu64, store->as_of);
      store->as_of = 0;
      store->next_watch_ms = 0;
      break;
    case STATUS_TIMEOUT:
      break;
    default:
      if (!answered)
        note_away (store, "watch", reply);
      break;
    }
}

static void
follow (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  if (store->watching || store->listing || now_ms < store->next_watch_ms)
    return;
  /* A relay may still reach the store while this node does not, and knows all
     changes since this node's view. */
  if (store->as_of != 0 && sidecar_relay_follow (sidecar, now_ms))
    return;
  if (store->away_since_ms != 0)
    return;
  if (store->as_of == 0 || store->relist)
    {
      counter_add (&relists, 1);
      store->list_after[0] = '\0';
      list_next (store);
      return;
    }
  store->watching = true;
  store_client_ops.watch_prefix (
      &sidecar->store_client, sidecar->adapter->watch_prefix, store->as_of,
      sidecar->settings.config_apply_ms * WATCH_WAIT_PERCENT / 100, on_watch,
      store);
}

static void
on_written (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  uint64_t now = clock_monotonic_ms ();
  store->writing = false;
  store->next_write_ms = now + RETRY_MS;
  switch (reply->status)
    {
    case STATUS_OK:
      {
        struct directory_entry entry;
        char present[ENTRY_RECORD_MAX];
        store->revision = reply->revision;
        sidecar_target_entry (store->sidecar, &entry);
        entry_record_write (&entry, present);
        store->announced = strcmp (present, store->written) == 0;
        store->next_write_ms = now;
        break;
      }
    case STATUS_CONFLICT:
      store->revision = reply->revision;
      store->next_write_ms = now;
      break;
    case STATUS_NOT_FOUND:
      store->lease = 0;
      store->next_write_ms = now;
      break;
    default:
      note_away (store, "put", reply);
      break;
    }
}

static void
on_granted (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  store->granting = false;
  if (reply->status != STATUS_OK)
    {
      note_away (store, "lease", reply);
      store->next_write_ms = clock_monotonic_ms () + RETRY_MS;
      return;
    }
  note_back (store);
  store->lease = reply->revision;
  store->renewed_ms = clock_monotonic_ms ();
  store->announced = false;
}

static void
on_renewed (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  store->renewing = false;
  if (!is_answer (store, reply))
    {
      note_away (store, "keepalive", reply);
      return;
    }
  note_back (store);
  if (reply->status == STATUS_OK)
    store->renewed_ms = clock_monotonic_ms ();
  else
    {
      log_event (
          LOG_LEVEL_WARNING, "lease_ended",
          "lease=%" PRIu64 " age_ms=%" PRIu64, store->lease,
          store->lease == 0 ? 0 : clock_monotonic_ms () - store->renewed_ms);
      store->lease = 0;
      store->announced = false;
    }
}

/// Keeps the lease alive, or asks whether the store is back.
static void
renew (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  bool away = store->away_since_ms != 0;
  uint64_t interval_ms = sidecar_relay_is_followed (sidecar, now_ms)
                             ? RENEW_FOLLOWED_MS
                             : RENEW_MS;
  if (away ? now_ms - store->probed_ms < PROBE_MS
           : store->lease == 0 || store->renewing
                 || now_ms - store->renewed_ms < interval_ms)
    return;
  store->probed_ms = now_ms;
  store->renewing = true;
  /* A renewal of an unknown lease is answered with "not found", which shows
     as well that the store is back. */
  store_client_ops.lease_keepalive (&sidecar->store_client,
                                    store->lease == 0 ? 1 : store->lease,
                                    on_renewed, store);
}

/// Writes the entry when it differs from the one in the store. The condition
/// on its revision makes a delayed copy of an older write fail.
static void
announce (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  if (store->announced || store->writing || store->granting
      || store->away_since_ms != 0 || now_ms < store->next_write_ms
      || !sidecar->target.known || store->as_of == 0)
    return;
  if (store->lease == 0)
    {
      store->granting = true;
      uint32_t ttl = LEASE_MS > sidecar->settings.lease_min_ms
                         ? LEASE_MS
                         : sidecar->settings.lease_min_ms;
      store_client_ops.lease_grant (&sidecar->store_client, ttl, on_granted,
                                    store);
      return;
    }
  struct directory_entry entry;
  sidecar_target_entry (sidecar, &entry);
  size_t size = entry_record_write (&entry, store->written);
  store->writing = true;
  store_client_ops.put (&sidecar->store_client, store->key, store->revision,
                        store->lease, store->written, size, on_written, store);
}

static void
on_crash_published (void *arg, const struct store_reply *reply)
{
  if (reply->status != STATUS_OK)
    log_event (LOG_LEVEL_WARNING, "crash_not_published", "status=%s",
               status_name (reply->status));
}

void
sidecar_store_publish_crash (struct sidecar *sidecar, const char *text,
                             size_t size)
{
  char key[STORE_KEY_MAX];
  snprintf (key, sizeof key, "%s" OWN_CRASH "%s", sidecar->adapter->own_prefix,
            sidecar->settings.node);
  /* A delayed copy of an older record only counts the same crash again. */
  store_client_ops.put (&sidecar->store_client, key, STORE_ANY_REVISION,
                        sidecar->store->lease, text, size, on_crash_published,
                        sidecar);
}

void
sidecar_store_announce (struct sidecar *sidecar)
{
  sidecar->store->announced = false;
  announce (sidecar->store, clock_monotonic_ms ());
}

bool
sidecar_store_is_away (const struct sidecar *sidecar)
{
  return sidecar->store->away_since_ms != 0;
}

void
sidecar_store_tick (struct sidecar *sidecar)
{
  struct sidecar_store *store = sidecar->store;
  uint64_t now = clock_monotonic_ms ();
  renew (store, now);
  follow (store, now);
  announce (store, now);
  sidecar_relay_tick (sidecar);
  directory_expire (&sidecar->directory, store->away_since_ms != 0, now);
}

enum status
sidecar_store_start (struct sidecar *sidecar)
{
  struct sidecar_store *store = calloc (1, sizeof *store);
  if (store == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the store");
  store->sidecar = sidecar;
  mirror_init (&store->mirror);
  store->asked = evbuffer_new ();
  snprintf (store->key, sizeof store->key, "%s" OWN_NODE "%s",
            sidecar->adapter->own_prefix, sidecar->settings.node);
  sidecar->store = store;
  return sidecar_relay_start (sidecar);
}

void
sidecar_store_stop (struct sidecar *sidecar)
{
  if (sidecar->store->asking != NULL)
    http_exchange_cancel (sidecar->store->asking);
  sidecar_relay_stop (sidecar);
  evbuffer_free (sidecar->store->asked);
  mirror_finish (&sidecar->store->mirror);
  free (sidecar->store);
  sidecar->store = NULL;
}
