/// Example: prints the declaration document of the mesh of Dala Oraq Kitchens.
///   example-dala_oraq [<service> <from> <to> <time in UTC>]
/// With arguments, it adds a move of the service from one target version to
/// another, to be completed by that time.
#include "hawthornseam.h"

#include <stdio.h>
#include <string.h>

static const struct hawthornseam_service services[] = {
  { "menu-desk", "v1" }, /* menus and orders of the fields */
  { "ledger", "v1" },    /* charges to farms */
  { "routes", "v1" },    /* route sheets of the drivers */
  { "galley", "v1" },    /* what the kitchens cook */
};

static const struct hawthornseam_route routes[] = {
  { "menu-read", "/menu/", "menu-desk", true, 2000 },
  { "menu-publish", "/menu/publish/", "menu-desk", false, 8000 },
  { "order-read", "/orders/", "menu-desk", true, 2000 },
  { "order-place", "/orders/place/", "menu-desk", false, 8000 },
  { "ledger-read", "/ledger/", "ledger", true, 3000 },
  { "ledger-charge", "/ledger/charge/", "ledger", false, 15000 },
  { "ledger-refund", "/ledger/refund/", "ledger", false, 15000 },
  { "routes-read", "/routes/", "routes", true, 3000 },
  { "routes-sheet", "/routes/sheet/", "routes", true, 300000 },
  { "routes-assign", "/routes/assign/", "routes", false, 8000 },
  { "galley-read", "/galley/", "galley", true, 2000 },
  { "galley-report", "/galley/report/", "galley", false, 8000 },
};

/// Adds the services and routes and, unless service is NULL, a move.
/// @param versions  the old and the new target version of the service
static enum hawthornseam_status
build (struct hawthornseam_mesh *mesh, const char *service,
       const char *const *versions, const char *by)
{
  enum hawthornseam_status status = HAWTHORNSEAM_OK;
  size_t service_count = sizeof services / sizeof services[0];
  size_t route_count = sizeof routes / sizeof routes[0];
  for (size_t i = 0; i < service_count && status == HAWTHORNSEAM_OK; i++)
    {
      struct hawthornseam_service added = services[i];
      if (service != NULL && strcmp (added.name, service) == 0)
        added.version = versions[0];
      status = hawthornseam_add_service (mesh, &added);
    }
  for (size_t i = 0; i < route_count && status == HAWTHORNSEAM_OK; i++)
    status = hawthornseam_add_route (mesh, &routes[i]);
  if (status != HAWTHORNSEAM_OK || service == NULL)
    return status;
  char name[64];
  snprintf (name, sizeof name, "%.31s-%.31s", service, versions[1]);
  struct hawthornseam_move move
      = { name, service, versions[0], versions[1], by };
  return hawthornseam_add_move (mesh, &move);
}

int
main (int argc, char **argv)
{
  struct hawthornseam_mesh *mesh = NULL;
  if (argc != 1 && argc != 5)
    {
      fprintf (stderr, "usage: %s [<service> <from> <to> <time>]\n", argv[0]);
      return 2;
    }
  const char *versions[]
      = { argc == 5 ? argv[2] : NULL, argc == 5 ? argv[3] : NULL };
  enum hawthornseam_status status = hawthornseam_new ("dala-oraq", &mesh);
  if (status == HAWTHORNSEAM_OK)
    status = build (mesh, argc == 5 ? argv[1] : NULL, versions,
                    argc == 5 ? argv[4] : NULL);
  if (status == HAWTHORNSEAM_OK)
    status = hawthornseam_print (mesh, stdout);
  if (status != HAWTHORNSEAM_OK)
    fprintf (stderr, "%s: %s\n", hawthornseam_status_name (status),
             hawthornseam_message ());
  hawthornseam_free (mesh);
  return status == HAWTHORNSEAM_OK ? 0 : 1;
}
