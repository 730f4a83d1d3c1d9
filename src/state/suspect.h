/// Fingerprints of requests that were in flight when a target's process died,
/// with the number of distinct crashes of each. The memory is bounded.
#ifndef HAWTHORNSEAM_STATE_SUSPECT_H
#define HAWTHORNSEAM_STATE_SUSPECT_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Distinct crashes after which a request is refused everywhere.
#define SUSPECT_CRASHES_MAX 2

/// A suspect is forgotten this long after its last crash.
#define SUSPECT_TTL_MS (60u * 60 * 1000)

enum suspect_verdict
{
  SUSPECT_NONE,   ///< no crash known
  SUSPECT_SINGLE, ///< one crash: run on one chosen target, one at a time
  SUSPECT_REFUSED ///< two crashes: do not run
};

struct suspect_entry
{
  uint64_t fingerprint; ///< 0 when free
  uint64_t crashes[SUSPECT_CRASHES_MAX];
  uint64_t changed_ms;
  unsigned count;
  bool running; ///< in progress at this node's own target
};

struct suspect_table
{
  struct suspect_entry *entries;
  size_t count;
  size_t capacity; ///< entries at most
  size_t size;     ///< slots of the open-addressing table, a power of two
};

/// @param capacity  most suspects kept; the one with the oldest change and the
///                  fewest crashes makes room for a new one
enum status suspect_init (struct suspect_table *table, size_t capacity);
void suspect_finish (struct suspect_table *table);

/// @param key  Idempotency-Key or NULL; with a key only the key counts
/// @param uri  path and query as sent
/// @return fingerprint of a request, never 0
uint64_t suspect_fingerprint (const char *key, const char *method,
                              const char *uri, const void *body, size_t size);

enum suspect_verdict suspect_check (const struct suspect_table *table,
                                    uint64_t fingerprint, uint64_t now_ms);

/// Records that a request was in flight in a crash. The same crash counts
/// once, however often and by whichever node it is reported.
/// @param crash  identifies the death of one process, not 0
/// @return true when the crash was new
bool suspect_raise (struct suspect_table *table, uint64_t fingerprint,
                    uint64_t crash, uint64_t now_ms);

/// Forgets a suspect that succeeded. A request that is refused stays refused:
/// its success can only be a late report.
/// @return true when there was one with a single crash
bool suspect_clear (struct suspect_table *table, uint64_t fingerprint);

/// Takes the right to run a suspect on the own target.
/// @return false when it already runs
bool suspect_begin (struct suspect_table *table, uint64_t fingerprint);

/// Gives that right back; does nothing for a forgotten suspect.
void suspect_end (struct suspect_table *table, uint64_t fingerprint);

/// Removes what is older than SUSPECT_TTL_MS.
/// @return number of removed entries
size_t suspect_expire (struct suspect_table *table, uint64_t now_ms);

#endif
