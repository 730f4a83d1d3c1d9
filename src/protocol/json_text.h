/// Helpers for records that are stored as JSON text.
#ifndef HAWTHORNSEAM_PROTOCOL_JSON_TEXT_H
#define HAWTHORNSEAM_PROTOCOL_JSON_TEXT_H

#include "state/directory.h"

#include <jansson.h>

/// Writes an object as zero-terminated compact JSON and releases the object.
/// @param room  bytes at `text`, including those for the terminating zero
/// @return bytes written, without the zero; 0 when the text does not fit
size_t json_text_write (json_t *object, char *text, size_t room);

/// Copies a name, which may be empty.
/// @return false when it is longer than DIRECTORY_NAME_MAX
bool json_text_copy_name (char name[DIRECTORY_NAME_MAX + 1], const char *text);

#endif
