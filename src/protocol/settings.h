/// Settings of a node, read once from a YAML file and checked whole.
#ifndef HAWTHORNSEAM_PROTOCOL_SETTINGS_H
#define HAWTHORNSEAM_PROTOCOL_SETTINGS_H

#include "base/findings.h"
#include "base/status.h"
#include "state/member.h"

#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_KEYS_MAX 2
#define SETTINGS_KEY_SIZE 32

struct settings_endpoint
{
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
};

struct settings_key
{
  uint32_t id;
  uint8_t bytes[SETTINGS_KEY_SIZE];
};

struct settings
{
  char mesh[MEMBER_NAME_MAX + 1];
  char slot[MEMBER_NAME_MAX + 1];
  char availability_zone[MEMBER_NAME_MAX + 1];
  char region[MEMBER_NAME_MAX + 1];
  uint32_t address; ///< of this node, IPv4, host byte order
  uint16_t peer_port;
  uint16_t call_port;
  struct settings_endpoint admin; ///< loopback unless set
  struct settings_endpoint store;
  struct settings_endpoint seeds[SETTINGS_SEEDS_MAX];
  size_t seed_count;
  struct settings_key keys[SETTINGS_KEYS_MAX]; ///< the first one is sent
  size_t key_count;
  uint32_t claim_partitions; ///< default 10
  uint32_t claim_window_s;   ///< default 900
  uint32_t request_body_max; ///< bytes, default 1 MiB
  uint32_t call_concurrency; ///< calls in progress at this node, default 1024
};

/// Reads settings from YAML.
/// @param file      name for findings
/// @param findings  started by the caller
/// @return STATUS_INVALID when there are findings
enum status settings_parse (struct settings *settings, const char *file,
                            const char *yaml, size_t size,
                            struct findings *findings);

/// Reads settings from a file of at most 64 KiB.
enum status settings_load (struct settings *settings, const char *path,
                           struct findings *findings);

#endif
