/// Owns no state; builds the content of a rollback.
#include "state/config_rollback.h"

#include "state/config_check.h"

#include <stdio.h>
#include <string.h>

/// Adds a move that is in force.
static enum status
keep_move (struct config *content, const struct config_move *current,
           uint64_t older_version)
{
  char reason[64];
  struct config_move move = *current;
  const struct config_service *service
      = config_find_service (content, move.service);
  if (service == NULL && move.phase == MOVE_RUNNING)
    return status_set (STATUS_CONFLICT,
                       "service \"%s\" of running move \"%s\" is absent in "
                       "version %llu; cancel the move first",
                       move.service, move.name,
                       (unsigned long long)older_version);
  if (service == NULL)
    return STATUS_OK;
  if (move.phase == MOVE_RUNNING && strcmp (move.from, service->version) != 0)
    {
      snprintf (reason, sizeof reason, "rollback to version %llu",
                (unsigned long long)older_version);
      move.phase = MOVE_CANCELLED;
      move.share_bp = 0;
      move.reason = reason;
    }
  return config_set_move (content, &move);
}

static enum status
keep_moves (struct config *content, const struct config *older,
            const struct config *in_force)
{
  enum status status = STATUS_OK;
  for (size_t i = 0; i < in_force->move_count && status == STATUS_OK; i++)
    status = keep_move (content, &in_force->moves[i], older->version);
  for (size_t i = 0; i < older->move_count && status == STATUS_OK; i++)
    {
      const struct config_move *move = &older->moves[i];
      if (move->phase != MOVE_RUNNING
          && config_find_move (in_force, move->name) == NULL)
        status = config_set_move (content, move);
    }
  return status;
}

enum status
config_rollback (const struct config *older, const struct config *in_force,
                 struct config *content)
{
  struct config built;
  struct findings findings;
  enum status status = config_copy (&built, older);
  if (status != STATUS_OK)
    return status;
  built.version = in_force->version;
  built.move_count = 0;
  status = keep_moves (&built, older, in_force);
  findings_init (&findings, "rollback");
  if (status == STATUS_OK)
    status = config_check (&built, &findings);
  findings_finish (&findings);
  if (status == STATUS_OK)
    status = config_check_step (in_force, &built);
  if (status == STATUS_OK)
    status = config_rehash (&built);
  if (status == STATUS_OK)
    *content = built;
  else
    config_finish (&built);
  return status;
}
