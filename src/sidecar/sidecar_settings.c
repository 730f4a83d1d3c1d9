/// Owns no state; reads the settings of a sidecar.
#include "sidecar/sidecar_settings.h"

#include "protocol/document.h"
#include "protocol/scalar.h"

#include <stdlib.h>
#include <string.h>

#define BYTES_MAX (64 * 1024)
#define NODES_MAX 512

/// Longest time that a setting may state.
#define TIME_MS_MAX (10u * 60 * 1000)

enum field_kind
{
  FIELD_FORMAT,
  FIELD_NAME,
  FIELD_ENDPOINT,
  FIELD_TIME,
  FIELD_RATIO, ///< a fraction, kept in thousandths
  FIELD_COUNT,
  FIELD_ENDPOINT_OPTIONAL
};

struct field
{
  const char *name;
  enum field_kind kind;
  size_t offset;
  uint32_t fallback; ///< of an absent or empty time, ratio or count
};

#define AT(member) offsetof (struct sidecar_settings, member)

static const struct field fields[] = {
  { "format", FIELD_FORMAT, 0, 0 },
  { "node", FIELD_NAME, AT (node), 0 },
  { "availability_zone", FIELD_NAME, AT (availability_zone), 0 },
  { "service", FIELD_NAME, AT (service), 0 },
  { "calls", FIELD_ENDPOINT, AT (calls), 0 },
  { "peers", FIELD_ENDPOINT, AT (peers), 0 },
  { "ready", FIELD_ENDPOINT, AT (ready), 0 },
  { "reports", FIELD_ENDPOINT, AT (reports), 0 },
  { "target", FIELD_ENDPOINT, AT (target), 0 },
  { "store", FIELD_ENDPOINT, AT (store), 0 },
  { "metrics", FIELD_ENDPOINT, AT (metrics), 0 },
  { "lease_min", FIELD_TIME, AT (lease_min_ms), 1000 },
  { "store_reads_per_s", FIELD_COUNT, AT (store_reads_per_s), 2000 },
  { "heartbeat", FIELD_TIME, AT (heartbeat_ms), 1500 },
  { "drain", FIELD_TIME, AT (drain_ms), 2000 },
  { "config_apply", FIELD_TIME, AT (config_apply_ms), 2000 },
  { "grace", FIELD_TIME, AT (grace_ms), 6000 },
  { "retry_ratio", FIELD_RATIO, AT (retry_ratio_permille), 200 },
  { "retry_slack", FIELD_COUNT, AT (retry_slack), 50 },
  { "link_mbit_per_s", FIELD_RATIO, AT (link_kbit_per_s), 0 },
  { "announced", FIELD_ENDPOINT_OPTIONAL, AT (announced), 0 },
};

#define FIELDS (sizeof fields / sizeof fields[0])

/// The fields up to "metrics" have no default.
#define FIELDS_REQUIRED ((1U << 11) - 1)

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
    [FIELD_ENDPOINT_OPTIONAL]
    = "an IPv4 address and port such as 10.0.0.1:7000",
  };
  char *place = (char *)settings + field->offset;
  const char *text = document_text (node, field->name, findings);
  bool optional = field->kind >= FIELD_TIME;
  if (optional)
    memcpy (place, &field->fallback, sizeof field->fallback);
  if (text == NULL || (optional && text[0] == '\0'))
    return;
  bool good = false;
  switch (field->kind)
    {
    case FIELD_FORMAT:
      good = strcmp (text, "1") == 0;
      break;
    case FIELD_NAME:
      good = parse_name (text, place);
      break;
    case FIELD_ENDPOINT:
    case FIELD_ENDPOINT_OPTIONAL:
      {
        struct settings_endpoint *endpoint = (struct settings_endpoint *)place;
        good = scalar_endpoint (text, &endpoint->address, &endpoint->port);
        break;
      }
    case FIELD_TIME:
      good = scalar_time_ms (text, TIME_MS_MAX, (uint32_t *)place);
      break;
    case FIELD_RATIO:
      good = parse_number (text, 1000, (uint32_t *)place);
      break;
    case FIELD_COUNT:
      good = parse_number (text, 1, (uint32_t *)place);
      break;
    }
  if (!good)
    document_problem (findings, node, field->name,
                      "\"%.60s\" is not accepted; expected %s", text,
                      expected[field->kind]);
}

enum status
sidecar_settings_parse (struct sidecar_settings *settings, const char *yaml,
                        size_t size, struct findings *findings)
{
  static const struct document_limits limits = { BYTES_MAX, NODES_MAX };
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
  enum status status = document_read_file (path, BYTES_MAX, &yaml, &size);
  if (status != STATUS_OK)
    return status;
  status = sidecar_settings_parse (settings, yaml, size, findings);
  free (yaml);
  return status;
}
