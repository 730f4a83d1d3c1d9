/// The sidecar: one process beside each target, for platforms that provide a
/// key-value store but no hosts for a control plane. Each part of the state is
/// owned by one file.
///
/// sidecar_outbound.c accepts the requests of callers on this VM and sends
/// each to a node of its service; sidecar_inbound.c of that node admits it and
/// passes it to the target. sidecar_store.c and sidecar_relay.c keep the
/// configuration and the directory in step with the store, sidecar_target.c
/// tracks the state of the local target, and sidecar_move.c carries out moves
/// to new target versions.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_H

#include "base/counter.h"
#include "base/rng.h"
#include "coordination/admission_queue.h"
#include "coordination/cold_limit.h"
#include "coordination/link_load.h"
#include "coordination/placement.h"
#include "coordination/retry_quota.h"
#include "coordination/stop_plan.h"
#include "coordination/target_speed.h"
#include "coordination/transfer.h"
#include "protocol/adapter.h"
#include "sidecar/sidecar_settings.h"
#include "state/directory.h"
#include "state/evacuation.h"
#include "state/mesh_config.h"
#include "state/target_history.h"
#include "transport/http_pool.h"
#include "transport/http_server.h"
#include "transport/store_client.h"

#include <event2/event.h>
#include <event2/event_struct.h>
#include <sys/queue.h>

/// Prefixes of the project's store keys; each follows adapter_ops.own_prefix.
#define NODE_KEY_PREFIX "node/"
#define MOVE_KEY_PREFIX "move/"
#define CRASH_KEY_PREFIX "crash/"

/// Largest request body at the addresses other than `calls`, bytes, and at
/// `peers` before the configuration states a larger one.
#define SIDECAR_BODY_BYTES_MAX (8u * 1024 * 1024)

/// Request body up to which it is buffered whole, bytes, so that the request
/// can be offered to another node. Larger ones are streamed.
#define SIDECAR_BUFFERED_BODY_BYTES_MAX (1024u * 1024)

/// First bytes of a streamed body that identify its request in crash records.
/// Enough to tell uploads with the same kind of header apart.
#define SIDECAR_FINGERPRINT_BYTES_MAX 4096u

/// Unsent response bytes of one request above which reading from the upstream
/// connection is paused.
#define SIDECAR_BACKLOG_BYTES_MAX (64u * 1024)

/// A longer gap between two ticks means that the process was paused.
#define SIDECAR_PAUSE_MS_MIN 1000

struct sidecar_outbound;
TAILQ_HEAD (sidecar_outbound_list, sidecar_outbound);

struct sidecar_store;
struct sidecar_moves;
struct sidecar_leaves;
struct sidecar_crashes;
struct sidecar_quota;

/// Acknowledgements of a target's leave that may wait for the store at once.
#define SIDECAR_LEAVE_ACKS_MAX 4

/// Acknowledgement that is held back until the leave is recorded: in the
/// store, or with another node.
struct sidecar_leave_ack
{
  struct http_request *request; ///< NULL: unused
  uint64_t received_ms;
};

/// State of the target beside this node.
struct sidecar_target
{
  struct target_history history; ///< from before this process started
  struct sidecar_leave_ack leave_acks[SIDECAR_LEAVE_ACKS_MAX];
  bool known;    ///< a report has been accepted
  bool draining; ///< the target announced that it is leaving
  bool gone;     ///< reports stopped, or connections were refused repeatedly
  struct target_report report; ///< newest accepted report
  uint64_t last_report_ms;     ///< time of the last report
  uint64_t draining_ms;        ///< when the leave was acknowledged; 0: unknown
  uint32_t cold_ms;            ///< warm-up time stated in the first report
  unsigned refusals;           ///< connections refused in a row
  struct cold_limit cold;      ///< rate of requests while it is cold
  struct link_load link;       ///< bodies of requests for it
  struct target_speed speed;   ///< service time at the usual speed
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
  uint64_t epoch;             ///< start of the process, wall-clock ms
  struct mesh_config *config; ///< NULL until a configuration was read
  uint64_t config_ms;         ///< when `config` came into force
  uint64_t config_revision;   ///< of the store, at which it was written
  struct directory directory;
  struct evacuation_set evacuations;
  struct retry_quota_table retry_quotas;
  struct sidecar_target target;
  struct admission_queue admission;
  struct transfer_scheduler
      transfers; ///< of large responses of the local target
  struct sidecar_outbound_list outbound; ///< requests of callers in progress
  struct memory_budget budget;           ///< of all servers and pools
  struct http_server calls;              ///< from callers on this VM
  struct http_server peers;              ///< from other nodes
  struct http_server ready;              ///< readiness probes of the platform
  struct http_server reports;            ///< state reports of the local target
  struct http_server metrics;
  struct http_pool peer_pool;
  struct http_pool target_pool;
  struct store_client store_client;
  struct sidecar_store *store;
  struct sidecar_leaves *leaves; ///< notices at this node, and calls to others
  struct sidecar_moves *moves;
  struct sidecar_crashes *crashes;
  struct sidecar_quota *quota;
  struct event tick;
  struct event log_timer;
  uint64_t last_tick_ms; ///< last periodic work; 0: none yet
  uint64_t resumed_us;   ///< end of the last pause of the process
  bool stopping;
  uint64_t stopping_ms;       ///< when the stop signal arrived
  struct stop_plan stop_plan; ///< times after `stopping_ms`
  struct event exit_timer;    ///< latest end of a stopping process
};

