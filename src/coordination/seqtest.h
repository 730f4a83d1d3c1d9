/// One-sided sequential test of two versions that serve at the same time.
///
/// Calls are compared in blocks. Given the calls and the total of events
/// (errors or slow responses) of a block, the number of events on the new
/// version follows Fisher's noncentral hypergeometric distribution, whose only
/// parameter is the odds ratio of the versions. The old version's rate cancels
/// out, so it may change from block to block without effect on the test.
///
/// For each of several odds ratios, the test multiplies over the blocks the
/// likelihood ratio against the largest tolerated odds ratio. The mean over
/// the odds ratios and over several starting times, with weights that add up
/// to at most 1, is a non-negative supermartingale that starts at 1 or less,
/// as long as the versions are equal or the new one is better. By Ville's
/// inequality the probability that it ever exceeds 1/a is at most a. This is a
/// mixture sequential probability ratio test: it may be evaluated at any time,
/// and the later starting times let it detect late faults.
#ifndef HAWTHORNSEAM_COORDINATION_SEQTEST_H
#define HAWTHORNSEAM_COORDINATION_SEQTEST_H

#include <stdint.h>

/// Odds ratios in the mixture.
#define SEQTEST_RATIOS 5

/// Blocks with more possible outcomes use the binomial bound, which is cheap
/// to compute and never gives more evidence than the exact likelihood ratio.
#define SEQTEST_EXACT_MAX 160

struct seqtest_ratios
{
  double tolerated; ///< largest odds ratio that is not a fault, at least 1
  double fault[SEQTEST_RATIOS]; ///< greater than tolerated
};

struct seqtest_block
{
  uint32_t new_calls;
  uint32_t new_events; ///< at most new_calls
  uint32_t old_calls;
  uint32_t old_events; ///< at most old_calls
};

struct seqtest
{
  double score[SEQTEST_RATIOS]; ///< weighted likelihood ratio by odds ratio
  uint64_t updated_ms; ///< time of the last block that carried evidence
};

/// Initializes a test without a starting time.
void seqtest_init (struct seqtest *test);

/// Adds a starting time: the test sums up the evidence from now on in addition
/// to that from earlier starts. The weights of all starts of all tests behind
/// one decision must not add up to more than 1.
void seqtest_start (struct seqtest *test, double weight);

/// Computes the logarithm of the likelihood ratio of a block for each odds
/// ratio of a fault. Blocks of several strata, such as routes or zones, are
/// combined by adding the logarithms.
void seqtest_log_ratios (const struct seqtest_ratios *ratios,
                         const struct seqtest_block *block,
                         double log_ratios[SEQTEST_RATIOS]);

/// Multiplies the likelihood ratios of a block into the test. Calls that fail
/// together for one cause, such as a lost target or a stall, would count as
/// independent failures; so the growth of the evidence against the new version
/// is limited. The limit only lowers ratios, which keeps the test valid.
/// @param growth_max_per_s  largest growth of the logarithm, nats per second;
///                          after a longer pause, the growth of one second
void seqtest_update (struct seqtest *test,
                     const double log_ratios[SEQTEST_RATIOS], uint64_t now_ms,
                     double growth_max_per_s);

/// @return evidence against the new version: weighted mean of the likelihood
///         ratios; significant at level `a` when it reaches 1/a
double seqtest_value (const struct seqtest *test);

#endif
