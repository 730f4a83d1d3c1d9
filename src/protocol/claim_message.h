/// Encoding of the messages between nodes about claims of idempotency keys
/// (types 18 to 20). A body is a msgpack array of the fields after the type;
/// unknown trailing fields are ignored.
///
/// CLAIM [seq, key (16 B), nonce, deadline ms, created s, partition]
/// CLAIM_REPLY [seq, result, status, body, complete]
/// CLAIM_OUTCOME [key (16 B), nonce, outcome, status, body, complete,
///                created s, partition, seq]
#ifndef HAWTHORNSEAM_PROTOCOL_CLAIM_MESSAGE_H
#define HAWTHORNSEAM_PROTOCOL_CLAIM_MESSAGE_H

#include "coordination/claim_owner.h"

#define CLAIM_MESSAGE_CLAIM 18
#define CLAIM_MESSAGE_REPLY 19
#define CLAIM_MESSAGE_OUTCOME 20
/// Bytes of the largest encoded message.
#define CLAIM_MESSAGE_MAX (CLAIM_BODY_MAX + 96)

struct claim_message
{
  uint32_t partition;
  uint64_t seq;
  uint32_t deadline_ms;       ///< of a CLAIM: time left
  enum claim_verdict verdict; ///< of a CLAIM_REPLY
  /// CLAIM: the claim. CLAIM_OUTCOME: the outcome. CLAIM_REPLY: recorded
  /// status and body.
  struct claim_record record;
};

/// Encodes a message.
/// @param type  CLAIM_MESSAGE_CLAIM, _REPLY or _OUTCOME
/// @return number of bytes
size_t claim_message_encode (unsigned type,
                             const struct claim_message *message,
                             uint8_t bytes[CLAIM_MESSAGE_MAX]);

/// Decodes a message; a body points into `bytes`.
/// @return STATUS_CORRUPT when a field is missing or malformed
enum status claim_message_decode (unsigned type, const uint8_t *bytes,
                                  size_t size, struct claim_message *message);

#endif
