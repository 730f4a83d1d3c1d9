/// Stateless.
#include "coordination/leave_holders.h"

#include "base/hash.h"

#include <string.h>

size_t
leave_holders_choose (const struct directory *directory, const char *own_node,
                      size_t handles[LEAVE_HOLDERS_MAX])
{
  uint64_t scores[LEAVE_HOLDERS_MAX] = { 0 };
  uint64_t own_hash = hash_placement_string (own_node);
  size_t count = 0;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      /* The state of the other nodes does not matter: it may differ between
         the two choices. */
      if (!record->used || strcmp (record->entry.node, own_node) == 0)
        continue;
      uint64_t score = hash_placement_pair (
          hash_placement_string (record->entry.node), own_hash);
      size_t rank = count;
      while (rank > 0 && score > scores[rank - 1])
        rank--;
      if (rank >= LEAVE_HOLDERS_MAX)
        continue;
      if (count < LEAVE_HOLDERS_MAX)
        count++;
      for (size_t k = count - 1; k > rank; k--)
        {
          scores[k] = scores[k - 1];
          handles[k] = handles[k - 1];
        }
      scores[rank] = score;
      handles[rank] = i;
    }
  return count;
}
