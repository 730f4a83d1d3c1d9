/// Strict check of the responses that evhttp reads on a client's connection.
/// evhttp accepts any number as a status, any bytes as a field's name and any
/// number of informational responses.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_RESPONSE_GUARD_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_RESPONSE_GUARD_H

#include "transport/http_message_check.h"

#include <stdbool.h>

struct bufferevent;
struct evhttp_connection;

struct http_response_guard
{
  struct http_message_check check;
  struct bufferevent *bev;
  bool malformed; ///< what evhttp reports of the current response is invalid
  /// Called from within the read, before evhttp has seen the bytes; nothing
  /// more is read. The owner ends the exchange and closes the connection, but
  /// not from within this call.
  void (*malformed_cb) (void *arg);
  void *arg;
};

/// Attaches to a new connection; the guard must outlive it.
void http_response_guard_init (struct http_response_guard *guard,
                               struct evhttp_connection *connection,
                               void (*malformed_cb) (void *arg), void *arg);

/// Expects the response to the next request.
/// @param no_body  the response has no body (HEAD)
void http_response_guard_next (struct http_response_guard *guard,
                               bool no_body);

/// @return true if bytes follow the complete response; evhttp would take them
///         for the response to the next request
bool http_response_guard_has_unread (const struct http_response_guard *guard);

#endif
