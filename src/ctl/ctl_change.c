/// Commands that change the mesh: apply, rollback and move cancel. Keeps no
/// state.
#include "ctl/ctl.h"

#include "base/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/// A change is retried with the same nonce until this time is over. The nonce
/// makes it take effect only once even if responses are lost.
#define RETRY_TIMEOUT_MS 20000
#define RETRY_INTERVAL_US 500000
/// Retry interval after a conflict. It can be short: the node receives the
/// newest version within milliseconds.
#define CONFLICT_RETRY_INTERVAL_US 50000
/// Interval at which --wait polls the status.
#define STATUS_POLL_INTERVAL_US 200000
/// A node puts the version that it published in force only after another node
/// has recorded that version for its slot. The command waits for that, so that
/// the next command sees the change.
#define IN_FORCE_TIMEOUT_MS 2000
#define IN_FORCE_POLL_INTERVAL_US 20000

/// @return true when the same request may succeed later. The steps of moves
/// create versions all the time; a change without --base that conflicted with
/// one is retried on top of the newest version.
static bool
should_retry (enum status status, const struct ctl_response *response)
{
  if (status != STATUS_OK || response->code == 200)
    return status == STATUS_UNKNOWN;
  json_t *value = json_loadb (response->body, response->size, 0, NULL);
  bool retry = json_is_true (json_object_get (value, "retry"));
  json_decref (value);
  return retry;
}

/// Sends a change, with retries until the result is known.
/// @return the JSON of the response; NULL after an error, which has been
///         printed
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
  struct ctl_response response = { 0 };
  enum status status = STATUS_UNKNOWN;
  uint64_t deadline_ms = clock_monotonic_ms () + RETRY_TIMEOUT_MS;
  bool result_unknown = false;
  for (;;)
    {
      ctl_response_free (&response);
      status = ctl_request (ctl, "POST", path, headers, body, size, &response);
      result_unknown = status == STATUS_UNKNOWN || response.code == 504;
      if (!should_retry (status, &response)
          || clock_monotonic_ms () >= deadline_ms)
        break;
      usleep (response.code == 409 ? CONFLICT_RETRY_INTERVAL_US
                                   : RETRY_INTERVAL_US);
    }
  json_t *value = NULL;
  if (status != STATUS_OK)
    fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
  else if (response.code != 200)
    ctl_print_error (ctl, &response, file);
  else
    {
      value = json_loadb (response.body, response.size, 0, NULL);
      if (value == NULL)
        fputs ("hawthornseam-ctl: the reply is not JSON\n", stderr);
    }
  if (result_unknown)
    fprintf (stderr,
             "hawthornseam-ctl: the result is unknown; to retry safely, "
             "repeat the command with --nonce %s\n",
             nonce);
  ctl_response_free (&response);
  return value;
}

/// Waits until the node has the version of a change in force, or for
/// IN_FORCE_TIMEOUT_MS.
static void
wait_until_in_force (const struct ctl *ctl, const json_t *change)
{
  json_int_t version
      = json_integer_value (json_object_get (change, "version"));
  uint64_t deadline_ms = clock_monotonic_ms () + IN_FORCE_TIMEOUT_MS;
  for (;;)
    {
      json_t *value = ctl_get_json (ctl, "/moves");
      bool current = value == NULL
                     || json_integer_value (json_object_get (value, "version"))
                            >= version;
      json_decref (value);
      if (current || clock_monotonic_ms () >= deadline_ms)
        return;
      usleep (IN_FORCE_POLL_INTERVAL_US);
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
  const json_t *changes = json_object_get (value, "changes");
  for (size_t i = 0; i < json_array_size (changes); i++)
    puts (json_string_value (json_array_get (changes, i)));
  printf ("version %lld %s\n",
          (long long)json_integer_value (json_object_get (value, "version")),
          json_is_true (json_object_get (value, "changed")) ? "accepted"
                                                            : "unchanged");
}

/// @return true when one of the lines adds the move
static bool
adds_move (const json_t *changes, const char *move)
{
  char prefix[96];
  snprintf (prefix, sizeof prefix, "+ move %.80s ", move);
  for (size_t i = 0; i < json_array_size (changes); i++)
    {
      const char *line = json_string_value (json_array_get (changes, i));
      if (line != NULL && strncmp (line, prefix, strlen (prefix)) == 0)
        return true;
    }
  return false;
}

/// @return true when the version is in force at the node and in all zones that
/// are reachable and have reported
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

/// Checks once whether the version of a change is in force and the moves that
/// it added have ended; prints the result if so.
/// @return CTL_OK; CTL_FAILED when one of these moves did not complete; -1 to
///         check again later
static int
check_progress (const struct ctl *ctl, const json_t *change)
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
      if (!adds_move (json_object_get (change, "changes"),
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
      if (adds_move (json_object_get (change, "changes"),
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
  uint64_t deadline_ms
      = clock_monotonic_ms () + (uint64_t)ctl->timeout_s * 1000;
  for (;;)
    {
      bool timed_out = clock_monotonic_ms () >= deadline_ms;
      int result = check_progress (ctl, change);
      if (result != -1)
        return result;
      if (timed_out)
        {
          fprintf (
              stderr,
              "hawthornseam-ctl: the change is not in force everywhere, or "
              "its moves have not ended, after %d s\n",
              ctl->timeout_s);
          return CTL_FAILED;
        }
      usleep (STATUS_POLL_INTERVAL_US);
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
  wait_until_in_force (ctl, value);
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
  wait_until_in_force (ctl, value);
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
      fputs ("hawthornseam-ctl: NAME is not a move's name\n", stderr);
      return CTL_USAGE;
    }
  snprintf (path, sizeof path, "/moves/%s/cancel", name);
  return change_without_body (ctl, path);
}
