/// Owns the processes of a case and its record.
#include "mesh.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1500
#define METRICS_PORT 9464

struct machine machines[MACHINES_MAX];
int machine_count;
bool trouble = true;

static long long start_ms;
static FILE *record_file;
static char folder[256];
static char root[512]; ///< of the repository
static int first_port;
static int network; ///< third byte of the machines' addresses
static pid_t store_process;
static int store_port;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
monotonic_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

long
now_ms (void)
{
  return (long)(monotonic_ms () - start_ms);
}

void
sleep_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };
  while (ms > 0 && nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8ld ms  ", now_ms ());
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
end_process (pid_t *process)
{
  if (*process <= 0)
    return;
  kill (*process, SIGCONT);
  kill (*process, SIGKILL);
  waitpid (*process, NULL, 0);
  *process = 0;
}

void
mesh_end (enum verdict verdict, const char *reason)
{
  static const char *const names[] = { "held", "BROKEN", "not run" };
  record ("verdict: %s: %s", names[verdict], reason);
  for (int i = 0; i < machine_count; i++)
    end_process (&machines[i].sidecar);
  end_process (&store_process);
  printf ("%s: %s\n", names[verdict], reason);
  if (getenv ("KEEP") == NULL && folder[0] != '\0')
    {
      char command[320];
      for (int i = 0; i < machine_count; i++)
        {
          snprintf (command, sizeof command, "%s/%s.yaml", folder,
                    machines[i].name);
          unlink (command);
          snprintf (command, sizeof command, "%s/%s.log", folder,
                    machines[i].name);
          unlink (command);
        }
      snprintf (command, sizeof command, "%s/store.log", folder);
      unlink (command);
      rmdir (folder);
    }
  fflush (NULL);
  _exit (verdict);
}

int
mesh_port (int kind)
{
  return first_port + kind;
}

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
listen_on (const char *ip, int port)
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  struct sockaddr_in address = address_of (ip, port);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 256) != 0)
    {
      close (listener);
      return -1;
    }
  return listener;
}

static bool
is_free (const char *ip, int port)
{
  int listener = listen_on (ip, port);
  if (listener >= 0)
    close (listener);
  return listener >= 0;
}

