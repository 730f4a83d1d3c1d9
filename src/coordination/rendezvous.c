/// Stateless; scores members for a role.
#include "coordination/rendezvous.h"

#include "base/hash.h"

void
rendezvous_init (struct rendezvous *choice, uint64_t role, unsigned limit)
{
  *choice = (struct rendezvous){ .role = role, .limit = limit };
}

void
rendezvous_rank (struct rendezvous *choice, uint64_t score, uint64_t slot)
{
  unsigned rank = choice->count;
  while (rank > 0 && score > choice->scores[rank - 1])
    rank--;
  if (rank >= choice->limit)
    return;
  if (choice->count < choice->limit)
    choice->count++;
  for (unsigned k = choice->count - 1; k > rank; k--)
    {
      choice->scores[k] = choice->scores[k - 1];
      choice->slots[k] = choice->slots[k - 1];
    }
  choice->scores[rank] = score;
  choice->slots[rank] = slot;
}

void
rendezvous_add (struct rendezvous *choice, uint64_t slot_id)
{
  rendezvous_rank (choice, hash_placement_pair (choice->role, slot_id),
                   slot_id);
}

uint64_t
rendezvous_owner (const struct member_table *table, uint64_t role)
{
  struct rendezvous choice;
  rendezvous_init (&choice, role, 1);
  for (uint32_t i = 0; i < table->count; i++)
    if (table->items[i].state == MEMBER_ALIVE)
      rendezvous_add (&choice, table->items[i].slot_id);
  return choice.slots[0];
}
