/// Checks of a configuration change that need the members of the mesh.
#include "node/node_admin.h"

#include "protocol/declaration.h"
#include "state/config_check.h"
#include "state/config_fields.h"

#include <stdio.h>
#include <string.h>

/// @return true when a live member has a target that runs a version of a
/// service
static bool
version_runs (const struct node *node, const char *service,
              const char *version)
{
  const struct member_table *table = node_members (node);
  for (uint32_t i = 0; i < table->count; i++)
    if (member_serves (&table->items[i], service, version))
      return true;
  return false;
}

/// Adds a finding for each version of a new move that no live target runs.
static void
check_targets (const struct node *node, const struct declaration *declaration,
               const struct config *in_force, const struct config *merged,
               struct findings *findings)
{
  char message[160];
  for (size_t i = 0; i < merged->move_count; i++)
    {
      const struct config_move *move = &merged->moves[i];
      if (config_find_move (in_force, move->name) != NULL)
        continue;
      const char *const fields[] = { "from", "to" };
      const char *const versions[] = { move->from, move->to };
      for (int j = 0; j < 2; j++)
        if (!version_runs (node, move->service, versions[j]))
          {
            snprintf (message, sizeof message,
                      "no live target of service \"%.31s\" runs \"%.31s\"",
                      move->service, versions[j]);
            declaration_problem (declaration, CONFIG_MOVE, i, fields[j],
                                 message, findings);
          }
    }
}

enum status
node_admin_merge (const struct node *node, const char *yaml, size_t size,
                  uint64_t now_wall_ms, struct config *merged,
                  struct findings *findings)
{
  const struct config *in_force
      = config_follower_current (node_config_follower ((struct node *)node));
  struct declaration declaration;
  struct config content;
  enum status status = declaration_parse (&declaration, yaml, size, findings);
  if (status != STATUS_OK)
    return status;
  if (strcmp (declaration.mesh, node->settings.mesh) != 0)
    findings_add (findings, 0, 0, "mesh",
                  "the document is for mesh \"%s\", this node is of \"%s\"",
                  declaration.mesh, node->settings.mesh);
  status = declaration_merge (&declaration, in_force, now_wall_ms, &content,
                              findings);
  if (status == STATUS_OK)
    {
      check_targets (node, &declaration, in_force, &content, findings);
      if (findings->total > 0)
        {
          config_finish (&content);
          status = status_set (STATUS_INVALID, "the document has errors");
        }
      else
        *merged = content;
    }
  declaration_finish (&declaration);
  return status;
}

enum status
node_admin_check_versions (const struct node *node,
                           const struct config *content)
{
  const struct config *in_force
      = config_follower_current (node_config_follower ((struct node *)node));
  for (size_t i = 0; i < content->service_count; i++)
    {
      const struct config_service *service = &content->services[i];
      const struct config_service *current
          = config_find_service (in_force, service->name);
      if (current == NULL || strcmp (current->version, service->version) == 0)
        continue;
      if (!version_runs (node, service->name, service->version))
        return status_set (STATUS_CONFLICT,
                           "no live target of service \"%s\" runs \"%s\"",
                           service->name, service->version);
    }
  return STATUS_OK;
}
