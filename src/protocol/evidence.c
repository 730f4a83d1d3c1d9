/// Encodes and decodes evidence and trips, and filters repeated evidence.
#include "protocol/evidence.h"

#include "state/unpack.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define HEADER_FIELDS 4
#define CELL_FIELDS 10
#define TRIP_FIELDS 2

/// Moves an encoded message to the caller's arena.
static enum status
finish_buffer (msgpack_sbuffer *buffer, void *arena, uint8_t **bytes,
               size_t *size)
{
  *bytes = talloc_memdup (arena, buffer->data, buffer->size);
  *size = buffer->size;
  msgpack_sbuffer_destroy (buffer);
  return *bytes == NULL ? status_set (STATUS_NO_MEMORY,
                                      "out of memory for an encoded message")
                        : STATUS_OK;
}

static void
pack_cell (msgpack_packer *packer, const struct outcome_cell *cell)
{
  const struct outcome_counts *counts = &cell->counts;
  msgpack_pack_array (packer, CELL_FIELDS);
  msgpack_pack_uint64 (packer, cell->key.move);
  msgpack_pack_uint64 (packer, cell->key.route);
  msgpack_pack_uint64 (packer, cell->key.availability_zone);
  msgpack_pack_uint32 (packer, cell->key.step);
  msgpack_pack_uint32 (packer, cell->key.side);
  msgpack_pack_uint32 (packer, counts->calls);
  msgpack_pack_uint32 (packer, counts->errors);
  msgpack_pack_uint32 (packer, counts->timed);
  msgpack_pack_uint32 (packer, counts->slow50);
  msgpack_pack_uint32 (packer, counts->slow99);
}

static enum status
read_cell (const msgpack_object *object, struct outcome_cell *cell)
{
  static const uint64_t limits[CELL_FIELDS]
      = { UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT32_MAX, OUTCOME_NEW,
          UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX };
  uint64_t values[CELL_FIELDS] = { 0 };
  const msgpack_object *fields = unpack_array (object, CELL_FIELDS);
  if (fields == NULL)
    return status_set (STATUS_CORRUPT, "evidence: malformed cell");
  for (int i = 0; i < CELL_FIELDS; i++)
    if (!unpack_number (&fields[i], limits[i], &values[i]))
      return status_set (
          STATUS_CORRUPT,
          "evidence: field %d of a cell is not a number in range", i);
  cell->key = (struct outcome_key){ values[0], values[1], values[2],
                                    (uint32_t)values[3],
                                    (enum outcome_side)values[4] };
  cell->counts
      = (struct outcome_counts){ (uint32_t)values[5], (uint32_t)values[6],
                                 (uint32_t)values[7], (uint32_t)values[8],
                                 (uint32_t)values[9] };
  if (!outcome_counts_valid (&cell->counts))
    return status_set (STATUS_INVALID,
                       "evidence: the counts of a cell contradict each other");
  return STATUS_OK;
}

static enum status
read_message (const msgpack_object *object, void *arena,
              struct evidence_header *header, struct outcome_cell **cells,
              uint32_t *count)
{
  const msgpack_object *fields = unpack_array (object, HEADER_FIELDS);
  if (fields == NULL
      || !unpack_number (&fields[0], UINT64_MAX, &header->destination)
      || !unpack_number (&fields[1], UINT64_MAX, &header->boot_id)
      || !unpack_number (&fields[2], UINT64_MAX, &header->sequence)
      || fields[3].type != MSGPACK_OBJECT_ARRAY)
    return status_set (STATUS_CORRUPT, "malformed evidence message");
  const msgpack_object_array *list = &fields[3].via.array;
  if (list->size > EVIDENCE_CELLS_MAX)
    return status_set (STATUS_TOO_LARGE, "evidence of %u cells", list->size);
  *cells = talloc_array (arena, struct outcome_cell, list->size);
  if (*cells == NULL)
    return status_set (STATUS_NO_MEMORY, "evidence: out of memory");
  for (uint32_t i = 0; i < list->size; i++)
    {
      enum status status = read_cell (&list->ptr[i], &(*cells)[i]);
      if (status != STATUS_OK)
        return status;
    }
  *count = list->size;
  return STATUS_OK;
}

enum status
evidence_encode (const struct evidence_header *header,
                 const struct outcome_table *table, uint32_t first,
                 uint32_t count, void *arena, uint8_t **bytes, size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  if (count > EVIDENCE_CELLS_MAX || first + count > table->count)
    return status_set (STATUS_TOO_LARGE, "evidence of %u cells", count);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEADER_FIELDS);
  msgpack_pack_uint64 (&packer, header->destination);
  msgpack_pack_uint64 (&packer, header->boot_id);
  msgpack_pack_uint64 (&packer, header->sequence);
  msgpack_pack_array (&packer, count);
  for (uint32_t i = 0; i < count; i++)
    pack_cell (&packer, &table->cells[first + i]);
  return finish_buffer (&buffer, arena, bytes, size);
}

enum status
evidence_decode (const uint8_t *bytes, size_t size, void *arena,
                 struct evidence_header *header, struct outcome_cell **cells,
                 uint32_t *count)
{
  msgpack_unpacked unpacked;
  *cells = NULL;
  *count = 0;
  enum status status = unpack_one (&unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  status = read_message (&unpacked.data, arena, header, cells, count);
  msgpack_unpacked_destroy (&unpacked);
  if (status == STATUS_OK)
    return STATUS_OK;
  talloc_free (*cells);
  *cells = NULL;
  return status;
}

bool
evidence_accept (struct evidence_window *window,
                 const struct evidence_header *header)
{
  uint64_t sequence = header->sequence;
  if (window->seen == 0 || window->boot_id != header->boot_id)
    {
      *window = (struct evidence_window){ header->boot_id, sequence, 1 };
      return true;
    }
  if (sequence > window->highest)
    {
      uint64_t shift = sequence - window->highest;
      window->seen = shift < EVIDENCE_WINDOW ? window->seen << shift : 0;
      window->seen |= 1;
      window->highest = sequence;
      return true;
    }
  uint64_t age = window->highest - sequence;
  if (age >= EVIDENCE_WINDOW || (window->seen >> age & 1) != 0)
    return false;
  window->seen |= UINT64_C (1) << age;
  return true;
}

enum status
trip_encode (const char *move, const char *reason, void *arena,
             uint8_t **bytes, size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, TRIP_FIELDS);
  msgpack_pack_str_with_body (&packer, move, strlen (move));
  msgpack_pack_str_with_body (&packer, reason, strlen (reason));
  return finish_buffer (&buffer, arena, bytes, size);
}

enum status
trip_decode (const uint8_t *bytes, size_t size, struct trip *trip)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  memset (trip, 0, sizeof *trip);
  void *arena = talloc_new (NULL);
  const msgpack_object *fields = unpack_array (&unpacked.data, TRIP_FIELDS);
  char *move = fields == NULL
                   ? NULL
                   : unpack_string (&fields[0], CONFIG_NAME_MAX, arena);
  char *reason = fields == NULL
                     ? NULL
                     : unpack_string (&fields[1], TRIP_REASON_MAX, arena);
  if (move == NULL || reason == NULL)
    status = status_set (STATUS_CORRUPT, "malformed trip message");
  else
    {
      snprintf (trip->move, sizeof trip->move, "%s", move);
      snprintf (trip->reason, sizeof trip->reason, "%s", reason);
    }
  talloc_free (arena);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}
