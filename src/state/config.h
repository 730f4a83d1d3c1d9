/// One version of the mesh configuration: services, routes and moves, sorted
/// by name, with a canonical encoding and a content hash.
#ifndef HAWTHORNSEAM_STATE_CONFIG_H
#define HAWTHORNSEAM_STATE_CONFIG_H

#include "base/findings.h"
#include "base/hash.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Limits of one configuration, checked before anything is sent.
#define CONFIG_SERVICES_MAX 4096
#define CONFIG_ROUTES_MAX 16384
#define CONFIG_MOVES_MAX 1024
#define CONFIG_NAME_MAX 63 ///< bytes of a name: [a-z0-9-], first a letter

/// Basis points in a whole; shares of traffic are given in them.
#define CONFIG_SHARE_ALL 10000

enum config_kind
{
  CONFIG_SERVICE = 1,
  CONFIG_ROUTE = 2,
  CONFIG_MOVE = 3
};

enum move_phase
{
  MOVE_RUNNING,
  MOVE_DONE,
  MOVE_TAKEN_BACK,
  MOVE_CANCELLED
};

struct config_service
{
  const char *name;
  const char *version; ///< target version that carries the traffic
};

struct config_route
{
  const char *name;
  const char *prefix;  ///< path prefix, starts with '/'
  const char *service; ///< name of a declared service
  bool idempotent;
  uint32_t timeout_ms; ///< default deadline of a call
};

struct config_move
{
  const char *name;
  const char *service;
  const char *from;
  const char *to;
  uint64_t by_ms; ///< stated time, wall clock, ms since the epoch
  /* Written by the system. */
  enum move_phase phase;
  uint32_t share_bp; ///< share of the service's calls for `to`
  uint32_t step;     ///< number of steps taken
  const char *reason;
};

struct config
{
  void *arena; ///< talloc context of all strings and arrays
  uint64_t version;
  struct content_hash hash; ///< hash of the canonical encoding
  struct config_service *services;
  size_t service_count;
  struct config_route *routes;
  size_t route_count;
  struct config_move *moves;
  size_t move_count;
};

/// The change from one version to the next; also an entry of the audit trail.
struct config_record
{
  uint64_t version; ///< the version that the record creates
  struct content_hash previous_hash;
  struct content_hash hash;
  uint64_t nonce;        ///< identifies the writer's attempt
  const char *author;    ///< operator, or "move-driver <slot>"
  uint64_t wall_ms;      ///< writer's wall clock
  uint64_t base_version; ///< version that the author had seen
  const char *note;
  const uint8_t *delta; ///< from config_diff
  size_t delta_size;
};

/// Starts an empty configuration, version 0.
void config_init (struct config *config);

/// Releases all memory of a configuration.
void config_finish (struct config *config);

/// Copies a configuration into one that is not yet started.
enum status config_copy (struct config *copy, const struct config *config);

/// Adds an object or replaces the one of the same name. Strings are copied.
enum status config_set_service (struct config *config,
                                const struct config_service *service);
enum status config_set_route (struct config *config,
                              const struct config_route *route);
enum status config_set_move (struct config *config,
                             const struct config_move *move);

/// Removes an object.
/// @return STATUS_NOT_FOUND when there is none
enum status config_remove (struct config *config, enum config_kind kind,
                           const char *name);

/// @return the object or NULL
const struct config_service *config_find_service (const struct config *config,
                                                  const char *name);
const struct config_route *config_find_route (const struct config *config,
                                              const char *name);
const struct config_move *config_find_move (const struct config *config,
                                            const char *name);

/// Checks names, limits, references and that each service has at most one
/// running move; adds a finding with the field path for each problem.
/// @return STATUS_INVALID when there is a finding
enum status config_check (const struct config *config,
                          struct findings *findings);

/// Writes the canonical msgpack encoding; equal contents give equal bytes.
/// @param arena  talloc context that owns the bytes
enum status config_encode (const struct config *config, void *arena,
                           uint8_t **bytes, size_t *size);

/// Reads a canonical encoding, checks it whole and computes the hash. The
/// version number stays 0 and is set by the caller.
/// @return STATUS_CORRUPT or STATUS_INVALID with nothing started
enum status config_decode (struct config *config, const uint8_t *bytes,
                           size_t size);

/// Recomputes the content hash after changes.
enum status config_rehash (struct config *config);

/// Encodes the upserts and removals that lead from one content to another.
enum status config_diff (const struct config *from, const struct config *to,
                         void *arena, uint8_t **delta, size_t *size);

/// Applies a record whole or not at all: builds the new content beside the old
/// one, checks version, previous hash, references and resulting hash.
/// @return STATUS_CONFLICT when the version does not follow, STATUS_CORRUPT
/// for
///         hash or encoding, STATUS_INVALID for references
enum status config_apply (struct config *config,
                          const struct config_record *record);

#endif
