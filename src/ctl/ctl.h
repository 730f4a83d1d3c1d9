/// Internal declarations of hawthornseam-ctl, the operators' command.
#ifndef HAWTHORNSEAM_CTL_CTL_H
#define HAWTHORNSEAM_CTL_CTL_H

#include "base/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Exit codes of the process.
enum
{
  CTL_OK = 0,
  CTL_FAILED = 1, ///< the request was rejected or failed
  CTL_USAGE = 2   ///< wrong command line
};

/// Command line options and arguments.
struct ctl
{
  const char *host; ///< IPv4 address or host name
  uint16_t port;
  bool json;
  bool wait;
  int timeout_s; ///< time limit of --wait
  int count;     ///< versions that history and audit list
  const char *author;
  const char *note;
  uint64_t nonce;       ///< makes repeated attempts of a change idempotent
  const char *base;     ///< expected version in force, NULL for any
  const char *account;  ///< of the request to explain; "" without one
  uint64_t body_bytes;  ///< of the request to explain
  uint32_t deadline_ms; ///< of the request to explain; 0: none
  const char **arguments;
  int argument_count;
};

/// HTTP response of the node.
struct ctl_response
{
  int code;    ///< HTTP status
  char *body;  ///< NUL-terminated
  size_t size; ///< bytes of the body, without the NUL
};

/// Sends one HTTP request to the node and waits for the response.
/// @param method   "POST"; anything else sends a GET
/// @param headers  name, value, ..., NULL; may be NULL
/// @param size     bytes of the body, 0 for none
/// @param response  set with STATUS_OK; release it with ctl_response_free
/// @return STATUS_UNKNOWN without a response: the request may have taken
///         effect; STATUS_INVALID when a header cannot be sent;
///         STATUS_NO_MEMORY
enum status ctl_request (const struct ctl *ctl, const char *method,
                         const char *path, const char *const *headers,
                         const char *body, size_t size,
                         struct ctl_response *response);

void ctl_response_free (struct ctl_response *response);

/// Sends a GET request and parses the JSON of the response.
/// @return the value, a new reference; NULL after an error, which has been
///         printed
json_t *ctl_get_json (const struct ctl *ctl, const char *path);

/// Reads a file of at most 1 MiB; "-" is standard input.
/// @return the bytes, freed by the caller; NULL after an error, which has been
///         printed
char *ctl_read_file (const char *path, size_t *size);

/// Prints the message of an error response and, if the document was invalid,
/// its findings.
/// @param file  file name in front of each finding; NULL for "document"
void ctl_print_error (const struct ctl *ctl,
                      const struct ctl_response *response, const char *file);

/// Prints indented JSON.
void ctl_print_json (const json_t *value);

/// @return a string member of an object, "" when it is absent or no string
const char *ctl_string (const json_t *object, const char *name);

/// The commands; each returns an exit code.
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
int ctl_route (const struct ctl *ctl);

#endif
