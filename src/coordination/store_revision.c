/// Stateless; the era is in the bits above the number.
#include "coordination/store_revision.h"

uint64_t
store_revision_make (uint64_t era, uint64_t number)
{
  return era * (STORE_REVISION_NUMBER_MAX + 1) + number;
}

uint64_t
store_revision_era (uint64_t revision)
{
  return revision / (STORE_REVISION_NUMBER_MAX + 1);
}

uint64_t
store_revision_number (uint64_t revision)
{
  return revision % (STORE_REVISION_NUMBER_MAX + 1);
}
