/// Owns no state; reads the settings of a sidecar.
#include "sidecar/sidecar_settings.h"

#include "protocol/document.h"
#include "protocol/scalar.h"

#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX (64 * 1024)
#define YAML_NODES_MAX 512

/// Largest value of a time setting.
#define TIME_SETTING_MS_MAX (10u * 60 * 1000)

/// From FIELD_TIME on, a field is optional and may be empty.
enum field_kind
{
  FIELD_FORMAT,
  FIELD_NAME,
  FIELD_ENDPOINT,
  FIELD_TIME,
  FIELD_RATIO, ///< a decimal number, stored in thousandths
  FIELD_COUNT,
  FIELD_ADMISSION,
  FIELD_ENDPOINT_OPTIONAL
};

struct field
{
  const char *name;
  enum field_kind kind;
  size_t offset;
  uint32_t default_value; ///< of an absent or empty time, ratio or count
};

#define OFFSET(member) offsetof (struct sidecar_settings, member)

static const struct field fields[] = {
  { "format", FIELD_FORMAT, 0, 0 },
  { "node", FIELD_NAME, OFFSET (node), 0 },
  { "availability_zone", FIELD_NAME, OFFSET (availability_zone), 0 },
  { "service", FIELD_NAME, OFFSET (service), 0 },
  { "calls", FIELD_ENDPOINT, OFFSET (calls), 0 },
  { "peers", FIELD_ENDPOINT, OFFSET (peers), 0 },
  { "ready", FIELD_ENDPOINT, OFFSET (ready), 0 },
  { "reports", FIELD_ENDPOINT, OFFSET (reports), 0 },
  { "target", FIELD_ENDPOINT, OFFSET (target), 0 },
  { "store", FIELD_ENDPOINT, OFFSET (store), 0 },
  { "metrics", FIELD_ENDPOINT, OFFSET (metrics), 0 },
  { "lease_min", FIELD_TIME, OFFSET (lease_min_ms), 1000 },
  { "store_reads_per_s", FIELD_COUNT, OFFSET (store_reads_per_s), 2000 },
  { "heartbeat", FIELD_TIME, OFFSET (heartbeat_ms), 1500 },
  { "drain", FIELD_TIME, OFFSET (drain_ms), 2000 },
  { "config_apply", FIELD_TIME, OFFSET (config_apply_ms), 2000 },
  { "grace", FIELD_TIME, OFFSET (grace_ms), 6000 },
  { "retry_ratio", FIELD_RATIO, OFFSET (retry_ratio_permille), 200 },
  { "retry_slack", FIELD_COUNT, OFFSET (retry_slack), 50 },
  { "link_mbit_per_s", FIELD_RATIO, OFFSET (link_kbit_per_s), 0 },
  { "cold_slack", FIELD_COUNT, OFFSET (cold_slack), 0 },
  { "memory_mb", FIELD_COUNT, OFFSET (memory_mb), 128 },
  { "admission", FIELD_ADMISSION, OFFSET (admission), SIDECAR_ADMISSION_AUTO },
  { "announced", FIELD_ENDPOINT_OPTIONAL, OFFSET (announced), 0 },
};

#define FIELDS (sizeof fields / sizeof fields[0])

/// The first 11 fields, up to "metrics", are required.
#define FIELDS_REQUIRED ((1U << 11) - 1)

/// @param scale  factor by which the number is multiplied before it is rounded
static bool
parse_number (const char *text, double scale, uint32_t *number)
{
  char *end;
  double value = strtod (text, &end);
  if (end == text || *end != '\0' || !(value >= 0) || value > 1e6)
    return false;
  *number = (uint32_t)(value * scale + 0.5);
  return true;
}

static bool
parse_admission (const char *text, uint32_t *admission)
{
  static const char *const names[] = { [SIDECAR_ADMISSION_AUTO] = "auto",
                                       [SIDECAR_ADMISSION_RANK] = "rank",
                                       [SIDECAR_ADMISSION_COST] = "cost" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *admission = (uint32_t)i;
        return true;
      }
  return false;
}