static int
connect_to (const char *ip, int port)
{
  int s = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt (s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct sockaddr_in address = address_of (ip, port);
  if (connect (s, (struct sockaddr *)&address, sizeof address) == 0)
    return s;
  close (s);
  return -1;
}

int
mesh_connect (const struct machine *machine, int kind)
{
  return connect_to (machine->ip, mesh_port (kind));
}

void
send_text (int s, const char *format, ...)
{
  char text[16384];
  va_list arguments;
  va_start (arguments, format);
  int size = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  for (int sent = 0; sent < size;)
    {
      ssize_t n = send (s, text + sent, (size_t)(size - sent), MSG_NOSIGNAL);
      if (n <= 0)
        return;
      sent += (int)n;
    }
}

/// Opens the log of a process as its standard output and error.
static void
redirect_output (const char *name)
{
  char path[300];
  snprintf (path, sizeof path, "%s/%s.log", folder, name);
  int log = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (log, 1);
  dup2 (log, 2);
}

static void
end_on_signal (int number)
{
  mesh_end (VERDICT_NOT_RUN, "interrupted or out of time");
}

void
mesh_begin (int argc, char **argv)
{
  start_ms = monotonic_ms ();
  const char *text = getenv ("TROUBLE");
  trouble = text == NULL || strcmp (text, "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  if (argc != 3 || realpath (argv[1], root) == NULL)
    {
      fprintf (stderr, "usage: %s REPOSITORY RECORD\n", argv[0]);
      _exit (VERDICT_NOT_RUN);
    }
  record_file = fopen (argv[2], "w");
  if (record_file == NULL)
    {
      perror (argv[2]);
      _exit (VERDICT_NOT_RUN);
    }
  record ("case %s, %s the disruption", strrchr (argv[0], '/') + 1,
          trouble ? "with" : "without");
  signal (SIGALRM, end_on_signal);
  signal (SIGTERM, end_on_signal);
  signal (SIGINT, end_on_signal);
  alarm (115);
  const char *temporary = getenv ("TMPDIR");
  snprintf (folder, sizeof folder, "%s/review-XXXXXX",
            temporary == NULL ? "/tmp" : temporary);
  if (mkdtemp (folder) == NULL)
    mesh_end (VERDICT_NOT_RUN, "no temporary folder");
  srand ((unsigned)(getpid () ^ (unsigned)start_ms));
  for (int attempt = 0; attempt < 50; attempt++)
    {
      network = 1 + rand () % 250;
      first_port = 20000 + rand () % 800 * 10;
      store_port = first_port + 9;
      bool is_usable = is_free ("127.0.0.1", store_port);
      for (int i = 0; is_usable && i < MACHINES_MAX; i++)
        {
          char ip[32];
          snprintf (ip, sizeof ip, "127.77.%d.%d", network, i + 1);
          is_usable = is_free (ip, METRICS_PORT);
          for (int k = 0; is_usable && k < 6; k++)
            is_usable = is_free (ip, first_port + k);
        }
      if (is_usable)
        break;
      first_port = 0;
    }
  if (first_port == 0)
    mesh_end (VERDICT_NOT_RUN, "no free ports");
  store_process = fork ();
  if (store_process == 0)
    {
      char path[600], port[16];
      redirect_output ("store");
      snprintf (path, sizeof path, "%s/build/review/standin-platform", root);
      snprintf (port, sizeof port, "%d", store_port);
      execl (path, path, port, (char *)NULL);
      _exit (127);
    }
  for (int i = 0; i < 100; i++)
    {
      int s = connect_to ("127.0.0.1", store_port);
      if (s >= 0)
        {
          close (s);
          return;
        }
      sleep_ms (50);
    }
  mesh_end (VERDICT_NOT_RUN, "the store does not start");
}

/// Sends a request on a connection of its own.
/// @return status, 0 for none
static int
call (const char *ip, int port, const char *method, const char *path,
      const char *body, long wait_ms)
{
  int s = connect_to (ip, port);
  if (s < 0)
    return 0;
  send_text (s,
             "%s %s HTTP/1.1\r\nHost: x.example\r\nContent-Type: "
             "application/json\r\nContent-Length: %zu\r\n\r\n%s",
             method, path, strlen (body), body);
  struct reader *reader = calloc (1, sizeof *reader);
  struct response response;
  reader->socket = s;
  read_response (reader, &response, now_ms () + wait_ms);
  free (reader);
  close (s);
  return response.status;
}

void
store_control (const char *path, const char *body)
{
  char full[128];
  snprintf (full, sizeof full, "/control/%s", path);
  if (call ("127.0.0.1", store_port, "POST", full, body, 3000) != 200)
    mesh_end (VERDICT_NOT_RUN, "the store refuses a control call");
  record ("store: %s", path);
}

/// Decodes base64 up to the first other character.
static void
decode_base64 (const char *text, char *value, size_t size)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  unsigned bits = 0;
  int count = 0;
  size_t used = 0;
  for (; *text != '\0' && used + 1 < size; text++)
    {
      const char *digit = strchr (digits, *text);
      if (digit == NULL)
        break;
      bits = bits << 6 | (unsigned)(digit - digits);
      count += 6;
      if (count >= 8)
        {
          count -= 8;
          value[used++] = (char)(bits >> count & 0xff);
        }
    }
  value[used] = '\0';
}

bool
store_read (const char *key, char *value, size_t size)
{
  static const char field[] = "\"Value\":\"";
  int s = connect_to ("127.0.0.1", store_port);
  if (s < 0)
    return false;
  send_text (s,
             "GET /api/kv-range?Prefix=%s HTTP/1.1\r\nHost: x.example\r\n"
             "\r\n",
             key);
  struct reader *reader = calloc (1, sizeof *reader);
  struct response response;
  reader->socket = s;
  read_response (reader, &response, now_ms () + 2000);
  free (reader);
  close (s);
  char *text = strstr (response.body, field);
  if (response.status != 200 || !response.complete || text == NULL)
    return false;
  decode_base64 (text + strlen (field), value, size);
  return true;
}

struct machine *
mesh_add (const char *zone, const char *service, upstream_handler *handler)
{
  struct machine *machine = &machines[machine_count];
  *machine = (struct machine){ .index = machine_count,
                               .zone = zone,
                               .service = service,
                               .handler = handler,
                               .listener = -1,
                               .state = "ready" };
  snprintf (machine->ip, sizeof machine->ip, "127.77.%d.%d", network,
            machine_count + 1);
  snprintf (machine->name, sizeof machine->name, "sidecar-%s-%d", zone,
            machine_count + 1);
  machine_count++;
  return machine;
}

/* Settings */

static void
write_value (FILE *file, const struct machine *machine, const char *name)
{
  static const struct
  {
    const char *name;
    const char *value;
  } values[] = {
    { "Provider.TtlMin", "1000ms" },    { "Provider.ReadsPerS", "2000" },
    { "Heartbeat", "1500ms" },          { "Bounds.Drain", "2000ms" },
    { "Bounds.ConfigApply", "2000ms" }, { "Bounds.Grace", "6s" },
    { "Bounds.BudgetRatio", "0.2" },    { "Bounds.BudgetSlack", "64" },
    { "Limits.LinkMbps", "1000.0" },
  };
  static const char *const ports[]
      = { "ListenAddrs.Inbound", "ListenAddrs.Outbound", "ListenAddrs.Ready",
          "ListenAddrs.Control", "AppAddr" };
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    if (strcmp (values[i].name, name) == 0)
      fputs (values[i].value, file);
  for (int i = 0; i < 5; i++)
    if (strcmp (ports[i], name) == 0)
      fprintf (file, "%s:%d", machine->ip, mesh_port (i));
  if (strcmp (name, "NodeId") == 0)
    fputs (machine->name, file);
  if (strcmp (name, "Zone") == 0)
    fputs (machine->zone, file);
  if (strcmp (name, "Service") == 0)
    fputs (machine->service, file);
  if (strcmp (name, "Ip") == 0)
    fputs (machine->ip, file);
  if (strcmp (name, "Provider.Address") == 0)
    fprintf (file, "127.0.0.1:%d", store_port);
}

/// Fills in the template of the deploy file.
static void
write_settings (const struct machine *machine, const char *path)
{
  char template_path[600], line[512];
  snprintf (template_path, sizeof template_path, "%s/deploy/sidecar.yaml",
            root);
  FILE *in = fopen (template_path, "r");
  FILE *out = fopen (path, "w");
  if (in == NULL || out == NULL)
    mesh_end (VERDICT_NOT_RUN, "cannot write the settings");
  while (fgets (line, sizeof line, in) != NULL)
    for (char *at = line; *at != '\0';)
      {
        char *end = strncmp (at, "{{", 2) == 0 ? strstr (at, "}}") : NULL;
        if (end == NULL)
          {
            fputc (*at++, out);
            continue;
          }
        *end = '\0';
        write_value (out, machine, at + 2);
        at = end + 2;
      }
  fclose (in);
  fclose (out);
}

void
sidecar_start (struct machine *machine)
{
  char settings[300];
  snprintf (settings, sizeof settings, "%s/%s.yaml", folder, machine->name);
  write_settings (machine, settings);
  record ("%s: sidecar is started", machine->name);
  machine->sidecar = fork ();
  if (machine->sidecar != 0)
    return;
  redirect_output (machine->name);
  setenv ("HAWTHORNSEAM_SETTINGS", settings, 1);
  if (chdir (root) == 0)
    execl ("target/hawthornseam-sidecar", "target/hawthornseam-sidecar",
           (char *)NULL);
  _exit (127);
}

void
sidecar_signal (struct machine *machine, int number)
{
  record ("%s: sidecar gets signal %d (%s)", machine->name, number,
          strsignal (number));
  kill (machine->sidecar, number);
}

bool
sidecar_wait (struct machine *machine, long ms)
{
  int status;
  for (long end = now_ms () + ms; now_ms () < end; sleep_ms (5))
    if (waitpid (machine->sidecar, &status, WNOHANG) == machine->sidecar)
      {
        record ("%s: sidecar has ended, status %#x", machine->name, status);
        machine->sidecar = 0;
        return true;
      }
  return false;
}

/* Upstreams */

int
upstream_report (struct machine *machine, const char *state, long sequence)
{
  char path[128], body[512];
  snprintf (path, sizeof path, "/api/instances/%s/heartbeat",
            machine->instance);
  snprintf (body, sizeof body,
            "{\"Address\":\"%s:%d\",\"Info\":{\"Service\":\"%s\",\"Version\":"
            "\"%s\",\"Zone\":\"%s\",\"Capacity\":12},\"Status\":{\"State\":"
            "\"%s\",\"SeqNo\":%ld,\"ColdLeft\":\"0ms\"},\"born\":%lld}",
            machine->ip, mesh_port (4), machine->service, machine->version,
            machine->zone, state, sequence, machine->born);
  return call (machine->ip, mesh_port (3), "POST", path, body, 1000);
}

int
upstream_deregister (struct machine *machine)
{
  char path[128], body[64];
  snprintf (path, sizeof path, "/api/instances/%s/deregister",
            machine->instance);
  snprintf (body, sizeof body, "{\"born\":%lld}", machine->born);
  int status = call (machine->ip, mesh_port (3), "POST", path, body, 1000);
  record ("%s: deregister of %s is answered %d", machine->name,
          machine->instance, status);
  return status;
}

static void *
send_heartbeats (void *arg)
{
  struct machine *machine = arg;
  for (;;)
    {
      if (machine->beats)
        upstream_report (machine, machine->state, ++machine->sequence);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

bool
upstream_work (struct upstream_request *request, long ms)
{
  struct pollfd poll_socket = { .fd = request->socket, .events = POLLRDHUP };
  if (poll (&poll_socket, 1, (int)ms) == 0)
    return true;
  record ("%s: upstream %s: %s is cut by its caller at work",
          request->machine->name, request->machine->instance, request->id);
  request->close = true;
  return false;
}

void
upstream_answer (struct upstream_request *request, int status,
                 const char *body)
{
  send_text (request->socket,
             "HTTP/1.1 %d X\r\nHawthornseam-Request-Id: %s\r\n"
             "Hawthornseam-Response-Seal: seal-%s\r\nContent-Length: %zu\r\n"
             "Hawthornseam-Server-Load: 0,0,12\r\n%s\r\n%s",
             status, request->id, request->id, strlen (body),
             request->close ? "Connection: close\r\n" : "", body);
  record ("%s: upstream %s: %s is answered %d", request->machine->name,
          request->machine->instance, request->id, status);
}

#define SOCKETS_MAX 1024

struct upstream_connection
{
  struct machine *machine; ///< NULL: unused
  int socket;
};

/// Open connections of all upstreams.
static struct upstream_connection sockets[SOCKETS_MAX];
static pthread_mutex_t sockets_lock = PTHREAD_MUTEX_INITIALIZER;

/// @return value of a field of a head, copied, or "" when it is missing
static const char *
find_field (const char *head, const char *name, char *value, size_t size)
{
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      size_t length = strlen (name);
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      line += strspn (line, " ");
      snprintf (value, size, "%.*s", (int)strcspn (line, "\r\n"), line);
      break;
    }
  return value;
}

/// Adds or removes an open connection of an upstream.
static void
note_socket (struct machine *machine, int s, bool is_open)
{
  pthread_mutex_lock (&sockets_lock);
  for (int i = 0; i < SOCKETS_MAX; i++)
    if (is_open ? sockets[i].machine == NULL
                : sockets[i].machine == machine && sockets[i].socket == s)
      {
        sockets[i]
            = (struct upstream_connection){ is_open ? machine : NULL, s };
        break;
      }
  pthread_mutex_unlock (&sockets_lock);
}

static void *
serve_upstream (void *arg)
{
  struct upstream_connection *connection = arg;
  note_socket (connection->machine, connection->socket, true);
  struct upstream_request request
      = { .machine = connection->machine, .socket = connection->socket };
  static __thread char bytes[65536];
  size_t size = 0;
  while (!request.close)
    {
      char *end;
      char value[256];
      bytes[size] = '\0';
      while ((end = strstr (bytes, "\r\n\r\n")) == NULL)
        {
          ssize_t n = recv (request.socket, bytes + size,
                            sizeof bytes - 1 - size, 0);
          if (n <= 0)
            goto closed;
          size += (size_t)n;
          bytes[size] = '\0';
        }
      end[2] = '\0';
      size_t head_size = (size_t)(end - bytes) + 4;
      sscanf (bytes, "%15s %255s", request.method, request.path);
      snprintf (request.previous, sizeof request.previous, "%s", request.id);
      find_field (bytes, "Hawthornseam-Request-Id", request.id,
                  sizeof request.id);
      char expected[256];
      find_field (bytes, "Hawthornseam-Expect-Instance", expected,
                  sizeof expected);
      request.body_size = strtoul (
          find_field (bytes, "Content-Length", value, sizeof value), NULL, 10);
      /* The rest of the body is read and dropped. */
      size_t unread = request.body_size;
      size_t here = size - head_size < unread ? size - head_size : unread;
      memmove (bytes, bytes + head_size + here, size - head_size - here);
      size -= head_size + here;
      unread -= here;
      while (unread > 0)
        {
          char rest[16384];
          ssize_t n = recv (request.socket, rest,
                            unread < sizeof rest ? unread : sizeof rest, 0);
          if (n <= 0)
            goto closed;
          unread -= (size_t)n;
        }
      if (expected[0] != '\0'
          && strcmp (expected, request.machine->instance) != 0)
        {
          send_text (request.socket,
                     "HTTP/1.1 421 X\r\nHawthornseam-Request-Id: %s\r\n"
                     "Content-Length: 0\r\n\r\n",
                     request.id);
          continue;
        }
      record ("%s: upstream %s: runs %s %s %s", request.machine->name,
              request.machine->instance, request.id, request.method,
              request.path);
      request.machine->handler (&request);
    }
closed:
  note_socket (connection->machine, connection->socket, false);
  close (request.socket);
  free (connection);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 1024 * 1024);
  if (pthread_create (&thread, &attributes, run, arg) != 0)
    mesh_end (VERDICT_NOT_RUN, "no thread");
}

static void *
accept_upstream (void *arg)
{
  struct machine *machine = arg;
  int listener = machine->listener;
  for (;;)
    {
      int s = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (s < 0)
        break;
      int one = 1;
      setsockopt (s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      struct upstream_connection *connection = calloc (1, sizeof *connection);
      *connection = (struct upstream_connection){ machine, s };
      start_thread (serve_upstream, connection);
    }
  close (listener);
  return NULL;
}

void
upstream_start (struct machine *machine, const char *version)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  machine->born = t.tv_sec * 1000LL + t.tv_nsec / 1000000;
  snprintf (machine->instance, sizeof machine->instance, "i-%d%08llx",
            machine->index, machine->born & 0xffffffff);
  snprintf (machine->version, sizeof machine->version, "%s", version);
  machine->sequence = 0;
  machine->state = "ready";
  machine->listener = listen_on (machine->ip, mesh_port (4));
  if (machine->listener < 0)
    mesh_end (VERDICT_NOT_RUN, "an upstream cannot listen");
  start_thread (accept_upstream, machine);
  record ("%s: upstream %s of %s %s is started", machine->name,
          machine->instance, machine->service, version);
  machine->beats = true;
}

void
upstream_stop (struct machine *machine)
{
  record ("%s: upstream %s is stopped", machine->name, machine->instance);
  machine->beats = false;
  if (machine->listener >= 0)
    shutdown (machine->listener, SHUT_RDWR);
  machine->listener = -1;
  pthread_mutex_lock (&sockets_lock);
  for (int i = 0; i < SOCKETS_MAX; i++)
    if (sockets[i].machine == machine)
      shutdown (sockets[i].socket, SHUT_RDWR);
  pthread_mutex_unlock (&sockets_lock);
}

static bool
is_ready (const struct machine *machine)
{
  return call (machine->ip, mesh_port (2), "GET", "/api/readyz", "", 1000)
         == 200;
}

void
mesh_start (const char *config)
{
  for (int i = 0; i < machine_count; i++)
    {
      if (machines[i].handler != NULL)
        {
          upstream_start (&machines[i], "v1");
          sidecar_start (&machines[i]);
        }
    }
  store_control ("put?op/config", config);
  for (int i = 0; i < machine_count; i++)
    start_thread (send_heartbeats, &machines[i]);
  for (int i = 0; i < machine_count; i++)
    for (int attempt = 0;
         machines[i].handler != NULL && !is_ready (&machines[i]); attempt++)
      {
        if (attempt == 100)
          mesh_end (VERDICT_NOT_RUN, "a sidecar does not become ready");
        sleep_ms (100);
      }
  /* The platform starts traffic eight seconds after the machines. */
  while (now_ms () < 8000)
    sleep_ms (50);
  record ("all sidecars are ready");
}

/* Clients */

/// @return false at the end of the connection or of the time
static bool
read_more (struct reader *reader, long until_ms)
{
  if (reader->used > 0)
    {
      memmove (reader->bytes, reader->bytes + reader->used,
               reader->size - reader->used);
      reader->size -= reader->used;
      reader->used = 0;
    }
  struct pollfd poll_socket = { .fd = reader->socket, .events = POLLIN };
  long wait_ms = until_ms - now_ms ();
  if (reader->size == sizeof reader->bytes - 1 || wait_ms <= 0
      || poll (&poll_socket, 1, (int)wait_ms) <= 0)
    return false;
  ssize_t n = recv (reader->socket, reader->bytes + reader->size,
                    sizeof reader->bytes - 1 - reader->size, 0);
  if (n <= 0)
    return false;
  reader->size += (size_t)n;
  reader->bytes[reader->size] = '\0';
  return true;
}

/// Takes bytes of a body.
static bool
read_body (struct reader *reader, struct response *response, size_t size,
           long until_ms)
{
  while (size > 0)
    {
      size_t here = reader->size - reader->used;
      if (here == 0)
        {
          if (!read_more (reader, until_ms))
            return false;
          continue;
        }
      if (here > size)
        here = size;
      for (size_t i = 0; i < here; i++)
        if (response->body_size + i < sizeof response->body - 1)
          response->body[response->body_size + i]
              = reader->bytes[reader->used + i];
      response->body_size += here;
      reader->used += here;
      size -= here;
    }
  return true;
}

/// Takes a line without its end.
static bool
read_line (struct reader *reader, char *line, size_t size, long until_ms)
{
  for (;;)
    {
      char *start = reader->bytes + reader->used;
      char *end = reader->size > reader->used
                      ? memmem (start, reader->size - reader->used, "\r\n", 2)
                      : NULL;
      if (end != NULL)
        {
          snprintf (line, size, "%.*s", (int)(end - start), start);
          reader->used += (size_t)(end - start) + 2;
          return true;
        }
      if (!read_more (reader, until_ms))
        return false;
    }
}

void
read_response (struct reader *reader, struct response *response, long until_ms)
{
  char line[1024];
  long length = -1;
  bool chunked = false;
  memset (response, 0, sizeof *response);
  if (!read_line (reader, line, sizeof line, until_ms)
      || sscanf (line, "HTTP/1.1 %d", &response->status) != 1)
    return;
  for (;;)
    {
      if (!read_line (reader, line, sizeof line, until_ms))
        return;
      if (line[0] == '\0')
        break;
      char *value = strchr (line, ':');
      if (value == NULL)
        return;
      *value++ = '\0';
      value += strspn (value, " ");
      if (strcasecmp (line, "Content-Length") == 0)
        length = atol (value);
      else if (strcasecmp (line, "Transfer-Encoding") == 0)
        chunked = strcasecmp (value, "chunked") == 0;
      else if (strcasecmp (line, "Connection") == 0)
        response->close = strcasecmp (value, "close") == 0;
      else if (strcasecmp (line, "Hawthornseam-Request-Id") == 0)
        snprintf (response->id, sizeof response->id, "%.255s", value);
      else if (strcasecmp (line, "Hawthornseam-Response-Seal") == 0)
        response->sealed = true;
    }
  if (!chunked)
    {
      response->complete
          = length >= 0
            && read_body (reader, response, (size_t)length, until_ms);
      return;
    }
  for (;;)
    {
      if (!read_line (reader, line, sizeof line, until_ms))
        return;
      size_t size = strtoul (line, NULL, 16);
      if (size == 0)
        {
          response->complete = read_line (reader, line, sizeof line, until_ms);
          return;
        }
      if (!read_body (reader, response, size, until_ms)
          || !read_line (reader, line, sizeof line, until_ms))
        return;
    }
}
