/// Encoding of the configuration's records in the store, and their keys: the
/// head, the version records and the snapshots.
///
/// Records are msgpack arrays that start with a format number. Unknown
/// trailing fields are ignored, so that a later release can add fields.
#ifndef HAWTHORNSEAM_PROTOCOL_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_RECORD_H

#include "base/status.h"
#include "coordination/publish.h"
#include "coordination/store.h"
#include "state/config.h"

#define RECORD_AUTHOR_MAX 127 ///< bytes without terminator
#define RECORD_NOTE_MAX 1023  ///< bytes without terminator

/// Largest delta, bytes; the record around it must fit into a store value.
#define RECORD_DELTA_MAX (STORE_VALUE_MAX - 8192)

/// Pairs (version, nonce) in the head, newest first.
#define RECORD_RECENT_MAX 32

/// Largest encoded configuration, bytes. The limits of config.h allow about
/// 10 MB.
#define RECORD_CONTENT_MAX (16 * 1024 * 1024)

/// Largest part of a snapshot in the store, with its header, bytes.
#define RECORD_PART_MAX 900000
#define RECORD_PARTS_MAX 32

/// A snapshot is written for every version that is a multiple of this. It is
/// less than RECORD_RECENT_MAX, so that the head always lists all records
/// since the newest snapshot.
#define RECORD_SNAPSHOT_INTERVAL 16

#define RECORD_KEY_MAX 160 ///< bytes of a key, with terminator
#define RECORD_HEAD_KEY "cfg/head"
#define RECORD_VERSIONS_PREFIX "cfg/v/"
#define RECORD_SNAPSHOTS_PREFIX "cfg/s/"

/// The record of the newest accepted version, at RECORD_HEAD_KEY.
struct record_head
{
  uint64_t version;
  struct content_hash hash;
  uint64_t nonce;
  uint64_t snapshot_version; ///< 0: there is no snapshot
  uint64_t snapshot_nonce;
  struct publish_entry recent[RECORD_RECENT_MAX];
  size_t recent_count;
};

/// Store values of one snapshot. Value i belongs under the snapshot key with
/// part number i.
struct record_parts
{
  uint8_t *bytes[RECORD_PARTS_MAX];
  size_t sizes[RECORD_PARTS_MAX];
  size_t count;
};

/// Makes an accepted version the head and adds it to the recent versions. The
/// oldest of RECORD_RECENT_MAX is dropped.
void record_head_advance (struct record_head *head, uint64_t version,
                          const struct content_hash *hash, uint64_t nonce);

/// @return the version that was written with a nonce, 0 when the head does not
/// list it
uint64_t record_head_version_of (const struct record_head *head,
                                 uint64_t nonce);

/// @param arena  talloc context that owns the bytes
/// @return STATUS_NO_MEMORY
enum status record_head_encode (const struct record_head *head, void *arena,
                                uint8_t **bytes, size_t *size);

/// @return STATUS_CORRUPT, STATUS_TOO_LARGE or STATUS_UNSUPPORTED with the
///         head unchanged
enum status record_head_decode (struct record_head *head, const uint8_t *bytes,
                                size_t size);

/// @return STATUS_TOO_LARGE when author, note or delta exceed their limits
enum status record_version_encode (const struct config_record *record,
                                   void *arena, uint8_t **bytes, size_t *size);

/// Decodes a version record.
/// @param arena   talloc context of the strings and the delta
/// @param record  set only with STATUS_OK
/// @return STATUS_CORRUPT, STATUS_TOO_LARGE, STATUS_UNSUPPORTED or
///         STATUS_NO_MEMORY
enum status record_version_decode (void *arena, const uint8_t *bytes,
                                   size_t size, struct config_record *record);

/// Compresses an encoded configuration with zstd.
/// @return STATUS_TOO_LARGE above RECORD_CONTENT_MAX
enum status record_compress (const uint8_t *content, size_t content_size,
                             void *arena, uint8_t **bytes, size_t *size);

/// Reverses record_compress. The size in the header of the zstd frame is
/// checked against RECORD_CONTENT_MAX before memory is allocated.
/// @return STATUS_CORRUPT, STATUS_TOO_LARGE or STATUS_NO_MEMORY
enum status record_decompress (const uint8_t *bytes, size_t size, void *arena,
                               uint8_t **content, size_t *content_size);

/// Compresses an encoded configuration and splits it into store values.
/// @param arena  talloc context that owns the parts
enum status record_snapshot_encode (uint64_t version, const uint8_t *content,
                                    size_t content_size, void *arena,
                                    struct record_parts *parts);

/// @param first  bytes of part 0
/// @return number of parts of the snapshot, 0 when the bytes are not part 0
size_t record_snapshot_part_count (const uint8_t *first, size_t size);

/// Joins all parts of a snapshot and decompresses the result.
/// @param parts  all parts in order; not kept
/// @param arena  talloc context that owns the content
/// @return STATUS_CORRUPT, STATUS_TOO_LARGE, STATUS_UNSUPPORTED or
///         STATUS_NO_MEMORY
enum status record_snapshot_decode (uint64_t version,
                                    const struct record_parts *parts,
                                    void *arena, uint8_t **content,
                                    size_t *content_size);

/// Writes the key of a version record. Keys contain version and part as
/// decimal numbers of fixed width, so that their lexical order is the order of
/// versions, and the nonce as 16 hexadecimal digits.
void record_version_key (char key[RECORD_KEY_MAX], uint64_t version,
                         uint64_t nonce);

/// Writes the common prefix of the keys of all attempts to write one version.
void record_version_prefix (char key[RECORD_KEY_MAX], uint64_t version);

void record_snapshot_key (char key[RECORD_KEY_MAX], uint64_t version,
                          uint64_t nonce, unsigned part);

/// @return STATUS_INVALID when the key is not that of a version record
enum status record_version_key_parse (const char *key, uint64_t *version,
                                      uint64_t *nonce);

/// @return STATUS_INVALID when the key is not that of a snapshot part
enum status record_snapshot_key_parse (const char *key, uint64_t *version,
                                       uint64_t *nonce, unsigned *part);

#endif
