/// Owns the node's lease and directory entry in the store, and the watch that
/// keeps the configuration, the directory and the moves up to date.
///
/// While the store is unreachable, lease keepalives serve as the probe, being
/// the cheapest call. The watch and writes of the entry resume once a
/// keepalive was answered.
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/log.h"
#include "coordination/store_revision.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Time to live of the lease. It outlasts two lost renewals.
#define LEASE_TTL_MS 7000
#define RENEW_INTERVAL_MS 2200

/// Renewal interval of a node that serves as a relay, so that its followers
/// learn soon when it has lost the store.
#define RENEW_INTERVAL_RELAY_MS 500

/// Longest wait of a watch, percent of the config_apply setting (the time
/// within which a configuration must be in force). A watch on a revision that
/// the store compacts meanwhile may learn of it only when the watch ends.
#define WATCH_WAIT_PERCENT 60

/// Pause between two watches, percent of the config_apply setting. The pause
/// batches changes that come together into one call; what the wait and the
/// pause leave of that time is for the call itself and for parsing a large
/// configuration on a slow VM.
#define WATCH_PAUSE_PERCENT 20

/// Pause while a move runs: a bad version gets its share of the requests until
/// this node learns that the move was rolled back.
#define WATCH_PAUSE_MOVE_MS 100

/// The watches of all nodes together use at most 1 / 3 of the store's read
/// rate.
#define WATCH_READS_DIVISOR 3

/// Upper bound of the pause for any number of nodes.
#define WATCH_PAUSE_MS_MAX 1500

/// Delay before a failed read or write is retried.
#define RETRY_DELAY_MS 250

/// Full reads of a starting node that may be seconds old. They cost a tenth; a
/// relay, once known, brings the view up to date.
#define EARLY_READS_MAX 3

/// Pause between two such reads, varied by up to as much again, in which the
/// first nodes of a mesh register.
#define EARLY_READ_PAUSE_MS 300

static struct counter outages
    = COUNTER ("store_lost", "times that the store became unreachable");
static struct counter relists
    = COUNTER ("store_relists", "full reads of the watched keys");

static void list_next (struct sidecar_store *store);

static void
mark_unreachable (struct sidecar_store *store, const char *call,
                  const struct store_reply *reply)
{
  if (store->unreachable_since_ms != 0 || reply->abandoned)
    return;
  store->unreachable_since_ms = clock_monotonic_ms ();
  store->relist = true;
  sidecar_relay_retry_soon (store->sidecar);
  counter_add (&outages, 1);
  log_event (LOG_LEVEL_WARNING, "store_lost",
             "call=%s status=%s view_revision=%" PRIu64, call,
             status_name (reply->status), store->as_of);
}

static void
mark_reachable (struct sidecar_store *store)
{
  if (store->unreachable_since_ms == 0)
    return;
  uint64_t now = clock_monotonic_ms ();
  log_event (LOG_LEVEL_INFO, "store_back",
             "away_ms=%" PRIu64 " view_revision=%" PRIu64,
             now - store->unreachable_since_ms, store->as_of);
  store->unreachable_since_ms = 0;
  store->probe_failures = 0;
  /* Calls that were sent during the outage may never be answered. Abandon
     them, so that their timeouts are not mistaken for a new outage. */
  store_client_abandon (&store->sidecar->store_client);
  store->next_watch_ms = now;
  store->next_write_ms = now;
}

/// Records the time of the response if there was one.
/// @return true when the store responded, even with an error
static bool
has_responded (struct sidecar_store *store, const struct store_reply *reply)
{
  bool responded
      = reply->status != STATUS_UNAVAILABLE && reply->status != STATUS_UNKNOWN
        && reply->status != STATUS_TIMEOUT && reply->status != STATUS_CORRUPT;
  if (responded)
    store->last_response_ms = clock_monotonic_ms ();
  return responded;
}

