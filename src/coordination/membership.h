/// Which members live: heartbeats on the ring of the zone, suspicion and
/// refutation, relays between zones, and repair of differing views. Performs
/// no I/O: times, randomness and received messages go in, messages to send
/// leave through a table of function pointers.
#ifndef HAWTHORNSEAM_COORDINATION_MEMBERSHIP_H
#define HAWTHORNSEAM_COORDINATION_MEMBERSHIP_H

#include "base/rng.h"
#include "coordination/backoff.h"
#include "coordination/ring.h"

#define MEMBERSHIP_HEARTBEAT_MS 1000
#define MEMBERSHIP_SILENT_MS 1500 ///< unanswered: replace the connection
/// The second attempt runs on a new connection. A connect, HELLO and answer
/// take tens of milliseconds between regions, so a shorter wait than the first
/// suffices.
#define MEMBERSHIP_RETRY_MS 1000
#define MEMBERSHIP_SUSPECT_MS 3000 ///< suspicion without refutation
#define MEMBERSHIP_ZONE_MS 5000    ///< silence of a zone's relays
#define MEMBERSHIP_EVENT_MS 100    ///< time over which events are collected
#define MEMBERSHIP_EVENTS_MAX 128  ///< member records in one broadcast
#define MEMBERSHIP_RECORDS_MAX 512 ///< member records in one MEMBERS
#define MEMBERSHIP_BUCKETS 64
/// Each heartbeat between them states only what changed, which keeps an idle
/// node below its byte goal.
#define MEMBERSHIP_FULL_EVERY 4
/// An answer states a version or digest that changed within this time, so that
/// each member that sends heartbeats to this node hears of it at once.
#define MEMBERSHIP_FRESH_MS 2500
#define MEMBERSHIP_SUCCESSORS 2
#define MEMBERSHIP_PROBES_MAX                                                 \
  (MEMBERSHIP_SUCCESSORS + RING_RELAYS * RING_ZONES_MAX)

/// PING or ACK. Parts that are not stated are unchanged since an earlier one.
struct heartbeat
{
  uint32_t seq;
  uint64_t slot_id;     ///< of the sender; 0: the connection tells it
  uint64_t incarnation; ///< 0: not stated
  bool states_version;
  uint64_t version; ///< in force at the sender
  uint8_t hash[8];  ///< first bytes of its content hash
  bool states_digest;
  uint64_t digest; ///< of the sender's view
};

/// A zone's change between reachable and unreachable.
struct zone_mark
{
  char name[MEMBER_NAME_MAX + 1];
  bool unreachable;
  uint32_t number; ///< grows with each change; of equal ones reachable wins
};

struct membership_ops
{
  void (*send_heartbeat) (void *arg, uint64_t slot_id,
                          const struct heartbeat *heartbeat, bool answer);
  /// Sends records of the table by handle.
  /// @param answer  the message answers a VIEW_PULL
  void (*send_members) (void *arg, uint64_t slot_id, const uint32_t *handles,
                        size_t count, bool answer);
  void (*send_view_pull) (void *arg, uint64_t slot_id,
                          const uint64_t digests[MEMBERSHIP_BUCKETS]);
  void (*send_retry_after) (void *arg, uint64_t slot_id, uint32_t delay_ms);
  /// Sends a VIEW_PULL and the own record to a seed or an entry point.
  void (*send_join) (void *arg, const uint64_t digests[MEMBERSHIP_BUCKETS],
                     uint32_t own_handle);
  /// Broadcasts member events to all zones or to the own zone.
  void (*broadcast) (void *arg, const uint32_t *handles, size_t count,
                     const struct zone_mark *mark, bool zone_only);
  /// Closes the connection to a member, so that the next message opens one.
  void (*replace_connection) (void *arg, uint64_t slot_id);
  /// Reads the version in force at this node.
  void (*version) (void *arg, uint64_t *version, uint8_t hash[8]);
  /// Reports the version that a member stated.
  void (*heard_version) (void *arg, uint64_t slot_id, uint64_t version,
                         const uint8_t hash[8]);
};

/// Heartbeats to one member.
struct membership_probe
{
  uint64_t slot_id;
  bool ring; ///< a successor in the zone, otherwise a relay elsewhere
  uint32_t seq;
  uint64_t next_ms;
  uint64_t sent_ms; ///< of the oldest unanswered heartbeat
  bool waiting;     ///< an answer is missing
  bool replaced;    ///< the connection was replaced meanwhile
  unsigned until_full;
  uint64_t stated_version;
  uint64_t stated_digest;
};

