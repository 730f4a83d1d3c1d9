/// Parts of the node's moves that their files share.
#ifndef HAWTHORNSEAM_NODE_NODE_MOVES_H
#define HAWTHORNSEAM_NODE_NODE_MOVES_H

#include "base/counter.h"
#include "coordination/move.h"
#include "coordination/trip.h"
#include "node/node.h"
#include "protocol/evidence.h"

/// Members to which a node sends evidence: a driver and a watcher for each
/// running move, and those of other nodes further along the path.
#define NODE_MOVES_DESTINATIONS 64

/// Senders whose repeated messages are recognised: the children in the tree
/// and, at a driver, the roots of the zones.
#define NODE_MOVES_SENDERS 256

/// Limits of one route's percentiles at this node.
struct moves_route
{
  uint64_t route;
  struct outcome_percentiles percentiles;
};

/// A running move as calls see it.
struct moves_entry
{
  char name[CONFIG_NAME_MAX + 1];
  char service[CONFIG_NAME_MAX + 1];
  char from[MEMBER_NAME_MAX + 1];
  char to[MEMBER_NAME_MAX + 1];
  uint64_t id;         ///< hash of the name
  uint64_t service_id; ///< hash of the service's name
  uint32_t step;
  uint32_t share_bp;
  bool listed; ///< named by the configuration that is being read
  struct moves_route *routes;
  uint32_t route_count;
  struct trip_watch watch;
};

struct moves_destination
{
  uint64_t slot_id; ///< 0: free
  struct outcome_table counts;
};

struct moves_sender
{
  uint64_t slot_id; ///< 0: free
  struct evidence_window window;
};

/// A move that this node judges, as its driver or as its watcher. A watcher
/// gets the same evidence and only trips, so that a paused driver does not
/// delay a take-back.
struct moves_judged
{
  char name[CONFIG_NAME_MAX + 1];
  bool driver;
  bool listed;
  struct move move;
};

/// A version that is being written.
struct moves_write
{
  struct node_moves *moves; ///< NULL after the node's moves were stopped
  char name[CONFIG_NAME_MAX + 1];
  enum move_action_type type;
  struct moves_write *next;
};

struct node_moves
{
  struct node *node;
  struct event *tick;
  uint64_t boot;
  uint64_t sequence;
  struct trip_table trips;
  struct moves_entry **entries;
  uint32_t entry_count;
  struct outcome_table own; ///< counts since the last tick
  struct moves_destination destinations[NODE_MOVES_DESTINATIONS];
  struct moves_sender senders[NODE_MOVES_SENDERS];
  struct moves_judged **judged;
  uint32_t judged_count;
  struct moves_write *writes;
};

/* node_moves.c */

/// Takes a move back at this node and tells the others.
void node_moves_trip (struct node_moves *moves, const char *name,
                      const char *reason);

/* node_moves_evidence.c */

/// Sends what was counted since the last tick, and what other nodes sent.
void node_moves_send (struct node_moves *moves, uint64_t now_ms);

/// Handles message type 21.
void node_moves_receive (void *arg, uint64_t from_slot, const uint8_t *body,
                         size_t size);

/// @return slot id of the member that watches a move beside its driver, or 0
uint64_t node_moves_watcher (const struct node *node, const char *name);

void node_moves_evidence_finish (struct node_moves *moves);

/* node_moves_driver.c */

/// Judges the moves of this node and writes steps.
void node_moves_judge (struct node_moves *moves, uint64_t now_ms);

/// Adds evidence to a judged move; does nothing for others.
void node_moves_feed (struct node_moves *moves,
                      const struct outcome_cell *cell, uint64_t now_ms);

void node_moves_driver_finish (struct node_moves *moves);

#endif
