/// Owns the notices that this node holds for others, and its own calls to
/// holders.
#include "sidecar/sidecar_leave.h"

#include "base/clock.h"
#include "base/log.h"
#include "coordination/leave_holders.h"
#include "protocol/call_headers.h"
#include "protocol/entry_record.h"
#include "sidecar/sidecar_store.h"
#include "state/leave_table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// A holder that has not answered within this time is not waited for. Targets
/// wait a second for the acknowledgement.
#define CALL_TIMEOUT_MS 500

/// Longest idle time after which a connection to a holder is reused.
#define HOLDER_IDLE_MS_MAX 3000

/// A leave that was held this recently needs no new call: targets repeat their
/// reports.
#define HELD_MS_MAX 3000

/// After the store's return, a node has this long to record the leave itself
/// before a holder does.
#define STORE_DELAY_MS 800

/// Delay before a failed write is retried.
#define RETRY_DELAY_MS 1000

static struct counter held
    = COUNTER ("leave_notices_held", "notices of leaves held for other nodes");
static struct counter restored = COUNTER (
    "leave_notices_restored", "own notices that a holder or the store had");
static struct counter malformed = COUNTER (
    "leave_notices_malformed", "notices of leaves that cannot be read");

static struct log_rate_limit held_log_limit = { .per_second = 20 };

/// One call to a holder.
struct leave_call
{
  struct sidecar *sidecar;
  struct http_exchange *exchange; ///< NULL: unused
  bool asks;                      ///< for a notice, instead of leaving one
  unsigned status;                ///< HTTP status of the response
  uint64_t sent_ms;
  size_t size; ///< of the body received so far
  char body[ENTRY_RECORD_MAX];
};

struct sidecar_leaves
{
  struct leave_table table;
  struct leave_call calls[2 * LEAVE_HOLDERS_MAX];
  uint64_t held_ms; ///< when a holder last took the own notice; 0: never
  char held_instance[DIRECTORY_NAME_MAX + 1]; ///< target of that notice, or of
                                              ///< the one that is being left
  uint64_t held_started_ms;                   ///< start of that target
  uint64_t reachable_since_ms; ///< start of contact with the store; 0: none
  bool asked;                  ///< the holders were asked once
  bool blocks_view; ///< the view is caught up when the holders have answered
};

enum status
sidecar_leave_start (struct sidecar *sidecar)
{
  sidecar->leaves = calloc (1, sizeof *sidecar->leaves);
  return sidecar->leaves == NULL
             ? status_set (STATUS_NO_MEMORY, "no memory for notices of leaves")
             : STATUS_OK;
}

void
sidecar_leave_stop (struct sidecar *sidecar)
{
  for (size_t i = 0; i < 2 * LEAVE_HOLDERS_MAX; i++)
    if (sidecar->leaves->calls[i].exchange != NULL)
      http_exchange_cancel (sidecar->leaves->calls[i].exchange);
  free (sidecar->leaves);
  sidecar->leaves = NULL;
}

static bool
has_call (const struct sidecar_leaves *leaves, bool asks)
{
  for (size_t i = 0; i < 2 * LEAVE_HOLDERS_MAX; i++)
    if (leaves->calls[i].exchange != NULL && leaves->calls[i].asks == asks)
      return true;
  return false;
}

/// Lets the view count as caught up once no holder is left to be waited for.
static void
release_view (struct sidecar *sidecar)
{
  struct sidecar_leaves *leaves = sidecar->leaves;
  if (!leaves->blocks_view || has_call (leaves, true))
    return;
  leaves->blocks_view = false;
  sidecar->store->caught_up = true;
}

/// @param entry  set to the entry of the own target with its leave
static void
read_leaving_target (const struct sidecar *sidecar,
                     struct directory_entry *entry)
{
  sidecar_target_entry (sidecar, entry);
  entry->leaving = true;
  if (sidecar->target.known)
    return;
  /* Only the name is known, and the start if an entry told it. */
  strcpy (entry->instance, sidecar->target.history.instance);
  entry->started_ms = sidecar->target.history.started_ms;
}

