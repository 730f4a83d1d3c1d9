/// Formats and parses the headers between two nodes.
#include "protocol/hop.h"

#include "protocol/target_load.h"

#include <stdio.h>
#include <string.h>

/// Fields of older nodes, which do not send the account and the time for the
/// whole response.
#define HOP_FIELDS_MIN 9
#define HOP_FIELDS 11
#define LOAD_FIELDS_MIN 4

void
hop_write (const struct hop *hop, char text[HOP_SIZE_MAX])
{
  snprintf (text, HOP_SIZE_MAX, "%s %s %u %u %u %u %u %u %u %u %u",
            hop->service, hop->version, (unsigned)hop->retry_class, hop->rank,
            hop->kind, hop->objective_ms, (unsigned)hop->is_retry,
            hop->address, (unsigned)hop->port, hop->account, hop->whole_ms);
}

enum status
hop_parse (const char *text, struct hop *hop)
{
  unsigned retry_class = 0;
  unsigned is_retry = 0;
  unsigned port = 0;
  hop->account = 0;
  hop->whole_ms = 0;
  int fields
      = text == NULL
            ? 0
            : sscanf (text, "%63s %63s %u %u %u %u %u %u %u %u %u",
                      hop->service, hop->version, &retry_class, &hop->rank,
                      &hop->kind, &hop->objective_ms, &is_retry, &hop->address,
                      &port, &hop->account, &hop->whole_ms);
  if (fields < HOP_FIELDS_MIN || fields > HOP_FIELDS
      || retry_class > MESH_NON_IDEMPOTENT || is_retry > 1
      || port > UINT16_MAX)
    return status_set (STATUS_INVALID, "malformed routing header");
  hop->retry_class = (enum mesh_retry_class)retry_class;
  hop->is_retry = is_retry == 1;
  hop->port = (uint16_t)port;
  return STATUS_OK;
}

void
hop_load_write (const struct hop_load *load, char text[HOP_LOAD_SIZE_MAX])
{
  int length = snprintf (text, HOP_LOAD_SIZE_MAX, "%u,%u,%u,%u", load->running,
                         load->waiting, load->slots, load->service_us);
  if (load->speed_percent > 0)
    length += snprintf (text + length, HOP_LOAD_SIZE_MAX - (size_t)length,
                        ",%u", load->speed_percent);
  if (load->speed_percent > 0 && load->link_free_kbytes_per_s > 0)
    snprintf (text + length, HOP_LOAD_SIZE_MAX - (size_t)length, ",%u",
              load->link_free_kbytes_per_s);
}

enum status
hop_load_parse (const char *text, struct hop_load *load)
{
  load->speed_percent = 0;
  load->link_free_kbytes_per_s = 0;
  int fields
      = text == NULL
            ? 0
            : sscanf (text, "%u,%u,%u,%u,%u,%u", &load->running,
                      &load->waiting, &load->slots, &load->service_us,
                      &load->speed_percent, &load->link_free_kbytes_per_s);
  if (fields < LOAD_FIELDS_MIN
      || (fields > LOAD_FIELDS_MIN
          && (load->speed_percent < TARGET_SPEED_PERCENT_MIN
              || load->speed_percent > TARGET_SPEED_PERCENT_MAX)))
    return status_set (STATUS_INVALID, "malformed load header");
  return STATUS_OK;
}
