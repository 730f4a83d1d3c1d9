/// The mesh module of a node: declarations shared by its files, and the zone
/// reports for the operators' interface.
#ifndef HAWTHORNSEAM_NODE_NODE_MESH_H
#define HAWTHORNSEAM_NODE_NODE_MESH_H

#include "coordination/broadcast.h"
#include "coordination/config_follower_state.h"
#include "coordination/membership.h"
#include "coordination/report.h"
#include "node/node.h"
#include "protocol/message.h"

/// Configuration versions in force in one zone, as known at this node.
struct node_zone_report
{
  char name[MEMBER_NAME_MAX + 1];
  uint32_t members;   ///< live members in this node's view
  bool reachable;     ///< false while the zone is marked unreachable
  bool reported;      ///< a report is known: the following fields are set
  uint32_t reporting; ///< members that the report covers
  uint64_t lowest;    ///< lowest version in force
  uint64_t lagging[REPORT_LAGGING_MAX]; ///< slot ids of members behind
  uint32_t lagging_count;
  uint64_t age_ms; ///< since the report was received
};

/// Lists all zones. Reports of whole zones are known at relays; another node
/// knows only the report of its own subtree.
/// @param zones  at most `max` entries are written
/// @return number of entries
size_t node_mesh_zones (struct node *node, struct node_zone_report *zones,
                        size_t max);

/* Shared by the files node_mesh*.c */

#define MESH_HANDLERS_MAX 8     ///< handlers of new versions
#define MESH_QUERIES_MAX 4096   ///< head queries that wait for one read
#define MESH_ROLE_CACHE_SIZE 64 ///< cached owners of roles

/// Pull of a higher version that another node holds.
struct mesh_pull
{
  uint64_t wanted_version; ///< highest version that a message has named
  uint64_t source;         ///< slot id that named it; 0: ask any neighbour
  uint64_t next_ms;        ///< earliest time of the next request
  unsigned attempts;
};

/// Announcement of the floor of this node's slot.
struct mesh_floor
{
  uint64_t version; ///< not acknowledged yet; 0: none
  uint64_t due_ms;  ///< when to ask the next member
  unsigned attempts;
};

struct mesh_query
{
  uint64_t slot_id; ///< 0: this node itself
  uint64_t seq;
};

/// Reads of the store's head record for this node and for others.
struct mesh_head
{
  struct mesh_query *waiting; ///< queries that wait for the next read
  size_t waiting_count;
  struct mesh_query *reading; ///< queries that the read in progress answers
  size_t reading_count;
  uint64_t next_ms;     ///< earliest time of the next read
  bool running;         ///< a read is in progress
  uint64_t seq;         ///< sequence number of this node's last query
  uint64_t query_ms;    ///< when to send this node's next query
  uint64_t sent_ms;     ///< when this node's last query was sent
  uint64_t unjoined_ms; ///< when a node that has not joined reads the store
  unsigned queries;     ///< queries of this node so far
  bool ready_logged;
};

/// This relay's entry point in the store, and reads of the others' entries.
/// Prefix and longest size of the keys of entry points.
#define MESH_ENTRY_PREFIX "entry/"
#define MESH_ENTRY_KEY_MAX                                                    \
  (sizeof MESH_ENTRY_PREFIX + 2 * (MEMBER_NAME_MAX + 1))

/// Listed entry points that are tried in turn before the list is read again:
/// those of relays that were killed stay listed until their lease ends.
#define MESH_ENTRY_TRIES 8

struct mesh_entry
{
  char keys[MESH_ENTRY_TRIES][MESH_ENTRY_KEY_MAX]; ///< from the last list
  size_t key_count;
  size_t next_key; ///< index of the next one to try
  uint64_t lease;
  bool running;     ///< a store operation on the own entry is in progress
  bool listed;      ///< the own entry exists under the lease
  uint64_t next_ms; ///< earliest time of the next operation on the own entry
  uint64_t list_ms; ///< earliest time of the next read of the list
  bool listing;     ///< a read of the list or of an entry is in progress
  bool list_empty;  ///< the list was read and is empty
  unsigned list_attempts; ///< attempts to join so far, for the backoff
  unsigned next_seed;     ///< index of the next seed to try
};

/// Cached owner of a role.
struct mesh_role
{
  uint64_t role;       ///< hash of the role's name
  uint64_t generation; ///< of the member table that the owner was chosen from
  uint64_t owner;      ///< slot id
};

