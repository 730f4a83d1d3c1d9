/// Owns no state; the rules of a configuration.
#include "state/config_check.h"

#include "state/config_fields.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct check
{
  const struct config *config;
  const struct config_report *report;
  size_t problems;
};

static void problem (struct check *check, enum config_kind kind, size_t index,
                     const char *field, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

static void
problem (struct check *check, enum config_kind kind, size_t index,
         const char *field, const char *format, ...)
{
  char message[512];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  check->problems++;
  check->report->problem (check->report->arg, kind, index, field, message);
}

static const char *
or_empty (const char *string)
{
  return string == NULL ? "" : string;
}

bool
config_name_valid (const char *name, size_t max)
{
  size_t size = strlen (name);
  return size > 0 && size <= max && name[0] >= 'a' && name[0] <= 'z'
         && strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == size;
}

bool
config_version_valid (const char *version)
{
  size_t size = strlen (version);
  return size > 0 && size <= CONFIG_TARGET_NAME_MAX && version[0] != '.'
         && version[0] != '_' && version[0] != '-'
         && strspn (version, "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == size;
}

/// @return NULL when the prefix is accepted, else what is wrong
static const char *
prefix_problem (const char *prefix)
{
  if (prefix[0] != '/')
    return "must start with '/'";
  if (strlen (prefix) > CONFIG_PREFIX_MAX)
    return "is longer than 255 bytes";
  if (strstr (prefix, "//") != NULL)
    return "contains an empty segment \"//\"";
  for (const char *c = prefix; *c != '\0'; c++)
    if (*c <= ' ' || *c > '~' || strchr ("?#%\"<>\\^`{|}*", *c) != NULL)
      return "contains a character that is not accepted in a path prefix";
  for (const char *segment = prefix; segment != NULL;
       segment = strchr (segment + 1, '/'))
    {
      size_t size = strcspn (segment + 1, "/");
      if ((size == 1 && segment[1] == '.')
          || (size == 2 && segment[1] == '.' && segment[2] == '.'))
        return "contains a segment \".\" or \"..\"";
    }
  return NULL;
}

/// @return true when the text can be printed on one line
static bool
text_valid (const char *text, size_t max)
{
  if (strlen (text) > max)
    return false;
  for (; *text != '\0'; text++)
    if (*text < ' ' || *text > '~')
      return false;
  return true;
}

static void
check_name (struct check *check, enum config_kind kind, size_t index,
            const char *name, size_t max)
{
  if (!config_name_valid (or_empty (name), max))
    problem (check, kind, index, "name",
             "\"%.80s\" is no name: 1 to %zu of a-z, 0-9 and '-', first a "
             "letter",
             or_empty (name), max);
}

static void
check_version (struct check *check, enum config_kind kind, size_t index,
               const char *field, const char *version)
{
  if (!config_version_valid (or_empty (version)))
    problem (check, kind, index, field,
             "\"%.80s\" is no version: 1 to %d letters, digits, '.', '_' and "
             "'-', first a letter or digit",
             or_empty (version), CONFIG_TARGET_NAME_MAX);
}

static const struct config_service *
check_service (struct check *check, enum config_kind kind, size_t index,
               const char *service)
{
  const struct config_service *found
      = config_find_service (check->config, or_empty (service));
  if (found == NULL)
    problem (check, kind, index, "service",
             "service \"%.80s\" is not declared", or_empty (service));
  return found;
}

static void
check_routes (struct check *check)
{
  for (size_t i = 0; i < check->config->route_count; i++)
    {
      const struct config_route *route = &check->config->routes[i];
      check_name (check, CONFIG_ROUTE, i, route->name, CONFIG_NAME_MAX);
      const char *wrong = prefix_problem (or_empty (route->prefix));
      if (wrong != NULL)
        problem (check, CONFIG_ROUTE, i, "prefix", "\"%.80s\" %s",
                 or_empty (route->prefix), wrong);
      check_service (check, CONFIG_ROUTE, i, route->service);
      if (route->timeout_ms < 1 || route->timeout_ms > CONFIG_TIMEOUT_MS_MAX)
        problem (check, CONFIG_ROUTE, i, "timeout_ms",
                 "%u is out of range, 1 to %d ms are accepted",
                 route->timeout_ms, CONFIG_TIMEOUT_MS_MAX);
    }
}

/// Bytes of a prefix without the slash at its end: "/a" and "/a/" match the
/// same paths.
static size_t
prefix_size (const char *prefix)
{
  size_t size = strlen (prefix);
  return size > 0 && prefix[size - 1] == '/' ? size - 1 : size;
}

/// Finds routes with equal prefixes by a table of hashes: config_apply runs
/// this for each version, and the order of the routes is by name.
static void
check_prefixes_differ (struct check *check)
{
  const struct config *config = check->config;
  size_t size = 16;
  while (size < 2 * config->route_count)
    size *= 2;
  /* An entry is the index of a route plus 1; 0 is free. */
  uint32_t *table = calloc (size, sizeof *table);
  if (table == NULL)
    {
      problem (check, CONFIG_ROUTE, SIZE_MAX, NULL, "no memory to check");
      return;
    }
  for (size_t i = 0; i < config->route_count; i++)
    {
      const char *prefix = or_empty (config->routes[i].prefix);
      size_t length = prefix_size (prefix);
      size_t at = hash_place (prefix, length) & (size - 1);
      for (; table[at] != 0; at = (at + 1) & (size - 1))
        {
          const struct config_route *other = &config->routes[table[at] - 1];
          const char *taken = or_empty (other->prefix);
          if (prefix_size (taken) != length
              || memcmp (taken, prefix, length) != 0)
            continue;
          problem (check, CONFIG_ROUTE, i, "prefix",
                   "\"%.80s\" is also the prefix of route \"%.80s\"", prefix,
                   or_empty (other->name));
          break;
        }
      if (table[at] == 0)
        table[at] = (uint32_t)i + 1;
    }
  free (table);
}

/// Checks the rules of a running move; `busy` marks services with one.
static void
check_running (struct check *check, size_t index,
               const struct config_service *service, bool *busy)
{
  const struct config_move *move = &check->config->moves[index];
  size_t at = (size_t)(service - check->config->services);
  if (busy != NULL && busy[at])
    problem (check, CONFIG_MOVE, index, "service",
             "service \"%.80s\" has another running move", service->name);
  if (busy != NULL)
    busy[at] = true;
  if (strcmp (or_empty (move->from), or_empty (service->version)) != 0)
    problem (check, CONFIG_MOVE, index, "from",
             "\"%.80s\" is not the version of service \"%.80s\", which is "
             "\"%.80s\"",
             or_empty (move->from), service->name,
             or_empty (service->version));
}

static void
check_moves (struct check *check, bool moves_resolved)
{
  const struct config *config = check->config;
  bool *busy = calloc (config->service_count + 1, sizeof *busy);
  if (busy == NULL)
    problem (check, CONFIG_MOVE, SIZE_MAX, NULL, "no memory to check");
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      check_name (check, CONFIG_MOVE, i, move->name, CONFIG_NAME_MAX);
      const struct config_service *service
          = check_service (check, CONFIG_MOVE, i, move->service);
      check_version (check, CONFIG_MOVE, i, "from", move->from);
      check_version (check, CONFIG_MOVE, i, "to", move->to);
      if (strcmp (or_empty (move->from), or_empty (move->to)) == 0)
        problem (check, CONFIG_MOVE, i, "to", "is the same version as from");
      if (move->share_bp > CONFIG_SHARE_ALL)
        problem (check, CONFIG_MOVE, i, "share_bp",
                 "%u is above %d basis points", move->share_bp,
                 CONFIG_SHARE_ALL);
      if ((unsigned)move->phase > MOVE_CANCELLED)
        problem (check, CONFIG_MOVE, i, "phase", "is not a phase");
      if (!text_valid (or_empty (move->reason), CONFIG_REASON_MAX))
        problem (check, CONFIG_MOVE, i, "reason",
                 "must be at most %d printable ASCII characters",
                 CONFIG_REASON_MAX);
      if (moves_resolved && service != NULL && move->phase == MOVE_RUNNING)
        check_running (check, i, service, busy);
    }
  free (busy);
}

static void
check_counts (struct check *check)
{
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      const struct config_schema *schema = config_schema (kind);
      size_t count;
      config_items (check->config, kind, &count);
      if (count > schema->count_max)
        problem (check, kind, SIZE_MAX, NULL,
                 "%zu entries, at most %zu are accepted", count,
                 schema->count_max);
    }
}

