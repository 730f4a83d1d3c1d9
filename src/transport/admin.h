/// HTTP server of the admin interface, a thin layer over libevhtp. Requests
/// are dispatched by a route table; a handler may reply later.
#ifndef HAWTHORNSEAM_TRANSPORT_ADMIN_H
#define HAWTHORNSEAM_TRANSPORT_ADMIN_H

#include "base/status.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/// Largest request body in bytes; a connection that sends more is closed
/// without a response.
#define ADMIN_BODY_MAX (1024 * 1024)

struct admin_server;

/// One request; released by admin_reply, which must be called exactly once,
/// even if the client has disconnected. It is a talloc context that the
/// handler may allocate from.
struct admin_request;

struct admin_route
{
  const char *method; ///< "GET" or "POST"
  const char *path;   ///< "*" matches one segment: "/moves/*/cancel"
  void (*handle) (void *arg, struct admin_request *request);
};

/// Binds the address and serves requests from the event loop.
/// @param address  IPv4, host byte order
/// @param port     0: any free port
/// @param routes   borrowed until admin_stop
/// @return STATUS_UNAVAILABLE if the address cannot be bound
enum status admin_start (struct admin_server **server, struct event_base *base,
                         uint32_t address, uint16_t port,
                         const struct admin_route *routes, size_t count,
                         void *arg);

/// Closes the listener and all connections. Requests without a reply stay
/// valid until admin_reply.
void admin_stop (struct admin_server *server);

/// @return the port that the listener is bound to
uint16_t admin_port (const struct admin_server *server);

/// @return the path segment that "*" matched; "" for a route without "*"
const char *admin_segment (const struct admin_request *request);

/// @return the value of a query parameter, or NULL; valid until admin_reply
const char *admin_query (const struct admin_request *request,
                         const char *name);

/// @return the value of a header, or NULL; valid until admin_reply
const char *admin_header (const struct admin_request *request,
                          const char *name);

/// @return the body, zero-terminated; valid until admin_reply
const char *admin_body (const struct admin_request *request, size_t *size);

/// Sends the response and releases the request.
/// @param code  HTTP status
void admin_reply (struct admin_request *request, int code,
                  const char *content_type, const void *body, size_t size);

#endif
