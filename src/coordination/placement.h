/// Placement of a request: of a few random candidate nodes, the one with the
/// least expected response time is chosen. The estimate uses the load and the
/// service time that the nodes report with their responses, so that
/// overloaded, cold, failing and slow targets get fewer requests.
#ifndef HAWTHORNSEAM_COORDINATION_PLACEMENT_H
#define HAWTHORNSEAM_COORDINATION_PLACEMENT_H

#include "base/rng.h"
#include "state/directory.h"
#include "state/evacuation.h"

/// Maximum number of tried nodes that are recorded for one request.
#define PLACEMENT_TRIED_MAX 8

/// Largest number of nodes that are compared for one request.
#define PLACEMENT_COMPARED_MAX 5

/// Versions of a service that may get a request.
struct placement_version
{
  const char *name; ///< NULL: any version
  bool exclude;     ///< true: any version but this one
  const bool *only; ///< by handle, the targets that may get it; NULL: all
};

struct placement_request
{
  const char *service;
  struct placement_version version;
  const char *availability_zone; ///< of this node
  const struct evacuation_set
      *evacuations;      ///< zones that get nothing, or NULL
  bool large_response;   ///< avoid sending the response across zones
  uint32_t objective_ms; ///< time left until the latency objective
  /* The following are used only for targets that report their speed. */
  uint64_t body_bytes;       ///< size of the request's body
  uint64_t link_bytes_per_s; ///< rate of this VM's link; 0: no limit
  const char *own_node;      ///< name of this node; NULL: it has no target
  size_t tried[PLACEMENT_TRIED_MAX]; ///< handles that must not be chosen again
  size_t tried_count;
};

/// Why a node may not get a request, in the order in which it is checked.
enum placement_obstacle
{
  PLACEMENT_ELIGIBLE,
  PLACEMENT_OTHER_SERVICE, ///< not in use, or of another service
  PLACEMENT_TARGET_ABSENT,
  PLACEMENT_TARGET_DRAINING,
  PLACEMENT_NODE_LEAVING,
  PLACEMENT_ZONE_EVACUATED,
  PLACEMENT_OTHER_VERSION,
  PLACEMENT_LATER_IN_MOVE, ///< gets its share of the new version later
  PLACEMENT_TRIED,         ///< the request was offered to it before
  PLACEMENT_FAILED_LATELY  ///< eligible only if all others have an obstacle
};

/// What is assumed of a target without reports.
struct placement_speed_typical
{
  uint64_t service_us; ///< at 100 percent
  double busy;         ///< running and queued requests per slot
};

/// What the estimates of one decision are relative to.
struct placement_basis
{
  bool with_speed; ///< one of the eligible targets reports its speed
  struct placement_speed_typical typical; ///< of the candidates
};

/// Expected time until the response of a node, by cause, microseconds.
struct placement_estimate
{
  uint64_t service_us; ///< in the target, at the speed that is expected of it
  uint64_t queue_us;   ///< waiting for a slot
  uint64_t zone_us;    ///< cost of another zone
  uint64_t body_us;    ///< transfer of the request's body
  uint64_t failure_us; ///< cost of the failures to be expected
};

/// A choice and what it is based on.
struct placement_decision
{
  size_t best; ///< handle of the chosen node, or SIZE_MAX
  size_t compared[PLACEMENT_COMPARED_MAX]; ///< handles of the candidates
  size_t compared_count;
  bool with_failed; ///< nodes that failed lately were eligible, too
  struct placement_basis basis;
};

/// Draws candidates and chooses one of them.
void placement_decide (const struct directory *directory,
                       const struct placement_request *request,
                       struct rng *rng, uint64_t now_ms,
                       struct placement_decision *decision);

/// @return why the node with a handle may not get the request
enum placement_obstacle
placement_obstacle (const struct directory *directory,
                    const struct placement_request *request, size_t handle,
                    uint64_t now_ms);

struct placement_estimate
placement_estimate (const struct directory_record *record,
                    const struct placement_request *request,
                    const struct placement_basis *basis, uint64_t now_ms);

/// @return sum of the parts, by which candidates are compared, microseconds
uint64_t placement_estimate_us (const struct placement_estimate *estimate);

/// @return handle of the chosen node, or SIZE_MAX when none is eligible
size_t placement_choose (const struct directory *directory,
                         const struct placement_request *request,
                         struct rng *rng, uint64_t now_ms);

/// How one call to a node ended.
enum placement_result
{
  PLACEMENT_ANSWERED,  ///< complete response with a status below 500
  PLACEMENT_FAILED,    ///< the response was a failure, unusable or truncated
  PLACEMENT_REFUSED,   ///< the node refused it because of its load
  PLACEMENT_SHED,      ///< the target refused it
  PLACEMENT_NO_TARGET, ///< the node has no target that accepts requests
  PLACEMENT_LOST,      ///< no connection, or the response was lost
  PLACEMENT_CANCELLED  ///< cancelled; says nothing about the node
};

/// Counts a request that is sent to a node.
void placement_begin (struct directory_record *record);
/// Counts its end and updates the failure statistics of the node.
void placement_end (struct directory_record *record,
                    enum placement_result result, uint64_t now_ms);

/// Stores the load that a node reported with a response.
void placement_report (struct directory_record *record, uint32_t running,
                       uint32_t waiting, uint32_t service_us, uint64_t now_ms);

/// Stores the speed of the target that the same report contained. A report
/// without this call is one without the figure.
/// @param link_free_kbytes_per_s  rate left for bodies on the VM's link; 0:
///                                unknown
/// @param speed_percent  how long work takes now, at least 1; 100: as usual.
///                       The service time of the report is that at 100
///                       percent.
void placement_report_speed (struct directory_record *record,
                             uint32_t speed_percent,
                             uint32_t link_free_kbytes_per_s);

#endif
