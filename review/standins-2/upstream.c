/// Stand-in for an upstream, after PROTOCOL.md: one request at a time on a
/// connection, CAPACITY requests at once, the others wait. Usage:
///   upstream LISTEN CONTROL ID SERVICE CAPACITY WORK_MS DOWN_MS RECORD
///     [VERSION FAIL_PERCENT FAIL_PATH]
/// LISTEN and CONTROL are IPv4:port. A request whose path contains "/poison/"
/// crashes the process that begins to run it; it is started again DOWN_MS
/// later, under another id. A heartbeat is sent each 1.5 s; after SIGUSR1 it
/// says "draining". It is of VERSION (v1) and answers FAIL_PERCENT (0) of the
/// requests below FAIL_PATH with 500 after it has run them. RECORD gets a line
/// for each event.
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
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
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static struct sockaddr_in listen_address, control_address;
static const char *listen_text, *base_id, *service;
static char id[64];
static const char *version = "v1", *fail_path = "/";
static int capacity, work_ms, down_ms, record, fail_percent;
static unsigned run_count;
static unsigned incarnation;
static volatile sig_atomic_t draining, stopping;
static pthread_mutex_t slots_mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slots_free = PTHREAD_COND_INITIALIZER;
static int running;

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
  int size = snprintf (line, sizeof line, "%.3f upstream %s ", now_s (), id);
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

static bool
read_address (const char *text, struct sockaddr_in *address)
{
  char host[32];
  unsigned port;
  if (sscanf (text, "%31[^:]:%u", host, &port) != 2)
    return false;
  *address = (struct sockaddr_in){ .sin_family = AF_INET,
                                   .sin_port = htons ((uint16_t)port) };
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t)sent;
    }
  return true;
}

/// Copies a header field's value; "" when it is missing.
static void
find_field (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *start = line + 2 + length + 1;
        start += strspn (start, " \t");
        size_t used = strcspn (start, "\r\n");
        snprintf (value, size, "%.*s", (int)used, start);
        return;
      }
}

/// Waits, and ends early when the caller closes the connection.
static bool
work (int fd, int ms)
{
  double end = now_s () + ms / 1000.0;
  while (now_s () < end)
    {
      struct pollfd p = { .fd = fd, .events = POLLRDHUP };
      int left = (int)((end - now_s ()) * 1000) + 1;
      if (poll (&p, 1, left > 0 ? left : 0) > 0)
        return false;
    }
  return true;
}

static bool
answer (int fd, const char *request_id, const char *status, const char *extra,
        const char *body)
{
  char text[1024];
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 %s\r\nHawthornseam-Request-Id: %s\r\n%s"
                       "Keep-Alive: timeout=30\r\nContent-Length: %zu\r\n\r\n"
                       "%s",
                       status, request_id, extra, strlen (body), body);
  return send_all (fd, text, (size_t)size);
}

/// Reads the rest of a body, with a length or in chunks.
static bool
read_body (int fd, char *buffer, size_t *used, size_t capacity_bytes,
           long long length, bool chunked)
{
  if (chunked)
    {
      for (;;)
        {
          buffer[*used] = '\0';
          size_t n = *used;
          if (n >= 5 && memcmp (buffer + n - 5, "0\r\n\r\n", 5) == 0)
            {
              *used = 0;
              return true;
            }
          if (n > 16)
            {
              memmove (buffer, buffer + n - 16, 16);
              *used = n = 16;
            }
          ssize_t got = recv (fd, buffer + n, capacity_bytes - n - 1, 0);
          if (got <= 0)
            return false;
          *used += (size_t)got;
        }
    }
  while (length > 0)
    {
      if (*used > 0)
        {
          size_t take = (long long)*used < length ? *used : (size_t)length;
          memmove (buffer, buffer + take, *used - take);
          *used -= take;
          length -= (long long)take;
          continue;
        }
      ssize_t got = recv (fd, buffer, capacity_bytes - 1, 0);
      if (got <= 0)
        return false;
      *used = (size_t)got;
    }
  return true;
}

