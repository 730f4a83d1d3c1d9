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

/// Limits of one configuration, checked before it is stored or sent.
#define CONFIG_SERVICES_MAX 4096
#define CONFIG_ROUTES_MAX 16384
#define CONFIG_MOVES_MAX 1024
#define CONFIG_NAME_MAX 63 ///< bytes of a name, see config_name_valid

/// 100% in basis points, the unit of traffic shares.
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
  MOVE_ROLLED_BACK,
  MOVE_CANCELLED
};

struct config_service
{
  const char *name;
  const char *version; ///< target version that receives the traffic
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
  const char *from; ///< version that the service has before the move
  const char *to;   ///< version that the service has after the move
  uint64_t by_ms;   ///< time by which to complete, Unix ms
  /* The members below are written by the system, not by operators. */
  enum move_phase phase;
  uint32_t share_bp;  ///< share of the service's calls for `to`, basis points
  uint32_t step;      ///< number of steps taken so far
  const char *reason; ///< of the last change of phase or share
};

struct config
{
  void *arena; ///< talloc context of all strings and arrays
  uint64_t version;
  struct content_hash hash; ///< of the canonical encoding
  struct config_service *services;
  size_t service_count;
  struct config_route *routes;
  size_t route_count;
  struct config_move *moves;
  size_t move_count;
};

/// The change from one version to the next; also an entry of the audit log.
struct config_record
{
  uint64_t version;                  ///< the version that the record creates
  struct content_hash previous_hash; ///< content of the version before
  struct content_hash hash;          ///< content of the new version
  uint64_t nonce;        ///< identifies the writer's attempt to write it
  const char *author;    ///< operator, or "move-driver <slot>"
  uint64_t wall_ms;      ///< writer's wall clock, Unix ms
  uint64_t base_version; ///< version that the author based the change on
  const char *note;      ///< author's comment
  const uint8_t *delta;  ///< from config_diff
  size_t delta_size;
};

/// Initializes an empty configuration, version 0.
void config_init (struct config *config);

/// Releases all memory of a configuration.
void config_finish (struct config *config);

/// Initializes `copy` with a deep copy of a configuration.
/// @return STATUS_NO_MEMORY with `copy` not initialized
enum status config_copy (struct config *copy, const struct config *config);

/// Adds an object, or replaces the one of the same name. Strings are copied.
/// The content hash is not updated, see config_rehash.
/// @return STATUS_INVALID for an object without a name, STATUS_NO_MEMORY
enum status config_set_service (struct config *config,
                                const struct config_service *service);
enum status config_set_route (struct config *config,
                              const struct config_route *route);
enum status config_set_move (struct config *config,
                             const struct config_move *move);

/// Removes an object. The content hash is not updated, see config_rehash.
/// @return STATUS_NOT_FOUND when there is none of that name
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
/// running move; adds a finding with the path of the field for each problem.
/// @return STATUS_INVALID when there is a problem
enum status config_check (const struct config *config,
                          struct findings *findings);

/// Writes the canonical msgpack encoding; equal contents give equal bytes.
/// @param arena  talloc context that owns the bytes
enum status config_encode (const struct config *config, void *arena,
                           uint8_t **bytes, size_t *size);

/// Initializes a configuration from its canonical encoding: decodes and checks
/// the complete content and computes the hash. The version number is not
/// encoded: it is 0 and set by the caller.
/// @return STATUS_CORRUPT for bytes that are no canonical encoding,
///         STATUS_INVALID for content that config_check refuses,
///         STATUS_TOO_LARGE, STATUS_UNSUPPORTED for another format,
///         STATUS_NO_MEMORY; `config` is initialized only with STATUS_OK
enum status config_decode (struct config *config, const uint8_t *bytes,
                           size_t size);

/// Recomputes the content hash after changes to the objects.
enum status config_rehash (struct config *config);

/// Encodes the difference of two configurations as a delta of upserts and
/// removals.
/// @param arena  talloc context that owns the bytes
enum status config_diff (const struct config *from, const struct config *to,
                         void *arena, uint8_t **delta, size_t *size);

/// Applies a record atomically: builds the new content beside the old one,
/// checks version, previous hash, references and resulting hash, and then
/// replaces the old one. On error the configuration is unchanged.
/// @return STATUS_CONFLICT when the record does not create the next version,
///         STATUS_CORRUPT for a wrong hash or a delta that cannot be decoded,
///         STATUS_INVALID for content that config_check or
///         config_check_transition refuses, STATUS_TOO_LARGE,
///         STATUS_UNSUPPORTED, STATUS_NO_MEMORY
enum status config_apply (struct config *config,
                          const struct config_record *record);

#endif
