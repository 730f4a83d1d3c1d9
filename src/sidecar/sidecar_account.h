/// Client account of a caller's request, decided at the node that the caller
/// sends it to. The node of the target takes the account's name from that
/// node, as it does the route.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_ACCOUNT_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_ACCOUNT_H

#include "sidecar/sidecar.h"
#include "state/client_account.h"

enum account_decision
{
  ACCOUNT_ACCEPTED,
  ACCOUNT_KEY_UNKNOWN, ///< no account has the key: final
  ACCOUNT_UNDECIDED    ///< no account has the key in this node's
                       ///< configuration, which may be too old to tell
};

/// Finds the account of a request by its API key.
/// @param account  set to the account if the key is accepted; NULL if the
///                 configuration has no accounts
enum account_decision
sidecar_account_check (const struct sidecar *sidecar,
                       const struct http_head *head,
                       const struct client_account **account);

/// @return rank of a request: the priority of its account goes before that of
///         its route, which decides between requests of equal accounts
uint32_t sidecar_account_rank (const struct sidecar *sidecar,
                               const struct client_account *account,
                               const struct mesh_route *route);

/// @param name  of the account, or NULL
/// @return hash that identifies the account to other nodes; 0: no account
uint32_t sidecar_account_hash (const char *name);

#endif
