/// Settings of a sidecar, read from YAML. A file with any error is rejected.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_SETTINGS_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_SETTINGS_H

#include "base/findings.h"
#include "base/status.h"
#include "protocol/settings.h"
#include "state/directory.h"

/// How the admission queue beside the target orders and refuses requests.
enum sidecar_admission
{
  SIDECAR_ADMISSION_AUTO, ///< by cost if the configuration has client
                          ///< accounts, otherwise by rank
  SIDECAR_ADMISSION_RANK,
  SIDECAR_ADMISSION_COST
};

struct sidecar_settings
{
  char node[DIRECTORY_NAME_MAX + 1];
  char availability_zone[DIRECTORY_NAME_MAX + 1];
  char service[DIRECTORY_NAME_MAX + 1]; ///< of the target beside the node
  struct settings_endpoint calls;       ///< listens for callers on this VM
  struct settings_endpoint peers;       ///< listens for other nodes
  struct settings_endpoint ready;       ///< listens for readiness probes
  struct settings_endpoint reports;     ///< listens for reports of the target
  struct settings_endpoint target;      ///< address of the local target
  struct settings_endpoint store;       ///< address of the store
  struct settings_endpoint metrics;     ///< port 0: not served
  uint32_t lease_min_ms;      ///< shortest lease that the store grants
  uint32_t store_reads_per_s; ///< limit of the store for all nodes
  uint32_t heartbeat_ms;      ///< interval of the target's reports
  uint32_t drain_ms;          ///< limit for new requests to a draining target
  uint32_t config_apply_ms;   ///< limit for a new configuration to take effect
  uint32_t grace_ms;          ///< from SIGTERM to SIGKILL
  uint32_t retry_ratio_permille; ///< retries of all nodes per 1000 requests
  uint32_t retry_slack;          ///< retries of all nodes beyond the ratio
  uint32_t link_kbit_per_s;      ///< rate of the VM's link; 0: no limit
  uint32_t cold_slack; ///< requests beyond the rate that a cold target
                       ///< tolerates in one second
  uint32_t memory_mb;  ///< limit of this process, MiB
  uint32_t admission;  ///< enum sidecar_admission
  /// Address at which other nodes reach `peers`, for VMs behind a port
  /// mapping; the same as `peers` unless set.
  struct settings_endpoint announced;
};

/// @param settings  unchanged on failure
/// @param findings  initialized by the caller; errors are added
/// @return STATUS_INVALID when errors were found
enum status sidecar_settings_parse (struct sidecar_settings *settings,
                                    const char *yaml, size_t size,
                                    struct findings *findings);

/// Reads the settings from a file of at most 64 KiB.
/// @return a status of sidecar_settings_parse, or that of reading the file
enum status sidecar_settings_load (struct sidecar_settings *settings,
                                   const char *path,
                                   struct findings *findings);

#endif
