/// Bounded reading of msgpack values from untrusted bytes.
#ifndef HAWTHORNSEAM_STATE_UNPACK_H
#define HAWTHORNSEAM_STATE_UNPACK_H

#include "base/status.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Deepest nesting of arrays and maps.
#define UNPACK_DEPTH_MAX 8

/// Unpacks bytes that hold exactly one value. Counts are compared with the
/// bytes that follow before msgpack-c allocates for them: a five-byte input
/// could otherwise ask for 100 GB.
/// @param result  destroyed by the caller with msgpack_unpacked_destroy when
///                STATUS_OK is returned; strings in it point into `bytes`
/// @return STATUS_CORRUPT for anything else than one value
enum status unpack_one (msgpack_unpacked *result, const uint8_t *bytes,
                        size_t size);

/// @param count  smallest number of elements
/// @return the elements of an array, or NULL for any other value
const msgpack_object *unpack_array (const msgpack_object *object,
                                    size_t count);

/// @return true when the object is an integer from 0 to max
bool unpack_number (const msgpack_object *object, uint64_t max,
                    uint64_t *value);

/// Copies a byte string of exactly `size` bytes.
/// @return true when the object is one
bool unpack_bytes (const msgpack_object *object, void *bytes, size_t size);

/// Copies a string without zero bytes of at most `max` bytes.
/// @param arena  talloc context of the copy
/// @return the zero-terminated copy or NULL
char *unpack_string (const msgpack_object *object, size_t max, void *arena);

#endif
