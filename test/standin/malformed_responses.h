/// Responses that a client must not accept, and unusual ones that it must, for
/// the tests of each client.
#ifndef HAWTHORNSEAM_TEST_MALFORMED_RESPONSES_H
#define HAWTHORNSEAM_TEST_MALFORMED_RESPONSES_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/// Stands for the fields that a test adds to each response.
#define ADDED_FIELDS '@'

/// Bytes of a written response at most, without the added fields.
#define MALFORMED_RESPONSE_MAX 512

struct test_response
{
  const char *name;
  const char *bytes;
  size_t size;
};

#define RESPONSE(NAME, BYTES)                                                 \
  {                                                                           \
    NAME, BYTES, sizeof (BYTES) - 1                                           \
  }
#define STATUS_LINE_RESPONSE(NAME, LINE)                                      \
  RESPONSE (NAME, LINE "\r\n@Content-Length: 3\r\n\r\nabc")
#define FIELD_RESPONSE(NAME, FIELD)                                           \
  RESPONSE (NAME,                                                             \
            "HTTP/1.1 200 OK\r\n@" FIELD "\r\nContent-Length: 3\r\n\r\nabc")
#define FRAMING_RESPONSE(NAME, FIELDS)                                        \
  RESPONSE (NAME, "HTTP/1.1 200 OK\r\n@" FIELDS "\r\n\r\nabc")
#define CHUNKED_RESPONSE(NAME, BODY)                                          \
  RESPONSE (NAME,                                                             \
            "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n" BODY)
#define WHOLE "HTTP/1.1 200 OK\r\n@Content-Length: 3\r\n\r\nabc"

