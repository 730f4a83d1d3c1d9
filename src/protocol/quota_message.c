/// Encodes and decodes the messages about quotas.
#include "protocol/quota_message.h"

#include "protocol/json_text.h"

#include <math.h>
#include <string.h>

/// JSON integers are signed.
#define NUMBER_MASK INT64_MAX

static enum status
malformed (void)
{
  return status_set (STATUS_INVALID, "malformed quota message");
}

bool
quota_message_count (json_t *array, size_t index, uint32_t most,
                     uint32_t *count)
{
  json_t *value = json_array_get (array, index);
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < 0 || number > most)
    return false;
  *count = (uint32_t)number;
  return true;
}

bool
quota_message_number (json_t *value, uint64_t *number)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *number = (uint64_t)json_integer_value (value);
  return true;
}

static json_t *
load (const char *data, size_t size)
{
  return size > QUOTA_MESSAGE_BYTES_MAX
             ? NULL
             : json_loadb (data, size, JSON_REJECT_DUPLICATES, NULL);
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

/// Adds the items; frees the object.
static char *
write_object (json_t *object, json_t *items)
{
  bool complete = json_object_set_new (object, "accounts", items) == 0;
  char *text = complete ? json_dumps (object, JSON_COMPACT) : NULL;
  json_decref (object);
  return text;
}

static int
limited (double count)
{
  return (int)fmin (QUOTA_MESSAGE_COUNT_MAX, fmax (0, count));
}

char *
quota_request_write (const struct quota_request *request)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < request->count; i++)
    {
      const struct quota_report *report = &request->asks[i].report;
      json_t *item = json_pack (
          "[siiiii]", request->asks[i].account, limited (report->pending),
          limited (report->tokens),
          limited (round (report->demand_per_s * 1000)),
          limited (report->held.rate_ppm), limited (report->held.burst_ppm));
      if (item == NULL)
        {
          json_decref (items);
          return NULL;
        }
      json_array_append_new (items, item);
    }
  json_t *object = json_object ();
  json_object_set_new (object, "node", json_string (request->node));
  json_object_set_new (
      object, "process",
      json_integer ((json_int_t)(request->process & NUMBER_MASK)));
  json_object_set_new (
      object, "sequence",
      json_integer ((json_int_t)(request->sequence & NUMBER_MASK)));
  return write_object (object, items);
}

static bool
read_ask (json_t *item, struct quota_ask *ask)
{
  const char *name = json_string_value (json_array_get (item, 0));
  uint32_t demand;
  if (name == NULL || strlen (name) > QUOTA_MESSAGE_NAME_MAX)
    return false;
  strcpy (ask->account, name);
  ask->report = (struct quota_report){ 0 };
  if (!quota_message_count (item, 1, QUOTA_MESSAGE_COUNT_MAX,
                            &ask->report.pending)
      || !quota_message_count (item, 2, QUOTA_MESSAGE_COUNT_MAX,
                               &ask->report.tokens)
      || !quota_message_count (item, 3, QUOTA_MESSAGE_COUNT_MAX, &demand)
      || !quota_message_count (item, 4, QUOTA_PPM, &ask->report.held.rate_ppm)
      || !quota_message_count (item, 5, QUOTA_PPM,
                               &ask->report.held.burst_ppm))
    return false;
  ask->report.demand_per_s = (double)demand / 1000;
  return true;
}

static bool
read_request (json_t *object, struct quota_request *request)
{
  const char *node = json_string_value (json_object_get (object, "node"));
  json_t *items = read_items (object, &request->count);
  if (items == NULL || node == NULL
      || !json_text_copy_name (request->node, node)
      || !quota_message_number (json_object_get (object, "process"),
                                &request->process)
      || !quota_message_number (json_object_get (object, "sequence"),
                                &request->sequence))
    return false;
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
      json_array_append_new (items,
                             json_pack ("[iiiii]", (int)answer->verdict,
                                        limited (answer->tokens),
                                        limited (answer->wait_ms),
                                        limited (answer->part.rate_ppm),
                                        limited (answer->part.burst_ppm)));
    }
  return write_object (json_object (), items);
}

static bool
read_answer (json_t *item, struct quota_answer *answer)
{
  uint32_t verdict;
  if (!quota_message_count (item, 0, QUOTA_DECIDED, &verdict)
      || !quota_message_count (item, 1, QUOTA_MESSAGE_COUNT_MAX,
                               &answer->tokens)
      || !quota_message_count (item, 2, QUOTA_MESSAGE_COUNT_MAX,
                               &answer->wait_ms)
      || !quota_message_count (item, 3, QUOTA_SHARES_PPM,
                               &answer->part.rate_ppm)
      || !quota_message_count (item, 4, QUOTA_PPM, &answer->part.burst_ppm))
    return false;
  answer->verdict = (enum quota_verdict)verdict;
  return true;
}

static bool
read_response (json_t *object, struct quota_response *response)
{
  json_t *items = read_items (object, &response->count);
  if (items == NULL)
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
