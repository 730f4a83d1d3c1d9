/// Owns the moves of services to new target versions.
#include "sidecar/sidecar.h"

enum status
sidecar_moves_start (struct sidecar *sidecar)
{
  return STATUS_OK;
}

void
sidecar_moves_stop (struct sidecar *sidecar)
{
}

void
sidecar_moves_choose (struct sidecar *sidecar, const char *service,
                      struct place_version *version)
{
}

void
sidecar_moves_observe (struct sidecar *sidecar, uint32_t kind, bool failed,
                       uint32_t latency_us)
{
}

void
sidecar_moves_on_key (struct sidecar *sidecar, const struct store_key *key)
{
}

void
sidecar_moves_tick (struct sidecar *sidecar)
{
}
