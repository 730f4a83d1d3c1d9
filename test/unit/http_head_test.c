#include "http_peers.h"

#include <talloc.h>

#define HOST "Host: h\r\n"

/// Writes a start, a number of equal lines and an end.
static const char *
lines (const char *start, const char *line, size_t count, const char *end)
{
  static char bytes[65536];
  size_t size = (size_t)snprintf (bytes, sizeof bytes, "%s", start);
  for (size_t i = 0; i < count; i++)
    size += (size_t)snprintf (bytes + size, sizeof bytes - size, "%s", line);
  snprintf (bytes + size, sizeof bytes - size, "%s", end);
  return bytes;
}

#define CHUNKED                                                               \
  "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n0\r\n"

/// The server's limit of a head is 2000 bytes.
static void
test_number_of_lines (void)
{
  static const struct
  {
    const char *start;
    const char *line;
    size_t count;
    bool accepted;
  } rows[] = {
    { "GET / HTTP/1.1\r\n" HOST, "a:\r\n", 480, true },
    { "GET / HTTP/1.1\r\n" HOST, "a:\r\n", 500, false },
    { "GET / HTTP/1.1\r\n" HOST, "Abc: defgh\r\n", 160, true },
    { "GET / HTTP/1.1\r\n" HOST, "Abc: defgh\r\n", 190, false },
    { CHUNKED, "a:\r\n", 490, true },
    { CHUNKED, "a:\r\n", 510, false },
    { CHUNKED, "Abc: defgh\r\n", 160, true },
    { CHUNKED, "Abc: defgh\r\n", 190, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client,
                   lines (rows[i].start, rows[i].line, rows[i].count, "\r\n"));
      run_ms (50);
      CU_ASSERT_EQUAL (request_count, rows[i].accepted);
      if (rows[i].accepted)
        CU_ASSERT_EQUAL (raw_client.size, 0);
      if (!rows[i].accepted)
        CU_ASSERT_EQUAL (strncmp (raw_client.received, "HTTP/1.1 431", 12), 0);
      server_tear_down (&raw_client);
    }
}

/// @return the only request that a server accepts for these bytes
static struct http_request *
accept_one (struct raw_client *raw_client, const char *bytes)
{
  client_connect (raw_client, server_set_up ());
  client_send (raw_client, bytes);
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (request_count, 1);
  return requests[0];
}

/// A head of 4 bytes per line: its block takes no more than the lines, and the
/// budget is charged for it and its copy.
static void
test_memory_of_short_lines (void)
{
  struct raw_client raw_client;
  const char *bytes = lines ("GET / HTTP/1.1\r\n" HOST, "a:\r\n", 470, "\r\n");
  const struct http_request *request = accept_one (&raw_client, bytes);
  CU_ASSERT_EQUAL (request->head->field_count, 471);
  CU_ASSERT (http_head_memory (request->head)
             <= sizeof *request->head + strlen (bytes));
  CU_ASSERT (talloc_total_size (request->head)
             <= sizeof *request->head + strlen (bytes));
  struct http_field field = { 0 };
  size_t count = 0;
  while (http_head_next (request->head, &field))
    count += strcmp (field.name, "a") == 0 && field.value[0] == '\0';
  CU_ASSERT_EQUAL (count, 470);
  server_tear_down (&raw_client);

  struct memory_budget budget;
  memory_budget_init (&budget, 8, 1000, http_server_shed);
  uint16_t port = server_set_up ();
  http_server_use_budget (&server, &budget, MEMORY_BUDGET_CALLERS);
  client_connect (&raw_client, port);
  client_send (&raw_client, "GET / HTTP/1.1\r\n" HOST "\r\n");
  run_ms (50);
  size_t before = budget.used;
  http_reply (requests[0], 200, NULL, "", 0);
  client_send (&raw_client, bytes);
  run_ms (50);
  /* The text, and "a: " with its line end in what is sent on. */
  CU_ASSERT (budget.used >= before + 470 * (3 + 5));
  CU_ASSERT (budget.used <= before + 470 * 10);
  server_tear_down (&raw_client);
}

/// The head of a response that the pool's owner limits by its bytes.
static void
test_lines_of_a_response (void)
{
  static const struct
  {
    size_t head_bytes;
    size_t count;
    enum http_end end;
  } rows[] = {
    { 0, 4000, HTTP_END_COMPLETE },
    { 0, 8300, HTTP_END_MALFORMED },
    { 40000, 8300, HTTP_END_COMPLETE },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses
          = { .responses
              = { lines ("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n",
                         "a:\r\n", rows[i].count, "\r\nok") } };
      uint16_t port = pool_set_up (&responses);
      pool.options.head_bytes = rows[i].head_bytes;
      struct result result = exchange (port, "a");
      CU_ASSERT (result.ended);
      CU_ASSERT_EQUAL (result.end, rows[i].end);
      CU_ASSERT_EQUAL (result.size, rows[i].end == HTTP_END_COMPLETE ? 2 : 0);
      pool_tear_down ();
    }
}

static void
test_named_in_connection (void)
{
  static const char *const lists[]
      = { "x-one,X-Two", "a,b,c,d,e,f,g,h,i,j, X-ONE ,k,l,x-two,m,n,one",
          "one,two,x-on,x-onee,x-tw", "" };
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      char bytes[512];
      struct raw_client raw_client;
      snprintf (bytes, sizeof bytes,
                "GET / HTTP/1.1\r\n" HOST "Connection: %s\r\nX-One: 1\r\n"
                "TE: t\r\nX-Two: 2\r\nKept: 3\r\nSkipped: 4\r\n\r\n",
                lists[i]);
      const struct http_request *request = accept_one (&raw_client, bytes);
      static const char *const skip[] = { "skipped", NULL };
      struct http_head *copy = http_head_copy (request->arena, request->head);
      struct evbuffer *written = evbuffer_new ();
      http_write_fields (written, copy, skip);
      evbuffer_add (written, "", 1);
      CU_ASSERT_STRING_EQUAL (
          (const char *)evbuffer_pullup (written, -1),
          i < 2 ? "Host: h\r\nKept: 3\r\n"
                : "Host: h\r\nX-One: 1\r\nX-Two: 2\r\nKept: 3\r\n");
      CU_ASSERT_STRING_EQUAL (copy->target, "/");
      evbuffer_free (written);
      server_tear_down (&raw_client);
    }
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a head or trailer is refused for its lines, or grows without limit",
      test_number_of_lines },
    { "short lines take many times their bytes, or are not charged",
      test_memory_of_short_lines },
    { "a response is refused for its lines, or by the node in front",
      test_lines_of_a_response },
    { "a field that the Connection field names is passed on",
      test_named_in_connection },
  };
  return testing_run ("http_head", cases, sizeof cases / sizeof cases[0]);
}
