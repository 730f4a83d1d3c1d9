/// Owns the evidence and the writes of the moves that this node drives.
///
/// Rendezvous hashing over the directory chooses two nodes for a service: the
/// driver and the standby driver. Both request evidence from the nodes of the
/// service's targets. The driver writes the steps. Both may roll a move back,
/// and so may any node whose own target tripped. Writes are conditional on the
/// record's revision, so that two nodes that both consider themselves the
/// driver cannot both write a step.
#include "sidecar/sidecar_move.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "coordination/store_revision.h"
#include "protocol/call_headers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Evidence is stale when the last response is older than this.
#define EVIDENCE_AGE_MS_MAX 1200

/// Timeout of a request for evidence.
#define EVIDENCE_TIMEOUT_MS 900

/// Delay before a failed write is retried.
#define RETRY_DELAY_MS 300

/// Size of a key, bytes, including the terminating zero.
#define KEY_MAX 200

/// @return 0 when this node is the service's driver, 1 when it is the standby
///         driver, else 2
static unsigned
driver_rank (const struct service_move *move)
{
  const struct sidecar *sidecar = move->sidecar;
  uint64_t service = hash_placement_string (move->service);
  uint64_t own = hash_placement_pair (
      service, hash_placement_string (sidecar->settings.node));
  unsigned ranked_higher = 0;
  bool own_listed = false;
  for (size_t i = 0; i < sidecar->directory.count; i++)
    {
      const struct directory_record *record = &sidecar->directory.records[i];
      if (!record->used || record->missing_ms != 0
          || record->entry.state == DIRECTORY_LEAVING)
        continue;
      if (strcmp (record->entry.node, sidecar->settings.node) == 0)
        own_listed = true;
      else
        ranked_higher
            += hash_placement_pair (service,
                                    hash_placement_string (record->entry.node))
               > own;
    }
  return own_listed && ranked_higher < 2 ? ranked_higher : 2;
}

static void
free_source (struct evidence_source *source)
{
  if (source->exchange != NULL)
    http_exchange_cancel (source->exchange);
  evbuffer_free (source->body);
  free (source);
}

void
sidecar_move_stop_driving (struct service_move *move)
{
  free (move->rollout);
  move->rollout = NULL;
  while (move->sources != NULL)
    {
      struct evidence_source *source = move->sources;
      move->sources = source->next;
      free_source (source);
    }
}

static struct evidence_source *
find_source (struct service_move *move, const char *node)
{
  struct evidence_source *source = move->sources;
  while (source != NULL && strcmp (source->node, node) != 0)
    source = source->next;
  if (source != NULL)
    return source;
  source = calloc (1, sizeof *source);
  if (source == NULL || (source->body = evbuffer_new ()) == NULL)
    {
      free (source);
      return NULL;
    }
  strcpy (source->node, node);
  source->move = move;
  source->next = move->sources;
  move->sources = source;
  return source;
}

/// @return counts of a kind in the evidence, or NULL
static const struct rollout_counts *
find_counts (const struct move_evidence *evidence, uint32_t kind)
{
  for (size_t i = 0; i < evidence->kind_count; i++)
    if (evidence->kinds[i].kind == kind)
      return &evidence->kinds[i].counts;
  return NULL;
}

/// Adds what a target counted since its last evidence.
static void
add_evidence (struct evidence_source *source,
              const struct move_evidence *evidence)
{
  struct service_move *move = source->move;
  bool has_previous = source->responded_ms != 0;
  bool same_instance = strcmp (source->last.instance, evidence->instance) == 0;
  enum rollout_side side
      = strcmp (evidence->version, move->order.to_version) == 0 ? ROLLOUT_NEW
                                                                : ROLLOUT_OLD;
  for (size_t i = 0; i < evidence->kind_count; i++)
    {
      struct rollout_counts delta = evidence->kinds[i].counts;
      const struct rollout_counts *previous
          = same_instance
                ? find_counts (&source->last, evidence->kinds[i].kind)
                : NULL;
      if (previous != NULL && previous->calls <= delta.calls
          && previous->failures <= delta.failures)
        {
          delta.calls -= previous->calls;
          delta.failures -= previous->failures;
          for (size_t k = 0; k < ROLLOUT_BUCKETS; k++)
            delta.latency[k] -= previous->latency[k];
        }
      /* The first evidence of a target of the old version covers calls before
         the move. */
      else if (!has_previous && side == ROLLOUT_OLD)
        continue;
      if (delta.failures > delta.calls)
        delta.failures = delta.calls;
      rollout_add (move->rollout, side, evidence->kinds[i].kind, &delta);
    }
  source->last = *evidence;
  source->responded_ms = clock_monotonic_ms ();
}

