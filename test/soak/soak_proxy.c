/// Owns the proxied connections. A fault of a proxy is what a network does to
/// connections, so the processes at both ends need not know of it.
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

/// Bytes that one direction holds before its sender is no longer read.
#define HELD_MAX (256 * 1024)

struct link;

/// One direction of a connection.
struct lane
{
  struct link *link;
  struct bufferevent *from;
  struct bufferevent *to;
  struct evbuffer *held; ///< read and not passed on yet
  struct event flush;
  bool ended; ///< the sender has closed
  int direction;
};

struct link
{
  struct soak_proxy *proxy;
  struct bufferevent *ends[2]; ///< the caller's side, the server's side
  struct lane lanes[2];
  bool silent;
  TAILQ_ENTRY (link) entry;
};

struct soak_proxy
{
  struct event_base *base;
  uint16_t listen;
  uint16_t forward;
  struct evconnlistener *listener;
  uint32_t delay_ms;
  int cut_direction;
  TAILQ_HEAD (, link) links;
};

static void
link_free (struct link *link, bool reset)
{
  for (int i = 0; i < 2; i++)
    {
      event_del (&link->lanes[i].flush);
      evbuffer_free (link->lanes[i].held);
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
is_blocked (const struct lane *lane)
{
  return lane->link->silent
         || lane->link->proxy->cut_direction == lane->direction;
}

/// Passes on what a lane holds, and its end when everything was passed on.
static void
flush_lane (struct lane *lane)
{
  if (is_blocked (lane))
    return;
  bufferevent_write_buffer (lane->to, lane->held);
  bufferevent_enable (lane->from, EV_READ);
  if (!lane->ended)
    return;
  if (evbuffer_get_length (bufferevent_get_output (lane->to)) == 0)
    shutdown (bufferevent_getfd (lane->to), SHUT_WR);
  struct link *link = lane->link;
  if (link->lanes[0].ended && link->lanes[1].ended
      && evbuffer_get_length (link->lanes[0].held) == 0
      && evbuffer_get_length (link->lanes[1].held) == 0
      && evbuffer_get_length (bufferevent_get_output (link->ends[0])) == 0
      && evbuffer_get_length (bufferevent_get_output (link->ends[1])) == 0)
    link_free (link, false);
}

static void
on_flush (evutil_socket_t fd, short what, void *arg)
{
  flush_lane (arg);
}

/// Lets a lane flush after the proxy's delay.
static void
schedule (struct lane *lane)
{
  uint32_t delay_ms = lane->link->proxy->delay_ms;
  if (delay_ms == 0)
    flush_lane (lane);
  else if (!evtimer_pending (&lane->flush, NULL))
    timer_start (&lane->flush, delay_ms);
}

static void
on_read (struct bufferevent *end, void *arg)
{
  struct link *link = arg;
  struct lane *lane = &link->lanes[end == link->ends[0] ? 0 : 1];
  bufferevent_read_buffer (end, lane->held);
  if (evbuffer_get_length (lane->held) > HELD_MAX)
    bufferevent_disable (end, EV_READ);
  schedule (lane);
}

static void
on_written (struct bufferevent *end, void *arg)
{
  struct link *link = arg;
  struct lane *lane = &link->lanes[end == link->ends[0] ? 1 : 0];
  if (lane->ended && evbuffer_get_length (lane->held) == 0)
    flush_lane (lane);
}

static void
on_event (struct bufferevent *end, short what, void *arg)
{
  struct link *link = arg;
  struct lane *lane = &link->lanes[end == link->ends[0] ? 0 : 1];
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (link->silent || link->proxy->cut_direction == lane->direction)
    {
      /* The close does not get through either. */
      lane->ended = true;
      if (link->silent && (what & BEV_EVENT_ERROR))
        link_free (link, true);
      return;
    }
  if (what & BEV_EVENT_ERROR)
    {
      link_free (link, true);
      return;
    }
  bufferevent_read_buffer (end, lane->held);
  lane->ended = true;
  schedule (lane);
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
      struct lane *lane = &link->lanes[i];
      lane->link = link;
      lane->direction = i;
      lane->from = link->ends[i];
      lane->to = link->ends[1 - i];
      lane->held = evbuffer_new ();
      evtimer_assign (&lane->flush, proxy->base, on_flush, lane);
      bufferevent_setcb (link->ends[i], on_read, on_written, on_event, link);
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
  proxy->cut_direction = -1;
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

/// Lets everything that was held go on.
static void
flush_all (struct soak_proxy *proxy)
{
  struct link *link = TAILQ_FIRST (&proxy->links);
  while (link != NULL)
    {
      struct link *next = TAILQ_NEXT (link, entry);
      /* The first lane's flush may free a link that holds nothing more. */
      bool goes_on = !link->lanes[0].ended || !link->lanes[1].ended
                     || evbuffer_get_length (link->lanes[1].held) > 0;
      flush_lane (&link->lanes[0]);
      if (goes_on)
        flush_lane (&link->lanes[1]);
      link = next;
    }
}

void
soak_proxy_delay (struct soak_proxy *proxy, uint32_t delay_ms)
{
  proxy->delay_ms = delay_ms;
}

void
soak_proxy_cut (struct soak_proxy *proxy, int direction)
{
  proxy->cut_direction = direction;
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
soak_proxy_silence (struct soak_proxy *proxy)
{
  struct link *link;
  TAILQ_FOREACH (link, &proxy->links, entry) { link->silent = true; }
}
