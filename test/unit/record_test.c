#include "protocol/record.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>
#include <zstd.h>

static struct record_head
sample_head (void)
{
  struct record_head head = { .snapshot_version = 3, .snapshot_nonce = 33 };
  struct content_hash hash = { { 7 } };
  for (uint64_t version = 1; version <= 40; version++)
    record_head_advance (&head, version, &hash, version * 11);
  return head;
}

static void
test_head_keeps_recent_attempts (void)
{
  struct record_head head = sample_head (), decoded;
  uint8_t *bytes;
  size_t size;
  void *arena = talloc_new (NULL);
  CU_ASSERT_EQUAL (record_head_encode (&head, arena, &bytes, &size),
                   STATUS_OK);
  CU_ASSERT_EQUAL (record_head_decode (&decoded, bytes, size), STATUS_OK);
  CU_ASSERT_EQUAL (decoded.version, 40);
  CU_ASSERT_EQUAL (decoded.recent_count, RECORD_RECENT_MAX);
  CU_ASSERT_EQUAL (record_head_version_of (&decoded, 9 * 11), 9);
  CU_ASSERT_EQUAL (record_head_version_of (&decoded, 8 * 11), 0);
  for (size_t length = 0; length < size; length++)
    CU_ASSERT_EQUAL (record_head_decode (&decoded, bytes, length),
                     STATUS_CORRUPT);
  talloc_free (arena);
}

static void
test_head_skips_later_fields (void)
{
  struct record_head head = sample_head (), decoded;
  uint8_t *bytes;
  size_t size;
  void *arena = talloc_new (NULL);
  record_head_encode (&head, arena, &bytes, &size);
  uint8_t *longer = talloc_size (arena, size + 3);
  memcpy (longer, bytes, size);
  longer[0] += 2; /* two more fields in the array */
  memcpy (longer + size, "\xa1x\x05", 3);
  CU_ASSERT_EQUAL (record_head_decode (&decoded, longer, size + 3), STATUS_OK);
  longer[1] = 2; /* format */
  CU_ASSERT_EQUAL (record_head_decode (&decoded, longer, size + 3),
                   STATUS_UNSUPPORTED);
  talloc_free (arena);
}

static void
test_version_record_round_trip (void)
{
  struct config_record record = { .version = 5,
                                  .nonce = UINT64_MAX,
                                  .author = "olga",
                                  .note = "menu of Friday",
                                  .wall_ms = 17,
                                  .base_version = 4,
                                  .delta = (const uint8_t *)"abc",
                                  .delta_size = 3 };
  struct config_record decoded = { 0 };
  uint8_t *bytes;
  size_t size;
  void *arena = talloc_new (NULL), *results = talloc_new (NULL);
  CU_ASSERT_EQUAL (record_version_encode (&record, arena, &bytes, &size),
                   STATUS_OK);
  for (size_t length = 0; length < size; length++)
    CU_ASSERT_EQUAL (record_version_decode (results, bytes, length, &decoded),
                     STATUS_CORRUPT);
  CU_ASSERT_EQUAL (talloc_total_blocks (results), 1);
  CU_ASSERT_EQUAL (record_version_decode (results, bytes, size, &decoded),
                   STATUS_OK);
  CU_ASSERT_EQUAL (decoded.nonce, UINT64_MAX);
  CU_ASSERT_STRING_EQUAL (decoded.note, "menu of Friday");
  CU_ASSERT_EQUAL (decoded.delta_size, 3);
  record.delta_size = RECORD_DELTA_MAX + 1;
  CU_ASSERT_EQUAL (record_version_encode (&record, arena, &bytes, &size),
                   STATUS_TOO_LARGE);
  talloc_free (arena);
  talloc_free (results);
}

/// Random content, which zstd cannot compress, so that it needs several parts.
static uint8_t *
random_content (void *arena, size_t size)
{
  uint8_t *content = talloc_size (arena, size);
  uint64_t state = 1;
  for (size_t i = 0; i < size; i++)
    {
      state = state * 6364136223846793005U + 1442695040888963407U;
      content[i] = (uint8_t)(state >> 56);
    }
  return content;
}

