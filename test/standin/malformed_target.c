/// Stand-in for a target whose responses are malformed or never end. Usage:
///   standin-malformed_target PORT INSTANCE
///   standin-malformed_target list KIND
/// KIND is malformed, unusual or endless; the second form prints the names of
/// these responses. The path of a request states its response:
/// /X/KIND/NAME/ID, or /X/whole/-/ID for an ordinary one. A connection stays
/// open after a response. Prints "run NAME ID" for each request, "endless
/// NAME" when a response without end begins, "opened" for each connection, and
/// "closed" or "closed endless" at its end.
#define _GNU_SOURCE
#include "malformed_responses.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOOPBACK 0x7f000001u

/// A response without end is written in pieces of this size, bytes.
#define PIECE_BYTES (64u * 1024)

/// Bytes of the fields that are added to a response, at most.
#define FIELDS_MAX 200

struct endless_response
{
  struct test_response start;
  const char *part; ///< repeated without end
};

#define TEXT "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define OK_HEAD "HTTP/1.1 200 OK\r\n@"
#define CHUNKED_HEAD OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define UNFRAMED "Connection: close\r\n\r\n"

static const struct endless_response endless_responses[] = {
  { RESPONSE ("bytes-that-are-no-response", ""), TEXT },
  { RESPONSE ("empty-lines", ""), "\r\n" },
  { RESPONSE ("status-line", "HTTP/1.1 200 "), TEXT },
  { RESPONSE ("status", "HTTP/1.1 2"), "0" },
  { RESPONSE ("informational-responses", ""),
    "HTTP/1.1 100 Continue\r\n\r\n" },
  { RESPONSE ("field-name", "HTTP/1.1 200 OK\r\n"), TEXT },
  { RESPONSE ("field-value", "HTTP/1.1 200 OK\r\nA: "), TEXT },
  { RESPONSE ("fields", OK_HEAD), "A: " TEXT "\r\n" },
  { RESPONSE ("chunk-size", CHUNKED_HEAD), "0" },
  { RESPONSE ("chunk-extension", CHUNKED_HEAD "3;"), TEXT },
  { RESPONSE ("trailer-value", CHUNKED_HEAD "0\r\nA: "), TEXT },
  { RESPONSE ("trailer", CHUNKED_HEAD "0\r\n"), "A: " TEXT "\r\n" },
  { RESPONSE ("chunks", CHUNKED_HEAD), "30\r\n" TEXT "\r\n" },
  { RESPONSE ("chunks-of-one-byte", CHUNKED_HEAD), "1\r\na\r\n" },
  { RESPONSE ("one-chunk", CHUNKED_HEAD "fffffffffffff\r\n"), TEXT },
  { RESPONSE ("body-with-a-length",
              OK_HEAD "Content-Length: 9000000000000000\r\n\r\n"),
    TEXT },
  { RESPONSE ("body-until-the-close", OK_HEAD UNFRAMED), TEXT },
  { RESPONSE ("failure", "HTTP/1.1 500 Failed\r\n@" UNFRAMED), TEXT },
  { RESPONSE ("refusal", "HTTP/1.1 503 Busy\r\n@"
                         "Hawthornseam-Not-Executed: 1\r\n" UNFRAMED),
    TEXT },
  { RESPONSE ("response-to-another-request",
              "HTTP/1.1 200 OK\r\nHawthornseam-Request-Id: other\r\n"
              "Hawthornseam-Response-Seal: x\r\n" UNFRAMED),
    TEXT },
  { RESPONSE ("behind-a-response", WHOLE), TEXT },
};

static const struct test_response whole_response = RESPONSE ("whole", WHOLE);

struct connection
{
  struct bufferevent *bev;
  const char *part; ///< of a response without end, or NULL
};

static struct event_base *base;
static const char *instance;

static void
write_part (struct connection *connection)
{
  static char piece[PIECE_BYTES];
  size_t part = strlen (connection->part);
  size_t size = 0;
  for (; size + part <= sizeof piece; size += part)
    memcpy (piece + size, connection->part, part);
  bufferevent_write (connection->bev, piece, size);
}

