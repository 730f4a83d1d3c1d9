/// Table of crash suspects: fingerprints of requests that were in flight when
/// a target's process died, with the number of distinct crashes of each. The
/// memory is bounded.
#ifndef HAWTHORNSEAM_STATE_SUSPECT_H
#define HAWTHORNSEAM_STATE_SUSPECT_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Number of distinct crashes from which a request is refused by all nodes.
#define SUSPECT_CRASHES_MAX 2

/// A suspect expires this long after its last crash.
#define SUSPECT_TTL_MS (60u * 60 * 1000)

enum suspect_verdict
{
  SUSPECT_NONE,   ///< no known crash
  SUSPECT_SINGLE, ///< one crash: run on one chosen target, one at a time
  SUSPECT_REFUSED ///< SUSPECT_CRASHES_MAX crashes: do not run
};

struct suspect_entry
{
  uint64_t fingerprint;                  ///< 0 when free
  uint64_t crashes[SUSPECT_CRASHES_MAX]; ///< identifiers of the crashes
  uint64_t changed_ms;                   ///< time of the last new crash
  unsigned count;                        ///< number of crashes
  bool running; ///< in progress at this node's own target
};

struct suspect_table
{
  struct suspect_entry *entries;
  size_t count;    ///< number of suspects
  size_t capacity; ///< largest number of suspects
  size_t size;     ///< slots of the open-addressing table, a power of two
};

/// @param capacity  largest number of suspects. A further one evicts another:
///                  one that is not running before one that is, then the one
///                  with the fewest crashes, then the one whose last crash is
///                  the oldest
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status suspect_init (struct suspect_table *table, size_t capacity);
void suspect_finish (struct suspect_table *table);

/// @param key  Idempotency-Key or NULL; with a key the other parameters are
///             ignored
/// @param uri  path and query as sent
/// @return fingerprint of a request, never 0
uint64_t suspect_fingerprint (const char *key, const char *method,
                              const char *uri, const void *body, size_t size);

/// @param body_hash  placement hash of the body; 0: no body
/// @return the same fingerprint of a request without a key
uint64_t suspect_fingerprint_hashed (const char *method, const char *uri,
                                     uint64_t body_hash);

enum suspect_verdict suspect_check (const struct suspect_table *table,
                                    uint64_t fingerprint, uint64_t now_ms);

/// Records that a request was in flight when a target crashed. Each crash
/// counts once, however often and by whichever node it is reported.
/// @param crash  identifies the crash of one process, not 0
/// @return true when the crash was new; false also once there are
///         SUSPECT_CRASHES_MAX crashes
bool suspect_raise (struct suspect_table *table, uint64_t fingerprint,
                    uint64_t crash, uint64_t now_ms);

/// Removes a suspect that succeeded, unless it is refused: the success of a
/// refused request can only be a late report.
/// @return true when a suspect was removed
bool suspect_clear (struct suspect_table *table, uint64_t fingerprint);

/// Marks a suspect as running on this node's own target.
/// @return false when it already runs; true also for a request that is no
///         suspect
bool suspect_begin (struct suspect_table *table, uint64_t fingerprint);

/// Marks a suspect as no longer running. Does nothing for other requests.
void suspect_end (struct suspect_table *table, uint64_t fingerprint);

/// Removes suspects whose last crash is SUSPECT_TTL_MS ago or older.
/// @return number of removed suspects
size_t suspect_expire (struct suspect_table *table, uint64_t now_ms);

#endif
