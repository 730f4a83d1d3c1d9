/// Stateless; ranks the nodes of the directory for an account.
#include "coordination/quota_rank.h"

#include "base/hash.h"

/// Role hash of owners: keeps their scores independent of other choices that
/// hash the same names.
#define QUOTA_ROLE 0x71756f7461u

unsigned
quota_rank_group (const char *account)
{
  return (unsigned)(hash_placement_string (account) % QUOTA_GROUPS);
}

void
quota_rank_choose (const struct directory *directory, unsigned group,
                   struct quota_rank *rank)
{
  struct rendezvous choice;
  uint64_t role = hash_placement_pair (group, QUOTA_ROLE);
  rendezvous_init (&choice, role, QUOTA_RANKS);
  *rank = (struct quota_rank){ .handles = { SIZE_MAX, SIZE_MAX } };
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      /* A node whose entry is missing for a moment keeps its rank; it does not
         decide meanwhile (sidecar_quota_serve.c). */
      if (!record->used || record->entry.state == DIRECTORY_LEAVING)
        continue;
      rank->nodes++;
      uint64_t node = hash_placement_string (record->entry.node);
      rendezvous_rank (&choice, hash_placement_pair (role, node), i);
    }
  for (unsigned i = 0; i < choice.count; i++)
    rank->handles[i] = choice.slots[i];
}

unsigned
quota_rank_of (const struct quota_rank *rank, size_t node)
{
  unsigned i = 0;
  while (i < QUOTA_RANKS && (node == SIZE_MAX || rank->handles[i] != node))
    i++;
  return i;
}
