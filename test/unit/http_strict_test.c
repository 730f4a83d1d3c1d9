#include "../standin/malformed_responses.h"
#include "http_peers.h"

struct request_row
{
  const char *what;
  const char *bytes;
};

#define HOST "Host: h\r\n"

static void
test_ambiguous_requests (void)
{
  static const struct request_row rows[] = {
    { "space before a colon",
      "POST / HTTP/1.1\r\n" HOST "Content-Length : 3\r\n\r\nabc" },
    { "line feeds only", "GET / HTTP/1.1\nHost: h\n\n" },
    { "line feed after the request line", "GET / HTTP/1.1\n" HOST "\r\n" },
    { "carriage return in a value",
      "GET / HTTP/1.1\r\n" HOST "A: b\rc\r\n\r\n" },
    { "folded field", "GET / HTTP/1.1\r\n" HOST "A: b\r\n c\r\n\r\n" },
    { "folded first field", "GET / HTTP/1.1\r\n " HOST "\r\n" },
    { "two hosts", "GET / HTTP/1.1\r\n" HOST HOST "\r\n" },
    { "list of hosts", "GET / HTTP/1.1\r\nHost: h, i\r\n\r\n" },
    { "no host", "GET / HTTP/1.1\r\n\r\n" },
    { "control character in a value",
      "GET / HTTP/1.1\r\n" HOST "A: \001\r\n\r\n" },
    { "field without a name", "GET / HTTP/1.1\r\n" HOST ": a\r\n\r\n" },
    { "field without a colon", "GET / HTTP/1.1\r\n" HOST "abc\r\n\r\n" },
    { "two spaces in the request line", "GET  / HTTP/1.1\r\n" HOST "\r\n" },
    { "tab in the request line", "GET\t/ HTTP/1.1\r\n" HOST "\r\n" },
    { "HTTP/2.0", "GET / HTTP/2.0\r\n" HOST "\r\n" },
    { "HTTP/1.2", "GET / HTTP/1.2\r\n" HOST "\r\n" },
    { "other protocol", "GET / HXXP/1.1\r\n" HOST "\r\n" },
    { "fields behind line ends in the version",
      "POST / H\r\n\r\n1.1\r\n" HOST "Content-Length : 3\r\n\r\nabc" },
    { "HTTP/0.9", "GET /\r\n\r\n" },
    { "unknown method", "G@T / HTTP/1.1\r\n" HOST "\r\n" },
    { "tunnel", "CONNECT h:80 HTTP/1.1\r\n" HOST "\r\n" },
    { "signed length",
      "POST / HTTP/1.1\r\n" HOST "Content-Length: +3\r\n\r\nabc" },
    { "negative length",
      "POST / HTTP/1.1\r\n" HOST "Content-Length: -3\r\n\r\nabc" },
    { "hexadecimal length",
      "POST / HTTP/1.1\r\n" HOST "Content-Length: 0x3\r\n\r\nabc" },
    { "list of lengths",
      "POST / HTTP/1.1\r\n" HOST "Content-Length: 3, 3\r\n\r\nabc" },
    { "empty length", "POST / HTTP/1.1\r\n" HOST "Content-Length:\r\n\r\n" },
    { "length over 64 bits",
      "POST / HTTP/1.1\r\n" HOST
      "Content-Length: 99999999999999999999999\r\n\r\nabc" },
    { "two lengths", "POST / HTTP/1.1\r\n" HOST "Content-Length: 3\r\n"
                     "Content-Length: 3\r\n\r\nabc" },
    { "length and chunks", "POST / HTTP/1.1\r\n" HOST "Content-Length: 3\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "chunks and length",
      "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n"
      "Content-Length: 3\r\n\r\n0\r\n\r\n" },
    { "two codings",
      "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "other coding",
      "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip\r\n\r\n" },
    { "list of codings", "POST / HTTP/1.1\r\n" HOST
                         "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
    { "signed chunk size", "POST / HTTP/1.1\r\n" HOST
                           "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n" },
    { "chunk size over 64 bits",
      "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
      "fffffffffffffffff\r\nabc\r\n" },
    { "chunk size that is no number",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n" },
    { "chunk longer than its size",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabcde0\r\n\r\n" },
    { "line feed in a chunk extension",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n" },
    { "blank in a trailer name",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: chunked\r\n\r\n0\r\nA B: c\r\n\r\n" },
    { "length in a trailer",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, rows[i].bytes);
      run_ms (30);
      bool refused = strncmp (raw_client.received, "HTTP/1.1 400", 12) == 0
                     && request_count == 0;
      if (!refused)
        printf ("  %s: %.20s\n", rows[i].what, raw_client.received);
      CU_ASSERT (refused);
      server_tear_down (&raw_client);
    }
}

static void
test_proper_requests (void)
{
  static const struct request_row rows[] = {
    { "empty line before", "\r\nGET / HTTP/1.1\r\n" HOST "\r\n" },
    { "HTTP/1.0 without a host", "GET / HTTP/1.0\r\n\r\n" },
    { "empty value", "GET / HTTP/1.1\r\n" HOST "A:\r\n\r\n" },
    { "bytes over 127", "GET / HTTP/1.1\r\n" HOST "A: \xc3\xa9\r\n\r\n" },
    { "spaces around a length",
      "POST / HTTP/1.1\r\n" HOST "Content-Length:  3 \r\n\r\nabc" },
    { "chunks with an extension",
      "POST / HTTP/1.1\r\n" HOST
      "Transfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n" },
    { "trailer", "POST / HTTP/1.1\r\n" HOST
                 "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n" },
    { "offer of another protocol",
      "GET / HTTP/1.1\r\n" HOST
      "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n" },
    { "port in the host", "GET / HTTP/1.1\r\nHost: h:80\r\n\r\n" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    for (int split = 0; split < 2; split++)
      {
        struct raw_client raw_client;
        client_connect (&raw_client, server_set_up ());
        for (const char *byte = rows[i].bytes; split && *byte != '\0'; byte++)
          {
            char one[2] = { *byte, '\0' };
            client_send (&raw_client, one);
            event_base_loop (base, EVLOOP_NONBLOCK);
          }
        if (!split)
          client_send (&raw_client, rows[i].bytes);
        run_ms (30);
        if (request_count != 1)
          printf ("  %s: %zu requests\n", rows[i].what, request_count);
        CU_ASSERT_EQUAL (request_count, 1);
        server_tear_down (&raw_client);
      }
}

static void
test_malformed_request_behind_a_good_one (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /a HTTP/1.1\r\n" HOST "\r\n"
                            "GET /b HTTP/1.1\r\n" HOST "A : b\r\n\r\n"
                            "GET /c HTTP/1.1\r\n" HOST "\r\n");
  run_ms (30);
  CU_ASSERT_EQUAL (request_count, 1);
  CU_ASSERT_EQUAL (disconnect_count, 0);
  http_reply (requests[0], 200, NULL, "x", 1);
  run_ms (30);
  CU_ASSERT_EQUAL (strncmp (raw_client.received, "HTTP/1.1 200", 12), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (raw_client.received, "HTTP/1.1 400"));
  CU_ASSERT_EQUAL (request_count, 1);
  server_tear_down (&raw_client);
}

/// A request that is too large arrives behind one without a response yet: its
/// rejection must not pass for the response to the first.
static void
test_large_request_behind_a_good_one (void)
{
  static const char *const large[] = {
    "POST /b HTTP/1.1\r\n" HOST "Content-Length: 101\r\n\r\n",
    "POST /b HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
    "65\r\n"
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
    "a"
    "aaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n0\r\n\r\n",
  };
  for (size_t i = 0; i < 2; i++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /a HTTP/1.1\r\n" HOST "\r\n");
      client_send (&raw_client, large[i]);
      run_ms (30);
      CU_ASSERT_EQUAL (request_count, 1);
      CU_ASSERT_EQUAL (raw_client.size, 0);
      http_reply (requests[0], 200, NULL, "x", 1);
      run_ms (30);
      CU_ASSERT_EQUAL (strncmp (raw_client.received, "HTTP/1.1 200", 12), 0);
      CU_ASSERT_PTR_NOT_NULL (strstr (raw_client.received, "HTTP/1.1 413"));
      CU_ASSERT (raw_client.closed);
      server_tear_down (&raw_client);
    }
}

static void
test_ambiguous_responses (void)
{
  static const struct
  {
    const char *what;
    const char *bytes;
  } rows[] = {
    { "line feeds only", "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc" },
    { "space before a colon",
      "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc" },
    { "folded field",
      "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 3\r\n\r\nabc" },
    { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                     "Content-Length: 5\r\n\r\nabc" },
    { "length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc" },
    { "coding that the parser overlooks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "Transfer-Encoding-A: b\r\n\r\n3\r\nabc\r\n0\r\n\r\n" },
    { "informational responses without end",
      "HTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\n"
      "HTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\n"
      "HTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\nHTTP/1.1 100 A\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses = { .responses = { rows[i].bytes } };
      uint16_t port = pool_set_up (&responses);
      struct result result = exchange (port, "a");
      if (result.end != HTTP_END_MALFORMED)
        printf ("  %s: end %d\n", rows[i].what, (int)result.end);
      CU_ASSERT (result.ended);
      CU_ASSERT_EQUAL (result.end, HTTP_END_MALFORMED);
      pool_tear_down ();
    }
}

/// Sends a response to a request with the id "a".
static struct result
exchange_response (const struct test_response *response)
{
  char bytes[MALFORMED_RESPONSE_MAX + 16];
  size_t size = test_response_write (response, "X-Id: a\r\n", bytes);
  struct script responses = { .responses = { bytes }, .sizes = { size } };
  struct result result = exchange (pool_set_up (&responses), "a");
  CU_ASSERT (result.ended);
  return result;
}

/// The connection of a malformed response carries no other request.
static void
test_malformed_responses (void)
{
  for (size_t i = 0; i < RESPONSE_COUNT (malformed_responses); i++)
    {
      struct result result = exchange_response (&malformed_responses[i]);
      if (result.end != HTTP_END_MALFORMED)
        printf ("  %s: end %d, status %u\n", malformed_responses[i].name,
                (int)result.end, result.status);
      CU_ASSERT_EQUAL (result.end, HTTP_END_MALFORMED);
      CU_ASSERT_EQUAL (pool.connections, 0);
      pool_tear_down ();
    }
}

static void
test_unusual_responses (void)
{
  for (size_t i = 0; i < RESPONSE_COUNT (unusual_responses); i++)
    {
      struct result result = exchange_response (&unusual_responses[i]);
      bool whole = result.end == HTTP_END_COMPLETE && result.size == 3
                   && memcmp (result.body, "abc", 3) == 0;
      if (!whole)
        printf ("  %s: end %d\n", unusual_responses[i].name, (int)result.end);
      CU_ASSERT (whole);
      pool_tear_down ();
    }
}

/// Feeds a response to the check in pieces of a size.
/// @return true when it was accepted up to its end
static bool
is_accepted (const struct test_response *response, size_t piece)
{
  char bytes[MALFORMED_RESPONSE_MAX + 16];
  size_t size = test_response_write (response, "X-Id: a\r\n", bytes);
  struct http_message_check check;
  http_message_check_init (&check, HTTP_RESPONSE);
  for (size_t used = 0; used < size; used += piece)
    if (!http_message_check_feed (&check, bytes + used,
                                  piece < size - used ? piece : size - used))
      return false;
  return check.state == HTTP_MESSAGE_CHECKED;
}

/// The check alone decides, because other parsers run behind it too, and does
/// so however the bytes arrive.
static void
test_responses_in_pieces (void)
{
  static const size_t pieces[] = { 1, 2, 3, 7, MALFORMED_RESPONSE_MAX + 16 };
  for (size_t k = 0; k < sizeof pieces / sizeof pieces[0]; k++)
    {
      for (size_t i = 0; i < RESPONSE_COUNT (malformed_responses); i++)
        if (is_accepted (&malformed_responses[i], pieces[k]))
          {
            printf ("  %s in pieces of %zu\n", malformed_responses[i].name,
                    pieces[k]);
            CU_FAIL ("a malformed response is accepted");
          }
      for (size_t i = 0; i < RESPONSE_COUNT (unusual_responses); i++)
        if (!is_accepted (&unusual_responses[i], pieces[k]))
          {
            printf ("  %s in pieces of %zu\n", unusual_responses[i].name,
                    pieces[k]);
            CU_FAIL ("a proper response is refused");
          }
    }
}

/// A response that has no body whatever its fields state. The next response
/// begins behind its head.
static void
test_responses_without_a_body (void)
{
#define NEXT "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\nnew"
  static const struct
  {
    const char *what;
    const char *method;
    const char *bytes;
  } rows[] = {
    { "HEAD, length", "HEAD",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\n" },
    { "HEAD, chunks", "HEAD",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n" },
    { "304, length", "GET",
      "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nContent-Length: 3\r\n\r\n" },
    { "304, chunks", "GET",
      "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" },
    { "304", "GET", "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\n\r\n" },
    { "204, length of zero", "GET",
      "HTTP/1.1 204 No Content\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n" },
    { "204", "GET", "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses = { .responses = { rows[i].bytes, NEXT } };
      uint16_t port = pool_set_up (&responses);
      struct result first = exchange_method (port, rows[i].method, "a", 0);
      struct result second = exchange (port, "b");
      bool correct = first.ended && first.end == HTTP_END_COMPLETE
                     && first.size == 0 && second.end == HTTP_END_COMPLETE
                     && second.size == 3
                     && memcmp (second.body, "new", 3) == 0;
      if (!correct)
        printf ("  %s: ended %d, end %d, then end %d\n", rows[i].what,
                first.ended, (int)first.end, (int)second.end);
      CU_ASSERT (correct);
      pool_tear_down ();
    }
}

#define COPY_OF(ID, BODY)                                                     \
  "HTTP/1.1 200 OK\r\nX-Id: " ID "\r\nContent-Length: 3\r\n\r\n" BODY

/// Sends bytes on the target's newest connection, as a late copy of an earlier
/// response.
static void
send_late (const char *bytes)
{
  CU_ASSERT_EQUAL (send (target_fd, bytes, strlen (bytes), 0),
                   (ssize_t)strlen (bytes));
  run_ms (20);
}

static void
test_late_copies (void)
{
  static const struct
  {
    const char *what;
    const char *late;  ///< arrives while the connection is idle
    const char *id;    ///< of the request after it
    const char *reply; ///< on the connection that the request takes
  } rows[] = {
    { "whole copy while idle", COPY_OF ("a", "old"), "b",
      COPY_OF ("b", "new") },
    { "half of a copy while idle", "HTTP/1.1 200 OK\r\nX-Id: a\r\nCont", "b",
      COPY_OF ("b", "new") },
    { "head of a copy while idle",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\n", "b",
      COPY_OF ("b", "new") },
    { "copy together with the response", "", "b",
      COPY_OF ("a", "old") COPY_OF ("b", "new") },
    { "copy without an id", "", "b",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold" COPY_OF ("b", "new") },
    { "caller repeats its id", "", "a", COPY_OF ("a", "new") },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses
          = { .responses = { COPY_OF ("a", "abc"), rows[i].reply } };
      uint16_t port = pool_set_up (&responses);
      struct result first = exchange (port, "a");
      CU_ASSERT_EQUAL (memcmp (first.body, "abc", 3), 0);
      if (rows[i].late[0] != '\0')
        send_late (rows[i].late);
      struct result second = exchange (port, rows[i].id);
      bool correct = second.ended && second.end == HTTP_END_COMPLETE
                     && second.size == 3
                     && memcmp (second.body, "new", 3) == 0;
      if (!correct)
        printf ("  %s: end %d, %.*s\n", rows[i].what, (int)second.end,
                (int)second.size, second.body);
      CU_ASSERT (correct);
      /* A copy of the same id cannot be told from the response. */
      if (strcmp (rows[i].id, "a") == 0)
        CU_ASSERT_EQUAL (script.connections, 2);
      pool_tear_down ();
    }
}

/// Bytes behind a complete response, together with it or while the connection
/// is idle. They belong to no request, and the connection carries no other.
static void
test_bytes_behind_a_response (void)
{
#define RESPONSE_TO(ID, STATUS, FIELDS)                                       \
  "HTTP/1.1 " STATUS "\r\nX-Id: " ID "\r\n" FIELDS "\r\n"
  static const struct
  {
    const char *what;
    const char *method;
    const char *response;
  } responses[] = {
    { "length", "GET", COPY_OF ("a", "abc") },
    { "chunks", "GET",
      RESPONSE_TO ("a", "200 OK", "Transfer-Encoding: chunked\r\n") "3\r\nabc"
                                                                    "\r\n0\r\n"
                                                                    "\r\n" },
    { "204", "GET", RESPONSE_TO ("a", "204 No Content", "") },
    { "304", "GET", RESPONSE_TO ("a", "304 Not Modified", "") },
    { "HEAD", "HEAD", RESPONSE_TO ("a", "200 OK", "Content-Length: 3\r\n") },
  };
  static const char *const behind[] = { "\r\n",
                                        "\n",
                                        " ",
                                        "abc",
                                        "0\r\n\r\n",
                                        "HTTP/1.1 ",
                                        "HTTP/1.1 200 OK\r\n",
                                        "\r\n" COPY_OF ("b", "old") };
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    for (size_t k = 0; k < sizeof behind / sizeof behind[0]; k++)
      for (int late = 0; late < 2; late++)
        {
          char bytes[512];
          snprintf (bytes, sizeof bytes, "%s%s", responses[i].response,
                    late ? "" : behind[k]);
          struct script both
              = { .responses = { bytes, COPY_OF ("b", "new") } };
          uint16_t port = pool_set_up (&both);
          struct result first
              = exchange_method (port, responses[i].method, "a", 0);
          CU_ASSERT_EQUAL (first.end, HTTP_END_COMPLETE);
          if (late)
            send_late (behind[k]);
          struct result second = exchange (port, "b");
          bool correct = second.end == HTTP_END_COMPLETE && second.size == 3
                         && memcmp (second.body, "new", 3) == 0
                         && script.connections == 2;
          if (!correct)
            printf ("  %s, row %zu, late %d: end %d, %zu connections\n",
                    responses[i].what, k, late, (int)second.end,
                    script.connections);
          CU_ASSERT (correct);
          pool_tear_down ();
        }
}

/// Ids of any length are compared, in full: the second request is answered
/// with a late copy of the first response and then with its own.
static void
test_late_copies_for_long_ids (void)
{
  static const size_t sizes[] = { 1, 63, 64, 72, 1500 };
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeats_id = 0; repeats_id < 2; repeats_id++)
      {
        char first[1600], second[1600], own[1800], both[3600];
        memset (first, 'x', sizes[i]);
        first[sizes[i]] = '\0';
        strcpy (second, first);
        if (!repeats_id)
          second[sizes[i] - 1] = 'y';
        snprintf (own, sizeof own, COPY_OF ("%s", "old"), first);
        snprintf (both, sizeof both, "%s" COPY_OF ("%s", "new"),
                  repeats_id ? "" : own, second);
        struct script responses = { .responses = { own, both } };
        uint16_t port = pool_set_up (&responses);
        struct result result = exchange (port, first);
        CU_ASSERT_EQUAL (memcmp (result.body, "old", 3), 0);
        result = exchange (port, second);
        bool correct = result.ended && result.end == HTTP_END_COMPLETE
                       && result.size == 3
                       && memcmp (result.body, "new", 3) == 0;
        if (!correct)
          printf ("  id of %zu bytes: end %d, %.*s\n", sizes[i],
                  (int)result.end, (int)result.size, result.body);
        CU_ASSERT (correct);
        /* Requests with distinct ids share a connection, repeats do not. */
        CU_ASSERT_EQUAL (script.connections, repeats_id ? 2 : 1);
        pool_tear_down ();
      }
}

/// A request without an id must not get a response that names one.
static void
test_late_copy_for_a_request_without_id (void)
{
  static const char *const ids[] = { NULL, "" };
  for (size_t i = 0; i < sizeof ids / sizeof ids[0]; i++)
    {
      struct script responses
          = { .responses
              = { COPY_OF ("a", "abc"),
                  COPY_OF ("a", "old") "HTTP/1.1 400 Bad Request\r\n"
                                       "Content-Length: 3\r\n\r\nnew" } };
      uint16_t port = pool_set_up (&responses);
      CU_ASSERT_EQUAL (exchange (port, "a").end, HTTP_END_COMPLETE);
      struct result result = exchange (port, ids[i]);
      CU_ASSERT_EQUAL (result.end, HTTP_END_COMPLETE);
      CU_ASSERT_EQUAL (result.status, 400);
      CU_ASSERT_EQUAL (result.size, 3);
      CU_ASSERT_EQUAL (memcmp (result.body, "new", 3), 0);
      pool_tear_down ();
    }
}

/// A target that stops after each byte of its response and closes. No part of
/// it may pass for the whole one.
static void
test_response_cut_at_each_byte (void)
{
  static const char *const responses[] = {
    COPY_OF ("a", "abc"),
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nX-Id: a\r\nX-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n" COPY_OF ("a", "abc"),
    "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    for (size_t size = 1; size < strlen (responses[i]); size++)
      {
        char bytes[256] = "";
        memcpy (bytes, responses[i], size);
        struct script cut
            = { .responses = { bytes }, .close_after = { true } };
        uint16_t port = pool_set_up (&cut);
        struct result result = exchange (port, "a");
        if (!result.ended || result.end == HTTP_END_COMPLETE)
          printf ("  response %zu cut after %zu bytes: end %d\n", i, size,
                  (int)result.end);
        CU_ASSERT (result.ended);
        CU_ASSERT_NOT_EQUAL (result.end, HTTP_END_COMPLETE);
        pool_tear_down ();
      }
}

/// A response without a length ends with its connection, but only once its
/// head has ended.
static void
test_unframed_response_cut_in_its_head (void)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc";
  size_t head_size = sizeof response - 1 - 3;
  for (size_t size = 1; size < sizeof response; size++)
    {
      char bytes[sizeof response] = "";
      memcpy (bytes, response, size);
      struct script cut = { .responses = { bytes }, .close_after = { true } };
      uint16_t port = pool_set_up (&cut);
      struct result result = exchange (port, "a");
      bool whole = result.ended && result.end == HTTP_END_COMPLETE;
      if (whole != (size >= head_size))
        printf ("  cut after %zu bytes: end %d\n", size, (int)result.end);
      CU_ASSERT_EQUAL (whole, size >= head_size);
      pool_tear_down ();
    }
}

/// A refusal that a target writes once more on a kept connection, with the id
/// of its request or without any, after the next request has arrived there.
static void
test_refusal_written_once_more (void)
{
#define REFUSAL(FIELDS)                                                       \
  "HTTP/1.1 503 Busy\r\n" FIELDS "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
  static const struct
  {
    const char *what;
    const char *responses[2]; ///< to the first and to the second request
  } rows[] = {
    { "with its id",
      { REFUSAL ("X-Id: a\r\n"),
        REFUSAL ("X-Id: a\r\n") COPY_OF ("b", "new") } },
    { "without an id, answer with one",
      { REFUSAL (""), REFUSAL ("") COPY_OF ("b", "new") } },
    { "without an id, then the request runs on",
      { REFUSAL (""), REFUSAL ("") } },
    { "with an empty id",
      { REFUSAL ("X-Id:\r\n"), REFUSAL ("X-Id:\r\n") COPY_OF ("b", "new") } },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses
          = { .responses = { rows[i].responses[0], rows[i].responses[1] } };
      uint16_t port = pool_set_up (&responses);
      exchange (port, "a");
      size_t before = script.connections;
      struct result second = exchange (port, "b");
      /* On a new connection nothing can be written once more. */
      bool correct
          = script.connections > before
            || (second.end == HTTP_END_COMPLETE && second.status == 200);
      if (!correct)
        printf ("  %s: status %u\n", rows[i].what, second.status);
      CU_ASSERT (correct);
      pool_tear_down ();
    }
}

/// Responses of other nodes are read into memory up to a limit.
static void
test_limit_of_a_body (void)
{
#define BODY_10 "aaaaaaaaaa"
#define CHUNKS_10 "1\r\na\r\n9\r\naaaaaaaaa\r\n"
  static const struct
  {
    const char *what;
    const char *fields;
    const char *body;
    bool closes;
    enum http_end end;
  } rows[] = {
    { "length at the limit", "Content-Length: 10\r\n", BODY_10, false,
      HTTP_END_COMPLETE },
    { "length over it", "Content-Length: 11\r\n", BODY_10 "a", false,
      HTTP_END_MALFORMED },
    { "chunks at the limit", "Transfer-Encoding: chunked\r\n",
      CHUNKS_10 "0\r\n\r\n", false, HTTP_END_COMPLETE },
    { "chunks over it", "Transfer-Encoding: chunked\r\n",
      CHUNKS_10 "1\r\na\r\n", false, HTTP_END_MALFORMED },
    { "up to the close, at the limit", "", BODY_10, true, HTTP_END_COMPLETE },
    { "up to the close, over it", "", BODY_10 "a", false, HTTP_END_MALFORMED },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char bytes[256];
      snprintf (bytes, sizeof bytes, "HTTP/1.1 200 OK\r\nX-Id: a\r\n%s\r\n%s",
                rows[i].fields, rows[i].body);
      struct script responses
          = { .responses = { bytes }, .close_after = { rows[i].closes } };
      uint16_t port = pool_set_up (&responses);
      struct result result = exchange_method (port, "GET", "a", 10);
      if (!result.ended || result.end != rows[i].end)
        printf ("  %s: ended %d, end %d\n", rows[i].what, result.ended,
                (int)result.end);
      CU_ASSERT (result.ended);
      CU_ASSERT_EQUAL (result.end, rows[i].end);
      CU_ASSERT (result.size <= 10);
      CU_ASSERT (result.end == HTTP_END_COMPLETE || pool.connections == 0);
      pool_tear_down ();
    }
}

/// A target that never ends a part of its response. The pool must end the
/// exchange, with a bounded amount of it in memory.
static void
test_heads_without_end (void)
{
  static const struct
  {
    const char *what;
    const char *start;
    const char *part; ///< repeated
  } rows[] = {
    { "status line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
    { "field name", "HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
    { "field value", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaaaaaaaaaaaaaaaaaaaa" },
    { "fields", "HTTP/1.1 200 OK\r\n",
      "A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" },
    { "chunk extension",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;",
      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
    { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" },
    { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      static char bytes[200 * 1024];
      size_t size
          = (size_t)snprintf (bytes, sizeof bytes, "%s", rows[i].start);
      size_t part = strlen (rows[i].part);
      for (; size + part < sizeof bytes; size += part)
        memcpy (bytes + size, rows[i].part, part);
      bytes[size] = '\0';
      struct script responses = { .responses = { bytes } };
      uint16_t port = pool_set_up (&responses);
      struct result result = exchange (port, "a");
      bool ended = result.ended && result.end == HTTP_END_MALFORMED;
      if (!ended)
        printf ("  %s: ended %d, end %d\n", rows[i].what, result.ended,
                (int)result.end);
      CU_ASSERT (ended);
      CU_ASSERT_EQUAL (pool.connections, 0);
      pool_tear_down ();
    }
}

/// Connections that the kernel has established while the server stops: with a
/// whole request, with half of one, and without any byte.
static void
test_stop_with_waiting_connections (void)
{
  uint16_t port = server_set_up ();
  int fds[3];
  static const char *const bytes[]
      = { "GET / HTTP/1.1\r\n" HOST "\r\n", "GET / HT", "" };
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  at.sin_addr.s_addr = htonl (LOOPBACK);
  for (size_t i = 0; i < 3; i++)
    {
      fds[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL (connect (fds[i], (struct sockaddr *)&at, sizeof at), 0);
      CU_ASSERT_EQUAL (send (fds[i], bytes[i], strlen (bytes[i]), 0),
                       (ssize_t)strlen (bytes[i]));
    }
  http_server_stop_accepting (&server);
  http_server_close_idle (&server);
  CU_ASSERT_EQUAL (server.connections, 3);
  CU_ASSERT (http_server_has_work (&server));
  run_ms (30);
  CU_ASSERT_EQUAL (request_count, 1);
  http_reply (requests[0], 503, NULL, "", 0);
  CU_ASSERT_EQUAL (send (fds[1], bytes[0] + 8, strlen (bytes[0] + 8), 0),
                   (ssize_t)strlen (bytes[0] + 8));
  http_server_close_idle (&server);
  CU_ASSERT (http_server_has_work (&server));
  run_ms (30);
  CU_ASSERT_EQUAL (request_count, 2);
  http_reply (requests[1], 503, NULL, "", 0);
  run_ms (300);
  http_server_close_idle (&server);
  CU_ASSERT (!http_server_has_work (&server));
  CU_ASSERT_EQUAL (server.connections, 0);
  char received[64];
  for (size_t i = 0; i < 2; i++)
    {
      CU_ASSERT (recv (fds[i], received, sizeof received, 0) > 12);
      CU_ASSERT_EQUAL (memcmp (received, "HTTP/1.1 503", 12), 0);
    }
  for (size_t i = 0; i < 3; i++)
    close (fds[i]);
  http_server_stop (&server);
  event_base_free (base);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a request that others may read differently is handled",
      test_ambiguous_requests },
    { "a proper request is refused", test_proper_requests },
    { "a malformed request runs, or costs those before it their answer",
      test_malformed_request_behind_a_good_one },
    { "the rejection of a large request passes for an earlier response",
      test_large_request_behind_a_good_one },
    { "a response that others may read differently is passed on",
      test_ambiguous_responses },
    { "a malformed response passes for a proper one",
      test_malformed_responses },
    { "a proper response of an unusual form is refused",
      test_unusual_responses },
    { "a malformed response passes when it arrives in pieces",
      test_responses_in_pieces },
    { "the body of a response that has none is waited for",
      test_responses_without_a_body },
    { "a late copy of a response is taken for the next one",
      test_late_copies },
    { "a connection is used again behind bytes of no response",
      test_bytes_behind_a_response },
    { "a late copy is taken for the response to a request with a long id",
      test_late_copies_for_long_ids },
    { "a late copy is taken for the response to a request without an id",
      test_late_copy_for_a_request_without_id },
    { "a response that is cut off passes for a whole one",
      test_response_cut_at_each_byte },
    { "a head that is cut off passes for a response without a length",
      test_unframed_response_cut_in_its_head },
    { "an earlier refusal passes for that of the next request",
      test_refusal_written_once_more },
    { "a stop resets connections that the kernel has established",
      test_stop_with_waiting_connections },
    { "a body over its limit is cut and passed on, or read on",
      test_limit_of_a_body },
    { "a response head without end fills memory or never ends",
      test_heads_without_end },
  };
  return testing_run ("http_strict", cases, sizeof cases / sizeof cases[0]);
}
