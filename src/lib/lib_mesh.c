/// Builds a mesh of checked copies of services, routes and moves.
#include "lib/lib_mesh.h"

#include <stdlib.h>
#include <string.h>

/// Longest name of a mesh or service.
#define SERVICE_NAME_BYTES_MAX 31
/// Longest name of a route or move.
#define NAME_BYTES_MAX 63
#define TIMEOUT_MS_MAX 3600000

static enum hawthornseam_status
fail_no_memory (void)
{
  return hawthornseam_fail (HAWTHORNSEAM_NO_MEMORY, "no memory");
}

static char *
copy_text (const char *text)
{
  size_t size = strlen (text) + 1;
  char *copy = malloc (size);
  if (copy != NULL)
    memcpy (copy, text, size);
  return copy;
}

/// Makes room for one more item; the caller fills it and increments the count.
/// @return the new item, uninitialized; NULL without memory
static void *
list_reserve (struct hawthornseam_list *list, size_t item_size)
{
  if (list->count == list->capacity)
    {
      size_t capacity = list->capacity == 0 ? 16 : 2 * list->capacity;
      void *items = realloc (list->items, capacity * item_size);
      if (items == NULL)
        return NULL;
      list->items = items;
      list->capacity = capacity;
    }
  return (char *)list->items + list->count * item_size;
}

static const struct hawthornseam_service *
find_service (const struct hawthornseam_mesh *mesh, const char *name)
{
  const struct hawthornseam_service *services = mesh->services.items;
  for (size_t i = 0; name != NULL && i < mesh->services.count; i++)
    if (strcmp (services[i].name, name) == 0)
      return &services[i];
  return NULL;
}

/// @return length of a prefix without the slash at its end, bytes: "/a" and
/// "/a/" are the same prefix
static size_t
prefix_size (const char *prefix)
{
  size_t size = strlen (prefix);
  return size > 0 && prefix[size - 1] == '/' ? size - 1 : size;
}

static enum hawthornseam_status
check_count (const struct hawthornseam_list *list, size_t max,
             const char *what)
{
  if (list->count < max)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_TOO_MANY, "a mesh has at most %zu %s",
                            max, what);
}

static enum hawthornseam_status
fail_undeclared (const char *what, const char *name, const char *service)
{
  return hawthornseam_fail (HAWTHORNSEAM_UNDECLARED,
                            "%s %.80s: service \"%.80s\" has not been added",
                            what, name, service == NULL ? "" : service);
}

static enum hawthornseam_status
fail_duplicate (const char *what, const char *name)
{
  return hawthornseam_fail (HAWTHORNSEAM_DUPLICATE,
                            "%s %.80s has already been added", what, name);
}

enum hawthornseam_status
hawthornseam_new (const char *name, struct hawthornseam_mesh **mesh)
{
  enum hawthornseam_status status
      = hawthornseam_check_name ("mesh", name, SERVICE_NAME_BYTES_MAX);
  if (status != HAWTHORNSEAM_OK)
    return status;
  struct hawthornseam_mesh *created = calloc (1, sizeof *created);
  if (created == NULL)
    return fail_no_memory ();
  created->name = copy_text (name);
  if (created->name == NULL)
    {
      free (created);
      return fail_no_memory ();
    }
  *mesh = created;
  return HAWTHORNSEAM_OK;
}

static void
free_service (const struct hawthornseam_service *service)
{
  free ((char *)service->name);
  free ((char *)service->version);
}

static void
free_route (const struct hawthornseam_route *route)
{
  free ((char *)route->name);
  free ((char *)route->prefix);
  free ((char *)route->service);
}

static void
free_move (const struct hawthornseam_move *move)
{
  free ((char *)move->name);
  free ((char *)move->service);
  free ((char *)move->from);
  free ((char *)move->to);
  free ((char *)move->by);
}

void
hawthornseam_free (struct hawthornseam_mesh *mesh)
{
  if (mesh == NULL)
    return;
  const struct hawthornseam_service *services = mesh->services.items;
  const struct hawthornseam_route *routes = mesh->routes.items;
  const struct hawthornseam_move *moves = mesh->moves.items;
  for (size_t i = 0; i < mesh->services.count; i++)
    free_service (&services[i]);
  for (size_t i = 0; i < mesh->routes.count; i++)
    free_route (&routes[i]);
  for (size_t i = 0; i < mesh->moves.count; i++)
    free_move (&moves[i]);
  free (mesh->services.items);
  free (mesh->routes.items);
  free (mesh->moves.items);
  free (mesh->name);
  free (mesh);
}

