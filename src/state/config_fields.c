/// Schemas of services, routes and moves.
#include "state/config_fields.h"

#include <assert.h>
#include <string.h>

#define FIELD(type, member, kind, limit, by_system)                           \
  {                                                                           \
#    member, kind, offsetof(struct type, member), limit, by_system            \
  }

static const struct config_field service_fields[] = {
  FIELD (config_service, name, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_service, version, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
};

static const struct config_field route_fields[] = {
  FIELD (config_route, name, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_route, prefix, CONFIG_FIELD_STRING, CONFIG_PREFIX_MAX, false),
  FIELD (config_route, service, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_route, idempotent, CONFIG_FIELD_BOOL, 1, false),
  FIELD (config_route, timeout_ms, CONFIG_FIELD_U32, CONFIG_TIMEOUT_MS_MAX,
         false),
};

static const struct config_field move_fields[] = {
  FIELD (config_move, name, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_move, service, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_move, from, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  FIELD (config_move, to, CONFIG_FIELD_STRING, CONFIG_NAME_MAX, false),
  { "by", CONFIG_FIELD_TIME, offsetof (struct config_move, by_ms), UINT64_MAX,
    false },
  FIELD (config_move, phase, CONFIG_FIELD_PHASE, MOVE_CANCELLED, true),
  FIELD (config_move, share_bp, CONFIG_FIELD_U32, CONFIG_SHARE_ALL, true),
  FIELD (config_move, step, CONFIG_FIELD_U32, UINT32_MAX, true),
  FIELD (config_move, reason, CONFIG_FIELD_STRING, CONFIG_REASON_MAX, true),
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static const struct config_schema schemas[] = {
  [CONFIG_SERVICE]
  = { "service", "services", sizeof (struct config_service),
      CONFIG_SERVICES_MAX, service_fields, COUNT (service_fields) },
  [CONFIG_ROUTE] = { "route", "routes", sizeof (struct config_route),
                     CONFIG_ROUTES_MAX, route_fields, COUNT (route_fields) },
  [CONFIG_MOVE] = { "move", "moves", sizeof (struct config_move),
                    CONFIG_MOVES_MAX, move_fields, COUNT (move_fields) },
};

const struct config_schema *
config_schema (enum config_kind kind)
{
  assert (kind >= CONFIG_SERVICE && kind <= CONFIG_KIND_LAST);
  return &schemas[kind];
}

const void *
config_items (const struct config *config, enum config_kind kind,
              size_t *count)
{
  switch (kind)
    {
    case CONFIG_SERVICE:
      *count = config->service_count;
      return config->services;
    case CONFIG_ROUTE:
      *count = config->route_count;
      return config->routes;
    case CONFIG_MOVE:
      *count = config->move_count;
      return config->moves;
    }
  *count = 0;
  return NULL;
}

void
config_set_items (struct config *config, enum config_kind kind, void *items,
                  size_t count)
{
  switch (kind)
    {
    case CONFIG_SERVICE:
      config->services = items;
      config->service_count = count;
      return;
    case CONFIG_ROUTE:
      config->routes = items;
      config->route_count = count;
      return;
    case CONFIG_MOVE:
      config->moves = items;
      config->move_count = count;
      return;
    }
}

const void *
config_item_at (const void *items, enum config_kind kind, size_t index)
{
  return items == NULL ? NULL
                       : (const char *)items + index * schemas[kind].item_size;
}

const char *
config_item_name (const void *item)
{
  /* The name is the first member of each kind of object. */
  return *(const char *const *)item;
}

const void *
config_find (const struct config *config, enum config_kind kind,
             const char *name)
{
  size_t count;
  const void *items = config_items (config, kind, &count);
  size_t low = 0;
  while (low < count)
    {
      size_t middle = low + (count - low) / 2;
      const void *item = config_item_at (items, kind, middle);
      int order = strcmp (config_item_name (item), name);
      if (order == 0)
        return item;
      if (order < 0)
        low = middle + 1;
      else
        count = middle;
    }
  return NULL;
}

const char *
config_field_string (const struct config_field *field, const void *item)
{
  assert (field->type == CONFIG_FIELD_STRING);
  const char *value
      = *(const char *const *)((const char *)item + field->offset);
  return value == NULL ? "" : value;
}

void
config_field_set_string (const struct config_field *field, void *item,
                         const char *value)
{
  assert (field->type == CONFIG_FIELD_STRING);
  *(const char **)((char *)item + field->offset) = value;
}

uint64_t
config_field_number (const struct config_field *field, const void *item)
{
  const void *place = (const char *)item + field->offset;
  switch (field->type)
    {
    case CONFIG_FIELD_BOOL:
      return *(const bool *)place;
    case CONFIG_FIELD_U32:
      return *(const uint32_t *)place;
    case CONFIG_FIELD_TIME:
      return *(const uint64_t *)place;
    case CONFIG_FIELD_PHASE:
      return (uint64_t) * (const enum move_phase *)place;
    case CONFIG_FIELD_STRING:
      break;
    }
  assert (false);
  return 0;
}

void
config_field_set_number (const struct config_field *field, void *item,
                         uint64_t value)
{
  void *place = (char *)item + field->offset;
  switch (field->type)
    {
    case CONFIG_FIELD_BOOL:
      *(bool *)place = value != 0;
      return;
    case CONFIG_FIELD_U32:
      *(uint32_t *)place = (uint32_t)value;
      return;
    case CONFIG_FIELD_TIME:
      *(uint64_t *)place = value;
      return;
    case CONFIG_FIELD_PHASE:
      *(enum move_phase *)place = (enum move_phase)value;
      return;
    case CONFIG_FIELD_STRING:
      break;
    }
  assert (false);
}

bool
config_item_equal (enum config_kind kind, const void *a, const void *b)
{
  const struct config_schema *schema = config_schema (kind);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      if (field->type == CONFIG_FIELD_STRING
              ? strcmp (config_field_string (field, a),
                        config_field_string (field, b))
                    != 0
              : config_field_number (field, a)
                    != config_field_number (field, b))
        return false;
    }
  return true;
}

const char *
move_phase_name (enum move_phase phase)
{
  switch (phase)
    {
    case MOVE_RUNNING:
      return "running";
    case MOVE_DONE:
      return "done";
    case MOVE_ROLLED_BACK:
      return "taken_back";
    case MOVE_CANCELLED:
      return "cancelled";
    }
  return "invalid";
}
