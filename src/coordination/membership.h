/// Membership of the mesh: heartbeats along the ring of a zone, suspicion and
/// refutation of members, relays between zones, and reconciliation of views
/// that differ. Performs no I/O: the caller passes in time, randomness and
/// received messages, and messages are sent through a table of callbacks.
#ifndef HAWTHORNSEAM_COORDINATION_MEMBERSHIP_H
#define HAWTHORNSEAM_COORDINATION_MEMBERSHIP_H

#include "base/rng.h"
#include "coordination/backoff.h"
#include "coordination/ring.h"

#define MEMBERSHIP_HEARTBEAT_MS 1000
/// A heartbeat without ACK for this long replaces the connection.
#define MEMBERSHIP_ACK_TIMEOUT_MS 1500
/// A heartbeat on the new connection without ACK for this long makes the
/// member suspect. Connect, HELLO and ACK take tens of milliseconds between
/// regions, so this wait can be shorter than the first one.
#define MEMBERSHIP_RETRY_TIMEOUT_MS 1000
/// A suspect that does not refute within this time is dead.
#define MEMBERSHIP_SUSPICION_TIMEOUT_MS 3000
/// A zone that is silent for this long is unreachable.
#define MEMBERSHIP_ZONE_TIMEOUT_MS 5000
#define MEMBERSHIP_EVENT_BATCH_MS 100 ///< time over which events are batched
#define MEMBERSHIP_EVENTS_MAX 128     ///< member records in one broadcast
#define MEMBERSHIP_RECORDS_MAX 512 ///< member records in one MEMBERS message
#define MEMBERSHIP_BUCKETS 64      ///< of a view digest
/// Every fourth heartbeat is full, as is one after a change. The others carry
/// only their number, which keeps the traffic of an idle node below its limit.
#define MEMBERSHIP_FULL_HEARTBEAT_EVERY 4
/// An ACK carries the version or the digest if it changed within this time, so
/// that all members that send heartbeats to this node learn of it at once.
#define MEMBERSHIP_RECENT_CHANGE_MS 2500
/// Members after this node on the ring to which it sends heartbeats.
#define MEMBERSHIP_SUCCESSORS 2
#define MEMBERSHIP_PROBES_MAX                                                 \
  (MEMBERSHIP_SUCCESSORS + RING_RELAYS * RING_ZONES_MAX)

/// Content of PING and ACK. Fields that are left out have the value of an
/// earlier heartbeat of the same sender.
struct heartbeat
{
  uint32_t seq;
  uint64_t slot_id;     ///< of the sender; 0: that of the connection's peer
  uint64_t incarnation; ///< 0: left out
  bool has_version;     ///< version and hash are present
  uint64_t version;     ///< in force at the sender
  uint8_t hash[8];      ///< first bytes of the version's content hash
  bool has_digest;      ///< digest is present
  uint64_t digest;      ///< of the sender's view
};

/// Reachability of a zone as seen from another one.
struct zone_reachability
{
  char name[MEMBER_NAME_MAX + 1];
  bool unreachable;
  uint32_t change_number; ///< grows with each change; on a tie, reachable wins
};

struct membership_ops
{
  void (*send_heartbeat) (void *arg, uint64_t slot_id,
                          const struct heartbeat *heartbeat, bool answer);
  /// Sends records of the member table, given by their handles.
  /// @param answer  the message answers a VIEW_PULL
  void (*send_members) (void *arg, uint64_t slot_id, const uint32_t *handles,
                        size_t count, bool answer);
  void (*send_view_pull) (void *arg, uint64_t slot_id,
                          const uint64_t digests[MEMBERSHIP_BUCKETS]);
  void (*send_retry_after) (void *arg, uint64_t slot_id, uint32_t delay_ms);
  /// Sends a VIEW_PULL and this node's own record to a seed or an entry point.
  void (*send_join) (void *arg, const uint64_t digests[MEMBERSHIP_BUCKETS],
                     uint32_t own_handle);
  /// Broadcasts member records and the reachability of a zone.
  /// @param reachability  NULL: none
  /// @param zone_only     to the own zone only, otherwise to all zones
  void (*broadcast) (void *arg, const uint32_t *handles, size_t count,
                     const struct zone_reachability *reachability,
                     bool zone_only);
  /// Closes the connection to a member; the next message opens a new one.
  void (*replace_connection) (void *arg, uint64_t slot_id);
  /// Reads the version in force at this node.
  void (*version) (void *arg, uint64_t *version, uint8_t hash[8]);
  /// Reports a version that a member stated in a heartbeat.
  void (*member_version) (void *arg, uint64_t slot_id, uint64_t version,
                          const uint8_t hash[8]);
};

/// Regular heartbeats to one member.
struct membership_probe
{
  uint64_t slot_id;
  bool is_successor; ///< a successor on the ring, otherwise a relay of another
                     ///< zone
  uint32_t seq;
  uint64_t next_ms;               ///< when to send the next heartbeat
  uint64_t sent_ms;               ///< of the oldest heartbeat without ACK
  bool awaiting_ack;              ///< an ACK is outstanding
  bool connection_replaced;       ///< after a missing ACK
  unsigned heartbeats_until_full; ///< heartbeats before the next full one
  uint64_t sent_version;          ///< in the last full heartbeat
  uint64_t sent_digest;           ///< in the last full heartbeat
};

