/// Entry point of hawthornseam-ctl: parses the command line and runs the
/// command.
#include "ctl/ctl.h"

#include "base/rng.h"
#include "protocol/explain_query.h"

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VERSION "1.0.0"
#define NODE_DEFAULT "127.0.0.1:7002"
#define ARGUMENTS_MAX 4

struct command
{
  const char *name;
  const char *second; ///< second word, NULL without one
  int min_arguments;  ///< number of arguments after the command words
  int max_arguments;
  int (*run) (const struct ctl *ctl);
  const char *help;
};

static const struct command commands[] = {
  { "validate", NULL, 1, 1, ctl_validate, "FILE  check a document offline" },
  { "diff", NULL, 1, 1, ctl_diff, "FILE  show what an apply would change" },
  { "apply", NULL, 1, 1, ctl_apply,
    "FILE  put a document in force; --wait: wait for its moves to end" },
  { "get", NULL, 0, 0, ctl_get, "print the document in force" },
  { "history", NULL, 0, 0, ctl_history, "list versions, the newest first" },
  { "audit", NULL, 0, 0, ctl_audit, "list versions with their changes" },
  { "rollback", NULL, 1, 1, ctl_rollback,
    "VERSION  restore the services and routes of a version" },
  { "status", NULL, 0, 0, ctl_status, "show the mesh as the node sees it" },
  { "move", "status", 0, 1, ctl_move_status, "[NAME]  show moves" },
  { "move", "cancel", 1, 1, ctl_move_cancel, "NAME  end a running move" },
  { "route", NULL, 2, 2, ctl_route,
    "HOST PATH --sidecar=host:port  show where a sidecar would send a "
    "request" },
};

static struct arg_str *node_option, *author_option, *note_option,
    *nonce_option, *base_option, *sidecar_option, *account_option,
    *body_option, *words;
static struct arg_int *timeout_option, *count_option, *deadline_option;
static struct arg_lit *json_option, *wait_option, *help_option,
    *version_option;
static struct arg_end *end;

static void
print_help (void **table)
{
  fputs ("Usage: hawthornseam-ctl", stdout);
  arg_print_syntax (stdout, table, "\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    printf ("  %s%s%s %s\n", commands[i].name,
            commands[i].second == NULL ? "" : " ",
            commands[i].second == NULL ? "" : commands[i].second,
            commands[i].help);
  fputs ("\nOptions:\n", stdout);
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  fputs ("\nExit codes: 0 ok, 1 refused or failed, 2 usage.\n", stdout);
}

static int
usage_error (const char *message, const char *detail)
{
  fprintf (stderr, "hawthornseam-ctl: %s%s; see --help\n", message, detail);
  return CTL_USAGE;
}

/// Parses "host:port".
/// @param host  set to the host, NUL-terminated
/// @return false when the value has another form
static bool
parse_node (const char *value, char host[256], uint16_t *port)
{
  const char *colon = strrchr (value, ':');
  if (colon == NULL || colon == value || colon - value > 255)
    return false;
  size_t digits = strspn (colon + 1, "0123456789");
  unsigned long number = strtoul (colon + 1, NULL, 10);
  if (digits == 0 || digits > 5 || colon[1 + digits] != '\0' || number < 1
      || number > 65535)
    return false;
  memcpy (host, value, (size_t)(colon - value));
  host[colon - value] = '\0';
  *port = (uint16_t)number;
  return true;
}

/// @return the user name from $USER or $LOGNAME, else "uid-" and the user id
static const char *
default_author (void)
{
  static char uid_name[32];
  const char *user = getenv ("USER");
  if (user == NULL || user[0] == '\0')
    user = getenv ("LOGNAME");
  if (user != NULL && user[0] != '\0')
    return user;
  snprintf (uid_name, sizeof uid_name, "uid-%u", (unsigned)getuid ());
  return uid_name;
}

/// Sets the nonce from --nonce, or a random one that is not 0.
/// @return false when --nonce is malformed or 0
static bool
read_nonce (uint64_t *nonce)
{
  struct rng rng;
  if (nonce_option->count == 0)
    {
      rng_init_system (&rng);
      do
        *nonce = rng_u64 (&rng);
      while (*nonce == 0);
      return true;
    }
  const char *value = nonce_option->sval[0];
  size_t size = strlen (value);
  if (size == 0 || size > 16 || strspn (value, "0123456789abcdef") != size)
    return false;
  *nonce = strtoull (value, NULL, 16);
  return *nonce != 0;
}

/// Sets the size of the body from --body-bytes.
/// @return false when it is malformed or out of range
static bool
read_body_bytes (uint64_t *bytes)
{
  *bytes = 0;
  if (body_option->count == 0)
    return true;
  const char *value = body_option->sval[0];
  size_t size = strlen (value);
  if (size == 0 || size > 13 || strspn (value, "0123456789") != size)
    return false;
  *bytes = strtoull (value, NULL, 10);
  return *bytes <= EXPLAIN_BODY_BYTES_MAX;
}

