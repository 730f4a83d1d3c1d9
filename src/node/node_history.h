/// Reads version records and older contents from the store, walking back from
/// the head by the hashes that each record holds.
#ifndef HAWTHORNSEAM_NODE_NODE_HISTORY_H
#define HAWTHORNSEAM_NODE_NODE_HISTORY_H

#include "node/node.h"
#include "protocol/record.h"

/// Records read for one request; older ones are refused.
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
  /// Receives accepted records, the newest first.
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

/// Restores the content of an older version from a snapshot and records.
/// @param done  called once; the config is set with STATUS_OK and finished by
///              the receiver
void node_history_restore (struct node *node, const struct record_head *head,
                           uint64_t version,
                           void (*done) (void *arg, enum status status,
                                         struct config *config),
                           void *arg);

#endif