static void
send_test_response (struct connection *connection,
                    const struct test_response *response, const char *fields)
{
  char text[MALFORMED_RESPONSE_MAX + FIELDS_MAX];
  bufferevent_write (connection->bev, text,
                     test_response_write (response, fields, text));
}

static bool
send_from_table (struct connection *connection,
                 const struct test_response *table, size_t count,
                 const char *name, const char *fields)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (table[i].name, name) == 0)
      {
        send_test_response (connection, &table[i], fields);
        return true;
      }
  return false;
}

static bool
send_endless_response (struct connection *connection, const char *name,
                       const char *fields)
{
  for (size_t i = 0; i < RESPONSE_COUNT (endless_responses); i++)
    if (strcmp (endless_responses[i].start.name, name) == 0)
      {
        send_test_response (connection, &endless_responses[i].start, fields);
        connection->part = endless_responses[i].part;
        printf ("endless %s\n", name);
        fflush (stdout);
        write_part (connection);
        return true;
      }
  return false;
}

/// Sends the response that the path asks for.
/// @return false for an unknown path
static bool
respond (struct connection *connection, const char *head)
{
  char kind[16], name[64], tag[64], id[80] = "";
  if (sscanf (head, "%*s /%*[a-z]/%15[a-z]/%63[^/]/%63[^ ]", kind, name, tag)
      != 3)
    return false;
  const char *field = strcasestr (head, "\r\nHawthornseam-Request-Id: ");
  if (field != NULL)
    sscanf (field, "\r\n%*[^:]: %79[^\r]", id);
  char fields[FIELDS_MAX];
  snprintf (fields, sizeof fields,
            "Hawthornseam-Request-Id: %s\r\nHawthornseam-Response-Seal: x\r\n",
            id);
  printf ("run %s %s\n", name, tag);
  fflush (stdout);
  if (strcmp (kind, "endless") == 0)
    return send_endless_response (connection, name, fields);
  if (strcmp (kind, "malformed") == 0)
    return send_from_table (connection, malformed_responses,
                            RESPONSE_COUNT (malformed_responses), name,
                            fields);
  if (strcmp (kind, "unusual") == 0)
    return send_from_table (connection, unusual_responses,
                            RESPONSE_COUNT (unusual_responses), name, fields);
  send_test_response (connection, &whole_response, fields);
  return true;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct connection *connection = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return;
  size_t size = (size_t)end.pos + 4;
  char *head = calloc (1, size + 1);
  evbuffer_remove (input, head, size);
  if (!respond (connection, head))
    {
      fprintf (stderr, "unexpected request at %s: %s\n", instance, head);
      exit (1);
    }
  free (head);
}

static void
on_write (struct bufferevent *bev, void *arg)
{
  struct connection *connection = arg;
  if (connection->part != NULL)
    write_part (connection);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  struct connection *connection = arg;
  puts (connection->part != NULL ? "closed endless" : "closed");
  fflush (stdout);
  bufferevent_free (bev);
  free (connection);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int size, void *arg)
{
  struct connection *connection = calloc (1, sizeof *connection);
  printf ("opened\n");
  fflush (stdout);
  connection->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, on_read, on_write, on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

static int
list (const char *kind)
{
  if (strcmp (kind, "malformed") == 0)
    for (size_t i = 0; i < RESPONSE_COUNT (malformed_responses); i++)
      puts (malformed_responses[i].name);
  if (strcmp (kind, "unusual") == 0)
    for (size_t i = 0; i < RESPONSE_COUNT (unusual_responses); i++)
      puts (unusual_responses[i].name);
  if (strcmp (kind, "endless") == 0)
    for (size_t i = 0; i < RESPONSE_COUNT (endless_responses); i++)
      puts (endless_responses[i].start.name);
  return 0;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: standin-malformed_target PORT INSTANCE | "
                       "list KIND\n");
      return 2;
    }
  if (strcmp (argv[1], "list") == 0)
    return list (argv[2]);
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
