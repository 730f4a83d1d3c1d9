/// Head of an HTTP/1.1 message. Its strings lie one after another in one
/// block, and the fields are found by walking through it: an allocation or a
/// table entry for each of many short lines would take many times their bytes.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_HEAD_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_HEAD_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_field
{
  const char *name;
  const char *value;
};

struct http_head
{
  enum http_method method; ///< of a request
  const char *target;      ///< path and query of a request
  unsigned status;         ///< of a response
  const char *text;        ///< target, then name and value of each field; each
                           ///< ends with a zero
  size_t text_size;        ///< bytes of all strings
  size_t field_count;
  bool keep_alive; ///< the connection can carry another message
  bool chunked;    ///< the body has chunked coding
  bool has_length; ///< Content-Length is present
  uint64_t length; ///< bytes of the body
};

/// Moves to the next field.
/// @param field  its name is NULL before the first one
/// @return false when there is none left
bool http_head_next (const struct http_head *head, struct http_field *field);

/// @return the value of the first field with this name (case-insensitive), or
/// NULL
const char *http_head_find (const struct http_head *head, const char *name);

/// @return a copy in this talloc context, or NULL if memory is exhausted
struct http_head *http_head_copy (void *context, const struct http_head *head);

/// @return bytes of memory of a head
size_t http_head_memory (const struct http_head *head);

/// @return true for hop-by-hop fields, which must not be forwarded, without
/// those that the message's Connection field names
bool http_field_is_hop_by_hop (const char *name);

/// Appends the end-to-end fields of a head to a buffer, without the fields
/// that state the length and framing of the body.
/// @param skip  NULL-terminated names to leave out, or NULL
void http_write_fields (struct evbuffer *buffer, const struct http_head *head,
                        const char *const *skip);

#endif