static const struct test_response malformed_responses[] = {
  STATUS_LINE_RESPONSE ("status-000", "HTTP/1.1 000 OK"),
  STATUS_LINE_RESPONSE ("status-0", "HTTP/1.1 0 OK"),
  STATUS_LINE_RESPONSE ("status-099", "HTTP/1.1 099 OK"),
  STATUS_LINE_RESPONSE ("status-600", "HTTP/1.1 600 OK"),
  STATUS_LINE_RESPONSE ("status-999", "HTTP/1.1 999 OK"),
  STATUS_LINE_RESPONSE ("status-of-one-digit", "HTTP/1.1 2 OK"),
  STATUS_LINE_RESPONSE ("status-of-two-digits", "HTTP/1.1 20 OK"),
  STATUS_LINE_RESPONSE ("status-of-four-digits", "HTTP/1.1 2000 OK"),
  STATUS_LINE_RESPONSE ("status-with-a-leading-zero", "HTTP/1.1 0200 OK"),
  STATUS_LINE_RESPONSE ("status-with-a-letter", "HTTP/1.1 2x0 OK"),
  STATUS_LINE_RESPONSE ("status-with-a-sign", "HTTP/1.1 +200 OK"),
  STATUS_LINE_RESPONSE ("negative-status", "HTTP/1.1 -200 OK"),
  STATUS_LINE_RESPONSE ("status-with-a-fraction", "HTTP/1.1 200.0 OK"),
  STATUS_LINE_RESPONSE ("status-joined-to-the-reason", "HTTP/1.1 200OK"),
  STATUS_LINE_RESPONSE ("tab-behind-the-status", "HTTP/1.1 200\tOK"),
  STATUS_LINE_RESPONSE ("two-spaces-before-the-status", "HTTP/1.1  200 OK"),
  STATUS_LINE_RESPONSE ("tab-before-the-status", "HTTP/1.1\t200 OK"),
  STATUS_LINE_RESPONSE ("reason-without-a-status", "HTTP/1.1 OK"),
  STATUS_LINE_RESPONSE ("version-alone", "HTTP/1.1"),
  STATUS_LINE_RESPONSE ("control-byte-in-the-reason", "HTTP/1.1 200 O\001K"),
  STATUS_LINE_RESPONSE ("zero-byte-in-the-reason", "HTTP/1.1 200 O\0K"),
  STATUS_LINE_RESPONSE ("other-protocol", "HTXP/1.1 200 OK"),
  STATUS_LINE_RESPONSE ("protocol-in-lower-case", "http/1.1 200 OK"),
  STATUS_LINE_RESPONSE ("version-2.0", "HTTP/2.0 200 OK"),
  STATUS_LINE_RESPONSE ("version-1.2", "HTTP/1.2 200 OK"),
  STATUS_LINE_RESPONSE ("version-1.10", "HTTP/1.10 200 OK"),
  RESPONSE ("empty-line-first", "\r\n" WHOLE),
  RESPONSE ("line-feed-first", "\n" WHOLE),
  RESPONSE ("no-head", "abc\r\n\r\n"),
  RESPONSE ("line-feeds-only",
            "HTTP/1.1 200 OK\nX-A: b\nContent-Length: 3\n\nabc"),
  RESPONSE ("status-000-behind-an-informational-response",
            "HTTP/1.1 100 Continue\r\n\r\n"
            "HTTP/1.1 000 OK\r\n@Content-Length: 3\r\n\r\nabc"),
  RESPONSE ("status-600-behind-an-informational-response",
            "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
            "HTTP/1.1 600 OK\r\n@Content-Length: 3\r\n\r\nabc"),
  RESPONSE ("unrequested-switch-of-protocols",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n" WHOLE),
  RESPONSE ("informational-response-with-a-length",
            "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc" WHOLE),
  RESPONSE ("informational-response-with-chunks",
            "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n" WHOLE),

  FIELD_RESPONSE ("blank-in-a-name", "A B: c"),
  FIELD_RESPONSE ("blank-behind-a-name", "A : c"),
  FIELD_RESPONSE ("tab-in-a-name", "A\tB: c"),
  FIELD_RESPONSE ("control-byte-in-a-name", "A\001B: c"),
  FIELD_RESPONSE ("zero-byte-in-a-name", "A\0B: c"),
  FIELD_RESPONSE ("delete-in-a-name", "A\177B: c"),
  FIELD_RESPONSE ("byte-over-127-in-a-name", "A\351B: c"),
  FIELD_RESPONSE ("carriage-return-in-a-name", "A\rB: c"),
  FIELD_RESPONSE ("empty-name", ": c"),
  FIELD_RESPONSE ("field-without-a-colon", "abc"),
  FIELD_RESPONSE ("folded-field", "A: b\r\n c"),
  FIELD_RESPONSE ("control-byte-in-a-value", "A: b\001c"),
  FIELD_RESPONSE ("carriage-return-in-a-value", "A: b\rc"),
  FIELD_RESPONSE ("line-feed-in-a-value", "A: b\nc: d"),
  FIELD_RESPONSE ("blank-in-the-name-of-the-length", "Content-Length : 5"),

  FRAMING_RESPONSE ("two-lengths", "Content-Length: 3\r\nContent-Length: 5"),
  FRAMING_RESPONSE ("equal-lengths", "Content-Length: 3\r\nContent-Length: 3"),
  FRAMING_RESPONSE ("list-of-lengths", "Content-Length: 3, 3"),
  FRAMING_RESPONSE ("signed-length", "Content-Length: +3"),
  FRAMING_RESPONSE ("negative-length", "Content-Length: -3"),
  FRAMING_RESPONSE ("hexadecimal-length", "Content-Length: 0x3"),
  FRAMING_RESPONSE ("empty-length", "Content-Length:"),
  FRAMING_RESPONSE ("length-with-a-unit", "Content-Length: 3 bytes"),
  FRAMING_RESPONSE ("length-over-64-bits",
                    "Content-Length: 99999999999999999999999"),
  FRAMING_RESPONSE ("other-coding", "Transfer-Encoding: gzip"),
  RESPONSE ("length-and-chunks",
            "HTTP/1.1 200 OK\r\n@Content-Length: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("chunks-and-length",
            "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n"
            "Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("list-of-codings",
            "HTTP/1.1 200 OK\r\n@Transfer-Encoding: gzip, chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("chunked-twice",
            "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("chunks-in-http-1.0",
            "HTTP/1.0 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("status-204-with-a-body",
            "HTTP/1.1 204 No Content\r\n@Content-Length: 3\r\n\r\nabc"),
  RESPONSE ("status-204-with-chunks",
            "HTTP/1.1 204 No Content\r\n@Transfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n"),

  CHUNKED_RESPONSE ("chunk-size-that-is-no-number", "zz\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("empty-chunk-size", "\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("signed-chunk-size", "+3\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("negative-chunk-size", "-3\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("prefixed-chunk-size", "0x3\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("blank-before-a-chunk-size", " 3\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("blank-behind-a-chunk-size", "3 \r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("chunk-size-over-64-bits",
                    "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("line-feed-behind-a-chunk-size", "3\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("carriage-return-behind-a-chunk-size",
                    "3\rXabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("line-feed-in-a-chunk-extension",
                    "3;a\nb\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("control-byte-in-a-chunk-extension",
                    "3;a\001b\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("chunk-longer-than-its-size", "3\r\nabcde0\r\n\r\n"),
  CHUNKED_RESPONSE ("chunk-without-a-line-end", "3\r\nabc0\r\n\r\n"),
  CHUNKED_RESPONSE ("line-feed-behind-a-chunk", "3\r\nabc\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("blank-in-a-trailer-name",
                    "3\r\nabc\r\n0\r\nA B: c\r\n\r\n"),
  CHUNKED_RESPONSE ("control-byte-in-a-trailer-name",
                    "3\r\nabc\r\n0\r\nA\001B: c\r\n\r\n"),
  CHUNKED_RESPONSE ("control-byte-in-a-trailer-value",
                    "3\r\nabc\r\n0\r\nA: b\001c\r\n\r\n"),
  CHUNKED_RESPONSE ("folded-trailer", "3\r\nabc\r\n0\r\nA: b\r\n c\r\n\r\n"),
  CHUNKED_RESPONSE ("line-feeds-in-a-trailer", "3\r\nabc\r\n0\r\nA: b\n\n"),
  CHUNKED_RESPONSE ("length-in-a-trailer",
                    "3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n"),
  CHUNKED_RESPONSE ("coding-in-a-trailer",
                    "3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"),
};

static const struct test_response unusual_responses[] = {
  STATUS_LINE_RESPONSE ("empty-reason", "HTTP/1.1 200 "),
  STATUS_LINE_RESPONSE ("no-reason", "HTTP/1.1 200"),
  STATUS_LINE_RESPONSE ("unassigned-status", "HTTP/1.1 299 OK"),
  STATUS_LINE_RESPONSE ("bytes-over-127-in-the-reason",
                        "HTTP/1.1 200 \303\251"),
  STATUS_LINE_RESPONSE ("version-1.0", "HTTP/1.0 200 OK"),
  FIELD_RESPONSE ("all-characters-of-a-name", "!#$%&'*+-.^_`|~09azAZ: c"),
  FIELD_RESPONSE ("bytes-over-127-in-a-value", "A: \303\251"),
  FIELD_RESPONSE ("empty-value", "A:"),
  FRAMING_RESPONSE ("blanks-around-a-length", "Content-Length: \t3 "),
  FRAMING_RESPONSE ("length-with-leading-zeros", "Content-Length: 0003"),
  CHUNKED_RESPONSE ("chunk-extension", "3;a=b\r\nabc\r\n0;c\r\n\r\n"),
  CHUNKED_RESPONSE ("blank-before-a-chunk-extension",
                    "3 ;a=b\r\nabc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("chunk-size-with-leading-zeros",
                    "0003\r\nabc\r\n000\r\n\r\n"),
  CHUNKED_RESPONSE ("several-chunks",
                    "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n"),
  CHUNKED_RESPONSE ("trailer", "3\r\nabc\r\n0\r\nA: b\r\nC:\r\n\r\n"),
  RESPONSE ("coding-in-mixed-case",
            "HTTP/1.1 200 OK\r\n@transfer-encoding: Chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n"),
  RESPONSE ("informational-responses", "HTTP/1.1 100 Continue\r\n\r\n"
                                       "HTTP/1.1 103 Early Hints\r\nA: b\r\n"
                                       "\r\n" WHOLE),
};

#define RESPONSE_COUNT(TABLE) (sizeof (TABLE) / sizeof (TABLE)[0])

/// Writes a response with the added fields in their place.
/// @param fields  each with its line end; as many bytes more than
///                MALFORMED_RESPONSE_MAX are needed
/// @return bytes written
static inline size_t
test_response_write (const struct test_response *response, const char *fields,
                     char *text)
{
  size_t size = 0;
  for (size_t i = 0; i < response->size; i++)
    if (response->bytes[i] != ADDED_FIELDS)
      text[size++] = response->bytes[i];
    else
      {
        memcpy (text + size, fields, strlen (fields));
        size += strlen (fields);
      }
  return size;
}

#endif
