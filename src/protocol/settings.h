/// Settings of a node, read once from a YAML file and checked as a whole.
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

/// A mesh key, shared by all nodes of a mesh.
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
  uint32_t address;               ///< of this node; IPv4, host byte order
  uint16_t peer_port;             ///< default 7000
  uint16_t call_port;             ///< default 7001
  struct settings_endpoint admin; ///< default 127.0.0.1:7002
  struct settings_endpoint store;
  struct settings_endpoint seeds[SETTINGS_SEEDS_MAX];
  size_t seed_count;
  struct settings_key keys[SETTINGS_KEYS_MAX]; ///< the first one encrypts
  size_t key_count;
  uint32_t claim_partitions; ///< default 10
  uint32_t claim_window_s;   ///< default 900
  uint32_t request_body_max; ///< bytes, default 1 MiB
  uint32_t call_concurrency; ///< calls in progress at this node, default 1024
};

/// Parses settings in YAML.
/// @param settings  set only with STATUS_OK
/// @param file      name of the file for findings
/// @param findings  initialized by the caller
/// @return STATUS_INVALID when findings were added
enum status settings_parse (struct settings *settings, const char *file,
                            const char *yaml, size_t size,
                            struct findings *findings);

/// Reads settings from a file of at most 64 KiB.
/// @return as settings_parse and document_read_file
enum status settings_load (struct settings *settings, const char *path,
                           struct findings *findings);

#endif
