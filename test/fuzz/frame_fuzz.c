/// Feeds bytes to a frame session before and after the HELLO: arbitrary ones
/// before it; altered, repeated, dropped or truncated frames after it. A
/// session must open exactly the unaltered frames, in order.
#include "protocol/frame.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUIRE(condition)                                                    \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);      \
        abort ();                                                             \
      }                                                                       \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct settings_key key = { .id = 1, .bytes = { 1, 2, 3 } };

static struct frame_identity
identity (uint64_t slot_id)
{
  return (struct frame_identity){ .mesh = "zapis",
                                  .slot_id = slot_id,
                                  .keys = &key,
                                  .key_count = 1,
                                  .version = FRAME_VERSION,
                                  .version_lowest = FRAME_VERSION_LOWEST };
}

static void
feed_raw (const uint8_t *data, size_t size)
{
  struct frame_identity own = identity (1);
  struct frame_session session;
  uint8_t nonce[FRAME_NONCE_SIZE] = { 1 };
  frame_session_init (&session, &own, nonce);
  uint8_t *input = malloc (size + FRAME_PREFIX_SIZE);
  input[0] = input[1] = input[2] = 0;
  input[3] = (uint8_t)size;
  memcpy (input + FRAME_PREFIX_SIZE, data, size);
  struct frame frame;
  if (frame_next (&session, input, size + FRAME_PREFIX_SIZE, &frame)
          == STATUS_OK
      && frame.kind == FRAME_HELLO)
    {
      REQUIRE (session.established && session.peer_slot != 1);
      /* A frame that was not sealed with the session's key must not open. */
      memset (input, 0, FRAME_PREFIX_SIZE);
      input[3] = (uint8_t)size;
      REQUIRE (frame_next (&session, input, size + FRAME_PREFIX_SIZE, &frame)
                   != STATUS_OK
               || frame.kind == FRAME_NONE);
    }
  free (input);
}

static void
feed_altered (const uint8_t *data, size_t size)
{
  struct frame_identity identities[2] = { identity (1), identity (2) };
  struct frame_session sessions[2];
  struct frame frame;
  uint8_t hello[2][FRAME_PREFIX_SIZE + FRAME_HELLO_MAX];
  size_t sizes[2];
  for (int i = 0; i < 2; i++)
    {
      uint8_t nonce[FRAME_NONCE_SIZE] = { (uint8_t)(i + 1) };
      frame_session_init (&sessions[i], &identities[i], nonce);
      sizes[i] = frame_write_hello (&sessions[i], hello[i]);
    }
  REQUIRE (frame_next (&sessions[0], hello[1], sizes[1], &frame) == STATUS_OK);
  REQUIRE (frame_next (&sessions[1], hello[0], sizes[0], &frame) == STATUS_OK);
  uint8_t bytes[FRAME_PREFIX_SIZE + FRAME_TAG_SIZE + 16];
  uint8_t previous[sizeof bytes];
  size_t previous_size = 0;
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      uint8_t plain[16];
      memset (plain, (int)i, sizeof plain);
      size_t length = data[i + 1] % (sizeof plain + 1);
      bool unaltered = false;
      size_t sealed = frame_seal (&sessions[0], plain, length, bytes);
      switch (data[i] % 8)
        {
        case 0:
          bytes[data[i + 1] % sealed] ^= (uint8_t)(1 + data[i] / 8);
          break;
        case 1:
          if (previous_size == 0)
            return;
          memcpy (bytes, previous, previous_size);
          sealed = previous_size;
          break;
        case 2:
          sealed = data[i + 1] % sealed;
          break;
        case 3:
          /* The first frame is dropped; the second one must be refused. */
          sealed = frame_seal (&sessions[0], plain, length, bytes);
          break;
        default:
          unaltered = true;
          break;
        }
      memcpy (previous, bytes, sealed);
      previous_size = sealed;
      enum status status = frame_next (&sessions[1], bytes, sealed, &frame);
      bool opened = status == STATUS_OK && frame.kind == FRAME_MESSAGE;
      REQUIRE (opened == unaltered);
      if (!opened)
        return;
      REQUIRE (frame.plain_size == length
               && memcmp (frame.plain, plain, length) == 0);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 2)
    return 0;
  if (data[0] % 2 == 0)
    feed_raw (data + 1, size - 1 < 255 ? size - 1 : 255);
  else
    feed_altered (data + 1, size - 1);
  return 0;
}
