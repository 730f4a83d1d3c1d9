/// Reads version records and older configurations from the store. A walk goes
/// back from the head along the hashes of the previous version that the
/// records hold.
#ifndef HAWTHORNSEAM_NODE_NODE_HISTORY_H
#define HAWTHORNSEAM_NODE_NODE_HISTORY_H

#include "node/node.h"
#include "protocol/record.h"

/// Limit of records that are read for one request.
#define NODE_HISTORY_MAX 4096

/// Reads the head record.
/// @param done  called once; head is set with STATUS_OK; STATUS_NOT_FOUND
///              before the first version
void node_history_head (struct node *node,
                        void (*done) (void *arg, enum status status,
                                      const struct record_head *head),
                        void *arg);

struct node_history_ops
{
  /// Called for each accepted record, the newest first.
  /// @return false to end the walk
  bool (*record) (void *arg, const struct config_record *record);
  /// Called once at the end: STATUS_OK when the walk was ended or reached the
  /// first version, STATUS_NOT_FOUND when older records have been deleted.
  void (*end) (void *arg, enum status status);
};

/// Walks back from a head.
/// @param ops  borrowed until `end` is called
void node_history_walk (struct node *node, const struct record_head *head,
                        const struct node_history_ops *ops, void *arg);

/// Restores the configuration of an older version from a snapshot and records.
/// @param done  called once; `config` is set with STATUS_OK and finished by
///              the callee; STATUS_TOO_LARGE when too many records, or too
///              many bytes, lie between the head and the snapshot
void node_history_restore (struct node *node, const struct record_head *head,
                           uint64_t version,
                           void (*done) (void *arg, enum status status,
                                         struct config *config),
                           void *arg);

#endif