static void
on_list (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  bool responded = has_responded (store, reply);
  store->listing = false;
  if (reply->status != STATUS_OK)
    {
      if (!responded)
        mark_unreachable (store, "range", reply);
      store->next_watch_ms = clock_monotonic_ms ();
      if (!reply->abandoned)
        store->next_watch_ms += RETRY_DELAY_MS;
      return;
    }
  mark_reachable (store);
  if (store->list_after[0] == '\0')
    {
      store->list_as_of = reply->as_of;
      mirror_clear (&store->mirror, reply->as_of);
      sidecar_store_begin_list (store);
    }
  /* A page that may be old may also be older than the one before it. */
  if (reply->as_of < store->list_as_of)
    store->list_as_of = reply->as_of;
  sidecar_store_apply_keys (store, reply);
  if (reply->more && reply->key_count > 0)
    {
      snprintf (store->list_after, STORE_KEY_MAX, "%s",
                reply->keys[reply->key_count - 1].key);
      list_next (store);
      return;
    }
  sidecar_store_end_list (store, store->list_as_of);
  store->relist = false;
  /* The pages are not a consistent snapshot. The watch starts at the oldest of
     their revisions and delivers the changes since then. */
  store->as_of = store->list_as_of;
  if (!store->list_stale)
    {
      store->caught_up = true;
      store->view_checked_ms = clock_monotonic_ms ();
    }
  if (sidecar_relay_is_available (store->sidecar))
    store->next_watch_ms = 0;
}

/// @return true when a full read may be seconds old: this node starts, and a
///         relay will bring its view up to date once one is known. A relay has
///         nobody else to ask.
static bool
reads_early (const struct sidecar_store *store)
{
  return !store->caught_up && store->early_reads < EARLY_READS_MAX
         && !sidecar_relay_is_member (store->sidecar);
}

static void
begin_list (struct sidecar_store *store)
{
  counter_add (&relists, 1);
  store->list_after[0] = '\0';
  store->list_stale = reads_early (store);
  store->early_reads += store->list_stale;
  if (store->list_stale)
    store->next_watch_ms
        = clock_monotonic_ms () + EARLY_READ_PAUSE_MS
          + rng_below (&store->sidecar->rng, EARLY_READ_PAUSE_MS);
  list_next (store);
}

static void
list_next (struct sidecar_store *store)
{
  struct sidecar *sidecar = store->sidecar;
  store->listing = true;
  store_client_ops.range (
      &sidecar->store_client, sidecar->adapter->watch_prefix,
      store->list_after[0] == '\0' ? NULL : store->list_after,
      store->list_stale, on_list, store);
}

/// @return pause between two watches that keeps all nodes together within
///         their part of the store's read rate
static uint64_t
watch_pause_ms (const struct sidecar_store *store)
{
  uint32_t reads_per_s = store->sidecar->settings.store_reads_per_s;
  uint64_t pause_ms
      = reads_per_s == 0
            ? WATCH_PAUSE_MS_MAX
            : store->node_count * 1000 * WATCH_READS_DIVISOR / reads_per_s;
  uint64_t min_ms = sidecar_moves_is_running (store->sidecar)
                        ? WATCH_PAUSE_MOVE_MS
                        : store->sidecar->settings.config_apply_ms
                              * WATCH_PAUSE_PERCENT / 100;
  if (pause_ms < min_ms)
    return min_ms;
  return pause_ms < WATCH_PAUSE_MS_MAX ? pause_ms : WATCH_PAUSE_MS_MAX;
}

static void
on_watch (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  bool responded = has_responded (store, reply);
  store->watching = false;
  store->next_watch_ms = clock_monotonic_ms ();
  if (!reply->abandoned)
    store->next_watch_ms += watch_pause_ms (store);
  switch (reply->status)
    {
    case STATUS_OK:
      mark_reachable (store);
      store->caught_up = true;
      /* Changes may have been long on their way. */
      store->view_checked_ms = reply->key_count == 0 ? clock_monotonic_ms ()
                                                     : store->watch_sent_ms;
      sidecar_store_apply_keys (store, reply);
      if (reply->as_of > store->as_of)
        store->as_of = reply->as_of;
      sidecar_relay_tick (store->sidecar);
      break;
    case STATUS_TOO_OLD:
      log_event (LOG_LEVEL_INFO, "store_history_lost",
                 "view_revision=%" PRIu64, store->as_of);
      /* After a restore, followers keep to this node until it has read the
         store again. */
      if (store_revision_era (store->as_of)
          == store->sidecar->store_client.era)
        store->as_of = 0;
      store->relist = true;
      store->next_watch_ms = 0;
      break;
    case STATUS_TIMEOUT:
      store->caught_up = true;
      store->view_checked_ms = clock_monotonic_ms ();
      break;
    default:
      if (!responded)
        mark_unreachable (store, "watch", reply);
      break;
    }
}

