/// Owns this node's state of the moves of services to new target versions: the
/// orders and records read from the store, and the choice of the version that
/// gets a request.
#include "sidecar/sidecar_move.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "coordination/store_revision.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FULL_SHARE_BP 10000

/// Interval at which the driver evaluates the evidence. A bad version must
/// stop getting requests within seconds of its fiftieth bad response.
#define DRIVE_INTERVAL_MS 250

/// A node blocks its own target, without waiting for the driver, when at least
/// this many calls failed and they are at least 1 / 4 of all calls.
#define TRIP_FAILURES_MIN 12
#define TRIP_FAILURES_DIVISOR 4

static struct counter malformed_values
    = COUNTER ("moves_malformed", "orders and records that cannot be read");

static struct service_move *
find_move (const struct sidecar *sidecar, const char *service)
{
  for (size_t i = 0; i < MOVES_MAX; i++)
    if (strcmp (sidecar->moves->items[i].service, service) == 0)
      return &sidecar->moves->items[i];
  return NULL;
}

static struct service_move *
add_move (struct sidecar *sidecar, const char *service)
{
  struct service_move *move = find_move (sidecar, service);
  if (move != NULL)
    return move;
  move = find_move (sidecar, "");
  if (move == NULL || strlen (service) > DIRECTORY_NAME_MAX)
    {
      log_event (LOG_LEVEL_ERROR, "move_not_followed",
                 "service=%.64s reason=\"name too long or too many moves\"",
                 service);
      return NULL;
    }
  move->sidecar = sidecar;
  strcpy (move->service, service);
  return move;
}

bool
sidecar_move_is_current (const struct service_move *move)
{
  return move->has_order && move->has_record
         && move->record.order == store_revision_number (move->order_revision)
         && strcmp (move->record.to_version, move->order.to_version) == 0;
}

void
sidecar_move_set_record (struct service_move *move,
                         const struct move_record *record, uint64_t revision)
{
  if (!move->has_record || move->record.phase != record->phase
      || move->record.order != record->order)
    move->status_known = false;
  move->record = *record;
  move->has_record = true;
  move->record_revision = revision;
  move->record_lost = false;
}

void
sidecar_moves_on_order (struct sidecar *sidecar, const struct store_key *key,
                        const char *service)
{
  struct move_order order;
  if (sidecar->adapter->read_order (key->data, key->size, &order) != STATUS_OK
      || strcmp (order.service, service) != 0)
    {
      counter_add (&malformed_values, 1);
      log_event (LOG_LEVEL_WARNING, "move_order_malformed",
                 "service=%.64s revision=%" PRIu64 " reason=\"%s\"", service,
                 key->revision, status_message ());
      return;
    }
  struct service_move *move = add_move (sidecar, service);
  if (move == NULL || key->revision <= move->order_revision)
    return;
  if (sidecar_move_keep_order (move, &order, key->revision))
    return;
  sidecar_move_stop_driving (move);
  move->replaced_order = store_revision_number (move->order_revision);
  move->order = order;
  move->has_order = true;
  move->order_revision = key->revision;
  move->order_ms = clock_monotonic_ms ();
  move->tripped = false;
  move->status_known = false;
  move->rotation.credit_count = 0;
  log_event (LOG_LEVEL_INFO, "move_ordered",
             "service=%s to=%s duration_ms=%u revision=%" PRIu64, service,
             order.to_version, order.duration_ms, key->revision);
}

void
sidecar_moves_on_record (struct sidecar *sidecar, const struct store_key *key,
                         const char *service)
{
  struct move_record record;
  if (move_record_read (key->data, key->size, &record) != STATUS_OK
      || strcmp (record.service, service) != 0)
    {
      counter_add (&malformed_values, 1);
      log_event (LOG_LEVEL_WARNING, "move_record_malformed",
                 "service=%.64s revision=%" PRIu64 " reason=\"%s\"", service,
                 key->revision, status_message ());
      return;
    }
  struct service_move *move = add_move (sidecar, service);
  if (move == NULL || key->revision <= move->record_revision)
    return;
  bool taken = sidecar_move_merge_record (move, &record, key->revision);
  log_event (LOG_LEVEL_INFO, taken ? "move_step" : "move_step_back",
             "service=%s to=%s phase=%d share_bp=%u revision=%" PRIu64
             " order=%" PRIu64,
             service, record.to_version, record.phase, record.share_bp,
             key->revision, record.order);
}

