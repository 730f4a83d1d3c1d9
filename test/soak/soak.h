/// Fault soak: runs sidecars as separate processes on loopback beside a store,
/// targets and callers of its own, injects faults from outside, and checks
/// what callers and targets see. One file for each part.
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

/// Bounds of the platform's settings, milliseconds.
#define SOAK_STABLE_MS 3000
#define SOAK_CONFIG_APPLY_MS 2000
#define SOAK_DRAIN_MS 2000
#define SOAK_GRACE_MS 6000
#define SOAK_RECOVER_MS 15000
#define SOAK_TIMEOUT_MS 1500
#define SOAK_TIMEOUT_SLACK_MS 500
#define SOAK_GONE_MS 500
#define SOAK_BUDGET_WINDOW_MS 10000

enum soak_kind
{
  SOAK_READ,  ///< safe
  SOAK_SEAL,  ///< at most once
  SOAK_SHEET, ///< large answer
  SOAK_TURN,  ///< safe; its service changes with each version
  SOAK_ADDED, ///< safe; on the route that the newest version added
  SOAK_KINDS
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

/// A target: the program that a node stands beside.
struct soak_target
{
  struct soak *soak;
  struct soak_node *node;
  struct http_server server;
  struct event beat;
  struct event change; ///< the next step of a crash or of a leave
  char instance[32];
  unsigned incarnation;
  uint64_t sequence;
  bool up;
  bool leaving;
  bool leave_told;          ///< its leaving was acknowledged
  uint64_t acknowledged_ms; ///< when
  size_t running;
  uint32_t slow_factor;     ///< 1: normal speed
  uint32_t shed_permille;   ///< refused although slots are free
  uint32_t fail_permille;   ///< answered 500
  uint32_t lose_permille;   ///< run, then the connection is closed
  uint32_t garble_permille; ///< stray bytes behind the answer, or a cut one
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
  uint64_t restart_ms; ///< when it is started again; 0: not planned
  uint64_t kill_ms;    ///< end of the grace period; 0: not stopping
  bool expected_to_end;
  uint64_t harmed_until_ms; ///< last moment of an unplanned fault on it
  uint64_t planned_until_ms;
  bool ready;
  unsigned newest_version; ///< of which an effect was seen, this incarnation
  struct event think;
  struct http_pool callers; ///< kept connections of this node's callers
};

struct soak_options
{
  uint64_t seed;
  unsigned seconds;
  unsigned nodes;
  unsigned base_port;
  unsigned calls_per_s;  ///< of all nodes
  const char *program;   ///< the sidecar
  const char *directory; ///< settings and logs of the processes
};

struct soak
{
  struct soak_options options;
  struct event_base *base;
  struct rng rng;
  uint64_t started_ms;
  uint64_t faults_end_ms; ///< from here on everything is healed
  struct soak_node nodes[SOAK_NODES_MAX];
  size_t node_count;
  uint64_t harmed_until_ms;       ///< last moment of any unplanned fault
  uint64_t store_harmed_until_ms; ///< last moment of a fault of the store
  uint64_t stalled_until_ms;      ///< this program itself was late
  struct event tick;
  uint64_t tick_ms;
  bool stopping;
  size_t violations;
};

/// Reports a broken promise.
void soak_violation (struct soak *soak, const char *promise,
                     const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// Notes an event in the run's own log.
void soak_note (struct soak *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// @return true when no unplanned fault touched anything for a stable window
///         before `since_ms`
bool soak_is_calm (const struct soak *soak, uint64_t since_ms);

/// @return true when a node and the store were without a fault for a stable
///         window before `since_ms`
bool soak_in_touch (const struct soak_node *node, uint64_t since_ms);

/* soak_proxy.c: a loopback proxy on each connection path of a node. */

/// @param listen,forward  ports on loopback
struct soak_proxy *soak_proxy_new (struct event_base *base, uint16_t listen,
                                   uint16_t forward);
void soak_proxy_free (struct soak_proxy *proxy);

/// Stops or starts listening, as the process behind it does.
void soak_proxy_open (struct soak_proxy *proxy, bool open);

/// Delays both directions; 0: none.
void soak_proxy_delay (struct soak_proxy *proxy, uint32_t delay_ms);

/// Holds one direction's bytes until it is healed.
/// @param direction  0: towards the server, 1: back, -1: none
void soak_proxy_cut (struct soak_proxy *proxy, int direction);

/// Resets all open connections.
void soak_proxy_reset (struct soak_proxy *proxy);

/// Open connections pass nothing any more and stay open; new ones work.
void soak_proxy_silence (struct soak_proxy *proxy);

/* soak_process.c: the system's processes. */

/// Writes the settings and starts the process of a node.
void soak_process_start (struct soak_node *node);

/// Sends a signal to the process, if it runs.
void soak_process_signal (struct soak_node *node, int number);

/// Collects processes that ended, and starts those whose time has come.
void soak_process_tick (struct soak *soak);

/// Ends all processes that were started.
void soak_process_end_all (struct soak *soak);

/* soak_store.c: the platform's store and the operator. */
enum status soak_store_start (struct soak *soak);
void soak_store_stop (struct soak *soak);
void soak_store_set_away (bool away);
void soak_store_set_silent (bool silent);
void soak_store_set_slow (uint32_t ms);
void soak_store_set_lossy (uint32_t permille);
void soak_store_lapse_leases (void);
void soak_store_forget_history (void);
uint64_t soak_store_calls (void);

/// Sends the next version of the configuration.
void soak_store_next_version (struct soak *soak);

/// @return the newest version that was acknowledged before a time
unsigned soak_store_version_at (uint64_t when_ms);

/// @return service of the route whose service changes, at a version
size_t soak_store_turn_service (unsigned version);

/* soak_target.c: targets, and the ledger of what they ran. */
enum status soak_target_start (struct soak_node *node);
void soak_target_stop (struct soak_node *node);
void soak_target_crash (struct soak_node *node, uint32_t down_ms);
void soak_target_leave (struct soak_node *node);

/* soak_ledger.c: every request, with what happened to it. */
struct soak_request
{
  uint64_t id;
  enum soak_kind kind;
  size_t node;      ///< where it was sent
  unsigned version; ///< of the route, for SOAK_ADDED
  uint64_t sent_ms;
  uint64_t left_ms; ///< when the caller left; 0: it stayed
  uint64_t ended_ms;
  unsigned status; ///< of the answer; 0: none
  unsigned runs;
  unsigned arrivals;
  unsigned process_start; ///< number of the node's process
};

void soak_ledger_init (void);
void soak_ledger_finish (void);
struct soak_request *soak_ledger_add (enum soak_kind kind, size_t node,
                                      uint64_t now_ms);

/// @param text  id as it is sent, or NULL
/// @return NULL when no caller sent this id
struct soak_request *soak_ledger_find (const char *text);
void soak_ledger_id (const struct soak_request *request, char text[32]);

/// Notes an arrival at a target beyond the first.
void soak_ledger_count_repeat (size_t service, uint64_t now_ms);

/// Checks what can only be known at the end.
void soak_ledger_check (struct soak *soak);

/// Drops the body of an answer that matters by its status only.
void soak_ignore_body (void *arg, const char *data, size_t size);

/* soak_callers.c */
void soak_callers_start (struct soak_node *node);
void soak_callers_stop (struct soak_node *node);

/// @return bytes of a request's answer, a function of its id and kind
size_t soak_answer_size (const struct soak_request *request);
size_t soak_body_size (const struct soak_request *request);

/// Fills in the bytes that belong to an id from an offset on.
void soak_fill (uint64_t id, size_t offset, char *bytes, size_t size);

/* soak_faults.c */
void soak_faults_start (struct soak *soak);
void soak_faults_heal (struct soak *soak);

extern const char *const soak_services[SOAK_SERVICES];
extern const char *const soak_paths[SOAK_KINDS];

uint16_t soak_port (const struct soak_node *node, unsigned use);

/// Uses of a node's ports.
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
