/// Codec (JSON) of a target's crash: the fingerprints of the requests that
/// were in flight, for all nodes to count.
#ifndef HAWTHORNSEAM_PROTOCOL_CRASH_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_CRASH_RECORD_H

#include "base/status.h"

#include <stddef.h>
#include <stdint.h>

/// Requests of one crash; a target runs a few tens at a time.
#define CRASH_REQUESTS_MAX 32

/// Bytes of an encoded record with the terminating zero.
#define CRASH_RECORD_MAX 1024

struct crash_record
{
  uint64_t crash; ///< identity of the death of one process, not 0
  size_t count;
  uint64_t fingerprints[CRASH_REQUESTS_MAX];
};

/// @return bytes written without the terminating zero
size_t crash_record_write (const struct crash_record *record,
                           char text[CRASH_RECORD_MAX]);

/// @return STATUS_INVALID for anything that crash_record_write does not write
enum status crash_record_read (const uint8_t *data, size_t size,
                               struct crash_record *record);

#endif
