/// Choice of the nodes that hold the notice of a leave while the store cannot
/// record it. The node of the leaving target and its next process make the
/// same choice from their directories, so the next process knows whom to ask.
#ifndef HAWTHORNSEAM_COORDINATION_LEAVE_HOLDERS_H
#define HAWTHORNSEAM_COORDINATION_LEAVE_HOLDERS_H

#include "state/directory.h"

/// Nodes that hold a notice. It is lost only if all of them fail together with
/// the node that left it there.
#define LEAVE_HOLDERS_MAX 3

/// Chooses holders by rendezvous hashing of the node names.
/// @param own_node  node of the leaving target; never chosen
/// @param handles   set to directory handles
/// @return number of holders, less than LEAVE_HOLDERS_MAX if there are fewer
///         other nodes
size_t leave_holders_choose (const struct directory *directory,
                             const char *own_node,
                             size_t handles[LEAVE_HOLDERS_MAX]);

#endif
