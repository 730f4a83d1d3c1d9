/// Owns no state; shows operators the counts of each account's requests.
#include "sidecar/sidecar_quota_internal.h"

#include <inttypes.h>

/// Accounts that are listed, the ones used first; a collector stores several
/// series for each.
#define LISTED_MAX 500

/// Writes a label's value as the text format requires.
static void
add_escaped (struct evbuffer *text, const char *value)
{
  for (; *value != '\0'; value++)
    if (*value == '\n')
      evbuffer_add (text, "\\n", 2);
    else
      {
        if (*value == '\\' || *value == '"')
          evbuffer_add (text, "\\", 1);
        evbuffer_add (text, value, 1);
      }
}

static const char *
owner_name (const struct sidecar *sidecar, const struct quota_account *account)
{
  size_t handle = sidecar_quota_rank (sidecar, account)->handles[0];
  return account->rank_serial == 0 || handle >= sidecar->directory.count
                 || !sidecar->directory.records[handle].used
             ? ""
             : sidecar->directory.records[handle].entry.node;
}

static void
add_count (struct evbuffer *text, const char *name,
           const struct quota_account *account, uint64_t value)
{
  evbuffer_add_printf (text, "hawthornseam_account_%s{account=\"", name);
  add_escaped (text, account->name);
  evbuffer_add_printf (text, "\"} %" PRIu64 "\n", value);
}

static void
add_owner (struct evbuffer *text, const struct sidecar *sidecar,
           const struct quota_account *account)
{
  evbuffer_add_printf (text, "hawthornseam_account_owner{account=\"");
  add_escaped (text, account->name);
  evbuffer_add_printf (text, "\",node=\"");
  add_escaped (text, owner_name (sidecar, account));
  evbuffer_add_printf (text, "\"} 1\n");
}

static uint64_t
value_of (const struct quota_account *account, int column)
{
  return column == 0   ? account->offered
         : column == 1 ? account->admitted
                       : account->rejected;
}

void
sidecar_quota_metrics (const struct sidecar *sidecar, struct evbuffer *text)
{
  static const char *const columns[] = { "offered", "admitted", "over_quota" };
  if (sidecar->quota == NULL || sidecar->quota->account_count == 0)
    return;
  for (int column = 0; column < 3; column++)
    {
      size_t listed = 0;
      evbuffer_add_printf (text, "# TYPE hawthornseam_account_%s counter\n",
                           columns[column]);
      for (const struct quota_account *account
           = TAILQ_FIRST (&sidecar->quota->accounts);
           account != NULL && listed++ < LISTED_MAX;
           account = TAILQ_NEXT (account, link))
        add_count (text, columns[column], account, value_of (account, column));
    }
  size_t listed = 0;
  evbuffer_add_printf (text, "# TYPE hawthornseam_account_owner gauge\n");
  for (const struct quota_account *account
       = TAILQ_FIRST (&sidecar->quota->accounts);
       account != NULL && listed++ < LISTED_MAX;
       account = TAILQ_NEXT (account, link))
    add_owner (text, sidecar, account);
}
