/// Encodes and decodes records and evidence of moves.
#include "protocol/move_record.h"

#include "protocol/json_text.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/// Copies a name that must not be empty.
/// @return false when it is empty or too long
static bool
copy_name (char name[DIRECTORY_NAME_MAX + 1], const char *text)
{
  return text[0] != '\0' && json_text_copy_name (name, text);
}

static enum status
finish (json_t *object, bool valid, const char *what)
{
  json_decref (object);
  return valid ? STATUS_OK : status_set (STATUS_INVALID, "malformed %s", what);
}

size_t
move_record_write (const struct move_record *record,
                   char text[MOVE_RECORD_MAX])
{
  json_t *kinds = json_array ();
  for (size_t i = 0; i < record->kind_count; i++)
    json_array_append_new (kinds, json_pack ("[I, i]",
                                             (json_int_t)record->kinds[i].kind,
                                             (int)record->kinds[i].share_bp));
  return json_text_write (
      json_pack ("{s:s, s:s, s:I, s:i, s:i, s:o}", "service", record->service,
                 "to", record->to_version, "order", (json_int_t)record->order,
                 "phase", (int)record->phase, "share_bp",
                 (int)record->share_bp, "kinds", kinds),
      text, MOVE_RECORD_MAX);
}

enum status
move_record_read (const uint8_t *data, size_t size, struct move_record *record)
{
  memset (record, 0, sizeof *record);
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  const char *service;
  const char *to;
  json_int_t order;
  json_int_t phase;
  json_int_t share;
  json_t *kinds;
  bool valid
      = json_unpack (object, "{s:s, s:s, s:I, s:I, s:I, s:o}", "service",
                     &service, "to", &to, "order", &order, "phase", &phase,
                     "share_bp", &share, "kinds", &kinds)
            == 0
        && order > 0 && phase >= MOVE_PHASE_RUNNING
        && phase <= MOVE_PHASE_ROLLED_BACK && share >= 0 && share <= 10000
        && json_array_size (kinds) <= ROLLOUT_KINDS
        && copy_name (record->service, service)
        && copy_name (record->to_version, to);
  for (size_t i = 0; valid && i < json_array_size (kinds); i++)
    {
      json_int_t kind;
      json_int_t kind_share;
      valid = json_unpack (json_array_get (kinds, i), "[I, I]", &kind,
                           &kind_share)
                  == 0
              && kind >= 0 && kind <= UINT32_MAX && kind_share >= 0
              && kind_share <= 10000;
      if (valid)
        record->kinds[record->kind_count++]
            = (struct move_share){ (uint32_t)kind, (uint32_t)kind_share };
    }
  if (valid)
    {
      record->order = (uint64_t)order;
      record->phase = (enum move_phase)phase;
      record->share_bp = (uint32_t)share;
    }
  return finish (object, valid, "move record");
}

size_t
move_evidence_write (const struct move_evidence *evidence,
                     char text[MOVE_EVIDENCE_MAX])
{
  json_t *kinds = json_array ();
  for (size_t i = 0; i < evidence->kind_count; i++)
    {
      const struct rollout_counts *counts = &evidence->kinds[i].counts;
      json_t *latency = json_array ();
      for (size_t k = 0; k < ROLLOUT_BUCKETS; k++)
        json_array_append_new (latency, json_integer (counts->latency[k]));
      json_array_append_new (
          kinds,
          json_pack ("[I, I, I, o]", (json_int_t)evidence->kinds[i].kind,
                     (json_int_t)counts->calls, (json_int_t)counts->failures,
                     latency));
    }
  return json_text_write (json_pack ("{s:s, s:s, s:i, s:o}", "instance",
                                     evidence->instance, "version",
                                     evidence->version, "occupied",
                                     (int)evidence->occupied, "kinds", kinds),
                          text, MOVE_EVIDENCE_MAX);
}

static bool
read_counts (json_t *item, uint32_t *kind, struct rollout_counts *counts)
{
  json_int_t number;
  json_int_t calls;
  json_int_t failures;
  json_t *latency;
  if (json_unpack (item, "[I, I, I, o]", &number, &calls, &failures, &latency)
          != 0
      || number < 0 || number > UINT32_MAX || calls < 0 || calls > UINT32_MAX
      || failures < 0 || failures > calls
      || json_array_size (latency) != ROLLOUT_BUCKETS)
    return false;
  *kind = (uint32_t)number;
  counts->calls = (uint32_t)calls;
  counts->failures = (uint32_t)failures;
  for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      const json_t *bucket = json_array_get (latency, i);
      json_int_t count = json_integer_value (bucket);
      if (!json_is_integer (bucket) || count < 0 || count > UINT32_MAX)
        return false;
      counts->latency[i] = (uint32_t)count;
    }
  return true;
}

enum status
move_evidence_read (const char *data, size_t size,
                    struct move_evidence *evidence)
{
  memset (evidence, 0, sizeof *evidence);
  json_t *object = json_loadb (data, size, 0, NULL);
  const char *instance;
  const char *version;
  json_int_t occupied;
  json_t *kinds;
  bool valid = json_unpack (object, "{s:s, s:s, s:I, s:o}", "instance",
                            &instance, "version", &version, "occupied",
                            &occupied, "kinds", &kinds)
                   == 0
               && occupied >= 0 && occupied <= UINT32_MAX
               && json_array_size (kinds) <= ROLLOUT_KINDS
               && copy_name (evidence->instance, instance)
               && copy_name (evidence->version, version);
  for (size_t i = 0; valid && i < json_array_size (kinds); i++)
    {
      valid = read_counts (json_array_get (kinds, i), &evidence->kinds[i].kind,
                           &evidence->kinds[i].counts);
      evidence->kind_count += valid;
    }
  if (valid)
    evidence->occupied = (uint32_t)occupied;
  return finish (object, valid, "move evidence");
}
