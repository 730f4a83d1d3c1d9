/// Retry quota of each service, a token bucket. The bound is for all nodes
/// together, so each node uses its part of it: a ratio of the requests that it
/// sends and a part of the slack.
#ifndef HAWTHORNSEAM_COORDINATION_RETRY_QUOTA_H
#define HAWTHORNSEAM_COORDINATION_RETRY_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Maximum number of services with a quota of their own; beyond it, the least
/// recently used one is replaced.
#define RETRY_QUOTA_SERVICES_MAX 512
#define RETRY_QUOTA_NAME_MAX 63

struct retry_quota
{
  char service[RETRY_QUOTA_NAME_MAX + 1];
  uint32_t millitokens; ///< thousandths of a retry
  uint64_t used_ms;     ///< last use
};

struct retry_quota_table
{
  uint32_t ratio_permille; ///< thousandths of a token added per request
  uint32_t burst_tokens;   ///< maximum number of tokens
  size_t count;
  struct retry_quota *items; ///< grown as services appear
};

/// @param ratio_permille  retries of all nodes per 1000 requests
void retry_quota_init (struct retry_quota_table *table,
                       uint32_t ratio_permille);
void retry_quota_finish (struct retry_quota_table *table);

/// Sets the part of the slack that this node may use.
/// @param slack  retries of all nodes beyond the ratio, per window
/// @param nodes  number of nodes that share it
void retry_quota_set_slack (struct retry_quota_table *table, uint32_t slack,
                            size_t nodes);

/// Adds tokens for the first send of a request to a service.
void retry_quota_count_request (struct retry_quota_table *table,
                                const char *service, uint64_t now_ms);

/// Takes a token for a retry.
/// @return false when the quota is used up
bool retry_quota_take (struct retry_quota_table *table, const char *service,
                       uint64_t now_ms);

/// @return true when a request that is sent for the first time now would find
///         a token for a retry; changes nothing
bool retry_quota_would_allow (const struct retry_quota_table *table,
                              const char *service);

/// @return thousandths of a token that a service has
uint32_t retry_quota_millitokens (const struct retry_quota_table *table,
                                  const char *service);

#endif
