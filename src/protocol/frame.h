/// Framing and encryption of one connection between two nodes. Performs no
/// I/O: received bytes go in, frames come out.
#ifndef HAWTHORNSEAM_PROTOCOL_FRAME_H
#define HAWTHORNSEAM_PROTOCOL_FRAME_H

#include "protocol/settings.h"

#define FRAME_VERSION 1        ///< protocol version of this release
#define FRAME_VERSION_LOWEST 1 ///< lowest version that this release speaks
#define FRAME_BODY_MAX (1024 * 1024) ///< bytes after the length prefix
#define FRAME_HEAD_SIZE 4            ///< bytes of the length prefix
#define FRAME_TAG_SIZE 16            ///< bytes that sealing adds
/// Largest plaintext of a sealed frame, bytes.
#define FRAME_PLAIN_MAX (FRAME_BODY_MAX - FRAME_TAG_SIZE)
/// Bound on an unauthenticated frame, so that a stranger cannot make a node
/// buffer more than this.
#define FRAME_HELLO_MAX 128
#define FRAME_NONCE_SIZE 24

/// What both ends of a connection must agree on, borrowed by sessions.
struct frame_identity
{
  const char *mesh;
  uint64_t slot_id;
  const struct settings_key *keys; ///< the first one is sent
  size_t key_count;
  uint32_t version;        ///< normally FRAME_VERSION
  uint32_t version_lowest; ///< normally FRAME_VERSION_LOWEST
};

struct frame_session
{
  const struct frame_identity *identity;
  uint8_t hello[FRAME_HELLO_MAX]; ///< own HELLO without length prefix
  size_t hello_size;
  uint8_t nonce[FRAME_NONCE_SIZE];
  bool established; ///< the HELLO of the other end was accepted
  uint64_t peer_slot;
  uint32_t version; ///< agreed protocol version
  uint8_t send_key[32];
  uint8_t receive_key[32];
  uint64_t sent;     ///< sealed frames, the nonce of the next one
  uint64_t received; ///< opened frames
};

enum frame_kind
{
  FRAME_NONE, ///< more bytes are needed
  FRAME_HELLO,
  FRAME_MESSAGE
};

struct frame
{
  enum frame_kind kind;
  size_t consumed; ///< input bytes that belong to the frame
  size_t wanted;   ///< bytes from the start of the frame; set with FRAME_NONE
  uint8_t *plain;  ///< inside the input, set with FRAME_MESSAGE
  size_t plain_size;
};

/// Starts one end of a connection.
/// @param nonce  fresh random bytes
void frame_session_init (struct frame_session *session,
                         const struct frame_identity *identity,
                         const uint8_t nonce[FRAME_NONCE_SIZE]);

/// Writes the own HELLO with its length prefix, the first frame to send.
/// @param out  at least FRAME_HEAD_SIZE + FRAME_HELLO_MAX bytes
/// @return bytes written
size_t frame_write_hello (const struct frame_session *session, uint8_t *out);

/// Takes the next frame from received bytes and decrypts it in place.
/// @return STATUS_OK; STATUS_TOO_LARGE, STATUS_CORRUPT, STATUS_DENIED (mesh,
///         key or authentication), STATUS_UNSUPPORTED (protocol version) or
///         STATUS_CONFLICT (the other end is this slot): close the connection
enum status frame_next (struct frame_session *session, uint8_t *input,
                        size_t size, struct frame *frame);

/// Encrypts one message. The session must be established.
/// @param out  FRAME_HEAD_SIZE + FRAME_TAG_SIZE + size bytes; the plaintext
///             may already lie at out + FRAME_HEAD_SIZE
/// @return bytes written; size is at most FRAME_PLAIN_MAX
size_t frame_seal (struct frame_session *session, const uint8_t *plain,
                   size_t size, uint8_t *out);

#endif
