/// Owns the process's list of registered counters, sorted by name.
#include "base/counter.h"

#include <stddef.h>
#include <string.h>

static struct counter *first_counter;

void
counter_register (struct counter *counter)
{
  if (counter->registered)
    return;
  struct counter **link = &first_counter;
  while (*link != NULL && strcmp ((*link)->name, counter->name) < 0)
    link = &(*link)->next;
  counter->next = *link;
  counter->registered = true;
  *link = counter;
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
