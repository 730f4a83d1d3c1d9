/// Owns no state; describes the quota of one account to operators.
#include "sidecar/sidecar_explain.h"
#include "sidecar/sidecar_quota_internal.h"

#include <string.h>

/// @return the state of an account at this node, or NULL
static const struct quota_account *
find_state (const struct sidecar *sidecar, const char *name)
{
  const struct quota_account *account;
  TAILQ_FOREACH (account, &sidecar->quota->accounts, link)
  if (strcmp (account->name, name) == 0)
    return account;
  return NULL;
}

json_t *
sidecar_quota_explain (const struct sidecar *sidecar,
                       const struct client_account *configured)
{
  if (configured->rate_per_s <= 0)
    return json_null ();
  const struct quota_account *account
      = sidecar->quota == NULL ? NULL : find_state (sidecar, configured->name);
  struct quota_rank rank;
  quota_rank_choose (&sidecar->directory, quota_rank_group (configured->name),
                     &rank);
  size_t owner = rank.handles[QUOTA_RANK_OWNER];
  return json_pack (
      "{s:s?, s:f, s:f, s:I, s:I, s:I}", "owner",
      owner == SIZE_MAX ? NULL : sidecar->directory.records[owner].entry.node,
      "rate_per_s", configured->rate_per_s, "burst", configured->burst,
      "offered", (json_int_t)(account == NULL ? 0 : account->offered),
      "admitted", (json_int_t)(account == NULL ? 0 : account->admitted),
      "over_quota", (json_int_t)(account == NULL ? 0 : account->rejected));
}