/// @return true when the own notice at the holders is that of this target
static bool
is_held_target (const struct sidecar_leaves *leaves,
                const struct directory_entry *entry)
{
  return strcmp (leaves->held_instance, entry->instance) == 0
         && leaves->held_started_ms == entry->started_ms;
}

/* Calls to holders */

static void
on_call_head (void *arg, struct http_head *head)
{
  struct leave_call *call = arg;
  call->status = head->status;
}

static void
on_call_body (void *arg, const char *data, size_t size)
{
  struct leave_call *call = arg;
  if (size > sizeof call->body - call->size)
    {
      call->status = 0; /* longer than any notice */
      return;
    }
  memcpy (call->body + call->size, data, size);
  call->size += size;
}

/// Takes over a notice that an earlier process of this node left with a
/// holder.
static void
apply_answer (const struct leave_call *call)
{
  struct sidecar *sidecar = call->sidecar;
  struct directory_entry entry;
  if (entry_record_read ((const uint8_t *)call->body, call->size, &entry)
          != STATUS_OK
      || strcmp (entry.node, sidecar->settings.node) != 0)
    {
      counter_add (&malformed, 1);
      log_event (LOG_LEVEL_WARNING, "leave_notice_malformed",
                 "source=holder reason=\"%s\"", status_message ());
      return;
    }
  counter_add (&restored, 1);
  log_event (LOG_LEVEL_INFO, "leave_restored",
             "source=holder instance=%s started_ms=%" PRIu64, entry.instance,
             entry.started_ms);
  sidecar_target_restore (sidecar, &entry);
}

static void
on_call_end (void *arg, enum http_end end)
{
  struct leave_call *call = arg;
  struct sidecar *sidecar = call->sidecar;
  bool answered = end == HTTP_END_COMPLETE && call->status == 200;
  call->exchange = NULL;
  if (call->asks)
    {
      if (answered)
        apply_answer (call);
      release_view (sidecar);
    }
  else if (answered)
    {
      struct directory_entry entry;
      read_leaving_target (sidecar, &entry);
      sidecar->leaves->held_ms = clock_monotonic_ms ();
      if (is_held_target (sidecar->leaves, &entry))
        sidecar_target_recorded (sidecar);
    }
}

static const struct http_exchange_ops call_ops
    = { .head = on_call_head, .body = on_call_body, .end = on_call_end };

static void
start_call (struct sidecar *sidecar, const struct directory_entry *holder,
            bool asks, const char *body, size_t size)
{
  struct leave_call *call = sidecar->leaves->calls;
  while (call->exchange != NULL)
    if (++call == sidecar->leaves->calls + 2 * LEAVE_HOLDERS_MAX)
      return;
  *call = (struct leave_call){ .sidecar = sidecar,
                               .asks = asks,
                               .sent_ms = clock_monotonic_ms () };
  struct evbuffer *request = evbuffer_new ();
  evbuffer_add_printf (request,
                       "POST %s HTTP/1.1\r\nHost: leave\r\n"
                       "Content-Length: %zu\r\n\r\n",
                       asks ? CALL_PATH_LEAVE_ASK : CALL_PATH_LEAVE, size);
  evbuffer_add (request, body, size);
  struct http_send send = { .address = holder->address,
                            .port = holder->port,
                            .request = request,
                            .max_idle_ms = HOLDER_IDLE_MS_MAX };
  call->exchange
      = http_pool_send (&sidecar->peer_pool, &send, &call_ops, call);
  evbuffer_free (request);
}

/// Sends an entry of this node to its holders.
static void
call_holders (struct sidecar *sidecar, bool asks,
              const struct directory_entry *entry)
{
  size_t handles[LEAVE_HOLDERS_MAX];
  char text[ENTRY_RECORD_MAX];
  size_t size = entry_record_write (entry, text);
  size_t count = leave_holders_choose (&sidecar->directory,
                                       sidecar->settings.node, handles);
  for (size_t i = 0; i < count; i++)
    start_call (sidecar, &sidecar->directory.records[handles[i]].entry, asks,
                text, size);
}

