/// Decoding of msgpack values from untrusted bytes, with bounded memory.
#ifndef HAWTHORNSEAM_STATE_UNPACK_H
#define HAWTHORNSEAM_STATE_UNPACK_H

#include "base/status.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Deepest nesting of arrays and maps.
#define UNPACK_DEPTH_MAX 8

/// Decodes bytes that hold exactly one value. Element counts are checked
/// against the number of bytes that follow before msgpack-c allocates memory
/// for them: otherwise an input of five bytes could request 100 GB.
/// @param result  destroyed by the caller with msgpack_unpacked_destroy when
///                STATUS_OK is returned; strings in it point into `bytes`
/// @return STATUS_CORRUPT for anything but one value nested at most
///         UNPACK_DEPTH_MAX deep, STATUS_NO_MEMORY
enum status unpack_one (msgpack_unpacked *result, const uint8_t *bytes,
                        size_t size);

/// @param count  smallest number of elements
/// @return the elements of an array of at least `count` elements, or NULL for
///         any other value
const msgpack_object *unpack_array (const msgpack_object *object,
                                    size_t count);

/// @return true when the object is an integer from 0 to max
bool unpack_number (const msgpack_object *object, uint64_t max,
                    uint64_t *value);

/// Copies a byte string of exactly `size` bytes.
/// @return false for any other value
bool unpack_bytes (const msgpack_object *object, void *bytes, size_t size);

/// Copies a string of at most `max` bytes that contains no zero bytes.
/// @param arena  talloc context of the copy
/// @return the zero-terminated copy; NULL for any other value or without
///         memory
char *unpack_string (const msgpack_object *object, size_t max, void *arena);

#endif
