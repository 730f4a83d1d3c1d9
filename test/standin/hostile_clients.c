/// Stand-in for clients that try to exhaust a process's memory. Usage:
///   standin-hostile_clients PORT CASE
/// CASE is a name of the table below. Each client sends its message, most stop
/// just short of its end, and all leave their connections open. A client whose
/// connection is closed connects again, REPEATS times at most. Prints
/// "settled sent=N closed=N" SENT_MS after all have sent what they send,
/// or when none of them got on for SETTLE_MS, and then waits for its end by a
/// signal.
#define _GNU_SOURCE
#include "transport/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOOPBACK 0x7f000001u
#define TICK_MS 5
#define SETTLE_MS 2000
#define REPEATS 3
#define KIB 1024u

/// One in this number of clients completes its last message.
#define COMPLETE_EVERY 8

/// Each message is a request for a path that takes its target 400 ms. Lines
/// and bodies within the limits of the configuration: 16 KiB, 1 MiB.
struct hostile_case
{
  const char *name;
  size_t clients;
  size_t pipelined;   ///< requests of a connection, at least 1
  size_t lines;       ///< header lines beside the usual three
  const char *line;   ///< repeated
  size_t body_bytes;  ///< 0: no body
  size_t chunk_bytes; ///< 0: the body has a length
  size_t piece_bytes; ///< bytes sent each TICK_MS; 0: all at once
  size_t missing;     ///< bytes that are left out at the end
};

#define SHORT_LINE "a:\r\n"
#define ODD_LINE                                                              \
  "x!#$%&'*+-.^_`|~7:\t \x80\xff;;,,==\"\"((\\\\ "                            \
  "                                                                        "  \
  "                                  .\r\n"

static const struct hostile_case cases[] = {
  { "heads-short", 640, 1, 93, SHORT_LINE, 0, 0, 0, 2 },
  { "heads-short-pieces", 640, 1, 93, SHORT_LINE, 0, 0, 16, 2 },
  { "heads-many", 640, 1, 4000, SHORT_LINE, 0, 0, 0, 2 },
  { "heads-odd", 640, 1, 93, ODD_LINE, 0, 0, 0, 2 },
  { "heads-odd-pieces", 640, 1, 93, ODD_LINE, 0, 0, 256, 2 },
  { "heads-pipelined", 640, 8, 93, ODD_LINE, 0, 0, 0, 2 },
  { "bodies-whole", 48, 1, 0, "", 1024 * KIB, 0, 0, 1 },
  { "bodies-pieces", 48, 1, 0, "", 1024 * KIB, 0, 4 * KIB, 1 },
  { "bodies-pipelined", 48, 4, 0, "", 512 * KIB, 0, 0, 1 },
  { "bodies-complete", 48, 1, 0, "", 1024 * KIB, 0, 0, 0 },
  { "chunks-large", 48, 1, 0, "", 1024 * KIB, 64 * KIB, 0, 1 },
  { "chunks-large-pieces", 48, 1, 0, "", 1024 * KIB, 64 * KIB, 4 * KIB, 1 },
  { "chunks-small", 48, 1, 0, "", 640 * KIB, 1, 0, 1 },
  { "chunks-small-pieces", 48, 1, 0, "", 640 * KIB, 1, 16 * KIB, 1 },
  { "chunks-no-end", 48, 1, 0, "", 1024 * KIB, 1 * KIB, 0, 5 },
};

struct client
{
  struct bufferevent *bev;
  size_t size; ///< bytes of the message that it sends
  size_t next; ///< first byte that was not handed to the connection
  unsigned repeats;
};

static const struct hostile_case *row;
static struct event_base *base;
static struct client *clients;
static char *message;
static size_t message_size;
static struct sockaddr_in address;
static struct event tick;
static uint64_t idle_ticks;
static size_t closed_count;

static void on_event (struct bufferevent *bev, short what, void *arg);

