/// TCP proxies that inject network faults into connections, without a change
/// to the processes at both ends.
#include "soak.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/// Bytes buffered for one direction; above this its sender is not read.
#define BUFFERED_BYTES_MAX (256 * 1024)

struct link;

/// One direction of a connection.
struct stream
{
  struct link *link;
  struct bufferevent *from;
  struct bufferevent *to;
  struct evbuffer *buffered; ///< read but not forwarded yet
  struct event flush;
  bool eof; ///< the sender has closed its side
  int direction;
};

struct link
{
  struct soak_proxy *proxy;
  struct bufferevent *ends[2]; ///< connection of the client, of the server
  struct stream streams[2];
  bool stalled;
  TAILQ_ENTRY (link) entry;
};

struct soak_proxy
{
  struct event_base *base;
  uint16_t listen;
  uint16_t forward;
  struct evconnlistener *listener;
  uint32_t delay_ms;
  int blocked_direction;
  TAILQ_HEAD (, link) links;
};

static void
link_free (struct link *link, bool reset)
{
  for (int i = 0; i < 2; i++)
    {
      event_del (&link->streams[i].flush);
      evbuffer_free (link->streams[i].buffered);
      evutil_socket_t fd = bufferevent_getfd (link->ends[i]);
      struct linger linger = { .l_onoff = 1, .l_linger = 0 };
      if (reset && fd >= 0)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      bufferevent_free (link->ends[i]);
    }
  TAILQ_REMOVE (&link->proxy->links, link, entry);
  free (link);
}

static bool
is_blocked (const struct stream *stream)
{
  return stream->link->stalled
         || stream->link->proxy->blocked_direction == stream->direction;
}

/// Forwards the buffered bytes of a stream and, after the last one, its end.
static void
flush_stream (struct stream *stream)
{
  if (is_blocked (stream))
    return;
  bufferevent_write_buffer (stream->to, stream->buffered);
  bufferevent_enable (stream->from, EV_READ);
  if (!stream->eof)
    return;
  if (evbuffer_get_length (bufferevent_get_output (stream->to)) == 0)
    shutdown (bufferevent_getfd (stream->to), SHUT_WR);
  struct link *link = stream->link;
  if (link->streams[0].eof && link->streams[1].eof
      && evbuffer_get_length (link->streams[0].buffered) == 0
      && evbuffer_get_length (link->streams[1].buffered) == 0
      && evbuffer_get_length (bufferevent_get_output (link->ends[0])) == 0
      && evbuffer_get_length (bufferevent_get_output (link->ends[1])) == 0)
    link_free (link, false);
}

static void
on_flush (evutil_socket_t fd, short what, void *arg)
{
  flush_stream (arg);
}

/// Flushes a stream after the delay of its proxy.
static void
schedule_flush (struct stream *stream)
{
  uint32_t delay_ms = stream->link->proxy->delay_ms;
  if (delay_ms == 0)
    flush_stream (stream);
  else if (!evtimer_pending (&stream->flush, NULL))
    timer_start (&stream->flush, delay_ms);
}

static void
on_read (struct bufferevent *end, void *arg)
{
  struct link *link = arg;
  struct stream *stream = &link->streams[end == link->ends[0] ? 0 : 1];
  bufferevent_read_buffer (end, stream->buffered);
  if (evbuffer_get_length (stream->buffered) > BUFFERED_BYTES_MAX)
    bufferevent_disable (end, EV_READ);
  schedule_flush (stream);
}

static void
on_write (struct bufferevent *end, void *arg)
{
  struct link *link = arg;
  struct stream *stream = &link->streams[end == link->ends[0] ? 1 : 0];
  if (stream->eof && evbuffer_get_length (stream->buffered) == 0)
    flush_stream (stream);
}

