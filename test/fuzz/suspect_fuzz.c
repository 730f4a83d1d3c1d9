/// Drives the table of crash suspects with arbitrary steps and compares with a
/// list that is searched from end to end.
#include "state/suspect.h"

#include <stdlib.h>
#include <string.h>

#define FINGERPRINTS 16
#define CAPACITY 8

struct truth
{
  uint64_t crashes[SUSPECT_CRASHES_MAX];
  unsigned count;
  uint64_t changed_ms;
};

static void
require (bool condition)
{
  if (!condition)
    abort ();
}

static bool
truth_raise (struct truth *truth, uint64_t crash, uint64_t now)
{
  if (truth->count > 0 && now - truth->changed_ms >= SUSPECT_TTL_MS)
    truth->count = 0;
  for (unsigned i = 0; i < truth->count; i++)
    if (truth->crashes[i] == crash)
      return false;
  if (truth->count == SUSPECT_CRASHES_MAX)
    return false;
  truth->crashes[truth->count++] = crash;
  truth->changed_ms = now;
  return true;
}

static enum suspect_verdict
truth_check (const struct truth *truth, uint64_t now)
{
  if (truth->count == 0 || now - truth->changed_ms >= SUSPECT_TTL_MS)
    return SUSPECT_NONE;
  return truth->count == SUSPECT_CRASHES_MAX ? SUSPECT_REFUSED
                                             : SUSPECT_SINGLE;
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  /* With a small table, entries make room for others and only the bounds are
     compared; with a large one, every verdict is. */
  bool roomy = data[0] % 2 == 0;
  struct truth truths[FINGERPRINTS];
  struct suspect_table table;
  uint64_t now = 1;
  memset (truths, 0, sizeof truths);
  if (suspect_init (&table, roomy ? FINGERPRINTS : CAPACITY) != STATUS_OK)
    return 0;
  for (size_t i = 1; i + 1 < size; i += 2)
    {
      size_t which = data[i + 1] % FINGERPRINTS;
      /* All fall into few places, so that probing and removal meet. */
      uint64_t fingerprint = 3 + which * (table.size / 2);
      struct truth *truth = &truths[which];
      switch (data[i] % 5)
        {
        case 0:
        case 1:
          {
            uint64_t crash = 1 + data[i + 1] / FINGERPRINTS % 4;
            bool fresh = suspect_raise (&table, fingerprint, crash, now);
            bool expected = truth_raise (truth, crash, now);
            require (!roomy || fresh == expected);
            break;
          }
        case 2:
          {
            bool cleared = suspect_clear (&table, fingerprint);
            bool expected = truth->count == 1;
            if (expected)
              truth->count = 0;
            require (!roomy || cleared == expected);
            break;
          }
        case 3:
          now += (uint64_t)data[i + 1] * 20000;
          break;
        default:
          suspect_expire (&table, now);
          for (size_t j = 0; j < FINGERPRINTS; j++)
            if (truth_check (&truths[j], now) == SUSPECT_NONE)
              truths[j].count = 0;
        }
      require (table.count <= table.capacity);
      size_t entries = 0;
      for (size_t j = 0; j < table.size; j++)
        entries += table.entries[j].fingerprint != 0;
      require (entries == table.count);
      for (size_t j = 0; roomy && j < FINGERPRINTS; j++)
        require (suspect_check (&table, 3 + j * (table.size / 2), now)
                 == truth_check (&truths[j], now));
    }
  suspect_finish (&table);
  return 0;
}
