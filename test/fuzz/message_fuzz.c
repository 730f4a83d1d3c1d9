/// Decodes arbitrary bytes as each type of message. What decodes must stay the
/// same when it is encoded and decoded again.
#include "protocol/message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define REQUIRE(condition)                                                    \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);      \
        abort ();                                                             \
      }                                                                       \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Reads a value, writes it, reads it again and compares the encodings.
#define ROUND_TRIP(name, type, body, size)                                    \
  do                                                                          \
    {                                                                         \
      type value = { 0 }, again = { 0 };                                      \
      if (message_read_##name (body, size, &value) != STATUS_OK)              \
        break;                                                                \
      msgpack_sbuffer first, second;                                          \
      msgpack_sbuffer_init (&first);                                          \
      msgpack_sbuffer_init (&second);                                         \
      message_write_##name (&first, &value);                                  \
      REQUIRE (message_read_##name ((const uint8_t *)first.data, first.size,  \
                                    &again)                                   \
               == STATUS_OK);                                                 \
      message_write_##name (&second, &again);                                 \
      REQUIRE (first.size == second.size                                      \
               && memcmp (first.data, second.data, first.size) == 0);         \
      msgpack_sbuffer_destroy (&first);                                       \
      msgpack_sbuffer_destroy (&second);                                      \
    }                                                                         \
  while (0)

static void
read_members (const uint8_t *body, size_t size)
{
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  bool is_reply;
  if (message_read_members (body, size, arena, &records, &count, &is_reply)
      == STATUS_OK)
    {
      struct member_table table;
      member_table_init (&table);
      for (size_t i = 0; i < count; i++)
        {
          bool changed;
          REQUIRE (records[i].slot_id
                   == hash_placement_string (records[i].slot));
          member_merge (&table, &records[i], 0, &changed);
        }
      uint32_t handles[8];
      uint32_t written = table.count < 8 ? table.count : 8;
      for (uint32_t i = 0; i < written; i++)
        handles[i] = i;
      msgpack_sbuffer out;
      msgpack_sbuffer_init (&out);
      message_write_members (&out, &table, handles, written, is_reply);
      struct member *again;
      bool again_is_reply;
      REQUIRE (message_read_members ((const uint8_t *)out.data, out.size,
                                     arena, &again, &count, &again_is_reply)
               == STATUS_OK);
      REQUIRE (count == written && again_is_reply == is_reply);
      for (uint32_t i = 0; i < written; i++)
        {
          again[i].changed_ms = table.items[i].changed_ms;
          REQUIRE (strcmp (again[i].slot, table.items[i].slot) == 0
                   && again[i].incarnation == table.items[i].incarnation
                   && again[i].state == table.items[i].state
                   && strcmp (again[i].service, table.items[i].service) == 0);
        }
      msgpack_sbuffer_destroy (&out);
      member_table_finish (&table);
    }
  struct zone_reachability reachability;
  bool has_reachability;
  message_read_events (body, size, arena, &records, &count, &reachability,
                       &has_reachability);
  talloc_free (arena);
}

static void
read_config_records (const uint8_t *body, size_t size)
{
  struct message_bytes records[MESSAGE_RECORDS_MAX];
  size_t count;
  if (message_read_config_records (body, size, records, &count) != STATUS_OK)
    return;
  for (size_t i = 0; i < count; i++)
    REQUIRE (records[i].data >= body
             && records[i].data + records[i].size <= body + size);
}

static void
read_all (const uint8_t *body, size_t size)
{
  uint64_t digests[MEMBERSHIP_BUCKETS];
  uint64_t number;
  ROUND_TRIP (heartbeat, struct heartbeat, body, size);
  ROUND_TRIP (config_pull, struct message_config_pull, body, size);
  ROUND_TRIP (config_snapshot, struct message_config_snapshot, body, size);
  ROUND_TRIP (retry_after, struct message_retry_after, body, size);
  ROUND_TRIP (broadcast, struct broadcast_message, body, size);
  ROUND_TRIP (broadcast_ack, struct broadcast_id, body, size);
  ROUND_TRIP (floor, struct message_floor, body, size);
  ROUND_TRIP (floor_reply, struct message_floor_reply, body, size);
  ROUND_TRIP (head_reply, struct message_head_reply, body, size);
  ROUND_TRIP (report, struct report, body, size);
  message_read_view_pull (body, size, digests);
  message_read_floor_query (body, size, &number);
  message_read_head_query (body, size, &number);
  read_members (body, size);
  read_config_records (body, size);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  /* A copy of exact size lets the sanitizer see reads past the end. */
  uint8_t *copy = malloc (size > 0 ? size : 1);
  memcpy (copy, data, size);
  read_all (copy, size);
  unsigned type;
  const uint8_t *body;
  size_t body_size;
  if (message_unwrap (copy, size, &type, &body, &body_size) == STATUS_OK)
    {
      uint8_t *wrapped = malloc (body_size + MESSAGE_WRAP_MAX);
      size_t wrapped_size;
      REQUIRE (message_wrap (type, body, body_size, wrapped, &wrapped_size)
               == STATUS_OK);
      REQUIRE (wrapped_size <= size);
      unsigned type_again;
      const uint8_t *again;
      size_t again_size;
      REQUIRE (message_unwrap (wrapped, wrapped_size, &type_again, &again,
                               &again_size)
               == STATUS_OK);
      REQUIRE (type_again == type && again_size == body_size
               && memcmp (again, body, body_size) == 0);
      read_all (body, body_size);
      free (wrapped);
    }
  free (copy);
  return 0;
}