static void
on_evidence_head (void *arg, struct http_head *head)
{
}

static void
on_evidence_body (void *arg, const char *data, size_t size)
{
  struct evidence_source *source = arg;
  evbuffer_add (source->body, data, size);
}

static void
on_evidence_end (void *arg, enum http_end end)
{
  struct evidence_source *source = arg;
  struct move_evidence evidence;
  source->exchange = NULL;
  size_t size = evbuffer_get_length (source->body);
  if (end != HTTP_END_COMPLETE || size == 0)
    log_event (LOG_LEVEL_INFO, "move_evidence_missing", "service=%s node=%s",
               source->move->service, source->node);
  else if (move_evidence_read (
               (const char *)evbuffer_pullup (source->body, -1), size,
               &evidence)
           != STATUS_OK)
    log_event (LOG_LEVEL_WARNING, "move_evidence_malformed",
               "service=%s node=%s reason=\"%s\"", source->move->service,
               source->node, status_message ());
  else
    add_evidence (source, &evidence);
}

static const struct http_exchange_ops evidence_ops = {
  .head = on_evidence_head, .body = on_evidence_body, .end = on_evidence_end
};

static void
request_evidence (struct service_move *move,
                  const struct directory_record *record, uint64_t now_ms)
{
  struct sidecar *sidecar = move->sidecar;
  struct evidence_source *source = find_source (move, record->entry.node);
  if (source == NULL)
    return;
  if (source->exchange != NULL)
    {
      if (now_ms - source->requested_ms < EVIDENCE_TIMEOUT_MS)
        return;
      http_exchange_cancel (source->exchange);
      source->exchange = NULL;
    }
  struct evbuffer *request = evbuffer_new ();
  evbuffer_add_printf (request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                       CALL_PATH_EVIDENCE, record->entry.node);
  struct http_send send = { .address = record->entry.address,
                            .port = record->entry.port,
                            .request = request,
                            .max_idle_ms = EVIDENCE_AGE_MS_MAX,
                            .body_bytes_max = MOVE_EVIDENCE_MAX };
  evbuffer_drain (source->body, evbuffer_get_length (source->body));
  source->requested_ms = now_ms;
  source->exchange
      = http_pool_send (&sidecar->peer_pool, &send, &evidence_ops, source);
  evbuffer_free (request);
}

/// Requests evidence from all nodes of the service and summarizes what is
/// known of their targets.
static struct rollout_view
collect_evidence (struct service_move *move, uint64_t now_ms)
{
  struct rollout_view view = { .evidence_fresh = true };
  if (sidecar_move_rank_targets (move))
    view.load_share_bp
        = rollout_spread_load_share (&move->spread, &move->sidecar->directory);
  const struct directory *directory = &move->sidecar->directory;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      if (!record->used || strcmp (record->entry.service, move->service) != 0)
        continue;
      request_evidence (move, record, now_ms);
      struct evidence_source *source = find_source (move, record->entry.node);
      bool recent = source != NULL && source->responded_ms != 0
                    && now_ms - source->responded_ms < EVIDENCE_AGE_MS_MAX;
      bool is_new
          = strcmp (record->entry.version, move->order.to_version) == 0;
      if (is_new && record->entry.state == DIRECTORY_READY)
        {
          view.new_targets++;
          view.evidence_fresh = view.evidence_fresh && recent;
        }
      else if (!is_new && recent)
        view.old_busy = view.old_busy || source->last.occupied > 0;
    }
  return view;
}

