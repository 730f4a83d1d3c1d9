/// Encodes and decodes head and version records, and builds and parses keys.
#include "protocol/record.h"

#include "state/unpack.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define RECORD_FORMAT 1
#define HEAD_FIELDS 7
#define VERSION_FIELDS 10

static void
pack_bytes (msgpack_packer *packer, const void *bytes, size_t size)
{
  msgpack_pack_bin (packer, size);
  if (size > 0)
    msgpack_pack_bin_body (packer, bytes, size);
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  if (text == NULL)
    text = "";
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

/// Moves an encoded record to the caller's arena.
static enum status
finish_buffer (msgpack_sbuffer *buffer, void *arena, uint8_t **bytes,
               size_t *size)
{
  *bytes = talloc_memdup (arena, buffer->data, buffer->size);
  *size = buffer->size;
  msgpack_sbuffer_destroy (buffer);
  return *bytes == NULL
             ? status_set (STATUS_NO_MEMORY, "out of memory for a record")
             : STATUS_OK;
}

/// Unpacks a record and checks its format number and number of fields. After
/// STATUS_OK the caller releases `unpacked`.
/// @param what    name of the record for messages
/// @param fields  set to the fields with STATUS_OK
static enum status
start_record (msgpack_unpacked *unpacked, const char *what, size_t field_count,
              const uint8_t *bytes, size_t size, const msgpack_object **fields)
{
  uint64_t format = 0;
  if (size > STORE_VALUE_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "%s has %zu bytes, more than a store value", what,
                       size);
  enum status status = unpack_one (unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  const msgpack_object *first = unpack_array (&unpacked->data, 1);
  if (first == NULL || !unpack_number (first, UINT64_MAX, &format))
    status = status_set (STATUS_CORRUPT, "%s is malformed", what);
  else if (format != RECORD_FORMAT)
    status = status_set (STATUS_UNSUPPORTED,
                         "%s has format %llu, this release reads %d", what,
                         (unsigned long long)format, RECORD_FORMAT);
  else if ((*fields = unpack_array (&unpacked->data, field_count)) == NULL)
    status = status_set (STATUS_CORRUPT, "%s has too few fields", what);
  if (status != STATUS_OK)
    msgpack_unpacked_destroy (unpacked);
  return status;
}

void
record_head_advance (struct record_head *head, uint64_t version,
                     const struct content_hash *hash, uint64_t nonce)
{
  size_t kept = head->recent_count < RECORD_RECENT_MAX ? head->recent_count
                                                       : RECORD_RECENT_MAX - 1;
  memmove (&head->recent[1], &head->recent[0], kept * sizeof head->recent[0]);
  head->recent[0] = (struct publish_entry){ version, nonce };
  head->recent_count = kept + 1;
  head->version = version;
  head->hash = *hash;
  head->nonce = nonce;
}

uint64_t
record_head_version_of (const struct record_head *head, uint64_t nonce)
{
  for (size_t i = 0; i < head->recent_count; i++)
    if (head->recent[i].nonce == nonce)
      return head->recent[i].version;
  return 0;
}

enum status
record_head_encode (const struct record_head *head, void *arena,
                    uint8_t **bytes, size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEAD_FIELDS);
  msgpack_pack_uint8 (&packer, RECORD_FORMAT);
  msgpack_pack_uint64 (&packer, head->version);
  pack_bytes (&packer, head->hash.bytes, sizeof head->hash.bytes);
  msgpack_pack_uint64 (&packer, head->nonce);
  msgpack_pack_uint64 (&packer, head->snapshot_version);
  msgpack_pack_uint64 (&packer, head->snapshot_nonce);
  msgpack_pack_array (&packer, head->recent_count);
  for (size_t i = 0; i < head->recent_count; i++)
    {
      msgpack_pack_array (&packer, 2);
      msgpack_pack_uint64 (&packer, head->recent[i].version);
      msgpack_pack_uint64 (&packer, head->recent[i].nonce);
    }
  return finish_buffer (&buffer, arena, bytes, size);
}

/// Reads the pairs (version, nonce), which must be in descending order of
/// versions and start with the head's own.
static bool
unpack_recent (struct record_head *head, const msgpack_object *object)
{
  const msgpack_object *pairs = unpack_array (object, 0);
  if (pairs == NULL || object->via.array.size > RECORD_RECENT_MAX)
    return false;
  head->recent_count = object->via.array.size;
  for (size_t i = 0; i < head->recent_count; i++)
    {
      struct publish_entry *entry = &head->recent[i];
      const msgpack_object *pair = unpack_array (&pairs[i], 2);
      if (pair == NULL
          || !unpack_number (&pair[0], UINT64_MAX, &entry->version)
          || !unpack_number (&pair[1], UINT64_MAX, &entry->nonce)
          || (i > 0 && entry->version >= head->recent[i - 1].version))
        return false;
    }
  return head->recent_count == 0
         || (head->recent[0].version == head->version
             && head->recent[0].nonce == head->nonce);
}

enum status
record_head_decode (struct record_head *head, const uint8_t *bytes,
                    size_t size)
{
  msgpack_unpacked unpacked = { 0 };
  struct record_head decoded = { 0 };
  const msgpack_object *fields = NULL;
  enum status status = start_record (&unpacked, "head record", HEAD_FIELDS,
                                     bytes, size, &fields);
  if (status != STATUS_OK || fields == NULL)
    return status;
  if (!unpack_number (&fields[1], UINT64_MAX, &decoded.version)
      || !unpack_bytes (&fields[2], decoded.hash.bytes, CONTENT_HASH_SIZE)
      || !unpack_number (&fields[3], UINT64_MAX, &decoded.nonce)
      || !unpack_number (&fields[4], decoded.version,
                         &decoded.snapshot_version)
      || !unpack_number (&fields[5], UINT64_MAX, &decoded.snapshot_nonce)
      || !unpack_recent (&decoded, &fields[6]))
    status = status_set (STATUS_CORRUPT, "head record has a malformed field");
  msgpack_unpacked_destroy (&unpacked);
  if (status == STATUS_OK)
    *head = decoded;
  return status;
}

enum status
record_version_encode (const struct config_record *record, void *arena,
                       uint8_t **bytes, size_t *size)
{
  if ((record->author != NULL && strlen (record->author) > RECORD_AUTHOR_MAX)
      || (record->note != NULL && strlen (record->note) > RECORD_NOTE_MAX)
      || record->delta_size > RECORD_DELTA_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "version record exceeds a limit: author %d, note %d, "
                       "delta %d bytes",
                       RECORD_AUTHOR_MAX, RECORD_NOTE_MAX, RECORD_DELTA_MAX);
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, VERSION_FIELDS);
  msgpack_pack_uint8 (&packer, RECORD_FORMAT);
  msgpack_pack_uint64 (&packer, record->version);
  pack_bytes (&packer, record->previous_hash.bytes, CONTENT_HASH_SIZE);
  pack_bytes (&packer, record->hash.bytes, CONTENT_HASH_SIZE);
  msgpack_pack_uint64 (&packer, record->nonce);
  pack_text (&packer, record->author);
  msgpack_pack_uint64 (&packer, record->wall_ms);
  msgpack_pack_uint64 (&packer, record->base_version);
  pack_text (&packer, record->note);
  pack_bytes (&packer, record->delta, record->delta_size);
  return finish_buffer (&buffer, arena, bytes, size);
}

