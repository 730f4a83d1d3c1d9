/// Stateless.
#include "coordination/leave_holders.h"

#include "base/hash.h"
#include "coordination/rendezvous.h"

#include <string.h>

size_t
leave_holders_choose (const struct directory *directory, const char *own_node,
                      size_t handles[LEAVE_HOLDERS_MAX])
{
  struct rendezvous choice;
  uint64_t own_hash = hash_placement_string (own_node);
  rendezvous_init (&choice, own_hash, LEAVE_HOLDERS_MAX);
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      /* The state of the other nodes does not matter: it may differ between
         the two choices. */
      if (!record->used || strcmp (record->entry.node, own_node) == 0)
        continue;
      uint64_t node_hash = hash_placement_string (record->entry.node);
      rendezvous_rank (&choice, hash_placement_pair (node_hash, own_hash), i);
    }
  for (size_t i = 0; i < choice.count; i++)
    handles[i] = choice.slots[i];
  return choice.count;
}