enum hawthornseam_status
hawthornseam_add_service (struct hawthornseam_mesh *mesh,
                          const struct hawthornseam_service *service)
{
  enum hawthornseam_status status = hawthornseam_check_name (
      "service", service->name, SERVICE_NAME_BYTES_MAX);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_check_version (service->name, "version",
                                         service->version);
  if (status == HAWTHORNSEAM_OK)
    status
        = check_count (&mesh->services, HAWTHORNSEAM_SERVICES_MAX, "services");
  if (status != HAWTHORNSEAM_OK)
    return status;
  if (find_service (mesh, service->name) != NULL)
    return fail_duplicate ("service", service->name);
  struct hawthornseam_service *item
      = list_reserve (&mesh->services, sizeof *item);
  if (item == NULL)
    return fail_no_memory ();
  *item = (struct hawthornseam_service){ .name = copy_text (service->name),
                                         .version
                                         = copy_text (service->version) };
  if (item->name == NULL || item->version == NULL)
    {
      free_service (item);
      return fail_no_memory ();
    }
  mesh->services.count++;
  return HAWTHORNSEAM_OK;
}

static enum hawthornseam_status
check_route (const struct hawthornseam_mesh *mesh,
             const struct hawthornseam_route *route)
{
  enum hawthornseam_status status
      = hawthornseam_check_name ("route", route->name, NAME_BYTES_MAX);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_check_prefix (route->name, route->prefix);
  if (status == HAWTHORNSEAM_OK)
    status = check_count (&mesh->routes, HAWTHORNSEAM_ROUTES_MAX, "routes");
  if (status != HAWTHORNSEAM_OK)
    return status;
  if (find_service (mesh, route->service) == NULL)
    return fail_undeclared ("route", route->name, route->service);
  if (route->timeout_ms < 1 || route->timeout_ms > TIMEOUT_MS_MAX)
    return hawthornseam_fail (
        HAWTHORNSEAM_INVALID,
        "%.80s: timeout_ms %u is not in the range 1 to %d", route->name,
        route->timeout_ms, TIMEOUT_MS_MAX);
  const struct hawthornseam_route *others = mesh->routes.items;
  for (size_t i = 0; i < mesh->routes.count; i++)
    {
      if (strcmp (others[i].name, route->name) == 0)
        return fail_duplicate ("route", route->name);
      size_t size = prefix_size (route->prefix);
      if (prefix_size (others[i].prefix) == size
          && memcmp (others[i].prefix, route->prefix, size) == 0)
        return hawthornseam_fail (HAWTHORNSEAM_DUPLICATE,
                                  "%.80s: prefix \"%.80s\" is already used by "
                                  "route %.80s",
                                  route->name, route->prefix, others[i].name);
    }
  return HAWTHORNSEAM_OK;
}

enum hawthornseam_status
hawthornseam_add_route (struct hawthornseam_mesh *mesh,
                        const struct hawthornseam_route *route)
{
  enum hawthornseam_status status = check_route (mesh, route);
  if (status != HAWTHORNSEAM_OK)
    return status;
  struct hawthornseam_route *item = list_reserve (&mesh->routes, sizeof *item);
  if (item == NULL)
    return fail_no_memory ();
  *item = *route;
  item->name = copy_text (route->name);
  item->prefix = copy_text (route->prefix);
  item->service = copy_text (route->service);
  if (item->name == NULL || item->prefix == NULL || item->service == NULL)
    {
      free_route (item);
      return fail_no_memory ();
    }
  mesh->routes.count++;
  return HAWTHORNSEAM_OK;
}

static enum hawthornseam_status
check_move (const struct hawthornseam_mesh *mesh,
            const struct hawthornseam_move *move)
{
  enum hawthornseam_status status
      = hawthornseam_check_name ("move", move->name, NAME_BYTES_MAX);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_check_version (move->name, "from", move->from);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_check_version (move->name, "to", move->to);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_check_time (move->name, move->by);
  if (status == HAWTHORNSEAM_OK)
    status = check_count (&mesh->moves, HAWTHORNSEAM_MOVES_MAX, "moves");
  if (status != HAWTHORNSEAM_OK)
    return status;
  if (find_service (mesh, move->service) == NULL)
    return fail_undeclared ("move", move->name, move->service);
  if (strcmp (move->from, move->to) == 0)
    return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                              "%.80s: from and to are both \"%s\"", move->name,
                              move->to);
  const struct hawthornseam_move *others = mesh->moves.items;
  for (size_t i = 0; i < mesh->moves.count; i++)
    if (strcmp (others[i].name, move->name) == 0)
      return fail_duplicate ("move", move->name);
  return HAWTHORNSEAM_OK;
}

enum hawthornseam_status
hawthornseam_add_move (struct hawthornseam_mesh *mesh,
                       const struct hawthornseam_move *move)
{
  enum hawthornseam_status status = check_move (mesh, move);
  if (status != HAWTHORNSEAM_OK)
    return status;
  struct hawthornseam_move *item = list_reserve (&mesh->moves, sizeof *item);
  if (item == NULL)
    return fail_no_memory ();
  *item = (struct hawthornseam_move){ .name = copy_text (move->name),
                                      .service = copy_text (move->service),
                                      .from = copy_text (move->from),
                                      .to = copy_text (move->to),
                                      .by = copy_text (move->by) };
  if (item->name == NULL || item->service == NULL || item->from == NULL
      || item->to == NULL || item->by == NULL)
    {
      free_move (item);
      return fail_no_memory ();
    }
  mesh->moves.count++;
  return HAWTHORNSEAM_OK;
}
