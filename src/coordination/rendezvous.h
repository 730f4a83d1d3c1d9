/// Choice of members for a role by rendezvous (highest random weight) hashing.
/// All nodes with the same view compute the same choice, and a member that
/// joins or leaves changes only the choices that it is part of.
#ifndef HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H
#define HAWTHORNSEAM_COORDINATION_RENDEZVOUS_H

#include "state/member.h"

/// Largest number of candidates that a choice keeps.
#define RENDEZVOUS_MAX 3

/// The candidates with the highest scores so far, highest first.
struct rendezvous
{
  uint64_t role;  ///< hash of the role's name
  unsigned limit; ///< number of candidates to choose, up to RENDEZVOUS_MAX
  uint64_t slots[RENDEZVOUS_MAX]; ///< slot ids, or handles of the caller's
  uint64_t scores[RENDEZVOUS_MAX];
  unsigned count; ///< number of entries in use
};

/// Initializes the choice for a role.
void rendezvous_init (struct rendezvous *choice, uint64_t role,
                      unsigned limit);

/// Adds a candidate that is scored by the role and its slot id.
void rendezvous_add (struct rendezvous *choice, uint64_t slot_id);

/// Adds a candidate with a score of the caller's. Of equal scores, the one
/// that was added first ranks higher.
void rendezvous_rank (struct rendezvous *choice, uint64_t score,
                      uint64_t slot);

/// @return slot id of the live member that is chosen for a role; 0 when no
///         member is alive
uint64_t rendezvous_owner (const struct member_table *table, uint64_t role);

#endif
