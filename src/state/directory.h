/// Table of the known nodes and their targets, built from the entries that the
/// nodes keep in the store and from the load reports in their responses. A
/// handle is the index of a record; it stays valid while the record is in use.
#ifndef HAWTHORNSEAM_STATE_DIRECTORY_H
#define HAWTHORNSEAM_STATE_DIRECTORY_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DIRECTORY_NAME_MAX 63

/// Largest number of records: the nodes at the planned size, and replaced
/// nodes that are not yet removed.
#define DIRECTORY_RECORDS_MAX 8192

/// A node whose entry has been missing for this long while the store is
/// reachable is removed. A running node writes its entry again within this
/// time after the store becomes reachable.
#define DIRECTORY_MISSING_MS 2200

enum directory_state
{
  DIRECTORY_ABSENT,   ///< the node has no target
  DIRECTORY_READY,    ///< the target accepts requests
  DIRECTORY_DRAINING, ///< the target completes the requests that it has
  DIRECTORY_LEAVING   ///< the node itself is shutting down
};

/// What a node publishes about itself and its target.
struct directory_entry
{
  char node[DIRECTORY_NAME_MAX + 1];
  char availability_zone[DIRECTORY_NAME_MAX + 1];
  char service[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1]; ///< of the target's software
  char instance[DIRECTORY_NAME_MAX + 1];
  uint32_t address; ///< where other nodes send calls, IPv4, host byte order
  uint16_t port;    ///< where other nodes send calls
  uint16_t slots;   ///< requests that the target runs at the same time
  enum directory_state state;
  uint32_t cold_ms; ///< time for which a new target is slower (warm-up)
  uint64_t epoch;   ///< start of the node's process, Unix ms; larger is newer
  uint64_t started_ms; ///< start of the target, Unix ms; 0: unknown
  bool leaving;        ///< the target has announced its end
};

/// Load and failures of another node and its target, as seen by this node.
struct directory_load
{
  uint32_t in_flight;   ///< calls from this node without a response yet
  uint32_t running;     ///< running requests, as the node reported
  uint32_t waiting;     ///< queued requests, as the node reported
  uint32_t service_us;  ///< mean time in the target, as the node reported
  uint64_t reported_ms; ///< time of the last report, 0 for none
  uint32_t sent_since_report; ///< calls sent after the last report
  uint32_t speed_percent; ///< how long work takes on the target's machine, as
                          ///< last reported; 100: as usual, 0: not reported
  uint32_t usual_percent; ///< smoothed over the reports
  uint32_t usual_busy;    ///< running and queued requests, smoothed over the
                          ///< reports, in 1 / 256
  uint32_t link_free_kbytes_per_s; ///< left for bodies of the VM's link, as
                                   ///< last reported; 0: not reported
  uint64_t down_until_ms;          ///< the node is avoided until then
  unsigned failures;       ///< consecutive failed connects or lost responses
  uint32_t error_permille; ///< smoothed share of failed responses
  uint64_t error_ms;       ///< time of the last change of error_permille
};

struct directory_record
{
  bool used;
  struct directory_entry entry;
  uint64_t revision;   ///< store revision of the entry or of its deletion
  uint64_t missing_ms; ///< since when the entry is missing, 0 when present
  uint64_t seen_ms;    ///< when this incarnation was first seen
  uint64_t serial;     ///< unique; tells apart records that reuse a handle
  struct directory_load load;
};

struct directory
{
  struct directory_record *records;
  size_t count; ///< number of records, used and free
  size_t capacity;
  uint64_t generation;  ///< incremented with each change of a record
  uint64_t last_serial; ///< last serial that was assigned
};

void directory_init (struct directory *directory);
void directory_finish (struct directory *directory);

/// Adds or updates the record of an entry read from the store. An entry of an
/// older revision is ignored. A new incarnation of the node or its target
/// resets the observed load, except the calls in flight.
/// @return the handle, or SIZE_MAX when the table is full or without memory
size_t directory_put (struct directory *directory,
                      const struct directory_entry *entry, uint64_t revision,
                      uint64_t now_ms);

/// Marks a node's entry as missing from the store. Ignored unless the revision
/// is newer than that of the entry.
void directory_mark_missing (struct directory *directory, const char *node,
                             uint64_t revision, uint64_t now_ms);

/// Start and end of a full listing of the store: the entries of nodes that
/// were not put in between become missing.
/// @param as_of  store revision of the listing
void directory_begin_list (struct directory *directory);
void directory_end_list (struct directory *directory, uint64_t as_of,
                         uint64_t now_ms);

/// Removes nodes whose entry has been missing for DIRECTORY_MISSING_MS.
/// @param store_unreachable  nothing is removed, and the time during which
///                           entries have been missing restarts
void directory_expire (struct directory *directory, bool store_unreachable,
                       uint64_t now_ms);

/// @return the record with a handle and serial, or NULL when it was removed
struct directory_record *directory_get (struct directory *directory,
                                        size_t handle, uint64_t serial);

/// @return handle of a node, or SIZE_MAX when it is unknown
size_t directory_find (const struct directory *directory, const char *node);

#endif
