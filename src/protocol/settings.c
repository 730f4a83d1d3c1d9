/// Parses the settings of a node.
#include "protocol/settings.h"

#include "protocol/document.h"
#include "protocol/scalar.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_BYTES_MAX (64 * 1024)
#define SETTINGS_NODES_MAX 4096

#define PEER_PORT_DEFAULT 7000
#define CALL_PORT_DEFAULT 7001
#define ADMIN_PORT_DEFAULT 7002

enum
{
  FIELD_MESH,
  FIELD_SLOT,
  FIELD_AVAILABILITY_ZONE,
  FIELD_REGION,
  FIELD_ADDRESS,
  FIELD_STORE,
  FIELD_KEYS,
  FIELD_FORMAT,
  FIELD_PEER_PORT,
  FIELD_CALL_PORT,
  FIELD_ADMIN,
  FIELD_SEEDS,
  FIELD_CLAIM_PARTITIONS,
  FIELD_CLAIM_WINDOW_S,
  FIELD_REQUEST_BODY_MAX,
  FIELD_CALL_CONCURRENCY,
  FIELD_COUNT
};

static const char *const field_names[FIELD_COUNT] = { "mesh",
                                                      "slot",
                                                      "availability_zone",
                                                      "region",
                                                      "address",
                                                      "store",
                                                      "keys",
                                                      "format",
                                                      "peer_port",
                                                      "call_port",
                                                      "admin",
                                                      "seeds",
                                                      "claim_partitions",
                                                      "claim_window_s",
                                                      "request_body_max",
                                                      "call_concurrency" };

/// Set of the fields without a default, FIELD_MESH to FIELD_KEYS.
#define FIELDS_REQUIRED ((1U << (FIELD_KEYS + 1)) - 1)

struct reader
{
  const struct document_node *values[FIELD_COUNT];
  struct findings *findings;
};

