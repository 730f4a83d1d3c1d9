/// Requests for the history of configuration versions.
#include "node/node_admin.h"

#include "node/node_history.h"
#include "protocol/declaration.h"
#include "protocol/iso_time.h"

#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define RECORDS_DEFAULT 20

struct history_request
{
  struct node *node;
  struct admin_request *request;
  json_t *records;
  uint64_t record_limit;
};

/// @return JSON array of the lines that describe the changes of a record
static json_t *
record_changes (const struct config_record *record)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (stream == NULL)
    return json_array ();
  enum status status
      = declaration_print_delta (record->delta, record->delta_size, stream);
  fclose (stream);
  json_t *lines = node_admin_lines (
      status == STATUS_OK ? text : "? the delta cannot be read");
  free (text);
  return lines;
}

static bool
add_record (void *arg, const struct config_record *record)
{
  struct history_request *history = arg;
  char time[ISO_TIME_SIZE], hash[2 * CONTENT_HASH_SIZE + 1], nonce[17];
  iso_time_print (record->wall_ms, time);
  hash_hex (&record->hash, hash);
  snprintf (nonce, sizeof nonce, "%016llx", (unsigned long long)record->nonce);
  json_array_append_new (
      history->records,
      json_pack ("{s:I, s:I, s:s, s:o, s:o, s:s, s:s, s:o}", "version",
                 (json_int_t)record->version, "base_version",
                 (json_int_t)record->base_version, "time", time, "author",
                 node_admin_text (record->author), "note",
                 node_admin_text (record->note), "nonce", nonce, "hash", hash,
                 "changes", record_changes (record)));
  return json_array_size (history->records) < history->record_limit;
}

static void
end_history (void *arg, enum status status)
{
  struct history_request *history = arg;
  struct admin_request *request = history->request;
  json_t *records = history->records;
  /* Older records may have been deleted from the store. The list ends there;
     that is not an error. */
  if (status == STATUS_OK || status == STATUS_NOT_FOUND)
    node_admin_reply_json (request, 200,
                           json_pack ("{s:s, s:b, s:o}", "status", "ok",
                                      "complete", (int)(status == STATUS_OK),
                                      "records", records));
  else
    {
      json_decref (records);
      node_admin_reply_status (request, status, status_message ());
    }
  talloc_free (history);
}

static void
on_head (void *arg, enum status status, const struct record_head *head)
{
  static const struct node_history_ops ops = { add_record, end_history };
  struct history_request *history = arg;
  if (status == STATUS_OK)
    node_history_walk (history->node, head, &ops, history);
  else if (status == STATUS_NOT_FOUND)
    end_history (history, STATUS_OK);
  else
    end_history (history, status);
}

void
node_admin_history (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  const char *count = admin_query (request, "count");
  char *end = NULL;
  unsigned long record_limit
      = count == NULL ? RECORDS_DEFAULT : strtoul (count, &end, 10);
  if (record_limit < 1 || record_limit > NODE_HISTORY_MAX
      || (end != NULL && *end != '\0'))
    {
      node_admin_reply_status (request, STATUS_INVALID,
                               "count must be from 1 to 4096");
      return;
    }
  struct history_request *history = talloc_zero (NULL, struct history_request);
  if (history == NULL)
    {
      node_admin_reply_status (request, STATUS_NO_MEMORY, "out of memory");
      return;
    }
  *history = (struct history_request){ .node = node,
                                       .request = request,
                                       .records = json_array (),
                                       .record_limit = record_limit };
  node_history_head (node, on_head, history);
}
