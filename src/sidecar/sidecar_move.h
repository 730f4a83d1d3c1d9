/// The parts of moves: what all nodes follow (sidecar_move.c) and what the
/// driver of a move does (sidecar_move_driver.c).
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_MOVE_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_MOVE_H

#include "protocol/move_record.h"
#include "sidecar/sidecar.h"

/// Services with a move that a node follows at the same time.
#define MOVES_MAX 32

/// Position of the rotation between the versions for one kind of request.
struct move_credit
{
  uint32_t kind;
  uint32_t credit_bp;
};

/// Evidence of one node's target as it was last asked.
struct move_source
{
  char node[DIRECTORY_NAME_MAX + 1];
  struct move_evidence last;
  uint64_t asked_ms;
  uint64_t answered_ms;
  struct http_exchange *exchange; ///< a question without answer
  struct evbuffer *body;
  struct service_move *move;
  struct move_source *next;
};

struct service_move
{
  struct sidecar *sidecar;
  char service[DIRECTORY_NAME_MAX + 1]; ///< empty: unused
  bool has_order;
  struct move_order order;
  uint64_t order_revision;
  uint64_t order_ms; ///< when this node learned of it
  bool has_record;
  struct move_record record;
  uint64_t record_revision; ///< 0: none
  bool tripped;             ///< the own target failed too often
  size_t credit_count;
  struct move_credit credits[ROLLOUT_KINDS];
  /* of the driver and its second */
  struct rollout *rollout; ///< NULL while this node does not drive
  struct move_source *sources;
  bool writing;
  uint64_t next_write_ms;
  uint64_t status_revision;
  bool status_known; ///< the status in the store is the record's phase
  bool status_writing;
  struct move_record writing_record;
  enum move_phase writing_phase;
};

/// Services whose usual version is kept.
#define USUAL_VERSIONS 64

struct usual_version
{
  uint64_t generation; ///< of the directory when it was counted; 0: never
  char service[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1]; ///< empty: no target
};

struct sidecar_moves
{
  struct usual_version usual[USUAL_VERSIONS];
  struct service_move items[MOVES_MAX];
  struct move_evidence own; ///< counts of the own target
  uint64_t next_drive_ms;
};

/// @return true when a record belongs to the present order
bool sidecar_move_is_current (const struct service_move *move);

/// Drives the moves that this node is to drive.
void sidecar_move_drive (struct service_move *move, uint64_t now_ms);
void sidecar_move_stop_driving (struct service_move *move);

#endif
