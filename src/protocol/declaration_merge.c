/// Merges a declaration with the configuration in force.
#include "protocol/declaration.h"

#include "state/config_check.h"
#include "state/config_fields.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct merge
{
  const struct declaration *declaration;
  const struct config *in_force;
  uint64_t now_wall_ms;
  struct findings *findings;
};

static void problem (const struct merge *merge, enum config_kind kind,
                     size_t index, const char *field, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

static void
problem (const struct merge *merge, enum config_kind kind, size_t index,
         const char *field, const char *format, ...)
{
  char message[512];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  declaration_problem (merge->declaration, kind, index, field, message,
                       merge->findings);
}

static void
report_problem (void *arg, enum config_kind kind, size_t index,
                const char *field, const char *message)
{
  const struct merge *merge = arg;
  declaration_problem (merge->declaration, kind, index, field, message,
                       merge->findings);
}

/// @return true when completed moves that the document still declares lead
/// from the declared version of a service to the one in force
static bool
moves_lead_to (const struct merge *merge, const char *service,
               const char *declared, const char *in_force)
{
  const char *version = declared;
  for (size_t round = 0; round <= merge->in_force->move_count; round++)
    {
      if (strcmp (version, in_force) == 0)
        return true;
      const char *next = NULL;
      for (size_t i = 0; i < merge->in_force->move_count; i++)
        {
          const struct config_move *move = &merge->in_force->moves[i];
          if (move->phase == MOVE_DONE && strcmp (move->service, service) == 0
              && strcmp (move->from, version) == 0
              && config_find_move (&merge->declaration->config, move->name)
                     != NULL)
            next = move->to;
        }
      if (next == NULL)
        return false;
      version = next;
    }
  return false;
}

static void
merge_services (const struct merge *merge, struct config *merged)
{
  for (size_t i = 0; i < merged->service_count; i++)
    {
      struct config_service *service = &merged->services[i];
      const struct config_service *current
          = config_find_service (merge->in_force, service->name);
      if (current == NULL || strcmp (current->version, service->version) == 0)
        continue;
      if (!moves_lead_to (merge, service->name, service->version,
                          current->version))
        problem (merge, CONFIG_SERVICE, i, "version",
                 "\"%s\" is not the version in force, which is \"%s\"; write "
                 "that one, or declare a move from \"%s\" to \"%s\"",
                 service->version, current->version, current->version,
                 service->version);
      service->version = current->version;
    }
}

/// Reports fields of a declared move that may not differ from the move in
/// force with the same name.
static void
check_unchanged (const struct merge *merge, size_t index,
                 const struct config_move *declared,
                 const struct config_move *current)
{
  static const char *const names[] = { "service", "from", "to" };
  const char *const declared_values[]
      = { declared->service, declared->from, declared->to };
  const char *const current_values[]
      = { current->service, current->from, current->to };
  for (int i = 0; i < 3; i++)
    if (strcmp (declared_values[i], current_values[i]) != 0)
      problem (merge, CONFIG_MOVE, index, names[i],
               "move \"%s\" is in force with \"%s\" here; declare a different "
               "move under a new name",
               current->name, current_values[i]);
  if (current->phase != MOVE_RUNNING && declared->by_ms != current->by_ms)
    problem (merge, CONFIG_MOVE, index, "by",
             "move \"%s\" is %s; to repeat it, declare a move with a new name",
             current->name, move_phase_name (current->phase));
}

static void
merge_moves (const struct merge *merge, struct config *merged)
{
  for (size_t i = 0; i < merged->move_count; i++)
    {
      struct config_move *move = &merged->moves[i];
      const struct config_move *current
          = config_find_move (merge->in_force, move->name);
      bool new_time = current == NULL
                      || (current->phase == MOVE_RUNNING
                          && current->by_ms != move->by_ms);
      if (new_time
          && move->by_ms < merge->now_wall_ms + DECLARATION_MOVE_LEAD_MIN_MS)
        problem (merge, CONFIG_MOVE, i, "by",
                 "must be at least %d s in the future",
                 DECLARATION_MOVE_LEAD_MIN_MS / 1000);
      if (current == NULL)
        continue;
      check_unchanged (merge, i, move, current);
      move->phase = current->phase;
      move->share_bp = current->share_bp;
      move->step = current->step;
      move->reason = current->reason;
    }
  for (size_t i = 0; i < merge->in_force->move_count; i++)
    {
      const struct config_move *current = &merge->in_force->moves[i];
      if (current->phase == MOVE_RUNNING
          && config_find_move (merged, current->name) == NULL)
        problem (merge, CONFIG_MOVE, SIZE_MAX, NULL,
                 "move \"%s\" is running but not declared; cancel it before "
                 "removing it",
                 current->name);
    }
}

enum status
declaration_merge (const struct declaration *declaration,
                   const struct config *in_force, uint64_t now_wall_ms,
                   struct config *merged, struct findings *findings)
{
  struct merge merge = { declaration, in_force, now_wall_ms, findings };
  struct config_report report = { report_problem, &merge };
  struct config working;
  size_t before = findings->total;
  enum status status = config_copy (&working, &declaration->config);
  if (status != STATUS_OK)
    return status;
  /* `working` refers to strings of in_force until it is copied below. */
  merge_services (&merge, &working);
  merge_moves (&merge, &working);
  if (findings->total == before)
    config_check_each (&working, true, &report);
  if (findings->total != before)
    status = status_set (STATUS_INVALID, "the document has %zu findings",
                         findings->total - before);
  else
    status = config_check_transition (in_force, &working);
  working.version = in_force->version;
  if (status == STATUS_OK)
    status = config_rehash (&working);
  if (status == STATUS_OK)
    status = config_copy (merged, &working);
  config_finish (&working);
  return status;
}
