/// Encodes and decodes the messages about quotas.
#include "protocol/quota_message.h"

#include "protocol/json_text.h"

#include <jansson.h>
#include <string.h>

/// Process ids are sent as JSON integers, which are signed.
#define LENDER_MAX INT64_MAX

static enum status
malformed (void)
{
  return status_set (STATUS_INVALID, "malformed quota message");
}

static bool
read_count (json_t *array, size_t index, uint32_t *count)
{
  json_t *value = json_array_get (array, index);
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < 0
      || number > QUOTA_MESSAGE_COUNT_MAX)
    return false;
  *count = (uint32_t)number;
  return true;
}

static bool
read_lender (json_t *object, uint64_t *lender)
{
  json_t *value = json_object_get (object, "lender");
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *lender = (uint64_t)json_integer_value (value);
  return true;
}

/// @return the array of items, or NULL when there are too many
static json_t *
read_items (json_t *object, size_t *count)
{
  json_t *items = json_object_get (object, "accounts");
  *count = json_array_size (items);
  return json_is_array (items) && *count <= QUOTA_MESSAGE_ACCOUNTS_MAX ? items
                                                                       : NULL;
}

static json_t *
load (const char *data, size_t size)
{
  return size > QUOTA_MESSAGE_BYTES_MAX
             ? NULL
             : json_loadb (data, size, JSON_REJECT_DUPLICATES, NULL);
}

static char *
write_object (json_t *object, json_t *items, uint64_t lender)
{
  bool complete
      = json_object_set_new (object, "lender",
                             json_integer ((json_int_t)(lender & LENDER_MAX)))
            == 0
        && json_object_set_new (object, "accounts", items) == 0;
  char *text = complete ? json_dumps (object, JSON_COMPACT) : NULL;
  json_decref (object);
  return text;
}

char *
quota_request_write (const struct quota_request *request)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < request->count; i++)
    {
      const struct quota_ask *ask = &request->asks[i];
      json_t *item = json_pack ("[siii]", ask->account, (int)ask->pending,
                                (int)ask->expected, (int)ask->returned);
      if (item == NULL)
        {
          json_decref (items);
          return NULL;
        }
      json_array_append_new (items, item);
    }
  json_t *object = json_object ();
  json_object_set_new (object, "node", json_string (request->node));
  json_object_set_new (object, "vote", json_boolean (request->vote));
  return write_object (object, items, request->lender);
}

static bool
read_ask (json_t *item, struct quota_ask *ask)
{
  const char *name = json_string_value (json_array_get (item, 0));
  if (name == NULL || strlen (name) > QUOTA_MESSAGE_NAME_MAX)
    return false;
  strcpy (ask->account, name);
  return read_count (item, 1, &ask->pending)
         && read_count (item, 2, &ask->expected)
         && read_count (item, 3, &ask->returned);
}

static bool
read_request (json_t *object, struct quota_request *request)
{
  const char *node = json_string_value (json_object_get (object, "node"));
  json_t *vote = json_object_get (object, "vote");
  json_t *items = read_items (object, &request->count);
  if (items == NULL || node == NULL || !json_is_boolean (vote)
      || !json_text_copy_name (request->node, node)
      || !read_lender (object, &request->lender))
    return false;
  request->vote = json_is_true (vote);
  for (size_t i = 0; i < request->count; i++)
    if (!read_ask (json_array_get (items, i), &request->asks[i]))
      return false;
  return true;
}

enum status
quota_request_read (const char *data, size_t size,
                    struct quota_request *request)
{
  json_t *object = load (data, size);
  bool valid = object != NULL && read_request (object, request);
  json_decref (object);
  return valid ? STATUS_OK : malformed ();
}

char *
quota_response_write (const struct quota_response *response)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < response->count; i++)
    {
      const struct quota_answer *answer = &response->answers[i];
      json_array_append_new (items, json_pack ("[iii]", (int)answer->ready,
                                               (int)answer->tokens,
                                               (int)answer->wait_ms));
    }
  return write_object (json_object (), items, response->lender);
}

static bool
read_answer (json_t *item, struct quota_answer *answer)
{
  uint32_t ready;
  if (!read_count (item, 0, &ready) || ready > 1
      || !read_count (item, 1, &answer->tokens)
      || !read_count (item, 2, &answer->wait_ms))
    return false;
  answer->ready = ready == 1;
  return true;
}

static bool
read_response (json_t *object, struct quota_response *response)
{
  json_t *items = read_items (object, &response->count);
  if (items == NULL || !read_lender (object, &response->lender)
      || response->lender == 0)
    return false;
  for (size_t i = 0; i < response->count; i++)
    if (!read_answer (json_array_get (items, i), &response->answers[i]))
      return false;
  return true;
}

enum status
quota_response_read (const char *data, size_t size,
                     struct quota_response *response)
{
  json_t *object = load (data, size);
  bool valid = object != NULL && read_response (object, response);
  json_decref (object);
  return valid ? STATUS_OK : malformed ();
}
