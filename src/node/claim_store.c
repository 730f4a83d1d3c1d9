/// Owns the store operations in flight for claims.
#include "node/claim_store.h"

#include "base/clock.h"

#include <assert.h>
#include <talloc.h>

struct claim_store_call
{
  struct claim_owner *owner; ///< NULL when the answer is not wanted any more
  uint64_t token;
  LIST_ENTRY (claim_store_call) link;
};

static void
on_answer (void *arg, const struct store_reply *reply)
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
call_new (struct claim_store *claims, struct claim_owner *owner,
          uint64_t token)
{
  /* Not in an arena of the node: the store may answer after its end. */
  struct claim_store_call *call = talloc_zero (NULL, struct claim_store_call);
  assert (call != NULL);
  call->owner = owner;
  call->token = token;
  LIST_INSERT_HEAD (&claims->calls, call, link);
  return call;
}

void
claim_store_init (struct claim_store *claims, const struct store_ops *ops,
                  void *store)
{
  claims->ops = ops;
  claims->store = store;
  LIST_INIT (&claims->calls);
}

void
claim_store_finish (struct claim_store *claims)
{
  struct claim_store_call *call;
  while ((call = LIST_FIRST (&claims->calls)) != NULL)
    {
      LIST_REMOVE (call, link);
      call->owner = NULL;
    }
}

void
claim_store_get (struct claim_store *claims, struct claim_owner *owner,
                 const char *key, uint64_t token)
{
  claims->ops->get (claims->store, key, on_answer,
                    call_new (claims, owner, token));
}

void
claim_store_list (struct claim_store *claims, struct claim_owner *owner,
                  const char *prefix, uint64_t token)
{
  claims->ops->list (claims->store, prefix, on_answer,
                     call_new (claims, owner, token));
}

void
claim_store_put (struct claim_store *claims, struct claim_owner *owner,
                 const char *key, uint64_t expected, const uint8_t *bytes,
                 size_t size, uint64_t token)
{
  claims->ops->put (claims->store, key, expected, 0, bytes, size, on_answer,
                    call_new (claims, owner, token));
}

void
claim_store_remove (struct claim_store *claims, struct claim_owner *owner,
                    const char *key, uint64_t expected, uint64_t token)
{
  claims->ops->remove (claims->store, key, expected, on_answer,
                       call_new (claims, owner, token));
}
