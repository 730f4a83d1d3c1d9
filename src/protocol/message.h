/// Encoding of the messages of types 1 to 17 between nodes; claim_message.h
/// and evidence.h have the others. Bodies are msgpack arrays; unknown trailing
/// fields are ignored.
#ifndef HAWTHORNSEAM_PROTOCOL_MESSAGE_H
#define HAWTHORNSEAM_PROTOCOL_MESSAGE_H

#include "base/hash.h"
#include "coordination/broadcast.h"
#include "coordination/membership.h"
#include "coordination/report.h"

#include <msgpack.h>

enum message_type
{
  MESSAGE_PING = 1,
  MESSAGE_ACK = 2,
  MESSAGE_MEMBERS = 3,
  MESSAGE_VIEW_PULL = 4,
  MESSAGE_CONFIG_PULL = 5,
  MESSAGE_CONFIG_RECORDS = 6,
  MESSAGE_CONFIG_SNAPSHOT = 7,
  MESSAGE_RETRY_AFTER = 8,
  MESSAGE_BROADCAST = 9,
  MESSAGE_BROADCAST_ACK = 10,
  MESSAGE_FLOOR = 11,
  MESSAGE_FLOOR_ACK = 12,
  MESSAGE_FLOOR_QUERY = 13,
  MESSAGE_FLOOR_REPLY = 14,
  MESSAGE_HEAD_QUERY = 15,
  MESSAGE_HEAD_REPLY = 16,
  MESSAGE_REPORT = 17
};

#define MESSAGE_MEMBERS_MAX 4096         ///< member records in one message
#define MESSAGE_RECORDS_MAX 64           ///< version records in one message
#define MESSAGE_RETRY_DELAY_MAX_MS 60000 ///< of RETRY_AFTER
#define MESSAGE_WRAP_MAX 6               ///< bytes that message_wrap may add

/// Byte string; points into memory of the message or the caller.
struct message_bytes
{
  const uint8_t *data;
  size_t size;
};

struct message_config_pull
{
  uint64_t version; ///< version that the sender has
  struct content_hash hash;
};

struct message_config_snapshot
{
  uint64_t version;
  struct content_hash hash;
  struct message_bytes content; ///< canonical encoding, compressed with zstd
};

struct message_retry_after
{
  uint32_t delay_ms;
  unsigned type; ///< type of the refused request; 0 when not given
};

/// FLOOR and FLOOR_ACK: a slot may have used versions up to this one.
struct message_floor
{
  uint64_t slot_id;
  uint64_t version;
};

struct message_floor_reply
{
  uint64_t slot_id;
  uint64_t floor; ///< recorded by the sender for the slot; 0: none
  uint64_t version;
  bool ready; ///< the sender is ready, so its reply counts towards the
              ///< number of replies that the receiver needs
};

struct message_head_reply
{
  uint64_t seq;
  uint64_t version;
  bool confirmed; ///< the head was read from the store; when false,
                  ///< `version` 0 does not mean that the store is empty
};

/// Prepends a type to a body: [fields...] becomes [type, fields...].
/// @param type  below 128
/// @param out   MESSAGE_WRAP_MAX + size bytes
/// @param size_out  set to the bytes written
/// @return STATUS_INVALID when the body is not an array or has too many fields
enum status message_wrap (unsigned type, const uint8_t *body, size_t size,
                          uint8_t *out, size_t *size_out);

/// Reverses message_wrap in place.
/// @param body  set to the body inside `message`, whose bytes are changed
/// @return STATUS_CORRUPT when there is no type
enum status message_unwrap (uint8_t *message, size_t size, unsigned *type,
                            const uint8_t **body, size_t *body_size);

/* The message_write functions append a body to an initialized buffer. */

void message_write_heartbeat (msgpack_sbuffer *out,
                              const struct heartbeat *heartbeat);
void message_write_members (msgpack_sbuffer *out,
                            const struct member_table *table,
                            const uint32_t *handles, size_t count,
                            bool is_reply);
