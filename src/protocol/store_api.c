/// Converts store calls to HTTP requests and HTTP responses to replies.
#include "protocol/store_api.h"

#include <ctype.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// Largest revision or lease id: jansson's JSON integers are signed 64-bit
/// numbers.
#define NUMBER_MAX ((uint64_t)INT64_MAX)

static bool
key_valid (const char *key, size_t size_min)
{
  size_t size = strnlen (key, STORE_API_KEY_MAX + 1);
  if (size < size_min || size > STORE_API_KEY_MAX)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)key[i];
      if (c > 127 || (!isalnum (c) && strchr ("._/-", c) == NULL))
        return false;
    }
  return true;
}

/// Parses a decimal number without sign, spaces or leading zeros.
static bool
parse_number (const char *text, uint64_t *value)
{
  if (text == NULL || text[0] == '\0' || (text[0] == '0' && text[1] != '\0'))
    return false;
  uint64_t number = 0;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9')
        return false;
      uint64_t digit = (uint64_t)(*text - '0');
      if (number > (NUMBER_MAX - digit) / 10)
        return false;
      number = number * 10 + digit;
    }
  *value = number;
  return true;
}

static json_t *
parse_json (const uint8_t *body, size_t size)
{
  if (body == NULL)
    return NULL;
  return json_loadb ((const char *)body, size, JSON_REJECT_DUPLICATES, NULL);
}

static enum status
parse_list (const uint8_t *body, size_t size, void *arena,
            struct store_reply *reply)
{
  json_t *list = parse_json (body, size);
  size_t count = json_array_size (list);
  enum status status = STATUS_OK;
  if (!json_is_array (list) || count > STORE_API_LIST_MAX)
    status = STATUS_CORRUPT;
  struct store_key *keys = talloc_array (arena, struct store_key, count + 1);
  if (keys == NULL)
    status = STATUS_NO_MEMORY;
  for (size_t i = 0; i < count && status == STATUS_OK; i++)
    {
      json_t *pair = json_array_get (list, i);
      const char *key = json_string_value (json_array_get (pair, 0));
      json_int_t revision = json_integer_value (json_array_get (pair, 1));
      if (json_array_size (pair) != 2 || key == NULL || !key_valid (key, 1)
          || revision <= 0)
        {
          status = STATUS_CORRUPT;
          break;
        }
      keys[i].key = talloc_strdup (keys, key);
      keys[i].revision = (uint64_t)revision;
      if (keys[i].key == NULL)
        status = STATUS_NO_MEMORY;
    }
  json_decref (list);
  if (status != STATUS_OK)
    {
      talloc_free (keys);
      return status;
    }
  reply->keys = keys;
  reply->key_count = count;
  return STATUS_OK;
}

static enum status
parse_lease (const uint8_t *body, size_t size, struct store_reply *reply)
{
  json_t *object = parse_json (body, size);
  json_int_t id = json_integer_value (json_object_get (object, "id"));
  bool valid = json_object_size (object) == 1 && id > 0;
  json_decref (object);
  if (!valid)
    return STATUS_CORRUPT;
  reply->revision = (uint64_t)id;
  return STATUS_OK;
}

static bool
is_write (enum store_call call)
{
  return call == STORE_CALL_PUT || call == STORE_CALL_REMOVE;
}

static bool
has_value (enum store_call call)
{
  return call == STORE_CALL_GET || call == STORE_CALL_WATCH;
}

/// Parses a response with status code 200.
static enum status
parse_ok (enum store_call call, const char *revision, const uint8_t *body,
          size_t size, void *arena, struct store_reply *reply)
{
  switch (call)
    {
    case STORE_CALL_LIST:
      return parse_list (body, size, arena, reply);
    case STORE_CALL_LEASE_GRANT:
      return parse_lease (body, size, reply);
    case STORE_CALL_REMOVE:
    case STORE_CALL_LEASE_KEEPALIVE:
      return STATUS_OK;
    default:
      if (!parse_number (revision, &reply->revision) || reply->revision == 0)
        return STATUS_CORRUPT;
      if (!has_value (call))
        return STATUS_OK;
      reply->data = body;
      reply->size = size;
      return STATUS_OK;
    }
}

static enum status
parse_conflict (enum store_call call, const char *revision,
                const uint8_t *body, size_t size, struct store_reply *reply)
{
  if (!is_write (call) || !parse_number (revision, &reply->revision)
      || (reply->revision == 0 && size > 0))
    return STATUS_CORRUPT;
  reply->data = body;
  reply->size = size;
  return STATUS_CONFLICT;
}

