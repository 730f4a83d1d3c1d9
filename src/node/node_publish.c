/// Owns a job that writes a version to the store: it encodes the record, the
/// snapshot and the head, and performs the actions of coordination/publish.
#include "node/node_config.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "coordination/publish.h"

#include <string.h>
#include <talloc.h>

/// After this time the caller gets the outcome, even when it is unknown.
#define PUBLISH_DEADLINE_MS 10000

static struct counter accepted
    = COUNTER ("publish_accepted", "versions written by this node");
static struct counter conflicts
    = COUNTER ("publish_conflicts", "versions that lost against another one");
static struct counter failures
    = COUNTER ("publish_failures", "versions refused or of unknown outcome");

struct job
{
  struct node *node;
  struct publish publish;
  struct config_record record;
  struct config content;
  struct record_head head; ///< as read, then advanced to the new version
  uint8_t *record_bytes;
  size_t record_size;
  uint8_t *head_bytes; ///< encoded once: a repeated write must be identical
  size_t head_size;
  struct record_parts parts; ///< of the snapshot; none when none is due
  size_t parts_written;
  struct event *timer;
  void (*done) (void *arg, enum status status, uint64_t version);
  void *arg;
};

static void run_action (struct job *job);

static void
apply_locally (struct job *job)
{
  struct node *node = job->node;
  if (job->publish.new_version != job->record.version)
    return;
  enum status status = config_follower_offer_record (
      node_config_follower (node), &job->record, clock_monotonic_ms ());
  if (status == STATUS_OK)
    node_mesh_broadcast (node, NODE_BROADCAST_RECORD, job->record_bytes,
                         job->record_size);
  else
    log_event (LOG_LEVEL_WARNING, "own_version_not_in_force",
               "version=%llu status=%s",
               (unsigned long long)job->record.version, status_name (status));
}

static void
end_job (struct job *job)
{
  struct publish *publish = &job->publish;
  switch (publish->result)
    {
    case STATUS_OK:
      counter_add (&accepted, 1);
      apply_locally (job);
      break;
    case STATUS_CONFLICT:
      counter_add (&conflicts, 1);
      break;
    default:
      counter_add (&failures, 1);
    }
  if (job->done != NULL)
    job->done (job->arg, publish->result, publish->new_version);
  event_free (job->timer);
  config_finish (&job->content);
  talloc_free (job);
}

/// Ends the job or schedules its next action, after the retry delay if any.
static void
schedule_action (struct job *job)
{
  if (job->publish.action == PUBLISH_FINISHED)
    {
      end_job (job);
      return;
    }
  uint64_t delay = publish_delay_ms (&job->publish, &job->node->rng);
  struct timeval wait
      = { (time_t)(delay / 1000), (suseconds_t)(delay % 1000 * 1000) };
  event_add (job->timer, &wait);
}

static void
set_failed (struct job *job, enum status status)
{
  job->publish.action = PUBLISH_FINISHED;
  job->publish.result = status;
  job->publish.new_version = 0;
}

/// @return the head in the form of coordination/publish; it borrows the list
/// of recent versions
static struct publish_head
head_view (const struct record_head *head, uint64_t revision)
{
  return (struct publish_head){ .revision = revision,
                                .version = head->version,
                                .hash = head->hash,
                                .recent = head->recent,
                                .recent_count = head->recent_count };
}

static enum status
encode_snapshot (struct job *job)
{
  uint8_t *content;
  size_t size;
  enum status status = config_encode (&job->content, job, &content, &size);
  if (status != STATUS_OK)
    return status;
  return record_snapshot_encode (job->record.version, content, size, job,
                                 &job->parts);
}

/// Encodes the head of the new version, and its snapshot when one is due.
static enum status
encode_head (struct job *job)
{
  struct record_head *head = &job->head;
  record_head_advance (head, job->record.version, &job->record.hash,
                       job->record.nonce);
  if (job->record.version % RECORD_SNAPSHOT_INTERVAL == 0)
    {
      enum status status = encode_snapshot (job);
      if (status != STATUS_OK)
        return status;
      head->snapshot_version = job->record.version;
      head->snapshot_nonce = job->record.nonce;
    }
  return record_head_encode (head, job, &job->head_bytes, &job->head_size);
}

static void
on_head_read (void *arg, const struct store_reply *reply)
{
  struct job *job = arg;
  struct publish_head view = { 0 };
  enum status status = reply->status;
  memset (&job->head, 0, sizeof job->head);
  if (status == STATUS_OK)
    {
      status = record_head_decode (&job->head, reply->data, reply->size);
      if (status == STATUS_OK)
        view = head_view (&job->head, reply->revision);
      else
        status = STATUS_CORRUPT;
    }
  else if (status == STATUS_CORRUPT)
    status = STATUS_UNKNOWN; /* the response is malformed, not the head */
  publish_head_read (&job->publish, status, &view, clock_monotonic_ms ());
  if (job->publish.action == PUBLISH_WRITE_RECORD)
    {
      status = encode_head (job);
      if (status != STATUS_OK)
        set_failed (job, status);
    }
  schedule_action (job);
}

