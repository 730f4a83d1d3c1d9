/// Reading and repairing the configuration in the store; shared by
/// node_config.c, node_fetch.c, node_publish.c and node_restore_head.c.
#ifndef HAWTHORNSEAM_NODE_NODE_CONFIG_H
#define HAWTHORNSEAM_NODE_NODE_CONFIG_H

#include "node/node.h"
#include "protocol/record.h"

/// Broadcast kind of an encoded version record, the same as
/// BROADCAST_KIND_VERSION_RECORD.
#define NODE_BROADCAST_RECORD 1

/// Reads the versions after the one in force up to a head from the store, puts
/// them in force and broadcasts them.
/// @param done  called once, possibly before the return; STATUS_OK when no
///              version up to the head is missing
void node_fetch (struct node *node, const struct record_head *head,
                 void (*done) (void *arg, enum status status), void *arg);

/// Writes the version in force to a store that lost versions, as its head.
/// @param revision  revision of the head in the store, 0 when it has none
/// @param done      called once, possibly before the return;
///                  STATUS_UNAVAILABLE when this node does not keep the
///                  version's record
void node_restore_head (struct node *node, uint64_t revision,
                        void (*done) (void *arg, enum status status),
                        void *arg);

#endif