/* sidecar_outbound.c */
extern const struct http_server_ops sidecar_outbound_ops;

/// Shortens the timeouts of callers' requests whose response has not started,
/// so that each ends before the grace period does. Called when the node begins
/// to stop.
void sidecar_outbound_stopping (struct sidecar *sidecar);

/// Logs the requests of callers that the end of the process cuts.
void sidecar_outbound_log_cut (const struct sidecar *sidecar,
                               size_t lines_max);

/* sidecar_inbound.c */
extern const struct http_server_ops sidecar_inbound_ops;
extern const struct admission_queue_ops sidecar_admission_ops;
extern const struct transfer_ops sidecar_transfer_ops;

/// Updates the drain state of the admission queue, refuses waiting requests
/// that can no longer finish in time, and resumes delayed large responses.
void sidecar_inbound_tick (struct sidecar *sidecar);

/* sidecar_target.c */
extern const struct http_server_ops sidecar_report_ops;

/// Applies the target's state to the admission queue, logs it and announces it
/// in the store. Called after the state has changed.
void sidecar_target_update (struct sidecar *sidecar);

/// Applies the limits that the configuration in force has for cold targets.
void sidecar_target_limit_cold (struct sidecar *sidecar);

/// Closes or opens the admission queue after a change of the evacuations.
/// @param was_evacuated  before the change
void sidecar_target_note_evacuation (struct sidecar *sidecar,
                                     bool was_evacuated);

/// @return true while the zone of the local target is evacuated
bool sidecar_target_is_evacuated (const struct sidecar *sidecar);

/// Counts a connection that the target refused; several in a row mark the
/// target as gone.
void sidecar_target_refused (struct sidecar *sidecar);

/// Marks the target as gone when its reports have stopped. Turns to other
/// nodes, and in the end refuses, where a leave is not recorded in time.
void sidecar_target_tick (struct sidecar *sidecar);

/// Sends the acknowledgements of a leave: the store or another node has it
/// now, so a restart of this node does not lose it.
void sidecar_target_recorded (struct sidecar *sidecar);

/// Takes over what an earlier process of this node has announced about the
/// target.
void sidecar_target_restore (struct sidecar *sidecar,
                             const struct directory_entry *entry);

/// @param entry  set to the directory entry that this node announces
void sidecar_target_entry (const struct sidecar *sidecar,
                           struct directory_entry *entry);

/* sidecar_store.c */
enum status sidecar_store_start (struct sidecar *sidecar);
void sidecar_store_stop (struct sidecar *sidecar);

/// Schedules a write of this node's directory entry.
void sidecar_store_announce (struct sidecar *sidecar);

/// Requests another node's copy of the store's contents while the store is
/// unreachable, at limited frequency.
/// @param address,port  where that node accepts requests of other nodes
void sidecar_store_request_view (struct sidecar *sidecar, uint32_t address,
                                 uint16_t port);

/// Answers a request of another node for this node's copy of the store's
/// contents.
void sidecar_store_serve_view (struct sidecar *sidecar,
                               struct http_request *request);

/* sidecar_relay.c */

/// Answers a long poll of another node for changes, now or once there are
/// some.
void sidecar_relay_serve (struct sidecar *sidecar,
                          struct http_request *request);

/// Drops a long poll whose connection was closed by the other node.
void sidecar_relay_cancel (struct sidecar *sidecar,
                           struct http_request *request);

/* sidecar_store.c */

