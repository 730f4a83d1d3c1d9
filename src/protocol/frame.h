/// Framing and encryption of a connection between two nodes. Performs no I/O:
/// the caller passes in received bytes and takes frames out.
#ifndef HAWTHORNSEAM_PROTOCOL_FRAME_H
#define HAWTHORNSEAM_PROTOCOL_FRAME_H

#include "protocol/settings.h"

#define FRAME_VERSION 1        ///< protocol version of this release
#define FRAME_VERSION_LOWEST 1 ///< lowest version that this release supports
#define FRAME_BODY_MAX (1024 * 1024) ///< bytes after the length prefix
#define FRAME_PREFIX_SIZE 4          ///< bytes of the length prefix
#define FRAME_TAG_SIZE 16            ///< bytes of the authentication tag
/// Largest plaintext of an encrypted frame, bytes.
#define FRAME_PLAIN_MAX (FRAME_BODY_MAX - FRAME_TAG_SIZE)
/// Largest HELLO, bytes. It limits what a node buffers for a peer that is not
/// authenticated yet.
#define FRAME_HELLO_MAX 128
#define FRAME_NONCE_SIZE 24

/// Identity of a node towards its peers. Sessions keep a pointer to it.
struct frame_identity
{
  const char *mesh;
  uint64_t slot_id;
  const struct settings_key *keys; ///< the first one encrypts what is sent
  size_t key_count;
  uint32_t version;        ///< normally FRAME_VERSION
  uint32_t version_lowest; ///< normally FRAME_VERSION_LOWEST
};

/// One end of a connection.
struct frame_session
{
  const struct frame_identity *identity;
  uint8_t hello[FRAME_HELLO_MAX]; ///< HELLO of this end, without length prefix
  size_t hello_size;
  uint8_t nonce[FRAME_NONCE_SIZE];
  bool established; ///< the peer's HELLO was accepted
  uint64_t peer_slot;
  uint32_t version; ///< agreed protocol version
  uint8_t send_key[32];
  uint8_t receive_key[32];
  uint64_t sent;     ///< frames encrypted; nonce of the next one
  uint64_t received; ///< frames decrypted; nonce of the next one
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
  size_t wanted;   ///< bytes of the whole frame, as far as known
  uint8_t *plain;  ///< plaintext inside the input; FRAME_MESSAGE only
  size_t plain_size;
};

/// Starts one end of a connection.
/// @param nonce  random bytes, never used before
void frame_session_init (struct frame_session *session,
                         const struct frame_identity *identity,
                         const uint8_t nonce[FRAME_NONCE_SIZE]);

/// Writes the HELLO of this end with its length prefix; it is the first frame
/// to send.
/// @param out  at least FRAME_PREFIX_SIZE + FRAME_HELLO_MAX bytes
/// @return bytes written
size_t frame_write_hello (const struct frame_session *session, uint8_t *out);

/// Parses the next frame of the received bytes and decrypts it in place.
/// @return STATUS_OK; STATUS_TOO_LARGE, STATUS_CORRUPT, STATUS_DENIED (mesh,
///         key or authentication), STATUS_UNSUPPORTED (protocol version) or
///         STATUS_CONFLICT (the peer has the slot of this node). After any
///         error the connection has to be closed.
enum status frame_next (struct frame_session *session, uint8_t *input,
                        size_t size, struct frame *frame);

/// Encrypts one message. The session must be established.
/// @param size  at most FRAME_PLAIN_MAX
/// @param out  FRAME_PREFIX_SIZE + FRAME_TAG_SIZE + size bytes; the plaintext
///             may already lie at out + FRAME_PREFIX_SIZE
/// @return bytes written
size_t frame_seal (struct frame_session *session, const uint8_t *plain,
                   size_t size, uint8_t *out);

#endif
