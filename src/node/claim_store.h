/// Runs the store operations of claim owners with the node's store client.
#ifndef HAWTHORNSEAM_NODE_CLAIM_STORE_H
#define HAWTHORNSEAM_NODE_CLAIM_STORE_H

#include "coordination/claim_owner.h"
#include "coordination/store.h"

#include <sys/queue.h>

struct claim_store_call;

LIST_HEAD (claim_store_calls, claim_store_call);

struct claim_store
{
  const struct store_ops *ops;
  void *store;
  struct claim_store_calls calls; ///< in flight
};

void claim_store_init (struct claim_store *claim_store,
                       const struct store_ops *ops, void *store);

/// Drops the replies to operations in flight. The store may still be in use
/// afterwards.
void claim_store_finish (struct claim_store *claim_store);

/// Each of these starts one operation. Its reply is passed to
/// claim_owner_completed with the token.
void claim_store_get (struct claim_store *claim_store,
                      struct claim_owner *owner, const char *key,
                      uint64_t token);
void claim_store_list (struct claim_store *claim_store,
                       struct claim_owner *owner, const char *prefix,
                       uint64_t token);
void claim_store_put (struct claim_store *claim_store,
                      struct claim_owner *owner, const char *key,
                      uint64_t expected, const uint8_t *bytes, size_t size,
                      uint64_t token);
void claim_store_remove (struct claim_store *claim_store,
                         struct claim_owner *owner, const char *key,
                         uint64_t expected, uint64_t token);

#endif
