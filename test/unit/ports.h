/// Finds free TCP ports on loopback for tests that listen.
#ifndef HAWTHORNSEAM_TEST_PORTS_H
#define HAWTHORNSEAM_TEST_PORTS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

static inline bool
port_is_free (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_free;
}

/// @return the first of `count` consecutive free ports, below the range that
/// the system uses for outgoing connections
static inline uint16_t
free_ports (unsigned count)
{
  unsigned first = 10000 + (unsigned)getpid () * 37 % 20000;
  for (unsigned i = 0; i < count; i++)
    if (!port_is_free ((uint16_t)(first + i)))
      {
        first = first + i + 1 > 31000 ? 10000 : first + i + 1;
        i = UINT32_MAX; /* start again */
      }
  return (uint16_t)first;
}

#endif
