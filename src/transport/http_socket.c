/// Stateless; the caller owns the watches.
#include "transport/http_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/// As long as the keep-alive probes of an idle connection take, see
/// http_stream.c.
#define UNACKNOWLEDGED_MS_MAX 3000

static size_t
queue_size (evutil_socket_t fd, unsigned long queue)
{
  int size = 0;
  return ioctl (fd, queue, &size) == 0 && size > 0 ? (size_t)size : 0;
}

size_t
http_socket_unsent (evutil_socket_t fd)
{
  return queue_size (fd, SIOCOUTQ);
}

size_t
http_socket_unread (evutil_socket_t fd)
{
  return queue_size (fd, SIOCINQ);
}

bool
http_peer_watch_is_lost (struct http_peer_watch *watch, evutil_socket_t fd,
                         uint64_t now_ms)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return false;
  bool outstanding = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  /* The kernel notes the time, so that an acknowledgement during a pause of
     this process counts. */
  bool acknowledged = info.tcpi_last_ack_recv < now_ms - watch->checked_ms;
  if (watch->checked_ms == 0 || !outstanding || acknowledged)
    watch->acknowledged_ms = now_ms;
  watch->checked_ms = now_ms;
  return now_ms - watch->acknowledged_ms >= UNACKNOWLEDGED_MS_MAX;
}
