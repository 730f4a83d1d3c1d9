/// JSON encoding of the record of a move in the store, which all nodes follow,
/// and of the evidence that a node reports about its target.
#ifndef HAWTHORNSEAM_PROTOCOL_MOVE_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_MOVE_RECORD_H

#include "base/status.h"
#include "coordination/rollout.h"
#include "protocol/adapter.h"

#define MOVE_RECORD_MAX 1024   ///< bytes of an encoded record, with terminator
#define MOVE_EVIDENCE_MAX 4096 ///< bytes of encoded evidence, with terminator

/// Share of the new version for one kind of request.
struct move_share
{
  uint32_t kind;     ///< hash of the route
  uint32_t share_bp; ///< basis points
};

struct move_record
{
  char service[DIRECTORY_NAME_MAX + 1];
  char to_version[DIRECTORY_NAME_MAX + 1];
  uint64_t order; ///< number that the store gave the move order as a revision;
                  ///< a restored store may give it to another one
  enum move_phase phase;
  uint32_t share_bp; ///< share of kinds not in the list, basis points
  size_t kind_count;
  struct move_share kinds[ROLLOUT_KINDS];
};

/// Counts of a target's requests since its start.
struct move_evidence
{
  char instance[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1];
  uint32_t occupied; ///< requests that run or wait at the target
  size_t kind_count;
  struct
  {
    uint32_t kind;
    struct rollout_counts counts;
  } kinds[ROLLOUT_KINDS];
};

/// @return bytes written without the terminating zero, 0 when the text does
/// not fit
size_t move_record_write (const struct move_record *record,
                          char text[MOVE_RECORD_MAX]);

/// @return STATUS_INVALID when a field is missing or out of range
enum status move_record_read (const uint8_t *data, size_t size,
                              struct move_record *record);

/// @return as for move_record_write
size_t move_evidence_write (const struct move_evidence *evidence,
                            char text[MOVE_EVIDENCE_MAX]);

/// @return STATUS_INVALID when a field is missing or out of range
enum status move_evidence_read (const char *data, size_t size,
                                struct move_evidence *evidence);

#endif
