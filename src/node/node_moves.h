/// Declarations shared by the files node_moves*.c
#ifndef HAWTHORNSEAM_NODE_NODE_MOVES_H
#define HAWTHORNSEAM_NODE_NODE_MOVES_H

#include "base/counter.h"
#include "coordination/move.h"
#include "coordination/trip.h"
#include "node/node.h"
#include "protocol/evidence.h"

/// Limit of destinations for which a node holds evidence: the driver and the
/// watcher of each running move, and those that nodes of its subtree address.
#define NODE_MOVES_DESTINATIONS 64

/// Limit of senders whose repeated messages are detected: the node's children
/// in the aggregation tree and, at a driver, the roots of the zones' trees.
#define NODE_MOVES_SENDERS 256

/// Latency percentiles of one route at this node.
struct moves_route
{
  uint64_t route; ///< hash of the route's name
  struct outcome_percentiles percentiles;
};

/// A running move, for routing and counting calls.
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
  bool listed; ///< found in the configuration that is being read
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

/// A move that this node judges, as its driver or as its watcher. The watcher
/// gets the same evidence but only trips the move, so that a paused driver
/// does not delay a rollback.
struct moves_judged
{
  char name[CONFIG_NAME_MAX + 1];
  bool driver;
  bool listed;
  struct move move;
};

/// A configuration version that is being published for a move.
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
  uint64_t boot;     ///< random number of this process, sent with evidence
  uint64_t sequence; ///< of the last evidence message sent
  struct trip_table trips;
  struct moves_entry **entries;
  uint32_t entry_count;
  struct outcome_table
      local_counts; ///< calls of this node since the last tick
  struct moves_destination destinations[NODE_MOVES_DESTINATIONS];
  struct moves_sender senders[NODE_MOVES_SENDERS];
  struct moves_judged **judged;
  uint32_t judged_count;
  struct moves_write *writes; ///< in progress
};

/* node_moves.c */

/// Trips a move: sets its share to 0 at this node and broadcasts the trip.
void node_moves_trip (struct node_moves *moves, const char *name,
                      const char *reason);

/* node_moves_evidence.c */

/// Sends the counts of this node since the last tick and the counts received
/// from other nodes.
void node_moves_send (struct node_moves *moves, uint64_t now_ms);

/// Handles an evidence message, type EVIDENCE_MESSAGE_TYPE.
void node_moves_receive (void *arg, uint64_t from_slot, const uint8_t *body,
                         size_t size);

/// @return slot id of the member that watches a move in addition to its
/// driver, 0 when there is none
uint64_t node_moves_watcher (const struct node *node, const char *name);

void node_moves_evidence_finish (struct node_moves *moves);

/* node_moves_driver.c */

/// Judges the moves that this node drives or watches, and publishes the steps
/// of those that it drives.
void node_moves_judge (struct node_moves *moves, uint64_t now_ms);

/// Adds evidence to the move that it is for, when this node judges that move.
void node_moves_add_evidence (struct node_moves *moves,
                              const struct outcome_cell *cell,
                              uint64_t now_ms);

void node_moves_driver_finish (struct node_moves *moves);

#endif
