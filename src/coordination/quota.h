/// Budget of repeated sends for each service. The bound holds for all nodes
/// together, so each takes its part of it: a share of the requests that it
/// sees, and a part of the slack.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUOTA_SERVICES_MAX 512
#define QUOTA_NAME_MAX 63

struct quota
{
  char service[QUOTA_NAME_MAX + 1];
  uint32_t millitokens;
  uint64_t used_ms; ///< for replacement of the longest unused
};

struct quota_table
{
  uint32_t ratio_permille; ///< tokens that one request gives, thousandths
  uint32_t burst_tokens;   ///< tokens saved up at most
  size_t count;
  struct quota *items; ///< grown as services appear
};

/// @param ratio_permille  repeated sends of all nodes per request, thousandths
void quota_init (struct quota_table *table, uint32_t ratio_permille);
void quota_finish (struct quota_table *table);

/// Sets the part of the slack that this node may use.
/// @param slack  repeated sends of all nodes beyond the ratio, per window
/// @param nodes  nodes that share it
void quota_set_slack (struct quota_table *table, uint32_t slack, size_t nodes);

/// Counts a first send to a service.
void quota_count (struct quota_table *table, const char *service,
                  uint64_t now_ms);

/// @return true when a repeated send was taken from the budget
bool quota_take (struct quota_table *table, const char *service,
                 uint64_t now_ms);

#endif
