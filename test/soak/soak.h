/// Fault soak: runs sidecars as separate processes on loopback, with a store,
/// targets and callers inside the soak program. It injects faults from outside
/// the sidecars and checks what callers and targets observe.
#ifndef HAWTHORNSEAM_TEST_SOAK_H
#define HAWTHORNSEAM_TEST_SOAK_H

#include "base/rng.h"
#include "transport/http_pool.h"
#include "transport/http_server.h"
#include "transport/timer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_LOOPBACK 0x7f000001u
#define SOAK_NODES_MAX 320
#define SOAK_SERVICES 3
#define SOAK_ZONES 3

/// Slots of each target.
#define SOAK_SLOTS 8

/// Settings of the platform and bounds that follow from them, milliseconds.
#define SOAK_STABLE_MS 3000
#define SOAK_CONFIG_APPLY_MS 2000
#define SOAK_DRAIN_MS 2000
#define SOAK_RECOVERY_MS 15000
#define SOAK_TIMEOUT_MS 1500
#define SOAK_TIMEOUT_SLACK_MS 500
#define SOAK_CANCEL_MS 500
#define SOAK_RETRY_BUDGET_WINDOW_MS 10000

enum soak_kind
{
  SOAK_READ,   ///< safe: may run more than once
  SOAK_SEAL,   ///< unsafe: runs at most once
  SOAK_SHEET,  ///< download: large response
  SOAK_TURN,   ///< safe; its route alternates between two services
  SOAK_ADDED,  ///< safe; to a route that some version has added
  SOAK_UPLOAD, ///< upload: runs at most once; large body, also chunked
  SOAK_KINDS
};

#define SOAK_ACCOUNTS 4
#define SOAK_HOT_ACCOUNT 3 ///< sends many times its usual rate

enum soak_key
{
  SOAK_KEY_NONE,
  SOAK_KEY_PERMANENT, ///< of every version
  SOAK_KEY_TEMPORARY, ///< of the two versions of a generation
  SOAK_KEY_UNKNOWN    ///< of no version
};

enum proxy_side
{
  PROXY_PEERS,  ///< other nodes to the node
  PROXY_STORE,  ///< the node to the store
  PROXY_TARGET, ///< the node to its target
  PROXY_SIDES
};

struct soak;
struct soak_proxy;

/// A target, simulated by the soak, with its node.
struct soak_target
{
  struct soak *soak;
  struct soak_node *node;
  struct http_server server;
  struct event heartbeat;
  struct event change; ///< next state change of a crash or a leave
  char instance[32];
  unsigned incarnation;
  uint64_t sequence;
  bool up;
  bool leaving;
  bool leave_acknowledged;  ///< the node acknowledged that it leaves
  uint64_t acknowledged_ms; ///< time of that
  size_t running;
  uint32_t slow_factor;     ///< 1: normal speed
  uint32_t shed_permille;   ///< refused with 503 although slots are free
  uint32_t fail_permille;   ///< run, then answered with 500
  uint32_t abort_permille;  ///< run, then the connection is closed
  uint32_t garble_permille; ///< run, then answered with the response of
                            ///< another request or a truncated one
};

struct soak_node
{
  struct soak *soak;
  size_t index;
  char name[32];
  size_t service;
  struct soak_target target;
  struct soak_proxy *proxies[PROXY_SIDES];
  pid_t process; ///< 0: not running
  unsigned starts;
  uint64_t started_ms;
  uint64_t restart_ms; ///< time of the restart; 0: none is planned
  uint32_t grace_ms;   ///< of the running process
  uint64_t kill_ms;    ///< end of the grace period; 0: not terminating
  bool exit_expected;
  uint64_t faulty_until_ms; ///< end of the last unplanned fault on it
  uint64_t planned_until_ms;
  bool ready;
  struct http_exchange *ready_poll; ///< in flight, or NULL
  unsigned newest_version;  ///< newest that this process has shown in force
  struct event send_timer;  ///< next request of its callers
  struct http_pool callers; ///< persistent connections of its callers
};

struct soak_options
{
  uint64_t seed;
  unsigned seconds;
  unsigned nodes;
  unsigned base_port;
  unsigned calls_per_s;  ///< through all nodes together
  bool large_uploads;    ///< some uploads are larger than 1 MiB
  const char *program;   ///< executable of the sidecar
  const char *directory; ///< settings and logs of the processes
};

