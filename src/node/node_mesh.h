/// The mesh part of a node: what its files share, and what the operators'
/// interface reads.
#ifndef HAWTHORNSEAM_NODE_NODE_MESH_H
#define HAWTHORNSEAM_NODE_NODE_MESH_H

#include "coordination/follow_state.h"
#include "coordination/membership.h"
#include "coordination/report.h"
#include "coordination/spread.h"
#include "node/node.h"
#include "protocol/message.h"

/// Versions in force in one zone, as known at this node.
struct node_zone_report
{
  char name[MEMBER_NAME_MAX + 1];
  uint32_t members;   ///< live members in this node's view
  bool reachable;     ///< false while the zone is marked unreachable
  bool reported;      ///< the following fields are set
  uint32_t reporting; ///< members that the sum covers
  uint64_t lowest;    ///< lowest version in force
  uint64_t lagging[REPORT_LAGGING_MAX]; ///< slot ids
  uint32_t lagging_count;
  uint64_t age_ms; ///< since the sum was received
};

/// Lists all zones. Sums of versions are known at relays and, for the subtree
/// of a node, at the node itself.
/// @param zones  at most `max` entries are written
/// @return number of entries
size_t node_mesh_zones (struct node *node, struct node_zone_report *zones,
                        size_t max);

/* Shared by the files of node_mesh. */

#define MESH_HANDLERS_MAX 8   ///< receivers of new versions
#define MESH_QUERIES_MAX 4096 ///< head queries that wait for one read
#define MESH_ROLES_MAX 64

/// Catching up with a higher version that another node holds.
struct mesh_pull
{
  uint64_t wanted;  ///< highest version heard of
  uint64_t source;  ///< slot that stated it; 0: ask any neighbour
  uint64_t next_ms; ///< earliest next request
  unsigned attempts;
};

/// Announcement of the own floor.
struct mesh_floor
{
  uint64_t version; ///< waiting for acknowledgement; 0: none
  uint64_t due_ms;
  unsigned attempts;
};

struct mesh_query
{
  uint64_t slot_id; ///< 0: this node itself
  uint64_t seq;
};

/// Reads of the head for this node and for others.
struct mesh_head
{
  struct mesh_query *waiting; ///< arrived after the running read started
  size_t waiting_count;
  struct mesh_query *reading; ///< answered by the running read
  size_t reading_count;
  uint64_t next_ms; ///< earliest next read
  bool running;
  uint64_t seq;      ///< of the own last query
  uint64_t query_ms; ///< next own query
  uint64_t sent_ms;  ///< of the last own query
  unsigned queries;
  bool ready_logged;
};

/// Entry point of this relay in the store, and reading of the others.
struct mesh_entry
{
  uint64_t lease;
  bool running; ///< a store operation is in progress
  bool listed;  ///< the entry exists under the lease
  uint64_t next_ms;
  uint64_t list_ms; ///< next reading of the list
  bool listing;
  bool alone; ///< the list was read and is empty
  unsigned failures;
  unsigned seed; ///< next seed to try
};

struct mesh_role
{
  uint64_t role;
  uint64_t generation;
  uint64_t owner;
};

struct mesh_zone_sum
{
  uint64_t zone;
  uint64_t heard_ms;
  struct report report;
};

struct mesh_broadcast_handler
{
  void (*call) (void *arg, uint64_t origin_slot, const uint8_t *body,
                size_t size);
  void *arg;
};

struct mesh_version_handler
{
  void (*call) (void *arg, const struct config *config);
  void *arg;
};

struct node_mesh
{
  struct node *node;
  struct peers *peers;
  struct membership membership;
  struct spread spread;
  struct follow follow;
  struct report_tree tree;
  struct event *timer;
  uint64_t tick_ms; ///< next membership tick
  struct mesh_broadcast_handler broadcast_handlers[SPREAD_KINDS];
  struct mesh_version_handler version_handlers[MESH_HANDLERS_MAX];
  unsigned version_handler_count;
  struct mesh_pull pull;
  struct mesh_floor floor;
  struct token_bucket snapshots;
  uint64_t snapshot_version; ///< of the kept compressed snapshot
  uint8_t *snapshot;
  size_t snapshot_size;
  uint64_t spread_version; ///< highest version seen in a broadcast
  uint64_t delayed_ms;     ///< time to send the delayed record; 0: none
  uint64_t delayed_version;
  uint8_t *delayed; ///< record that the first relay should have sent
  size_t delayed_size;
  struct mesh_head head;
  struct mesh_entry entry;
  struct mesh_role roles[MESH_ROLES_MAX];
  struct mesh_zone_sum sums[RING_ZONES_MAX];
  uint32_t sum_count;
};

/// @return live members other than this node
uint32_t mesh_live_others (struct node_mesh *mesh);

/* node_mesh_wire.c */
extern const struct membership_ops mesh_membership_ops;
extern const struct spread_ops mesh_spread_ops;
void mesh_wire_start (struct node_mesh *mesh);
/// Sends a message body and releases the buffer's content.
void mesh_send (struct node_mesh *mesh, uint64_t slot_id, unsigned type,
                msgpack_sbuffer *body);

/* node_mesh_floor.c */
void mesh_floor_start (struct node_mesh *mesh);
void mesh_floor_tick (struct node_mesh *mesh, uint64_t now_ms);
/// Asks a neighbour to record the floor of this slot.
void mesh_floor_announce (void *mesh, uint64_t version);

/* node_mesh_config.c */
extern const struct follow_ops mesh_follow_ops;
void mesh_config_start (struct node_mesh *mesh);
void mesh_config_stop (struct node_mesh *mesh);
void mesh_config_tick (struct node_mesh *mesh, uint64_t now_ms);
void mesh_config_heard (struct node_mesh *mesh, uint64_t from,
                        uint64_t version, const uint8_t hash[8]);
void mesh_config_retry (struct node_mesh *mesh, uint32_t delay_ms);
/// Takes the body of a broadcast of kind 1.
void mesh_config_broadcast (struct node_mesh *mesh, const uint8_t *body,
                            size_t size);
/// Starts the broadcast of a record in the own zone.
void mesh_config_spread (struct node_mesh *mesh, const uint8_t *body,
                         size_t size);
/// Records the floor of the receiver of a pushed record.
void mesh_config_pushed (struct node_mesh *mesh, uint64_t slot_id,
                         const uint8_t *body, size_t size);

/* node_mesh_head.c */
void mesh_head_start (struct node_mesh *mesh);
void mesh_head_stop (struct node_mesh *mesh);
void mesh_head_tick (struct node_mesh *mesh, uint64_t now_ms);

/* node_mesh_entry.c */
void mesh_entry_start (struct node_mesh *mesh);
void mesh_entry_tick (struct node_mesh *mesh, uint64_t now_ms);
/// Sends a join request to the next seed and now and then to an entry point.
void mesh_entry_join (struct node_mesh *mesh,
                      const uint64_t digests[MEMBERSHIP_BUCKETS],
                      uint32_t own_handle);

/* node_mesh_report.c */
void mesh_report_start (struct node_mesh *mesh);
void mesh_report_tick (struct node_mesh *mesh, uint64_t now_ms);

#endif
