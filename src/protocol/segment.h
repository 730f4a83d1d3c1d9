/// Encoding of the segments and chunks of the claim log, in msgpack:
/// [1, chunk, partition, number, nonce, [record...]] with record =
/// [kind, key (16 B), nonce, created] and, for an outcome,
/// [..., status, body, complete].
#ifndef HAWTHORNSEAM_PROTOCOL_SEGMENT_H
#define HAWTHORNSEAM_PROTOCOL_SEGMENT_H

#include "coordination/claim_log.h"

/// @param arena  talloc context that owns the bytes
/// @return STATUS_TOO_LARGE above STORE_VALUE_MAX, or STATUS_NO_MEMORY
enum status segment_encode (const struct claim_segment *segment, void *arena,
                            uint8_t **bytes, size_t *size);

/// Decodes a whole segment or chunk. Bodies of outcomes point into `bytes`.
/// @param arena  talloc context that owns the list of records
/// @return STATUS_CORRUPT when the bytes are not exactly one segment or chunk,
///         or STATUS_NO_MEMORY
enum status segment_decode (const uint8_t *bytes, size_t size, void *arena,
                            struct claim_segment *segment);

/// The functions above, for the claim log.
extern const struct claim_codec segment_codec;

#endif
