/// List of the problems found in one input, each with its position, so that
/// all of them are reported together.
#ifndef HAWTHORNSEAM_BASE_FINDINGS_H
#define HAWTHORNSEAM_BASE_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

/// Maximum number of stored findings; further ones are only counted.
#define FINDINGS_MAX 100

struct finding
{
  int line;      ///< 1-based; 0 if unknown
  int column;    ///< 1-based; 0 if unknown
  char *path;    ///< field path such as "routes[2].service"
  char *message; ///< what is wrong, and which input is accepted
};

struct findings
{
  const char *file; ///< name of the input, borrowed
  struct finding *items;
  size_t count; ///< stored findings
  size_t total; ///< all findings, stored or not
};

/// @param findings  allocated by the caller
/// @param file      name of the input; must outlive the list
void findings_init (struct findings *findings, const char *file);

/// Frees the stored findings; the struct belongs to the caller.
void findings_finish (struct findings *findings);

/// Adds a finding.
/// @param line,column  1-based position, 0 if unknown
/// @param path         field path, copied
/// @param format       printf format of the message
void findings_add (struct findings *findings, int line, int column,
                   const char *path, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/// Prints one line per finding: file:line:column: path: message.
void findings_print (const struct findings *findings, FILE *stream);

#endif
