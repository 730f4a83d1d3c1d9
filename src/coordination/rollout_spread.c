/// Owns the ranking of a new version's targets and the choice of those that
/// serve its share.
#include "coordination/rollout_spread.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

#define FULL_SHARE_BP 10000

/// Maximum age of a load report by which a target counts as full.
#define REPORT_AGE_MS_MAX 1000

void
rollout_spread_init (struct rollout_spread *spread)
{
  memset (spread, 0, sizeof *spread);
}

void
rollout_spread_finish (struct rollout_spread *spread)
{
  free (spread->ranked);
  free (spread->chosen);
  rollout_spread_init (spread);
}

static bool
reserve (struct rollout_spread *spread, size_t count)
{
  if (count <= spread->capacity)
    return true;
  size_t *ranked = realloc (spread->ranked, count * sizeof *ranked);
  if (ranked != NULL)
    spread->ranked = ranked;
  bool *chosen = realloc (spread->chosen, count * sizeof *chosen);
  if (chosen != NULL)
    spread->chosen = chosen;
  if (ranked == NULL || chosen == NULL)
    return false;
  spread->capacity = count;
  return true;
}

static uint32_t
target_slots (const struct directory_record *record)
{
  return record->entry.slots > 0 ? record->entry.slots : 1;
}

struct scored_target
{
  uint64_t score;
  size_t handle;
};

static int
compare_scores (const void *a, const void *b)
{
  const struct scored_target *first = a;
  const struct scored_target *second = b;
  if (first->score != second->score)
    return first->score > second->score ? -1 : 1;
  return first->handle < second->handle ? -1 : first->handle > second->handle;
}

/// Lists the targets of the new version with their scores, and sets the slots.
/// @return number of targets
static size_t
score_targets (struct rollout_spread *spread,
               const struct directory *directory,
               const struct evacuation_set *evacuations, const char *service,
               const char *version, struct scored_target *scored)
{
  uint32_t new_slots = 0;
  uint32_t old_slots = 0;
  size_t count = 0;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      const struct directory_entry *entry = &record->entry;
      if (!record->used || entry->state != DIRECTORY_READY
          || strcmp (entry->service, service) != 0
          || (evacuations != NULL
              && evacuation_contains (evacuations, entry->availability_zone)))
        continue;
      if (strcmp (entry->version, version) != 0)
        {
          old_slots += target_slots (record);
          continue;
        }
      new_slots += target_slots (record);
      scored[count].handle = i;
      scored[count++].score = hash_placement_pair (
          spread->seed, hash_placement_string (entry->node));
    }
  spread->slots = new_slots > old_slots ? new_slots : old_slots;
  return count;
}

/// @return a number that differs between sets of evacuated zones
static uint64_t
sum_revisions (const struct evacuation_set *evacuations)
{
  uint64_t sum = 0;
  for (size_t i = 0; evacuations != NULL && i < evacuations->count; i++)
    sum += evacuations->zones[i].revision;
  return sum;
}

bool
rollout_spread_rank (struct rollout_spread *spread,
                     const struct directory *directory,
                     const struct evacuation_set *evacuations,
                     const char *service, const char *version, uint64_t order)
{
  uint64_t seed = hash_placement_pair (hash_placement_string (service), order);
  uint64_t evacuated = sum_revisions (evacuations);
  if (spread->generation != 0 && spread->generation == directory->generation
      && spread->seed == seed && spread->evacuated == evacuated)
    return true;
  spread->generation = 0;
  spread->count = 0;
  spread->slots = 0;
  if (directory->count == 0)
    return true;
  struct scored_target *scored = malloc (directory->count * sizeof *scored);
  if (scored == NULL || !reserve (spread, directory->count))
    {
      free (scored);
      return false;
    }
  spread->seed = seed;
  spread->generation = directory->generation;
  spread->evacuated = evacuated;
  spread->count = score_targets (spread, directory, evacuations, service,
                                 version, scored);
  if (spread->count > 0)
    qsort (scored, spread->count, sizeof *scored, compare_scores);
  for (size_t i = 0; i < spread->count; i++)
    spread->ranked[i] = scored[i].handle;
  free (scored);
  return true;
}

/// @return true when a target can take requests of the share now
static bool
has_room (const struct directory_record *record, uint64_t now_ms)
{
  const struct directory_load *load = &record->load;
  uint64_t occupied = load->in_flight;
  if (now_ms < load->down_until_ms
      || now_ms < record->seen_ms + record->entry.cold_ms)
    return false;
  if (load->reported_ms != 0 && now_ms - load->reported_ms < REPORT_AGE_MS_MAX)
    {
      uint64_t reported
          = load->running + load->waiting + load->sent_since_report;
      if (reported > occupied)
        occupied = reported;
    }
  return occupied < target_slots (record);
}

const bool *
rollout_spread_choose (struct rollout_spread *spread,
                       const struct directory *directory, uint32_t share_bp,
                       uint64_t now_ms)
{
  uint64_t needed = (uint64_t)spread->slots * share_bp;
  uint64_t found = 0;
  if (share_bp >= FULL_SHARE_BP || spread->count == 0)
    return NULL;
  memset (spread->chosen, 0, spread->capacity * sizeof *spread->chosen);
  for (size_t i = 0; i < spread->count && (i == 0 || found < needed); i++)
    {
      const struct directory_record *record
          = &directory->records[spread->ranked[i]];
      spread->chosen[spread->ranked[i]] = true;
      if (has_room (record, now_ms))
        found += (uint64_t)target_slots (record) * FULL_SHARE_BP;
    }
  return spread->chosen;
}

uint32_t
rollout_spread_load_share (const struct rollout_spread *spread,
                           const struct directory *directory)
{
  if (spread->count == 0)
    return 0;
  uint64_t first = target_slots (&directory->records[spread->ranked[0]]);
  return (uint32_t)(first * FULL_SHARE_BP / spread->slots);
}
