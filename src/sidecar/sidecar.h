/// The sidecar: one process beside each target on a platform that has a store
/// and no machines for control. Each part is owned by one file.
///
/// A caller's request comes in at the entry (sidecar_entry.c), is offered to
/// the nodes of its service, and runs behind the gate of one of them
/// (sidecar_run.c). sidecar_store.c and sidecar_relay.c keep the configuration
/// and the directory in step with the store, sidecar_target.c the state of the
/// own target, sidecar_move.c the moves to new target versions.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_H

#include "base/counter.h"
#include "base/rng.h"
#include "coordination/gate.h"
#include "coordination/place.h"
#include "coordination/quota.h"
#include "coordination/transfer.h"
#include "protocol/adapter.h"
#include "sidecar/sidecar_settings.h"
#include "state/directory.h"
#include "state/mesh_config.h"
#include "transport/http_pool.h"
#include "transport/http_server.h"
#include "transport/store_client.h"

#include <event2/event.h>
#include <event2/event_struct.h>
#include <sys/queue.h>

/// Keys of the project, behind the adapter's prefix for them.
#define OWN_NODE "node/"
#define OWN_MOVE "move/"
#define OWN_CRASH "crash/"

/// Largest request body that is held, bytes; the configuration may allow less.
#define SIDECAR_BODY_MAX (8u * 1024 * 1024)

/// Bytes of an answer that wait for a slow reader before its sender is paused.
#define SIDECAR_BACKLOG_MAX (64u * 1024)

/// After SIGTERM callers leave once two readiness questions, a second apart,
/// were answered "no". Until then their requests are served, later ones are
/// refused: they could not end within the grace period.
#define SIDECAR_STOP_SERVE_MS 2900

/// A stopping node gives a final answer to what has not begun to be answered
/// when a seventh of the grace period is left. The platform counts nothing
/// against it that its target still works on in the last sixth.
#define SIDECAR_STOP_ANSWER_DIVISOR 7

/// Until this long after SIGTERM the target beside the node still gets
/// requests of other nodes: it goes on running, and has no other way to them.
#define SIDECAR_STOP_PEERS_MS 2400

struct sidecar_entry;
TAILQ_HEAD (sidecar_entries, sidecar_entry);

struct sidecar_store;
struct sidecar_moves;
struct sidecar_crashes;

/// What the node knows of the target beside it.
struct sidecar_target
{
  bool known;    ///< a report was accepted
  bool draining; ///< it said that it leaves
  bool gone;     ///< it said that it ends, or it refused connections
  struct target_report report;
  uint64_t heard_ms;    ///< last report
  uint64_t draining_ms; ///< when its leaving was acknowledged
  uint32_t cold_ms;     ///< how long it was said to be slow at its start
  unsigned refusals;    ///< connections that it refused in a row
};

struct sidecar
{
  struct event_base *base;
  struct sidecar_settings settings;
  const char *settings_path;
  int64_t settings_changed_ns; ///< modification time of the settings file
  uint64_t settings_checked_ms;
  const struct adapter_ops *adapter;
  struct rng rng;
  uint64_t epoch;             ///< start of the process, wall ms
  struct mesh_config *config; ///< NULL until one was read
  uint64_t config_ms;         ///< when it came into force
  struct directory directory;
  struct quota_table quotas;
  struct sidecar_target target;
  struct gate gate;
  struct transfer_line transfers; ///< of large answers of the own target
  struct sidecar_entries entries; ///< requests of callers in progress
  struct http_server calls;       ///< from callers on this VM
  struct http_server peers;       ///< from other nodes
  struct http_server ready;       ///< the platform's readiness question
  struct http_server reports;     ///< from the target
  struct http_server metrics;
  struct http_pool peer_pool;
  struct http_pool target_pool;
  struct store_client store_client;
  struct sidecar_store *store;
  struct sidecar_moves *moves;
  struct sidecar_crashes *crashes;
  struct event tick;
  struct event log_timer;
  bool stopping;
  uint64_t stopping_ms;
};

/* sidecar_entry.c */
extern const struct http_server_ops sidecar_entry_ops;

/// Lets no request wait for an answer to begin until the process is ended.
void sidecar_entry_stopping (struct sidecar *sidecar);

/* sidecar_run.c */
extern const struct http_server_ops sidecar_run_ops;
extern const struct gate_ops sidecar_gate_ops;
extern const struct transfer_ops sidecar_transfer_ops;

/// Ends the requests at the target that must not go on.
void sidecar_run_tick (struct sidecar *sidecar);

/* sidecar_target.c */
extern const struct http_server_ops sidecar_report_ops;

