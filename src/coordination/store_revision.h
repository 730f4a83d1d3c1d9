/// Revisions of the store that stay in order when it is restored. A store that
/// comes back from an older copy counts on from there, so that its numbers are
/// given out again, and states a later era. Within this system a revision
/// consists of both: one of a later era is greater than all of earlier ones,
/// wherever revisions are compared, stored or sent to other nodes. Stateless.
#ifndef HAWTHORNSEAM_COORDINATION_STORE_REVISION_H
#define HAWTHORNSEAM_COORDINATION_STORE_REVISION_H

#include <stdint.h>

/// Largest number that a store may state, of a revision and of an era.
/// Together they stay below the sign bit of numbers in JSON.
#define STORE_REVISION_NUMBER_MAX ((UINT64_C (1) << 44) - 1)
#define STORE_ERA_MAX ((UINT64_C (1) << 18) - 1)

/// @param era     0: the store states none
/// @param number  as the store states it
/// @return the revision, which is the number itself in era 0
uint64_t store_revision_make (uint64_t era, uint64_t number);

uint64_t store_revision_era (uint64_t revision);
uint64_t store_revision_number (uint64_t revision);

#endif