struct soak
{
  struct soak_options options;
  struct event_base *base;
  struct rng rng;
  uint64_t started_ms;
  uint64_t faults_end_ms; ///< from then on there are no faults
  struct soak_node nodes[SOAK_NODES_MAX];
  size_t node_count;
  uint64_t faulty_until_ms;       ///< end of the last unplanned fault
  uint64_t store_faulty_until_ms; ///< end of the last fault of the store
  uint64_t stalled_until_ms;      ///< end of the last stall of the soak itself
  struct event hot_timer;         ///< next request of the hot account
  struct event tick;
  uint64_t tick_ms;
  bool stopping;
  size_t violations;
};

/// Reports the violation of a guarantee: to the log, and to standard output.
void soak_violation (struct soak *soak, const char *guarantee,
                     const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// Writes an event to the log of the run.
void soak_log (struct soak *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// @return true if no unplanned fault and no stall of the soak occurred in the
///         SOAK_STABLE_MS before `since_ms`
bool soak_is_stable (const struct soak *soak, uint64_t since_ms);

/// @return true if a node has run for SOAK_STABLE_MS before `since_ms` without
///         a fault of it or the store, and without a stall of the soak
bool soak_node_is_stable (const struct soak_node *node, uint64_t since_ms);

/* soak_proxy.c: loopback proxies on the connections of a node. */

/// @param listen,forward  ports on loopback
struct soak_proxy *soak_proxy_new (struct event_base *base, uint16_t listen,
                                   uint16_t forward);
void soak_proxy_free (struct soak_proxy *proxy);

/// Starts or stops listening, together with the server behind the proxy.
void soak_proxy_open (struct soak_proxy *proxy, bool open);

/// Delays the data of both directions; 0: no delay.
void soak_proxy_delay (struct soak_proxy *proxy, uint32_t delay_ms);

/// Blocks one direction: its data is kept until the block ends.
/// @param direction  0: to the server, 1: from the server, -1: ends the block
void soak_proxy_block (struct soak_proxy *proxy, int direction);

/// Resets all open connections.
void soak_proxy_reset (struct soak_proxy *proxy);

/// Open connections forward nothing any more and stay open; new ones work.
void soak_proxy_stall (struct soak_proxy *proxy);

/* soak_process.c: the processes of the sidecars. */

/// Writes the settings and starts the process of a node.
void soak_process_start (struct soak_node *node);

/// Sends a signal to the process of a node, if it runs.
void soak_process_signal (struct soak_node *node, int number);

/// Reaps processes that have ended, kills those whose grace period is over,
/// and starts those whose restart is due.
void soak_process_tick (struct soak *soak);

/// Kills all processes of nodes and waits for their end.
void soak_process_kill_all (struct soak *soak);

/* soak_store.c: the platform's store, and configurations of its operator. */
enum status soak_store_start (struct soak *soak);
void soak_store_stop (struct soak *soak);
void soak_store_set_unavailable (bool unavailable);
void soak_store_set_unresponsive (bool unresponsive);
void soak_store_set_slow (uint32_t ms);
void soak_store_set_lossy (uint32_t permille);
void soak_store_expire_leases (void);
void soak_store_compact_history (void);

/// Restores the store from a copy that is up to 4 s old; the operator writes
/// again what it had written since.
void soak_store_restore (struct soak *soak);
uint64_t soak_store_calls (void);

/// Writes the next version of the configuration to the store.
void soak_store_next_version (struct soak *soak);

/// @return the newest version that was written by a time; 0: none
unsigned soak_store_version_at (uint64_t when_ms);

/// @return the service that the route of SOAK_TURN has in a version
size_t soak_store_turn_service (unsigned version);

/* soak_target.c: the targets. */
enum status soak_target_start (struct soak_node *node);
void soak_target_stop (struct soak_node *node);
void soak_target_crash (struct soak_node *node, uint32_t down_ms);
void soak_target_leave (struct soak_node *node);
/// Its node has acknowledged that a target leaves.
void soak_target_leave_acknowledged (struct soak_target *target);

/* soak_heartbeat.c */
void soak_heartbeat_start (struct soak_target *target);
/// Cancels the heartbeats of a target that are in flight.
void soak_heartbeat_stop (struct soak_target *target);
/// Closes the connections after the heartbeats of all targets have stopped.
void soak_heartbeat_finish (void);

/* soak_ledger.c: a record of every request and its outcome. */
struct soak_request
{
  uint64_t id;
  enum soak_kind kind;
  size_t node;      ///< index of the node that it was sent to
  unsigned version; ///< of the route, for SOAK_ADDED
  size_t account;   ///< that the key belongs to
  enum soak_key key;
  unsigned key_generation; ///< of a temporary key
  size_t body_size;
  bool chunked;
  bool truncated; ///< its caller sends a part of the body only
  uint64_t first_run_ms;
  uint64_t sent_ms;
  uint64_t cancelled_ms; ///< when the caller cancelled it; 0: it did not
  uint64_t ended_ms;
  unsigned status; ///< of the response; 0: none
  unsigned runs;
  unsigned arrivals;
  unsigned process_start; ///< `starts` of the node when it was sent
};

/// @return true if requests of a kind run at most once
bool soak_runs_once (enum soak_kind kind);

void soak_ledger_init (void);
void soak_ledger_finish (void);
struct soak_request *soak_ledger_add (enum soak_kind kind, size_t node,
                                      uint64_t now_ms);

/// @param text  id as on the wire, or NULL
/// @return NULL if no caller sent this id
struct soak_request *soak_ledger_find (const char *text);

/// @return the request with this number, or NULL behind the last one
const struct soak_request *soak_ledger_at (size_t index);
void soak_ledger_id (const struct soak_request *request, char text[32]);

/// Counts a repeated send: a later arrival of a request at a target.
void soak_ledger_count_repeat (size_t service, uint64_t now_ms);

/// Checks the guarantees that need the whole run, and prints the summary.
void soak_ledger_check (struct soak *soak);

/// Body callback for responses of which only the status is used.
void soak_ignore_body (void *arg, const char *data, size_t size);

/* soak_callers.c */
void soak_callers_start (struct soak_node *node);
void soak_callers_stop (struct soak_node *node);

/// @return size of the response in bytes, a function of the request's id and
///         kind
size_t soak_answer_size (const struct soak_request *request);

/// Generates the bytes at an offset of the body that belongs to an id.
void soak_fill_body (uint64_t id, size_t offset, char *bytes, size_t size);

/// Starts the additional requests of the hot account, through all nodes.
void soak_callers_start_hot (struct soak *soak);
void soak_callers_stop_hot (struct soak *soak);

/* soak_accounts.c */

/// Appends the accounts of a version to the text of its configuration.
void soak_accounts_write (const struct soak *soak, unsigned version,
                          struct evbuffer *text);

/// @return true if the route of a kind of requests needs a key
bool soak_needs_key (enum soak_kind kind);

/// Chooses the account and key of a request.
/// @param hot  true: the hot account, with its permanent key
void soak_accounts_choose (struct soak *soak, struct soak_request *request,
                           bool hot);

/// Appends the header lines of a request's key, some with a forged account.
void soak_accounts_write_fields (const struct soak_request *request,
                                 struct evbuffer *bytes);

/// Checks key and account of a request that a target runs.
void soak_accounts_check_run (struct soak *soak, const struct http_head *head,
                              const struct soak_request *request);

/// Checks that a request which got 401 may have had no valid key.
void soak_accounts_check_denied (struct soak *soak,
                                 const struct soak_request *request);

/// @return true if a request sent without faults and changes of the
///         configuration got the response that its key and account call for
bool soak_accounts_is_expected (const struct soak_request *request);

/// @return requests per second that the hot account adds to its usual ones
unsigned soak_accounts_hot_rate (const struct soak *soak);

/// @return node that it sends the next of them through, or NULL now
struct soak_node *soak_accounts_hot_node (struct soak *soak);

/// Checks the bounds of the quotas, and logs what the accounts sent and got.
void soak_accounts_check (struct soak *soak);

/* soak_faults.c */
void soak_faults_start (struct soak *soak);
void soak_faults_end (struct soak *soak);
void soak_faults_stop (void);

extern const char *const soak_services[SOAK_SERVICES];
extern const char *const soak_paths[SOAK_KINDS];

uint16_t soak_port (const struct soak_node *node, unsigned use);

/// Ports of a node, as offsets from its first port.
enum soak_port_use
{
  SOAK_PORT_CALLS,
  SOAK_PORT_PEERS,
  SOAK_PORT_READY,
  SOAK_PORT_REPORTS,
  SOAK_PORT_TARGET,
  SOAK_PORT_METRICS,
  SOAK_PORT_PROXY, ///< the first of PROXY_SIDES ports
  SOAK_PORTS = SOAK_PORT_PROXY + PROXY_SIDES
};

#endif
