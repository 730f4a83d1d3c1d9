/// Owns nothing; evhttp owns the connection and its buffers.
#include "transport/http_response_guard.h"

#include "base/counter.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

static struct counter malformed_responses
    = COUNTER ("http_responses_malformed",
               "connections closed: malformed response read by evhttp");

/// Checks the bytes that were added at the end of the input.
static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct http_response_guard *guard = arg;
  size_t left = info->n_added;
  struct evbuffer_ptr position;
  if (left == 0 || guard->malformed
      || evbuffer_ptr_set (input, &position,
                           evbuffer_get_length (input) - left,
                           EVBUFFER_PTR_SET)
             != 0)
    return;
  while (left > 0)
    {
      struct evbuffer_iovec data;
      if (evbuffer_peek (input, (ev_ssize_t)left, &position, &data, 1) < 1)
        return;
      size_t size = data.iov_len < left ? data.iov_len : left;
      if (!http_message_check_feed (&guard->check, data.iov_base, size))
        {
          guard->malformed = true;
          counter_add (&malformed_responses, 1);
          bufferevent_disable (guard->bev, EV_READ);
          guard->malformed_cb (guard->arg);
          return;
        }
      left -= size;
      evbuffer_ptr_set (input, &position, size, EVBUFFER_PTR_ADD);
    }
}

void
http_response_guard_init (struct http_response_guard *guard,
                          struct evhttp_connection *connection,
                          void (*malformed_cb) (void *arg), void *arg)
{
  *guard = (struct http_response_guard){
    .bev = evhttp_connection_get_bufferevent (connection),
    .malformed_cb = malformed_cb,
    .arg = arg,
  };
  http_message_check_init (&guard->check, HTTP_RESPONSE);
  evbuffer_add_cb (bufferevent_get_input (guard->bev), on_input, guard);
}

void
http_response_guard_next (struct http_response_guard *guard, bool no_body)
{
  guard->malformed = false;
  http_message_check_next (&guard->check);
  guard->check.no_body = no_body;
}

bool
http_response_guard_has_unread (const struct http_response_guard *guard)
{
  return evbuffer_get_length (bufferevent_get_input (guard->bev)) > 0;
}
