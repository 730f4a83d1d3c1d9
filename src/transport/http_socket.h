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

/// @return true when the peer has closed its side or reset the connection,
///         even if bytes that it sent before are still unread
bool http_socket_is_closed_by_peer (evutil_socket_t fd);

/// Limits the bytes that the kernel takes before it can send them; what is on
/// the way, and not acknowledged, comes on top.
void http_socket_limit_unsent (evutil_socket_t fd, uint32_t size);

/// Makes the next close a reset that drops what the peer has not acknowledged;
/// the kernel would go on to deliver it.
void http_socket_reset_on_close (evutil_socket_t fd);

/// Tells a peer that has vanished from one that does not read. Both leave
/// bytes unsent, but only the latter acknowledges what is sent, and the probes
/// of its closed window. TCP_USER_TIMEOUT ends the connections of both.
struct http_peer_watch
{
  uint64_t checked_ms;      ///< last check, monotonic; 0: none
  uint64_t acknowledged_ms; ///< nothing was outstanding at this time, or the
                            ///< peer has acknowledged something
  bool failed; ///< the kernel does not tell; its own timeout is set instead
};

/// To be called several times a second while the connection is in use.
/// @return true when the connection was reset, or the peer has acknowledged
///         nothing for 3 s although bytes or a probe are outstanding
bool http_peer_watch_is_lost (struct http_peer_watch *watch,
                              evutil_socket_t fd, uint64_t now_ms);

#endif
