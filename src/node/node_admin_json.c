/// JSON values and responses of the HTTP interface for operators.
#include "node/node_admin.h"

#include "protocol/iso_time.h"
#include "state/config_fields.h"

#include <stdlib.h>
#include <string.h>

void
node_admin_reply_json (struct admin_request *request, int code, json_t *value)
{
  char *text = value == NULL ? NULL : json_dumps (value, JSON_INDENT (1));
  if (text == NULL)
    {
      static const char out_of_memory[] = "{\"status\":\"no_memory\","
                                          "\"message\":\"no memory\"}";
      admin_reply (request, 503, "application/json", out_of_memory,
                   sizeof out_of_memory - 1);
    }
  else
    admin_reply (request, code, "application/json", text, strlen (text));
  free (text);
  json_decref (value);
}

int
node_admin_http_status (enum status status)
{
  switch (status)
    {
    case STATUS_OK:
      return 200;
    case STATUS_INVALID:
      return 400;
    case STATUS_DENIED:
      return 403;
    case STATUS_NOT_FOUND:
      return 404;
    case STATUS_CONFLICT:
      return 409;
    case STATUS_TOO_LARGE:
      return 413;
    case STATUS_UNKNOWN:
    case STATUS_TIMEOUT:
      return 504;
    case STATUS_UNAVAILABLE:
    case STATUS_NO_MEMORY:
      return 503;
    default:
      return 500;
    }
}

void
node_admin_reply_status (struct admin_request *request, enum status status,
                         const char *message)
{
  node_admin_reply_json (request, node_admin_http_status (status),
                         json_pack ("{s:s, s:o}", "status",
                                    status_name (status), "message",
                                    node_admin_text (message)));
}

json_t *
node_admin_text (const char *text)
{
  json_t *value = json_string (text == NULL ? "" : text);
  return value == NULL ? json_string ("?") : value;
}

json_t *
node_admin_item (int kind, const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  json_t *object = json_object ();
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      char time[ISO_TIME_SIZE];
      json_t *value = NULL;
      switch (field->type)
        {
        case CONFIG_FIELD_STRING:
          value = node_admin_text (config_field_string (field, item));
          break;
        case CONFIG_FIELD_BOOL:
          value = json_boolean (config_field_number (field, item) != 0);
          break;
        case CONFIG_FIELD_U32:
          value = json_integer ((json_int_t)config_field_number (field, item));
          break;
        case CONFIG_FIELD_TIME:
          iso_time_print (config_field_number (field, item), time);
          value = json_string (time);
          break;
        case CONFIG_FIELD_PHASE:
          value = json_string (move_phase_name (
              (enum move_phase)config_field_number (field, item)));
          break;
        }
      json_object_set_new (object, field->name, value);
    }
  return object;
}

json_t *
node_admin_config (const struct config *config)
{
  json_t *object = json_object ();
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count;
      const void *items = config_items (config, kind, &count);
      json_t *list = json_array ();
      for (size_t i = 0; i < count; i++)
        json_array_append_new (
            list, node_admin_item (kind, config_item_at (items, kind, i)));
      json_object_set_new (object, config_schema (kind)->plural, list);
    }
  return object;
}

json_t *
node_admin_findings (const struct findings *findings)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const struct finding *item = &findings->items[i];
      json_array_append_new (
          list,
          json_pack ("{s:i, s:i, s:o, s:o}", "line", item->line, "column",
                     item->column, "path", node_admin_text (item->path),
                     "message", node_admin_text (item->message)));
    }
  return list;
}

json_t *
node_admin_lines (const char *text)
{
  json_t *list = json_array ();
  while (*text != '\0')
    {
      size_t size = strcspn (text, "\n");
      json_t *line = json_stringn (text, size);
      json_array_append_new (list, line == NULL ? json_string ("?") : line);
      text += size + (text[size] == '\n' ? 1 : 0);
    }
  return list;
}