static bool
serve (int fd, char *buffer, size_t *used, size_t capacity_bytes)
{
  char *end;
  buffer[*used] = '\0';
  while ((end = strstr (buffer, "\r\n\r\n")) == NULL)
    {
      if (*used + 1 >= capacity_bytes)
        return false;
      ssize_t got = recv (fd, buffer + *used, capacity_bytes - *used - 1, 0);
      if (got <= 0)
        return false;
      *used += (size_t)got;
      buffer[*used] = '\0';
    }
  char head[16384];
  size_t size = (size_t)(end + 4 - buffer);
  if (size >= sizeof head)
    return false;
  memcpy (head, buffer, size);
  head[size] = '\0';
  memmove (buffer, buffer + size, *used - size);
  *used -= size;
  char method[16], path[1024], request_id[128], expected[64], text[64];
  if (sscanf (head, "%15s %1023s", method, path) != 2)
    return false;
  find_field (head, "Hawthornseam-Request-Id", request_id, sizeof request_id);
  find_field (head, "Hawthornseam-Expect-Instance", expected, sizeof expected);
  find_field (head, "Content-Length", text, sizeof text);
  long long length = text[0] == '\0' ? 0 : atoll (text);
  find_field (head, "Transfer-Encoding", text, sizeof text);
  bool chunked = strcasecmp (text, "chunked") == 0;
  if (strcmp (path, "/healthz") == 0)
    return answer (fd, request_id, "200 OK", "", "");
  if (expected[0] != '\0' && strcmp (expected, id) != 0)
    {
      note ("rejects %s %s: not %s", request_id, path, expected);
      return read_body (fd, buffer, used, capacity_bytes, length, chunked)
             && answer (fd, request_id, "421 Misdirected Request",
                        "Hawthornseam-Not-Executed: 1\r\n", "");
    }
  note ("reached %s %s", request_id, path);
  if (!read_body (fd, buffer, used, capacity_bytes, length, chunked))
    return false;
  pthread_mutex_lock (&slots_mutex);
  while (running >= capacity)
    pthread_cond_wait (&slots_free, &slots_mutex);
  running++;
  pthread_mutex_unlock (&slots_mutex);
  note ("runs %s %s", request_id, path);
  if (strstr (path, "/poison/") != NULL)
    {
      note ("crashes %s %s", request_id, path);
      _exit (7);
    }
  bool whole = work (fd, work_ms);
  pthread_mutex_lock (&slots_mutex);
  running--;
  pthread_cond_signal (&slots_free);
  pthread_mutex_unlock (&slots_mutex);
  if (!whole)
    return false;
  bool fails = strncmp (path, fail_path, strlen (fail_path)) == 0
               && (int)(__sync_add_and_fetch (&run_count, 1) * 37 % 100)
                      < fail_percent;
  if (fails)
    note ("fails %s %s", request_id, path);
  char seal[160];
  snprintf (seal, sizeof seal, "Hawthornseam-Response-Seal: 1.%s\r\n",
            request_id);
  return answer (fd, request_id,
                 fails ? "500 Internal Server Error" : "200 OK", seal, id);
}

static void *
on_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  size_t used = 0, capacity_bytes = 65536;
  char *buffer = malloc (capacity_bytes);
  while (buffer != NULL && serve (fd, buffer, &used, capacity_bytes))
    continue;
  free (buffer);
  close (fd);
  return NULL;
}

