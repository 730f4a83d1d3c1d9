/// Owns one connection attempt, which is closed as soon as its result is
/// known.
#include "transport/call_probe.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

struct call_probe
{
  struct bufferevent *bev;
  void (*done) (void *arg, enum probe_result result);
  void *arg;
};

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct call_probe *probe = arg;
  enum probe_result result = PROBE_REFUSED;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    result = PROBE_CONNECTED;
  else if ((what & BEV_EVENT_TIMEOUT) != 0)
    result = PROBE_TIMED_OUT;
  void (*done) (void *, enum probe_result) = probe->done;
  void *done_arg = probe->arg;
  call_probe_cancel (probe);
  done (done_arg, result);
}

struct call_probe *
call_probe_start (struct event_base *base, uint32_t address, uint16_t port,
                  uint32_t timeout_ms,
                  void (*done) (void *arg, enum probe_result result),
                  void *arg)
{
  struct call_probe *probe = calloc (1, sizeof *probe);
  if (probe == NULL)
    return NULL;
  probe->done = done;
  probe->arg = arg;
  probe->bev = bufferevent_socket_new (
      base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (probe->bev == NULL)
    {
      free (probe);
      return NULL;
    }
  struct timeval timeout = { (time_t)(timeout_ms / 1000),
                             (suseconds_t)(timeout_ms % 1000 * 1000) };
  bufferevent_setcb (probe->bev, NULL, NULL, on_event, probe);
  bufferevent_set_timeouts (probe->bev, &timeout, &timeout);
  struct sockaddr_in to;
  memset (&to, 0, sizeof to);
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl (address);
  to.sin_port = htons (port);
  if (bufferevent_socket_connect (probe->bev, (struct sockaddr *)&to,
                                  sizeof to)
      != 0)
    {
      call_probe_cancel (probe);
      return NULL;
    }
  return probe;
}

void
call_probe_cancel (struct call_probe *probe)
{
  bufferevent_free (probe->bev);
  free (probe);
}
