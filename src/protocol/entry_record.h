/// Codec of a node's entry in the store (JSON).
#ifndef HAWTHORNSEAM_PROTOCOL_ENTRY_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_ENTRY_RECORD_H

#include "base/status.h"
#include "state/directory.h"

/// Bytes of an encoded entry with the terminating zero.
#define ENTRY_RECORD_MAX 768

/// @return bytes written without the terminating zero
size_t entry_record_write (const struct directory_entry *entry,
                           char text[ENTRY_RECORD_MAX]);

/// @return STATUS_INVALID for anything that entry_record_write does not write
enum status entry_record_read (const uint8_t *data, size_t size,
                               struct directory_entry *entry);

#endif
