/// What a node does when the store has come back from an older copy, or when
/// another node has noticed that. Owns no state.
#include "sidecar/sidecar_leave.h"
#include "sidecar/sidecar_store.h"

#include "base/clock.h"
#include "base/log.h"
#include "coordination/store_revision.h"

#include <inttypes.h>

/// The nodes that register again after a restore of the store spread their
/// writes over this time.
#define RESTORE_SPREAD_MS 300

void
sidecar_store_restored (void *arg)
{
  struct sidecar_store *store = arg;
  struct sidecar *sidecar = store->sidecar;
  uint64_t now = clock_monotonic_ms ();
  log_event (LOG_LEVEL_WARNING, "store_view_outdated",
             "view_era=%" PRIu64 " view_revision=%" PRIu64 " lease=%" PRIu64
             " announced=%d",
             store_revision_era (store->as_of),
             store_revision_number (store->as_of), store->lease,
             store->announced);
  store_client_abandon (&sidecar->store_client);
  store->lease = 0;
  store->revision = 0;
  store->announced = false;
  store->relist = true;
  store->view_checked_ms = 0;
  store->next_watch_ms = now;
  store->next_write_ms = now + rng_below (&sidecar->rng, RESTORE_SPREAD_MS);
  sidecar_leave_restored (sidecar);
  sidecar_moves_restored (sidecar);
}

void
sidecar_store_note_era (struct sidecar *sidecar, uint64_t revision)
{
  if (store_revision_era (revision) <= sidecar->store_client.era)
    return;
  sidecar->store->renewed_ms = 0;
  sidecar_store_probe_now (sidecar);
}