enum status
store_api_path (const struct store_request *request,
                char path[STORE_API_PATH_MAX])
{
  bool keyed = request->call <= STORE_CALL_LIST;
  if (keyed && !key_valid (request->key, request->call != STORE_CALL_LIST))
    return status_set (
        STATUS_INVALID,
        "store key '%.64s' is empty, too long or has a character that "
        "is not allowed",
        request->key);
  unsigned long long revision = request->revision;
  unsigned long long lease = request->lease;
  int length = 0;
  switch (request->call)
    {
    case STORE_CALL_GET:
      length = snprintf (path, STORE_API_PATH_MAX, "/kv/%s", request->key);
      break;
    case STORE_CALL_WATCH:
      length
          = snprintf (path, STORE_API_PATH_MAX, "/kv/%s?after=%llu&wait_ms=%u",
                      request->key, revision, request->ms);
      break;
    case STORE_CALL_PUT:
      if (lease != 0)
        length = snprintf (path, STORE_API_PATH_MAX,
                           "/kv/%s?prev=%llu&lease=%llu", request->key,
                           revision, lease);
      else
        length = snprintf (path, STORE_API_PATH_MAX, "/kv/%s?prev=%llu",
                           request->key, revision);
      break;
    case STORE_CALL_REMOVE:
      length = snprintf (path, STORE_API_PATH_MAX, "/kv/%s?prev=%llu",
                         request->key, revision);
      break;
    case STORE_CALL_LIST:
      length = snprintf (path, STORE_API_PATH_MAX, "/list?prefix=%s",
                         request->key);
      break;
    case STORE_CALL_LEASE_GRANT:
      length = snprintf (path, STORE_API_PATH_MAX, "/lease?ttl_ms=%u",
                         request->ms);
      break;
    case STORE_CALL_LEASE_KEEPALIVE:
      length = snprintf (path, STORE_API_PATH_MAX, "/lease/%llu/keepalive",
                         lease);
      break;
    case STORE_CALL_RANGE:
    case STORE_CALL_WATCH_PREFIX:
      return status_set (
          STATUS_INVALID,
          "this store interface has no range and prefix watch calls");
    }
  if (length <= 0 || length >= STORE_API_PATH_MAX)
    return status_set (STATUS_INVALID, "path of a store call does not fit");
  return STATUS_OK;
}

void
store_api_parse_response (enum store_call call, int code, const char *revision,
                          const uint8_t *body, size_t size, void *arena,
                          struct store_reply *reply)
{
  *reply = (struct store_reply){ .status = STATUS_CORRUPT };
  switch (code)
    {
    case 200:
      reply->status = parse_ok (call, revision, body, size, arena, reply);
      break;
    case 304:
      if (call == STORE_CALL_WATCH)
        reply->status = STATUS_TIMEOUT;
      break;
    case 404:
      if (call != STORE_CALL_LIST && call != STORE_CALL_LEASE_GRANT)
        reply->status = STATUS_NOT_FOUND;
      break;
    case 409:
      reply->status = parse_conflict (call, revision, body, size, reply);
      break;
    case 400:
      reply->status = STATUS_INVALID;
      break;
    case 413:
      if (call == STORE_CALL_PUT)
        reply->status = STATUS_TOO_LARGE;
      break;
    case 429:
    case 503:
      /* The interface guarantees that the store sends these codes before the
         call has any effect. */
      reply->status = STATUS_UNAVAILABLE;
      break;
    default:
      if (code >= 500)
        reply->status = STATUS_UNKNOWN;
      break;
    }
  if (reply->status == STATUS_CORRUPT)
    *reply = (struct store_reply){ .status = STATUS_CORRUPT };
}

static enum store_method
method_of (enum store_call call)
{
  switch (call)
    {
    case STORE_CALL_PUT:
      return STORE_METHOD_PUT;
    case STORE_CALL_REMOVE:
      return STORE_METHOD_DELETE;
    case STORE_CALL_LEASE_GRANT:
    case STORE_CALL_LEASE_KEEPALIVE:
      return STORE_METHOD_POST;
    default:
      return STORE_METHOD_GET;
    }
}

static enum status
encode (const struct store_request *request, const void *data, size_t size,
        void *arena, struct store_http_request *http_request)
{
  http_request->method = method_of (request->call);
  http_request->content_type = NULL;
  http_request->body = data;
  http_request->body_size = size;
  return store_api_path (request, http_request->path);
}

const struct store_codec store_api_codec
    = { .encode = encode, .parse_response = store_api_parse_response };
