/// Parts of node_calls: what its files share. Internal to node_call*.c.
#ifndef HAWTHORNSEAM_NODE_NODE_CALL_PARTS_H
#define HAWTHORNSEAM_NODE_NODE_CALL_PARTS_H

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

/// Bytes of an answer that may be buffered for a slow receiver.
#define NODE_CALL_BUFFER_MAX (256 * 1024)

/// A non-idempotent request uses a kept connection only if it was used within
/// this time: a connection that went silent since then would leave the outcome
/// unknown.
#define NODE_CALL_FRESH_MS 1000
#define NODE_CALL_IDLE_MS 10000

#define NODE_CALL_SUSPECTS 8192
#define NODE_CALL_GROUP_BUCKETS 1024
#define NODE_CALL_BOOT_ID_MAX 64

/// Fingerprints kept of calls that were lost although the target's port still
/// accepted connections; a new boot id then tells that the process had died.
#define NODE_CALL_LOST_MAX 64
#define NODE_CALL_LOST_MS 5000

/// Targets that run one version of a service.
struct call_group
{
  struct call_group *next; ///< in its bucket
  char service[MEMBER_NAME_MAX + 1];
  char version[MEMBER_NAME_MAX + 1];
  struct balance balance;
  size_t calls; ///< entry calls that refer to the group
  bool updated; ///< in the update that runs
};

struct own_target
{
  enum target_state state;
  char service[MEMBER_NAME_MAX + 1];
  char version[MEMBER_NAME_MAX + 1];
  char boot_id[NODE_CALL_BOOT_ID_MAX + 1];
  uint16_t port;
  uint16_t slots;
  uint16_t connections;
  uint64_t announced_ms;
  struct call_probe *probe;
};

struct lost_call
{
  uint64_t fingerprint;
  uint64_t lost_ms;
};

struct call_run;   ///< node_call_run.c: a call at the own target
struct call_entry; ///< node_call_entry.c: a call of a caller

struct node_calls
{
  struct node *node;
  struct call_server *server;
  struct call_client nodes;  ///< connections to other nodes
  struct call_client target; ///< connections to the own target
  struct admit admit;
  struct retry_budget budget;
  struct suspect_table suspects;
  struct own_target own;
  struct lost_call lost[NODE_CALL_LOST_MAX];
  size_t lost_count;
  struct call_group *groups[NODE_CALL_GROUP_BUCKETS];
  struct route_table routes; ///< of the version in force
  uint64_t members_generation;
  uint64_t members_read_ms;
  bool members_read;
  struct call_run *runs;      ///< list of all
  struct call_entry *entries; ///< list of all
  size_t entry_count;
  struct event expiry; ///< when the next queued call becomes late
  struct event tick;
  unsigned ticks;
  bool draining;
  bool listener_closed;
  uint64_t idle_since_ms; ///< while draining and nothing is in flight
  void (*drained) (void *arg);
  void *drained_arg;
};

/* node_calls.c */

/// Answers a request that this node itself ends.
void node_call_refuse (struct node_calls *calls, struct call_request *request,
                       int status, enum call_outcome outcome,
                       const char *reason);

/// Sets the timer of the queue; called after a call was queued.
void node_call_arm_expiry (struct node_calls *calls);

/// Copies headers except those that end at each connection.
void node_call_copy_headers (struct evkeyvalq *to,
                             const struct evkeyvalq *from);

/// Copies the headers of an answer, with its length if it is known.
void node_call_copy_answer_headers (struct evkeyvalq *to,
                                    const struct evkeyvalq *from);

/* node_call_groups.c */

/// Brings the groups up to date with the member table.
void node_call_read_members (struct node_calls *calls, uint64_t now_ms);

/// @return the group of one version of a service, or NULL
struct call_group *node_call_group (struct node_calls *calls,
                                    const char *service, const char *version);
void node_call_free_groups (struct node_calls *calls);

/// Compiles the routes again when a new version came into force.
/// @return the route with the longest prefix of a path, valid until the next
///         call, or NULL
const struct route_entry *node_call_route (struct node_calls *calls,
                                           const char *uri);

/* node_call_accept.c and node_call_entry.c */

/// Handles a request of a caller.
void node_call_entry_start (struct node_calls *calls,
                            struct call_request *request);
void node_call_entry_gone (struct call_entry *entry);
void node_call_entry_writable (struct call_entry *entry);

/// Releases all entry calls without an answer.
void node_call_entries_drop (struct node_calls *calls);

/* node_call_run.c */

/// Handles a request that another node routed here.
void node_call_run_start (struct node_calls *calls,
                          struct call_request *request, const char *hop);
void node_call_run_gone (struct call_run *run);
void node_call_run_writable (struct call_run *run);

/// Called for admission; see struct admit_ops.
extern const struct admit_ops node_call_run_admission;

/// Raises the crash count of every call at the target, and tells all nodes.
/// @param crash  identity of the crash
void node_call_runs_crashed (struct node_calls *calls, uint64_t crash,
                             uint64_t now_ms);

/// @return number of calls passed to the own target since the start
uint64_t node_call_runs_admitted (void);

/// Answers the calls that waited for the result of a probe.
/// @param crash  identity of the crash, 0 when the target is alive
void node_call_runs_probed (struct node_calls *calls, uint64_t crash);
void node_call_runs_drop (struct node_calls *calls);

/* node_call_target.c */

/// Handles the announcement and the drain request of the own target.
void node_call_own_request (struct node_calls *calls,
                            struct call_request *request);

/// Finds out whether the target's process has died, after a lost call.
void node_call_target_suspected (struct node_calls *calls);

/// Remembers a lost call until it is clear whether the process died.
void node_call_remember_lost (struct node_calls *calls, uint64_t fingerprint);

/// Looks after announcements that have stopped.
void node_call_target_tick (struct node_calls *calls, uint64_t now_ms);

/// Sets the state of the own target and announces it.
void node_call_set_target_state (struct node_calls *calls,
                                 enum target_state state);

/* What a context pointer of a request refers to. */
enum call_kind
{
  CALL_KIND_ENTRY,
  CALL_KIND_RUN
};

/// First member of struct call_entry and struct call_run.
struct call_part
{
  enum call_kind kind;
};

#endif
