/// Blocking HTTP requests to a node: each uses an event loop and a connection
/// of its own. Also the helpers for input files and JSON output.
#include "ctl/ctl.h"

#include "transport/http_response_guard.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Longer than a node retries its own requests to the store.
#define REQUEST_TIMEOUT_S 30

#define FILE_BYTES_MAX (1024 * 1024)

/// Largest head and body of a response, bytes.
#define HEAD_BYTES_MAX (16 * 1024)
#define RESPONSE_BYTES_MAX (64 * 1024 * 1024)

struct exchange
{
  struct event_base *base;
  struct ctl_response *response;
  struct http_response_guard guard;
  bool complete; ///< a response has arrived
};

static void
on_malformed (void *arg)
{
  struct exchange *exchange = arg;
  event_base_loopbreak (exchange->base);
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct exchange *exchange = arg;
  event_base_loopbreak (exchange->base);
  if (request == NULL || evhttp_request_get_response_code (request) == 0
      || exchange->guard.malformed)
    return;
  struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (buffer);
  char *body = malloc (size + 1);
  if (body == NULL)
    return;
  evbuffer_copyout (buffer, body, size);
  body[size] = '\0';
  *exchange->response
      = (struct ctl_response){ .code
                               = evhttp_request_get_response_code (request),
                               .body = body,
                               .size = size };
  exchange->complete = true;
}

static bool
add_headers (struct evhttp_request *request, const struct ctl *ctl,
             const char *const *headers)
{
  struct evkeyvalq *output = evhttp_request_get_output_headers (request);
  bool added = evhttp_add_header (output, "Host", ctl->host) == 0;
  for (; added && headers != NULL && *headers != NULL; headers += 2)
    added = evhttp_add_header (output, headers[0], headers[1]) == 0;
  return added;
}

enum status
ctl_request (const struct ctl *ctl, const char *method, const char *path,
             const char *const *headers, const char *body, size_t size,
             struct ctl_response *response)
{
  struct exchange exchange
      = { .base = event_base_new (), .response = response };
  if (exchange.base == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory");
  struct evhttp_connection *connection
      = evhttp_connection_base_new (exchange.base, NULL, ctl->host, ctl->port);
  struct evhttp_request *request = evhttp_request_new (on_response, &exchange);
  enum status status = STATUS_OK;
  if (connection == NULL || request == NULL)
    status = status_set (STATUS_NO_MEMORY, "no memory");
  else if (!add_headers (request, ctl, headers))
    status = status_set (STATUS_INVALID,
                         "a header contains a line break or is too long");
  if (status != STATUS_OK)
    {
      if (request != NULL)
        evhttp_request_free (request);
    }
  else
    {
      evhttp_connection_set_timeout (connection, REQUEST_TIMEOUT_S);
      evhttp_connection_set_max_headers_size (connection, HEAD_BYTES_MAX);
      evhttp_connection_set_max_body_size (connection, RESPONSE_BYTES_MAX);
      http_response_guard_init (&exchange.guard, connection, on_malformed,
                                &exchange);
      if (size > 0)
        evbuffer_add (evhttp_request_get_output_buffer (request), body, size);
      if (evhttp_make_request (connection, request,
                               strcmp (method, "POST") == 0 ? EVHTTP_REQ_POST
                                                            : EVHTTP_REQ_GET,
                               path)
          == 0)
        event_base_dispatch (exchange.base);
      if (!exchange.complete)
        status = status_set (STATUS_UNKNOWN, "%s answer from node %s:%u",
                             exchange.guard.malformed ? "malformed" : "no",
                             ctl->host, ctl->port);
    }
  if (connection != NULL)
    evhttp_connection_free (connection);
  event_base_free (exchange.base);
  return status;
}

void
ctl_response_free (struct ctl_response *response)
{
  free (response->body);
  *response = (struct ctl_response){ 0 };
}

json_t *
ctl_get_json (const struct ctl *ctl, const char *path)
{
  struct ctl_response response = { 0 };
  if (ctl_request (ctl, "GET", path, NULL, NULL, 0, &response) != STATUS_OK)
    {
      fprintf (stderr, "hawthornseam-ctl: %s\n", status_message ());
      return NULL;
    }
  json_t *value = NULL;
  if (response.code != 200)
    ctl_print_error (ctl, &response, NULL);
  else
    {
      value = json_loadb (response.body, response.size, 0, NULL);
      if (value == NULL)
        fputs ("hawthornseam-ctl: the reply is not JSON\n", stderr);
    }
  ctl_response_free (&response);
  return value;
}

char *
ctl_read_file (const char *path, size_t *size)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *stream = is_stdin ? stdin : fopen (path, "re");
  if (stream == NULL)
    {
      perror (path);
      return NULL;
    }
  char *bytes = malloc (FILE_BYTES_MAX + 1);
  *size = bytes == NULL ? 0 : fread (bytes, 1, FILE_BYTES_MAX + 1, stream);
  bool failed = bytes == NULL || ferror (stream) || *size > FILE_BYTES_MAX;
  if (!is_stdin)
    fclose (stream);
  if (!failed)
    return bytes;
  fprintf (stderr, "%s: the file cannot be read or is larger than 1 MiB\n",
           path);
  free (bytes);
  return NULL;
}

const char *
ctl_string (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text == NULL ? "" : text;
}

void
ctl_print_json (const json_t *value)
{
  json_dumpf (value, stdout, JSON_INDENT (1));
  putchar ('\n');
}

void
ctl_print_error (const struct ctl *ctl, const struct ctl_response *response,
                 const char *file)
{
  json_t *value = json_loadb (response->body, response->size, 0, NULL);
  if (ctl->json && value != NULL)
    ctl_print_json (value);
  else
    fprintf (stderr, "hawthornseam-ctl: refused (%d %s): %s\n", response->code,
             ctl_string (value, "status"), ctl_string (value, "message"));
  const json_t *findings = json_object_get (value, "findings");
  for (size_t i = 0; !ctl->json && i < json_array_size (findings); i++)
    {
      const json_t *finding = json_array_get (findings, i);
      fprintf (
          stderr, "%s:%lld:%lld: %s: %s\n", file == NULL ? "document" : file,
          (long long)json_integer_value (json_object_get (finding, "line")),
          (long long)json_integer_value (json_object_get (finding, "column")),
          ctl_string (finding, "path"), ctl_string (finding, "message"));
    }
  json_decref (value);
}
