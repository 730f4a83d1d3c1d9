/// Parts of the operators' command that its files share.
#ifndef HAWTHORNSEAM_CTL_CTL_H
#define HAWTHORNSEAM_CTL_CTL_H

#include "base/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Exit codes.
enum
{
  CTL_OK = 0,
  CTL_FAILED = 1, ///< refused or failed
  CTL_USAGE = 2
};

/// Options and arguments of one run.
struct ctl
{
  const char *host; ///< IPv4 address or host name
  uint16_t port;
  bool json;
  bool wait;
  int timeout_s; ///< of --wait
  int count;     ///< of history and audit
  const char *author;
  const char *note;
  uint64_t nonce;
  const char *base; ///< base version, NULL when not given
  const char **arguments;
  int argument_count;
};

struct ctl_answer
{
  int code; ///< HTTP status
  char *body;
  size_t size;
};

/// Sends one request and waits for its answer.
/// @param headers  name, value, ..., NULL; may be NULL
/// @param answer   set with STATUS_OK; its body is freed by ctl_answer_free
/// @return STATUS_UNKNOWN when there is no answer: the request may have taken
///         effect
enum status ctl_request (const struct ctl *ctl, const char *method,
                         const char *path, const char *const *headers,
                         const char *body, size_t size,
                         struct ctl_answer *answer);

void ctl_answer_free (struct ctl_answer *answer);

/// Sends a GET and parses its answer.
/// @return the JSON value, released by the caller; NULL after a message
json_t *ctl_get_json (const struct ctl *ctl, const char *path);

/// Reads a file of at most 1 MiB, "-" for standard input.
/// @return its bytes, freed by the caller; NULL after a message
char *ctl_read_file (const char *path, size_t *size);

/// Prints the message of an error answer, and its findings if there are any.
/// @param file  name for findings; NULL when there is no document
void ctl_print_error (const struct ctl *ctl, const struct ctl_answer *answer,
                      const char *file);

/// Prints a JSON value as text of several lines.
void ctl_print_json (const json_t *value);

/// @return a string of an object, "" without it
const char *ctl_string (const json_t *object, const char *name);

/// Commands; each returns an exit code.
int ctl_validate (const struct ctl *ctl);
int ctl_diff (const struct ctl *ctl);
int ctl_apply (const struct ctl *ctl);
int ctl_get (const struct ctl *ctl);
int ctl_history (const struct ctl *ctl);
int ctl_audit (const struct ctl *ctl);
int ctl_rollback (const struct ctl *ctl);
int ctl_status (const struct ctl *ctl);
int ctl_move_status (const struct ctl *ctl);
int ctl_move_cancel (const struct ctl *ctl);

#endif
