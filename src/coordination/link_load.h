/// Rate of the bodies that arrive at this node over its VM's link, and what is
/// left of the link. Load: many nodes send large bodies to the same few
/// targets of their zone; behind a full link, all requests wait.
#ifndef HAWTHORNSEAM_COORDINATION_LINK_LOAD_H
#define HAWTHORNSEAM_COORDINATION_LINK_LOAD_H

#include <stdint.h>

struct link_load
{
  double bytes_per_s; ///< smoothed
  uint64_t us;        ///< time of the last update
};

/// Counts a body that has arrived.
void link_load_add (struct link_load *load, uint64_t bytes, uint64_t now_us);

/// @param link_bytes_per_s  rate of the link
/// @return rate that is free, at least a twentieth of the link; bytes per
///         second, 0 when the rate of the link is 0 (not known)
uint64_t link_load_free (struct link_load *load, uint64_t link_bytes_per_s,
                         uint64_t now_us);

#endif
