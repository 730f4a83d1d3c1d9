/// Routes in an array with a hash index of their prefixes. The table owns both
/// and its copy of the configuration.
#include "state/route_table.h"

#include <string.h>
#include <talloc.h>

/// @return length of a prefix or path without a trailing slash
static size_t
trimmed_length (const char *path, size_t size)
{
  return size > 0 && path[size - 1] == '/' ? size - 1 : size;
}

/// @return index slot that holds the prefix, or the free slot where it belongs
static size_t
find_slot (const struct route_table *table, const char *prefix, size_t size)
{
  size_t mask = table->index_size - 1;
  size_t slot = hash_placement (prefix, size) & mask;
  for (; table->index[slot] != UINT32_MAX; slot = (slot + 1) & mask)
    {
      const char *other = table->entries[table->index[slot]].prefix;
      if (trimmed_length (other, strlen (other)) == size
          && memcmp (other, prefix, size) == 0)
        break;
    }
  return slot;
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
add_routes (struct route_table *table)
{
  const struct config_move **running = running_moves (&table->config);
  if (running == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a route table");
  for (size_t i = 0; i < table->count; i++)
    {
      const struct config_route *route = &table->config.routes[i];
      const struct config_service *service
          = config_find_service (&table->config, route->service);
      if (service == NULL)
        return status_set (STATUS_INVALID,
                           "route \"%s\" refers to service \"%s\", which does "
                           "not exist",
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
      size_t size = trimmed_length (route->prefix, strlen (route->prefix));
      table->index[find_slot (table, route->prefix, size)] = (uint32_t)i;
      if (size > table->longest_prefix)
        table->longest_prefix = size;
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
    status = status_set (STATUS_NO_MEMORY, "no memory for a route table");
  else
    {
      memset (table->index, 0xff, table->index_size * sizeof *table->index);
      status = add_routes (table);
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
  size = trimmed_length (path, size);
  for (;;)
    {
      if (size <= table->longest_prefix)
        {
          uint32_t found = table->index[find_slot (table, path, size)];
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
