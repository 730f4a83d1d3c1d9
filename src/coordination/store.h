/// The platform's key-value store as the coordination layer sees it. The real
/// protocol stands behind this table of function pointers.
#ifndef HAWTHORNSEAM_COORDINATION_STORE_H
#define HAWTHORNSEAM_COORDINATION_STORE_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest value that the store accepts, bytes.
#define STORE_VALUE_MAX (1024 * 1024)

/// Expected revision of a write that takes effect whatever the current one is.
#define STORE_ANY_REVISION UINT64_MAX

struct store_key
{
  const char *key;
  uint64_t revision;
  const uint8_t *data; ///< NULL in answers that carry no values
  size_t size;
  bool removed; ///< an event: the key was removed at this revision
};

/// Answer to one operation; borrowed for the time of the callback.
///
/// status: STATUS_OK; STATUS_CONFLICT (data and revision are the current ones,
/// revision 0 when the key is absent); STATUS_NOT_FOUND; STATUS_TIMEOUT (a
/// watch without change); STATUS_TOO_OLD (a watch from a revision whose
/// history is gone: read the whole range); STATUS_UNAVAILABLE (certainly
/// without effect); STATUS_UNKNOWN (sent, but no usable answer: it may have
/// taken effect); STATUS_CORRUPT (an answer that is not of the protocol; for a
/// write its effect is unknown too).
struct store_reply
{
  enum status status;
  bool abandoned;    ///< given up by the caller; says nothing of the store
  uint64_t revision; ///< of the key; for a lease grant the lease id
  const uint8_t *data;
  size_t size;
  const struct store_key *keys; ///< of a list
  size_t key_count;
  bool more;      ///< of a range: the next page begins after the last key
  uint64_t as_of; ///< revision of the store that a range or watch describes
};

/// Operations do not block; `done` is called exactly once, later, from the
/// loop.
struct store_ops
{
  void (*get) (void *store, const char *key,
               void (*done) (void *arg, const struct store_reply *reply),
               void *arg);
  /// Answers when the key's revision is greater than `after`, at the latest
  /// after wait_ms with STATUS_TIMEOUT.
  void (*watch) (void *store, const char *key, uint64_t after,
                 uint32_t wait_ms,
                 void (*done) (void *arg, const struct store_reply *reply),
                 void *arg);
  /// Writes if the key's revision equals `expected` (0: absent). lease 0:
  /// none.
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
  /// @param after  last key of the page before, or NULL
  void (*range) (void *store, const char *prefix, const char *after,
                 void (*done) (void *arg, const struct store_reply *reply),
                 void *arg);
  /// Answers with the changes below a prefix after a revision, at the latest
  /// after wait_ms. Continue from `as_of`.
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
