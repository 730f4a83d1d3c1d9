/// Helpers of the records that are kept as JSON text.
#ifndef HAWTHORNSEAM_PROTOCOL_JSON_TEXT_H
#define HAWTHORNSEAM_PROTOCOL_JSON_TEXT_H

#include "state/directory.h"

#include <jansson.h>

/// Writes an object as text with a terminating zero, and releases the object.
/// @return bytes written without the zero; 0 when the text does not fit
size_t json_text_write (json_t *object, char *text, size_t room);

/// Copies a name that may be empty.
/// @return false when it is too long
bool json_text_copy_name (char name[DIRECTORY_NAME_MAX + 1], const char *text);

#endif
