/// Describes the fields of configuration objects, so that codecs, copies and
/// listings treat services, routes and moves alike.
#ifndef HAWTHORNSEAM_STATE_CONFIG_FIELDS_H
#define HAWTHORNSEAM_STATE_CONFIG_FIELDS_H

#include "state/config.h"

#include <msgpack.h>

/// Bytes of a service name and of a target version: the members' table, which
/// announces both, holds no more.
#define CONFIG_TARGET_NAME_MAX 31
#define CONFIG_PREFIX_MAX 255
#define CONFIG_REASON_MAX 255
#define CONFIG_TIMEOUT_MS_MAX 3600000

/// Kinds run from CONFIG_SERVICE to this one.
#define CONFIG_KIND_LAST CONFIG_MOVE

enum config_field_type
{
  CONFIG_FIELD_STRING, ///< const char *
  CONFIG_FIELD_BOOL,   ///< bool
  CONFIG_FIELD_U32,    ///< uint32_t
  CONFIG_FIELD_TIME,   ///< uint64_t, wall clock ms
  CONFIG_FIELD_PHASE   ///< enum move_phase
};

struct config_field
{
  const char *name; ///< as in the declaration document
  enum config_field_type type;
  size_t offset;
  uint64_t max; ///< largest number, or bytes of a string
  bool system;  ///< written by the system, not part of the document
};

struct config_schema
{
  const char *singular; ///< "route"
  const char *plural;   ///< "routes"
  size_t item_size;
  size_t count_max;
  const struct config_field *fields; ///< the first one is the name
  size_t field_count;
};

/// @return the schema of a valid kind
const struct config_schema *config_schema (enum config_kind kind);

/// @return the objects of a kind, sorted by name
const void *config_items (const struct config *config, enum config_kind kind,
                          size_t *count);

/// @param items  from config_items; may be NULL when there are none
/// @return the object at an index, which may be the one past the last
const void *config_item_at (const void *items, enum config_kind kind,
                            size_t index);

/// @return name of an object of any kind
const char *config_item_name (const void *item);

/// @return the object or NULL
const void *config_find (const struct config *config, enum config_kind kind,
                         const char *name);

/// @return true when all fields are equal
bool config_item_equal (enum config_kind kind, const void *a, const void *b);

/// @return value of a string field, "" for NULL
const char *config_field_string (const struct config_field *field,
                                 const void *item);

/// @return value of any field that is not a string
uint64_t config_field_number (const struct config_field *field,
                              const void *item);

/// Sets a field that is not a string.
void config_field_set_number (const struct config_field *field, void *item,
                              uint64_t value);

/// Points a string field to a string that the caller keeps.
void config_field_set_string (const struct config_field *field, void *item,
                              const char *value);

/// @return "running", "done", "taken_back" or "cancelled"
const char *move_phase_name (enum move_phase phase);

/// Receives differences in ascending order of kind and name.
struct config_difference_ops
{
  /// @param before  object that is replaced; NULL when it is new or unknown
  void (*upsert) (void *arg, enum config_kind kind, const void *before,
                  const void *item);
  /// @param item  only its name is known when it comes from a delta
  void (*remove) (void *arg, enum config_kind kind, const void *item);
};

/// Reports the differences of two configurations.
void config_compare (const struct config *from, const struct config *to,
                     const struct config_difference_ops *ops, void *arg);

/// Reports the changes of a delta without its base.
/// @return as config_apply for a delta that cannot be read
enum status config_delta_read (const uint8_t *delta, size_t size,
                               const struct config_difference_ops *ops,
                               void *arg);

/* Shared by the files of the module. */

/// Points a kind's array of a configuration elsewhere.
void config_set_items (struct config *config, enum config_kind kind,
                       void *items, size_t count);

/// Copies objects and their strings into a new arena with one block of
/// strings.
/// @param copy  not yet started; started only with STATUS_OK
enum status config_pack (struct config *copy, const struct config *config);

/// Writes one object as a msgpack array.
void config_pack_item (msgpack_packer *packer, enum config_kind kind,
                       const void *item);

/// Reads one object; strings are copied to *strings, which moves on.
/// @return false when a field is missing, too many or out of its range
bool config_unpack_item (enum config_kind kind, const msgpack_object *object,
                         void *item, char **strings);

/// Encodes into a buffer of msgpack-c.
/// @param buffer  initialised; destroyed by the caller
enum status config_encode_buffer (const struct config *config,
                                  msgpack_sbuffer *buffer);

#endif
