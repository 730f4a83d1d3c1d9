/// State of the node's connection to the store. sidecar_store.c owns it,
/// sidecar_keys.c applies the keys that were read, sidecar_view.c serves the
/// node's view (its local snapshot of the watched keys) to nodes that start,
/// sidecar_relay.c serves changes to the nodes that follow this one, and
/// sidecar_restore.c handles the store's return from an older copy.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_STORE_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_STORE_H

#include "coordination/relay.h"
#include "coordination/store_pace.h"
#include "protocol/entry_record.h"
#include "protocol/view.h"
#include "sidecar/sidecar.h"
#include "state/mirror.h"

/// Size of a key, bytes, including the terminating zero.
#define STORE_KEY_MAX 201

struct sidecar_relay;

struct sidecar_store
{
  struct sidecar *sidecar;
  char key[STORE_KEY_MAX];   ///< of this node's directory entry
  uint64_t lease;            ///< 0: none
  uint64_t renewed_ms;       ///< last successful renewal of the lease
  uint64_t last_response_ms; ///< last response of the store
  uint64_t watch_sent_ms;    ///< start of the last watch
  uint64_t view_checked_ms;  ///< last time that the view was known to be that
                             ///< of the store or of a relay in touch with it
  uint64_t next_probe_ms;    ///< while unreachable: time of the next probe
  unsigned probe_failures;   ///< probes in a row that failed
  uint64_t revision;         ///< last known revision of this node's entry
  uint64_t as_of; ///< store revision that the view describes; 0: no view yet
  uint64_t list_as_of; ///< oldest revision of the pages of a full read
  char list_after[STORE_KEY_MAX]; ///< last key of the page before; empty: none
  uint64_t next_watch_ms;
  uint64_t next_write_ms;
  uint64_t
      unreachable_since_ms; ///< start of the outage; 0: the store is reachable
  size_t node_count;        ///< nodes in the directory
  unsigned early_reads;     ///< full reads that may have been seconds old
  bool caught_up;           ///< the view was current at some time
  bool list_stale;          ///< the full read in progress may be seconds old
  bool relist; ///< changes may have been missed: all keys are to be read again
  bool listing;
  bool watching;
  bool granting;
  bool renewing;
  bool writing;
  bool announced; ///< the entry in the store is up to date
  struct mirror mirror;
  struct sidecar_relay *relay;
  struct http_exchange
      *view_exchange;         ///< request for another node's view, or NULL
  struct evbuffer *view_body; ///< body received so far
  uint64_t view_requested_ms; ///< when the request was sent
  char pending_entry[ENTRY_RECORD_MAX]; ///< entry in the write in flight
};

/* sidecar_keys.c */

/// Applies one key as it is in the store, or its removal.
void sidecar_store_apply_key (struct sidecar_store *store,
                              const struct store_key *stored);

/// Applies the keys of a response of the store.
void sidecar_store_apply_keys (struct sidecar_store *store,
                               const struct store_reply *reply);

/// Start and end of a full read of the watched keys: nodes and evacuations
/// that are not in it are removed at its end.
/// @param as_of  store revision of the read
void sidecar_store_begin_list (struct sidecar_store *store);
void sidecar_store_end_list (struct sidecar_store *store, uint64_t as_of);

/// Applies the view, or the changes, that a relay sent.
/// @param as_of  store revision that the view describes
/// @param full   true for a full view: nodes that are not in it are removed;
///               false for changes only
void sidecar_store_apply_changes (struct sidecar_store *store,
                                  const struct mirror *view, uint64_t as_of,
                                  bool full);

/* sidecar_restore.c */

/// The store came back from an older copy: the entry of this node may be
/// missing from it, and its lease may have ended or belong to another node.
/// Registers again and reads everything again.
/// @param arg  the struct sidecar_store
void sidecar_store_restored (void *arg);

/// Renews the lease now if another node has seen the store in a later era; the
/// response states the era.
/// @param revision  of that node's view
void sidecar_store_note_era (struct sidecar *sidecar, uint64_t revision);

/* sidecar_relay.c */
enum status sidecar_relay_start (struct sidecar *sidecar);
void sidecar_relay_stop (struct sidecar *sidecar);
void sidecar_relay_tick (struct sidecar *sidecar);

/// Requests changes from a relay instead of the store.
/// @return false when no relay is available: the caller watches the store
bool sidecar_relay_follow (struct sidecar *sidecar, uint64_t now_ms);

/// @return what the relay that was asked last did
enum store_pace_relay sidecar_relay_contact (const struct sidecar *sidecar);

/// Asks relays that failed again soon: the store is unreachable for this node.
void sidecar_relay_retry_soon (struct sidecar *sidecar);

/// Called when a relay has the store again that it lacked: probes it at once.
void sidecar_store_probe_now (struct sidecar *sidecar);

/// @return true when this node is one of the relays of its zone
bool sidecar_relay_is_member (const struct sidecar *sidecar);

/// @return true when this node can follow a relay now, or is one
bool sidecar_relay_is_available (const struct sidecar *sidecar);

/// @return true while other nodes use this node as their relay
bool sidecar_relay_has_followers (const struct sidecar *sidecar,
                                  uint64_t now_ms);

/// @return the format of a view that the sender of a request accepts
enum view_format sidecar_view_format (const struct http_request *request);

#endif
