/// Stand-in for the clients of a machine, after PROTOCOL.md. Usage:
///   client OUTBOUND HOST PATH KIND RATE SECONDS DEADLINE_MS RETRIES RECORD
///   NAME
/// Sends RATE requests a second (0: a single one) for SECONDS, of KIND "safe"
/// or "unsafe". PATH may contain "%d", which is replaced by a number of its
/// own for each request. A request that fails is repeated as PROTOCOL.md
/// says, RETRIES times at most, each time with an id of its own and on a new
/// connection; a Retry-After is kept up to a third of the time left.
/// The environment's API_KEY, if set, is sent as Api-Key.
/// RECORD gets a line for each attempt that is sent and answered, and one for
/// each request: "done NAME KIND STATUS".
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static struct sockaddr_in outbound;
static const char *host, *path_format, *name, *kind, *api_key;
static int deadline_ms, retries, record;
static bool is_safe;
static volatile int active;

static double
now_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
static void
note (const char *format, ...)
{
  char line[512];
  int size = snprintf (line, sizeof line, "%.3f client %s ", now_s (), name);
  va_list list;
  va_start (list, format);
  size
      += vsnprintf (line + size, sizeof line - (size_t)size - 2, format, list);
  va_end (list);
  if (size > (int)sizeof line - 2)
    size = (int)sizeof line - 2;
  line[size++] = '\n';
  if (write (record, line, (size_t)size) < 0)
    _exit (3);
}

static void
find_field (const char *head, const char *field, char *value, size_t size)
{
  size_t length = strlen (field);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, field, length) == 0 && line[2 + length] == ':')
      {
        const char *start = line + 2 + length + 1;
        start += strspn (start, " \t");
        snprintf (value, size, "%.*s", (int)strcspn (start, "\r\n"), start);
        return;
      }
}

/// Connects within a second.
static bool
open_connection (int fd)
{
  int flags = fcntl (fd, F_GETFL), error = 0;
  socklen_t size = sizeof error;
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  if (connect (fd, (struct sockaddr *)&outbound, sizeof outbound) != 0
      && (poll (&p, 1, 1000) <= 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
          || error != 0))
    return false;
  fcntl (fd, F_SETFL, flags);
  return true;
}

/// @return status of the answer; 0 when the connection ended without a whole
///         one, or the time is over
static int
attempt (const char *request_id, const char *path, double end,
         double *retry_after)
{
  char text[1024], reply[65536];
  int left = (int)((end - now_s ()) * 1000);
  *retry_after = 0;
  if (left <= 0)
    return 0;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int size = snprintf (
      text, sizeof text,
      "%s %s HTTP/1.1\r\nHost: %s\r\n"
      "Hawthornseam-Request-Id: %s\r\n"
      "Hawthornseam-Deadline-Ms: %d\r\n%s%s%s%s\r\n",
      is_safe ? "GET" : "POST", path, host, request_id, left,
      api_key == NULL ? "" : "Api-Key: ", api_key == NULL ? "" : api_key,
      api_key == NULL ? "" : "\r\n", is_safe ? "" : "Content-Length: 0\r\n");
  int status = 0;
  size_t used = 0;
  if (!open_connection (fd))
    note ("unconnected %s %s", request_id, path);
  else if (send (fd, text, (size_t)size, MSG_NOSIGNAL) == size)
    for (note ("sent %s %s", request_id, path);;)
      {
        struct pollfd p = { .fd = fd, .events = POLLIN };
        left = (int)((end - now_s ()) * 1000);
        if (left <= 0 || poll (&p, 1, left) <= 0)
          break;
        ssize_t got = recv (fd, reply + used, sizeof reply - used - 1, 0);
        if (got <= 0)
          break;
        used += (size_t)got;
        reply[used] = '\0';
        char *body = strstr (reply, "\r\n\r\n");
        if (body == NULL)
          continue;
        char value[64];
        find_field (reply, "Content-Length", value, sizeof value);
        if (used - (size_t)(body + 4 - reply) < (size_t)atoll (value))
          continue;
        status = atoi (reply + 9);
        find_field (reply, "Retry-After", value, sizeof value);
        *retry_after = atof (value);
        find_field (reply, "Hawthornseam-Response-Seal", value, sizeof value);
        if (status >= 200 && status < 300 && value[0] == '\0')
          status = 0; /* not the upstream's answer */
        break;
      }
  close (fd);
  note ("answered %s %d", request_id, status);
  return status;
}

static void *
on_request (void *arg)
{
  long number = (long)(intptr_t)arg;
  char path[512], request_id[160];
  double end = now_s () + deadline_ms / 1000.0, retry_after;
  int status = 0;
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  snprintf (path, sizeof path, path_format, (int)number);
#pragma GCC diagnostic pop
  for (int i = 0; i <= retries; i++)
    {
      snprintf (request_id, sizeof request_id, "%s-%ld-%d", name, number, i);
      status = attempt (request_id, path, end, &retry_after);
      bool promised
          = status == 429 || status == 503 || status == 408 || status == 421;
      bool over = (status >= 200 && status < 300) || status == 400
                  || status == 401 || status == 404 || status == 413
                  || status == 431;
      if (over || (!is_safe && !promised))
        break;
      double wait = retry_after, third = (end - now_s ()) / 3;
      if (wait > third)
        wait = third;
      if (wait <= 0)
        wait = 0.05;
      if (now_s () + wait >= end)
        break;
      usleep ((useconds_t)(wait * 1e6));
    }
  note ("done %s %s %d", name, kind, status);
  __sync_fetch_and_sub (&active, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  char address[32];
  unsigned port;
  if (argc != 11 || sscanf (argv[1], "%31[^:]:%u", address, &port) != 2)
    return 2;
  outbound = (struct sockaddr_in){ .sin_family = AF_INET,
                                   .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, address, &outbound.sin_addr);
  host = argv[2];
  path_format = argv[3];
  kind = argv[4];
  is_safe = strcmp (kind, "safe") == 0;
  double rate = atof (argv[5]), seconds = atof (argv[6]);
  deadline_ms = atoi (argv[7]);
  retries = atoi (argv[8]);
  record = open (argv[9], O_WRONLY | O_APPEND | O_CREAT, 0644);
  name = argv[10];
  api_key = getenv ("API_KEY");
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  double start = now_s ();
  long count = rate > 0 ? (long)(rate * seconds) : 1;
  for (long i = 0; i < count; i++)
    {
      double due = start + (rate > 0 ? (double)i / rate : 0);
      while (now_s () < due)
        usleep ((useconds_t)((due - now_s ()) * 1e6) + 1);
      __sync_fetch_and_add (&active, 1);
      if (pthread_create (&thread, &attributes, on_request,
                          (void *)(intptr_t)i)
          != 0)
        __sync_fetch_and_sub (&active, 1);
    }
  for (int i = 0; i < 3000 && active > 0; i++)
    usleep (10000);
  return 0;
}
