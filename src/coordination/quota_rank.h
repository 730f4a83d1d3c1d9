/// Choice of the node that decides on the quota of an account, and of the one
/// that follows it, by rendezvous hashing of the account's name over the
/// directory. Each node computes the choice from its
/// own directory.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H

#include "coordination/rendezvous.h"
#include "state/directory.h"

/// Accounts are ranked in groups: 256 groups spread the load of 10,000
/// accounts over 256 owners, and an entry node has few owners to report to.
#define QUOTA_GROUPS 256

/// Nodes that are ranked: the owner and the next one.
#define QUOTA_RANKS 2

struct quota_rank
{
  size_t
      handles[QUOTA_RANKS]; ///< in the directory, best first; SIZE_MAX: none
  size_t nodes;             ///< nodes that were considered
};

/// @return the group of an account, below QUOTA_GROUPS
unsigned quota_rank_group (const char *account);

/// Ranks the nodes for the accounts of a group.
void quota_rank_choose (const struct directory *directory, unsigned group,
                        struct quota_rank *rank);

/// @param node  handle of the node, or SIZE_MAX when it is not listed
/// @return rank of the node; QUOTA_RANKS for none
unsigned quota_rank_of (const struct quota_rank *rank, size_t node);

#endif
