/// Connections of an HTTP server, shared by the files that implement it.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_INTERNAL_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_INTERNAL_H

#include "transport/http_server.h"

/// Longer ids are cut off in the log.
#define HTTP_LOGGED_ID_BYTES 40

struct http_server_connection
{
  struct http_server *server;
  struct http_stream *stream;
  struct http_request *request; ///< oldest request without a complete response
  size_t pending; ///< number of requests without a complete response
  struct http_request *receiving_request; ///< request that is being received
  uint64_t timeout_start_ms; ///< start of the running timeout: accept, end of
                             ///< the last response, or begin of closing
  uint64_t shut_down_ms;     ///< begin of lingering
  struct memory_account account;
  uint64_t message_start_ms; ///< start of the message that is being received,
                             ///< as seen by the sweep; 0: none
  uint64_t window_start_ms;  ///< start of the interval in which the body must
                             ///< reach the minimum rate; 0: no body
  uint64_t window_size;      ///< bytes of the body at that time
  unsigned rejected;  ///< status for what follows the requests that are in
                      ///< progress and is rejected; 0: nothing
  bool handing_over;  ///< requests are being handed over
  bool freed;         ///< freed while requests are handed over
  bool served;        ///< a request was received on it
  bool last_response; ///< the head of a response that closes the connection
                      ///< was sent; later requests are not started
  bool cut;           ///< what was rejected may have run: it gets no response
  bool closing;       ///< shut down once the output is sent
  bool lingering;     ///< shut down, waits for the caller's close
  char last_id[HTTP_LOGGED_ID_BYTES]; ///< of the last complete response
  struct http_server_connection *next;
  struct http_server_connection *previous;
};

/* http_server.c */

void http_server_free_request (struct http_request *request);

/// Rejects what is being received, and closes the connection once the requests
/// before it have their responses. Its memory is freed at once. A request that
/// was handed over is ended like one whose caller has disconnected.
void http_server_reject (struct http_server_connection *connection,
                         unsigned status);

/// Hands the requests that need not wait to the handler, which may end them or
/// the connection at once.
void http_server_hand_over (struct http_server_connection *connection);

/// Sends the responses that are next in order and frees their requests.
void http_server_send_finished (struct http_server_connection *connection);

/* http_request_body.c */

/// @return true when no further request of the connection is started
bool
http_server_ignores_input (const struct http_server_connection *connection);

/// Adds a request to those in progress. Its response is held back if it
/// arrived behind others.
/// @return false without memory
bool http_server_append (struct http_server_connection *connection,
                         struct http_request *request);

/// Starts parsing the next request, unless there are enough in progress.
void http_server_read_next (struct http_server_connection *connection);

/// Handles the head of the request that is being received: answers an
/// expectation of 100 Continue, or starts to stream its body.
void http_body_begin (struct http_server_connection *connection);

/// Adds bytes to the body of the request that is being received.
void http_body_add (struct http_server_connection *connection,
                    const char *data, size_t size);

/// Handles the end of a streamed body.
void http_body_complete (struct http_server_connection *connection);

/// Hands the oldest request over if its body is streamed, or tells its handler
/// that there is more of the body.
void http_body_deliver (struct http_server_connection *connection);

/// Frees the request that is being received, because of its rejection.
void http_body_withdraw (struct http_server_connection *connection,
                         unsigned status);

/// @return true when a message behind requests in progress arrives too slowly,
///         or a body below the minimum rate
bool http_body_is_too_slow (struct http_server_connection *connection,
                            uint64_t now_ms);

#endif