void message_write_view_pull (msgpack_sbuffer *out,
                              const uint64_t digests[MEMBERSHIP_BUCKETS]);
void message_write_config_pull (msgpack_sbuffer *out,
                                const struct message_config_pull *pull);
void message_write_config_records (msgpack_sbuffer *out,
                                   const struct message_bytes *records,
                                   size_t count);
void
message_write_config_snapshot (msgpack_sbuffer *out,
                               const struct message_config_snapshot *snapshot);
void message_write_retry_after (msgpack_sbuffer *out,
                                const struct message_retry_after *retry);
void message_write_broadcast (msgpack_sbuffer *out,
                              const struct broadcast_message *message);
void message_write_broadcast_ack (msgpack_sbuffer *out,
                                  const struct broadcast_id *id);
void message_write_floor (msgpack_sbuffer *out,
                          const struct message_floor *floor);
void message_write_floor_query (msgpack_sbuffer *out, uint64_t slot_id);
void message_write_floor_reply (msgpack_sbuffer *out,
                                const struct message_floor_reply *reply);
void message_write_head_query (msgpack_sbuffer *out, uint64_t seq);
void message_write_head_reply (msgpack_sbuffer *out,
                               const struct message_head_reply *reply);
void message_write_report (msgpack_sbuffer *out, const struct report *report);

/// Writes the body of a broadcast of member events.
/// @param reachability  of a zone that has changed, or NULL
void message_write_events (msgpack_sbuffer *out,
                           const struct member_table *table,
                           const uint32_t *handles, size_t count,
                           const struct zone_reachability *reachability);

/* The message_read functions return STATUS_CORRUPT, STATUS_TOO_LARGE or
   STATUS_NO_MEMORY for a body that they reject. Byte strings that they give
   point into the body. */

enum status message_read_heartbeat (const uint8_t *body, size_t size,
                                    struct heartbeat *heartbeat);

/// @param arena     talloc context that owns the records
/// @param is_reply  set to true when the message is a reply to VIEW_PULL
enum status message_read_members (const uint8_t *body, size_t size,
                                  void *arena, struct member **records,
                                  size_t *count, bool *is_reply);
enum status message_read_view_pull (const uint8_t *body, size_t size,
                                    uint64_t digests[MEMBERSHIP_BUCKETS]);
enum status message_read_config_pull (const uint8_t *body, size_t size,
                                      struct message_config_pull *pull);

/// @param records  array of MESSAGE_RECORDS_MAX entries
enum status message_read_config_records (const uint8_t *body, size_t size,
                                         struct message_bytes *records,
                                         size_t *count);
enum status
message_read_config_snapshot (const uint8_t *body, size_t size,
                              struct message_config_snapshot *snapshot);
enum status message_read_retry_after (const uint8_t *body, size_t size,
                                      struct message_retry_after *retry);
enum status message_read_broadcast (const uint8_t *body, size_t size,
                                    struct broadcast_message *message);
enum status message_read_broadcast_ack (const uint8_t *body, size_t size,
                                        struct broadcast_id *id);
enum status message_read_floor (const uint8_t *body, size_t size,
                                struct message_floor *floor);
enum status message_read_floor_query (const uint8_t *body, size_t size,
                                      uint64_t *slot_id);
enum status message_read_floor_reply (const uint8_t *body, size_t size,
                                      struct message_floor_reply *reply);
enum status message_read_head_query (const uint8_t *body, size_t size,
                                     uint64_t *seq);
enum status message_read_head_reply (const uint8_t *body, size_t size,
                                     struct message_head_reply *reply);
enum status message_read_report (const uint8_t *body, size_t size,
                                 struct report *report);

/// @param has_reachability  set to true when `reachability` was set
enum status message_read_events (const uint8_t *body, size_t size, void *arena,
                                 struct member **records, size_t *count,
                                 struct zone_reachability *reachability,
                                 bool *has_reachability);

#endif