/// Applies the target's state to the gate, and announces it when it changed.
void sidecar_target_update (struct sidecar *sidecar);

/// Notes that the target refused a connection.
void sidecar_target_refused (struct sidecar *sidecar);
void sidecar_target_tick (struct sidecar *sidecar);

/// @return the node's entry as it is announced
void sidecar_target_entry (const struct sidecar *sidecar,
                           struct directory_entry *entry);

/* sidecar_store.c */
enum status sidecar_store_start (struct sidecar *sidecar);
void sidecar_store_stop (struct sidecar *sidecar);
/// Announces the node's entry soon.
void sidecar_store_announce (struct sidecar *sidecar);
/// Asks another node for its view of the store, when this one has none.
/// @param address,port  where the node takes calls of other nodes
void sidecar_store_ask_peer (struct sidecar *sidecar, uint32_t address,
                             uint16_t port);

/// Answers another node's question for the view.
void sidecar_store_answer (struct sidecar *sidecar,
                           struct http_request *request);

/* sidecar_relay.c */

/// Answers another node's question for changes, now or when there are some.
void sidecar_relay_answer (struct sidecar *sidecar,
                           struct http_request *request);

/// Forgets a question whose node has gone.
void sidecar_relay_gone (struct sidecar *sidecar,
                         struct http_request *request);

/* sidecar_store.c */

/// Publishes a crash of the own target for as long as the node's lease lasts.
void sidecar_store_publish_crash (struct sidecar *sidecar, const char *text,
                                  size_t size);

/// @return true while the store cannot be reached
bool sidecar_store_is_away (const struct sidecar *sidecar);
void sidecar_store_tick (struct sidecar *sidecar);

/* sidecar_move.c */
enum status sidecar_moves_start (struct sidecar *sidecar);
void sidecar_moves_stop (struct sidecar *sidecar);

/// Decides which version of a service the next request may go to.
/// @param kind      hash of the route
/// @param repeated  the request was sent before: it goes to the proven version
void sidecar_moves_choose (struct sidecar *sidecar, const char *service,
                           uint32_t kind, bool repeated,
                           struct place_version *version);

/// @return true while a move runs: its steps and its end are to spread fast
bool sidecar_moves_is_running (const struct sidecar *sidecar);

/// @return true while this node drives a move; another one is to take over
///         when it stops
bool sidecar_moves_is_driving (const struct sidecar *sidecar);

/// @return true when the own target's version must not get requests
bool sidecar_moves_bars_target (const struct sidecar *sidecar);

/// Counts the outcome of a request at the own target.
void sidecar_moves_observe (struct sidecar *sidecar, uint32_t kind,
                            bool failed, uint32_t latency_us);

/// Answers another node's question for the evidence of the own target.
void sidecar_moves_answer (struct sidecar *sidecar,
                           struct http_request *request);

/// Takes an order of the operators, or a record of a move, from the store.
/// @param service  named by the key
void sidecar_moves_on_order (struct sidecar *sidecar,
                             const struct store_key *key, const char *service);
void sidecar_moves_on_record (struct sidecar *sidecar,
                              const struct store_key *key,
                              const char *service);
void sidecar_moves_tick (struct sidecar *sidecar);

/* sidecar_crash.c */
enum status sidecar_crash_start (struct sidecar *sidecar);
void sidecar_crash_stop (struct sidecar *sidecar);

/// @param caller  service of the VM where the request began
/// @param target  path and query
/// @return what a request has in common with its repetitions, never 0
uint64_t sidecar_crash_fingerprint (const char *caller, const char *method,
                                    const char *target, struct evbuffer *body);

/// Notes that the answer of a request at the own target was lost.
void sidecar_crash_lost (struct sidecar *sidecar, uint64_t fingerprint);

/// Publishes the requests that were lost last: the target has died.
void sidecar_crash_confirmed (struct sidecar *sidecar);

/// Takes a record of a crash from the store.
void sidecar_crash_on_record (struct sidecar *sidecar,
                              const struct store_key *key);

/// @return true when a caller's request was in flight in two crashes
bool sidecar_crash_is_refused (struct sidecar *sidecar,
                               struct http_request *request);

/// Forgets a caller's request that was answered well.
void sidecar_crash_succeeded (struct sidecar *sidecar,
                              struct http_request *request);

/* sidecar_admin.c */
extern const struct http_server_ops sidecar_ready_ops;
extern const struct http_server_ops sidecar_metrics_ops;

/// @return true when callers may be sent to this node
bool sidecar_is_ready (const struct sidecar *sidecar);

#endif
