/// Drives the table of crash suspects with operations from the input and
/// compares it with a model that has one entry for each fingerprint.
#include "state/suspect.h"

#include <stdlib.h>
#include <string.h>

#define FINGERPRINTS 16
#define CAPACITY 8

struct model
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
model_raise (struct model *model, uint64_t crash, uint64_t now)
{
  if (model->count > 0 && now - model->changed_ms >= SUSPECT_TTL_MS)
    model->count = 0;
  for (unsigned i = 0; i < model->count; i++)
    if (model->crashes[i] == crash)
      return false;
  if (model->count == SUSPECT_CRASHES_MAX)
    return false;
  model->crashes[model->count++] = crash;
  model->changed_ms = now;
  return true;
}

static enum suspect_verdict
model_check (const struct model *model, uint64_t now)
{
  if (model->count == 0 || now - model->changed_ms >= SUSPECT_TTL_MS)
    return SUSPECT_NONE;
  return model->count == SUSPECT_CRASHES_MAX ? SUSPECT_REFUSED
                                             : SUSPECT_SINGLE;
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  /* A small table evicts entries: only its bounds are checked. With a large
     one, every verdict is compared with the model. */
  bool holds_all = data[0] % 2 == 0;
  struct model models[FINGERPRINTS];
  struct suspect_table table;
  uint64_t now = 1;
  memset (models, 0, sizeof models);
  if (suspect_init (&table, holds_all ? FINGERPRINTS : CAPACITY) != STATUS_OK)
    return 0;
  for (size_t i = 1; i + 1 < size; i += 2)
    {
      size_t which = data[i + 1] % FINGERPRINTS;
      /* All hash to few places, so that removal shifts probe sequences. */
      uint64_t fingerprint = 3 + which * (table.size / 2);
      struct model *model = &models[which];
      switch (data[i] % 5)
        {
        case 0:
        case 1:
          {
            uint64_t crash = 1 + data[i + 1] / FINGERPRINTS % 4;
            bool raised = suspect_raise (&table, fingerprint, crash, now);
            bool expected = model_raise (model, crash, now);
            require (!holds_all || raised == expected);
            break;
          }
        case 2:
          {
            bool cleared = suspect_clear (&table, fingerprint);
            bool expected = model->count == 1;
            if (expected)
              model->count = 0;
            require (!holds_all || cleared == expected);
            break;
          }
        case 3:
          now += (uint64_t)data[i + 1] * 20000;
          break;
        default:
          suspect_expire (&table, now);
          for (size_t j = 0; j < FINGERPRINTS; j++)
            if (model_check (&models[j], now) == SUSPECT_NONE)
              models[j].count = 0;
        }
      require (table.count <= table.capacity);
      size_t entries = 0;
      for (size_t j = 0; j < table.size; j++)
        entries += table.entries[j].fingerprint != 0;
      require (entries == table.count);
      for (size_t j = 0; holds_all && j < FINGERPRINTS; j++)
        require (suspect_check (&table, 3 + j * (table.size / 2), now)
                 == model_check (&models[j], now));
    }
  suspect_finish (&table);
  return 0;
}
