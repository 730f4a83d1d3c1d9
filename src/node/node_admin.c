/// HTTP interface for operators: start, stop and table of endpoints.
#include "node/node_admin.h"

#include <talloc.h>

static const struct admin_route routes[] = {
  { "GET", "/counters", node_admin_counters },
  { "GET", "/state", node_admin_state },
  { "GET", "/status", node_admin_status },
  { "GET", "/config", node_admin_get_config },
  { "GET", "/config/json", node_admin_get_config_json },
  { "POST", "/config/validate", node_admin_validate },
  { "POST", "/config/apply", node_admin_apply },
  { "GET", "/history", node_admin_history },
  { "GET", "/moves", node_admin_moves },
  { "POST", "/moves/*/cancel", node_admin_cancel },
  { "POST", "/rollback", node_admin_rollback },
};

enum status
node_admin_start (struct node *node)
{
  const struct settings_endpoint *endpoint = &node->settings.admin;
  struct node_admin *admin = talloc_zero (NULL, struct node_admin);
  if (admin == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "out of memory for the admin interface");
  admin->node = node;
  enum status status = admin_start (&admin->server, node->base,
                                    endpoint->address, endpoint->port, routes,
                                    sizeof routes / sizeof routes[0], node);
  if (status != STATUS_OK)
    {
      talloc_free (admin);
      return status;
    }
  node->admin = admin;
  return STATUS_OK;
}

void
node_admin_stop (struct node *node)
{
  if (node->admin == NULL)
    return;
  admin_stop (node->admin->server);
  talloc_free (node->admin);
  node->admin = NULL;
}