static uint32_t
kind_share_bp (const struct move_record *record, uint32_t kind)
{
  for (size_t i = 0; i < record->kind_count; i++)
    if (record->kinds[i].kind == kind)
      return record->kinds[i].share_bp;
  return record->share_bp;
}

/// Weighted rotation between the versions, so that the new one gets exactly
/// its share.
/// @return true when the next request goes to the new version
static bool
select_new_version (const struct move_record *record,
                    struct move_rotation *rotation, struct rng *rng,
                    uint32_t kind)
{
  struct move_credit *credit = NULL;
  for (size_t i = 0; i < rotation->credit_count; i++)
    if (rotation->credits[i].kind == kind)
      credit = &rotation->credits[i];
  if (credit == NULL)
    {
      if (rotation->credit_count < ROLLOUT_KINDS)
        rotation->credit_count++;
      credit = &rotation->credits[rotation->credit_count - 1];
      /* Nodes start at random points of the rotation, otherwise all would send
         to the new version at the same time. */
      credit->kind = kind;
      credit->credit_bp = (uint32_t)rng_below (rng, FULL_SHARE_BP);
    }
  credit->credit_bp += kind_share_bp (record, kind);
  if (credit->credit_bp < FULL_SHARE_BP)
    return false;
  credit->credit_bp -= FULL_SHARE_BP;
  return true;
}

static const char *
find_majority_version (const struct sidecar *sidecar, const char *service)
{
  const char *best = NULL;
  size_t best_count = 0;
  const struct directory *directory = &sidecar->directory;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *candidate = &directory->records[i];
      if (!candidate->used || candidate->entry.state != DIRECTORY_READY
          || strcmp (candidate->entry.service, service) != 0)
        continue;
      size_t count = 0;
      for (size_t k = 0; k < directory->count; k++)
        count += directory->records[k].used
                 && directory->records[k].entry.state == DIRECTORY_READY
                 && strcmp (directory->records[k].entry.service, service) == 0
                 && strcmp (directory->records[k].entry.version,
                            candidate->entry.version)
                        == 0;
      bool better = count > best_count
                    || (count == best_count && best != NULL
                        && strcmp (candidate->entry.version, best) < 0);
      if (better)
        {
          best = candidate->entry.version;
          best_count = count;
        }
    }
  return best;
}

/// A version without a move order gets no requests unless most targets run it.
/// The targets are counted again only after a change of the directory.
/// @return the version that most ready targets of a service run, or NULL when
///         it has no ready target
static const char *
majority_version (struct sidecar *sidecar, const char *service)
{
  uint64_t generation = sidecar->directory.generation;
  struct majority_version *cached
      = &sidecar->moves
             ->majority[hash_placement_string (service) % MAJORITY_VERSIONS];
  if (cached->generation != generation
      || strcmp (cached->service, service) != 0)
    {
      const char *version = find_majority_version (sidecar, service);
      cached->generation = generation;
      snprintf (cached->service, sizeof cached->service, "%s", service);
      snprintf (cached->version, sizeof cached->version, "%s",
                version == NULL ? "" : version);
    }
  return cached->version[0] == '\0' ? NULL : cached->version;
}

static bool
has_target (const struct sidecar *sidecar, const char *service,
            const struct placement_version *version)
{
  const struct directory *directory = &sidecar->directory;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      if (record->used && record->entry.state == DIRECTORY_READY
          && strcmp (record->entry.service, service) == 0
          && (strcmp (record->entry.version, version->name) == 0)
                 != version->exclude)
        return true;
    }
  return false;
}

bool
sidecar_move_rank_targets (struct service_move *move)
{
  const struct sidecar *sidecar = move->sidecar;
  return rollout_spread_rank (&move->spread, &sidecar->directory,
                              &sidecar->evacuations, move->service,
                              move->record.to_version, move->record.order);
}

