/// Encodes and decodes directory entries.
#include "protocol/entry_record.h"

#include "protocol/json_text.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

size_t
entry_record_write (const struct directory_entry *entry,
                    char text[ENTRY_RECORD_MAX])
{
  json_t *object = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:I, s:I, s:b}",
      "node", entry->node, "availability_zone", entry->availability_zone,
      "service", entry->service, "version", entry->version, "instance",
      entry->instance, "address", (json_int_t)entry->address, "port",
      (int)entry->port, "slots", (int)entry->slots, "state", (int)entry->state,
      "cold_ms", (int)entry->cold_ms, "epoch", (json_int_t)entry->epoch,
      "started_ms", (json_int_t)entry->started_ms, "leaving",
      (int)entry->leaving);
  return json_text_write (object, text, ENTRY_RECORD_MAX);
}

static enum status
invalid (json_t *object, const char *message)
{
  json_decref (object);
  return status_set (STATUS_INVALID, "%s", message);
}

enum status
entry_record_read (const uint8_t *data, size_t size,
                   struct directory_entry *entry)
{
  memset (entry, 0, sizeof *entry);
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  const char *node;
  const char *zone;
  const char *service;
  const char *version;
  const char *instance;
  json_int_t address;
  json_int_t epoch;
  json_int_t port;
  json_int_t slots;
  json_int_t state;
  json_int_t cold_ms;
  /* Absent in the records of older versions. */
  json_int_t started_ms = 0;
  int leaving = 0;
  if (json_unpack (object,
                   "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, "
                   "s?I, s?b}",
                   "node", &node, "availability_zone", &zone, "service",
                   &service, "version", &version, "instance", &instance,
                   "address", &address, "port", &port, "slots", &slots,
                   "state", &state, "cold_ms", &cold_ms, "epoch", &epoch,
                   "started_ms", &started_ms, "leaving", &leaving)
      != 0)
    return invalid (
        object, "directory entry: a field is missing or of the wrong type");
  if (address <= 0 || address > UINT32_MAX || port < 1 || port > 65535
      || slots < 0 || slots > UINT16_MAX || state < DIRECTORY_ABSENT
      || state > DIRECTORY_LEAVING || cold_ms < 0 || cold_ms > INT32_MAX
      || epoch < 0 || started_ms < 0 || node[0] == '\0'
      || !json_text_copy_name (entry->node, node)
      || !json_text_copy_name (entry->availability_zone, zone)
      || !json_text_copy_name (entry->service, service)
      || !json_text_copy_name (entry->version, version)
      || !json_text_copy_name (entry->instance, instance))
    return invalid (object, "directory entry: a field is out of range");
  entry->address = (uint32_t)address;
  entry->port = (uint16_t)port;
  entry->slots = (uint16_t)slots;
  entry->state = (enum directory_state)state;
  entry->cold_ms = (uint32_t)cold_ms;
  entry->epoch = (uint64_t)epoch;
  entry->started_ms = (uint64_t)started_ms;
  entry->leaving = leaving != 0;
  json_decref (object);
  return STATUS_OK;
}