static void
watch_or_list (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  if (store->watching || store->listing || now_ms < store->next_watch_ms)
    return;
  /* A relay may reach the store while this node does not, and has every change
     since this node's view. */
  if (store->as_of != 0 && sidecar_relay_follow (sidecar, now_ms))
    return;
  if (store->unreachable_since_ms != 0)
    return;
  if (store->as_of == 0 || store->relist || !store->caught_up)
    {
      begin_list (store);
      return;
    }
  store->watching = true;
  store->watch_sent_ms = now_ms;
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
  store->next_write_ms = now + RETRY_DELAY_MS;
  switch (reply->status)
    {
    case STATUS_OK:
      {
        struct directory_entry entry;
        char current[ENTRY_RECORD_MAX];
        store->revision = reply->revision;
        sidecar_target_entry (store->sidecar, &entry);
        entry_record_write (&entry, current);
        store->announced = strcmp (current, store->pending_entry) == 0;
        store->next_write_ms = now;
        if (store->announced)
          sidecar_target_recorded (store->sidecar);
        break;
      }
    case STATUS_CONFLICT:
      store->revision = reply->revision;
      store->next_write_ms = now;
      break;
    case STATUS_TOO_OLD:
      store->revision = 0;
      store->next_write_ms = now;
      break;
    case STATUS_NOT_FOUND:
      store->lease = 0;
      store->next_write_ms = now;
      break;
    default:
      mark_unreachable (store, "put", reply);
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
      mark_unreachable (store, "lease", reply);
      store->next_write_ms = clock_monotonic_ms () + RETRY_DELAY_MS;
      return;
    }
  mark_reachable (store);
  store->lease = reply->revision;
  store->renewed_ms = clock_monotonic_ms ();
  store->announced = false;
}

