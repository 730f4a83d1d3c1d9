/// Owns the aggregation of evidence: counts of this node and of its subtree
/// are summed up per destination and sent, as increments, along the
/// aggregation path.
#include "node/node_moves.h"

#include "base/clock.h"
#include "base/hash.h"

#include <stdio.h>
#include <talloc.h>

static struct counter messages_sent
    = COUNTER ("moves_evidence_sent", "evidence messages sent");
static struct counter bytes_sent
    = COUNTER ("moves_evidence_bytes", "bytes of evidence messages sent");
static struct counter messages_refused = COUNTER (
    "moves_evidence_refused", "evidence messages malformed or repeated");
static struct counter cells_lost = COUNTER (
    "moves_evidence_lost", "cells dropped because too many wait to be sent");

/// Role names that are tried to find a watcher other than the driver.
#define WATCHER_ATTEMPTS_MAX 8

static struct moves_destination *
find_destination (struct node_moves *moves, uint64_t slot_id)
{
  struct moves_destination *place = NULL;
  for (uint32_t i = 0; i < NODE_MOVES_DESTINATIONS; i++)
    {
      struct moves_destination *at = &moves->destinations[i];
      if (at->slot_id == slot_id)
        return at;
      if (place == NULL && at->counts.count == 0)
        place = at;
    }
  if (place != NULL)
    place->slot_id = slot_id;
  return place;
}

static void
add_cell (struct node_moves *moves, uint64_t slot_id,
          const struct outcome_cell *cell, uint64_t now_ms)
{
  if (slot_id == moves->node->slot_id)
    {
      node_moves_add_evidence (moves, cell, now_ms);
      return;
    }
  struct moves_destination *destination = find_destination (moves, slot_id);
  if (destination == NULL
      || outcome_add (&destination->counts, &cell->key, &cell->counts)
             != STATUS_OK)
    counter_add (&cells_lost, 1);
}

/// Adds the counts of this node to those for the driver and the watcher of
/// each move.
static void
add_own_counts (struct node_moves *moves, uint64_t now_ms)
{
  for (uint32_t e = 0; e < moves->entry_count; e++)
    {
      const struct moves_entry *entry = moves->entries[e];
      uint64_t driver = node_role_owner (moves->node, entry->name);
      uint64_t watcher = node_moves_watcher (moves->node, entry->name);
      for (uint32_t i = 0; i < moves->local_counts.count; i++)
        {
          if (moves->local_counts.cells[i].key.move != entry->id)
            continue;
          if (driver != 0)
            add_cell (moves, driver, &moves->local_counts.cells[i], now_ms);
          if (watcher != 0)
            add_cell (moves, watcher, &moves->local_counts.cells[i], now_ms);
        }
    }
  outcome_table_clear (&moves->local_counts);
}

/// Sends the counts for one destination. Counts that cannot be sent are kept
/// and summed up with later ones.
static void
send_counts (struct node_moves *moves, struct moves_destination *destination)
{
  struct outcome_table *counts = &destination->counts;
  uint64_t hop = node_mesh_next_hop (moves->node, destination->slot_id);
  while (counts->count > 0)
    {
      struct evidence_header header
          = { destination->slot_id, moves->boot, moves->sequence + 1 };
      uint32_t batch = counts->count < EVIDENCE_CELLS_MAX ? counts->count
                                                          : EVIDENCE_CELLS_MAX;
      uint8_t *bytes = NULL;
      size_t size = 0;
      /* The last cells are sent first, so that the others need not move. */
      if (evidence_encode (&header, counts, counts->count - batch, batch,
                           moves, &bytes, &size)
          != STATUS_OK)
        return;
      enum status status = peer_send (node_peers (moves->node), hop,
                                      EVIDENCE_MESSAGE_TYPE, bytes, size);
      talloc_free (bytes);
      if (status != STATUS_OK)
        return;
      moves->sequence++;
      counter_add (&messages_sent, 1);
      counter_add (&bytes_sent, size);
      outcome_table_truncate (counts, counts->count - batch);
    }
}

static struct moves_sender *
find_sender (struct node_moves *moves, uint64_t slot_id)
{
  struct moves_sender *place = NULL;
  for (uint32_t i = 0; i < NODE_MOVES_SENDERS; i++)
    {
      struct moves_sender *at
          = &moves->senders[(slot_id + i) % NODE_MOVES_SENDERS];
      if (at->slot_id == slot_id)
        return at;
      if (place == NULL && at->slot_id == 0)
        place = at;
    }
  /* The table is full: replace the sender at the slot's first place. */
  if (place == NULL)
    place = &moves->senders[slot_id % NODE_MOVES_SENDERS];
  *place = (struct moves_sender){ .slot_id = slot_id };
  return place;
}

uint64_t
node_moves_watcher (const struct node *node, const char *name)
{
  uint64_t driver = node_role_owner (node, name);
  for (unsigned i = 0; i < WATCHER_ATTEMPTS_MAX; i++)
    {
      char role[CONFIG_NAME_MAX + 16];
      snprintf (role, sizeof role, "%s/watch%u", name, i);
      uint64_t owner = node_role_owner (node, role);
      if (owner != driver)
        return owner;
    }
  return 0;
}

void
node_moves_send (struct node_moves *moves, uint64_t now_ms)
{
  add_own_counts (moves, now_ms);
  for (uint32_t i = 0; i < NODE_MOVES_DESTINATIONS; i++)
    if (moves->destinations[i].counts.count > 0)
      send_counts (moves, &moves->destinations[i]);
}

void
node_moves_receive (void *arg, uint64_t from_slot, const uint8_t *body,
                    size_t size)
{
  struct node_moves *moves = arg;
  struct evidence_header header;
  struct outcome_cell *cells = NULL;
  uint32_t count = 0;
  uint64_t now_ms = clock_monotonic_ms ();
  if (evidence_decode (body, size, moves, &header, &cells, &count) != STATUS_OK
      || !evidence_accept (&find_sender (moves, from_slot)->window, &header))
    counter_add (&messages_refused, 1);
  else
    for (uint32_t i = 0; i < count; i++)
      add_cell (moves, header.destination, &cells[i], now_ms);
  talloc_free (cells);
}

void
node_moves_evidence_finish (struct node_moves *moves)
{
  for (uint32_t i = 0; i < NODE_MOVES_DESTINATIONS; i++)
    outcome_table_finish (&moves->destinations[i].counts);
}
