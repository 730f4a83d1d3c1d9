/// Moves of services to new target versions: the part of every node
/// (sidecar_move.c), the part of a move's driver (sidecar_move_driver.c), and
/// what a restore of the store changes (sidecar_move_restore.c).
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_MOVE_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_MOVE_H

#include "coordination/rollout_spread.h"
#include "protocol/move_record.h"
#include "sidecar/sidecar.h"

/// Largest number of services whose moves a node tracks at the same time.
#define MOVES_MAX 32

/// State of the weighted rotation between the versions for one kind of
/// request.
struct move_credit
{
  uint32_t kind;
  uint32_t credit_bp;
};

struct move_rotation
{
  size_t credit_count;
  struct move_credit credits[ROLLOUT_KINDS];
};

/// Evidence (counts of calls, failures and latencies) of one node's target as
/// of its last response.
struct evidence_source
{
  char node[DIRECTORY_NAME_MAX + 1];
  struct move_evidence last;
  uint64_t requested_ms;
  uint64_t responded_ms;
  struct http_exchange *exchange; ///< request in flight, or NULL
  struct evbuffer *body;          ///< response body received so far
  struct service_move *move;
  struct evidence_source *next;
};

struct service_move
{
  struct sidecar *sidecar;
  char service[DIRECTORY_NAME_MAX + 1]; ///< empty: unused
  bool has_order;
  struct move_order order;
  uint64_t order_revision;
  uint64_t replaced_order; ///< number of the order before it, as a revision
  uint64_t order_ms;       ///< when this node learned of it
  bool has_record;
  struct move_record record;
  uint64_t record_revision; ///< 0: none
  bool
      record_lost; ///< the store was restored and has an earlier step, or none
  bool tripped;    ///< this node's target failed too often
  struct move_rotation rotation;
  struct rollout_spread spread; ///< which targets of the new version are used
  /* Used by the driver and the standby driver only */
  struct rollout *rollout; ///< NULL while this node does not drive
  struct evidence_source *sources;
  bool writing;
  uint64_t next_write_ms;
  uint64_t status_revision;
  bool status_known; ///< the status in the store matches the record's phase
  bool status_writing;
  struct move_record writing_record;
  enum move_phase writing_phase;
};

/// Slots of the cache of majority versions, chosen by a hash of the service.
#define MAJORITY_VERSIONS 64

/// The version that most ready targets of a service run.
struct majority_version
{
  uint64_t generation; ///< of the directory at the count; 0: never counted
  char service[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1]; ///< empty: no ready target
};

struct sidecar_moves
{
  struct majority_version majority[MAJORITY_VERSIONS];
  struct service_move items[MOVES_MAX];
  struct move_evidence own_evidence; ///< of this node's target
  uint64_t next_drive_ms;
};

/// Takes over a record from the store. The operator's status has to be written
/// again when the phase differs, whoever wrote the record.
void sidecar_move_set_record (struct service_move *move,
                              const struct move_record *record,
                              uint64_t revision);

/// Takes over a record that the store has, unless the store was restored from
/// a copy in which the move is behind what this node knows.
/// @return false if the node keeps to its own record
bool sidecar_move_merge_record (struct service_move *move,
                                const struct move_record *record,
                                uint64_t revision);

/// Decides whether the current order stays although the store has another
/// revision of it, or an earlier order, since it was restored. Goes on under
/// the new revision of the current order.
/// @return false for an order to follow from now on
bool sidecar_move_keep_order (struct service_move *move,
                              const struct move_order *order,
                              uint64_t revision);

/// @return the move of a service that this node follows, or NULL
const struct service_move *sidecar_move_find (const struct sidecar *sidecar,
                                              const char *service);

/// Finds the version that sidecar_moves_choose would choose for a first
/// attempt; the rotation between the versions stays as it is.
/// @param rng  copy of the node's random numbers
void sidecar_move_preview (struct sidecar *sidecar, const char *service,
                           uint32_t kind, struct rng *rng,
                           struct placement_version *version);

/// @return true when the record belongs to the current order
bool sidecar_move_is_current (const struct service_move *move);

/// Ranks the new version's targets by the current directory.
/// @return false without memory
bool sidecar_move_rank_targets (struct service_move *move);

/// Advances a move when this node is its driver or standby driver. On any
/// node, rolls the move back when the own target tripped.
void sidecar_move_drive (struct service_move *move, uint64_t now_ms);
/// Cancels the requests for evidence and frees the driver's state.
void sidecar_move_stop_driving (struct service_move *move);

#endif