/// Sets the address that the command asks.
/// @return false after a usage error, which has been printed
static bool
read_address (const struct command *command, char host[256], uint16_t *port)
{
  bool asks_sidecar = command->run == ctl_route;
  const struct arg_str *option = asks_sidecar ? sidecar_option : node_option;
  if (asks_sidecar && option->count == 0)
    {
      usage_error ("route needs --sidecar", "");
      return false;
    }
  if (parse_node (option->count > 0 ? option->sval[0] : NODE_DEFAULT, host,
                  port))
    return true;
  usage_error (asks_sidecar ? "--sidecar" : "--node", " takes host:port");
  return false;
}

/// @param word_count  set to the number of words in the command's name, 1 or 2
/// @return the command that the words name, NULL when there is none
static const struct command *
find_command (const char *const *names, int count, int *word_count)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      const struct command *command = &commands[i];
      *word_count = command->second == NULL ? 1 : 2;
      if (count >= *word_count && strcmp (names[0], command->name) == 0
          && (command->second == NULL
              || strcmp (names[1], command->second) == 0))
        return command;
    }
  return NULL;
}

static int
run (void)
{
  char host[256];
  struct ctl ctl = {
    .json = json_option->count > 0,
    .wait = wait_option->count > 0,
    .timeout_s = timeout_option->count > 0 ? timeout_option->ival[0] : 3600,
    .count = count_option->count > 0 ? count_option->ival[0] : 20,
    .author
    = author_option->count > 0 ? author_option->sval[0] : default_author (),
    .note = note_option->count > 0 ? note_option->sval[0] : "",
    .base = base_option->count > 0 ? base_option->sval[0] : NULL,
    .account = account_option->count > 0 ? account_option->sval[0] : "",
  };
  int word_count;
  const struct command *command
      = find_command (words->sval, words->count, &word_count);
  if (command == NULL)
    return usage_error ("unknown command ", words->sval[0]);
  ctl.arguments = words->sval + word_count;
  ctl.argument_count = words->count - word_count;
  if (ctl.argument_count < command->min_arguments
      || ctl.argument_count > command->max_arguments)
    return usage_error ("wrong number of arguments for ", command->name);
  ctl.host = host;
  if (!read_address (command, host, &ctl.port))
    return CTL_USAGE;
  int deadline_ms = deadline_option->count > 0 ? deadline_option->ival[0] : 0;
  if (deadline_ms < 0 || (deadline_option->count > 0 && deadline_ms == 0)
      || !read_body_bytes (&ctl.body_bytes))
    return usage_error ("--deadline-ms must be at least 1, --body-bytes a "
                        "number of at most 13 digits",
                        "");
  ctl.deadline_ms = (uint32_t)deadline_ms;
  if (ctl.timeout_s < 1 || ctl.count < 1 || ctl.count > 4096)
    return usage_error ("--timeout must be at least 1, --count from 1 to 4096",
                        "");
  if (!read_nonce (&ctl.nonce))
    return usage_error ("--nonce takes 1 to 16 hexadecimal digits, not 0", "");
  return command->run (&ctl);
}

int
main (int argc, char **argv)
{
  void *table[] = {
    node_option = arg_str0 (NULL, "node", "host:port",
                            "admin address of a node, default " NODE_DEFAULT),
    json_option = arg_lit0 (NULL, "json", "print JSON"),
    wait_option
    = arg_lit0 (NULL, "wait", "apply: wait until new moves have ended"),
    timeout_option
    = arg_int0 (NULL, "timeout", "s", "longest wait, default 3600"),
    count_option
    = arg_int0 (NULL, "count", "n", "number of versions, default 20"),
    author_option
    = arg_str0 (NULL, "author", "name", "default: the user name"),
    note_option = arg_str0 (NULL, "note", "text", "stored with the version"),
    base_option = arg_str0 (NULL, "base", "version",
                            "reject unless this version is in force"),
    nonce_option = arg_str0 (NULL, "nonce", "hex",
                             "of an earlier attempt, to retry it safely"),
    sidecar_option = arg_str0 (NULL, "sidecar", "host:port",
                               "route: metrics address of the sidecar to ask"),
    account_option
    = arg_str0 (NULL, "account", "name", "route: account of the request"),
    body_option
    = arg_str0 (NULL, "body-bytes", "n", "route: size of the request's body"),
    deadline_option
    = arg_int0 (NULL, "deadline-ms", "ms", "route: the caller's deadline"),
    help_option = arg_lit0 (NULL, "help", "print this help"),
    version_option = arg_lit0 (NULL, "version", "print the version"),
    words = arg_strn (NULL, NULL, "command", 0, ARGUMENTS_MAX, ""),
    end = arg_end (8),
  };
  int code;
  size_t size = sizeof table / sizeof table[0];
  if (arg_nullcheck (table) != 0 || sodium_init () < 0)
    {
      fputs ("hawthornseam-ctl: no memory\n", stderr);
      return CTL_FAILED;
    }
  int errors = arg_parse (argc, argv, table);
  if (help_option->count > 0)
    {
      print_help (table);
      code = CTL_OK;
    }
  else if (version_option->count > 0)
    {
      puts ("hawthornseam-ctl " VERSION);
      code = CTL_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "hawthornseam-ctl");
      code = CTL_USAGE;
    }
  else if (words->count == 0)
    code = usage_error ("no command", "");
  else
    code = run ();
  arg_freetable (table, size);
  return code;
}
