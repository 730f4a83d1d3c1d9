/// JSON encoding of the record of a target's crash. It lists the fingerprints
/// of the requests that were in progress; all nodes count them.
#ifndef HAWTHORNSEAM_PROTOCOL_CRASH_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_CRASH_RECORD_H

#include "base/status.h"

#include <stddef.h>
#include <stdint.h>

/// Requests listed for one crash; a target runs a few tens at a time.
#define CRASH_REQUESTS_MAX 32

/// Bytes of an encoded record, including the terminating zero.
#define CRASH_RECORD_MAX 1024

struct crash_record
{
  uint64_t crash; ///< id of the crash of one process, not 0
  size_t count;
  uint64_t fingerprints[CRASH_REQUESTS_MAX];
};

/// @return bytes written without the terminating zero
size_t crash_record_write (const struct crash_record *record,
                           char text[CRASH_RECORD_MAX]);

/// @return STATUS_INVALID when a field is missing, malformed or 0, or there
/// are more than CRASH_REQUESTS_MAX requests
enum status crash_record_read (const uint8_t *data, size_t size,
                               struct crash_record *record);

#endif
