/// Owns the list of registered counters of the process.
#include "base/counter.h"

#include <stddef.h>
#include <string.h>

static struct counter *first_counter;

void
counter_register (struct counter *counter)
{
  if (counter->registered)
    return;
  struct counter **place = &first_counter;
  while (*place != NULL && strcmp ((*place)->name, counter->name) < 0)
    place = &(*place)->next;
  counter->next = *place;
  counter->registered = true;
  *place = counter;
}

void
counter_add (struct counter *counter, uint64_t amount)
{
  counter_register (counter);
  counter->value += amount;
}

const struct counter *
counter_first (void)
{
  return first_counter;
}
