/// Encodes and decodes member records and reports.
#include "protocol/message.h"

#include "state/unpack.h"

#include <string.h>
#include <talloc.h>

#define RECORD_FIELDS 12

static void
pack_string (msgpack_packer *packer, const char *string)
{
  msgpack_pack_str_with_body (packer, string, strlen (string));
}

static void
pack_record (msgpack_packer *packer, const struct member *member)
{
  msgpack_pack_array (packer, RECORD_FIELDS);
  pack_string (packer, member->slot);
  pack_string (packer, member->availability_zone);
  pack_string (packer, member->region);
  msgpack_pack_uint64 (packer, member->incarnation);
  msgpack_pack_int (packer, (int)member->state);
  msgpack_pack_uint32 (packer, member->address);
  msgpack_pack_uint16 (packer, member->peer_port);
  msgpack_pack_uint16 (packer, member->call_port);
  msgpack_pack_int (packer, (int)member->target_state);
  pack_string (packer, member->service);
  pack_string (packer, member->target_version);
  msgpack_pack_uint16 (packer, member->target_slots);
}

static void
pack_records (msgpack_packer *packer, const struct member_table *table,
              const uint32_t *handles, size_t count)
{
  msgpack_pack_array (packer, count);
  for (size_t i = 0; i < count; i++)
    pack_record (packer, member_get (table, handles[i]));
}

static bool
read_name (const msgpack_object *object, char name[MEMBER_NAME_MAX + 1])
{
  if (object->type != MSGPACK_OBJECT_STR
      || object->via.str.size > MEMBER_NAME_MAX
      || (object->via.str.size > 0
          && memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL))
    return false;
  memset (name, 0, MEMBER_NAME_MAX + 1);
  if (object->via.str.size > 0)
    memcpy (name, object->via.str.ptr, object->via.str.size);
  return true;
}

static bool
read_record (const msgpack_object *object, struct member *member)
{
  const msgpack_object *fields = unpack_array (object, RECORD_FIELDS);
  uint64_t state, address, peer_port, call_port, target_state, target_slots;
  *member = (struct member){ 0 };
  if (fields == NULL || !read_name (&fields[0], member->slot)
      || !read_name (&fields[1], member->availability_zone)
      || !read_name (&fields[2], member->region)
      /* A member refutes a suspicion with a higher incarnation, so there must
         be room above. */
      || !unpack_number (&fields[3], UINT64_MAX / 2, &member->incarnation)
      || !unpack_number (&fields[4], MEMBER_DEAD, &state)
      || !unpack_number (&fields[5], UINT32_MAX, &address)
      || !unpack_number (&fields[6], UINT16_MAX, &peer_port)
      || !unpack_number (&fields[7], UINT16_MAX, &call_port)
      || !unpack_number (&fields[8], TARGET_DOWN, &target_state)
      || !read_name (&fields[9], member->service)
      || !read_name (&fields[10], member->target_version)
      || !unpack_number (&fields[11], UINT16_MAX, &target_slots)
      || member->slot[0] == '\0')
    return false;
  member->slot_id = hash_placement_string (member->slot);
  member->state = (enum member_state)state;
  member->address = (uint32_t)address;
  member->peer_port = (uint16_t)peer_port;
  member->call_port = (uint16_t)call_port;
  member->target_state = (enum target_state)target_state;
  member->target_slots = (uint16_t)target_slots;
  return true;
}

static enum status
read_records (const msgpack_object *object, void *arena,
              struct member **records, size_t *count)
{
  const msgpack_object *list = unpack_array (object, 0);
  if (list == NULL)
    return status_set (STATUS_CORRUPT, "malformed member list");
  *count = object->via.array.size;
  if (*count > MESSAGE_MEMBERS_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "%zu member records, at most %d are accepted", *count,
                       MESSAGE_MEMBERS_MAX);
  *records = talloc_array (arena, struct member, *count);
  if (*records == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for member records");
  for (size_t i = 0; i < *count; i++)
    if (!read_record (&list[i], &(*records)[i]))
      {
        talloc_free (*records);
        *records = NULL;
        return status_set (STATUS_CORRUPT, "malformed member record %zu", i);
      }
  return STATUS_OK;
}

void
message_write_members (msgpack_sbuffer *out, const struct member_table *table,
                       const uint32_t *handles, size_t count, bool is_reply)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, is_reply ? 2 : 1);
  pack_records (&packer, table, handles, count);
  if (is_reply)
    msgpack_pack_true (&packer);
}

