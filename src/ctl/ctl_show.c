/// Commands that only read: validate, diff, get, history, audit, status and
/// move status. Keeps no state.
#include "ctl/ctl.h"

#include "protocol/declaration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// @return an integer member of an object, 0 when it is absent
static json_int_t
get_integer (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static void
print_findings_json (const struct findings *findings)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const struct finding *finding = &findings->items[i];
      json_t *message = json_string (finding->message);
      json_array_append_new (
          list,
          json_pack ("{s:i, s:i, s:s?, s:o}", "line", finding->line, "column",
                     finding->column, "path", finding->path, "message",
                     message == NULL ? json_string ("?") : message));
    }
  json_t *value
      = json_pack ("{s:s, s:o}", "status",
                   findings->total == 0 ? "ok" : "invalid", "findings", list);
  ctl_print_json (value);
  json_decref (value);
}

int
ctl_validate (const struct ctl *ctl)
{
  const char *file = ctl->arguments[0];
  struct declaration declaration;
  struct findings findings;
  size_t size;
  char *yaml = ctl_read_file (file, &size);
  if (yaml == NULL)
    return CTL_FAILED;
  findings_init (&findings, file);
  enum status status = declaration_parse (&declaration, yaml, size, &findings);
  if (ctl->json)
    print_findings_json (&findings);
  else if (status != STATUS_OK)
    findings_print (&findings, stderr);
  else
    printf ("%s: ok, %zu services, %zu routes, %zu moves\n", file,
            declaration.config.service_count, declaration.config.route_count,
            declaration.config.move_count);
  if (status == STATUS_OK)
    declaration_finish (&declaration);
  findings_finish (&findings);
  free (yaml);
  return status == STATUS_OK ? CTL_OK : CTL_FAILED;
}

int
ctl_diff (const struct ctl *ctl)
{
  struct ctl_response response = { 0 };
  size_t size;
  char *yaml = ctl_read_file (ctl->arguments[0], &size);
  if (yaml == NULL)
    return CTL_FAILED;
  enum status status = ctl_request (ctl, "POST", "/config/validate", NULL,
                                    yaml, size, &response);
  free (yaml);
  if (status != STATUS_OK)
    {
      fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
      return CTL_FAILED;
    }
  if (response.code != 200)
    ctl_print_error (ctl, &response, ctl->arguments[0]);
  else if (ctl->json)
    puts (response.body);
  else
    {
      json_t *value = json_loadb (response.body, response.size, 0, NULL);
      const json_t *lines = json_object_get (value, "changes");
      for (size_t i = 0; i < json_array_size (lines); i++)
        puts (json_string_value (json_array_get (lines, i)));
      printf ("%zu changes to version %lld\n", json_array_size (lines),
              (long long)get_integer (value, "version"));
      json_decref (value);
    }
  int code = response.code == 200 ? CTL_OK : CTL_FAILED;
  ctl_response_free (&response);
  return code;
}

int
ctl_get (const struct ctl *ctl)
{
  struct ctl_response response = { 0 };
  if (ctl_request (ctl, "GET", ctl->json ? "/config/json" : "/config", NULL,
                   NULL, 0, &response)
      != STATUS_OK)
    {
      fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
      return CTL_FAILED;
    }
  int code = response.code == 200 ? CTL_OK : CTL_FAILED;
  if (code == CTL_OK)
    fwrite (response.body, 1, response.size, stdout);
  else
    ctl_print_error (ctl, &response, NULL);
  ctl_response_free (&response);
  return code;
}

static int
show_history (const struct ctl *ctl, bool changes)
{
  char path[48];
  snprintf (path, sizeof path, "/history?count=%d", ctl->count);
  json_t *value = ctl_get_json (ctl, path);
  if (value == NULL)
    return CTL_FAILED;
  if (ctl->json)
    ctl_print_json (value);
  const json_t *records = json_object_get (value, "records");
  for (size_t i = 0; !ctl->json && i < json_array_size (records); i++)
    {
      const json_t *record = json_array_get (records, i);
      const json_t *lines = json_object_get (record, "changes");
      printf ("%lld %s %s base=%lld changes=%zu %s\n",
              (long long)get_integer (record, "version"),
              ctl_string (record, "time"), ctl_string (record, "author"),
              (long long)get_integer (record, "base_version"),
              json_array_size (lines), ctl_string (record, "note"));
      if (changes)
        printf ("    nonce=%s hash=%s\n", ctl_string (record, "nonce"),
                ctl_string (record, "hash"));
      for (size_t j = 0; changes && j < json_array_size (lines); j++)
        printf ("    %s\n", json_string_value (json_array_get (lines, j)));
    }
  if (!ctl->json && !json_is_true (json_object_get (value, "complete")))
    puts ("older versions have been deleted");
  json_decref (value);
  return CTL_OK;
}