bool
sidecar_leave_replicate (struct sidecar *sidecar)
{
  struct sidecar_leaves *leaves = sidecar->leaves;
  struct directory_entry entry;
  read_leaving_target (sidecar, &entry);
  if (leaves->held_ms != 0
      && clock_monotonic_ms () - leaves->held_ms < HELD_MS_MAX
      && is_held_target (leaves, &entry))
    return true;
  if (has_call (leaves, false))
    return false;
  leaves->held_ms = 0;
  strcpy (leaves->held_instance, entry.instance);
  leaves->held_started_ms = entry.started_ms;
  call_holders (sidecar, false, &entry);
  return false;
}

void
sidecar_leave_ask (struct sidecar *sidecar)
{
  struct sidecar_leaves *leaves = sidecar->leaves;
  struct directory_entry entry;
  sidecar_target_entry (sidecar, &entry);
  leaves->asked = true;
  leaves->blocks_view = !sidecar->store->caught_up;
  call_holders (sidecar, true, &entry);
  release_view (sidecar);
}

/* The holder's side */

static void
reply_json (struct http_request *request, unsigned status, const char *text,
            size_t size)
{
  http_reply (request, status, "Content-Type: application/json\r\n", text,
              size);
}

static void
hold (struct sidecar *sidecar, struct http_request *request,
      const struct directory_entry *entry)
{
  leave_table_put (&sidecar->leaves->table, entry, clock_monotonic_ms ());
  counter_add (&held, 1);
  log_rate_limited (&held_log_limit, LOG_LEVEL_INFO, "leave_held",
                    "node=%s instance=%s started_ms=%" PRIu64, entry->node,
                    entry->instance, entry->started_ms);
  reply_json (request, 200, "{}", 2);
}

static void
answer (struct sidecar *sidecar, struct http_request *request,
        const struct directory_entry *entry)
{
  char text[ENTRY_RECORD_MAX];
  const struct leave_notice *notice
      = leave_table_find (&sidecar->leaves->table, entry->node);
  if (notice == NULL)
    reply_json (request, 404, "{}", 2);
  else
    reply_json (request, 200, text, entry_record_write (&notice->entry, text));
}

void
sidecar_leave_serve (struct sidecar *sidecar, struct http_request *request)
{
  struct directory_entry entry;
  size_t size = evbuffer_get_length (request->body);
  const uint8_t *body = evbuffer_pullup (request->body, -1);
  if (body == NULL || entry_record_read (body, size, &entry) != STATUS_OK)
    {
      counter_add (&malformed, 1);
      log_event (LOG_LEVEL_WARNING, "leave_notice_malformed",
                 "source=node reason=\"%s\"",
                 body == NULL ? "no body" : status_message ());
      reply_json (request, 400, "{}", 2);
    }
  else if (strcmp (request->head->target, CALL_PATH_LEAVE) == 0)
    hold (sidecar, request, &entry);
  else
    answer (sidecar, request, &entry);
}

/* Notices in the store */

void
sidecar_leave_on_record (struct sidecar *sidecar, const struct store_key *key)
{
  struct directory_entry entry;
  if (entry_record_read (key->data, key->size, &entry) != STATUS_OK)
    {
      counter_add (&malformed, 1);
      log_event (LOG_LEVEL_WARNING, "leave_notice_malformed",
                 "source=store key=%s reason=\"%s\"", key->key,
                 status_message ());
      return;
    }
  if (strcmp (entry.node, sidecar->settings.node) != 0)
    return;
  counter_add (&restored, 1);
  log_event (LOG_LEVEL_INFO, "leave_restored",
             "source=store instance=%s started_ms=%" PRIu64 " key=%s",
             entry.instance, entry.started_ms, key->key);
  sidecar_target_restore (sidecar, &entry);
}

static void
write_key (const struct sidecar *sidecar, const struct leave_notice *notice,
           char key[STORE_KEY_MAX])
{
  snprintf (key, STORE_KEY_MAX, "%s" LEAVE_KEY_PREFIX "%s/%s",
            sidecar->adapter->own_prefix, notice->entry.node,
            sidecar->settings.node);
}

