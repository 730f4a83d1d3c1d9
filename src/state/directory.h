/// Table of the nodes with their targets, as the entries in the store and the
/// answers of the nodes describe them. A handle is the index of a record and
/// stays valid while the record is in use.
#ifndef HAWTHORNSEAM_STATE_DIRECTORY_H
#define HAWTHORNSEAM_STATE_DIRECTORY_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DIRECTORY_NAME_MAX 63

/// Records of one table: the nodes of the target size and replacements.
#define DIRECTORY_RECORDS_MAX 8192

/// A lapsed entry whose node lives is back within this time of the store's
/// return; after it the node counts as gone.
#define DIRECTORY_MISSING_MS 2200

enum directory_state
{
  DIRECTORY_ABSENT,   ///< the node has no target
  DIRECTORY_READY,    ///< the target takes requests
  DIRECTORY_DRAINING, ///< the target finishes what it has
  DIRECTORY_LEAVING   ///< the node itself stops
};

/// What a node states of itself and its target.
struct directory_entry
{
  char node[DIRECTORY_NAME_MAX + 1];
  char availability_zone[DIRECTORY_NAME_MAX + 1];
  char service[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1]; ///< of the target's software
  char instance[DIRECTORY_NAME_MAX + 1];
  uint32_t address; ///< where other nodes send calls, IPv4, host byte order
  uint16_t port;
  uint16_t slots;
  enum directory_state state;
  uint32_t cold_ms; ///< how much longer the target is slow after its start
  uint64_t epoch;   ///< start of the node's process; larger is newer, wall ms
};

/// What this node has observed of another.
struct directory_load
{
  uint32_t in_flight;   ///< calls from here that have no answer yet
  uint32_t running;     ///< as the node reported
  uint32_t waiting;     ///< as the node reported
  uint32_t service_us;  ///< mean time in the target, as the node reported
  uint64_t reported_ms; ///< 0: never
  uint32_t sent_since;  ///< calls sent after the last report
  uint64_t down_until_ms;
  unsigned failures;       ///< connects or answers lost in a row
  uint32_t error_permille; ///< smoothed share of failed answers
  uint64_t error_ms;       ///< when that share was last changed
};

struct directory_record
{
  bool used;
  struct directory_entry entry;
  uint64_t revision;   ///< of the entry in the store
  uint64_t missing_ms; ///< since when the entry is absent; 0: present
  uint64_t seen_ms;    ///< when this incarnation was first seen
  uint64_t serial;     ///< tells records apart that used the same handle
  struct directory_load load;
};

struct directory
{
  struct directory_record *records;
  size_t count; ///< records in use or free below this index
  size_t capacity;
  uint64_t generation; ///< changes with every entry
  uint64_t serials;    ///< last serial that was given
};

void directory_init (struct directory *directory);
void directory_finish (struct directory *directory);

/// Takes an entry read from the store. An older revision changes nothing.
/// @return the handle, or SIZE_MAX when the table is full
size_t directory_put (struct directory *directory,
                      const struct directory_entry *entry, uint64_t revision,
                      uint64_t now_ms);

/// Notes that a node's entry is no longer in the store.
void directory_lapse (struct directory *directory, const char *node,
                      uint64_t revision, uint64_t now_ms);

/// Starts and ends a comparison with the full list in the store: nodes that
/// were not put in between lapse.
void directory_begin_list (struct directory *directory);
void directory_end_list (struct directory *directory, uint64_t as_of,
                         uint64_t now_ms);

/// Removes nodes whose entry has been missing for too long.
/// @param store_away  true while the store cannot be reached; nothing is
///                    removed then and the wait starts anew
void directory_expire (struct directory *directory, bool store_away,
                       uint64_t now_ms);

/// @return the record that had a handle and serial, or NULL when it is gone
struct directory_record *directory_get (struct directory *directory,
                                        size_t handle, uint64_t serial);

/// @return handle or SIZE_MAX
size_t directory_find (const struct directory *directory, const char *node);

#endif
