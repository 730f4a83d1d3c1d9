/// Choice of members for a role by highest-random-weight hashing: each node
/// computes the same choice from the same view, and a member that comes or
/// goes changes only the choices that it takes part in.
#ifndef HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H
#define HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H

#include "state/member.h"

/// Best members seen so far for one role, in falling order.
struct rendezvous
{
  uint64_t role; ///< hash of the role's name
  uint64_t slots[2];
  uint64_t scores[2];
  unsigned count; ///< filled entries
};

/// Starts a choice for a role.
void rendezvous_init (struct rendezvous *choice, uint64_t role);

/// Considers one candidate.
void rendezvous_add (struct rendezvous *choice, uint64_t slot_id);

/// @return slot id of the live member chosen for a role, 0 when none is alive
uint64_t rendezvous_owner (const struct member_table *table, uint64_t role);

#endif
