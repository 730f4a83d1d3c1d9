/// Owns no state; commands that change the mesh: apply, rollback, move cancel.
#include "ctl/ctl.h"

#include "base/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/// A change is asked again with the same nonce for this time, so that it takes
/// effect once whatever answers are lost.
#define RETRY_MS 20000
#define RETRY_US 500000
/// After a conflict: the node has the newest version within milliseconds.
#define CONFLICT_US 50000
#define POLL_US 200000
/// A node holds a version that it published after another node has recorded
/// its floor; a command that follows should see it.
#define AWAIT_MS 2000
#define AWAIT_POLL_US 20000

/// @return true when the same request may have another result later. Steps of
/// moves make new versions all the time; without --base a change that met one
/// is simply based on the newest version.
static bool
worth_retry (enum status status, const struct ctl_answer *answer)
{
  if (status != STATUS_OK || answer->code == 200)
    return status == STATUS_UNKNOWN;
  json_t *value = json_loadb (answer->body, answer->size, 0, NULL);
  bool retry = json_is_true (json_object_get (value, "retry"));
  json_decref (value);
  return retry;
}

/// Sends a change until its result is definite.
/// @return the answer as JSON, or NULL after a message
static json_t *
send_change (const struct ctl *ctl, const char *path, const char *file,
             const char *body, size_t size)
{
  char nonce[17];
  snprintf (nonce, sizeof nonce, "%016llx", (unsigned long long)ctl->nonce);
  const char *headers[]
      = { "Hawthornseam-Author",
          ctl->author,
          "Hawthornseam-Nonce",
          nonce,
          "Hawthornseam-Note",
          ctl->note,
          ctl->base == NULL ? NULL : "Hawthornseam-Base-Version",
          ctl->base,
          NULL };
  struct ctl_answer answer = { 0 };
  enum status status = STATUS_UNKNOWN;
  uint64_t end = clock_monotonic_ms () + RETRY_MS;
  bool unknown = false;
  for (;;)
    {
      ctl_answer_free (&answer);
      status = ctl_request (ctl, "POST", path, headers, body, size, &answer);
      unknown = status == STATUS_UNKNOWN || answer.code == 504;
      if (!worth_retry (status, &answer) || clock_monotonic_ms () >= end)
        break;
      usleep (answer.code == 409 ? CONFLICT_US : RETRY_US);
    }
  json_t *value = NULL;
  if (status != STATUS_OK)
    fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
  else if (answer.code != 200)
    ctl_print_error (ctl, &answer, file);
  else
    {
      value = json_loadb (answer.body, answer.size, 0, NULL);
      if (value == NULL)
        fputs ("hawthornseam-ctl: the answer is no JSON\n", stderr);
    }
  if (unknown)
    fprintf (stderr,
             "hawthornseam-ctl: the result is unknown, ask again with "
             "--nonce %s\n",
             nonce);
  ctl_answer_free (&answer);
  return value;
}

/// Waits briefly until the node has a version in force.
static void
await_version (const struct ctl *ctl, const json_t *change)
{
  json_int_t version
      = json_integer_value (json_object_get (change, "version"));
  uint64_t end = clock_monotonic_ms () + AWAIT_MS;
  for (;;)
    {
      json_t *value = ctl_get_json (ctl, "/moves");
      bool held = value == NULL
                  || json_integer_value (json_object_get (value, "version"))
                         >= version;
      json_decref (value);
      if (held || clock_monotonic_ms () >= end)
        return;
      usleep (AWAIT_POLL_US);
    }
}

static void
print_change (const struct ctl *ctl, const json_t *value)
{
  if (ctl->json)
    {
      ctl_print_json (value);
      return;
    }
  const json_t *lines = json_object_get (value, "changes");
  for (size_t i = 0; i < json_array_size (lines); i++)
    puts (json_string_value (json_array_get (lines, i)));
  printf ("version %lld %s\n",
          (long long)json_integer_value (json_object_get (value, "version")),
          json_is_true (json_object_get (value, "changed")) ? "accepted"
                                                            : "unchanged");
}

/// @return true when a line of changes adds the move
static bool
added_by (const json_t *lines, const char *move)
{
  char start[96];
  snprintf (start, sizeof start, "+ move %.80s ", move);
  for (size_t i = 0; i < json_array_size (lines); i++)
    {
      const char *line = json_string_value (json_array_get (lines, i));
      if (line != NULL && strncmp (line, start, strlen (start)) == 0)
        return true;
    }
  return false;
}

