/// Reads msgpack values one after the other from borrowed bytes.
///
/// msgpack-c builds a tree and allocates as many objects as a header declares
/// before it sees them, so a few bytes from a peer could ask for gigabytes.
/// This reader allocates nothing and accepts the types that it is asked for.
#ifndef HAWTHORNSEAM_PROTOCOL_PACK_READER_H
#define HAWTHORNSEAM_PROTOCOL_PACK_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct pack_reader
{
  const uint8_t *at;
  const uint8_t *end;
  bool failed; ///< set by the first value that is not as expected
};

void pack_reader_init (struct pack_reader *reader, const uint8_t *bytes,
                       size_t size);

/// Reads the header of an array.
/// @return number of elements, at most the number of bytes left; 0 on failure
uint32_t pack_read_array (struct pack_reader *reader);

/// Reads an unsigned integer of at most `max`.
uint64_t pack_read_uint (struct pack_reader *reader, uint64_t max);

bool pack_read_bool (struct pack_reader *reader);

/// Reads binary data of lowest to highest bytes.
/// @param size  set to the number of bytes
/// @return borrowed bytes, NULL on failure
const uint8_t *pack_read_bin (struct pack_reader *reader, size_t lowest,
                              size_t highest, size_t *size);

/// @return true when nothing failed and all bytes were read
bool pack_reader_done (const struct pack_reader *reader);

#endif
