/// Result codes shared by all modules, and the text of the last failure.
#ifndef HAWTHORNSEAM_BASE_STATUS_H
#define HAWTHORNSEAM_BASE_STATUS_H

enum status
{
  STATUS_OK,
  STATUS_INVALID,     ///< the input breaks a documented rule
  STATUS_NOT_FOUND,   ///< no such object, key or member
  STATUS_CONFLICT,    ///< the state changed underneath the caller
  STATUS_UNAVAILABLE, ///< refused before any effect; may be tried again
  STATUS_UNKNOWN,     ///< sent, but no answer tells whether it took effect
  STATUS_TIMEOUT,     ///< the deadline passed
  STATUS_TOO_OLD,     ///< the history that was asked for is gone
  STATUS_TOO_LARGE,   ///< a stated size limit is exceeded
  STATUS_CORRUPT,     ///< a checksum, hash or encoding does not hold
  STATUS_DENIED,      ///< the peer or operator is not authorised
  STATUS_UNSUPPORTED, ///< a protocol version that this release lacks
  STATUS_NO_MEMORY
};

/// Records a message for the failure that is about to be returned.
/// @param code    the code to return; must not be STATUS_OK
/// @param format  printf format of the message, cut at 511 bytes
/// @return code, so that callers can write `return status_set (...)`
enum status status_set (enum status code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// @return the message of the most recent status_set, valid until the next one
const char *status_message (void);

/// @return the fixed lower-case name of a code, such as "not_found"
const char *status_name (enum status code);

#endif
