/// Prints the declaration document of a mesh. Keeps no state.
#include "lib/lib_mesh.h"

#include <errno.h>
#include <string.h>

/// Prints a line of a key and a double-quoted value. The checks admit neither
/// quotes nor backslashes in values, so nothing has to be escaped.
/// @param key  with indentation, colon and space
static void
print_quoted (FILE *stream, const char *key, const char *value)
{
  fprintf (stream, "%s\"%s\"\n", key, value);
}

static void
print_services (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  const struct hawthornseam_service *services = mesh->services.items;
  fprintf (stream, "services:%s\n", mesh->services.count == 0 ? " []" : "");
  for (size_t i = 0; i < mesh->services.count; i++)
    {
      print_quoted (stream, "  - name: ", services[i].name);
      print_quoted (stream, "    version: ", services[i].version);
    }
}

static void
print_routes (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  const struct hawthornseam_route *routes = mesh->routes.items;
  fprintf (stream, "routes:%s\n", mesh->routes.count == 0 ? " []" : "");
  for (size_t i = 0; i < mesh->routes.count; i++)
    {
      print_quoted (stream, "  - name: ", routes[i].name);
      print_quoted (stream, "    prefix: ", routes[i].prefix);
      print_quoted (stream, "    service: ", routes[i].service);
      fprintf (stream, "    idempotent: %s\n    timeout_ms: %u\n",
               routes[i].idempotent ? "true" : "false", routes[i].timeout_ms);
    }
}

static void
print_moves (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  const struct hawthornseam_move *moves = mesh->moves.items;
  fprintf (stream, "moves:%s\n", mesh->moves.count == 0 ? " []" : "");
  for (size_t i = 0; i < mesh->moves.count; i++)
    {
      print_quoted (stream, "  - name: ", moves[i].name);
      print_quoted (stream, "    service: ", moves[i].service);
      print_quoted (stream, "    from: ", moves[i].from);
      print_quoted (stream, "    to: ", moves[i].to);
      fprintf (stream, "    by: %s\n", moves[i].by);
    }
}

enum hawthornseam_status
hawthornseam_print (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  fputs ("format: 1\n", stream);
  print_quoted (stream, "mesh: ", mesh->name);
  print_services (mesh, stream);
  print_routes (mesh, stream);
  print_moves (mesh, stream);
  if (fflush (stream) != 0 || ferror (stream))
    return hawthornseam_fail (HAWTHORNSEAM_OUTPUT,
                              "cannot write the document: %s",
                              strerror (errno));
  return HAWTHORNSEAM_OK;
}
