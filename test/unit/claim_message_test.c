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
      struct claim_message copy;
      CU_ASSERT_EQUAL_FATAL (claim_message_decode (type, bytes, size, &copy),
                             STATUS_OK);
      CU_ASSERT_EQUAL (copy.seq, message.seq);
      bool reply = type == CLAIM_MESSAGE_REPLY;
      bool claim = type == CLAIM_MESSAGE_CLAIM;
      CU_ASSERT (reply
                 || (hash_equal (&copy.record.key, &message.record.key)
                     && copy.record.nonce == message.record.nonce
                     && copy.record.created_s == message.record.created_s
                     && copy.partition == 9));
      CU_ASSERT (!claim || copy.deadline_ms == 1500);
      CU_ASSERT (!reply || copy.verdict == CLAIM_VERDICT_RECORDED);
      CU_ASSERT (claim
                 || (copy.record.status == 201 && copy.record.body_complete
                     && copy.record.body_size == CLAIM_BODY_MAX
                     && memcmp (copy.record.body, "sealed", 6) == 0));
    }
}

static void
test_truncated_messages (void)
{
  struct claim_message message = sample (), copy;
  for (unsigned type = 18; type <= 20; type++)
    {
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      size_t size = claim_message_encode (type, &message, bytes);
      for (size_t length = 0; length < size; length++)
        CU_ASSERT_EQUAL (claim_message_decode (type, bytes, length, &copy),
                         STATUS_CORRUPT);
    }
}

static void
test_outcomes_are_not_claims (void)
{
  struct claim_message message = sample (), copy;
  static const enum claim_record_kind kinds[]
      = { 0, CLAIM_RECORD_CLAIM, CLAIM_RECORD_FLOOR };
  for (size_t i = 0; i < 3; i++)
    {
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      message.record.kind = kinds[i];
      size_t size
          = claim_message_encode (CLAIM_MESSAGE_OUTCOME, &message, bytes);
      CU_ASSERT_EQUAL (
          claim_message_decode (CLAIM_MESSAGE_OUTCOME, bytes, size, &copy),
          STATUS_CORRUPT);
    }
}

static void
test_later_fields_are_skipped (void)
{
  struct claim_message message = sample (), copy;
  uint8_t bytes[CLAIM_MESSAGE_MAX + 1];
  size_t size = claim_message_encode (CLAIM_MESSAGE_CLAIM, &message, bytes);
  bytes[0]++;
  bytes[size] = 7;
  CU_ASSERT_EQUAL (
      claim_message_decode (CLAIM_MESSAGE_CLAIM, bytes, size + 1, &copy),
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
