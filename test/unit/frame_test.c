#include "protocol/frame.h"
#include "protocol/message.h"
#include "testing.h"

#include <sodium.h>
#include <string.h>
#include <talloc.h>

static const struct settings_key first_key = { .id = 1, .bytes = { 1 } };
static const struct settings_key second_key = { .id = 2, .bytes = { 2 } };

struct pair
{
  struct settings_key keys[2][2];
  struct frame_identity identities[2];
  struct frame_session sessions[2];
};

static void
pair_init (struct pair *pair)
{
  *pair = (struct pair){ .keys = { { first_key }, { first_key } } };
  for (int i = 0; i < 2; i++)
    pair->identities[i]
        = (struct frame_identity){ .mesh = "zapis",
                                   .slot_id = 10 + (uint64_t)i,
                                   .keys = pair->keys[i],
                                   .key_count = 1,
                                   .version = FRAME_VERSION,
                                   .version_lowest = FRAME_VERSION_LOWEST };
}

/// Exchanges HELLOs.
/// @return the status at end 1
static enum status
pair_connect (struct pair *pair)
{
  uint8_t hello[2][FRAME_PREFIX_SIZE + FRAME_HELLO_MAX];
  size_t sizes[2];
  for (int i = 0; i < 2; i++)
    {
      uint8_t nonce[FRAME_NONCE_SIZE] = { (uint8_t)(i + 1) };
      frame_session_init (&pair->sessions[i], &pair->identities[i], nonce);
      sizes[i] = frame_write_hello (&pair->sessions[i], hello[i]);
    }
  struct frame frame;
  frame_next (&pair->sessions[0], hello[1], sizes[1], &frame);
  return frame_next (&pair->sessions[1], hello[0], sizes[0], &frame);
}

/// Sends one message from an end to the other.
/// @return true when it arrives unchanged
static bool
passes (struct pair *pair, int from, const char *text)
{
  uint8_t bytes[256];
  size_t size = frame_seal (&pair->sessions[from], (const uint8_t *)text,
                            strlen (text), bytes);
  struct frame frame;
  return frame_next (&pair->sessions[1 - from], bytes, size, &frame)
             == STATUS_OK
         && frame.kind == FRAME_MESSAGE && frame.consumed == size
         && frame.plain_size == strlen (text)
         && memcmp (frame.plain, text, frame.plain_size) == 0;
}

static void
test_messages_pass (void)
{
  struct pair pair;
  pair_init (&pair);
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_OK);
  CU_ASSERT_EQUAL (pair.sessions[0].peer_slot, 11);
  CU_ASSERT_EQUAL (pair.sessions[1].peer_slot, 10);
  for (int i = 0; i < 100; i++)
    CU_ASSERT (passes (&pair, i % 2, "message"));
  CU_ASSERT (passes (&pair, 0, ""));
}

static void
test_key_rotation (void)
{
  /* Each row is a step of a rotation from key 1 to key 2, node by node. */
  static const struct
  {
    int keys[2][2]; ///< ids, the first one encrypts; 0: none
    bool passes;
  } steps[] = {
    { { { 1, 0 }, { 1, 0 } }, true }, { { { 1, 2 }, { 1, 0 } }, true },
    { { { 1, 2 }, { 1, 2 } }, true }, { { { 2, 1 }, { 1, 2 } }, true },
    { { { 2, 1 }, { 2, 1 } }, true }, { { { 2, 0 }, { 2, 1 } }, true },
    { { { 2, 0 }, { 2, 0 } }, true }, { { { 2, 0 }, { 1, 0 } }, false }
  };
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      struct pair pair;
      pair_init (&pair);
      for (int end = 0; end < 2; end++)
        {
          pair.identities[end].key_count = steps[i].keys[end][1] == 0 ? 1 : 2;
          for (int k = 0; k < 2; k++)
            pair.keys[end][k]
                = steps[i].keys[end][k] == 2 ? second_key : first_key;
        }
      bool passed = pair_connect (&pair) == STATUS_OK
                    && passes (&pair, 0, "there")
                    && passes (&pair, 1, "and back");
      CU_ASSERT_EQUAL (passed, steps[i].passes);
    }
}