int
ctl_history (const struct ctl *ctl)
{
  return show_history (ctl, false);
}

int
ctl_audit (const struct ctl *ctl)
{
  return show_history (ctl, true);
}

static void
print_move (const json_t *move)
{
  long long share = (long long)get_integer (move, "share_bp");
  printf ("move %s: %s %s -> %s by %s, %s, share %lld.%02lld%%, step %lld%s%s"
          "\n",
          ctl_string (move, "name"), ctl_string (move, "service"),
          ctl_string (move, "from"), ctl_string (move, "to"),
          ctl_string (move, "by"), ctl_string (move, "phase"), share / 100,
          share % 100, (long long)get_integer (move, "step"),
          ctl_string (move, "reason")[0] == '\0' ? "" : ": ",
          ctl_string (move, "reason"));
}

/// Prints an object of objects of numbers, one line per outer member:
/// "LABEL ROW: COLUMN=NUMBER ...".
static void
print_table (const char *label, const json_t *table)
{
  json_t *rows = (json_t *)table;
  for (void *row = json_object_iter (rows); row != NULL;
       row = json_object_iter_next (rows, row))
    {
      json_t *columns = json_object_iter_value (row);
      printf ("%s %s:", label, json_object_iter_key (row));
      for (void *column = json_object_iter (columns); column != NULL;
           column = json_object_iter_next (columns, column))
        printf (
            " %s=%lld", json_object_iter_key (column),
            (long long)json_integer_value (json_object_iter_value (column)));
      putchar ('\n');
    }
}

/// Prints the members, the reported versions and the lagging members of each
/// zone.
static void
print_zones (const json_t *zones)
{
  for (size_t i = 0; i < json_array_size (zones); i++)
    {
      const json_t *zone = json_array_get (zones, i);
      const json_t *lagging = json_object_get (zone, "lagging");
      printf ("zone %s: %lld members", ctl_string (zone, "name"),
              (long long)get_integer (zone, "members"));
      if (!json_is_true (json_object_get (zone, "reachable")))
        printf (", unreachable");
      if (json_is_true (json_object_get (zone, "reported")))
        printf (", %lld report version %lld or later",
                (long long)get_integer (zone, "reporting"),
                (long long)get_integer (zone, "lowest_version"));
      for (size_t j = 0; j < json_array_size (lagging); j++)
        printf ("%s%s", j == 0 ? ", behind: " : " ",
                json_string_value (json_array_get (lagging, j)));
      putchar ('\n');
    }
}

int
ctl_status (const struct ctl *ctl)
{
  json_t *value = ctl_get_json (ctl, "/status");
  if (value == NULL)
    return CTL_FAILED;
  if (ctl->json)
    {
      ctl_print_json (value);
      json_decref (value);
      return CTL_OK;
    }
  printf ("mesh %s: version %lld, %lld routes%s\n", ctl_string (value, "mesh"),
          (long long)get_integer (value, "version"),
          (long long)get_integer (value, "routes"),
          json_is_true (json_object_get (value, "ready"))
              ? ""
              : ", node not ready");
  json_t *services = json_object_get (value, "services");
  for (void *row = json_object_iter (services); row != NULL;
       row = json_object_iter_next (services, row))
    printf ("service %s: version %s\n", json_object_iter_key (row),
            json_string_value (json_object_iter_value (row)));
  print_table ("ready targets of", json_object_get (value, "targets"));
  print_table ("members in", json_object_get (value, "members"));
  print_zones (json_object_get (value, "zones"));
  const json_t *moves = json_object_get (value, "moves");
  for (size_t i = 0; i < json_array_size (moves); i++)
    print_move (json_array_get (moves, i));
  json_decref (value);
  return CTL_OK;
}

int
ctl_move_status (const struct ctl *ctl)
{
  json_t *value = ctl_get_json (ctl, "/moves");
  if (value == NULL)
    return CTL_FAILED;
  const char *name_filter = ctl->argument_count > 0 ? ctl->arguments[0] : NULL;
  const json_t *moves = json_object_get (value, "moves");
  size_t shown = 0;
  for (size_t i = 0; i < json_array_size (moves); i++)
    {
      const json_t *move = json_array_get (moves, i);
      if (name_filter != NULL
          && strcmp (name_filter, ctl_string (move, "name")) != 0)
        continue;
      shown++;
      if (!ctl->json)
        print_move (move);
      else if (name_filter != NULL)
        ctl_print_json (move);
    }
  if (ctl->json && name_filter == NULL)
    ctl_print_json (value);
  if (name_filter != NULL && shown == 0)
    fprintf (stderr, "hawthornseam-ctl: no move \"%s\"\n", name_filter);
  json_decref (value);
  return name_filter != NULL && shown == 0 ? CTL_FAILED : CTL_OK;
}
