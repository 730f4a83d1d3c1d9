/// Settings of a sidecar, read from YAML and checked whole.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_SETTINGS_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_SETTINGS_H

#include "base/findings.h"
#include "base/status.h"
#include "protocol/settings.h"
#include "state/directory.h"

struct sidecar_settings
{
  char node[DIRECTORY_NAME_MAX + 1];
  char availability_zone[DIRECTORY_NAME_MAX + 1];
  char service[DIRECTORY_NAME_MAX + 1]; ///< of the target beside the node
  struct settings_endpoint calls;   ///< where callers on this VM send requests
  struct settings_endpoint peers;   ///< where other nodes send requests
  struct settings_endpoint ready;   ///< where the platform asks for readiness
  struct settings_endpoint reports; ///< where the target reports itself
  struct settings_endpoint target;
  struct settings_endpoint store;
  struct settings_endpoint metrics; ///< port 0: not served
  uint32_t lease_min_ms;            ///< shortest lease of the store
  uint32_t store_reads_per_s;       ///< that the store serves to all nodes
  uint32_t heartbeat_ms;            ///< interval of the target's reports
  uint32_t drain_ms;        ///< after this a leaving target gets no request
  uint32_t config_apply_ms; ///< within this a configuration is in force
  uint32_t grace_ms;        ///< from SIGTERM to SIGKILL
  uint32_t retry_ratio_permille; ///< retries of all nodes per request
  uint32_t retry_slack;          ///< retries of all nodes beyond the ratio
  uint32_t link_kbit_per_s;      ///< of the VM; 0: not a limit
  /// Where other nodes reach `peers`; differs behind a port mapping.
  struct settings_endpoint announced;
};

/// @param findings  started by the caller
/// @return STATUS_INVALID when there are findings
enum status sidecar_settings_parse (struct sidecar_settings *settings,
                                    const char *yaml, size_t size,
                                    struct findings *findings);

/// Reads a file of at most 64 KiB.
enum status sidecar_settings_load (struct sidecar_settings *settings,
                                   const char *path,
                                   struct findings *findings);

#endif
