/// Example: prints the declaration document of the mesh of Zápis.
///   example-zapis [<target version> <time in UTC>]
/// With arguments, it adds a move of the service zapisy from v1 to the target
/// version, to be completed by that time.
#include "hawthornseam.h"

#include <stdio.h>
#include <string.h>

static const struct hawthornseam_service services[] = {
  { "zapisy", "v1" },  /* minutes of councils and courts */
  { "pecet", "v1" },   /* seals and signature requests */
  { "archiv", "v1" },  /* downloads of past volumes */
  { "program", "v1" }, /* agendas of sessions */
};

static const struct hawthornseam_route routes[] = {
  { "zapisy-read", "/zapisy/", "zapisy", true, 2000 },
  { "zapisy-write", "/zapisy/write/", "zapisy", false, 5000 },
  { "pecet-verify", "/pecet/verify/", "pecet", true, 2000 },
  { "pecet-seal", "/pecet/seal/", "pecet", false, 10000 },
  { "pecet-certify", "/pecet/certify/", "pecet", false, 10000 },
  { "pecet-request", "/pecet/request/", "pecet", false, 10000 },
  { "archiv-search", "/archiv/", "archiv", true, 3000 },
  { "archiv-download", "/archiv/download/", "archiv", true, 600000 },
  { "archiv-deposit", "/archiv/deposit/", "archiv", false, 30000 },
  { "program-read", "/program/", "program", true, 2000 },
  { "program-write", "/program/write/", "program", false, 5000 },
};

/// Adds the services and routes and, unless to is NULL, a move of zapisy.
static enum hawthornseam_status
build (struct hawthornseam_mesh *mesh, const char *to, const char *by)
{
  enum hawthornseam_status status = HAWTHORNSEAM_OK;
  size_t service_count = sizeof services / sizeof services[0];
  size_t route_count = sizeof routes / sizeof routes[0];
  for (size_t i = 0; i < service_count && status == HAWTHORNSEAM_OK; i++)
    status = hawthornseam_add_service (mesh, &services[i]);
  for (size_t i = 0; i < route_count && status == HAWTHORNSEAM_OK; i++)
    status = hawthornseam_add_route (mesh, &routes[i]);
  if (status != HAWTHORNSEAM_OK || to == NULL)
    return status;
  char name[64];
  snprintf (name, sizeof name, "zapisy-%.50s", to);
  struct hawthornseam_move move = { name, "zapisy", "v1", to, by };
  return hawthornseam_add_move (mesh, &move);
}

int
main (int argc, char **argv)
{
  struct hawthornseam_mesh *mesh = NULL;
  if (argc != 1 && argc != 3)
    {
      fprintf (stderr, "usage: %s [<version> <time>]\n", argv[0]);
      return 2;
    }
  enum hawthornseam_status status = hawthornseam_new ("zapis", &mesh);
  if (status == HAWTHORNSEAM_OK)
    status
        = build (mesh, argc == 3 ? argv[1] : NULL, argc == 3 ? argv[2] : NULL);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_print (mesh, stdout);
  if (status != HAWTHORNSEAM_OK)
    fprintf (stderr, "%s: %s\n", hawthornseam_status_name (status),
             hawthornseam_message ());
  hawthornseam_free (mesh);
  return status == HAWTHORNSEAM_OK ? 0 : 1;
}
