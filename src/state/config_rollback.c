/// Content of a rollback.
#include "state/config_rollback.h"

#include "state/config_check.h"

#include <stdio.h>
#include <string.h>

/// Adds a move of the current version, changed as config_rollback describes.
static enum status
add_current_move (struct config *content,
                  const struct config_move *current_move,
                  uint64_t older_version)
{
  char reason[64];
  struct config_move move = *current_move;
  const struct config_service *service
      = config_find_service (content, move.service);
  if (service == NULL && move.phase == MOVE_RUNNING)
    return status_set (STATUS_CONFLICT,
                       "service \"%s\" of running move \"%s\" does not exist "
                       "in version %llu; cancel the move first",
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
add_moves (struct config *content, const struct config *older,
           const struct config *current)
{
  enum status status = STATUS_OK;
  for (size_t i = 0; i < current->move_count && status == STATUS_OK; i++)
    status = add_current_move (content, &current->moves[i], older->version);
  for (size_t i = 0; i < older->move_count && status == STATUS_OK; i++)
    {
      const struct config_move *move = &older->moves[i];
      if (move->phase != MOVE_RUNNING
          && config_find_move (current, move->name) == NULL)
        status = config_set_move (content, move);
    }
  return status;
}

enum status
config_rollback (const struct config *older, const struct config *current,
                 struct config *content)
{
  struct config result;
  struct findings findings;
  enum status status = config_copy (&result, older);
  if (status != STATUS_OK)
    return status;
  result.version = current->version;
  result.move_count = 0;
  status = add_moves (&result, older, current);
  findings_init (&findings, "rollback");
  if (status == STATUS_OK)
    status = config_check (&result, &findings);
  findings_finish (&findings);
  if (status == STATUS_OK)
    status = config_check_transition (current, &result);
  if (status == STATUS_OK)
    status = config_rehash (&result);
  if (status == STATUS_OK)
    *content = result;
  else
    config_finish (&result);
  return status;
}
