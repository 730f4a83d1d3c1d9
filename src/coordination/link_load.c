/// Exponentially smoothed rate.
#include "coordination/link_load.h"

#include <math.h>

/// Time constant. Bodies of 360 kB take 0.3 s on a link of 10 Mbit/s.
#define TIME_CONSTANT_US 500000.0

/// A full link counts as having 1 / 20 of its rate left, so that it is chosen
/// again when its figure is old.
#define FREE_DIVISOR_MIN 20

static void
decay (struct link_load *load, uint64_t now_us)
{
  if (now_us <= load->us)
    return;
  load->bytes_per_s *= exp (-(double)(now_us - load->us) / TIME_CONSTANT_US);
  load->us = now_us;
}

void
link_load_add (struct link_load *load, uint64_t bytes, uint64_t now_us)
{
  decay (load, now_us);
  load->bytes_per_s += (double)bytes * 1e6 / TIME_CONSTANT_US;
}

uint64_t
link_load_free (struct link_load *load, uint64_t link_bytes_per_s,
                uint64_t now_us)
{
  decay (load, now_us);
  double least = (double)link_bytes_per_s / FREE_DIVISOR_MIN;
  double left = (double)link_bytes_per_s - load->bytes_per_s;
  return (uint64_t)(left > least ? left : least);
}
