#include "protocol/evidence.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>

static void
fill (struct outcome_table *table, uint32_t count)
{
  outcome_table_init (table);
  for (uint32_t i = 0; i < count; i++)
    {
      struct outcome_key key = { UINT64_MAX - i, i, 7, i, i % 2 };
      struct outcome_counts counts = { 100 + i, 3, 50, 20, 2 };
      outcome_add (table, &key, &counts);
    }
}

static void
test_round_trip (void)
{
  static const uint32_t sizes[] = { 0, 1, 17, EVIDENCE_CELLS_MAX };
  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      void *arena = talloc_new (NULL);
      struct evidence_header header = { 5, UINT64_MAX, 9 }, decoded;
      struct outcome_table table;
      struct outcome_cell *cells;
      uint8_t *bytes;
      size_t size;
      uint32_t count;
      fill (&table, sizes[s]);
      CU_ASSERT_EQUAL_FATAL (
          evidence_encode (&header, &table, 0, sizes[s], arena, &bytes, &size),
          STATUS_OK);
      CU_ASSERT_EQUAL_FATAL (
          evidence_decode (bytes, size, arena, &decoded, &cells, &count),
          STATUS_OK);
      CU_ASSERT_EQUAL (count, sizes[s]);
      CU_ASSERT_EQUAL (memcmp (&decoded, &header, sizeof decoded), 0);
      for (uint32_t i = 0; i < count; i++)
        CU_ASSERT_EQUAL (memcmp (&cells[i].counts, &table.cells[i].counts,
                                 sizeof cells[i].counts),
                         0);
      for (size_t length = 0; length < size && length < 200; length++)
        CU_ASSERT_NOT_EQUAL (
            evidence_decode (bytes, length, arena, &decoded, &cells, &count),
            STATUS_OK);
      outcome_table_finish (&table);
      talloc_free (arena);
    }
}

static void
test_bad_counts_are_refused_whole (void)
{
  void *arena = talloc_new (NULL);
  struct evidence_header header = { 5, 1, 9 };
  struct outcome_table table;
  struct outcome_cell *cells;
  uint8_t *bytes;
  size_t size;
  uint32_t count;
  fill (&table, 3);
  table.cells[2].counts.errors = 1000;
  evidence_encode (&header, &table, 0, 3, arena, &bytes, &size);
  CU_ASSERT_EQUAL (
      evidence_decode (bytes, size, arena, &header, &cells, &count),
      STATUS_INVALID);
  CU_ASSERT_PTR_NULL (cells);
  outcome_table_finish (&table);
  talloc_free (arena);
}

static void
test_repeated_and_reordered (void)
{
  static const struct
  {
    uint64_t boot, sequence;
    bool accepted;
  } steps[] = { { 1, 10, true },  { 1, 10, false },  { 1, 12, true },
                { 1, 11, true },  { 1, 11, false },  { 1, 9, true },
                { 1, 200, true }, { 1, 136, false }, { 1, 137, true },
                { 1, 12, false }, { 2, 1, true },    { 2, 1, false } };
  struct evidence_window window = { 0 };
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      struct evidence_header header = { 5, steps[i].boot, steps[i].sequence };
      CU_ASSERT_EQUAL (evidence_accept (&window, &header), steps[i].accepted);
    }
}

static void
test_trip_round_trip (void)
{
  void *arena = talloc_new (NULL);
  struct trip trip;
  uint8_t *bytes;
  size_t size;
  trip_encode ("zapisy-v2", "v2 fails more often", arena, &bytes, &size);
  CU_ASSERT_EQUAL (trip_decode (bytes, size, &trip), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (trip.move, "zapisy-v2");
  CU_ASSERT_STRING_EQUAL (trip.reason, "v2 fails more often");
  for (size_t length = 0; length < size; length++)
    CU_ASSERT_NOT_EQUAL (trip_decode (bytes, length, &trip), STATUS_OK);
  talloc_free (arena);
}

static const struct test_case cases[] = {
  { "evidence differs after encoding and decoding", test_round_trip },
  { "contradicting counts are accepted or leave cells",
    test_bad_counts_are_refused_whole },
  { "repeated evidence is counted twice, or late evidence dropped",
    test_repeated_and_reordered },
  { "a trip differs after encoding and decoding", test_trip_round_trip },
};

int
main (void)
{
  return testing_run ("evidence", cases, sizeof cases / sizeof cases[0]);
}