/// Publishes a crash record of the local target in the store, bound to this
/// node's lease.
void sidecar_store_publish_crash (struct sidecar *sidecar, const char *text,
                                  size_t size);

/// @return true once the contents of the store are known as they were after
///         this process started, or as another node knows them
bool sidecar_store_has_view (const struct sidecar *sidecar);

/// @return true when the view was compared with the store, or with a relay
///         that is in touch with it, within `config_apply`: a configuration
///         that should be in force is known
bool sidecar_store_is_current (const struct sidecar *sidecar);

/// @return true when the store has this node's current entry
bool sidecar_store_is_announced (const struct sidecar *sidecar);

/// @return true while the store is unreachable
bool sidecar_store_is_unreachable (const struct sidecar *sidecar);
void sidecar_store_tick (struct sidecar *sidecar);

/* sidecar_move.c */
enum status sidecar_moves_start (struct sidecar *sidecar);
void sidecar_moves_stop (struct sidecar *sidecar);

/// Decides which versions of a service the next request may go to.
/// @param kind      hash of the route's name
/// @param repeated  true for a retry, which goes to the old version while a
///                  move runs
void sidecar_moves_choose (struct sidecar *sidecar, const char *service,
                           uint32_t kind, bool repeated,
                           struct placement_version *version);

/// @return true while a move is in progress: its steps and its end have to
///         reach all nodes quickly
bool sidecar_moves_is_running (const struct sidecar *sidecar);

/// @return true while this node drives a move, which another node has to take
///         over when this one stops
bool sidecar_moves_is_driving (const struct sidecar *sidecar);

/// @return true when the local target's version must not receive requests
bool sidecar_moves_blocks_target (const struct sidecar *sidecar);

/// Counts the outcome of a request at the local target.
void sidecar_moves_observe (struct sidecar *sidecar, uint32_t kind,
                            bool failed, uint32_t latency_us);

/// Answers a request of another node for the outcome counts of the local
/// target.
void sidecar_moves_serve_evidence (struct sidecar *sidecar,
                                   struct http_request *request);

/// Applies an operator's move order as read from the store.
/// @param service  service named in the key
void sidecar_moves_on_order (struct sidecar *sidecar,
                             const struct store_key *key, const char *service);

/// Applies the record of a move as read from the store.
/// @param service  service named in the key
void sidecar_moves_on_record (struct sidecar *sidecar,
                              const struct store_key *key,
                              const char *service);
void sidecar_moves_tick (struct sidecar *sidecar);

/// Called when the store was restored from an older copy: records and statuses
/// that it lacks are written again.
void sidecar_moves_restored (struct sidecar *sidecar);

/* sidecar_crash.c */
enum status sidecar_crash_start (struct sidecar *sidecar);
void sidecar_crash_stop (struct sidecar *sidecar);

/// Reads the body; of a streamed one the first bytes, which must be in its
/// buffer.
/// @param caller  service on whose VM the request originated
/// @return hash that a request shares with its retries; 0, as improbable as
///         any other value, is never taken for a suspect
uint64_t sidecar_crash_fingerprint (const char *caller,
                                    const struct http_request *request);

/// @return true when requests are suspected, so that the first bytes of a
///         streamed one are needed
bool sidecar_crash_has_suspects (const struct sidecar *sidecar);

/// Remembers a request whose connection to the local target broke before a
/// response: it may have crashed the target.
void sidecar_crash_lost (struct sidecar *sidecar, uint64_t fingerprint);

/// Called when the target is known to have crashed: publishes the requests
/// that were lost last as suspects.
void sidecar_crash_confirmed (struct sidecar *sidecar);

/// Applies a crash record of another node as read from the store.
void sidecar_crash_on_record (struct sidecar *sidecar,
                              const struct store_key *key);

/// @return true when a caller's request is to be refused because it was in
///         flight in two crashes
bool sidecar_crash_is_refused (struct sidecar *sidecar,
                               struct http_request *request);

/// Removes a caller's request from the suspects after it succeeded, unless it
/// is already refused.
/// @param streamed_fingerprint  used for a streamed request, whose body is
/// gone
void sidecar_crash_succeeded (struct sidecar *sidecar,
                              struct http_request *request,
                              uint64_t streamed_fingerprint);

/* sidecar_admin.c */
extern const struct http_server_ops sidecar_ready_ops;
extern const struct http_server_ops sidecar_metrics_ops;

/// @return true when the node is ready for requests of callers
bool sidecar_is_ready (const struct sidecar *sidecar);

#endif
