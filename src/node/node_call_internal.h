/// Types and functions shared by the files of the call path, node_call*.c.
/// Internal to them.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_INTERNAL_H
#define HAWTHORNSEAM_NODE_NODE_CALL_INTERNAL_H

#include "base/counter.h"
#include "coordination/admit.h"
#include "coordination/balance.h"
#include "coordination/retry.h"
#include "node/node.h"
#include "protocol/call_headers.h"
#include "state/route_table.h"
#include "state/suspect.h"
#include "transport/call_client.h"
#include "transport/call_probe.h"
#include "transport/call_server.h"

/// Bytes of a response that are buffered for a slow receiver before reading
/// from the sender is paused.
#define NODE_CALL_BUFFER_BYTES_MAX (256 * 1024)

/// A non-idempotent request reuses a pooled connection only if it was idle for
/// less than this: on a connection that is dead without notice, the outcome of
/// the request would be unknown.
#define NODE_CALL_NON_IDEMPOTENT_IDLE_MS 1000
/// Idle time after which pooled connections are closed.
#define NODE_CALL_IDLE_MS 10000

#define NODE_CALL_SUSPECTS_MAX 8192
#define NODE_CALL_GROUP_BUCKETS 1024
#define NODE_CALL_BOOT_ID_MAX 64

/// Number of fingerprints kept of calls whose connection was lost although the
/// target's port still accepted connections, and the time they are kept. If a
/// new boot id is announced within this time, the process had died.
#define NODE_CALL_LOST_MAX 64
#define NODE_CALL_LOST_MS 5000

/// Targets that run one version of a service.
struct target_group
{
  struct target_group *next; ///< in the same hash bucket
  char service[MEMBER_NAME_MAX + 1];
  char version[MEMBER_NAME_MAX + 1];
  struct balance balance;
  size_t call_count; ///< calls of callers that refer to the group
  bool updated;      ///< a member of the group was seen in the current read
};

/// The target that announces itself to this node.
struct own_target
{
  enum target_state state;
  char service[MEMBER_NAME_MAX + 1];
  char version[MEMBER_NAME_MAX + 1];
  char boot_id[NODE_CALL_BOOT_ID_MAX + 1]; ///< of the target's process
  uint16_t port;                           ///< on the loopback interface
  uint16_t slots;
  uint16_t connections;
  uint64_t announced_ms;    ///< time of the last announcement
  struct call_probe *probe; ///< in progress, or NULL
};

/// A call that was in progress when its connection to the target was lost.
struct lost_call
{
  uint64_t fingerprint;
  uint64_t lost_ms;
};

struct inbound_call;  ///< node_call_inbound.h: a call at the own target
struct outbound_call; ///< node_call_outbound.h: a call of a caller

struct node_calls
{
  struct node *node;
  struct call_server *server;
  struct call_client node_client;   ///< connections to the nodes of targets
  struct call_client target_client; ///< connections to the own target
  struct admit admit;
  struct retry_budget budget;
  struct suspect_table suspects;
  struct own_target own_target;
  struct lost_call lost[NODE_CALL_LOST_MAX]; ///< ring buffer
  size_t lost_count;                         ///< added in total
  struct target_group *groups[NODE_CALL_GROUP_BUCKETS];
  struct route_table routes;      ///< of the configuration in force
  uint64_t members_generation;    ///< of the member table at the last read
  uint64_t members_read_ms;       ///< time of the last read
  bool members_read;              ///< the member table was read at least once
  struct inbound_call *inbound;   ///< list of all calls at the own target
  struct outbound_call *outbound; ///< list of all calls of callers
  size_t outbound_count;
  struct event expiry; ///< timer for queued calls that miss their deadline
  struct event tick;
  unsigned ticks;
  bool draining;
  bool listener_closed;
  uint64_t idle_since_ms;      ///< while draining: no call since then
  void (*drained) (void *arg); ///< NULL when no drain is in progress
  void *drained_arg;
};

/* node_calls.c */

