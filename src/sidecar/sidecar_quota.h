/// Quotas of client accounts over all nodes. The entry node of a request
/// admits it from the share that the owner of its account's quota has leased
/// to it, or asks the owner; see coordination/quota_owner.h and
/// coordination/quota_share.h for the decisions.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_H

#include "coordination/quota_share.h"
#include "sidecar/sidecar.h"
#include "state/client_account.h"

enum quota_decision
{
  QUOTA_WAIT,       ///< on_decision will be called
  QUOTA_ADMIT,      ///< the request may be sent
  QUOTA_REJECT,     ///< over the quota
  QUOTA_UNAVAILABLE ///< no decision in time
};

struct quota_account;
struct quota_waiter;

/// @param retry_ms  time after which a rejected request may find a token
typedef void (*quota_on_decision) (struct quota_waiter *waiter,
                                   enum quota_decision decision,
                                   uint32_t retry_ms);

/// A request that has asked for a token; owned by the caller,
/// zero-initialized.
struct quota_waiter
{
  struct quota_account *account; ///< NULL: nothing was asked
  bool waiting;
  struct quota_token token;
  quota_on_decision on_decision;
  uint64_t until_ms; ///< latest time of the decision
  TAILQ_ENTRY (quota_waiter) link;
};

enum status sidecar_quota_start (struct sidecar *sidecar);
void sidecar_quota_stop (struct sidecar *sidecar);

/// Asks for a token for a request.
/// @param account    with a limit, of the configuration in force
/// @param left_ms    time until the request times out
/// @param retry_ms   set for a rejected request
/// @return QUOTA_WAIT when on_decision will be called, from the event loop;
///         else the decision
enum quota_decision
sidecar_quota_acquire (struct sidecar *sidecar,
                       const struct client_account *account, uint64_t left_ms,
                       quota_on_decision on_decision,
                       struct quota_waiter *waiter, uint32_t *retry_ms);

/// Ends the use of a waiter: a waiting request is cancelled. Has no effect
/// after the first call.
/// @param ran  false when the request did not run; its token is returned
void sidecar_quota_release (struct sidecar *sidecar,
                            struct quota_waiter *waiter, bool ran);

/// Answers a request of another node.
void sidecar_quota_serve (struct sidecar *sidecar,
                          struct http_request *request);

/// Reports to the owners, and hands over what this node no longer owns.
void sidecar_quota_tick (struct sidecar *sidecar);

/// Hands over all quotas that this node owns: it is shutting down.
void sidecar_quota_stopping (struct sidecar *sidecar);

/// Appends the counts of each account in the text format of the metrics.
void sidecar_quota_metrics (const struct sidecar *sidecar,
                            struct evbuffer *text);

#endif
