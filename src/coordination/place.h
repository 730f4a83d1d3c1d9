/// Choice of the node that gets a request: the least expected time among a few
/// random candidates, from what their answers said of load and speed. Answers
/// the load of uneven, cold, failing and slow targets.
#ifndef HAWTHORNSEAM_COORDINATION_PLACE_H
#define HAWTHORNSEAM_COORDINATION_PLACE_H

#include "base/rng.h"
#include "state/directory.h"

/// Nodes that one request may be offered to.
#define PLACE_TRIED_MAX 8

/// Which versions of a service may get a request.
struct place_version
{
  const char *name; ///< NULL: any version
  bool exclude;     ///< true: any version but this one
};

struct place_request
{
  const char *service;
  struct place_version version;
  const char *availability_zone; ///< of the caller
  bool large_answer;             ///< bytes between zones matter
  uint32_t objective_ms;         ///< time left for full value
  size_t tried[PLACE_TRIED_MAX]; ///< handles that are not chosen again
  size_t tried_count;
};

/// @return handle, or SIZE_MAX when no node may get the request
size_t place_choose (const struct directory *directory,
                     const struct place_request *request, struct rng *rng,
                     uint64_t now_ms);

/// Observations of one call to a node.
enum place_result
{
  PLACE_ANSWERED,  ///< a good answer
  PLACE_FAILED,    ///< the target ran it and failed
  PLACE_REFUSED,   ///< the node refused it for load
  PLACE_SHED,      ///< the target refused it
  PLACE_NO_TARGET, ///< the node has no target that takes requests
  PLACE_LOST,      ///< no connection, or no answer
  PLACE_CANCELLED  ///< says nothing of the node
};

void place_begin (struct directory_record *record);
void place_end (struct directory_record *record, enum place_result result,
                uint64_t now_ms);

/// Takes the load that came with an answer.
void place_report (struct directory_record *record, uint32_t running,
                   uint32_t waiting, uint32_t service_us, uint64_t now_ms);

#endif
