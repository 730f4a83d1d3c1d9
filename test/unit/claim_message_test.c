#include "protocol/claim_message.h"
#include "testing.h"

#include <string.h>

static struct claim_message
sample (void)
{
  static const uint8_t body[CLAIM_BODY_MAX] = "sealed";
  struct claim_message message = { .partition = 9,
                                   .seq = UINT64_MAX,
                                   .deadline_ms = 1500,
                                   .verdict = CLAIM_VERDICT_RECORDED,
                                   .record = { .kind = CLAIM_RECORD_OUTCOME,
                                               .nonce = 1ull << 63,
                                               .created_s = 1790000000,
                                               .status = 201,
                                               .body = body,
                                               .body_size = CLAIM_BODY_MAX,
                                               .body_complete = true } };
  memset (message.record.key.bytes, 0xa5, CONTENT_HASH_SIZE);
  return message;
}

static void
test_round_trips (void)
{
  struct claim_message message = sample ();
  for (unsigned type = 18; type <= 20; type++)
    {
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      size_t size = claim_message_encode (type, &message, bytes);
      struct claim_message decoded;
      CU_ASSERT_EQUAL_FATAL (
          claim_message_decode (type, bytes, size, &decoded), STATUS_OK);
      CU_ASSERT_EQUAL (decoded.seq, message.seq);
      bool reply = type == CLAIM_MESSAGE_REPLY;
      bool claim = type == CLAIM_MESSAGE_CLAIM;
      CU_ASSERT (reply
                 || (hash_equal (&decoded.record.key, &message.record.key)
                     && decoded.record.nonce == message.record.nonce
                     && decoded.record.created_s == message.record.created_s
                     && decoded.partition == 9));
      CU_ASSERT (!claim || decoded.deadline_ms == 1500);
      CU_ASSERT (!reply || decoded.verdict == CLAIM_VERDICT_RECORDED);
      CU_ASSERT (claim
                 || (decoded.record.status == 201
                     && decoded.record.body_complete
                     && decoded.record.body_size == CLAIM_BODY_MAX
                     && memcmp (decoded.record.body, "sealed", 6) == 0));
    }
}

static void
test_truncated_messages (void)
{
  struct claim_message message = sample (), decoded;
  for (unsigned type = 18; type <= 20; type++)
    {
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      size_t size = claim_message_encode (type, &message, bytes);
      for (size_t length = 0; length < size; length++)
        CU_ASSERT_EQUAL (claim_message_decode (type, bytes, length, &decoded),
                         STATUS_CORRUPT);
    }
}

static void
test_outcomes_are_not_claims (void)
{
  struct claim_message message = sample (), decoded;
  static const enum claim_record_kind kinds[]
      = { 0, CLAIM_RECORD_CLAIM, CLAIM_RECORD_FLOOR };
  for (size_t i = 0; i < 3; i++)
    {
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      message.record.kind = kinds[i];
      size_t size
          = claim_message_encode (CLAIM_MESSAGE_OUTCOME, &message, bytes);
      CU_ASSERT_EQUAL (
          claim_message_decode (CLAIM_MESSAGE_OUTCOME, bytes, size, &decoded),
          STATUS_CORRUPT);
    }
}

static void
test_later_fields_are_skipped (void)
{
  struct claim_message message = sample (), decoded;
  uint8_t bytes[CLAIM_MESSAGE_MAX + 1];
  size_t size = claim_message_encode (CLAIM_MESSAGE_CLAIM, &message, bytes);
  bytes[0]++;
  bytes[size] = 7;
  CU_ASSERT_EQUAL (
      claim_message_decode (CLAIM_MESSAGE_CLAIM, bytes, size + 1, &decoded),
      STATUS_OK);
}

static const struct test_case cases[] = {
  { "a field differs after encoding and decoding", test_round_trips },
  { "a truncated message is accepted", test_truncated_messages },
  { "a peer writes a claim or a floor with a CLAIM_OUTCOME",
    test_outcomes_are_not_claims },
  { "a later release cannot add fields", test_later_fields_are_skipped },
};

int
main (void)
{
  return testing_run ("claim message", cases, sizeof cases / sizeof cases[0]);
}