enum status
record_version_decode (void *arena, const uint8_t *bytes, size_t size,
                       struct config_record *record)
{
  msgpack_unpacked unpacked = { 0 };
  struct config_record decoded = { 0 };
  const msgpack_object *fields = NULL;
  enum status status = start_record (&unpacked, "version record",
                                     VERSION_FIELDS, bytes, size, &fields);
  if (status != STATUS_OK || fields == NULL)
    return status;
  const msgpack_object *delta = &fields[9];
  if (!unpack_number (&fields[1], UINT64_MAX, &decoded.version)
      || !unpack_bytes (&fields[2], decoded.previous_hash.bytes,
                        CONTENT_HASH_SIZE)
      || !unpack_bytes (&fields[3], decoded.hash.bytes, CONTENT_HASH_SIZE)
      || !unpack_number (&fields[4], UINT64_MAX, &decoded.nonce)
      || !unpack_number (&fields[6], UINT64_MAX, &decoded.wall_ms)
      || !unpack_number (&fields[7], UINT64_MAX, &decoded.base_version)
      || delta->type != MSGPACK_OBJECT_BIN)
    status
        = status_set (STATUS_CORRUPT, "version record has a malformed field");
  else if (delta->via.bin.size > RECORD_DELTA_MAX)
    status = status_set (STATUS_TOO_LARGE,
                         "version record has a delta of %u bytes",
                         (unsigned)delta->via.bin.size);
  char *author = NULL, *note = NULL;
  uint8_t *delta_copy = NULL;
  if (status == STATUS_OK)
    {
      author = unpack_string (&fields[5], RECORD_AUTHOR_MAX, arena);
      note = unpack_string (&fields[8], RECORD_NOTE_MAX, arena);
      /* One more byte, so that an empty delta cannot be mistaken for a failed
         allocation. */
      delta_copy = talloc_size (arena, delta->via.bin.size + 1);
      if (author == NULL || note == NULL)
        status = status_set (STATUS_CORRUPT,
                             "version record: author or note is malformed");
      else if (delta_copy == NULL)
        status = status_set (STATUS_NO_MEMORY, "out of memory for a delta");
    }
  if (status == STATUS_OK)
    {
      decoded.author = author;
      decoded.note = note;
      if (delta->via.bin.size > 0)
        memcpy (delta_copy, delta->via.bin.ptr, delta->via.bin.size);
      decoded.delta = delta_copy;
      decoded.delta_size = delta->via.bin.size;
      *record = decoded;
    }
  else
    {
      talloc_free (author);
      talloc_free (note);
      talloc_free (delta_copy);
    }
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

void
record_version_key (char key[RECORD_KEY_MAX], uint64_t version, uint64_t nonce)
{
  snprintf (key, RECORD_KEY_MAX, RECORD_VERSIONS_PREFIX "%020llu-%016llx",
            (unsigned long long)version, (unsigned long long)nonce);
}

void
record_version_prefix (char key[RECORD_KEY_MAX], uint64_t version)
{
  snprintf (key, RECORD_KEY_MAX, RECORD_VERSIONS_PREFIX "%020llu-",
            (unsigned long long)version);
}

void
record_snapshot_key (char key[RECORD_KEY_MAX], uint64_t version,
                     uint64_t nonce, unsigned part)
{
  snprintf (key, RECORD_KEY_MAX,
            RECORD_SNAPSHOTS_PREFIX "%020llu-%016llx/%03u",
            (unsigned long long)version, (unsigned long long)nonce, part);
}

enum status
record_version_key_parse (const char *key, uint64_t *version, uint64_t *nonce)
{
  char canonical[RECORD_KEY_MAX];
  unsigned long long v, n;
  /* NOLINTNEXTLINE(cert-err34-c): the comparison below rejects overflow. */
  if (sscanf (key, RECORD_VERSIONS_PREFIX "%20llu-%16llx", &v, &n) == 2)
    {
      record_version_key (canonical, v, n);
      if (strcmp (canonical, key) == 0)
        {
          *version = v;
          *nonce = n;
          return STATUS_OK;
        }
    }
  return status_set (STATUS_INVALID,
                     "\"%.80s\" is not the key of a version record", key);
}

enum status
record_snapshot_key_parse (const char *key, uint64_t *version, uint64_t *nonce,
                           unsigned *part)
{
  char canonical[RECORD_KEY_MAX];
  unsigned long long v, n;
  unsigned p;
  /* NOLINTNEXTLINE(cert-err34-c): the comparison below rejects overflow. */
  if (sscanf (key, RECORD_SNAPSHOTS_PREFIX "%20llu-%16llx/%3u", &v, &n, &p)
      == 3)
    {
      record_snapshot_key (canonical, v, n, p);
      if (strcmp (canonical, key) == 0)
        {
          *version = v;
          *nonce = n;
          *part = p;
          return STATUS_OK;
        }
    }
  return status_set (STATUS_INVALID,
                     "\"%.80s\" is not the key of a snapshot part", key);
}