struct membership_suspect
{
  uint32_t handle;
  uint64_t incarnation;
  uint64_t due_ms;
};

struct membership_zone
{
  uint64_t id;
  char name[MEMBER_NAME_MAX + 1];
  uint64_t heard_ms; ///< last heartbeat from any of its members
  bool unreachable;
  uint32_t number;       ///< of the last mark
  uint64_t changed_ms;   ///< last mark
  uint64_t announce_ms;  ///< next repetition of the mark
  uint64_t refreshed_ms; ///< last mark that agreed with the state
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
  uint32_t self; ///< own handle
  uint64_t self_id;
  bool joined;
  bool leaving;
  uint64_t joined_ms;
  uint64_t tick_ms; ///< last tick
  unsigned join_failures;
  uint64_t join_ms; ///< next attempt to join
  uint64_t start_ms;
  uint64_t buckets[MEMBERSHIP_BUCKETS];
  uint64_t digest;
  uint64_t digest_ms;    ///< last change of the digest
  uint64_t told_version; ///< version in force at the last tick
  uint64_t version_ms;   ///< last change of it
  uint64_t mismatch_ms;  ///< first of the current run of differing digests
  uint64_t pull_ms;      ///< earliest next VIEW_PULL
  struct token_bucket snapshots;
  struct membership_probe probes[MEMBERSHIP_PROBES_MAX];
  uint32_t probe_count;
  uint64_t probes_generation;
  uint64_t zone_probe_ms;  ///< next try of random members of lost zones
  uint64_t relay_since_ms; ///< 0 while not a relay
  struct membership_zone zones[RING_ZONES_MAX];
  uint32_t zone_count;
  struct membership_suspect *suspects; ///< oldest first from suspect_first
  uint32_t suspect_first, suspect_count, suspect_capacity;
  uint32_t *dead; ///< handles of members that died
  uint32_t dead_count, dead_capacity;
  uint64_t dead_ms; ///< next retry of a dead member
  struct membership_event *events;
  uint32_t event_count, event_capacity;
  uint64_t event_ms;      ///< time to broadcast them
  unsigned random_probes; ///< heartbeats with digest still to send to random
                          ///< members
};

/// Starts with a table that holds only this node.
/// @param self  own record; its incarnation is the wall time in ms
/// @param ops,arg,rng  outlive the membership
enum status membership_init (struct membership *membership,
                             const struct member *self,
                             const struct membership_ops *ops, void *arg,
                             struct rng *rng, uint64_t now_ms);
void membership_finish (struct membership *membership);

/// Does what is due. To be called about every 100 ms.
void membership_tick (struct membership *membership, uint64_t now_ms);

/// Takes a PING (answer false) or an ACK.
void membership_heartbeat (struct membership *membership, uint64_t from,
                           const struct heartbeat *heartbeat, bool answer,
                           uint64_t now_ms);

/// Takes a MEMBERS message.
/// @param answer  it answers a VIEW_PULL, so this node has joined
void membership_members (struct membership *membership, uint64_t from,
                         const struct member *records, size_t count,
                         bool answer, uint64_t now_ms);

/// Takes a VIEW_PULL.
void membership_view_pull (struct membership *membership, uint64_t from,
                           const uint64_t digests[MEMBERSHIP_BUCKETS],
                           uint64_t now_ms);

/// Takes a RETRY_AFTER that answers a VIEW_PULL.
void membership_retry_after (struct membership *membership, uint32_t delay_ms,
                             uint64_t now_ms);

/// Takes a broadcast of member events.
/// @param mark  change of a zone or NULL
void membership_events (struct membership *membership,
                        const struct member *records, size_t count,
                        const struct zone_mark *mark, uint64_t now_ms);

/// Takes the failure to connect to a member.
void membership_connect_failed (struct membership *membership,
                                uint64_t slot_id, uint64_t now_ms);

/// Changes the own target's announcement and spreads it.
void membership_set_target (struct membership *membership, const char *service,
                            const char *target_version, uint16_t target_slots,
                            enum target_state state, uint64_t now_ms);

/// Announces that this node leaves.
void membership_leave (struct membership *membership, uint64_t now_ms);

/// @return the own record
const struct member *membership_self (const struct membership *membership);

/// @return true when this node is a relay of its zone
bool membership_is_relay (struct membership *membership);

/// @return true unless the zone is marked unreachable
bool membership_zone_reachable (const struct membership *membership,
                                const char *zone);

/// @return a random live member of the own zone other than this node, or 0
uint64_t membership_random_neighbour (struct membership *membership);

#endif
