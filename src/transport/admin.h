/// HTTP server of the operators' interface, a thin layer over libevhtp:
/// requests are dispatched by a table of routes and may be answered later.
#ifndef HAWTHORNSEAM_TRANSPORT_ADMIN_H
#define HAWTHORNSEAM_TRANSPORT_ADMIN_H

#include "base/status.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/// Largest body; the connection of a larger one is closed without an answer.
#define ADMIN_BODY_MAX (1024 * 1024)

struct admin_server;

/// One request; released by admin_reply, which must be called exactly once,
/// also when the client has gone. It is a talloc context for its handler.
struct admin_request;

struct admin_route
{
  const char *method; ///< "GET" or "POST"
  const char *path;   ///< "*" stands for one segment: "/moves/*/cancel"
  void (*handle) (void *arg, struct admin_request *request);
};

/// Binds the address and serves from the loop.
/// @param address  IPv4, host byte order
/// @param port     0: any free port
/// @param routes   borrowed until admin_stop
/// @return STATUS_UNAVAILABLE when the address cannot be bound
enum status admin_start (struct admin_server **server, struct event_base *base,
                         uint32_t address, uint16_t port,
                         const struct admin_route *routes, size_t count,
                         void *arg);

/// Closes the listener and all connections. Requests that are not answered
/// stay valid until admin_reply.
void admin_stop (struct admin_server *server);

/// @return the port that was bound
uint16_t admin_port (const struct admin_server *server);

/// @return the segment that "*" stands for, "" without one
const char *admin_segment (const struct admin_request *request);

/// @return a parameter of the query, or NULL; valid until admin_reply
const char *admin_query (const struct admin_request *request,
                         const char *name);

/// @return a header, or NULL; valid until admin_reply
const char *admin_header (const struct admin_request *request,
                          const char *name);

/// @return the body, zero-terminated; valid until admin_reply
const char *admin_body (const struct admin_request *request, size_t *size);

/// Answers and releases a request.
/// @param code  HTTP status
void admin_reply (struct admin_request *request, int code,
                  const char *content_type, const void *body, size_t size);

#endif
