/// Codecs (JSON) of a move's record in the store, which all nodes follow, and
/// of the evidence that a node gives of its own target.
#ifndef HAWTHORNSEAM_PROTOCOL_MOVE_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_MOVE_RECORD_H

#include "base/status.h"
#include "coordination/rollout.h"
#include "protocol/adapter.h"

#define MOVE_RECORD_MAX 1024
#define MOVE_EVIDENCE_MAX 4096

struct move_share
{
  uint32_t kind;
  uint32_t share_bp;
};

struct move_record
{
  char service[DIRECTORY_NAME_MAX + 1];
  char to_version[DIRECTORY_NAME_MAX + 1];
  uint64_t order; ///< revision of the order in the store
  enum move_phase phase;
  uint32_t share_bp; ///< of kinds that are not listed, basis points
  size_t kind_count;
  struct move_share kinds[ROLLOUT_KINDS];
};

/// Counts of one target since its start.
struct move_evidence
{
  char instance[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1];
  uint32_t occupied; ///< requests that run or wait
  size_t kind_count;
  struct
  {
    uint32_t kind;
    struct rollout_counts counts;
  } kinds[ROLLOUT_KINDS];
};

/// @return bytes written, 0 when the record does not fit
size_t move_record_write (const struct move_record *record,
                          char text[MOVE_RECORD_MAX]);
enum status move_record_read (const uint8_t *data, size_t size,
                              struct move_record *record);

size_t move_evidence_write (const struct move_evidence *evidence,
                            char text[MOVE_EVIDENCE_MAX]);
enum status move_evidence_read (const char *data, size_t size,
                                struct move_evidence *evidence);

#endif
