/// Stateless; ranks the nodes of the directory for an account.
#include "coordination/quota_rank.h"

#include "base/hash.h"

/// Role hash of owners: keeps their scores independent of other choices that
/// hash the same names.
#define QUOTA_ROLE 0x71756f7461u

/// Accounts are ranked in groups, so that a node which owns many of them asks
/// few others for votes: 256 groups are less than one per node from 300 nodes
/// on, and spread the load of 10,000 accounts over 256 owners.
#define QUOTA_GROUPS 256

void
quota_rank_choose (const struct directory *directory, const char *account,
                   struct quota_rank *rank)
{
  struct rendezvous choice;
  uint64_t group = hash_placement_string (account) % QUOTA_GROUPS;
  uint64_t role = hash_placement_pair (group, QUOTA_ROLE);
  rendezvous_init (&choice, role, QUOTA_RANKS);
  *rank = (struct quota_rank){ .handles = { SIZE_MAX, SIZE_MAX, SIZE_MAX } };
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      if (!record->used || record->missing_ms != 0
          || record->entry.state == DIRECTORY_LEAVING)
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
