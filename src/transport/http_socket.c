/// Stateless.
#include "transport/http_socket.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

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
