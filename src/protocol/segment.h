/// Encoding of segments and chunks of the claims log, msgpack:
/// [1, chunk, partition, number, nonce, [record...]] with record =
/// [kind, key (16 B), nonce, created] and, for an outcome,
/// [..., status, body, complete].
#ifndef HAWTHORNSEAM_PROTOCOL_SEGMENT_H
#define HAWTHORNSEAM_PROTOCOL_SEGMENT_H

#include "coordination/claim_log.h"

/// @param arena  talloc context that owns the bytes
/// @return STATUS_TOO_LARGE above the store's value limit
enum status segment_encode (const struct claim_segment *segment, void *arena,
                            uint8_t **bytes, size_t *size);

/// Reads a whole segment or chunk.
/// @param arena  talloc context that owns the list of records
/// @return STATUS_CORRUPT for anything that segment_encode does not write
enum status segment_decode (const uint8_t *bytes, size_t size, void *arena,
                            struct claim_segment *segment);

extern const struct claim_codec segment_codec;

#endif