static void
on_record_written (void *arg, const struct store_reply *reply)
{
  struct service_move *move = arg;
  move->writing = false;
  if (reply->status == STATUS_OK && reply->revision > move->record_revision)
    {
      sidecar_move_set_record (move, &move->writing_record, reply->revision);
      return;
    }
  move->next_write_ms = clock_monotonic_ms () + RETRY_DELAY_MS;
  log_event (LOG_LEVEL_INFO, "move_record_not_written",
             "service=%s phase=%d status=%s", move->service,
             move->writing_record.phase, status_name (reply->status));
  if (reply->status == STATUS_CONFLICT
      && reply->revision > move->record_revision)
    {
      struct move_record record;
      if (reply->data != NULL
          && move_record_read (reply->data, reply->size, &record) == STATUS_OK)
        sidecar_move_merge_record (move, &record, reply->revision);
      move->record_revision = reply->revision;
    }
}

/// @return the revision that a write expects of a key: that of an earlier era
///         is lost, and the store states the one that it has
static uint64_t
expected_revision (const struct service_move *move, uint64_t known)
{
  uint64_t era = move->sidecar->store_client.era;
  return store_revision_era (known) < era ? 0 : known;
}

/// Writes `writing_record` to the store.
static void
put_record (struct service_move *move, const char *reason, uint64_t now_ms)
{
  struct sidecar *sidecar = move->sidecar;
  const struct move_record *record = &move->writing_record;
  char key[KEY_MAX];
  char text[MOVE_RECORD_MAX];
  size_t size = move_record_write (record, text);
  snprintf (key, sizeof key, "%s" MOVE_KEY_PREFIX "%s",
            sidecar->adapter->own_prefix, move->service);
  log_event (LOG_LEVEL_INFO, "move_write",
             "service=%s to=%s phase=%d share_bp=%u reason=\"%s\" "
             "age_ms=%" PRIu64,
             move->service, record->to_version, record->phase,
             record->share_bp, reason, now_ms - move->order_ms);
  move->writing = true;
  store_client_ops.put (&sidecar->store_client, key,
                        expected_revision (move, move->record_revision), 0,
                        text, size, on_record_written, move);
}

static void
write_record (struct service_move *move, enum move_phase phase,
              const char *reason, uint64_t now_ms)
{
  struct move_record *record = &move->writing_record;
  if (move->writing || now_ms < move->next_write_ms)
    return;
  memset (record, 0, sizeof *record);
  strcpy (record->service, move->service);
  strcpy (record->to_version, move->order.to_version);
  record->order = store_revision_number (move->order_revision);
  record->phase = phase;
  if (phase == MOVE_PHASE_DONE)
    record->share_bp = 10000;
  if (phase == MOVE_PHASE_RUNNING)
    {
      record->share_bp = rollout_share (move->rollout);
      for (size_t i = 0; i < move->rollout->kind_count; i++)
        if (move->rollout->kinds[i].share_bp > record->share_bp)
          record->kinds[record->kind_count++]
              = (struct move_share){ move->rollout->kinds[i].kind,
                                     move->rollout->kinds[i].share_bp };
    }
  put_record (move, reason, now_ms);
}

/// Writes the record of a move again that the restored store lacks.
static void
restore_record (struct service_move *move, uint64_t now_ms)
{
  if (move->writing || now_ms < move->next_write_ms
      || !sidecar_store_is_current (move->sidecar))
    return;
  move->writing_record = move->record;
  put_record (move, "lost by the store", now_ms);
}