size_t
config_check_each (const struct config *config, bool moves_resolved,
                   const struct config_report *report)
{
  struct check check = { .config = config, .report = report };
  check_counts (&check);
  for (size_t i = 0; i < config->service_count; i++)
    {
      check_name (&check, CONFIG_SERVICE, i, config->services[i].name,
                  CONFIG_TARGET_NAME_MAX);
      check_version (&check, CONFIG_SERVICE, i, "version",
                     config->services[i].version);
    }
  check_routes (&check);
  check_prefixes_differ (&check);
  check_moves (&check, moves_resolved);
  return check.problems;
}

static void
add_finding (void *arg, enum config_kind kind, size_t index, const char *field,
             const char *message)
{
  char path[64];
  const char *plural = config_schema (kind)->plural;
  if (index == SIZE_MAX)
    snprintf (path, sizeof path, "%s", plural);
  else
    snprintf (path, sizeof path, "%s[%zu]%s%s", plural, index,
              field == NULL ? "" : ".", field == NULL ? "" : field);
  findings_add (arg, 0, 0, path, "%s", message);
}

enum status
config_check (const struct config *config, struct findings *findings)
{
  struct config_report report = { add_finding, findings };
  size_t before = findings->count;
  size_t problems = config_check_each (config, true, &report);
  if (problems == 0)
    return STATUS_OK;
  if (findings->count == before)
    return status_set (STATUS_INVALID, "%zu findings", problems);
  return status_set (STATUS_INVALID, "%s: %s", findings->items[before].path,
                     findings->items[before].message);
}

