/// Choice of the nodes that decide on the quota of an account: the owner, its
/// standby and a third one that only votes, by rendezvous hashing of the
/// account's name over the directory. Each node computes the choice from its
/// own directory.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H

#include "coordination/rendezvous.h"
#include "state/directory.h"

/// Nodes that vote on who grants the tokens of an account.
#define QUOTA_RANKS RENDEZVOUS_MAX

/// Ranks of the nodes that may grant.
#define QUOTA_RANK_OWNER 0u
#define QUOTA_RANK_STANDBY 1u

struct quota_rank
{
  size_t
      handles[QUOTA_RANKS]; ///< in the directory, best first; SIZE_MAX: none
  size_t nodes;             ///< nodes that were considered
};

/// @param account  name of the account
void quota_rank_choose (const struct directory *directory, const char *account,
                        struct quota_rank *rank);

/// @param node  handle of the node, or SIZE_MAX when it is not listed
/// @return rank of the node; QUOTA_RANKS for none
unsigned quota_rank_of (const struct quota_rank *rank, size_t node);

#endif