static void
on_status_written (void *arg, const struct store_reply *reply)
{
  struct service_move *move = arg;
  move->status_writing = false;
  if (reply->status == STATUS_OK)
    {
      move->status_revision = reply->revision;
      move->status_known
          = move->has_record && move->record.phase == move->writing_phase;
      return;
    }
  move->next_write_ms = clock_monotonic_ms () + RETRY_DELAY_MS;
  if (reply->status != STATUS_CONFLICT)
    return;
  /* Another driver wrote the status, or this node did and the response was
     lost. */
  char text[512];
  size_t size = move->sidecar->adapter->write_status (
      &move->order, move->writing_phase, text, sizeof text);
  move->status_revision = reply->revision;
  move->status_known = reply->data != NULL && reply->size == size
                       && memcmp (reply->data, text, size) == 0
                       && move->has_record
                       && move->record.phase == move->writing_phase;
  move->next_write_ms = 0;
}

/// Publishes the phase of the record for the operators.
static void
write_status (struct service_move *move, uint64_t now_ms)
{
  struct sidecar *sidecar = move->sidecar;
  char key[KEY_MAX];
  char text[512];
  if (move->status_writing || move->status_known
      || !sidecar_move_is_current (move) || now_ms < move->next_write_ms)
    return;
  move->writing_phase = move->record.phase;
  size_t size = sidecar->adapter->write_status (
      &move->order, move->writing_phase, text, sizeof text);
  snprintf (key, sizeof key, "%s%s", sidecar->adapter->status_prefix,
            move->service);
  move->status_writing = true;
  store_client_ops.put (&sidecar->store_client, key,
                        expected_revision (move, move->status_revision), 0,
                        text, size, on_status_written, move);
}

static bool
start_driving (struct service_move *move, uint64_t now_ms)
{
  if (move->rollout != NULL)
    return true;
  move->rollout = calloc (1, sizeof *move->rollout);
  if (move->rollout == NULL)
    return false;
  rollout_init (move->rollout, move->order.duration_ms, move->order_ms);
  if (sidecar_move_is_current (move))
    rollout_resume (move->rollout, move->record.share_bp, now_ms);
  return true;
}

static void
decide (struct service_move *move, bool is_driver, uint64_t now_ms)
{
  struct rollout_view view = collect_evidence (move, now_ms);
  if (move->writing)
    return;
  /* Another driver was ahead while this node was paused or on standby. */
  if (move->record.share_bp > rollout_share (move->rollout))
    rollout_resume (move->rollout, move->record.share_bp, now_ms);
  switch (rollout_decide (move->rollout, &view, now_ms))
    {
    case ROLLOUT_ROLL_BACK:
      write_record (move, MOVE_PHASE_ROLLED_BACK, move->rollout->reason,
                    now_ms);
      break;
    case ROLLOUT_SHARE:
      if (is_driver)
        write_record (move, MOVE_PHASE_RUNNING, move->rollout->reason, now_ms);
      break;
    case ROLLOUT_FINISH:
      if (is_driver)
        write_record (move, MOVE_PHASE_DONE, move->rollout->reason, now_ms);
      break;
    case ROLLOUT_WAIT:
      /* Retry a step that could not be written. */
      if (is_driver && move->record.share_bp < rollout_share (move->rollout))
        write_record (move, MOVE_PHASE_RUNNING, "again", now_ms);
      break;
    }
}

void
sidecar_move_drive (struct service_move *move, uint64_t now_ms)
{
  bool current = sidecar_move_is_current (move);
  bool running = current && move->record.phase == MOVE_PHASE_RUNNING;
  unsigned rank = driver_rank (move);
  if (current && move->record_lost && rank == 0)
    restore_record (move, now_ms);
  if (running && move->tripped)
    write_record (move, MOVE_PHASE_ROLLED_BACK,
                  "target of this node failed too often", now_ms);
  if (rank > 1 || (current && !running))
    {
      sidecar_move_stop_driving (move);
      if (rank == 0)
        write_status (move, now_ms);
      return;
    }
  if (!start_driving (move, now_ms))
    return;
  if (!current)
    {
      if (rank == 0)
        write_record (move, MOVE_PHASE_RUNNING, "ordered", now_ms);
      return;
    }
  if (rank == 0)
    write_status (move, now_ms);
  decide (move, rank == 0, now_ms);
}
