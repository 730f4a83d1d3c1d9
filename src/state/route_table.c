/// Owns the compiled entries of a configuration's routes and their index.
#include "state/route_table.h"

#include <string.h>
#include <talloc.h>

/// Bytes of a prefix or path without one slash at the end.
static size_t
trimmed_size (const char *path, size_t size)
{
  return size > 0 && path[size - 1] == '/' ? size - 1 : size;
}

/// @return place in the index of a prefix, or the free place for it
static size_t
find_place (const struct route_table *table, const char *prefix, size_t size)
{
  size_t mask = table->index_size - 1;
  size_t at = hash_place (prefix, size) & mask;
  for (; table->index[at] != UINT32_MAX; at = (at + 1) & mask)
    {
      const char *other = table->entries[table->index[at]].prefix;
      if (trimmed_size (other, strlen (other)) == size
          && memcmp (other, prefix, size) == 0)
        break;
    }
  return at;
}

/// @return running moves by index of their service, or NULL without memory
static const struct config_move **
running_moves (const struct config *config)
{
  const struct config_move **running = talloc_zero_array (
      config->arena, const struct config_move *, config->service_count + 1);
  if (running == NULL)
    return NULL;
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      const struct config_service *service
          = config_find_service (config, move->service);
      if (move->phase == MOVE_RUNNING && service != NULL)
        running[service - config->services] = move;
    }
  return running;
}

static enum status
fill (struct route_table *table)
{
  const struct config_move **running = running_moves (&table->config);
  if (running == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for routes");
  for (size_t i = 0; i < table->count; i++)
    {
      const struct config_route *route = &table->config.routes[i];
      const struct config_service *service
          = config_find_service (&table->config, route->service);
      if (service == NULL)
        return status_set (STATUS_INVALID,
                           "route \"%s\" names service \"%s\", which is "
                           "absent",
                           route->name, route->service);
      const struct config_move *move
          = running[service - table->config.services];
      table->entries[i] = (struct route_entry){
        .route = route->name,
        .prefix = route->prefix,
        .service = service->name,
        .idempotent = route->idempotent,
        .timeout_ms = route->timeout_ms,
        .version = service->version,
        .new_version = move == NULL ? NULL : move->to,
        .move = move == NULL ? NULL : move->name,
        .share_bp = move == NULL ? 0 : move->share_bp,
      };
      size_t size = trimmed_size (route->prefix, strlen (route->prefix));
      table->index[find_place (table, route->prefix, size)] = (uint32_t)i;
      if (size > table->longest)
        table->longest = size;
    }
  return STATUS_OK;
}

enum status
route_table_init (struct route_table *table, const struct config *config)
{
  *table
      = (struct route_table){ .count = config->route_count, .index_size = 16 };
  enum status status = config_copy (&table->config, config);
  if (status != STATUS_OK)
    return status;
  while (table->index_size < 2 * table->count)
    table->index_size *= 2;
  table->entries = talloc_array (table->config.arena, struct route_entry,
                                 table->count + 1);
  table->index
      = talloc_array (table->config.arena, uint32_t, table->index_size);
  if (table->entries == NULL || table->index == NULL)
    status = status_set (STATUS_NO_MEMORY, "no memory for routes");
  else
    {
      memset (table->index, 0xff, table->index_size * sizeof *table->index);
      status = fill (table);
    }
  if (status != STATUS_OK)
    route_table_finish (table);
  return status;
}

void
route_table_finish (struct route_table *table)
{
  config_finish (&table->config);
  *table = (struct route_table){ 0 };
}

const struct route_entry *
route_table_match (const struct route_table *table, const char *path)
{
  if (table->count == 0 || path[0] != '/')
    return NULL;
  size_t size = strcspn (path, "?#");
  /* Prefixes are compared without their last slash, so each candidate ends
     where a segment ends. */
  size = trimmed_size (path, size);
  for (;;)
    {
      if (size <= table->longest)
        {
          uint32_t found = table->index[find_place (table, path, size)];
          if (found != UINT32_MAX)
            return &table->entries[found];
        }
      if (size == 0)
        return NULL;
      do
        size--;
      while (path[size] != '/');
    }
}