static bool
same_text (const char *a, const char *b)
{
  return strcmp (or_empty (a), or_empty (b)) == 0;
}

/// Checks one move of the older version against the newer one.
static enum status
check_move_step (const struct config_move *old, const struct config *to)
{
  const struct config_move *new = config_find_move (to, old->name);
  if (new == NULL)
    return old->phase != MOVE_RUNNING
               ? STATUS_OK
               : status_set (STATUS_INVALID, "running move \"%s\" was removed",
                             old->name);
  if (!same_text (old->service, new->service)
      || !same_text (old->from, new->from) || !same_text (old->to, new->to))
    return status_set (STATUS_INVALID,
                       "move \"%s\" changed its service or versions",
                       old->name);
  if (old->phase != MOVE_RUNNING
      && (new->phase != old->phase || new->by_ms != old->by_ms))
    return status_set (STATUS_INVALID,
                       "move \"%s\" is %s and cannot change any more",
                       old->name, move_phase_name (old->phase));
  if (old->phase != MOVE_RUNNING || new->phase != MOVE_DONE)
    return STATUS_OK;
  const struct config_service *service
      = config_find_service (to, new->service);
  if (service == NULL || !same_text (service->version, new->to))
    return status_set (STATUS_INVALID,
                       "move \"%s\" is done, but its service does not run "
                       "\"%s\"",
                       new->name, new->to);
  return STATUS_OK;
}

enum status
config_check_step (const struct config *from, const struct config *to)
{
  for (size_t i = 0; i < from->move_count; i++)
    {
      enum status status = check_move_step (&from->moves[i], to);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}