static void
test_wrong_key_fails (void)
{
  struct pair pair;
  pair_init (&pair);
  pair.keys[1][0].bytes[5] = 9; /* same id, other bytes */
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_OK);
  CU_ASSERT_FALSE (passes (&pair, 0, "message"));
}

static void
test_changed_frames_fail (void)
{
  struct pair pair;
  for (size_t bit = 0; bit < 8 * 30; bit++)
    {
      pair_init (&pair);
      pair_connect (&pair);
      uint8_t bytes[64];
      size_t size = frame_seal (&pair.sessions[0], (const uint8_t *)"message",
                                7, bytes);
      if (bit / 8 >= size)
        break;
      bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
      struct frame frame;
      enum status status = frame_next (&pair.sessions[1], bytes, size, &frame);
      CU_ASSERT (status != STATUS_OK || frame.kind == FRAME_NONE);
    }
  /* A repeated frame fails, because each frame has its own nonce. */
  pair_init (&pair);
  pair_connect (&pair);
  uint8_t bytes[64], copy[64];
  size_t size
      = frame_seal (&pair.sessions[0], (const uint8_t *)"once", 4, bytes);
  memcpy (copy, bytes, size);
  struct frame frame;
  CU_ASSERT_EQUAL (frame_next (&pair.sessions[1], bytes, size, &frame),
                   STATUS_OK);
  CU_ASSERT_EQUAL (frame_next (&pair.sessions[1], copy, size, &frame),
                   STATUS_DENIED);
}

static void
test_refused_hellos (void)
{
  struct pair pair;
  pair_init (&pair);
  pair.identities[0].mesh = "dala-oraq";
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_DENIED);
  pair_init (&pair);
  pair.identities[0].slot_id = 11;
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_CONFLICT);
  pair_init (&pair);
  pair.identities[0].version = pair.identities[0].version_lowest = 7;
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_UNSUPPORTED);
  CU_ASSERT_PTR_NOT_NULL (strstr (status_message (), "7 to 7"));
  pair_init (&pair);
  pair.identities[0].version = 7;
  CU_ASSERT_EQUAL (pair_connect (&pair), STATUS_OK);
  CU_ASSERT_EQUAL (pair.sessions[1].version, FRAME_VERSION);
  /* A HELLO sent back to its sender would give both directions one key. */
  uint8_t nonce[FRAME_NONCE_SIZE] = { 3 };
  uint8_t hello[FRAME_PREFIX_SIZE + FRAME_HELLO_MAX];
  struct frame frame;
  frame_session_init (&pair.sessions[0], &pair.identities[0], nonce);
  size_t size = frame_write_hello (&pair.sessions[0], hello);
  CU_ASSERT_EQUAL (frame_next (&pair.sessions[0], hello, size, &frame),
                   STATUS_CONFLICT);
}

static void
test_lengths_are_bounded (void)
{
  struct pair pair;
  pair_init (&pair);
  pair_connect (&pair);
  uint8_t large[] = { 0, 0x10, 0, 1 };
  struct frame frame;
  CU_ASSERT_EQUAL (frame_next (&pair.sessions[0], large, 4, &frame),
                   STATUS_TOO_LARGE);
  uint8_t nonce[FRAME_NONCE_SIZE] = { 3 };
  frame_session_init (&pair.sessions[0], &pair.identities[0], nonce);
  uint8_t hello[] = { 0, 0, 0, FRAME_HELLO_MAX + 1 };
  CU_ASSERT_EQUAL (frame_next (&pair.sessions[0], hello, 4, &frame),
                   STATUS_TOO_LARGE);
}