static void
on_event (struct bufferevent *end, short what, void *arg)
{
  struct link *link = arg;
  struct stream *stream = &link->streams[end == link->ends[0] ? 0 : 1];
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (link->stalled || link->proxy->blocked_direction == stream->direction)
    {
      /* The close is not forwarded either. */
      stream->eof = true;
      if (link->stalled && (what & BEV_EVENT_ERROR))
        link_free (link, true);
      return;
    }
  if (what & BEV_EVENT_ERROR)
    {
      link_free (link, true);
      return;
    }
  bufferevent_read_buffer (end, stream->buffered);
  stream->eof = true;
  schedule_flush (stream);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *arg)
{
  struct soak_proxy *proxy = arg;
  struct link *link = calloc (1, sizeof *link);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (proxy->forward),
                            .sin_addr = { htonl (SOAK_LOOPBACK) } };
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  link->proxy = proxy;
  link->ends[0]
      = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->ends[1]
      = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < 2; i++)
    {
      struct stream *stream = &link->streams[i];
      stream->link = link;
      stream->direction = i;
      stream->from = link->ends[i];
      stream->to = link->ends[1 - i];
      stream->buffered = evbuffer_new ();
      evtimer_assign (&stream->flush, proxy->base, on_flush, stream);
      bufferevent_setcb (link->ends[i], on_read, on_write, on_event, link);
    }
  TAILQ_INSERT_TAIL (&proxy->links, link, entry);
  if (bufferevent_socket_connect (link->ends[1], (struct sockaddr *)&to,
                                  sizeof to)
      != 0)
    {
      link_free (link, true);
      return;
    }
  setsockopt (bufferevent_getfd (link->ends[1]), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  bufferevent_enable (link->ends[0], EV_READ | EV_WRITE);
  bufferevent_enable (link->ends[1], EV_READ | EV_WRITE);
}

void
soak_proxy_open (struct soak_proxy *proxy, bool open)
{
  if (!open && proxy->listener != NULL)
    {
      evconnlistener_free (proxy->listener);
      proxy->listener = NULL;
    }
  if (!open || proxy->listener != NULL)
    return;
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (proxy->listen),
                            .sin_addr = { htonl (SOAK_LOOPBACK) } };
  proxy->listener = evconnlistener_new_bind (
      proxy->base, on_accept, proxy,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      (struct sockaddr *)&at, sizeof at);
}

struct soak_proxy *
soak_proxy_new (struct event_base *base, uint16_t listen, uint16_t forward)
{
  struct soak_proxy *proxy = calloc (1, sizeof *proxy);
  proxy->base = base;
  proxy->listen = listen;
  proxy->forward = forward;
  proxy->blocked_direction = -1;
  TAILQ_INIT (&proxy->links);
  return proxy;
}

void
soak_proxy_free (struct soak_proxy *proxy)
{
  soak_proxy_open (proxy, false);
  soak_proxy_reset (proxy);
  free (proxy);
}

/// Forwards everything that is buffered.
static void
flush_all (struct soak_proxy *proxy)
{
  struct link *link = TAILQ_FIRST (&proxy->links);
  while (link != NULL)
    {
      struct link *next = TAILQ_NEXT (link, entry);
      /* The first flush may free a link that has nothing buffered. */
      bool link_remains
          = !link->streams[0].eof || !link->streams[1].eof
            || evbuffer_get_length (link->streams[1].buffered) > 0;
      flush_stream (&link->streams[0]);
      if (link_remains)
        flush_stream (&link->streams[1]);
      link = next;
    }
}

void
soak_proxy_delay (struct soak_proxy *proxy, uint32_t delay_ms)
{
  proxy->delay_ms = delay_ms;
}

void
soak_proxy_block (struct soak_proxy *proxy, int direction)
{
  proxy->blocked_direction = direction;
  if (direction < 0)
    flush_all (proxy);
}

void
soak_proxy_reset (struct soak_proxy *proxy)
{
  while (!TAILQ_EMPTY (&proxy->links))
    link_free (TAILQ_FIRST (&proxy->links), true);
}

void
soak_proxy_stall (struct soak_proxy *proxy)
{
  struct link *link;
  TAILQ_FOREACH (link, &proxy->links, entry) { link->stalled = true; }
}
