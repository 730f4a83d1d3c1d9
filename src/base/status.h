/// Result codes shared by all modules, and the error message of the last
/// failure.
#ifndef HAWTHORNSEAM_BASE_STATUS_H
#define HAWTHORNSEAM_BASE_STATUS_H

enum status
{
  STATUS_OK,
  STATUS_INVALID,     ///< the input violates a documented rule
  STATUS_NOT_FOUND,   ///< no such object, key or member
  STATUS_CONFLICT,    ///< the state was changed concurrently
  STATUS_UNAVAILABLE, ///< failed before any effect; may be retried
  STATUS_UNKNOWN,     ///< sent, but it is not known whether it took effect
  STATUS_TIMEOUT,     ///< the deadline passed
  STATUS_TOO_OLD,     ///< the requested history is no longer available
  STATUS_TOO_LARGE,   ///< a stated size limit is exceeded
  STATUS_CORRUPT,     ///< a checksum, hash or encoding is wrong
  STATUS_DENIED,      ///< the peer or operator is not authorised
  STATUS_UNSUPPORTED, ///< protocol version not supported by this release
  STATUS_NO_MEMORY
};

/// Sets the error message of a failure that is about to be returned.
/// @param code    the code to return; must not be STATUS_OK
/// @param format  printf format of the message, truncated to 511 bytes
/// @return code, so that callers can write `return status_set (...)`
enum status status_set (enum status code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// @return the message of the most recent status_set, valid until the next one
const char *status_message (void);

/// @return the fixed lower-case name of a code, such as "not_found"
const char *status_name (enum status code);

#endif
