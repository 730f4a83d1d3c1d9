/// Connections and exchanges of a pool, shared by the files that implement it.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_POOL_INTERNAL_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_POOL_INTERNAL_H

#include "transport/http_pool.h"

struct http_connection
{
  struct http_pool *pool;
  struct http_endpoint *endpoint;
  struct http_stream *stream;
  struct http_exchange *exchange; ///< NULL while idle
  uint64_t idle_since_ms;
  uint64_t idle_limit_ms; ///< timeout in the server's Keep-Alive field
  char *id;               ///< of the current or last request; "" for none
  bool echoes_id;         ///< a response named the id of its request
  bool established;
  struct http_connection *next; ///< list of the endpoint's connections
};

struct http_endpoint
{
  uint32_t address;
  uint16_t port;
  struct http_connection *first;
  struct http_endpoint *next;
};

struct http_exchange
{
  struct http_connection *connection;
  const struct http_exchange_ops *ops;
  void *arg;
  struct event timer; ///< connect timeout, then deferred call of `end`
  enum http_end end;
  size_t body_bytes;      ///< of the response so far
  size_t body_bytes_max;  ///< see http_send
  bool skipping_response; ///< the current response has another id
  bool head_delivered;    ///< the head callback was called
  bool upload;            ///< see http_send
  bool chunked;           ///< the upload's body is sent in chunks
  struct evbuffer *held;  ///< request that waits for its body, or NULL
  bool body_ended;        ///< the upload's body was written to its end
  bool answered;          ///< the response to an unfinished upload is complete
  bool ended;             ///< `end` is set, its callback is still to be called
  unsigned skipped_responses;
};

/* http_pool.c */

void http_pool_close_connection (struct http_connection *connection);

/// Ends an exchange after its response, from the event loop.
void http_pool_complete (struct http_exchange *exchange);

/* http_upload.c */

/// Keeps the request until the first bytes of its body are sent.
/// @return false without memory
bool http_upload_hold (struct http_exchange *exchange,
                       struct evbuffer *request);

/// Frees an exchange that is over.
void http_upload_free (struct http_exchange *exchange);

/// Callbacks of a connection's stream.
void http_upload_informational (struct http_stream *stream, unsigned status);
void http_upload_drained (struct http_stream *stream);

#endif
