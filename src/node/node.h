/// The modules of the node process and the functions that they offer each
/// other. Each module has a file that starts and stops it.
#ifndef HAWTHORNSEAM_NODE_NODE_H
#define HAWTHORNSEAM_NODE_NODE_H

#include "base/rng.h"
#include "coordination/config_follower.h"
#include "coordination/store.h"
#include "protocol/settings.h"
#include "state/member.h"
#include "transport/peer.h"

#include <event2/event.h>

struct node
{
  struct event_base *base;
  struct settings settings;
  struct rng rng;
  uint64_t slot_id;
  const struct store_ops *store_ops;
  void *store;
  struct node_mesh *mesh;     ///< node_mesh.c: peers, membership, broadcasts,
                              ///< configuration follower
  struct node_config *config; ///< node_config.c: store watch, publishing
  struct node_calls *calls;   ///< node_calls.c: calls, own target, drain
  struct node_claims *claims; ///< node_claims.c: non-idempotent requests
  struct node_moves *moves;   ///< node_moves.c: evidence, driver, trips
  struct node_admin *admin;   ///< node_admin.c: operators' interface
  bool stopping;
};

/* node_mesh.c */
enum status node_mesh_start (struct node *node);
void node_mesh_stop (struct node *node);
struct peers *node_peers (struct node *node);
const struct member_table *node_members (const struct node *node);
struct config_follower *node_config_follower (struct node *node);

/// Sets what this node announces about its target and broadcasts it.
void node_mesh_set_target (struct node *node, const char *service,
                           const char *target_version, uint16_t target_slots,
                           enum target_state state);

/// Broadcasts that this node is leaving the mesh.
void node_mesh_leave (struct node *node);

/// Broadcasts a body to the nodes of all zones, a version record to those of
/// the own zone only.
/// @param kind  of enum broadcast_kind, other than
/// BROADCAST_KIND_MEMBER_EVENTS
void node_mesh_broadcast (struct node *node, unsigned kind,
                          const uint8_t *body, size_t size);

/// Registers the only handler of a broadcast kind. It is called once per
/// broadcast, and not for broadcasts that this node started.
void node_mesh_on_broadcast (struct node *node, unsigned kind,
                             void (*handler) (void *arg, uint64_t origin_slot,
                                              const uint8_t *body,
                                              size_t size),
                             void *arg);

/// Registers a handler that is called after a version has come into force.
void node_mesh_on_version (struct node *node,
                           void (*handler) (void *arg,
                                            const struct config *config),
                           void *arg);

/// @return slot id of the next node on the aggregation path to a destination:
/// the parent in the zone's tree, or the destination itself at the tree's root
uint64_t node_mesh_next_hop (const struct node *node,
                             uint64_t destination_slot);

/// @return true when this node is a relay of its zone
bool node_is_relay (const struct node *node);

/// Tells whether this node watches the head record in the store. A node that
/// has not joined knows no other member and so considers itself a relay; it
/// watches the store only if no entry point is listed or if it has not joined
/// within three seconds of its start.
bool node_mesh_watches_store (const struct node *node);

/// @return slot id of the live member that rendezvous hashing chooses for a
/// role name
uint64_t node_role_owner (const struct node *node, const char *role);

/* node_config.c */
enum status node_config_start (struct node *node);
void node_config_stop (struct node *node);

/// Publishes a configuration as the next version. `done` is called once, with
/// STATUS_OK and the new version; STATUS_CONFLICT and the newest version when
/// another writer was first; STATUS_UNAVAILABLE when the store is unavailable.
/// @param base_version  version that the change is based on
/// @param nonce         identifies the attempt; an attempt that is repeated
///                      with the same nonce gets the first outcome
void node_config_publish (
    struct node *node, const struct config *content, uint64_t base_version,
    const char *author, const char *note, uint64_t nonce,
    void (*done) (void *arg, enum status status, uint64_t version), void *arg);

/* node_calls.c */
enum status node_calls_start (struct node *node);
/// Stops accepting calls, waits for those in flight, then calls `done`.
void node_calls_drain (struct node *node, void (*done) (void *arg), void *arg);
void node_calls_stop (struct node *node);

/* node_claims.c */
enum claim_result
{
  CLAIM_GRANTED,  ///< the caller may run the request, once
  CLAIM_RECORDED, ///< the request ran before; its outcome is given
  CLAIM_RESULT_OUTCOME_UNKNOWN, ///< the request may have run and must not run
                                ///< again
  CLAIM_KEY_REFUSED, ///< the key is too old, too new or malformed: not run
  CLAIM_TIMED_OUT    ///< not claimed before the deadline: not run
};

struct claim_outcome
{
  uint16_t status; ///< HTTP status of the recorded response
  const uint8_t *body;
  size_t body_size;   ///< at most 512 bytes are recorded
  bool body_complete; ///< false when the response body was longer
};

struct node_claim; ///< one attempt, valid until it ends

enum status node_claims_start (struct node *node);
void node_claims_stop (struct node *node);

/// Asks for permission to run a request once. `done` is called exactly once
/// unless node_claim_finish is called before. After any result but
/// CLAIM_GRANTED the claim ends when `done` returns; node_claim_finish within
/// `done` has no effect then.
struct node_claim *
node_claim_begin (struct node *node, const char *idempotency_key,
                  uint32_t deadline_ms,
                  void (*done) (void *arg, struct node_claim *claim,
                                enum claim_result result,
                                const struct claim_outcome *outcome),
                  void *arg);

/// Ends an attempt.
/// @param unknown  true when the request may have run: it is never run again
/// @param outcome  recorded; NULL when the request certainly did not run, so
///                 that the claim is released
void node_claim_finish (struct node_claim *claim, bool unknown,
                        const struct claim_outcome *outcome);

/* node_moves.c */
enum status node_moves_start (struct node *node);
void node_moves_stop (struct node *node);

/// @param to  set to the new version, or to NULL when no move is running
/// @return share of a service's calls for the new version, basis points; 0
/// when this node has tripped the move
uint32_t node_moves_share (const struct node *node, const char *service,
                           const char **to);

/// Counts the outcome of one call as evidence for the running moves.
/// @param cold_target  the target is still warming up: latency is ignored
/// @param failed       the caller got no usable response, or a 5xx status
/// @param latency_us   from the choice of the target to the response headers
void node_moves_observe (struct node *node, const char *service,
                         const char *route, const char *target_version,
                         const char *availability_zone, bool cold_target,
                         bool failed, uint32_t latency_us);

/* node_admin.c */
enum status node_admin_start (struct node *node);
void node_admin_stop (struct node *node);

#endif