struct membership_suspect
{
  uint32_t handle;
  uint64_t incarnation; ///< that is suspected
  uint64_t due_ms;      ///< when the member counts as dead
};

struct membership_zone
{
  uint64_t id;
  char name[MEMBER_NAME_MAX + 1];
  uint64_t heard_ms; ///< last heartbeat from any of its members
  bool unreachable;
  uint32_t change_number; ///< of the last change, see zone_reachability
  uint64_t changed_ms;    ///< last change between reachable and unreachable
  uint64_t announce_ms;   ///< when to announce the current state again
  uint64_t refreshed_ms;  ///< last confirmation of the current state
};

struct membership_event
{
  uint32_t handle;
  bool zone_only;
};

struct membership
{
  const struct membership_ops *ops;
  void *arg;
  struct rng *rng;
  struct member_table table;
  struct ring ring;
  uint32_t self; ///< handle of the own record
  uint64_t self_id;
  bool joined;
  bool leaving;
  uint64_t joined_ms;
  uint64_t tick_ms; ///< last tick
  unsigned join_failures;
  uint64_t join_ms; ///< next attempt to join
  uint64_t start_ms;
  uint64_t buckets[MEMBERSHIP_BUCKETS]; ///< view digest by bucket of slot ids
  uint64_t digest;                      ///< view digest of all members
  uint64_t digest_ms;                   ///< last change of the digest
  uint64_t last_version;                ///< version in force at the last tick
  uint64_t version_ms;                  ///< last change of that version
  uint64_t mismatch_ms; ///< since when other digests differ; 0: they agree
  uint64_t pull_ms;     ///< earliest time of the next VIEW_PULL
  struct token_bucket snapshot_tokens; ///< limits large answers to VIEW_PULL
  struct membership_probe probes[MEMBERSHIP_PROBES_MAX];
  uint32_t probe_count;
  uint64_t probes_generation;
  uint64_t zone_probe_ms;  ///< when to probe unreachable zones next
  uint64_t relay_since_ms; ///< 0 while not a relay
  struct membership_zone zones[RING_ZONES_MAX];
  uint32_t zone_count;
  struct membership_suspect *suspects; ///< queue that starts at suspect_first
  uint32_t suspect_first, suspect_count, suspect_capacity;
  uint32_t *dead; ///< handles of dead members, may include some that returned
  uint32_t dead_count, dead_capacity;
  uint64_t dead_ms; ///< when to probe a dead member next
  struct membership_event *events;
  uint32_t event_count, event_capacity;
  uint64_t event_ms;      ///< when to broadcast the events
  unsigned random_probes; ///< full heartbeats still to send to random members
                          ///< of the zone
};

/// Initializes a membership whose table holds only this node.
/// @param self         own record; its incarnation is the wall time in ms
/// @param ops,arg,rng  must outlive the membership
enum status membership_init (struct membership *membership,
                             const struct member *self,
                             const struct membership_ops *ops, void *arg,
                             struct rng *rng, uint64_t now_ms);
void membership_finish (struct membership *membership);

/// Sends heartbeats and broadcasts that are due and handles timeouts. Call
/// about every 100 ms.
void membership_tick (struct membership *membership, uint64_t now_ms);

/// Handles a PING or an ACK.
/// @param answer  true for an ACK
void membership_handle_heartbeat (struct membership *membership, uint64_t from,
                                  const struct heartbeat *heartbeat,
                                  bool answer, uint64_t now_ms);

/// Handles a MEMBERS message.
/// @param answer  it answers a VIEW_PULL, so this node has joined the mesh
void membership_handle_members (struct membership *membership, uint64_t from,
                                const struct member *records, size_t count,
                                bool answer, uint64_t now_ms);

/// Handles a VIEW_PULL: sends the records of all buckets whose digest differs.
void membership_handle_view_pull (struct membership *membership, uint64_t from,
                                  const uint64_t digests[MEMBERSHIP_BUCKETS],
                                  uint64_t now_ms);

/// Handles a RETRY_AFTER that answers a VIEW_PULL.
void membership_handle_retry_after (struct membership *membership,
                                    uint32_t delay_ms, uint64_t now_ms);

/// Handles a broadcast of member events.
/// @param reachability  of a zone, or NULL
void membership_handle_events (struct membership *membership,
                               const struct member *records, size_t count,
                               const struct zone_reachability *reachability,
                               uint64_t now_ms);

/// Handles the failure to connect to a member.
void membership_handle_connect_failure (struct membership *membership,
                                        uint64_t slot_id, uint64_t now_ms);

/// Changes what this node announces about its target and broadcasts it.
void membership_set_target (struct membership *membership, const char *service,
                            const char *target_version, uint16_t target_slots,
                            enum target_state state, uint64_t now_ms);

/// Broadcasts that this node leaves the mesh.
void membership_leave (struct membership *membership, uint64_t now_ms);

/// @return the own record
const struct member *membership_self (const struct membership *membership);

/// @return true when this node is a relay of its zone
bool membership_is_relay (struct membership *membership);

/// @return true unless the zone is marked unreachable
bool membership_zone_reachable (const struct membership *membership,
                                const char *zone);

/// @return a random live member of the own zone other than this node, or 0
uint64_t membership_random_member (struct membership *membership);

#endif
