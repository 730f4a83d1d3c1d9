/// Heartbeats that the targets send to their nodes.
#include "soak.h"

#include "base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

#define HEARTBEAT_MS 1500

/// A heartbeat in flight. Several of one target may be: a paused node answers
/// them all when it resumes, and later incarnations of the target go on.
struct heartbeat
{
  struct soak_target *target;
  struct http_exchange *exchange;
  unsigned incarnation;
  bool leaving;
  unsigned status;
  TAILQ_ENTRY (heartbeat) link;
};

static TAILQ_HEAD (heartbeats,
                   heartbeat) heartbeats = TAILQ_HEAD_INITIALIZER (heartbeats);
static struct http_pool pool;
static bool pool_ready;

static void
free_heartbeat (struct heartbeat *heartbeat)
{
  TAILQ_REMOVE (&heartbeats, heartbeat, link);
  free (heartbeat);
}

static void
on_head (void *arg, struct http_head *head)
{
  ((struct heartbeat *)arg)->status = head->status;
}

static void
on_end (void *arg, enum http_end end)
{
  struct heartbeat *heartbeat = arg;
  struct soak_target *target = heartbeat->target;
  if (end == HTTP_END_COMPLETE && heartbeat->status == 200
      && heartbeat->leaving && heartbeat->incarnation == target->incarnation)
    soak_target_leave_acknowledged (target);
  free_heartbeat (heartbeat);
}

static const struct http_exchange_ops ops
    = { .head = on_head, .body = soak_ignore_body, .end = on_end };

static void
send_heartbeat (struct soak_target *target)
{
  char body[512];
  int size = snprintf (
      body, sizeof body,
      "{\"Address\":\"127.0.0.1:%u\",\"Info\":{\"Service\":\"%s\","
      "\"Version\":\"v1\",\"Zone\":\"z%zu\",\"Capacity\":%d},"
      "\"Status\":{\"State\":\"%s\",\"SeqNo\":%" PRIu64
      ",\"ColdLeft\":\"0ms\"},\"born\":%u}",
      soak_port (target->node, SOAK_PORT_TARGET),
      soak_services[target->node->service], target->node->index % SOAK_ZONES,
      SOAK_SLOTS, target->leaving ? "draining" : "ready", ++target->sequence,
      1000 + target->incarnation);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes,
                       "POST /api/instances/%s/heartbeat HTTP/1.1\r\n"
                       "Host: node\r\nContent-Type: application/json\r\n"
                       "Content-Length: %d\r\n\r\n%s",
                       target->instance, size, body);
  struct heartbeat *heartbeat = calloc (1, sizeof *heartbeat);
  *heartbeat = (struct heartbeat){ .target = target,
                                   .incarnation = target->incarnation,
                                   .leaving = target->leaving };
  TAILQ_INSERT_TAIL (&heartbeats, heartbeat, link);
  struct http_send send
      = { .address = SOAK_LOOPBACK,
          .port = soak_port (target->node, SOAK_PORT_REPORTS),
          .request = bytes,
          .max_idle_ms = 1000 };
  heartbeat->exchange = http_pool_send (&pool, &send, &ops, heartbeat);
  if (heartbeat->exchange == NULL)
    free_heartbeat (heartbeat);
  evbuffer_free (bytes);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct soak_target *target = arg;
  timer_start (&target->heartbeat, HEARTBEAT_MS);
  if (target->up)
    send_heartbeat (target);
}

void
soak_heartbeat_start (struct soak_target *target)
{
  struct event_base *base = target->soak->base;
  if (!pool_ready)
    {
      static const struct http_pool_options options
          = { .idle_ms = 1000, .connect_ms = 1000 };
      http_pool_init (&pool, base, &options);
      pool_ready = true;
    }
  evtimer_assign (&target->heartbeat, base, on_timer, target);
}

void
soak_heartbeat_stop (struct soak_target *target)
{
  event_del (&target->heartbeat);
  struct heartbeat *heartbeat = TAILQ_FIRST (&heartbeats);
  while (heartbeat != NULL)
    {
      struct heartbeat *next = TAILQ_NEXT (heartbeat, link);
      if (heartbeat->target == target)
        {
          http_exchange_cancel (heartbeat->exchange);
          free_heartbeat (heartbeat);
        }
      heartbeat = next;
    }
}

void
soak_heartbeat_finish (void)
{
  if (pool_ready)
    http_pool_finish (&pool);
  pool_ready = false;
}
