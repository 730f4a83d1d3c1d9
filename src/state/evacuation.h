/// Availability zones that an operator has evacuated: their targets must not
/// receive requests until the evacuation is taken back.
#ifndef HAWTHORNSEAM_STATE_EVACUATION_H
#define HAWTHORNSEAM_STATE_EVACUATION_H

#include "base/status.h"
#include "state/directory.h"

/// Largest number of zones evacuated at the same time; twice the planned
/// number of zones.
#define EVACUATION_ZONES_MAX 20

struct evacuation
{
  char zone[DIRECTORY_NAME_MAX + 1];
  uint64_t revision; ///< store revision of the order
  bool listed;       ///< seen in the full listing in progress
};

struct evacuation_set
{
  struct evacuation zones[EVACUATION_ZONES_MAX];
  size_t count;
};

/// Adds a zone, or updates the revision of its order. An older revision is
/// ignored.
/// @return STATUS_INVALID when the name is empty or too long, or the set full
enum status evacuation_add (struct evacuation_set *set, const char *zone,
                            uint64_t revision);

/// Removes a zone unless a newer order evacuates it.
void evacuation_remove (struct evacuation_set *set, const char *zone,
                        uint64_t revision);

/// Start and end of a full listing of the store: zones that were not added in
/// between are removed at its end, so none is lost while the listing runs.
/// @param as_of  store revision of the listing
void evacuation_begin_list (struct evacuation_set *set);
void evacuation_end_list (struct evacuation_set *set, uint64_t as_of);

bool evacuation_contains (const struct evacuation_set *set, const char *zone);

#endif
