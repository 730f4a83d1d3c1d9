/// Framing, the HELLO handshake and encryption.
///
/// Each direction is encrypted with its own key. The key is the BLAKE2b-256
/// hash, keyed with the mesh key that the sender's HELLO names, of the
/// sender's HELLO followed by the receiver's. Hashing the whole HELLO, not
/// only its nonce, binds slot and versions to the key, so that a modified
/// HELLO makes the first encrypted frame fail authentication.
#include "protocol/frame.h"

#include "state/unpack.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

struct hello
{
  uint32_t version;
  uint32_t version_lowest;
  msgpack_object_str mesh;
  uint64_t slot_id;
  uint32_t key_id;
  const uint8_t *nonce;
};

static uint32_t
read_be32 (const uint8_t *bytes)
{
  return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16
         | (uint32_t)bytes[2] << 8 | bytes[3];
}

static void
write_be32 (uint8_t *bytes, uint32_t value)
{
  bytes[0] = (uint8_t)(value >> 24);
  bytes[1] = (uint8_t)(value >> 16);
  bytes[2] = (uint8_t)(value >> 8);
  bytes[3] = (uint8_t)value;
}

/// Builds the AEAD nonce of the frame with a number.
static void
nonce_from_number (uint64_t number,
                   uint8_t nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES])
{
  memset (nonce, 0, crypto_aead_chacha20poly1305_ietf_NPUBBYTES);
  for (int i = 0; i < 8; i++)
    nonce[4 + i] = (uint8_t)(number >> (8 * i));
}

static bool
parse_hello (const msgpack_object *root, struct hello *hello)
{
  const msgpack_object *items = unpack_array (root, 7);
  uint64_t type, version, lowest, key_id;
  if (items == NULL || !unpack_number (&items[0], 0, &type)
      || !unpack_number (&items[1], UINT32_MAX, &version)
      || !unpack_number (&items[2], version, &lowest)
      || items[3].type != MSGPACK_OBJECT_STR
      || !unpack_number (&items[4], UINT64_MAX, &hello->slot_id)
      || !unpack_number (&items[5], UINT32_MAX, &key_id)
      || items[6].type != MSGPACK_OBJECT_BIN
      || items[6].via.bin.size != FRAME_NONCE_SIZE)
    return false;
  hello->version = (uint32_t)version;
  hello->version_lowest = (uint32_t)lowest;
  hello->key_id = (uint32_t)key_id;
  hello->mesh = items[3].via.str;
  hello->nonce = (const uint8_t *)items[6].via.bin.ptr;
  return true;
}

static const struct settings_key *
find_key (const struct frame_identity *identity, uint32_t id)
{
  for (size_t i = 0; i < identity->key_count; i++)
    if (identity->keys[i].id == id)
      return &identity->keys[i];
  return NULL;
}

/// Derives the encryption key of one direction from the HELLOs of both ends.
static void
derive_key (uint8_t key[32], const struct settings_key *mesh_key,
            const uint8_t *sender, size_t sender_size, const uint8_t *receiver,
            size_t receiver_size)
{
  crypto_generichash_state state;
  crypto_generichash_init (&state, mesh_key->bytes, sizeof mesh_key->bytes,
                           32);
  crypto_generichash_update (&state, sender, sender_size);
  crypto_generichash_update (&state, receiver, receiver_size);
  crypto_generichash_final (&state, key, 32);
}

static enum status
check_hello (struct frame_session *session, const struct hello *hello,
             const uint8_t *body, size_t size)
{
  const struct frame_identity *own = session->identity;
  if (hello->version < own->version_lowest
      || own->version < hello->version_lowest)
    return status_set (
        STATUS_UNSUPPORTED,
        "peer supports protocol versions %u to %u, this node %u "
        "to %u",
        hello->version_lowest, hello->version, own->version_lowest,
        own->version);
  if (hello->mesh.size != strlen (own->mesh)
      || memcmp (hello->mesh.ptr, own->mesh, hello->mesh.size) != 0)
    return status_set (STATUS_DENIED, "peer belongs to another mesh");
  /* If a peer sent this node's own HELLO back, both directions would have the
     same key. */
  if (hello->slot_id == own->slot_id
      || memcmp (hello->nonce, session->nonce, FRAME_NONCE_SIZE) == 0)
    return status_set (STATUS_CONFLICT,
                       "peer claims the slot or the nonce of this node");
  const struct settings_key *key = find_key (own, hello->key_id);
  if (key == NULL)
    return status_set (STATUS_DENIED,
                       "peer uses mesh key %u, which this node does not have",
                       hello->key_id);
  derive_key (session->receive_key, key, body, size, session->hello,
              session->hello_size);
  derive_key (session->send_key, &own->keys[0], session->hello,
              session->hello_size, body, size);
  session->version
      = hello->version < own->version ? hello->version : own->version;
  session->peer_slot = hello->slot_id;
  session->established = true;
  return STATUS_OK;
}

