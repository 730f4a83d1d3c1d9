/// Schemas of the configuration objects: generic access to their fields, so
/// that codecs, copies and listings share code for services, routes and moves.
#ifndef HAWTHORNSEAM_STATE_CONFIG_FIELDS_H
#define HAWTHORNSEAM_STATE_CONFIG_FIELDS_H

#include "state/config.h"

#include <msgpack.h>

/// Largest size of a service name and of a target version, bytes. Both are
/// part of a member record, see MEMBER_NAME_MAX.
#define CONFIG_TARGET_NAME_MAX 31
#define CONFIG_PREFIX_MAX 255
#define CONFIG_REASON_MAX 255
#define CONFIG_TIMEOUT_MS_MAX 3600000

/// The kinds are the numbers from CONFIG_SERVICE to this one.
#define CONFIG_KIND_LAST CONFIG_MOVE

enum config_field_type
{
  CONFIG_FIELD_STRING, ///< const char *
  CONFIG_FIELD_BOOL,   ///< bool
  CONFIG_FIELD_U32,    ///< uint32_t
  CONFIG_FIELD_TIME,   ///< uint64_t, Unix ms
  CONFIG_FIELD_PHASE   ///< enum move_phase
};

struct config_field
{
  const char *name; ///< as in the declaration document
  enum config_field_type type;
  size_t offset; ///< in the struct of the object
  uint64_t max;  ///< largest number, or bytes of a string
  bool system;   ///< written by the system, not part of the document
};

struct config_schema
{
  const char *singular; ///< "route"
  const char *plural;   ///< "routes"
  size_t item_size;
  size_t count_max;
  const struct config_field *fields; ///< the first one is the object's name
  size_t field_count;
};

/// @return the schema of a valid kind
const struct config_schema *config_schema (enum config_kind kind);

/// @param count  set to the number of objects
/// @return the objects of a kind, sorted by name; may be NULL when there are
///         none
const void *config_items (const struct config *config, enum config_kind kind,
                          size_t *count);

/// @param items  from config_items; may be NULL when there are none
/// @return the object at an index, which may be the one past the last
const void *config_item_at (const void *items, enum config_kind kind,
                            size_t index);

/// @return the name of an object of any kind
const char *config_item_name (const void *item);

/// @return the object or NULL
const void *config_find (const struct config *config, enum config_kind kind,
                         const char *name);

/// @return true when all fields are equal
bool config_item_equal (enum config_kind kind, const void *a, const void *b);

/// @return the value of a string field, "" for NULL
const char *config_field_string (const struct config_field *field,
                                 const void *item);

/// @return the value of a field that is not a string
uint64_t config_field_number (const struct config_field *field,
                              const void *item);

/// Sets a field that is not a string.
void config_field_set_number (const struct config_field *field, void *item,
                              uint64_t value);

/// Sets a string field. The string is borrowed.
void config_field_set_string (const struct config_field *field, void *item,
                              const char *value);

/// @return "running", "done", "taken_back" or "cancelled"
const char *move_phase_name (enum move_phase phase);

/// Callbacks for differences, called kind by kind in ascending order.
struct config_difference_ops
{
  /// An object is added or replaced.
  /// @param before  the replaced object; NULL when there is none or it is not
  ///                known, as when reading a delta
  void (*upsert) (void *arg, enum config_kind kind, const void *before,
                  const void *item);
  /// An object is removed.
  /// @param item  only its name is set when reading a delta
  void (*remove) (void *arg, enum config_kind kind, const void *item);
};

/// Reports the differences of two configurations, sorted by kind and name.
void config_compare (const struct config *from, const struct config *to,
                     const struct config_difference_ops *ops, void *arg);

/// Reports the changes of a delta, without its base: for each kind first the
/// upserts and then the removals.
/// @return as config_apply for a delta that cannot be decoded
enum status config_delta_read (const uint8_t *bytes, size_t size,
                               const struct config_difference_ops *ops,
                               void *arg);

/* Private to the files of the configuration module. */

/// Sets the array of one kind, without copying it.
void config_set_items (struct config *config, enum config_kind kind,
                       void *items, size_t count);

/// Initializes `copy` with a deep copy in a new arena, with all strings in one
/// block.
/// @return STATUS_NO_MEMORY with `copy` not initialized
enum status config_copy_compact (struct config *copy,
                                 const struct config *config);

/// Writes one object as a msgpack array.
void config_pack_item (msgpack_packer *packer, enum config_kind kind,
                       const void *item);

/// Reads one object from a msgpack array.
/// @param strings  free space for the strings of the object; advanced past
///                 them
/// @return false when a field is missing, superfluous or out of range
bool config_unpack_item (enum config_kind kind, const msgpack_object *object,
                         void *item, char **strings);

/// Writes the canonical encoding into a msgpack-c buffer.
/// @param buffer  initialized and destroyed by the caller
enum status config_encode_buffer (const struct config *config,
                                  msgpack_sbuffer *buffer);

#endif