/// Last report of another zone.
struct mesh_zone_report
{
  uint64_t zone; ///< id of the zone
  uint64_t received_ms;
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
  struct broadcaster broadcaster;
  struct config_follower follower;
  struct report_tree tree;
  struct event *timer;
  uint64_t tick_ms; ///< time of the next membership tick
  struct mesh_broadcast_handler broadcast_handlers[BROADCAST_KINDS];
  struct mesh_version_handler version_handlers[MESH_HANDLERS_MAX];
  unsigned version_handler_count;
  struct mesh_pull pull;
  struct mesh_floor floor;
  struct token_bucket snapshot_tokens; ///< limits the snapshots sent to pulls
  uint64_t snapshot_version;           ///< version of the cached snapshot
  uint8_t *snapshot;                   ///< compressed
  size_t snapshot_size;
  uint64_t broadcast_version; ///< highest version known to be broadcast in the
                              ///< own zone
  uint64_t delayed_ms;        ///< when to broadcast the delayed record
  uint64_t delayed_version;
  uint8_t
      *delayed_record; ///< record that the zone's first relay should broadcast
  size_t delayed_size;
  struct mesh_head head;
  struct mesh_entry entry;
  struct mesh_role roles[MESH_ROLE_CACHE_SIZE];
  struct mesh_zone_report zone_reports[RING_ZONES_MAX];
  uint32_t zone_report_count;
};

/// @return live members other than this node
uint32_t mesh_live_others (struct node_mesh *mesh);

/* node_mesh_wire.c */
extern const struct membership_ops mesh_membership_ops;
extern const struct broadcast_ops mesh_broadcast_ops;
void mesh_wire_start (struct node_mesh *mesh);
/// Sends a message and frees the content of its buffer.
void mesh_send (struct node_mesh *mesh, uint64_t slot_id, unsigned type,
                msgpack_sbuffer *body);

/* node_mesh_floor.c */
void mesh_floor_start (struct node_mesh *mesh);
void mesh_floor_tick (struct node_mesh *mesh, uint64_t now_ms);
/// Asks a neighbour to record the floor of this node's slot.
void mesh_floor_announce (void *mesh, uint64_t version);

/* node_mesh_config.c */
extern const struct config_follower_ops mesh_config_follower_ops;
void mesh_config_start (struct node_mesh *mesh);
void mesh_config_stop (struct node_mesh *mesh);
void mesh_config_tick (struct node_mesh *mesh, uint64_t now_ms);
/// Handles a version that another node states; pulls it when it is missing.
/// @param hash  not used
void mesh_config_handle_version (struct node_mesh *mesh, uint64_t from,
                                 uint64_t version, const uint8_t hash[8]);
/// Handles a RETRY_AFTER that answers a CONFIG_PULL.
void mesh_config_handle_retry_after (struct node_mesh *mesh,
                                     uint32_t delay_ms);
/// Handles a received broadcast of kind BROADCAST_KIND_VERSION_RECORD.
void mesh_config_handle_broadcast (struct node_mesh *mesh, const uint8_t *body,
                                   size_t size);
/// Broadcasts a version record in the own zone. Relays other than the zone's
/// first delay it, and send nothing when the first relay has.
void mesh_config_broadcast_record (struct node_mesh *mesh, const uint8_t *body,
                                   size_t size);
/// Records the floor of a member to which a version record is sent.
void mesh_config_set_receiver_floor (struct node_mesh *mesh, uint64_t slot_id,
                                     const uint8_t *body, size_t size);

/* node_mesh_head.c */
void mesh_head_start (struct node_mesh *mesh);
void mesh_head_stop (struct node_mesh *mesh);
void mesh_head_tick (struct node_mesh *mesh, uint64_t now_ms);

/* node_mesh_entry.c */
void mesh_entry_start (struct node_mesh *mesh);
void mesh_entry_tick (struct node_mesh *mesh, uint64_t now_ms);
/// Sends a VIEW_PULL and this node's own record to the next seed.
void mesh_entry_join (struct node_mesh *mesh,
                      const uint64_t digests[MEMBERSHIP_BUCKETS],
                      uint32_t own_handle);

/* node_mesh_report.c */
void mesh_report_start (struct node_mesh *mesh);
void mesh_report_tick (struct node_mesh *mesh, uint64_t now_ms);

#endif
