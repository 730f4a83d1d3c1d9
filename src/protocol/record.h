/// Codecs of the configuration's records in the store, and their keys.
///
/// Records are msgpack arrays that start with a format number. Fields after
/// the known ones are skipped, so that a later release can add some.
#ifndef HAWTHORNSEAM_PROTOCOL_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_RECORD_H

#include "base/status.h"
#include "coordination/publish.h"
#include "coordination/store.h"
#include "state/config.h"

#define RECORD_AUTHOR_MAX 127
#define RECORD_NOTE_MAX 1023

/// Largest delta; the record must fit into a value of the store.
#define RECORD_DELTA_MAX (STORE_VALUE_MAX - 8192)

/// Pairs (version, nonce) that the head lists, the newest first.
#define RECORD_RECENT_MAX 32

/// Largest encoded configuration. The limits of config.h give about 10 MB.
#define RECORD_CONTENT_MAX (16 * 1024 * 1024)

/// Largest part of a snapshot in the store, with its header.
#define RECORD_PART_MAX 900000
#define RECORD_PARTS_MAX 32

/// A snapshot is written when the version is a multiple of this. It is below
/// RECORD_RECENT_MAX, so that the head always lists the records that follow
/// the newest snapshot.
#define RECORD_SNAPSHOT_INTERVAL 16

#define RECORD_KEY_MAX 160 ///< bytes of a key with its terminator
#define RECORD_HEAD_KEY "cfg/head"
#define RECORD_VERSIONS_PREFIX "cfg/v/"
#define RECORD_SNAPSHOTS_PREFIX "cfg/s/"

struct record_head
{
  uint64_t version;
  struct content_hash hash;
  uint64_t nonce;
  uint64_t snapshot_version; ///< 0 without a snapshot
  uint64_t snapshot_nonce;
  struct publish_entry recent[RECORD_RECENT_MAX];
  size_t recent_count;
};

/// Values of one snapshot, to be written under keys 0 to count - 1.
struct record_parts
{
  uint8_t *bytes[RECORD_PARTS_MAX];
  size_t sizes[RECORD_PARTS_MAX];
  size_t count;
};

/// Makes an accepted version the head and the first of its recent attempts.
void record_head_advance (struct record_head *head, uint64_t version,
                          const struct content_hash *hash, uint64_t nonce);

/// @return the version that a nonce created, 0 when the head does not list it
uint64_t record_head_version_of (const struct record_head *head,
                                 uint64_t nonce);

/// @param arena  talloc context that owns the bytes
enum status record_head_encode (const struct record_head *head, void *arena,
                                uint8_t **bytes, size_t *size);

/// @return STATUS_CORRUPT, STATUS_TOO_LARGE or STATUS_UNSUPPORTED with the
///         head unchanged
enum status record_head_decode (struct record_head *head, const uint8_t *bytes,
                                size_t size);

/// @return STATUS_TOO_LARGE when author, note or delta pass their limits
enum status record_version_encode (const struct config_record *record,
                                   void *arena, uint8_t **bytes, size_t *size);

/// Decodes a version record.
/// @param arena   talloc context of the strings and the delta
/// @param record  set only with STATUS_OK
/// @return STATUS_CORRUPT, STATUS_TOO_LARGE or STATUS_UNSUPPORTED
enum status record_version_decode (void *arena, const uint8_t *bytes,
                                   size_t size, struct config_record *record);

/// Compresses an encoded configuration with zstd.
/// @return STATUS_TOO_LARGE above RECORD_CONTENT_MAX
enum status record_compress (const uint8_t *content, size_t content_size,
                             void *arena, uint8_t **bytes, size_t *size);

/// Reverses record_compress. The size in the frame's header is compared with
/// the limit before memory is taken.
enum status record_decompress (const uint8_t *bytes, size_t size, void *arena,
                               uint8_t **content, size_t *content_size);

/// Compresses an encoded configuration and cuts it into values of the store.
enum status record_snapshot_encode (uint64_t version, const uint8_t *content,
                                    size_t content_size, void *arena,
                                    struct record_parts *parts);

/// @param first  bytes of part 0
/// @return number of parts of the snapshot, 0 when the bytes are no part 0
size_t record_snapshot_part_count (const uint8_t *first, size_t size);

/// Joins all parts of a snapshot and decompresses them.
/// @param parts  borrowed bytes, in order
enum status record_snapshot_decode (uint64_t version,
                                    const struct record_parts *parts,
                                    void *arena, uint8_t **content,
                                    size_t *content_size);

/// Keys hold version and part as fixed-width decimal numbers, so that a list
/// is in order of versions, and the nonce as 16 hexadecimal digits.
void record_version_key (char key[RECORD_KEY_MAX], uint64_t version,
                         uint64_t nonce);

/// Prefix of all attempts to write one version.
void record_version_prefix (char key[RECORD_KEY_MAX], uint64_t version);

void record_snapshot_key (char key[RECORD_KEY_MAX], uint64_t version,
                          uint64_t nonce, unsigned part);

/// @return STATUS_INVALID when the key is none of a version record
enum status record_version_key_parse (const char *key, uint64_t *version,
                                      uint64_t *nonce);

/// @return STATUS_INVALID when the key is none of a snapshot part
enum status record_snapshot_key_parse (const char *key, uint64_t *version,
                                       uint64_t *nonce, unsigned *part);

#endif
