/// A target and a caller for tests of the call path. They use plain sockets on
/// the same event loop, so that they can violate the protocol.
#ifndef HAWTHORNSEAM_TEST_CALL_TARGET_H
#define HAWTHORNSEAM_TEST_CALL_TARGET_H

#include "call_mesh.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define TARGET_CONNECTIONS 64
/// More than the kernel buffers on the three connections of a call.
#define TARGET_DOWNLOAD (64u * 1024 * 1024)

struct fake_target;

struct fake_connection
{
  struct fake_target *target;
  struct bufferevent *bev;
  size_t to_send; ///< bytes of a download not yet sent
  bool refused;   ///< a request was refused on this connection
  struct event timer;
};

struct fake_target
{
  struct evconnlistener *listener;
  uint16_t port;
  struct fake_connection connections[TARGET_CONNECTIONS];
  unsigned requests; ///< complete requests received
  size_t most_buffered;
};

/// Closes a connection with a TCP reset.
static inline void
fake_reset (struct fake_connection *connection)
{
  struct linger reset = { 1, 0 };
  setsockopt (bufferevent_getfd (connection->bev), SOL_SOCKET, SO_LINGER,
              &reset, sizeof reset);
  event_del (&connection->timer);
  bufferevent_free (connection->bev);
  connection->bev = NULL;
}

static inline void
fake_crash (struct fake_target *target)
{
  if (target->listener != NULL)
    evconnlistener_free (target->listener);
  target->listener = NULL;
  for (size_t i = 0; i < TARGET_CONNECTIONS; i++)
    if (target->connections[i].bev != NULL)
      fake_reset (&target->connections[i]);
}

static inline void
fake_send (struct fake_connection *connection, const char *text)
{
  bufferevent_write (connection->bev, text, strlen (text));
}

static inline void
fake_answer (struct fake_connection *connection, const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                       strlen (body), body);
}

static inline void
fake_send_late (evutil_socket_t fd, short what, void *arg)
{
  fake_answer (arg, "late");
}

/// Sends the next chunk of a download when the last one was written.
static inline void
fake_writable (struct bufferevent *bev, void *arg)
{
  struct fake_connection *connection = arg;
  static char chunk[16 * 1024];
  if (connection->to_send == 0)
    return;
  evbuffer_add_printf (bufferevent_get_output (bev), "%zx\r\n", sizeof chunk);
  bufferevent_write (bev, chunk, sizeof chunk);
  fake_send (connection, "\r\n");
  connection->to_send -= sizeof chunk;
  if (connection->to_send == 0)
    fake_send (connection, "0\r\n\r\n");
}

/// Sends a text and then closes, so that the other end receives all of it.
static inline void
fake_send_and_close (struct fake_connection *connection, const char *text)
{
  send (bufferevent_getfd (connection->bev), text, strlen (text), 0);
  shutdown (bufferevent_getfd (connection->bev), SHUT_RDWR);
}

