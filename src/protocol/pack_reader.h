/// Reads msgpack values one after the other, without copying.
///
/// msgpack-c builds a tree and allocates the number of objects that a header
/// declares before it reads them, so a few bytes from a peer could allocate
/// gigabytes. This reader allocates nothing, and each call accepts only the
/// type that it is named after.
#ifndef HAWTHORNSEAM_PROTOCOL_PACK_READER_H
#define HAWTHORNSEAM_PROTOCOL_PACK_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pack_reader
{
  const uint8_t *at; ///< next byte to read
  const uint8_t *end;
  bool failed; ///< a value was malformed or not as expected
};

/// @param bytes  must outlive the reader and the data that it returns
void pack_reader_init (struct pack_reader *reader, const uint8_t *bytes,
                       size_t size);

/// Reads the header of an array.
/// @return number of elements, at most the number of remaining bytes; 0 on
/// failure
uint32_t pack_read_array (struct pack_reader *reader);

/// Reads an unsigned integer of at most `max`.
/// @return 0 on failure
uint64_t pack_read_uint (struct pack_reader *reader, uint64_t max);

/// @return false on failure
bool pack_read_bool (struct pack_reader *reader);

/// Reads binary data of `size_min` to `size_max` bytes.
/// @param size  set to the number of bytes
/// @return pointer into the input, NULL on failure
const uint8_t *pack_read_bin (struct pack_reader *reader, size_t size_min,
                              size_t size_max, size_t *size);

/// @return true when nothing failed and all bytes were read
bool pack_reader_done (const struct pack_reader *reader);

#endif
