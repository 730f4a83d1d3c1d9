/// Stateless; scores members for a role.
#include "coordination/rendezvous.h"

#include "base/hash.h"

void
rendezvous_init (struct rendezvous *choice, uint64_t role)
{
  *choice = (struct rendezvous){ .role = role };
}

void
rendezvous_add (struct rendezvous *choice, uint64_t slot_id)
{
  uint64_t score = hash_placement_pair (choice->role, slot_id);
  if (choice->count == 0 || score > choice->scores[0])
    {
      choice->slots[1] = choice->slots[0];
      choice->scores[1] = choice->scores[0];
      choice->slots[0] = slot_id;
      choice->scores[0] = score;
    }
  else if (choice->count == 1 || score > choice->scores[1])
    {
      choice->slots[1] = slot_id;
      choice->scores[1] = score;
    }
  else
    return;
  if (choice->count < 2)
    choice->count++;
}

uint64_t
rendezvous_owner (const struct member_table *table, uint64_t role)
{
  struct rendezvous choice;
  rendezvous_init (&choice, role);
  for (uint32_t i = 0; i < table->count; i++)
    if (table->items[i].state == MEMBER_ALIVE)
      rendezvous_add (&choice, table->items[i].slot_id);
  return choice.slots[0];
}