static void
on_renewed (void *arg, const struct store_reply *reply)
{
  struct sidecar_store *store = arg;
  store->renewing = false;
  if (!has_responded (store, reply))
    {
      mark_unreachable (store, "keepalive", reply);
      store->probe_failures++;
      return;
    }
  mark_reachable (store);
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

/// @return time until the next probe of the unreachable store, varied by a
///         quarter so that the nodes' probes spread
static uint64_t
probe_delay_ms (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  struct store_pace_view view
      = { .nodes = store->node_count,
          .failures = store->probe_failures,
          .is_relay = sidecar_relay_has_followers (sidecar, now_ms),
          .relay = sidecar_relay_contact (sidecar) };
  uint64_t pace_ms = store_pace_probe_ms (&view);
  return pace_ms * 3 / 4 + rng_below (&sidecar->rng, pace_ms / 2 + 1);
}

void
sidecar_store_probe_now (struct sidecar *sidecar)
{
  sidecar->store->next_probe_ms = 0;
}

/// Renews the lease, or probes an unreachable store.
static void
renew (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  bool unreachable = store->unreachable_since_ms != 0;
  uint64_t interval_ms = sidecar_relay_has_followers (sidecar, now_ms)
                             ? RENEW_INTERVAL_RELAY_MS
                             : RENEW_INTERVAL_MS;
  if (unreachable ? now_ms < store->next_probe_ms
                  : store->lease == 0 || store->renewing
                        || now_ms - store->renewed_ms < interval_ms)
    return;
  store->next_probe_ms = now_ms + probe_delay_ms (store, now_ms);
  store->renewing = true;
  /* Without a lease, renew one that does not exist: the response "not found"
     shows as well that the store is reachable. */
  store_client_ops.lease_keepalive (&sidecar->store_client,
                                    store->lease == 0 ? 1 : store->lease,
                                    on_renewed, store);
}

/// Writes the node's entry when it differs from the one in the store. The
/// write is conditional on the entry's revision, so a delayed duplicate of an
/// older write fails.
static void
write_entry (struct sidecar_store *store, uint64_t now_ms)
{
  struct sidecar *sidecar = store->sidecar;
  if (store->announced || store->writing || store->granting
      || store->unreachable_since_ms != 0 || now_ms < store->next_write_ms
      || !sidecar->target.known || store->as_of == 0)
    return;
  if (store->lease == 0)
    {
      store->granting = true;
      uint32_t ttl_ms = LEASE_TTL_MS > sidecar->settings.lease_min_ms
                            ? LEASE_TTL_MS
                            : sidecar->settings.lease_min_ms;
      store_client_ops.lease_grant (&sidecar->store_client, ttl_ms, on_granted,
                                    store);
      return;
    }
  struct directory_entry entry;
  sidecar_target_entry (sidecar, &entry);
  size_t size = entry_record_write (&entry, store->pending_entry);
  store->writing = true;
  store_client_ops.put (&sidecar->store_client, store->key, store->revision,
                        store->lease, store->pending_entry, size, on_written,
                        store);
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
  snprintf (key, sizeof key, "%s" CRASH_KEY_PREFIX "%s",
            sidecar->adapter->own_prefix, sidecar->settings.node);
  /* Unconditional: a delayed duplicate of an older record only counts the same
     crash again. */
  store_client_ops.put (&sidecar->store_client, key, STORE_ANY_REVISION,
                        sidecar->store->lease, text, size, on_crash_published,
                        sidecar);
}

void
sidecar_store_announce (struct sidecar *sidecar)
{
  sidecar->store->announced = false;
  write_entry (sidecar->store, clock_monotonic_ms ());
}

bool
sidecar_store_has_view (const struct sidecar *sidecar)
{
  return sidecar->store->caught_up;
}

bool
sidecar_store_is_current (const struct sidecar *sidecar)
{
  const struct sidecar_store *store = sidecar->store;
  return store->caught_up
         && clock_monotonic_ms () - store->view_checked_ms
                <= sidecar->settings.config_apply_ms;
}

bool
sidecar_store_is_announced (const struct sidecar *sidecar)
{
  return sidecar->store->announced;
}

bool
sidecar_store_is_unreachable (const struct sidecar *sidecar)
{
  return sidecar->store->unreachable_since_ms != 0;
}

void
sidecar_store_tick (struct sidecar *sidecar)
{
  struct sidecar_store *store = sidecar->store;
  uint64_t now = clock_monotonic_ms ();
  renew (store, now);
  watch_or_list (store, now);
  write_entry (store, now);
  sidecar_relay_tick (sidecar);
  directory_expire (&sidecar->directory, store->unreachable_since_ms != 0,
                    now);
}

enum status
sidecar_store_start (struct sidecar *sidecar)
{
  struct sidecar_store *store = calloc (1, sizeof *store);
  if (store == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "out of memory for the state of the store connection");
  store->sidecar = sidecar;
  mirror_init (&store->mirror);
  store->view_body = evbuffer_new ();
  snprintf (store->key, sizeof store->key, "%s" NODE_KEY_PREFIX "%s",
            sidecar->adapter->own_prefix, sidecar->settings.node);
  sidecar->store = store;
  store_client_on_restore (&sidecar->store_client, sidecar_store_restored,
                           store);
  return sidecar_relay_start (sidecar);
}

void
sidecar_store_stop (struct sidecar *sidecar)
{
  if (sidecar->store->view_exchange != NULL)
    http_exchange_cancel (sidecar->store->view_exchange);
  sidecar_relay_stop (sidecar);
  evbuffer_free (sidecar->store->view_body);
  mirror_finish (&sidecar->store->mirror);
  free (sidecar->store);
  sidecar->store = NULL;
}
