/// Choice of the nodes that decide on the quota of an account: the owner and
/// its standby, by rendezvous hashing of the account's name over the
/// directory. Each node computes the choice from its own directory.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_RANK_H

#include "state/directory.h"

enum quota_role
{
  QUOTA_OWNER,   ///< ranked first
  QUOTA_STANDBY, ///< ranked second
  QUOTA_OTHER
};

struct quota_rank
{
  size_t handles[2]; ///< of the owner and the standby; SIZE_MAX: none
  size_t nodes;      ///< nodes that were considered
};

/// @param account  name of the account
void quota_rank_choose (const struct directory *directory, const char *account,
                        struct quota_rank *rank);

/// @param node  handle of the node, or SIZE_MAX when it is not listed
enum quota_role quota_rank_role (const struct quota_rank *rank, size_t node);

#endif
