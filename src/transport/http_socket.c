/// Stateless; the caller owns the watches.
#define _GNU_SOURCE /* POLLRDHUP */
#include "transport/http_socket.h"

#include "base/counter.h"

#include <limits.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

static struct counter failures
    = COUNTER ("http_socket_failures",
               "connections whose state the kernel does not tell");

/// As long as the keep-alive probes of an idle connection take, see
/// http_stream.c.
#define UNACKNOWLEDGED_MS_MAX 3000

static size_t
queue_size (evutil_socket_t fd, unsigned long queue)
{
  int size = 0;
  return ioctl (fd, queue, &size) == 0 && size > 0 ? (size_t)size : 0;
}

/// @return false when the kernel does not tell
static bool
read_info (evutil_socket_t fd, struct tcp_info *info)
{
  socklen_t size = sizeof *info;
  memset (info, 0, sizeof *info);
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &size) == 0;
}

size_t
http_socket_unsent (evutil_socket_t fd)
{
  struct tcp_info info;
  size_t size = queue_size (fd, SIOCOUTQ);
  /* After a reset the queue keeps its bytes, and nobody takes them. */
  if (size > 0 && read_info (fd, &info) && info.tcpi_state == TCP_CLOSE)
    return 0;
  return size;
}

size_t
http_socket_unread (evutil_socket_t fd)
{
  return queue_size (fd, SIOCINQ);
}

bool
http_socket_is_closed_by_peer (evutil_socket_t fd)
{
  struct pollfd state = { .fd = fd, .events = POLLRDHUP };
  return poll (&state, 1, 0) > 0
         && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void
http_socket_limit_unsent (evutil_socket_t fd, uint32_t size)
{
  int limit = size > INT_MAX ? INT_MAX : (int)size;
  /* Without the option the kernel buffers more. */
  setsockopt (fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof limit);
}

void
http_socket_reset_on_close (evutil_socket_t fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  /* Without the option the close is orderly. */
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

bool
http_peer_watch_is_lost (struct http_peer_watch *watch, evutil_socket_t fd,
                         uint64_t now_ms)
{
  struct tcp_info info;
  if (!read_info (fd, &info))
    {
      /* A peer that vanished has to be found in another way: by the kernel,
         which also ends connections of peers that only stall. */
      if (!watch->failed)
        {
          counter_add (&failures, 1);
          int limit_ms = UNACKNOWLEDGED_MS_MAX;
          setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                      sizeof limit_ms);
        }
      watch->failed = true;
      return false;
    }
  if (info.tcpi_state == TCP_CLOSE)
    return true;
  bool outstanding = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  /* The kernel notes the time, so that an acknowledgement during a pause of
     this process counts. */
  bool acknowledged = info.tcpi_last_ack_recv < now_ms - watch->checked_ms;
  if (watch->checked_ms == 0 || !outstanding || acknowledged)
    watch->acknowledged_ms = now_ms;
  watch->checked_ms = now_ms;
  return now_ms - watch->acknowledged_ms >= UNACKNOWLEDGED_MS_MAX;
}