static void
build_message (void)
{
  struct evbuffer *text = evbuffer_new ();
  char *part = malloc (row->body_bytes + 1);
  memset (part, 'b', row->body_bytes + 1);
  for (size_t i = 0; i < row->pipelined; i++)
    {
      evbuffer_add_printf (text,
                           "%s /read/slow/%zu HTTP/1.1\r\nHost: a.example\r\n"
                           "Hawthornseam-Request-Id: hostile-%zu\r\n"
                           "Hawthornseam-Deadline-Ms: 1200\r\n",
                           row->body_bytes == 0 ? "GET" : "POST", i, i);
      for (size_t k = 0; k < row->lines; k++)
        evbuffer_add (text, row->line, strlen (row->line));
      if (row->chunk_bytes > 0)
        evbuffer_add_printf (text, "Transfer-Encoding: chunked\r\n");
      else if (row->body_bytes > 0)
        evbuffer_add_printf (text, "Content-Length: %zu\r\n", row->body_bytes);
      evbuffer_add (text, "\r\n", 2);
      if (row->chunk_bytes == 0)
        evbuffer_add (text, part, row->body_bytes);
      for (size_t k = 0; row->chunk_bytes > 0 && k < row->body_bytes;
           k += row->chunk_bytes)
        {
          evbuffer_add_printf (text, "%zx\r\n", row->chunk_bytes);
          evbuffer_add (text, part, row->chunk_bytes);
          evbuffer_add (text, "\r\n", 2);
        }
      if (row->chunk_bytes > 0)
        evbuffer_add (text, "0\r\n\r\n", 5);
    }
  free (part);
  message_size = evbuffer_get_length (text);
  message = malloc (message_size);
  evbuffer_remove (text, message, message_size);
  evbuffer_free (text);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
open_connection (struct client *client)
{
  client->next = 0;
  client->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->bev, on_read, NULL, on_event, client);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (client->bev, (struct sockaddr *)&address,
                                  sizeof address)
      != 0)
    {
      perror ("connect");
      exit (1);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct client *client = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  closed_count++;
  bufferevent_free (client->bev);
  client->bev = NULL;
  if (client->repeats == REPEATS)
    return;
  client->repeats++;
  idle_ticks = 0;
  open_connection (client);
}

/// Hands the next piece of each client's message to its connection.
static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  size_t sent = 0;
  size_t waiting = 0;
  idle_ticks++;
  for (size_t i = 0; i < row->clients; i++)
    {
      struct client *client = &clients[i];
      if (client->bev == NULL)
        continue;
      struct evbuffer *output = bufferevent_get_output (client->bev);
      bool blocked = evbuffer_get_length (output) > 0;
      size_t left = client->size - client->next;
      if (!blocked && left == 0)
        sent++;
      else
        waiting++;
      if (blocked || left == 0)
        continue;
      size_t size = row->piece_bytes == 0 || row->piece_bytes > left
                        ? left
                        : row->piece_bytes;
      evbuffer_add_reference (output, message + client->next, size, NULL,
                              NULL);
      client->next += size;
      idle_ticks = 0;
    }
  if (idle_ticks * TICK_MS < SETTLE_MS)
    return;
  printf ("settled sent=%zu closed=%zu\n", sent, closed_count);
  fflush (stdout);
  event_del (&tick);
}

int
main (int argc, char **argv)
{
  for (size_t i = 0; argc == 3 && i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (argv[2], cases[i].name) == 0)
      row = &cases[i];
  if (row == NULL)
    {
      fprintf (stderr, "usage: %s PORT CASE\n", argv[0]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (LOOPBACK);
  address.sin_port = htons ((uint16_t)atoi (argv[1]));
  build_message ();
  clients = calloc (row->clients, sizeof *clients);
  for (size_t i = 0; i < row->clients; i++)
    {
      clients[i].size
          = message_size - (i % COMPLETE_EVERY == 0 ? 0 : row->missing);
      open_connection (&clients[i]);
    }
  event_assign (&tick, base, -1, EV_PERSIST, on_tick, NULL);
  event_add (&tick, &(struct timeval){ 0, TICK_MS * 1000 });
  event_base_dispatch (base);
  return 0;
}
