/// Stand-in for a client that nobody controls: opens COUNT connections, sends
/// nothing on them and keeps them open for SECONDS. Usage:
///   idler OUTBOUND COUNT SECONDS RECORD NAME
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  char address[32], line[128];
  unsigned port;
  if (argc != 6 || sscanf (argv[1], "%31[^:]:%u", address, &port) != 2)
    return 2;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, address, &to.sin_addr);
  int record = open (argv[4], O_WRONLY | O_APPEND | O_CREAT, 0644);
  int count = atoi (argv[2]), opened = 0;
  for (; opened < count; opened++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      if (fd < 0)
        break;
      connect (fd, (struct sockaddr *)&to, sizeof to);
      if (opened % 50 == 49)
        usleep (5000);
    }
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  int size = snprintf (line, sizeof line,
                       "%ld.%03ld idler %s opened %d connections\n",
                       (long)t.tv_sec, t.tv_nsec / 1000000, argv[5], opened);
  if (write (record, line, (size_t)size) < 0)
    return 2;
  usleep ((useconds_t)(atof (argv[3]) * 1e6));
  return 0;
}
