/// Store operations in flight for claims.
#include "node/claim_store.h"

#include "base/clock.h"

#include <assert.h>
#include <talloc.h>

struct claim_store_call
{
  struct claim_owner *owner; ///< NULL when the reply is to be dropped
  uint64_t token;
  LIST_ENTRY (claim_store_call) link;
};

static void
on_reply (void *arg, const struct store_reply *reply)
{
  struct claim_store_call *call = arg;
  struct claim_owner *owner = call->owner;
  uint64_t token = call->token;
  if (owner != NULL)
    LIST_REMOVE (call, link);
  talloc_free (call);
  if (owner != NULL)
    claim_owner_completed (owner, token, reply, clock_monotonic_ms (),
                           clock_wall_ms ());
}

static struct claim_store_call *
add_call (struct claim_store *claim_store, struct claim_owner *owner,
          uint64_t token)
{
  /* Not allocated in an arena of the node, because the store may reply after
     the node's claims have been stopped. */
  struct claim_store_call *call = talloc_zero (NULL, struct claim_store_call);
  assert (call != NULL);
  call->owner = owner;
  call->token = token;
  LIST_INSERT_HEAD (&claim_store->calls, call, link);
  return call;
}

void
claim_store_init (struct claim_store *claim_store, const struct store_ops *ops,
                  void *store)
{
  claim_store->ops = ops;
  claim_store->store = store;
  LIST_INIT (&claim_store->calls);
}

void
claim_store_finish (struct claim_store *claim_store)
{
  struct claim_store_call *call;
  while ((call = LIST_FIRST (&claim_store->calls)) != NULL)
    {
      LIST_REMOVE (call, link);
      call->owner = NULL;
    }
}

void
claim_store_get (struct claim_store *claim_store, struct claim_owner *owner,
                 const char *key, uint64_t token)
{
  claim_store->ops->get (claim_store->store, key, on_reply,
                         add_call (claim_store, owner, token));
}

void
claim_store_list (struct claim_store *claim_store, struct claim_owner *owner,
                  const char *prefix, uint64_t token)
{
  claim_store->ops->list (claim_store->store, prefix, on_reply,
                          add_call (claim_store, owner, token));
}

void
claim_store_put (struct claim_store *claim_store, struct claim_owner *owner,
                 const char *key, uint64_t expected, const uint8_t *bytes,
                 size_t size, uint64_t token)
{
  claim_store->ops->put (claim_store->store, key, expected, 0, bytes, size,
                         on_reply, add_call (claim_store, owner, token));
}

void
claim_store_remove (struct claim_store *claim_store, struct claim_owner *owner,
                    const char *key, uint64_t expected, uint64_t token)
{
  claim_store->ops->remove (claim_store->store, key, expected, on_reply,
                            add_call (claim_store, owner, token));
}
