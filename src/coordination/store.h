/// Interface to the platform's key-value store: a table of function pointers
/// that hides the store's protocol from the coordination layer.
#ifndef HAWTHORNSEAM_COORDINATION_STORE_H
#define HAWTHORNSEAM_COORDINATION_STORE_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest value that the store accepts, bytes.
#define STORE_VALUE_MAX (1024 * 1024)

/// Expected revision of an unconditional write.
#define STORE_ANY_REVISION UINT64_MAX

/// All revisions are those of store_revision.h.
struct store_key
{
  const char *key;
  uint64_t revision;
  const uint8_t *data; ///< NULL in replies without values
  size_t size;
  bool removed; ///< in a change: the key was removed at this revision
};

/// Reply to one operation; valid during the callback only.
///
/// status: STATUS_OK; STATUS_CONFLICT (data and revision are the current ones,
/// revision 0 when the key is absent); STATUS_NOT_FOUND; STATUS_TIMEOUT (a
/// watch without a change); STATUS_TOO_OLD (a watch from a revision that the
/// store's history no longer covers, or of an earlier era: read the whole
/// range; or a write that expects a revision of an earlier era, which has had
/// no effect); STATUS_UNAVAILABLE
/// (the operation had no effect); STATUS_UNKNOWN (sent, but without a usable
/// reply: a write may have taken effect); STATUS_CORRUPT (the reply violates
/// the protocol; a write may have taken effect).
struct store_reply
{
  enum status status;
  bool abandoned;    ///< cancelled by the caller; does not mean that the store
                     ///< failed
  uint64_t revision; ///< of the key; the lease id in a reply to lease_grant
  const uint8_t *data;
  size_t size;
  const struct store_key *keys; ///< of a list, range or watch of a prefix
  size_t key_count;
  bool more;      ///< of a range: there is a next page, after the last key
  uint64_t as_of; ///< revision of the store that the reply to a range or a
                  ///< watch reflects
};

/// Operations do not block; `done` is called exactly once, later, from the
/// event loop.
struct store_ops
{
  void (*get) (void *store, const char *key,
               void (*done) (void *arg, const struct store_reply *reply),
               void *arg);
  /// Replies when the key's revision is greater than `after`, or after wait_ms
  /// with STATUS_TIMEOUT.
  void (*watch) (void *store, const char *key, uint64_t after,
                 uint32_t wait_ms,
                 void (*done) (void *arg, const struct store_reply *reply),
                 void *arg);
  /// Writes if the key's revision equals `expected` (0: the key is absent).
  /// @param lease  0: none
  void (*put) (void *store, const char *key, uint64_t expected, uint64_t lease,
               const void *data, size_t size,
               void (*done) (void *arg, const struct store_reply *reply),
               void *arg);
  void (*remove) (void *store, const char *key, uint64_t expected,
                  void (*done) (void *arg, const struct store_reply *reply),
                  void *arg);
  void (*list) (void *store, const char *prefix,
                void (*done) (void *arg, const struct store_reply *reply),
                void *arg);
  /// Lists one page of keys with their values.
  /// @param after  last key of the previous page, or NULL
  /// @param stale  the reply may be seconds old; costs a tenth
  void (*range) (void *store, const char *prefix, const char *after,
                 bool stale,
                 void (*done) (void *arg, const struct store_reply *reply),
                 void *arg);
  /// Replies with the changes below a prefix after a revision, at the latest
  /// after wait_ms. The next watch continues from `as_of`.
  void (*watch_prefix) (
      void *store, const char *prefix, uint64_t after, uint32_t wait_ms,
      void (*done) (void *arg, const struct store_reply *reply), void *arg);
  void (*lease_grant) (void *store, uint32_t ttl_ms,
                       void (*done) (void *arg,
                                     const struct store_reply *reply),
                       void *arg);
  void (*lease_keepalive) (void *store, uint64_t lease,
                           void (*done) (void *arg,
                                         const struct store_reply *reply),
                           void *arg);
};

#endif
