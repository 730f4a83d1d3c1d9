/// Moves across restores of the store from older copies: what a move has
/// reached is kept, and what the store has lost of it is written again. Owns
/// no state.
#include "sidecar/sidecar_move.h"

#include "base/log.h"
#include "coordination/store_revision.h"

#include <inttypes.h>
#include <string.h>

/// @return true when a move that has reached `record` has not gone beyond
///         `known`
static bool
is_behind (const struct move_record *record, const struct move_record *known)
{
  if (record->order != known->order)
    return true;
  if (known->phase != MOVE_PHASE_RUNNING)
    return record->phase != known->phase;
  return record->phase == MOVE_PHASE_RUNNING
         && record->share_bp < known->share_bp;
}

bool
sidecar_move_merge_record (struct service_move *move,
                           const struct move_record *record, uint64_t revision)
{
  bool restored = store_revision_era (revision)
                  > store_revision_era (move->record_revision);
  if (restored && sidecar_move_is_current (move)
      && is_behind (record, &move->record))
    {
      move->record_revision = revision;
      move->record_lost = true;
      return false;
    }
  sidecar_move_set_record (move, record, revision);
  return true;
}

/// @return true when an order is the current one, which the operator has
///         written again, or which the copy has
static bool
is_same_order (const struct service_move *move, const struct move_order *order)
{
  return strcmp (order->to_version, move->order.to_version) == 0
         && order->duration_ms == move->order.duration_ms;
}

bool
sidecar_move_keep_order (struct service_move *move,
                         const struct move_order *order, uint64_t revision)
{
  if (!move->has_order
      || store_revision_era (revision)
             <= store_revision_era (move->order_revision))
    return false;
  if (!is_same_order (move, order))
    return store_revision_number (revision) == move->replaced_order;
  if (sidecar_move_is_current (move))
    {
      move->record.order = store_revision_number (revision);
      move->record_lost = true;
    }
  move->order_revision = revision;
  log_event (LOG_LEVEL_INFO, "move_order_kept",
             "service=%s to=%s revision=%" PRIu64, move->service,
             move->order.to_version, revision);
  return true;
}

void
sidecar_moves_restored (struct sidecar *sidecar)
{
  for (size_t i = 0; i < MOVES_MAX; i++)
    {
      struct service_move *move = &sidecar->moves->items[i];
      move->record_lost = move->has_record;
      move->status_known = false;
    }
}