/// Sends one heartbeat; returns true when it is acknowledged within a second.
static bool
beat (unsigned sequence, long long born)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct timeval limit = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  char body[512], text[1024], reply[512] = "";
  int size = snprintf (
      body, sizeof body,
      "{\"Address\":\"%s\",\"Info\":{\"Service\":\"%s\",\"Version\":\"%s\","
      "\"Zone\":\"praha-a\",\"Capacity\":%d},\"Status\":{\"State\":\"%s\","
      "\"SeqNo\":%u,\"ColdLeft\":\"0ms\"},\"born\":%lld}",
      listen_text, service, version, capacity, draining ? "draining" : "ready",
      sequence, born);
  size = snprintf (text, sizeof text,
                   "POST /api/instances/%s/heartbeat HTTP/1.1\r\n"
                   "Host: control\r\nContent-Type: application/json\r\n"
                   "Connection: close\r\nContent-Length: %d\r\n\r\n%s",
                   id, size, body);
  bool good = connect (fd, (struct sockaddr *)&control_address,
                       sizeof control_address)
                  == 0
              && send_all (fd, text, (size_t)size)
              && recv (fd, reply, sizeof reply - 1, 0) > 12
              && strncmp (reply + 9, "200", 3) == 0;
  close (fd);
  return good;
}

static void *
on_beats (void *arg)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  long long born = (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
  bool acknowledged = false, was_draining = false;
  double next = 0;
  for (unsigned sequence = 1;; sequence++)
    {
      while (now_s () < next && draining == was_draining)
        usleep (10000);
      bool says_draining = draining;
      if (says_draining && !was_draining)
        note ("says draining");
      was_draining = says_draining;
      bool good = beat (sequence, born);
      if (good && says_draining && !acknowledged)
        {
          acknowledged = true;
          note ("draining acknowledged");
        }
      next = now_s () + (good ? 1.5 : 0.2);
    }
  return arg;
}

static void
on_usr1 (int number)
{
  draining = 1;
}

static void
on_term (int number)
{
  stopping = 1;
}

/// Runs one incarnation.
static void
run_server (void)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGTERM, SIG_DFL);
  snprintf (id, sizeof id, "%s-%u", base_id, incarnation);
  int fd = socket (AF_INET, SOCK_STREAM, 0), one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&listen_address, sizeof listen_address) != 0
      || listen (fd, 256) != 0)
    {
      note ("cannot listen: %s", strerror (errno));
      _exit (2);
    }
  note ("started service=%s", service);
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_create (&thread, &attributes, on_beats, NULL);
  for (;;)
    {
      int client = accept (fd, NULL, NULL);
      if (client >= 0
          && pthread_create (&thread, &attributes, on_connection,
                             (void *)(intptr_t)client)
                 != 0)
        close (client);
    }
}

int
main (int argc, char **argv)
{
  if ((argc != 9 && argc != 12) || !read_address (argv[1], &listen_address)
      || !read_address (argv[2], &control_address))
    return 2;
  listen_text = argv[1];
  base_id = argv[3];
  service = argv[4];
  capacity = atoi (argv[5]);
  work_ms = atoi (argv[6]);
  down_ms = atoi (argv[7]);
  if (argc == 12)
    {
      version = argv[9];
      fail_percent = atoi (argv[10]);
      fail_path = argv[11];
    }
  record = open (argv[8], O_WRONLY | O_APPEND | O_CREAT, 0644);
  snprintf (id, sizeof id, "%s", base_id);
  struct sigaction usr1 = { .sa_handler = on_usr1, .sa_flags = SA_RESTART };
  struct sigaction term = { .sa_handler = on_term };
  sigaction (SIGUSR1, &usr1, NULL);
  sigaction (SIGTERM, &term, NULL);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  /* The parent starts the next incarnation and passes SIGUSR1 on. */
  while (!stopping)
    {
      incarnation++;
      pid_t child = fork ();
      if (child == 0)
        run_server ();
      bool passed_on = false;
      int status;
      while (waitpid (child, &status, WNOHANG) == 0)
        {
          if (stopping)
            kill (child, SIGKILL);
          if (draining && !passed_on)
            {
              passed_on = true;
              kill (child, SIGUSR1);
            }
          usleep (10000);
        }
      for (int i = 0; i < down_ms / 10 && !stopping; i++)
        usleep (10000);
    }
  return 0;
}
