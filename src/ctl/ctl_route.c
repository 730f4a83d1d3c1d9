/// The command route: asks a sidecar where it would send a request, and prints
/// its answer as a table. Keeps no state.
#include "ctl/ctl.h"

#include "protocol/explain_query.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_int_t
get_integer (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static bool
is_true (const json_t *object, const char *name)
{
  return json_is_true (json_object_get (object, name));
}

/// @return a time of an object in milliseconds
static double
get_ms (const json_t *object, const char *name)
{
  return (double)get_integer (object, name) / 1000;
}

static void
print_view (const json_t *view)
{
  const json_t *age = json_object_get (view, "view_age_ms");
  printf ("view      of %s in %s: configuration %s, ",
          ctl_string (view, "node"), ctl_string (view, "zone"),
          ctl_string (view, "config_version"));
  if (json_is_integer (age))
    printf ("compared with the store %lld ms ago",
            (long long)json_integer_value (age));
  else
    printf ("not yet compared with the store");
  printf ("%s%s\n", is_true (view, "view_current") ? "" : ", may be old",
          is_true (view, "stopping") ? ", stopping" : "");
}

static void
print_route (const json_t *route, const char *service)
{
  printf ("route     %s (%s%s): %s, time-out %lld ms, objective %lld ms of "
          "which %lld are left, up to %lld attempts\n"
          "service   %s\n",
          ctl_string (route, "name"), ctl_string (route, "host"),
          ctl_string (route, "prefix"), ctl_string (route, "type"),
          (long long)get_integer (route, "timeout_ms"),
          (long long)get_integer (route, "objective_ms"),
          (long long)get_integer (route, "objective_left_ms"),
          (long long)get_integer (route, "attempts_max"), service);
}

static void
print_version (const json_t *version)
{
  const json_t *move = json_object_get (version, "move");
  const char *name = ctl_string (version, "name");
  printf ("version   %s%s", is_true (version, "excluded") ? "any but " : "",
          name[0] == '\0' ? "any" : name);
  if (json_is_object (move))
    printf (" (move to %s is %s, share %.2f%%)", ctl_string (move, "to"),
            ctl_string (move, "phase"),
            (double)get_integer (move, "share_bp") / 100);
  putchar ('\n');
}

static void
print_rank (const json_t *rank)
{
  const json_t *of_account = json_object_get (rank, "account_priority");
  printf ("rank      %lld from %s: route priority %lld",
          (long long)get_integer (rank, "value"), ctl_string (rank, "from"),
          (long long)get_integer (rank, "route_priority"));
  if (json_is_integer (of_account))
    printf (", account priority %lld",
            (long long)json_integer_value (of_account));
  putchar ('\n');
}

static void
print_account (const json_t *account)
{
  if (!json_is_object (account))
    return;
  const json_t *quota = json_object_get (account, "quota");
  printf ("account   %s", ctl_string (account, "name"));
  if (json_is_object (quota))
    printf (
        ": %g per second, burst %g, decided by %s; here %lld offered, %lld "
        "admitted, %lld over the quota",
        json_number_value (json_object_get (quota, "rate_per_s")),
        json_number_value (json_object_get (quota, "burst")),
        ctl_string (quota, "owner")[0] == '\0' ? "no node"
                                               : ctl_string (quota, "owner"),
        (long long)get_integer (quota, "offered"),
        (long long)get_integer (quota, "admitted"),
        (long long)get_integer (quota, "over_quota"));
  else
    printf (": no quota");
  putchar ('\n');
}

static void
print_own_target (const json_t *target)
{
  const char *reason = ctl_string (target, "reason");
  printf ("target    beside this node (%s): %s%s%s; by %s, %lld of %lld slots "
          "in use, %lld waiting",
          ctl_string (target, "service"), ctl_string (target, "result"),
          reason[0] == '\0' ? "" : ", ", reason, ctl_string (target, "policy"),
          (long long)get_integer (target, "running"),
          (long long)get_integer (target, "slots"),
          (long long)get_integer (target, "waiting"));
  if (json_object_get (target, "expected_wait_us") != NULL)
    printf (", expected wait %.1f ms, service %.1f ms",
            get_ms (target, "expected_wait_us"),
            get_ms (target, "expected_service_us"));
  putchar ('\n');
}

static void
print_result (const json_t *value)
{
  const json_t *placement = json_object_get (value, "placement");
  const json_t *compared = json_object_get (placement, "compared");
  const char *best = ctl_string (placement, "best");
  printf ("result    %s%s%s, compared:", ctl_string (value, "result"),
          best[0] == '\0' ? "" : " to ", best);
  for (size_t i = 0; i < json_array_size (compared); i++)
    printf (" %s", json_string_value (json_array_get (compared, i)));
  printf ("%s%s\n", json_array_size (compared) == 0 ? " none" : "",
          is_true (placement, "with_failed") ? " (all of them failed recently)"
                                             : "");
}

static void
print_node (const json_t *node)
{
  const json_t *report = json_object_get (node, "report");
  const json_t *estimate = json_object_get (node, "estimate");
  const char *reason = ctl_string (node, "reason");
  printf ("%-20s %-10s %-10s", ctl_string (node, "node"),
          ctl_string (node, "zone"), ctl_string (node, "version"));
  if (json_is_object (report))
    printf (" %7lld %4lld %4lld", (long long)get_integer (report, "age_ms"),
            (long long)get_integer (report, "running"),
            (long long)get_integer (report, "waiting"));
  else
    printf (" %7s %4s %4s", "-", "-", "-");
  if (json_is_object (estimate))
    printf (" %8.1f %7.1f %7.1f %7.1f %8.1f %8.1f",
            get_ms (estimate, "service_us"), get_ms (estimate, "queue_us"),
            get_ms (estimate, "zone_us"), get_ms (estimate, "body_us"),
            get_ms (estimate, "failure_us"), get_ms (estimate, "total_us"));
  else
    printf (" %8s %7s %7s %7s %8s %8s", "-", "-", "-", "-", "-", "-");
  printf ("  %s%s%s\n",
          is_true (node, "best")       ? "best"
          : is_true (node, "compared") ? "compared"
                                       : "",
          is_true (node, "compared") && reason[0] != '\0' ? ", " : "", reason);
}

static void
print_answer (const json_t *value)
{
  const json_t *nodes = json_object_get (value, "nodes");
  print_view (json_object_get (value, "view"));
  print_route (json_object_get (value, "route"),
               ctl_string (value, "service"));
  print_version (json_object_get (value, "version"));
  print_rank (json_object_get (value, "rank"));
  print_account (json_object_get (value, "account"));
  printf ("retry     the budget %s another attempt\n",
          is_true (json_object_get (value, "retry"), "budget_allows")
              ? "allows"
              : "does not allow");
  print_own_target (json_object_get (value, "own_target"));
  print_result (value);
  printf ("\n%-20s %-10s %-10s %7s %4s %4s %8s %7s %7s %7s %8s %8s  %s\n",
          "NODE", "ZONE", "VERSION", "AGE_MS", "RUN", "WAIT", "SERVICE",
          "QUEUE", "FAR", "BODY", "FAILURES", "TOTAL_MS", "NOTE");
  for (size_t i = 0; i < json_array_size (nodes); i++)
    print_node (json_array_get (nodes, i));
  if (get_integer (value, "nodes_omitted") > 0)
    printf ("%lld further nodes are not listed\n",
            (long long)get_integer (value, "nodes_omitted"));
}

int
ctl_route (const struct ctl *ctl)
{
  struct explain_query query
      = { .body_bytes = ctl->body_bytes, .deadline_ms = ctl->deadline_ms };
  const struct
  {
    const char *value;
    char *text;
    size_t room;
  } texts[] = {
    { ctl->arguments[0], query.host, sizeof query.host },
    { ctl->arguments[1], query.path, sizeof query.path },
    { ctl->account, query.account, sizeof query.account },
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      if (strlen (texts[i].value) >= texts[i].room)
        {
          fputs ("hawthornseam-ctl: a value is too long\n", stderr);
          return CTL_USAGE;
        }
      strcpy (texts[i].text, texts[i].value);
    }
  char path[EXPLAIN_QUERY_MAX];
  struct ctl_response response = { 0 };
  explain_query_write (&query, path);
  if (ctl_request (ctl, "GET", path, NULL, NULL, 0, &response) != STATUS_OK)
    {
      fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
      return CTL_FAILED;
    }
  int code = response.code == 200 ? CTL_OK : CTL_FAILED;
  json_t *value = json_loadb (response.body, response.size, 0, NULL);
  if (value == NULL)
    {
      fprintf (stderr, "hawthornseam-ctl: the reply is not JSON (%d)\n",
               response.code);
      code = CTL_FAILED;
    }
  else if (ctl->json)
    puts (response.body);
  else if (code != CTL_OK)
    ctl_print_error (ctl, &response, NULL);
  else
    print_answer (value);
  json_decref (value);
  ctl_response_free (&response);
  return code;
}
