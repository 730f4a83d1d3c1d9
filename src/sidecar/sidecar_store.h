/// State of the node's connection to the store. sidecar_store.c owns it,
/// sidecar_keys.c applies what was read, sidecar_view.c passes the view on to
/// nodes that start, and sidecar_relay.c passes changes on.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_STORE_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_STORE_H

#include "coordination/relay.h"
#include "protocol/entry_record.h"
#include "sidecar/sidecar.h"
#include "state/mirror.h"

/// Bytes of a key with the terminating zero.
#define STORE_KEY_MAX 200

struct sidecar_relay;

struct sidecar_store
{
  struct sidecar *sidecar;
  char key[STORE_KEY_MAX]; ///< of the own entry
  uint64_t lease;          ///< 0: none
  uint64_t renewed_ms;
  uint64_t contact_ms; ///< when the store answered last
  uint64_t probed_ms;
  uint64_t revision; ///< of the own entry as last known
  uint64_t as_of;    ///< revision that the view describes; 0: none yet
  uint64_t list_as_of;
  char list_after[STORE_KEY_MAX];
  uint64_t next_watch_ms;
  uint64_t next_write_ms;
  uint64_t away_since_ms; ///< 0: reachable
  size_t nodes;           ///< entries that are known
  bool relist; ///< a watch was cut: changes may be missing from its history
  bool listing;
  bool watching;
  bool granting;
  bool renewing;
  bool writing;
  bool announced; ///< the entry in the store is the present one
  struct mirror mirror;
  struct sidecar_relay *relay;
  struct http_exchange *asking; ///< question to another node, or NULL
  struct evbuffer *asked;       ///< its answer so far
  uint64_t asked_ms;
  char written[ENTRY_RECORD_MAX]; ///< entry that is being written
};

/* sidecar_keys.c */

/// Takes one key as it is in the store, or its removal.
void sidecar_store_take_key (struct sidecar_store *store,
                             const struct store_key *key);

/// Takes the keys of an answer of the store.
void sidecar_store_take_keys (struct sidecar_store *store,
                              const struct store_reply *reply);

/// Takes what another node said of the store.
/// @param whole  the view lacks nothing; what it does not have is gone
void sidecar_store_take_changes (struct sidecar_store *store,
                                 const struct mirror *view, uint64_t as_of,
                                 bool whole);

/* sidecar_relay.c */
enum status sidecar_relay_start (struct sidecar *sidecar);
void sidecar_relay_stop (struct sidecar *sidecar);
void sidecar_relay_tick (struct sidecar *sidecar);

/// Follows the store through a relay.
/// @return false when there is none to ask: the store is to be watched
bool sidecar_relay_follow (struct sidecar *sidecar, uint64_t now_ms);

/// @return true while other nodes follow the store through this one
bool sidecar_relay_is_followed (const struct sidecar *sidecar,
                                uint64_t now_ms);

#endif