static inline void
fake_serve (struct fake_connection *connection, const char *path)
{
  struct fake_target *target = connection->target;
  static const char refusal[]
      = "HTTP/1.1 503 Busy\r\nHawthornseam-Outcome: not-run"
        "\r\nContent-Length: 0\r\n\r\n";
  target->requests++;
  /* An earlier refusal is written once more. */
  if (connection->refused && strstr (path, "/shed") == NULL)
    fake_send (connection, refusal);
  if (strstr (path, "/ok") != NULL)
    fake_answer (connection, path);
  else if (strstr (path, "/late") != NULL)
    event_add (&connection->timer, &(struct timeval){ 0, 700000 });
  else if (strstr (path, "/slow") != NULL)
    event_add (&connection->timer, &(struct timeval){ 0, 100000 });
  else if (strstr (path, "/cut-length") != NULL)
    fake_send_and_close (connection,
                         "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
                         "only a part");
  else if (strstr (path, "/cut-chunks") != NULL)
    fake_send_and_close (connection,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                         "\r\n\r\n4\r\npart\r\n");
  else if (strstr (path, "/unframed") != NULL)
    fake_send_and_close (connection, "HTTP/1.1 200 OK\r\n\r\nno end in sight");
  else if (strstr (path, "/two-answers") != NULL)
    {
      fake_answer (connection, "first");
      fake_answer (connection, "second");
    }
  else if (strstr (path, "/shed") != NULL)
    {
      fake_send (connection, refusal);
      connection->refused = true;
    }
  else if (strstr (path, "/cut-head") != NULL)
    fake_send_and_close (connection,
                         "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n");
  else if (strstr (path, "/cut-field") != NULL)
    fake_send_and_close (connection, "HTTP/1.1 200 OK\r\nContent-Length: 0");
  else if (strstr (path, "/cut-status") != NULL)
    fake_send_and_close (connection, "HTTP/1.1 204 No Con");
  else if (strstr (path, "/cut-blank") != NULL)
    fake_send_and_close (connection,
                         "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r");
  else if (strstr (path, "/reset") != NULL)
    fake_reset (connection);
  else if (strstr (path, "/crash") != NULL)
    fake_crash (target);
  else if (strstr (path, "/download") != NULL)
    {
      connection->to_send = TARGET_DOWNLOAD;
      fake_send (connection,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
}

static inline void
fake_read (struct bufferevent *bev, void *arg)
{
  struct fake_connection *connection = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return;
  char head[4096];
  size_t size = (size_t)end.pos + 4;
  if (size >= sizeof head)
    abort ();
  evbuffer_copyout (input, head, size);
  head[size] = '\0';
  const char *length = strstr (head, "Content-Length: ");
  size_t body = length == NULL ? 0 : strtoul (length + 16, NULL, 10);
  if (evbuffer_get_length (input) < size + body)
    return;
  evbuffer_drain (input, size + body);
  *strchr (strchr (head, ' ') + 1, ' ') = '\0';
  fake_serve (connection, strchr (head, ' ') + 1);
}

static inline void
fake_event (struct bufferevent *bev, short what, void *arg)
{
  struct fake_connection *connection = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  event_del (&connection->timer);
  bufferevent_free (bev);
  connection->bev = NULL;
}

static inline void
fake_accept (struct evconnlistener *listener, evutil_socket_t fd,
             struct sockaddr *address, int size, void *arg)
{
  struct fake_target *target = arg;
  struct fake_connection *connection = target->connections;
  while (connection->bev != NULL)
    connection++;
  connection->target = target;
  connection->to_send = 0;
  connection->refused = false;
  connection->bev
      = bufferevent_socket_new (mesh.base, fd, BEV_OPT_CLOSE_ON_FREE);
  evtimer_assign (&connection->timer, mesh.base, fake_send_late, connection);
  bufferevent_setcb (connection->bev, fake_read, fake_writable, fake_event,
                     connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

/// Starts a target at a node and sets it ready there.
/// @param boot_id  of the process that the target represents
static inline void
fake_start (struct fake_target *target, struct node *node, const char *version,
            unsigned slots, const char *boot_id)
{
  if (target->listener == NULL)
    {
      struct sockaddr_in at = { .sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                .sin_port = htons (target->port) };
      target->listener
          = evconnlistener_new_bind (mesh.base, fake_accept, target,
                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                     64, (struct sockaddr *)&at, sizeof at);
      socklen_t size = sizeof at;
      getsockname (evconnlistener_get_fd (target->listener),
                   (struct sockaddr *)&at, &size);
      target->port = ntohs (at.sin_port);
    }
  struct own_target *own = &node->calls->own_target;
  strcpy (own->service, "s");
  snprintf (own->version, sizeof own->version, "%s", version);
  snprintf (own->boot_id, sizeof own->boot_id, "%s", boot_id);
  own->port = target->port;
  own->slots = own->connections = (uint16_t)slots;
  own->announced_ms = clock_monotonic_ms ();
  node_call_set_target_state (node->calls, TARGET_READY);
}

/// A caller and what it received.
struct caller
{
  struct bufferevent *bev;
  struct evbuffer *received;
  size_t bytes;
  bool closed;
  bool reads; ///< false: the caller does not read
};

static inline void
caller_read (struct bufferevent *bev, void *arg)
{
  struct caller *caller = arg;
  caller->bytes += evbuffer_get_length (bufferevent_get_input (bev));
  bufferevent_read_buffer (bev, caller->received);
  if (evbuffer_get_length (caller->received) > 64 * 1024)
    evbuffer_drain (caller->received,
                    evbuffer_get_length (caller->received) - 1024);
}

static inline void
caller_event (struct bufferevent *bev, short what, void *arg)
{
  struct caller *caller = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    caller->closed = true;
}

/// Connects to a node and sends a request.
static inline void
caller_start (struct caller *caller, size_t node, const char *bytes)
{
  memset (caller, 0, sizeof *caller);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                            .sin_port = htons (mesh.members[node].call_port) };
  caller->received = evbuffer_new ();
  caller->bev = bufferevent_socket_new (mesh.base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, caller_read, NULL, caller_event, caller);
  bufferevent_socket_connect (caller->bev, (struct sockaddr *)&to, sizeof to);
  bufferevent_write (caller->bev, bytes, strlen (bytes));
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
}

static inline void
caller_finish (struct caller *caller)
{
  bufferevent_free (caller->bev);
  evbuffer_free (caller->received);
}

/// @return true when the received bytes contain a text
static inline bool
caller_has (struct caller *caller, const char *text)
{
  return evbuffer_search (caller->received, text, strlen (text), NULL).pos
         >= 0;
}

#endif
