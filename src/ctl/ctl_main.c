/// Owns the command line of hawthornseam-ctl.
#include "ctl/ctl.h"

#include "base/rng.h"

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
  int min_arguments;  ///< after the words
  int max_arguments;
  int (*run) (const struct ctl *ctl);
  const char *help;
};

static const struct command commands[] = {
  { "validate", NULL, 1, 1, ctl_validate, "FILE  check a document offline" },
  { "diff", NULL, 1, 1, ctl_diff, "FILE  show what an apply would change" },
  { "apply", NULL, 1, 1, ctl_apply,
    "FILE  put a document in force; --wait: until its moves have ended" },
  { "get", NULL, 0, 0, ctl_get, "print the document in force" },
  { "history", NULL, 0, 0, ctl_history, "list versions, the newest first" },
  { "audit", NULL, 0, 0, ctl_audit, "list versions with their changes" },
  { "rollback", NULL, 1, 1, ctl_rollback,
    "VERSION  bring services and routes of a version back" },
  { "status", NULL, 0, 0, ctl_status, "show the mesh as the node sees it" },
  { "move", "status", 0, 1, ctl_move_status, "[NAME]  show moves" },
  { "move", "cancel", 1, 1, ctl_move_cancel, "NAME  end a running move" },
};

static struct arg_str *node_option, *author_option, *note_option,
    *nonce_option, *base_option, *words;
static struct arg_int *timeout_option, *count_option;
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

/// Splits host:port.
static bool
parse_node (const char *text, char host[256], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || colon == text || colon - text > 255)
    return false;
  size_t digits = strspn (colon + 1, "0123456789");
  unsigned long number = strtoul (colon + 1, NULL, 10);
  if (digits == 0 || digits > 5 || colon[1 + digits] != '\0' || number < 1
      || number > 65535)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  *port = (uint16_t)number;
  return true;
}

/// @return the author by the environment
static const char *
default_author (void)
{
  static char fallback[32];
  const char *user = getenv ("USER");
  if (user == NULL || user[0] == '\0')
    user = getenv ("LOGNAME");
  if (user != NULL && user[0] != '\0')
    return user;
  snprintf (fallback, sizeof fallback, "uid-%u", (unsigned)getuid ());
  return fallback;
}

/// Reads --nonce or draws one; 0 is no nonce.
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
  const char *text = nonce_option->sval[0];
  size_t size = strlen (text);
  if (size == 0 || size > 16 || strspn (text, "0123456789abcdef") != size)
    return false;
  *nonce = strtoull (text, NULL, 16);
  return *nonce != 0;
}

static const struct command *
find_command (const char *const *given, int count, int *word_count)
{
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      const struct command *command = &commands[i];
      *word_count = command->second == NULL ? 1 : 2;
      if (count >= *word_count && strcmp (given[0], command->name) == 0
          && (command->second == NULL
              || strcmp (given[1], command->second) == 0))
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
  if (!parse_node (node_option->count > 0 ? node_option->sval[0]
                                          : NODE_DEFAULT,
                   host, &ctl.port))
    return usage_error ("--node takes host:port", "");
  if (ctl.timeout_s < 1 || ctl.count < 1 || ctl.count > 4096)
    return usage_error ("--timeout or --count is out of range", "");
  if (!read_nonce (&ctl.nonce))
    return usage_error ("--nonce takes 1 to 16 hexadecimal digits, not 0", "");
  return command->run (&ctl);
}

int
main (int argc, char **argv)
{
  void *table[] = {
    node_option = arg_str0 (NULL, "node", "host:port",
                            "operators' interface, default " NODE_DEFAULT),
    json_option = arg_lit0 (NULL, "json", "print JSON"),
    wait_option
    = arg_lit0 (NULL, "wait", "apply: wait until new moves have ended"),
    timeout_option
    = arg_int0 (NULL, "timeout", "s", "longest wait, default 3600"),
    count_option
    = arg_int0 (NULL, "count", "n", "number of versions, default 20"),
    author_option
    = arg_str0 (NULL, "author", "name", "default: the user's name"),
    note_option = arg_str0 (NULL, "note", "text", "kept with the version"),
    base_option = arg_str0 (NULL, "base", "version",
                            "refuse when another version is in force"),
    nonce_option
    = arg_str0 (NULL, "nonce", "hex", "ask again about an earlier attempt"),
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