/// @return true when the node and all zones that it can reach and that have
/// reported hold a version
static bool
in_force (const json_t *status, json_int_t version)
{
  const json_t *zones = json_object_get (status, "zones");
  if (json_integer_value (json_object_get (status, "version")) < version)
    return false;
  for (size_t i = 0; i < json_array_size (zones); i++)
    {
      const json_t *zone = json_array_get (zones, i);
      if (json_is_true (json_object_get (zone, "reachable"))
          && json_is_true (json_object_get (zone, "reported"))
          && json_integer_value (json_object_get (zone, "lowest_version"))
                 < version)
        return false;
    }
  return true;
}

/// Looks once whether the version is in force and its new moves have ended.
/// @return CTL_OK, CTL_FAILED, or -1 to look again
static int
look (const struct ctl *ctl, const json_t *change)
{
  json_t *value = ctl_get_json (ctl, "/status");
  json_int_t version
      = json_integer_value (json_object_get (change, "version"));
  int result = value == NULL || !in_force (value, version) ? -1 : CTL_OK;
  const json_t *moves = json_object_get (value, "moves");
  for (size_t i = 0; result != -1 && i < json_array_size (moves); i++)
    {
      const json_t *move = json_array_get (moves, i);
      const char *phase = ctl_string (move, "phase");
      if (!added_by (json_object_get (change, "changes"),
                     ctl_string (move, "name")))
        continue;
      if (strcmp (phase, "running") == 0)
        result = -1;
      else if (strcmp (phase, "done") != 0)
        result = CTL_FAILED;
    }
  if (result != -1 && ctl->json)
    ctl_print_json (value);
  for (size_t i = 0; result != -1 && !ctl->json && i < json_array_size (moves);
       i++)
    {
      const json_t *move = json_array_get (moves, i);
      if (added_by (json_object_get (change, "changes"),
                    ctl_string (move, "name")))
        printf ("move %s: %s %s\n", ctl_string (move, "name"),
                ctl_string (move, "phase"), ctl_string (move, "reason"));
    }
  json_decref (value);
  return result;
}

static int
wait_change (const struct ctl *ctl, const json_t *change)
{
  uint64_t end = clock_monotonic_ms () + (uint64_t)ctl->timeout_s * 1000;
  for (;;)
    {
      bool last = clock_monotonic_ms () >= end;
      int result = look (ctl, change);
      if (result != -1)
        return result;
      if (last)
        {
          fprintf (stderr, "hawthornseam-ctl: not ended after %d s\n",
                   ctl->timeout_s);
          return CTL_FAILED;
        }
      usleep (POLL_US);
    }
}

int
ctl_apply (const struct ctl *ctl)
{
  size_t size;
  char *body = ctl_read_file (ctl->arguments[0], &size);
  if (body == NULL)
    return CTL_FAILED;
  json_t *value
      = send_change (ctl, "/config/apply", ctl->arguments[0], body, size);
  free (body);
  if (value == NULL)
    return CTL_FAILED;
  print_change (ctl, value);
  await_version (ctl, value);
  int code = ctl->wait ? wait_change (ctl, value) : CTL_OK;
  json_decref (value);
  return code;
}

static int
change_without_body (const struct ctl *ctl, const char *path)
{
  json_t *value = send_change (ctl, path, NULL, NULL, 0);
  if (value == NULL)
    return CTL_FAILED;
  print_change (ctl, value);
  await_version (ctl, value);
  json_decref (value);
  return CTL_OK;
}

int
ctl_rollback (const struct ctl *ctl)
{
  char path[64];
  const char *version = ctl->arguments[0];
  if (strlen (version) > 16
      || strspn (version, "0123456789") != strlen (version))
    {
      fputs ("hawthornseam-ctl: VERSION must be a number\n", stderr);
      return CTL_USAGE;
    }
  snprintf (path, sizeof path, "/rollback?version=%s", version);
  return change_without_body (ctl, path);
}

int
ctl_move_cancel (const struct ctl *ctl)
{
  char path[96];
  const char *name = ctl->arguments[0];
  if (name[0] == '\0' || strlen (name) > 63
      || strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-")
             != strlen (name))
    {
      fputs ("hawthornseam-ctl: NAME is no name of a move\n", stderr);
      return CTL_USAGE;
    }
  snprintf (path, sizeof path, "/moves/%s/cancel", name);
  return change_without_body (ctl, path);
}
