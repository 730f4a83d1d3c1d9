/// Decodes arbitrary bytes as evidence and as trips. What decodes must be
/// valid and must stay the same when it is encoded and decoded again.
#include "protocol/evidence.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
require (bool holds)
{
  if (!holds)
    abort ();
}

static void
check_trip (const uint8_t *data, size_t size, void *arena)
{
  struct trip trip, again;
  uint8_t *bytes;
  size_t length;
  if (trip_decode (data, size, &trip) != STATUS_OK)
    return;
  require (trip_encode (trip.move, trip.reason, arena, &bytes, &length)
           == STATUS_OK);
  require (trip_decode (bytes, length, &again) == STATUS_OK);
  require (strcmp (trip.move, again.move) == 0
           && strcmp (trip.reason, again.reason) == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  void *arena = talloc_new (NULL);
  struct evidence_header header, header_again;
  struct outcome_cell *cells, *cells_again;
  struct outcome_table table;
  uint32_t count, count_again;
  uint8_t *bytes;
  size_t length;
  outcome_table_init (&table);
  check_trip (data, size, arena);
  if (evidence_decode (data, size, arena, &header, &cells, &count)
      == STATUS_OK)
    {
      for (uint32_t i = 0; i < count; i++)
        require (outcome_add (&table, &cells[i].key, &cells[i].counts)
                 == STATUS_OK);
      require (evidence_encode (&header, &table, 0, table.count, arena, &bytes,
                                &length)
               == STATUS_OK);
      require (evidence_decode (bytes, length, arena, &header_again,
                                &cells_again, &count_again)
               == STATUS_OK);
      require (count_again == table.count
               && header_again.sequence == header.sequence);
      for (uint32_t i = 0; i < count_again; i++)
        require (memcmp (&cells_again[i].counts, &table.cells[i].counts,
                         sizeof cells_again[i].counts)
                 == 0);
    }
  outcome_table_finish (&table);
  talloc_free (arena);
  return 0;
}
