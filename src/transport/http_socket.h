/// What the kernel holds of a connection, and whether its peer still
/// acknowledges.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_SOCKET_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_SOCKET_H

#include <event2/util.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// @return bytes that the kernel has taken and the peer has not acknowledged
size_t http_socket_unsent (evutil_socket_t fd);

/// @return bytes that the kernel has received and that were not read yet
size_t http_socket_unread (evutil_socket_t fd);

#endif