static void
test_type_is_wrapped (void)
{
  for (unsigned count = 0; count < 40; count++)
    {
      msgpack_sbuffer body;
      msgpack_sbuffer_init (&body);
      msgpack_packer packer;
      msgpack_packer_init (&packer, &body, msgpack_sbuffer_write);
      msgpack_pack_array (&packer, count);
      for (unsigned i = 0; i < count; i++)
        msgpack_pack_unsigned_int (&packer, i * 100);
      uint8_t wrapped[256];
      size_t size, read_size;
      unsigned type;
      const uint8_t *read;
      CU_ASSERT_EQUAL (message_wrap (21, (const uint8_t *)body.data, body.size,
                                     wrapped, &size),
                       STATUS_OK);
      CU_ASSERT (size <= body.size + MESSAGE_WRAP_MAX);
      CU_ASSERT_EQUAL (
          message_unwrap (wrapped, size, &type, &read, &read_size), STATUS_OK);
      CU_ASSERT_EQUAL (type, 21);
      CU_ASSERT_EQUAL (read_size, body.size);
      CU_ASSERT_EQUAL (memcmp (read, body.data, body.size), 0);
      msgpack_sbuffer_destroy (&body);
    }
}

static void
test_later_fields_are_skipped (void)
{
  /* As if a later release added a field to FLOOR and to BROADCAST_ACK. */
  static const uint8_t floor[] = { 0x93, 5, 6, 0xa1, 'x' };
  struct message_floor read;
  CU_ASSERT_EQUAL (message_read_floor (floor, sizeof floor, &read), STATUS_OK);
  CU_ASSERT_EQUAL (read.slot_id, 5);
  CU_ASSERT_EQUAL (read.version, 6);
  static const uint8_t ack[] = { 0x92, 0x93, 7, 8, 0xc0, 0x80 };
  struct broadcast_id id;
  CU_ASSERT_EQUAL (message_read_broadcast_ack (ack, sizeof ack, &id),
                   STATUS_OK);
  CU_ASSERT_EQUAL (id.number, 8);
}

static void
test_limits_are_strict (void)
{
  struct message_retry_after retry;
  static const uint8_t long_delay[] = { 0x91, 0xce, 0, 1, 0, 0 };
  CU_ASSERT_EQUAL (
      message_read_retry_after (long_delay, sizeof long_delay, &retry),
      STATUS_CORRUPT);
  struct member_table table;
  member_table_init (&table);
  struct member member = { .slot_id = 1, .slot = "vm", .incarnation = 4 };
  memset (member.region, 'r', MEMBER_NAME_MAX);
  bool changed;
  member_merge (&table, &member, 0, &changed);
  uint32_t *handles = calloc (MESSAGE_MEMBERS_MAX + 1, sizeof *handles);
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_members (&body, &table, handles, MESSAGE_MEMBERS_MAX + 1,
                         true);
  struct member *records;
  size_t count;
  bool is_reply;
  CU_ASSERT_EQUAL (message_read_members ((const uint8_t *)body.data, body.size,
                                         NULL, &records, &count, &is_reply),
                   STATUS_TOO_LARGE);
  msgpack_sbuffer_clear (&body);
  message_write_members (&body, &table, handles, 1, true);
  CU_ASSERT_EQUAL (message_read_members ((const uint8_t *)body.data, body.size,
                                         NULL, &records, &count, &is_reply),
                   STATUS_OK);
  CU_ASSERT_EQUAL (count, 1);
  CU_ASSERT (is_reply);
  CU_ASSERT_STRING_EQUAL (records[0].region, member.region);
  talloc_free (records);
  msgpack_sbuffer_destroy (&body);
  free (handles);
  member_table_finish (&table);
}

static const struct test_case cases[] = {
  { "a message differs after encryption and decryption", test_messages_pass },
  { "a key rotation splits the mesh", test_key_rotation },
  { "another mesh key is accepted", test_wrong_key_fails },
  { "changed or repeated frames are accepted", test_changed_frames_fail },
  { "a HELLO of another mesh, of this slot or of an unknown version is "
    "accepted",
    test_refused_hellos },
  { "a length prefix makes a node buffer too much", test_lengths_are_bounded },
  { "wrapping and unwrapping a type changes a message", test_type_is_wrapped },
  { "a field of a later release breaks a message",
    test_later_fields_are_skipped },
  { "values above the limits are accepted", test_limits_are_strict },
};

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  return testing_run ("frame", cases, sizeof cases / sizeof cases[0]);
}