enum status
message_read_members (const uint8_t *body, size_t size, void *arena,
                      struct member **records, size_t *count, bool *is_reply)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  const msgpack_object *fields = unpack_array (&unpacked.data, 1);
  if (fields == NULL)
    status = status_set (STATUS_CORRUPT, "malformed member list");
  else
    {
      status = read_records (&fields[0], arena, records, count);
      *is_reply = unpacked.data.via.array.size > 1
                  && fields[1].type == MSGPACK_OBJECT_BOOLEAN
                  && fields[1].via.boolean;
    }
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

void
message_write_events (msgpack_sbuffer *out, const struct member_table *table,
                      const uint32_t *handles, size_t count,
                      const struct zone_reachability *reachability)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, reachability != NULL ? 2 : 1);
  pack_records (&packer, table, handles, count);
  if (reachability == NULL)
    return;
  msgpack_pack_array (&packer, 3);
  pack_string (&packer, reachability->name);
  if (reachability->unreachable)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  msgpack_pack_uint32 (&packer, reachability->change_number);
}

static bool
read_zone_reachability (const msgpack_object *object,
                        struct zone_reachability *reachability)
{
  const msgpack_object *parts = unpack_array (object, 3);
  uint64_t number;
  if (parts == NULL || !read_name (&parts[0], reachability->name)
      || parts[1].type != MSGPACK_OBJECT_BOOLEAN
      /* Later changes have higher numbers, so there must be room above. */
      || !unpack_number (&parts[2], UINT32_MAX / 2, &number))
    return false;
  reachability->unreachable = parts[1].via.boolean;
  reachability->change_number = (uint32_t)number;
  return true;
}

enum status
message_read_events (const uint8_t *body, size_t size, void *arena,
                     struct member **records, size_t *count,
                     struct zone_reachability *reachability,
                     bool *has_reachability)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  *has_reachability = false;
  const msgpack_object *fields = unpack_array (&unpacked.data, 1);
  if (fields == NULL)
    status = status_set (STATUS_CORRUPT, "malformed member events");
  else
    status = read_records (&fields[0], arena, records, count);
  if (status == STATUS_OK && unpacked.data.via.array.size > 1)
    {
      *has_reachability = read_zone_reachability (&fields[1], reachability);
      if (!*has_reachability)
        {
          talloc_free (*records);
          *records = NULL;
          status = status_set (STATUS_CORRUPT, "malformed zone reachability");
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

void
message_write_report (msgpack_sbuffer *out, const struct report *report)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint32 (&packer, report->members);
  msgpack_pack_uint64 (&packer, report->lowest);
  msgpack_pack_array (&packer, report->lagging_count);
  for (uint32_t i = 0; i < report->lagging_count; i++)
    msgpack_pack_uint64 (&packer, report->lagging[i]);
}

static bool
parse_report (const msgpack_object *fields, struct report *report)
{
  uint64_t members;
  *report = (struct report){ 0 };
  if (fields == NULL || !unpack_number (&fields[0], UINT32_MAX / 2, &members)
      || !unpack_number (&fields[1], UINT64_MAX, &report->lowest))
    return false;
  const msgpack_object *lagging = unpack_array (&fields[2], 0);
  if (lagging == NULL || fields[2].via.array.size > REPORT_LAGGING_MAX)
    return false;
  report->members = (uint32_t)members;
  report->lagging_count = fields[2].via.array.size;
  for (uint32_t i = 0; i < report->lagging_count; i++)
    if (!unpack_number (&lagging[i], UINT64_MAX, &report->lagging[i]))
      return false;
  return true;
}

enum status
message_read_report (const uint8_t *body, size_t size, struct report *report)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  if (!parse_report (unpack_array (&unpacked.data, 3), report))
    status = status_set (STATUS_CORRUPT, "malformed report");
  msgpack_unpacked_destroy (&unpacked);
  return status;
}
