#include "protocol/segment.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>

static struct claim_record samples[4];

static struct claim_segment
sample (void)
{
  static const uint8_t body[] = "sealed";
  for (uint32_t i = 0; i < 4; i++)
    {
      samples[i] = (struct claim_record){ .kind = i + 1,
                                          .nonce = UINT64_MAX - i,
                                          .created_s = 1790000000 + i };
      hash_content (&samples[i].key, &i, sizeof i);
    }
  samples[CLAIM_RECORD_OUTCOME - 1].status = 201;
  samples[CLAIM_RECORD_OUTCOME - 1].body = body;
  samples[CLAIM_RECORD_OUTCOME - 1].body_size = 6;
  samples[CLAIM_RECORD_OUTCOME - 1].body_complete = true;
  return (struct claim_segment){ .partition = 7,
                                 .number = 1ull << 40,
                                 .nonce = 99,
                                 .records = samples,
                                 .count = 4 };
}

static void
test_round_trip (void)
{
  void *arena = talloc_new (NULL);
  struct claim_segment segment = sample (), decoded;
  uint8_t *bytes;
  size_t size;
  CU_ASSERT_EQUAL (segment_encode (&segment, arena, &bytes, &size), STATUS_OK);
  CU_ASSERT_EQUAL_FATAL (segment_decode (bytes, size, arena, &decoded),
                         STATUS_OK);
  CU_ASSERT (decoded.number == segment.number && decoded.partition == 7
             && decoded.nonce == 99 && decoded.count == 4 && !decoded.chunk);
  for (size_t i = 0; i < decoded.count; i++)
    {
      const struct claim_record *a = &samples[i], *b = &decoded.records[i];
      CU_ASSERT (a->kind == b->kind && hash_equal (&a->key, &b->key)
                 && a->nonce == b->nonce && a->created_s == b->created_s
                 && a->status == b->status && a->body_size == b->body_size
                 && a->body_complete == b->body_complete);
      CU_ASSERT (a->body_size == 0
                 || memcmp (a->body, b->body, a->body_size) == 0);
    }
  talloc_free (arena);
}

static void
test_truncations_are_corrupt (void)
{
  void *arena = talloc_new (NULL);
  struct claim_segment segment = sample (), decoded;
  uint8_t *bytes;
  size_t size;
  segment_encode (&segment, arena, &bytes, &size);
  for (size_t length = 0; length < size; length++)
    CU_ASSERT_EQUAL (segment_decode (bytes, length, arena, &decoded),
                     STATUS_CORRUPT);
  uint8_t *longer = talloc_zero_size (arena, size + 1);
  memcpy (longer, bytes, size);
  CU_ASSERT_EQUAL (segment_decode (longer, size + 1, arena, &decoded),
                   STATUS_CORRUPT);
  talloc_free (arena);
}

static void
test_malformed_values (void)
{
  static const struct
  {
    const char *fault;
    uint8_t bytes[12];
    size_t size;
  } rows[] = {
    { "another format", { 0x96, 2, 0xc2, 0, 1, 1, 0x90 }, 7 },
    { "a missing field", { 0x95, 1, 0xc2, 0, 1, 0x90 }, 6 },
    { "a number as a flag", { 0x96, 1, 1, 0, 1, 1, 0x90 }, 7 },
    { "a negative number", { 0x96, 1, 0xc2, 0xff, 1, 1, 0x90 }, 7 },
    { "a count without records",
      { 0x96, 1, 0xc2, 0, 1, 1, 0xdd, 0x7f, 0xff, 0xff, 0xff },
      11 },
    { "a record that is not an array",
      { 0x96, 1, 0xc2, 0, 1, 1, 0x91, 1 },
      8 },
    { "a record of unknown kind",
      { 0x96, 1, 0xc2, 0, 1, 1, 0x91, 0x94, 9 },
      9 },
    { "text", { 'h', 'e', 'l', 'l', 'o' }, 5 },
  };
  void *arena = talloc_new (NULL);
  struct claim_segment decoded;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      enum status status
          = segment_decode (rows[i].bytes, rows[i].size, arena, &decoded);
      if (status != STATUS_CORRUPT)
        printf ("accepted: %s\n", rows[i].fault);
      CU_ASSERT_EQUAL (status, STATUS_CORRUPT);
    }
  talloc_free (arena);
}

static void
test_largest_chunk_fits (void)
{
  void *arena = talloc_new (NULL);
  struct claim_record *records
      = talloc_zero_array (arena, struct claim_record, CLAIM_CHUNK_RECORDS);
  for (size_t i = 0; i < CLAIM_CHUNK_RECORDS; i++)
    records[i] = (struct claim_record){ .kind = CLAIM_RECORD_OUTCOME,
                                        .nonce = UINT64_MAX,
                                        .created_s = UINT32_MAX,
                                        .status = 599 };
  struct claim_segment chunk = { .chunk = true,
                                 .partition = UINT32_MAX,
                                 .number = UINT64_MAX,
                                 .records = records,
                                 .count = CLAIM_CHUNK_RECORDS };
  uint8_t *bytes;
  size_t size;
  CU_ASSERT_EQUAL (segment_encode (&chunk, arena, &bytes, &size), STATUS_OK);
  CU_ASSERT (size <= STORE_VALUE_MAX);
  CU_ASSERT_EQUAL (segment_decode (bytes, size, arena, &chunk), STATUS_OK);
  talloc_free (arena);
}

static const struct test_case cases[] = {
  { "a record differs after encoding and decoding", test_round_trip },
  { "a truncated segment is accepted", test_truncations_are_corrupt },
  { "a malformed value is accepted", test_malformed_values },
  { "a full chunk exceeds the value limit of the store",
    test_largest_chunk_fits },
};

int
main (void)
{
  return testing_run ("segment", cases, sizeof cases / sizeof cases[0]);
}
