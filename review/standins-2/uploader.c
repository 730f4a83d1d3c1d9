/// Stand-in for a client that uploads a body, after PROTOCOL.md. Usage:
///   uploader OUTBOUND HOST PATH BYTES PAUSE_MS DEADLINE_MS RECORD NAME
/// Sends the head of a POST, pauses for PAUSE_MS, sends the body with its
/// length at full speed, and reads the answer.
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static double
now_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static char part[65536];

/// Sends zeros.
/// @return bytes that could not be sent
static long long
send_body (int fd, long long left)
{
  while (left > 0)
    {
      ssize_t sent = send (
          fd, part, left < (long long)sizeof part ? (size_t)left : sizeof part,
          MSG_NOSIGNAL);
      if (sent <= 0)
        break;
      left -= sent;
    }
  return left;
}

int
main (int argc, char **argv)
{
  char address[32], head[1024], line[512], reply[8192] = "";
  unsigned port;
  if (argc != 9 || sscanf (argv[1], "%31[^:]:%u", address, &port) != 2)
    return 2;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  long long left = atoll (argv[4]);
  int record = open (argv[7], O_WRONLY | O_APPEND | O_CREAT, 0644);
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, address, &to.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int size = snprintf (head, sizeof head,
                       "POST %s HTTP/1.1\r\nHost: %s\r\n"
                       "Hawthornseam-Request-Id: %s\r\n"
                       "Hawthornseam-Deadline-Ms: %s\r\n"
                       "Content-Length: %lld\r\n\r\n",
                       argv[3], argv[2], argv[8], argv[6], left);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    return 2;
  double end = now_s () + atoi (argv[6]) / 1000.0;
  if (send (fd, head, (size_t)size, MSG_NOSIGNAL) != size)
    return 2;
  size = snprintf (line, sizeof line, "%.3f client %s sent head of %s\n",
                   now_s (), argv[8], argv[3]);
  if (write (record, line, (size_t)size) < 0)
    return 2;
  usleep ((useconds_t)atoi (argv[5]) * 1000);
  left = send_body (fd, left);
  size = snprintf (line, sizeof line, "%.3f client %s sent body, left %lld\n",
                   now_s (), argv[8], left);
  if (write (record, line, (size_t)size) < 0)
    return 2;
  struct pollfd p = { .fd = fd, .events = POLLIN };
  int wait = (int)((end - now_s ()) * 1000);
  if (wait > 0 && poll (&p, 1, wait) > 0
      && recv (fd, reply, sizeof reply - 1, 0) < 0)
    reply[0] = '\0';
  size = snprintf (line, sizeof line, "%.3f client %s answered %d\n", now_s (),
                   argv[8], reply[0] == '\0' ? 0 : atoi (reply + 9));
  return write (record, line, (size_t)size) < 0 ? 2 : 0;
}
