/// Notices of leaves at other nodes. A leave that the store cannot record in
/// time is acknowledged once another node holds its notice. That node passes
/// it to the next process of the target's node, and to the store when it is
/// reachable again.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_LEAVE_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_LEAVE_H

#include "sidecar/sidecar.h"

/// Follows adapter_ops.own_prefix in the keys of notices; the names of the
/// target's node and of the holder complete the key.
#define LEAVE_KEY_PREFIX "left/"

enum status sidecar_leave_start (struct sidecar *sidecar);
void sidecar_leave_stop (struct sidecar *sidecar);

/// Asks other nodes to hold the notice of the own target's leave. Calls
/// sidecar_target_recorded once one of them does.
/// @return true if one of them did so a short time ago
bool sidecar_leave_replicate (struct sidecar *sidecar);

/// Asks the holders for a notice that an earlier process of this node left
/// with them. Its view counts as caught up once they have answered or had the
/// time to.
void sidecar_leave_ask (struct sidecar *sidecar);

/// Holds the notice of another node, or answers its question for one.
void sidecar_leave_serve (struct sidecar *sidecar,
                          struct http_request *request);

/// Applies the notice of a leave as read from the store.
void sidecar_leave_on_record (struct sidecar *sidecar,
                              const struct store_key *key);

/// Called when the store was restored from an older copy: the notices in it,
/// and the own target's leave, may be lost. They are written again.
void sidecar_leave_restored (struct sidecar *sidecar);

/// Ends calls that took too long, and brings the store up to date.
void sidecar_leave_tick (struct sidecar *sidecar);

#endif
