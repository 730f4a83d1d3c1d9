/// Stand-in for a target whose responses break off. Usage:
///   standin-breaking_target PORT INSTANCE
/// The path of a request states its response: /read/KIND-BYTES-MS/NAME with
/// KIND
///   whole    complete, with a length, after MS milliseconds
///   length, chunked, close
///            a response with this framing that breaks off: the head and BYTES
///            of the body, MS milliseconds later a reset of the connection
/// Prints "run NAME" for each request.
#define _GNU_SOURCE
#include "transport/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LOOPBACK 0x7f000001u

struct exchange
{
  struct bufferevent *bev;
  struct event timer;
  char kind[16];
  size_t bytes;
  uint64_t wait_ms;
  char id[80];
};

static struct event_base *base;
static const char *instance;

static void
close_exchange (struct exchange *exchange)
{
  event_del (&exchange->timer);
  bufferevent_free (exchange->bev);
  free (exchange);
}

/// Writes a head with the given framing, and `bytes` of the body.
static void
send_part (struct exchange *exchange, const char *framing, size_t bytes)
{
  struct evbuffer *output = bufferevent_get_output (exchange->bev);
  char *body = malloc (bytes + 1);
  memset (body, 'a', bytes);
  evbuffer_add_printf (output,
                       "HTTP/1.1 200 OK\r\nHawthornseam-Request-Id: %s\r\n"
                       "Hawthornseam-Response-Seal: x\r\n%s\r\n",
                       exchange->id, framing);
  if (strcmp (exchange->kind, "chunked") == 0)
    evbuffer_add_printf (output, "%zx\r\n", bytes + 1);
  evbuffer_add (output, body, bytes);
  free (body);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct exchange *exchange = arg;
  char framing[64];
  if (strcmp (exchange->kind, "whole") != 0)
    {
      const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
      setsockopt (bufferevent_getfd (exchange->bev), SOL_SOCKET, SO_LINGER,
                  &reset, sizeof reset);
      close_exchange (exchange);
      return;
    }
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n",
            exchange->bytes);
  send_part (exchange, framing, exchange->bytes);
}

static void
begin_response (struct exchange *exchange)
{
  char framing[64] = "Connection: close\r\n";
  if (strcmp (exchange->kind, "length") == 0)
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n",
              exchange->bytes + 1);
  else if (strcmp (exchange->kind, "chunked") == 0)
    strcpy (framing, "Transfer-Encoding: chunked\r\n");
  if (strcmp (exchange->kind, "whole") != 0)
    send_part (exchange, framing, exchange->bytes);
  timer_start (&exchange->timer, exchange->wait_ms);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct exchange *exchange = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return;
  size_t size = (size_t)end.pos + 4;
  char *head = calloc (1, size + 1);
  char name[64] = "";
  evbuffer_remove (input, head, size);
  if (sscanf (head, "GET /read/%15[a-z]-%zu-%lu/%63[^ ]", exchange->kind,
              &exchange->bytes, &exchange->wait_ms, name)
      < 4)
    {
      fprintf (stderr, "unexpected request: %s\n", head);
      exit (1);
    }
  const char *id = strcasestr (head, "\r\nHawthornseam-Request-Id: ");
  if (id != NULL)
    sscanf (id, "\r\n%*[^:]: %79[^\r]", exchange->id);
  printf ("run %s at %s\n", name, instance);
  fflush (stdout);
  free (head);
  begin_response (exchange);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    close_exchange (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int size, void *arg)
{
  struct exchange *exchange = calloc (1, sizeof *exchange);
  exchange->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  evtimer_assign (&exchange->timer, base, on_timer, exchange);
  bufferevent_setcb (exchange->bev, on_read, NULL, on_event, exchange);
  bufferevent_enable (exchange->bev, EV_READ | EV_WRITE);
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: standin-breaking_target PORT INSTANCE\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  instance = argv[2];
  base = event_base_new ();
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)atoi (argv[1])) };
  at.sin_addr.s_addr = htonl (LOOPBACK);
  if (evconnlistener_new_bind (base, on_accept, NULL,
                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
                               (struct sockaddr *)&at, sizeof at)
      == NULL)
    return 1;
  event_base_dispatch (base);
  return 0;
}
