/// The store's HTTP interface: paths and query strings of calls, and strict
/// parsing of responses. A response outside the interface is STATUS_CORRUPT.
#ifndef HAWTHORNSEAM_PROTOCOL_STORE_API_H
#define HAWTHORNSEAM_PROTOCOL_STORE_API_H

#include "coordination/store.h"

/// Longest key, bytes. Keys consist of [A-Za-z0-9._/-], so that they need no
/// escapes in a path.
#define STORE_API_KEY_MAX 255
/// Bytes of a path with its query string, including the terminating zero.
#define STORE_API_PATH_MAX 384
/// Most keys in the response to a list call.
#define STORE_API_LIST_MAX 65536

enum store_call
{
  STORE_CALL_GET,
  STORE_CALL_WATCH,
  STORE_CALL_PUT,
  STORE_CALL_REMOVE,
  STORE_CALL_LIST,
  STORE_CALL_LEASE_GRANT,
  STORE_CALL_LEASE_KEEPALIVE,
  STORE_CALL_RANGE,
  STORE_CALL_WATCH_PREFIX
};

/// Arguments of a call; those that a call does not have are ignored.
struct store_request
{
  enum store_call call;
  const char *key;   ///< key, or prefix (may be empty)
  const char *after; ///< of a range: last key of the previous page, or NULL
  bool stale;        ///< of a range: the reply may be seconds old
  uint64_t revision; ///< expected revision; of a watch: newest known one
  uint64_t lease;    ///< of a put (0: none) or a keepalive
  uint32_t ms;       ///< longest wait of a watch, or lifetime of a lease
};

enum store_method
{
  STORE_METHOD_GET,
  STORE_METHOD_PUT,
  STORE_METHOD_POST,
  STORE_METHOD_DELETE
};

/// A call as an HTTP request.
struct store_http_request
{
  enum store_method method;
  char path[STORE_API_PATH_MAX];
  const char *content_type; ///< NULL: no Content-Type header
  const uint8_t *body;
  size_t body_size;
};

/// Conversion of store calls to HTTP requests and of HTTP responses to
/// replies, for one kind of store.
struct store_codec
{
  /// Response header that states the store's era: a number that rises each
  /// time that the store is restored from an older copy. NULL: it states none.
  const char *era_header;
  /// @param data   value to write; the request may point to it
  /// @param arena  talloc context that owns a body that has to be built
  /// @return STATUS_INVALID for a call that the store does not have
  enum status (*encode) (const struct store_request *request, const void *data,
                         size_t size, void *arena,
                         struct store_http_request *http_request);
  /// As store_api_parse_response.
  void (*parse_response) (enum store_call call, int code, const char *revision,
                          const uint8_t *body, size_t size, void *arena,
                          struct store_reply *reply);
};

/// The interface of this file. The store stand-in and the stores of small
/// deployments have it.
extern const struct store_codec store_api_codec;

/// Writes the path with its query string.
/// @return STATUS_INVALID for a key or a call that the interface does not
/// allow
enum status store_api_path (const struct store_request *request,
                            char path[STORE_API_PATH_MAX]);

/// Parses one response.
/// @param code      HTTP status code
/// @param revision  value of the header X-Revision, or NULL
/// @param body      must outlive the reply, which may point into it
/// @param arena     talloc context that owns the list of keys
/// @param reply     always set; its status is the result of the call
void store_api_parse_response (enum store_call call, int code,
                               const char *revision, const uint8_t *body,
                               size_t size, void *arena,
                               struct store_reply *reply);

#endif
