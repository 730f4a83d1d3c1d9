/// Encodes and decodes the tables that one owner of quotas hands to the next.
#include "protocol/quota_transfer.h"

#include "coordination/quota_rank.h"
#include "protocol/json_text.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/// A share may be extended after a gap (quota_owner.c).
#define LEFT_MS_MAX (QUOTA_SHARE_MS + QUOTA_FRESH_MS)

/// Enough to fill any bucket whose burst is a minute of its rate.
#define UNUSED_MS_MAX 60000

json_t *
quota_transfer_begin (const char *node, uint32_t group, uint64_t unused_ms)
{
  return json_pack (
      "{sssisis[]}", "node", node, "group", (int)group, "unused_ms",
      (int)(unused_ms < UNUSED_MS_MAX ? unused_ms : UNUSED_MS_MAX), "tables");
}

bool
quota_transfer_add (json_t *object, const char *name,
                    const struct quota_owner *owner, uint64_t now_ms)
{
  json_t *holders = json_array ();
  for (size_t i = 0; i < owner->count; i++)
    {
      const struct quota_holder *holder = &owner->holders[i];
      if (now_ms >= holder->until_ms)
        continue;
      json_array_append_new (
          holders,
          json_pack ("[Iiiii]", (json_int_t)(holder->node & INT64_MAX),
                     (int)holder->part.rate_ppm, (int)holder->part.burst_ppm,
                     (int)(holder->until_ms - now_ms),
                     (int)fmin (QUOTA_MESSAGE_COUNT_MAX,
                                holder->demand_per_s * 1000)));
    }
  json_t *item = json_pack (
      "[sio]", name,
      (int)fmin (QUOTA_MESSAGE_COUNT_MAX, fmax (0, floor (owner->tokens))),
      holders);
  return item != NULL
         && json_array_append_new (json_object_get (object, "tables"), item)
                == 0;
}

char *
quota_transfer_end (json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  if (text != NULL && strlen (text) > QUOTA_MESSAGE_BYTES_MAX)
    {
      free (text);
      return NULL;
    }
  return text;
}

static bool
read_holder (json_t *item, struct quota_holder *holder)
{
  uint32_t left_ms;
  uint32_t demand;
  *holder = (struct quota_holder){ 0 };
  if (!quota_message_number (json_array_get (item, 0), &holder->node)
      || !quota_message_count (item, 1, QUOTA_PPM, &holder->part.rate_ppm)
      || !quota_message_count (item, 2, QUOTA_PPM, &holder->part.burst_ppm)
      || !quota_message_count (item, 3, LEFT_MS_MAX, &left_ms)
      || !quota_message_count (item, 4, QUOTA_MESSAGE_COUNT_MAX, &demand))
    return false;
  holder->until_ms = left_ms;
  holder->demand_per_s = (double)demand / 1000;
  return true;
}

static bool
read_table (json_t *item, struct quota_transfer *transfer)
{
  struct quota_transfer_account *account
      = &transfer->accounts[transfer->count];
  const char *name = json_string_value (json_array_get (item, 0));
  json_t *holders = json_array_get (item, 2);
  uint32_t tokens;
  if (name == NULL || strlen (name) > QUOTA_MESSAGE_NAME_MAX
      || !json_is_array (holders)
      || json_array_size (holders) > QUOTA_HOLDERS_MAX
      || !quota_message_count (item, 1, QUOTA_MESSAGE_COUNT_MAX, &tokens))
    return false;
  strcpy (account->name, name);
  account->tokens = tokens;
  account->first = transfer->holder_count;
  account->count = json_array_size (holders);
  for (size_t i = 0; i < account->count; i++)
    if (!read_holder (json_array_get (holders, i),
                      &transfer->holders[transfer->holder_count++]))
      return false;
  transfer->count++;
  return true;
}

static bool
read_tables (json_t *object, struct quota_transfer *transfer)
{
  const char *node = json_string_value (json_object_get (object, "node"));
  json_t *tables = json_object_get (object, "tables");
  uint64_t group;
  uint64_t unused_ms;
  size_t count = json_array_size (tables);
  size_t holders = 0;
  if (node == NULL || !json_text_copy_name (transfer->node, node)
      || !quota_message_number (json_object_get (object, "group"), &group)
      || group >= QUOTA_GROUPS || !json_is_array (tables)
      || !quota_message_number (json_object_get (object, "unused_ms"),
                                &unused_ms)
      || unused_ms > UNUSED_MS_MAX)
    return false;
  transfer->unused_ms = (uint32_t)unused_ms;
  transfer->group = (uint32_t)group;
  for (size_t i = 0; i < count; i++)
    holders
        += json_array_size (json_array_get (json_array_get (tables, i), 2));
  transfer->accounts = calloc (count + 1, sizeof *transfer->accounts);
  transfer->holders = calloc (holders + 1, sizeof *transfer->holders);
  if (transfer->accounts == NULL || transfer->holders == NULL)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!read_table (json_array_get (tables, i), transfer))
      return false;
  return true;
}

enum status
quota_transfer_read (const char *data, size_t size,
                     struct quota_transfer *transfer)
{
  *transfer = (struct quota_transfer){ 0 };
  json_t *object = size > QUOTA_MESSAGE_BYTES_MAX
                       ? NULL
                       : json_loadb (data, size, JSON_REJECT_DUPLICATES, NULL);
  bool valid = object != NULL && read_tables (object, transfer);
  json_decref (object);
  if (valid)
    return STATUS_OK;
  quota_transfer_finish (transfer);
  return status_set (STATUS_INVALID, "malformed table of quotas");
}

void
quota_transfer_finish (struct quota_transfer *transfer)
{
  free (transfer->accounts);
  free (transfer->holders);
  *transfer = (struct quota_transfer){ 0 };
}