static void
read_name (struct reader *reader, int field, char name[MEMBER_NAME_MAX + 1])
{
  const char *text = document_text (reader->values[field], field_names[field],
                                    reader->findings);
  if (text == NULL)
    return;
  size_t size = strlen (text);
  if (size == 0 || size > MEMBER_NAME_MAX || text[0] == '-' || text[0] == '.'
      || strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-.") != size)
    {
      document_problem (
          reader->findings, reader->values[field], field_names[field],
          "\"%.80s\" is not a valid name: must be 1 to %d of a-z, "
          "0-9, '-' and '.', starting with a letter or digit",
          text, MEMBER_NAME_MAX);
      return;
    }
  memcpy (name, text, size + 1);
}

static void
read_address (struct reader *reader, int field, uint32_t *address)
{
  const char *text = document_text (reader->values[field], field_names[field],
                                    reader->findings);
  if (text != NULL && !scalar_address (text, address))
    document_problem (
        reader->findings, reader->values[field], field_names[field],
        "\"%.40s\" is not an IPv4 address such as 10.0.0.1", text);
}

/// Reads an endpoint from a map with address and port.
static void
read_endpoint_map (struct reader *reader, const struct document_node *node,
                   const char *path, struct settings_endpoint *endpoint)
{
  static const char *const names[] = { "address", "port" };
  const struct document_node *values[2];
  char field[DOCUMENT_PATH_MAX];
  uint64_t port = 0;
  if (!document_fields (node, path, names, 2, 0x3, values, reader->findings))
    return;
  document_path (field, path, "address");
  const char *text = document_text (values[0], field, reader->findings);
  if (text != NULL && !scalar_address (text, &endpoint->address))
    document_problem (reader->findings, values[0], field,
                      "\"%.40s\" is not an IPv4 address such as 10.0.0.1",
                      text);
  document_path (field, path, "port");
  if (document_number (values[1], field, 1, 65535, &port, reader->findings))
    endpoint->port = (uint16_t)port;
}

/// Reads an endpoint from text such as 10.0.0.1:7000 or from a map.
static void
read_endpoint (struct reader *reader, const struct document_node *node,
               const char *path, struct settings_endpoint *endpoint)
{
  if (node != NULL && node->kind == DOCUMENT_MAP)
    {
      read_endpoint_map (reader, node, path, endpoint);
      return;
    }
  const char *text = document_text (node, path, reader->findings);
  if (text == NULL)
    return;
  if (!scalar_endpoint (text, &endpoint->address, &endpoint->port))
    document_problem (reader->findings, node, path,
                      "\"%.40s\" is not an IPv4 address and port such as "
                      "10.0.0.1:7000",
                      text);
}

static void
read_number (struct reader *reader, int field, uint32_t min, uint32_t max,
             uint32_t *number)
{
  uint64_t value;
  if (document_number (reader->values[field], field_names[field], min, max,
                       &value, reader->findings))
    *number = (uint32_t)value;
}

static void
read_port (struct reader *reader, int field, uint16_t *port)
{
  uint32_t number = *port;
  read_number (reader, field, 1, 65535, &number);
  *port = (uint16_t)number;
}

static void
read_seeds (struct reader *reader, struct settings *settings)
{
  const struct document_node *list
      = document_list (reader->values[FIELD_SEEDS], "seeds",
                       SETTINGS_SEEDS_MAX, reader->findings);
  if (list == NULL)
    return;
  for (const struct document_node *node = list->first; node != NULL;
       node = node->next)
    {
      char path[DOCUMENT_PATH_MAX];
      snprintf (path, sizeof path, "seeds[%zu]", settings->seed_count);
      read_endpoint (reader, node, path,
                     &settings->seeds[settings->seed_count++]);
    }
}

/// Reads one mesh key. The key is secret, so findings do not contain its text.
static void
read_key (struct reader *reader, const struct document_node *node,
          const char *path, struct settings_key *key)
{
  static const char *const names[] = { "id", "key" };
  const struct document_node *values[2];
  char field[DOCUMENT_PATH_MAX];
  uint64_t id = 0;
  size_t size = 0;
  if (!document_fields (node, path, names, 2, 0x3, values, reader->findings))
    return;
  document_path (field, path, "id");
  document_number (values[0], field, 1, UINT32_MAX, &id, reader->findings);
  key->id = (uint32_t)id;
  document_path (field, path, "key");
  const char *text = document_text (values[1], field, reader->findings);
  if (text != NULL
      && (strlen (text) != (size_t)2 * SETTINGS_KEY_SIZE
          || sodium_hex2bin (key->bytes, sizeof key->bytes, text,
                             strlen (text), NULL, &size, NULL)
                 != 0
          || size != SETTINGS_KEY_SIZE))
    document_problem (reader->findings, values[1], field,
                      "must be %d hexadecimal digits", 2 * SETTINGS_KEY_SIZE);
}

static void
read_keys (struct reader *reader, struct settings *settings)
{
  const struct document_node *list = document_list (
      reader->values[FIELD_KEYS], "keys", SETTINGS_KEYS_MAX, reader->findings);
  if (list == NULL || list->count == 0)
    {
      /* document_fields has reported an absent list, and document_list one
         that is too long. */
      if (reader->values[FIELD_KEYS] != NULL
          && (list != NULL
              || reader->values[FIELD_KEYS]->kind == DOCUMENT_SCALAR))
        document_problem (reader->findings, reader->values[FIELD_KEYS], "keys",
                          "must contain at least one key");
      return;
    }
  for (const struct document_node *node = list->first; node != NULL;
       node = node->next)
    {
      char path[DOCUMENT_PATH_MAX];
      snprintf (path, sizeof path, "keys[%zu]", settings->key_count);
      read_key (reader, node, path, &settings->keys[settings->key_count++]);
    }
  if (settings->key_count == 2 && settings->keys[0].id == settings->keys[1].id)
    document_problem (reader->findings, list, "keys[1].id",
                      "is the same as the id of keys[0]");
}

static void
check_ports (struct reader *reader, const struct settings *settings)
{
  const struct document_node *node = reader->values[FIELD_CALL_PORT];
  if (settings->peer_port == settings->call_port)
    document_problem (reader->findings, node, "call_port",
                      "must differ from peer_port");
  if (settings->admin.address != settings->address)
    return;
  if (settings->admin.port == settings->peer_port
      || settings->admin.port == settings->call_port)
    document_problem (reader->findings, reader->values[FIELD_ADMIN], "admin",
                      "must not use the port of peer_port or call_port");
}

static void
read_settings (struct reader *reader, const struct document *document,
               struct settings *settings)
{
  if (!document_fields (document->root, "", field_names, FIELD_COUNT,
                        FIELDS_REQUIRED, reader->values, reader->findings))
    return;
  uint64_t format;
  document_number (reader->values[FIELD_FORMAT], "format", 1, 1, &format,
                   reader->findings);
  read_name (reader, FIELD_MESH, settings->mesh);
  read_name (reader, FIELD_SLOT, settings->slot);
  read_name (reader, FIELD_AVAILABILITY_ZONE, settings->availability_zone);
  read_name (reader, FIELD_REGION, settings->region);
  read_address (reader, FIELD_ADDRESS, &settings->address);
  read_port (reader, FIELD_PEER_PORT, &settings->peer_port);
  read_port (reader, FIELD_CALL_PORT, &settings->call_port);
  read_endpoint (reader, reader->values[FIELD_ADMIN], "admin",
                 &settings->admin);
  read_endpoint (reader, reader->values[FIELD_STORE], "store",
                 &settings->store);
  read_seeds (reader, settings);
  read_keys (reader, settings);
  read_number (reader, FIELD_CLAIM_PARTITIONS, 1, 256,
               &settings->claim_partitions);
  read_number (reader, FIELD_CLAIM_WINDOW_S, 10, 86400,
               &settings->claim_window_s);
  read_number (reader, FIELD_REQUEST_BODY_MAX, 1024, 16 * 1024 * 1024,
               &settings->request_body_max);
  read_number (reader, FIELD_CALL_CONCURRENCY, 1, 65536,
               &settings->call_concurrency);
  check_ports (reader, settings);
}

enum status
settings_parse (struct settings *settings, const char *file, const char *yaml,
                size_t size, struct findings *findings)
{
  static const struct document_limits limits
      = { SETTINGS_BYTES_MAX, SETTINGS_NODES_MAX };
  struct reader reader = { .findings = findings };
  struct document document;
  struct settings parsed = {
    .peer_port = PEER_PORT_DEFAULT,
    .call_port = CALL_PORT_DEFAULT,
    .admin = { .address = INADDR_LOOPBACK, .port = ADMIN_PORT_DEFAULT },
    .claim_partitions = 10,
    .claim_window_s = 900,
    .request_body_max = 1024 * 1024,
    .call_concurrency = 1024,
  };
  size_t before = findings->total;
  if (findings->file == NULL)
    findings->file = file;
  enum status status
      = document_parse (&document, yaml, size, &limits, findings);
  if (status != STATUS_OK)
    return status;
  read_settings (&reader, &document, &parsed);
  document_finish (&document);
  if (findings->total != before)
    return status_set (STATUS_INVALID, "%s has %zu findings", file,
                       findings->total - before);
  *settings = parsed;
  return STATUS_OK;
}

enum status
settings_load (struct settings *settings, const char *path,
               struct findings *findings)
{
  char *yaml;
  size_t size;
  enum status status
      = document_read_file (path, SETTINGS_BYTES_MAX, &yaml, &size);
  if (status != STATUS_OK)
    return status;
  status = settings_parse (settings, path, yaml, size, findings);
  free (yaml);
  return status;
}