/// @return the targets that serve the new version's share of a kind; NULL: all
static const bool *
choose_targets (struct service_move *move, uint32_t kind)
{
  if (!sidecar_move_rank_targets (move))
    return NULL;
  return rollout_spread_choose (&move->spread, &move->sidecar->directory,
                                kind_share_bp (&move->record, kind),
                                clock_monotonic_ms ());
}

/// Chooses the versions for a request.
/// @param rotation  of the move, or a copy
/// @param rng       for the start of a rotation
static void
choose_version (struct sidecar *sidecar, const char *service,
                struct service_move *move, struct move_rotation *rotation,
                struct rng *rng, uint32_t kind, bool repeated,
                struct placement_version *version)
{
  *version = (struct placement_version){ .name = NULL };
  if (move == NULL || !move->has_record)
    {
      version->name = move == NULL || !move->has_order
                          ? majority_version (sidecar, service)
                          : move->order.to_version;
      version->exclude = move != NULL && move->has_order;
      return;
    }
  const struct move_record *record = &move->record;
  version->name = record->to_version;
  switch (record->phase)
    {
    case MOVE_PHASE_RUNNING:
      version->exclude = (repeated && record->share_bp < FULL_SHARE_BP)
                         || !select_new_version (record, rotation, rng, kind);
      /* Once more than half of the requests go to the new version, a version
         without a ready target is replaced by the other one. */
      if (!has_target (sidecar, service, version)
          && record->share_bp > FULL_SHARE_BP / 2)
        version->exclude = !version->exclude;
      if (!version->exclude)
        version->only = choose_targets (move, kind);
      break;
    case MOVE_PHASE_DONE:
      version->exclude = false;
      break;
    case MOVE_PHASE_ROLLED_BACK:
      version->exclude = true;
      break;
    }
  /* After a rollback, the version of the next order gets no requests before
     that order has a record. */
  if (move->has_order && !sidecar_move_is_current (move)
      && record->phase == MOVE_PHASE_ROLLED_BACK
      && strcmp (move->order.to_version, record->to_version) != 0)
    {
      version->name = majority_version (sidecar, service);
      version->exclude = false;
    }
}

void
sidecar_moves_choose (struct sidecar *sidecar, const char *service,
                      uint32_t kind, bool repeated,
                      struct placement_version *version)
{
  struct service_move *move = find_move (sidecar, service);
  choose_version (sidecar, service, move,
                  move == NULL ? NULL : &move->rotation, &sidecar->rng, kind,
                  repeated, version);
}

const struct service_move *
sidecar_move_find (const struct sidecar *sidecar, const char *service)
{
  return find_move (sidecar, service);
}

void
sidecar_move_preview (struct sidecar *sidecar, const char *service,
                      uint32_t kind, struct rng *rng,
                      struct placement_version *version)
{
  struct service_move *move = find_move (sidecar, service);
  struct move_rotation rotation = { .credit_count = 0 };
  if (move != NULL)
    rotation = move->rotation;
  choose_version (sidecar, service, move, &rotation, rng, kind, false,
                  version);
}

bool
sidecar_moves_blocks_target (const struct sidecar *sidecar)
{
  const struct target_report *report = &sidecar->target.report;
  const struct service_move *move = find_move (sidecar, report->service);
  if (report->service[0] == '\0' || move == NULL || !move->has_record
      || strcmp (move->record.to_version, report->version) != 0)
    return false;
  return move->tripped || move->record.phase == MOVE_PHASE_ROLLED_BACK;
}

bool
sidecar_moves_is_running (const struct sidecar *sidecar)
{
  for (size_t i = 0; i < MOVES_MAX; i++)
    {
      const struct service_move *move = &sidecar->moves->items[i];
      if (sidecar_move_is_current (move)
          && move->record.phase == MOVE_PHASE_RUNNING)
        return true;
    }
  return false;
}

bool
sidecar_moves_is_driving (const struct sidecar *sidecar)
{
  for (size_t i = 0; i < MOVES_MAX; i++)
    if (sidecar->moves->items[i].rollout != NULL)
      return true;
  return false;
}

