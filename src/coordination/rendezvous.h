/// Choice of members for a role by rendezvous (highest random weight) hashing.
/// All nodes with the same view compute the same choice, and a member that
/// joins or leaves changes only the choices that it is part of.
#ifndef HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H
#define HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H

#include "state/member.h"

/// The two members with the highest scores for a role so far, highest first.
struct rendezvous
{
  uint64_t role; ///< hash of the role's name
  uint64_t slots[2];
  uint64_t scores[2];
  unsigned count; ///< number of entries in use
};

/// Initializes the choice for a role.
void rendezvous_init (struct rendezvous *choice, uint64_t role);

/// Adds a candidate.
void rendezvous_add (struct rendezvous *choice, uint64_t slot_id);

/// @return slot id of the live member that is chosen for a role; 0 when no
///         member is alive
uint64_t rendezvous_owner (const struct member_table *table, uint64_t role);

#endif
