/// Parts of the node's access to the configuration in the store: shared
/// between node_config.c, node_fetch.c, node_publish.c and node_restore.c.
#ifndef HAWTHORNSEAM_NODE_NODE_CONFIG_H
#define HAWTHORNSEAM_NODE_NODE_CONFIG_H

#include "node/node.h"
#include "protocol/record.h"

/// Broadcast kind of an encoded version record.
#define NODE_BROADCAST_RECORD 1

/// Reads the versions between the one in force and a head from the store, puts
/// them in force and broadcasts them.
/// @param done  called once, later; STATUS_OK when nothing is missing any more
void node_fetch (struct node *node, const struct record_head *head,
                 void (*done) (void *arg, enum status status), void *arg);

/// Writes the version in force back as the head of a store that returned with
/// older content.
/// @param revision  revision of the older head, 0 when the store has none
void node_restore (struct node *node, uint64_t revision,
                   void (*done) (void *arg, enum status status), void *arg);

#endif
