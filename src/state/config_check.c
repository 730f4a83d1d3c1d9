/// Validation of configurations.
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

static void report_problem (struct check *check, enum config_kind kind,
                            size_t index, const char *field,
                            const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

static void
report_problem (struct check *check, enum config_kind kind, size_t index,
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
string_or_empty (const char *string)
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

/// @return NULL for a valid path prefix, else what is wrong with it
static const char *
prefix_error (const char *prefix)
{
  if (prefix[0] != '/')
    return "must start with '/'";
  if (strlen (prefix) > CONFIG_PREFIX_MAX)
    return "is longer than 255 bytes";
  if (strstr (prefix, "//") != NULL)
    return "contains an empty segment \"//\"";
  for (const char *c = prefix; *c != '\0'; c++)
    if (*c <= ' ' || *c > '~' || strchr ("?#%\"<>\\^`{|}*", *c) != NULL)
      return "contains a character that is not allowed in a path prefix";
  for (const char *segment = prefix; segment != NULL;
       segment = strchr (segment + 1, '/'))
    {
      size_t size = strcspn (segment + 1, "/");
      if ((size == 1 && segment[1] == '.')
          || (size == 2 && segment[1] == '.' && segment[2] == '.'))
        return "contains a \".\" or \"..\" segment";
    }
  return NULL;
}

/// @return true for printable ASCII of at most `max` bytes
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
  if (!config_name_valid (string_or_empty (name), max))
    report_problem (
        check, kind, index, "name",
        "\"%.80s\" is not a valid name: must be 1 to %zu characters of "
        "a-z, 0-9 and '-', starting with a letter",
        string_or_empty (name), max);
}

static void
check_version (struct check *check, enum config_kind kind, size_t index,
               const char *field, const char *version)
{
  if (!config_version_valid (string_or_empty (version)))
    report_problem (
        check, kind, index, field,
        "\"%.80s\" is not a valid version: must be 1 to %d letters, "
        "digits, '.', '_' and '-', starting with a letter or digit",
        string_or_empty (version), CONFIG_TARGET_NAME_MAX);
}

static const struct config_service *
check_service (struct check *check, enum config_kind kind, size_t index,
               const char *service)
{
  const struct config_service *found
      = config_find_service (check->config, string_or_empty (service));
  if (found == NULL)
    report_problem (check, kind, index, "service",
                    "service \"%.80s\" is not declared",
                    string_or_empty (service));
  return found;
}

static void
check_routes (struct check *check)
{
  for (size_t i = 0; i < check->config->route_count; i++)
    {
      const struct config_route *route = &check->config->routes[i];
      check_name (check, CONFIG_ROUTE, i, route->name, CONFIG_NAME_MAX);
      const char *error = prefix_error (string_or_empty (route->prefix));
      if (error != NULL)
        report_problem (check, CONFIG_ROUTE, i, "prefix", "\"%.80s\" %s",
                        string_or_empty (route->prefix), error);
      check_service (check, CONFIG_ROUTE, i, route->service);
      if (route->timeout_ms < 1 || route->timeout_ms > CONFIG_TIMEOUT_MS_MAX)
        report_problem (check, CONFIG_ROUTE, i, "timeout_ms",
                        "%u ms is out of range: must be from 1 to %d ms",
                        route->timeout_ms, CONFIG_TIMEOUT_MS_MAX);
    }
}

/// @return length of a prefix without a trailing slash: "/a" and "/a/" match
///         the same paths
static size_t
prefix_length (const char *prefix)
{
  size_t size = strlen (prefix);
  return size > 0 && prefix[size - 1] == '/' ? size - 1 : size;
}

/// Finds routes with equal prefixes by means of a hash table. The routes are
/// sorted by name, so comparing neighbours does not find them, and comparing
/// all pairs is too slow for config_apply, which runs this for each version.
static void
check_duplicate_prefixes (struct check *check)
{
  const struct config *config = check->config;
  size_t size = 16;
  while (size < 2 * config->route_count)
    size *= 2;
  /* An entry is the index of a route plus 1; 0 marks a free entry. */
  uint32_t *table = calloc (size, sizeof *table);
  if (table == NULL)
    {
      report_problem (check, CONFIG_ROUTE, SIZE_MAX, NULL,
                      "no memory to check the configuration");
      return;
    }
  for (size_t i = 0; i < config->route_count; i++)
    {
      const char *prefix = string_or_empty (config->routes[i].prefix);
      size_t length = prefix_length (prefix);
      size_t slot = hash_placement (prefix, length) & (size - 1);
      for (; table[slot] != 0; slot = (slot + 1) & (size - 1))
        {
          const struct config_route *other = &config->routes[table[slot] - 1];
          const char *other_prefix = string_or_empty (other->prefix);
          if (prefix_length (other_prefix) != length
              || memcmp (other_prefix, prefix, length) != 0)
            continue;
          report_problem (check, CONFIG_ROUTE, i, "prefix",
                          "\"%.80s\" is also the prefix of route \"%.80s\"",
                          prefix, string_or_empty (other->name));
          break;
        }
      if (table[slot] == 0)
        table[slot] = (uint32_t)i + 1;
    }
  free (table);
}

/// Checks the rules of a running move.
/// @param has_running_move  by index of the service, or NULL without memory;
///                          is updated
static void
check_running (struct check *check, size_t index,
               const struct config_service *service, bool *has_running_move)
{
  const struct config_move *move = &check->config->moves[index];
  size_t service_index = (size_t)(service - check->config->services);
  if (has_running_move != NULL && has_running_move[service_index])
    report_problem (check, CONFIG_MOVE, index, "service",
                    "service \"%.80s\" already has a running move",
                    service->name);
  if (has_running_move != NULL)
    has_running_move[service_index] = true;
  if (strcmp (string_or_empty (move->from), string_or_empty (service->version))
      != 0)
    report_problem (check, CONFIG_MOVE, index, "from",
                    "is \"%.80s\", but the version of service \"%.80s\" is "
                    "\"%.80s\"",
                    string_or_empty (move->from), service->name,
                    string_or_empty (service->version));
}

static void
check_moves (struct check *check, bool moves_resolved)
{
  const struct config *config = check->config;
  bool *has_running_move
      = calloc (config->service_count + 1, sizeof *has_running_move);
  if (has_running_move == NULL)
    report_problem (check, CONFIG_MOVE, SIZE_MAX, NULL,
                    "no memory to check the configuration");
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      check_name (check, CONFIG_MOVE, i, move->name, CONFIG_NAME_MAX);
      const struct config_service *service
          = check_service (check, CONFIG_MOVE, i, move->service);
      check_version (check, CONFIG_MOVE, i, "from", move->from);
      check_version (check, CONFIG_MOVE, i, "to", move->to);
      if (strcmp (string_or_empty (move->from), string_or_empty (move->to))
          == 0)
        report_problem (check, CONFIG_MOVE, i, "to",
                        "must differ from \"from\"");
      if (move->share_bp > CONFIG_SHARE_ALL)
        report_problem (check, CONFIG_MOVE, i, "share_bp",
                        "%u basis points is out of range: at most %d",
                        move->share_bp, CONFIG_SHARE_ALL);
      if ((unsigned)move->phase > MOVE_CANCELLED)
        report_problem (check, CONFIG_MOVE, i, "phase",
                        "is not a valid phase");
      if (!text_valid (string_or_empty (move->reason), CONFIG_REASON_MAX))
        report_problem (check, CONFIG_MOVE, i, "reason",
                        "must be at most %d printable ASCII characters",
                        CONFIG_REASON_MAX);
      if (moves_resolved && service != NULL && move->phase == MOVE_RUNNING)
        check_running (check, i, service, has_running_move);
    }
  free (has_running_move);
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
        report_problem (check, kind, SIZE_MAX, NULL,
                        "has %zu entries, more than the maximum of %zu", count,
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
  check_duplicate_prefixes (&check);
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
    return status_set (STATUS_INVALID, "configuration has %zu problems",
                       problems);
  return status_set (STATUS_INVALID, "%s: %s", findings->items[before].path,
                     findings->items[before].message);
}

static bool
equal_strings (const char *a, const char *b)
{
  return strcmp (string_or_empty (a), string_or_empty (b)) == 0;
}

/// Checks the transition of one move of the older version.
static enum status
check_move_transition (const struct config_move *old, const struct config *to)
{
  const struct config_move *new = config_find_move (to, old->name);
  if (new == NULL)
    return old->phase != MOVE_RUNNING
               ? STATUS_OK
               : status_set (STATUS_INVALID,
                             "move \"%s\" is running and cannot be removed",
                             old->name);
  if (!equal_strings (old->service, new->service)
      || !equal_strings (old->from, new->from)
      || !equal_strings (old->to, new->to))
    return status_set (STATUS_INVALID,
                       "service and versions of move \"%s\" cannot change",
                       old->name);
  if (old->phase != MOVE_RUNNING
      && (new->phase != old->phase || new->by_ms != old->by_ms))
    return status_set (STATUS_INVALID,
                       "move \"%s\" has ended (%s) and cannot change",
                       old->name, move_phase_name (old->phase));
  if (old->phase != MOVE_RUNNING || new->phase != MOVE_DONE)
    return STATUS_OK;
  const struct config_service *service
      = config_find_service (to, new->service);
  if (service == NULL || !equal_strings (service->version, new->to))
    return status_set (STATUS_INVALID,
                       "move \"%s\" is done, but the version of its service "
                       "is not \"%s\"",
                       new->name, new->to);
  return STATUS_OK;
}

enum status
config_check_transition (const struct config *from, const struct config *to)
{
  for (size_t i = 0; i < from->move_count; i++)
    {
      enum status status = check_move_transition (&from->moves[i], to);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}
