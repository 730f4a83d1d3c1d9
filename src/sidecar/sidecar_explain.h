/// Answers operators who ask where a request would be sent now, and why. The
/// functions that decide on a request also explain it; all state that a
/// decision changes, random numbers included, is used as a copy.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_EXPLAIN_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_EXPLAIN_H

#include "sidecar/sidecar.h"
#include "state/client_account.h"

#include <jansson.h>

/// Answers a request for EXPLAIN_PATH.
void sidecar_explain_serve (struct sidecar *sidecar,
                            struct http_request *request);

/// The functions below return new references, or NULL without memory.

/* sidecar_explain_nodes.c */

/// Describes a decision of placement.
json_t *sidecar_explain_decision (const struct sidecar *sidecar,
                                  const struct placement_decision *decision);

/// Lists the nodes of the request's service, those that were compared first.
/// @param omitted  set to the number of nodes beyond the limit of the list
json_t *sidecar_explain_nodes (const struct sidecar *sidecar,
                               const struct placement_request *request,
                               const struct placement_decision *decision,
                               uint64_t now_ms, size_t *omitted);

/* sidecar_quota_explain.c */

/// Describes the quota of an account: which node decides on it, its rate and
/// burst, and the counts of its requests at this node.
/// @return null for an account without a quota
json_t *sidecar_quota_explain (const struct sidecar *sidecar,
                               const struct client_account *account);

#endif
