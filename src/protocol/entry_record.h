/// JSON encoding of a node's directory entry in the store.
#ifndef HAWTHORNSEAM_PROTOCOL_ENTRY_RECORD_H
#define HAWTHORNSEAM_PROTOCOL_ENTRY_RECORD_H

#include "base/status.h"
#include "state/directory.h"

/// Bytes of an encoded entry, including the terminating zero.
#define ENTRY_RECORD_MAX 768

/// @return bytes written without the terminating zero
size_t entry_record_write (const struct directory_entry *entry,
                           char text[ENTRY_RECORD_MAX]);

/// @return STATUS_INVALID with a message when a field is missing, of another
/// type or out of range
enum status entry_record_read (const uint8_t *data, size_t size,
                               struct directory_entry *entry);

#endif