static enum status
receive_hello (struct frame_session *session, const uint8_t *body, size_t size)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  struct hello hello;
  if (parse_hello (&unpacked.data, &hello))
    status = check_hello (session, &hello, body, size);
  else
    status = status_set (STATUS_CORRUPT, "malformed HELLO");
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

static enum status
open_frame (struct frame_session *session, uint8_t *body, size_t size,
            struct frame *frame)
{
  uint8_t nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES];
  nonce_from_number (session->received, nonce);
  unsigned long long plain_size;
  if (crypto_aead_chacha20poly1305_ietf_decrypt (body, &plain_size, NULL, body,
                                                 size, NULL, 0, nonce,
                                                 session->receive_key)
      != 0)
    return status_set (STATUS_DENIED, "frame %llu failed authentication",
                       (unsigned long long)session->received);
  session->received++;
  frame->plain = body;
  frame->plain_size = (size_t)plain_size;
  return STATUS_OK;
}

void
frame_session_init (struct frame_session *session,
                    const struct frame_identity *identity,
                    const uint8_t nonce[FRAME_NONCE_SIZE])
{
  assert (identity->key_count >= 1);
  memset (session, 0, sizeof *session);
  session->identity = identity;
  memcpy (session->nonce, nonce, FRAME_NONCE_SIZE);
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 7);
  msgpack_pack_int (&packer, 0);
  msgpack_pack_uint32 (&packer, identity->version);
  msgpack_pack_uint32 (&packer, identity->version_lowest);
  msgpack_pack_str_with_body (&packer, identity->mesh,
                              strlen (identity->mesh));
  msgpack_pack_uint64 (&packer, identity->slot_id);
  msgpack_pack_uint32 (&packer, identity->keys[0].id);
  msgpack_pack_bin_with_body (&packer, nonce, FRAME_NONCE_SIZE);
  assert (buffer.size <= sizeof session->hello);
  memcpy (session->hello, buffer.data, buffer.size);
  session->hello_size = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
}

size_t
frame_write_hello (const struct frame_session *session, uint8_t *out)
{
  write_be32 (out, (uint32_t)session->hello_size);
  memcpy (out + FRAME_PREFIX_SIZE, session->hello, session->hello_size);
  return FRAME_PREFIX_SIZE + session->hello_size;
}

enum status
frame_next (struct frame_session *session, uint8_t *input, size_t size,
            struct frame *frame)
{
  *frame = (struct frame){ .kind = FRAME_NONE, .wanted = FRAME_PREFIX_SIZE };
  if (size < FRAME_PREFIX_SIZE)
    return STATUS_OK;
  size_t body_size = read_be32 (input);
  size_t limit = session->established ? FRAME_BODY_MAX : FRAME_HELLO_MAX;
  if (body_size > limit)
    return status_set (STATUS_TOO_LARGE,
                       "frame has %zu bytes, at most %zu are accepted",
                       body_size, limit);
  frame->wanted = FRAME_PREFIX_SIZE + body_size;
  if (size < frame->wanted)
    return STATUS_OK;
  bool message = session->established;
  uint8_t *body = input + FRAME_PREFIX_SIZE;
  enum status status = message ? open_frame (session, body, body_size, frame)
                               : receive_hello (session, body, body_size);
  if (status != STATUS_OK)
    return status;
  frame->kind = message ? FRAME_MESSAGE : FRAME_HELLO;
  frame->consumed = frame->wanted;
  return STATUS_OK;
}

size_t
frame_seal (struct frame_session *session, const uint8_t *plain, size_t size,
            uint8_t *out)
{
  assert (session->established && size <= FRAME_PLAIN_MAX);
  uint8_t nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES];
  nonce_from_number (session->sent++, nonce);
  unsigned long long sealed_size;
  crypto_aead_chacha20poly1305_ietf_encrypt (
      out + FRAME_PREFIX_SIZE, &sealed_size, plain, size, NULL, 0, NULL, nonce,
      session->send_key);
  write_be32 (out, (uint32_t)sealed_size);
  return FRAME_PREFIX_SIZE + (size_t)sealed_size;
}
