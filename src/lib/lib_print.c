/// Owns no state; prints the declaration document of a mesh.
#include "lib/lib_mesh.h"

#include <errno.h>
#include <string.h>

/// Prints a text in double quotes. The checks accept neither quotes nor
/// backslashes, so nothing needs an escape.
static void
print_text (FILE *stream, const char *lead, const char *text)
{
  fprintf (stream, "%s\"%s\"\n", lead, text);
}

static void
print_services (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  const struct hawthornseam_service *services = mesh->services.items;
  fprintf (stream, "services:%s\n", mesh->services.count == 0 ? " []" : "");
  for (size_t i = 0; i < mesh->services.count; i++)
    {
      print_text (stream, "  - name: ", services[i].name);
      print_text (stream, "    version: ", services[i].version);
    }
}

static void
print_routes (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  const struct hawthornseam_route *routes = mesh->routes.items;
  fprintf (stream, "routes:%s\n", mesh->routes.count == 0 ? " []" : "");
  for (size_t i = 0; i < mesh->routes.count; i++)
    {
      print_text (stream, "  - name: ", routes[i].name);
      print_text (stream, "    prefix: ", routes[i].prefix);
      print_text (stream, "    service: ", routes[i].service);
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
      print_text (stream, "  - name: ", moves[i].name);
      print_text (stream, "    service: ", moves[i].service);
      print_text (stream, "    from: ", moves[i].from);
      print_text (stream, "    to: ", moves[i].to);
      fprintf (stream, "    by: %s\n", moves[i].by);
    }
}

enum hawthornseam_status
hawthornseam_print (const struct hawthornseam_mesh *mesh, FILE *stream)
{
  fputs ("format: 1\n", stream);
  print_text (stream, "mesh: ", mesh->name);
  print_services (mesh, stream);
  print_routes (mesh, stream);
  print_moves (mesh, stream);
  if (fflush (stream) != 0 || ferror (stream))
    return hawthornseam_fail (HAWTHORNSEAM_OUTPUT, "cannot write: %s",
                              strerror (errno));
  return HAWTHORNSEAM_OK;
}
