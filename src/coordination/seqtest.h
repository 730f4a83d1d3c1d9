/// One-sided sequential test of two versions that serve at the same time.
///
/// Calls are compared in blocks. Given the calls and the events (errors or
/// slow answers) of a block, the number of events on the new version follows
/// Fisher's noncentral hypergeometric distribution, whose only parameter is
/// the odds ratio of the versions. The old version's rate drops out, so it may
/// change from block to block without effect on the test.
///
/// For each of a few odds ratios the likelihood ratio against the largest
/// tolerated odds ratio is multiplied up over the blocks. Its mean over the
/// ratios and over several starting times, weighted with a sum of at most 1,
/// is a non-negative supermartingale that starts at 1 while the versions are
/// equal or the new one is better. By Ville's inequality it ever exceeds 1/a
/// with probability at most a: a mixture sequential probability ratio test
/// that may be looked at all the time and that also finds late faults.
#ifndef HAWTHORNSEAM_COORDINATION_SEQTEST_H
#define HAWTHORNSEAM_COORDINATION_SEQTEST_H

#include <stdint.h>

/// Odds ratios in the mixture.
#define SEQTEST_RATIOS 5

/// Blocks with more possible outcomes use the binomial bound, which costs
/// nothing to compute and is never less strict.
#define SEQTEST_EXACT_MAX 160

struct seqtest_ratios
{
  double tolerated; ///< largest odds ratio that is no fault, at least 1
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
  double score[SEQTEST_RATIOS];
  uint64_t fed_ms; ///< time of the last block that said something
};

void seqtest_init (struct seqtest *test);

/// Adds a starting time. The weights of all starts of all tests that are
/// summed up for one decision must not exceed 1 in total.
void seqtest_start (struct seqtest *test, double weight);

/// Computes the logarithm of the likelihood ratio of a block for each fault
/// ratio. Blocks of several strata are combined by adding the logarithms.
void seqtest_log_ratios (const struct seqtest_ratios *ratios,
                         const struct seqtest_block *block,
                         double log_ratios[SEQTEST_RATIOS]);

/// Multiplies the likelihood ratios of a block into the test. Calls that share
/// one cause, such as a lost target or a stall, fail together and would count
/// as many; so the evidence against the new version grows at a limited rate.
/// The limit only lowers ratios, which keeps the test valid.
/// @param most_per_s  largest growth of the logarithm within a second; a block
///                    after a longer pause gets no more than that
void seqtest_update (struct seqtest *test,
                     const double log_ratios[SEQTEST_RATIOS], uint64_t now_ms,
                     double most_per_s);

/// @return evidence against the new version: weighted mean of the likelihood
/// ratios; significant at rate `a` when it reaches 1/a
double seqtest_value (const struct seqtest *test);

#endif