static void
test_snapshot_parts (void)
{
  void *arena = talloc_new (NULL);
  size_t size = 2500000, decoded_size = 0;
  uint8_t *content = random_content (arena, size), *decoded = NULL;
  struct record_parts parts, wrong;
  CU_ASSERT_EQUAL (record_snapshot_encode (64, content, size, arena, &parts),
                   STATUS_OK);
  CU_ASSERT_EQUAL (parts.count, 3);
  for (size_t i = 0; i < parts.count; i++)
    CU_ASSERT (parts.sizes[i] <= RECORD_PART_MAX);
  CU_ASSERT_EQUAL (record_snapshot_part_count (parts.bytes[0], parts.sizes[0]),
                   3);
  CU_ASSERT_EQUAL (record_snapshot_part_count (parts.bytes[1], parts.sizes[1]),
                   0);
  CU_ASSERT_EQUAL (
      record_snapshot_decode (64, &parts, arena, &decoded, &decoded_size),
      STATUS_OK);
  CU_ASSERT_EQUAL (decoded_size, size);
  CU_ASSERT_EQUAL (memcmp (decoded, content, size), 0);
  wrong = parts;
  wrong.bytes[1] = parts.bytes[2];
  wrong.sizes[1] = parts.sizes[2];
  CU_ASSERT_EQUAL (
      record_snapshot_decode (64, &wrong, arena, &decoded, &decoded_size),
      STATUS_CORRUPT);
  CU_ASSERT_EQUAL (
      record_snapshot_decode (65, &parts, arena, &decoded, &decoded_size),
      STATUS_CORRUPT);
  wrong = parts;
  wrong.count = 2;
  CU_ASSERT_EQUAL (
      record_snapshot_decode (64, &wrong, arena, &decoded, &decoded_size),
      STATUS_CORRUPT);
  talloc_free (arena);
}

static void
test_decompression_is_limited (void)
{
  void *arena = talloc_new (NULL);
  size_t size = RECORD_CONTENT_MAX + 1, packed_size, result_size;
  uint8_t *zeros = talloc_zero_size (arena, size), *packed, *result;
  CU_ASSERT_EQUAL (record_compress (zeros, size, arena, &packed, &packed_size),
                   STATUS_TOO_LARGE);
  packed = talloc_size (arena, ZSTD_compressBound (size));
  packed_size
      = ZSTD_compress (packed, ZSTD_compressBound (size), zeros, size, 1);
  CU_ASSERT_EQUAL (
      record_decompress (packed, packed_size, arena, &result, &result_size),
      STATUS_TOO_LARGE);
  CU_ASSERT_EQUAL (record_decompress (packed, packed_size - 1, arena, &result,
                                      &result_size),
                   STATUS_CORRUPT);
  talloc_free (arena);
}

static void
test_keys (void)
{
  char key[RECORD_KEY_MAX], later[RECORD_KEY_MAX], prefix[RECORD_KEY_MAX];
  uint64_t version, nonce;
  unsigned part;
  record_version_key (key, 9, 255);
  record_version_key (later, 10, 1);
  record_version_prefix (prefix, 9);
  CU_ASSERT (strcmp (key, later) < 0);
  CU_ASSERT_EQUAL (strncmp (key, prefix, strlen (prefix)), 0);
  CU_ASSERT_EQUAL (record_version_key_parse (key, &version, &nonce),
                   STATUS_OK);
  CU_ASSERT_EQUAL (version, 9);
  CU_ASSERT_EQUAL (nonce, 255);
  record_snapshot_key (key, 64, 3, 2);
  CU_ASSERT_EQUAL (record_snapshot_key_parse (key, &version, &nonce, &part),
                   STATUS_OK);
  CU_ASSERT_EQUAL (part, 2);
  CU_ASSERT_EQUAL (record_version_key_parse (key, &version, &nonce),
                   STATUS_INVALID);
  static const char *const bad[]
      = { "", "cfg/v/", "cfg/v/1-1", "cfg/v/00000000000000000009-ff",
          "cfg/v/99999999999999999999-"
          "0000000000000001" };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (record_version_key_parse (bad[i], &version, &nonce),
                     STATUS_INVALID);
}

static const struct test_case cases[] = {
  { "the head does not list the version of a writer without a response",
    test_head_keeps_recent_attempts },
  { "a head of a later release cannot be read", test_head_skips_later_fields },
  { "a truncated version record is accepted or leaks memory",
    test_version_record_round_trip },
  { "parts of different snapshots are joined", test_snapshot_parts },
  { "a small zstd frame decompresses without a limit",
    test_decompression_is_limited },
  { "keys are out of order or ambiguous", test_keys },
};

int
main (void)
{
  return testing_run ("record", cases, sizeof cases / sizeof cases[0]);
}