static bool
parse_name (const char *text, char *name)
{
  size_t size = strlen (text);
  if (size == 0 || size > DIRECTORY_NAME_MAX)
    return false;
  memcpy (name, text, size + 1);
  return true;
}

static void
read_field (const struct field *field, const struct document_node *node,
            struct sidecar_settings *settings, struct findings *findings)
{
  static const char *const expected[] = {
    [FIELD_FORMAT] = "1",
    [FIELD_NAME] = "a name of 1 to 63 bytes",
    [FIELD_ENDPOINT] = "an IPv4 address and port such as 10.0.0.1:7000",
    [FIELD_TIME] = "a time such as 1500ms or 2s",
    [FIELD_RATIO] = "a fraction such as 0.2",
    [FIELD_COUNT] = "a number",
    [FIELD_ADMISSION] = "auto, rank or cost",
    [FIELD_ENDPOINT_OPTIONAL]
    = "an IPv4 address and port such as 10.0.0.1:7000",
  };
  char *destination = (char *)settings + field->offset;
  const char *text = document_text (node, field->name, findings);
  bool optional = field->kind >= FIELD_TIME;
  if (optional)
    memcpy (destination, &field->default_value, sizeof field->default_value);
  if (text == NULL || (optional && text[0] == '\0'))
    return;
  bool valid = false;
  switch (field->kind)
    {
    case FIELD_FORMAT:
      valid = strcmp (text, "1") == 0;
      break;
    case FIELD_NAME:
      valid = parse_name (text, destination);
      break;
    case FIELD_ENDPOINT:
    case FIELD_ENDPOINT_OPTIONAL:
      {
        struct settings_endpoint *endpoint
            = (struct settings_endpoint *)destination;
        valid = scalar_endpoint (text, &endpoint->address, &endpoint->port);
        break;
      }
    case FIELD_TIME:
      valid = scalar_duration_ms (text, TIME_SETTING_MS_MAX,
                                  (uint32_t *)destination);
      break;
    case FIELD_RATIO:
      valid = parse_number (text, 1000, (uint32_t *)destination);
      break;
    case FIELD_COUNT:
      valid = parse_number (text, 1, (uint32_t *)destination);
      break;
    case FIELD_ADMISSION:
      valid = parse_admission (text, (uint32_t *)destination);
      break;
    }
  if (!valid)
    document_problem (findings, node, field->name,
                      "\"%.60s\" is not accepted; expected %s", text,
                      expected[field->kind]);
}

enum status
sidecar_settings_parse (struct sidecar_settings *settings, const char *yaml,
                        size_t size, struct findings *findings)
{
  static const struct document_limits limits
      = { FILE_BYTES_MAX, YAML_NODES_MAX };
  struct document document;
  struct sidecar_settings parsed;
  memset (&parsed, 0, sizeof parsed);
  size_t before = findings->total;
  enum status status
      = document_parse (&document, yaml, size, &limits, findings);
  if (status != STATUS_OK)
    return status;
  const char *names[FIELDS];
  const struct document_node *values[FIELDS];
  for (size_t i = 0; i < FIELDS; i++)
    names[i] = fields[i].name;
  if (document_fields (document.root, "", names, FIELDS, FIELDS_REQUIRED,
                       values, findings))
    for (size_t i = 0; i < FIELDS; i++)
      read_field (&fields[i], values[i], &parsed, findings);
  document_finish (&document);
  if (parsed.announced.port == 0)
    parsed.announced = parsed.peers;
  if (findings->total != before)
    return status_set (STATUS_INVALID, "the settings have %zu findings",
                       findings->total - before);
  *settings = parsed;
  return STATUS_OK;
}

enum status
sidecar_settings_load (struct sidecar_settings *settings, const char *path,
                       struct findings *findings)
{
  char *yaml;
  size_t size;
  enum status status = document_read_file (path, FILE_BYTES_MAX, &yaml, &size);
  if (status != STATUS_OK)
    return status;
  status = sidecar_settings_parse (settings, yaml, size, findings);
  free (yaml);
  return status;
}
