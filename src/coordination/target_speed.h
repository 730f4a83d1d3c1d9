/// Service time of a target whose speed changes, at its usual speed.
///
/// The target states many times a second how long work takes at the moment,
/// relative to its usual time. The elapsed time of each request is divided by
/// the mean of that figure while the request ran. The result, unlike the plain
/// mean, does not change while the target is disturbed: a slow machine has a
/// long time, a disturbed one a high figure.
#ifndef HAWTHORNSEAM_COORDINATION_TARGET_SPEED_H
#define HAWTHORNSEAM_COORDINATION_TARGET_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/// Figure of a target that works as usual.
#define TARGET_SPEED_USUAL_PERCENT 100

/// Maximum age of a figure that is passed on. Without a response for longer,
/// nothing is known about the present speed: disturbances last some hundred
/// milliseconds.
#define TARGET_SPEED_AGE_MS_MAX 2000

struct target_speed
{
  uint32_t percent;      ///< newest figure; 0: none
  uint64_t since_us;     ///< time of the first figure; 0: none
  uint64_t us;           ///< time of the newest figure
  uint64_t integral;     ///< of the figure over time, percent x microseconds
  uint32_t service_us;   ///< smoothed service time at 100 percent; 0: unknown
  uint32_t mean_percent; ///< mean figure while requests ran, smoothed as the
                         ///< admission queue smooths their times
};

/// Stores a figure.
void target_speed_note (struct target_speed *speed, uint32_t percent,
                        uint64_t now_us);

/// @return integral of the figure up to now; the difference of two values
///         divided by the time between them is the mean figure
uint64_t target_speed_integral (const struct target_speed *speed,
                                uint64_t now_us);

/// Adds the service time of a request.
/// @param integral  target_speed_integral at the request's start
void target_speed_sample (struct target_speed *speed, uint64_t start_us,
                          uint64_t integral, uint64_t now_us);

/// @return true when there is a recent figure and a service time
bool target_speed_is_known (const struct target_speed *speed, uint64_t now_us);

/// Corrects a smoothed time for the present speed.
/// @param mean_us  smoothed as by the admission queue, at the speeds of that
///                 time, microseconds
/// @return expected service time of a request that starts now; `mean_us` when
///         the speed is unknown
uint32_t target_speed_expected_us (const struct target_speed *speed,
                                   uint32_t mean_us, uint64_t now_us);

#endif