static struct rollout_counts *
own_counts (struct sidecar *sidecar, uint32_t kind)
{
  struct move_evidence *own = &sidecar->moves->own_evidence;
  const struct target_report *report = &sidecar->target.report;
  if (strcmp (own->instance, report->instance) != 0
      || strcmp (own->version, report->version) != 0)
    {
      memset (own, 0, sizeof *own);
      strcpy (own->instance, report->instance);
      strcpy (own->version, report->version);
    }
  for (size_t i = 0; i < own->kind_count; i++)
    if (own->kinds[i].kind == kind)
      return &own->kinds[i].counts;
  if (own->kind_count < ROLLOUT_KINDS)
    own->kinds[own->kind_count++].kind = kind;
  return &own->kinds[own->kind_count - 1].counts;
}

/// Blocks this node's target when it runs the new version of a running move
/// and fails far too often.
static void
trip_if_failing (struct sidecar *sidecar)
{
  const struct target_report *report = &sidecar->target.report;
  struct service_move *move = find_move (sidecar, report->service);
  if (report->service[0] == '\0' || move == NULL || move->tripped
      || !sidecar_move_is_current (move)
      || move->record.phase != MOVE_PHASE_RUNNING
      || strcmp (move->record.to_version, report->version) != 0)
    return;
  uint32_t calls = 0;
  uint32_t failures = 0;
  const struct move_evidence *own = &sidecar->moves->own_evidence;
  for (size_t i = 0; i < own->kind_count; i++)
    {
      calls += own->kinds[i].counts.calls;
      failures += own->kinds[i].counts.failures;
    }
  if (failures < TRIP_FAILURES_MIN || failures * TRIP_FAILURES_DIVISOR < calls)
    return;
  move->tripped = true;
  log_event (LOG_LEVEL_WARNING, "move_tripped",
             "service=%s to=%s failures=%u calls=%u", move->service,
             report->version, failures, calls);
}

void
sidecar_moves_observe (struct sidecar *sidecar, uint32_t kind, bool failed,
                       uint32_t latency_us)
{
  struct rollout_counts *counts = own_counts (sidecar, kind);
  counts->calls++;
  if (failed)
    {
      counts->failures++;
      trip_if_failing (sidecar);
    }
  else
    counts->latency[rollout_bucket (latency_us)]++;
}

void
sidecar_moves_serve_evidence (struct sidecar *sidecar,
                              struct http_request *request)
{
  struct move_evidence evidence = sidecar->moves->own_evidence;
  char text[MOVE_EVIDENCE_MAX];
  strcpy (evidence.instance, sidecar->target.report.instance);
  strcpy (evidence.version, sidecar->target.report.version);
  if (strcmp (evidence.instance, sidecar->moves->own_evidence.instance) != 0)
    evidence.kind_count = 0;
  evidence.occupied
      = (uint32_t)(sidecar->admission.running + sidecar->admission.queued);
  size_t size = move_evidence_write (&evidence, text);
  http_reply (request, size > 0 ? 200 : 500, NULL, text, size);
}

void
sidecar_moves_tick (struct sidecar *sidecar)
{
  uint64_t now = clock_monotonic_ms ();
  if (now < sidecar->moves->next_drive_ms || sidecar->stopping)
    return;
  sidecar->moves->next_drive_ms = now + DRIVE_INTERVAL_MS;
  for (size_t i = 0; i < MOVES_MAX; i++)
    if (sidecar->moves->items[i].has_order)
      sidecar_move_drive (&sidecar->moves->items[i], now);
}

enum status
sidecar_moves_start (struct sidecar *sidecar)
{
  sidecar->moves = calloc (1, sizeof *sidecar->moves);
  return sidecar->moves == NULL
             ? status_set (STATUS_NO_MEMORY, "out of memory for moves")
             : STATUS_OK;
}

void
sidecar_moves_stop (struct sidecar *sidecar)
{
  for (size_t i = 0; i < MOVES_MAX; i++)
    {
      sidecar_move_stop_driving (&sidecar->moves->items[i]);
      rollout_spread_finish (&sidecar->moves->items[i].spread);
    }
  free (sidecar->moves);
  sidecar->moves = NULL;
}
