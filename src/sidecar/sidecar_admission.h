/// Choice of the admission policy beside the target, and its metrics.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_ADMISSION_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_ADMISSION_H

#include "sidecar/sidecar_inbound.h"

/// Applies the setting, or with `auto` the configuration in force. Called
/// periodically, so that a change takes effect while running.
void sidecar_admission_tick (struct sidecar *sidecar);

/// Counts a request that admission refused.
void
sidecar_admission_count_refusal (const struct admission_queue_ticket *ticket,
                                 enum admit_refusal why);

/// @return Retry-After of a refused request, milliseconds: after the queue
///         has drained for it, and spread over the time that callers honour
uint64_t sidecar_admission_retry_after_ms (struct sidecar *sidecar,
                                           struct sidecar_inbound *inbound);

/// Appends the policy and the outcomes of each kind in the format of the
/// metrics.
void sidecar_admission_add_metrics (const struct sidecar *sidecar,
                                    struct evbuffer *text);

#endif