static void
on_record_written (void *arg, const struct store_reply *reply)
{
  struct job *job = arg;
  publish_record_written (&job->publish, reply->status, clock_monotonic_ms ());
  schedule_action (job);
}

static void
on_part_written (void *arg, const struct store_reply *reply)
{
  struct job *job = arg;
  if (reply->status == STATUS_OK || reply->status == STATUS_CONFLICT)
    job->parts_written++;
  else
    publish_record_written (&job->publish, reply->status,
                            clock_monotonic_ms ());
  schedule_action (job);
}

static void
on_head_written (void *arg, const struct store_reply *reply)
{
  struct job *job = arg;
  struct publish_head view = { 0 };
  struct record_head head;
  enum status status = reply->status;
  if (status == STATUS_CONFLICT)
    {
      if (reply->revision == 0)
        memset (&head, 0, sizeof head);
      else if (record_head_decode (&head, reply->data, reply->size)
               != STATUS_OK)
        status = STATUS_UNKNOWN;
      if (status == STATUS_CONFLICT)
        view = head_view (&head, reply->revision);
    }
  publish_head_written (&job->publish, status, &view, clock_monotonic_ms ());
  schedule_action (job);
}

/// Writes the snapshot's parts first, then the record.
static void
write_record (struct job *job)
{
  struct node *node = job->node;
  char key[RECORD_KEY_MAX];
  size_t part = job->parts_written;
  if (part < job->parts.count)
    {
      record_snapshot_key (key, job->record.version, job->record.nonce,
                           (unsigned)part);
      node->store_ops->put (node->store, key, 0, 0, job->parts.bytes[part],
                            job->parts.sizes[part], on_part_written, job);
      return;
    }
  record_version_key (key, job->record.version, job->record.nonce);
  node->store_ops->put (node->store, key, 0, 0, job->record_bytes,
                        job->record_size, on_record_written, job);
}

static void
run_action (struct job *job)
{
  struct node *node = job->node;
  switch (job->publish.action)
    {
    case PUBLISH_READ_HEAD:
      node->store_ops->get (node->store, RECORD_HEAD_KEY, on_head_read, job);
      break;
    case PUBLISH_WRITE_RECORD:
      write_record (job);
      break;
    case PUBLISH_WRITE_HEAD:
      node->store_ops->put (node->store, RECORD_HEAD_KEY,
                            job->publish.head_revision, 0, job->head_bytes,
                            job->head_size, on_head_written, job);
      break;
    case PUBLISH_FINISHED:
      end_job (job);
      break;
    }
}

static void
on_timer (evutil_socket_t descriptor, short events, void *arg)
{
  run_action (arg);
}

/// Fills the record, as the change from the configuration in force to the new
/// one, and encodes it.
static enum status
prepare (struct job *job, const struct config *content, const char *author,
         const char *note)
{
  const struct config *base
      = config_follower_current (node_config_follower (job->node));
  enum status status = config_copy (&job->content, content);
  if (status == STATUS_OK)
    status = config_rehash (&job->content);
  uint8_t *delta = NULL;
  size_t delta_size = 0;
  if (status == STATUS_OK)
    status = config_diff (base, &job->content, job, &delta, &delta_size);
  if (status != STATUS_OK)
    return status;
  job->record = (struct config_record){
    .version = job->publish.base_version + 1,
    .previous_hash = base->hash,
    .hash = job->content.hash,
    .nonce = job->publish.nonce,
    .author = talloc_strdup (job, author),
    .wall_ms = clock_wall_ms (),
    .base_version = job->publish.base_version,
    .note = talloc_strdup (job, note),
    .delta = delta,
    .delta_size = delta_size,
  };
  return record_version_encode (&job->record, job, &job->record_bytes,
                                &job->record_size);
}

void
node_config_publish (
    struct node *node, const struct config *content, uint64_t base_version,
    const char *author, const char *note, uint64_t nonce,
    void (*done) (void *arg, enum status status, uint64_t version), void *arg)
{
  struct job *job = talloc_zero (NULL, struct job);
  if (job == NULL)
    {
      if (done != NULL)
        done (arg, STATUS_NO_MEMORY, 0);
      return;
    }
  const struct config *held
      = config_follower_current (node_config_follower (node));
  job->node = node;
  job->done = done;
  job->arg = arg;
  job->timer = event_new (node->base, -1, 0, on_timer, job);
  publish_init (&job->publish, nonce, base_version, &held->hash, held->version,
                clock_monotonic_ms () + PUBLISH_DEADLINE_MS);
  enum status status = prepare (job, content, author, note);
  if (status != STATUS_OK)
    set_failed (job, status);
  /* The job starts from the event loop, so that `done` is not called before
     the return. */
  struct timeval now = { 0, 0 };
  event_add (job->timer, &now);
}