static void
on_removed (void *arg, const struct store_reply *reply)
{
  /* The key ends with the lease at the latest. */
  if (reply->status != STATUS_OK)
    log_event (LOG_LEVEL_INFO, "leave_notice_not_removed", "status=%s",
               status_name (reply->status));
}

static void
on_written (void *arg, const struct store_reply *reply)
{
  struct leave_notice *notice = arg;
  notice->writing = false;
  if (reply->status == STATUS_OK)
    return;
  notice->lease = 0;
  notice->next_write_ms = clock_monotonic_ms () + RETRY_DELAY_MS;
  log_event (LOG_LEVEL_WARNING, "leave_notice_not_written",
             "node=%s status=%s", notice->entry.node,
             status_name (reply->status));
}

static void
drop (struct sidecar *sidecar, struct leave_notice *notice)
{
  char key[STORE_KEY_MAX];
  write_key (sidecar, notice, key);
  if (notice->lease != 0)
    store_client_ops.remove (&sidecar->store_client, key, STORE_ANY_REVISION,
                             on_removed, sidecar);
  leave_notice_drop (notice);
}

/// Writes a notice to the store, unless the target's node has recorded the
/// leave, or a later incarnation, itself.
static void
settle (struct sidecar *sidecar, struct leave_notice *notice, uint64_t now_ms)
{
  size_t node = directory_find (&sidecar->directory, notice->entry.node);
  bool is_settled = node != SIZE_MAX
                    && leave_notice_is_settled (
                        notice, &sidecar->directory.records[node].entry);
  if (is_settled || leave_notice_is_expired (notice, now_ms))
    {
      drop (sidecar, notice);
      return;
    }
  char key[STORE_KEY_MAX];
  char text[ENTRY_RECORD_MAX];
  if (sidecar->store->lease == 0 || notice->lease == sidecar->store->lease
      || now_ms < notice->next_write_ms)
    return;
  write_key (sidecar, notice, key);
  size_t size = entry_record_write (&notice->entry, text);
  notice->writing = true;
  notice->lease = sidecar->store->lease;
  /* Unconditional: only this node writes the key. */
  store_client_ops.put (&sidecar->store_client, key, STORE_ANY_REVISION,
                        notice->lease, text, size, on_written, notice);
}

void
sidecar_leave_restored (struct sidecar *sidecar)
{
  for (size_t i = 0; i < LEAVE_TABLE_MAX; i++)
    sidecar->leaves->table.notices[i].lease = 0;
  /* The entry that records the leave is written a little later. */
  if (sidecar->target.draining)
    sidecar_leave_replicate (sidecar);
}

void
sidecar_leave_tick (struct sidecar *sidecar)
{
  struct sidecar_leaves *leaves = sidecar->leaves;
  uint64_t now = clock_monotonic_ms ();
  for (size_t i = 0; i < 2 * LEAVE_HOLDERS_MAX; i++)
    {
      struct leave_call *call = &leaves->calls[i];
      if (call->exchange == NULL || now - call->sent_ms < CALL_TIMEOUT_MS)
        continue;
      http_exchange_cancel (call->exchange);
      call->exchange = NULL;
      release_view (sidecar);
    }
  if (!leaves->asked && sidecar->store->caught_up)
    sidecar_leave_ask (sidecar);
  if (sidecar_store_is_unreachable (sidecar) || sidecar->store->as_of == 0)
    {
      leaves->reachable_since_ms = 0;
      return;
    }
  if (leaves->reachable_since_ms == 0)
    leaves->reachable_since_ms = now;
  if (now - leaves->reachable_since_ms < STORE_DELAY_MS)
    return;
  for (size_t i = 0; i < LEAVE_TABLE_MAX; i++)
    {
      struct leave_notice *notice = &leaves->table.notices[i];
      if (notice->entry.node[0] != '\0' && !notice->writing
          && now - notice->held_ms >= STORE_DELAY_MS)
        settle (sidecar, notice, now);
    }
}