/// Responds to a request that this node does not pass on, or that got no
/// response of a target.
void node_call_refuse (struct node_calls *calls, struct call_request *request,
                       int status, enum call_outcome outcome,
                       const char *reason);

/// Arms the timer that refuses queued calls; called after a call was queued.
void node_call_arm_expiry (struct node_calls *calls);

/// Copies headers except hop-by-hop ones.
void node_call_copy_headers (struct evkeyvalq *to,
                             const struct evkeyvalq *from);

/// Copies the headers of a response except hop-by-hop ones, but with its
/// Content-Length if it is known.
void node_call_copy_response_headers (struct evkeyvalq *to,
                                      const struct evkeyvalq *from);

/* node_call_groups.c */

/// Updates the groups if the member table has changed; reads the table at most
/// every 100 ms.
void node_call_read_members (struct node_calls *calls, uint64_t now_ms);

/// @return the group of a service and version, or NULL
struct target_group *node_call_group (struct node_calls *calls,
                                      const char *service,
                                      const char *version);
void node_call_free_groups (struct node_calls *calls);

/// Finds the route of a request. Rebuilds the route table first when another
/// configuration version has come into force.
/// @param uri  path and query
/// @return the route with the longest matching prefix, valid until the next
///         call of this function, or NULL
const struct route_entry *node_call_route (struct node_calls *calls,
                                           const char *uri);

/* node_call_accept.c and node_call_outbound.c */

/// Handles a request of a caller: accepts or refuses it.
void node_call_outbound_start (struct node_calls *calls,
                               struct call_request *request);
void node_call_outbound_disconnected (struct outbound_call *call);
void node_call_outbound_writable (struct outbound_call *call);

/// Frees all calls of callers without responding to them.
void node_call_outbound_free_all (struct node_calls *calls);

/* node_call_inbound.c */

/// Handles a request that another node routed here.
/// @param hop  value of CALL_HEADER_HOP
void node_call_inbound_start (struct node_calls *calls,
                              struct call_request *request, const char *hop);
void node_call_inbound_disconnected (struct inbound_call *call);
void node_call_inbound_writable (struct inbound_call *call);

/// Callbacks of the admission queue; see struct admit_ops.
extern const struct admit_ops node_call_inbound_admission;

/// Records the calls in flight at the target, and those lost within the last
/// NODE_CALL_LOST_MS, as crash suspects and broadcasts them to all nodes.
/// @param crash  id of the crash, not 0
void node_call_inbound_crashed (struct node_calls *calls, uint64_t crash,
                                uint64_t now_ms);

/// @return number of calls sent to the own target since the node started
uint64_t node_call_inbound_admitted (void);

/// Responds to the calls that waited for the result of a probe.
/// @param crash  id of the crash, 0 when the target's process is alive
void node_call_inbound_probed (struct node_calls *calls, uint64_t crash);

/// Frees all calls at the own target without responding to them.
void node_call_inbound_free_all (struct node_calls *calls);

/* node_call_target.c */

/// Handles a request below CALL_OWN_PREFIX: an announcement or a drain request
/// of the own target.
void node_call_target_request (struct node_calls *calls,
                               struct call_request *request);

/// Probes the target's port, unless a probe is in progress, to find out
/// whether its process has died.
void node_call_probe_target (struct node_calls *calls);

/// Keeps the fingerprint of a lost call for NODE_CALL_LOST_MS, in case a new
/// boot id shows that the process had died.
void node_call_record_lost (struct node_calls *calls, uint64_t fingerprint);

/// Probes the target when its announcements have stopped. Called every second.
void node_call_target_tick (struct node_calls *calls, uint64_t now_ms);

/// Sets the state of the own target and publishes it to the members.
void node_call_set_target_state (struct node_calls *calls,
                                 enum target_state state);

/// Type of the object that a request's context pointer refers to.
enum call_kind
{
  CALL_KIND_OUTBOUND,
  CALL_KIND_INBOUND
};

/// First member of struct outbound_call and struct inbound_call.
struct call_context
{
  enum call_kind kind;
};

#endif
