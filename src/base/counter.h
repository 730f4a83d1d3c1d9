/// Process-wide counters. A module declares its counters as static objects;
/// they are registered on first use and the admin interface lists them by
/// name.
#ifndef HAWTHORNSEAM_BASE_COUNTER_H
#define HAWTHORNSEAM_BASE_COUNTER_H

#include <stdbool.h>
#include <stdint.h>

struct counter
{
  const char *name; ///< lower case, prefixed with the module:
                    ///< "peer_connects"
  const char *help; ///< one sentence with the unit
  uint64_t value;
  bool registered;
  struct counter *next;
};

#define COUNTER(counter_name, help_text)                                      \
  {                                                                           \
    .name = (counter_name), .help = (help_text)                               \
  }

/// Registers a counter; does nothing if it is registered already.
void counter_register (struct counter *counter);

/// Adds an amount and registers the counter on first use.
void counter_add (struct counter *counter, uint64_t amount);

/// @return the first registered counter or NULL; follow `next` for the rest
const struct counter *counter_first (void);

#endif
