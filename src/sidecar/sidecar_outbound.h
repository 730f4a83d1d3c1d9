/// One request of a caller on this VM, from its arrival to the end of the
/// response.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_OUTBOUND_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_OUTBOUND_H

#include "coordination/resend.h"
#include "protocol/hop.h"
#include "sidecar/sidecar.h"
#include "sidecar/sidecar_account.h"
#include "sidecar/sidecar_quota.h"
#include "sidecar/sidecar_upload.h"

/// Largest response, bytes, that is buffered until it is complete, so that the
/// request can be retried when the response is cut short. Larger ones and
/// those without a Content-Length are forwarded as they arrive; a 5xx response
/// is forwarded, and no longer retried, once it exceeds this size.
#define OUTBOUND_BUFFER_BYTES_MAX (16u * 1024)

/// Bytes of a response that is not passed on after which its connection is
/// closed: they may come without end.
#define OUTBOUND_DISCARD_BYTES_MAX (64u * 1024)

/// From this size on, the responses of a route are no longer held back: the
/// requests behind them on their connection wait instead.
#define OUTBOUND_LARGE_RESPONSE_BYTES (1024u * 1024)

/// This fraction (1 / 8) of the process's memory may be used for responses
/// that are held back.
#define OUTBOUND_HELD_DIVISOR 8

struct sidecar_outbound
{
  struct sidecar *sidecar;
  struct http_request *request;
  struct http_exchange *exchange; ///< NULL between two attempts
  struct event timer;             ///< fires when the request times out
  TAILQ_ENTRY (sidecar_outbound) link;
  const char *id; ///< in the request's arena
  char route[64];
  char service[DIRECTORY_NAME_MAX + 1];
  /// Name of the client account, in the request's arena; NULL: none.
  const char *account;
  bool needs_key;          ///< the key is checked again before each attempt
  uint64_t config_version; ///< of the configuration that chose the route
  struct resend retry;     ///< attempts so far
  uint32_t rank;           ///< priority of the account or route, 0 is the most
                           ///< urgent
  uint32_t kind;           ///< hash of the route's name
  uint64_t arrived_ms;
  uint64_t objective_ms;  ///< when the route's latency objective is exceeded
  uint64_t respond_by_ms; ///< when the request times out at this node
  uint64_t run_by_ms;   ///< its limit without a stop, which the target is told
  uint64_t body_by_ms;  ///< limit of a response that is being sent, also at
                        ///< a stopping node
  uint64_t deadline_ms; ///< when the caller gives up
  size_t tried[PLACEMENT_TRIED_MAX]; ///< handles of the nodes tried so far
  size_t tried_count;
  size_t node; ///< handle of the node of the current attempt
  uint64_t node_serial;
  uint64_t sent_us;           ///< start of the current attempt
  uint64_t retry_after_ms;    ///< smallest that a node asked for; 0: none
  const char *not_run_reason; ///< last reason for not running; static text
  bool reported;              ///< the current attempt's result was counted
  bool forwarding;            ///< the response's head was forwarded
  bool not_run;               ///< the response says that it was not executed
  bool target_failed;         ///< the response is a 5xx of the target
  bool unusable;              ///< the response is not the target's own
  struct http_head *response; ///< response head, child of the request's arena
  struct evbuffer *buffered;  ///< buffered body, NULL until needed
  size_t discarded;           ///< bytes of a body that is not passed on
  size_t forwarded;           ///< bytes of a body that is passed on
  struct sidecar_upload upload; ///< of a streamed body
  bool answered;                ///< the response is complete; the rest of the
                                ///< body is still forwarded
  struct quota_waiter quota;    ///< token of the account's quota
};

/// Once the head of a response was forwarded, its body may take this much
/// longer than the route's timeout. The platform tolerates 500 ms.
#define OUTBOUND_OVERTIME_MS 350

/* sidecar_outbound.c */

/// Describes a request of a caller to placement, except for the version and
/// the nodes that were tried.
/// @param objective_ms  time left until the latency objective
void sidecar_outbound_describe (const struct sidecar *sidecar,
                                const char *service,
                                enum mesh_retry_class retry_class,
                                uint32_t objective_ms, uint64_t body_bytes,
                                struct placement_request *request);

/// @return the directory record of the current attempt's node, or NULL when it
///         is no longer in the directory
struct directory_record *
sidecar_outbound_node (struct sidecar_outbound *outbound);

/// Records the result of the current attempt for the choice of later nodes;
/// has no effect after the first call for an attempt.
void sidecar_outbound_report_result (struct sidecar_outbound *outbound,
                                     enum placement_result result);

/// Takes back a forwarded response of which the caller has received nothing.
/// @return false if a part was sent
bool sidecar_outbound_take_back (struct sidecar_outbound *outbound);

/// Forwards the response head and the buffered body; later pieces are
/// forwarded as they arrive.
void sidecar_outbound_start_forwarding (struct sidecar_outbound *outbound);

/// Ends the request with the target's response.
void sidecar_outbound_end_answered (struct sidecar_outbound *outbound);

/// Ends the request with an error response of this node, or cuts a response
/// that was started.
/// @param status  of that error response
/// @param reason  static text for the response and the log
void sidecar_outbound_end_failed (struct sidecar_outbound *outbound,
                                  unsigned status, const char *reason);

/// Retries or ends the request after an attempt without a successful response.
/// @param reason  static text for the response and the log
void sidecar_outbound_retry_or_end (struct sidecar_outbound *outbound,
                                    enum resend_event event,
                                    const char *reason);

/* sidecar_outbound_request.c */

/// Serializes the request for the node of the chosen target, without a body
/// that is streamed.
/// @return NULL if memory is exhausted
struct evbuffer *
sidecar_outbound_build_request (struct sidecar_outbound *outbound,
                                const struct directory_record *record,
                                uint64_t now_ms);

/* sidecar_outbound_upload.c */

/// Callbacks of an attempt whose body is streamed.
void sidecar_outbound_proceed (void *arg);
void sidecar_outbound_forward (void *arg);

/// Ends a request that was answered before its body was read.
void sidecar_outbound_end_upload (struct sidecar_outbound *outbound);

/// @return true when a timed out request certainly has not run
bool sidecar_outbound_is_not_run (const struct sidecar_outbound *outbound);

/* sidecar_outbound.c */
void sidecar_outbound_release (struct sidecar_outbound *outbound);

/* sidecar_outbound_stop.c */

/// Ends a request of whose response nothing was sent when a stopping node
/// gives such requests up, at the latest.
/// @return true if that is sooner than before; the caller starts the timer
bool sidecar_outbound_limit_to_stop (struct sidecar_outbound *outbound);

/// @return time left in which a stopping node needs whole responses; 0 while
///         it doesn't stop
uint32_t sidecar_outbound_whole_ms (const struct sidecar *sidecar,
                                    uint64_t now_ms);

/// Logs how far a response has come.
/// @param event  constant name
void sidecar_outbound_log_progress (const struct sidecar_outbound *outbound,
                                    const char *event);

/* sidecar_outbound_response.c */
extern const struct http_exchange_ops sidecar_outbound_exchange_ops;

#endif
