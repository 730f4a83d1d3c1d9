/// A node for tests of the operators' interface. Implements functions of
/// node.h with a store and a configuration in memory. Replies are delivered
/// from the event loop.
#ifndef HAWTHORNSEAM_TEST_FAKE_NODE_H
#define HAWTHORNSEAM_TEST_FAKE_NODE_H

#include "base/clock.h"
#include "node/node.h"
#include "node/node_mesh.h"
#include "protocol/record.h"
#include "state/config.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define FAKE_KEYS_MAX 1024
#define FAKE_SNAPSHOT_INTERVAL 8

struct fake_value
{
  char key[RECORD_KEY_MAX];
  uint8_t *data;
  size_t size;
};

struct fake
{
  struct node node;
  struct config_follower follower;
  struct member members[4];
  struct member_table table;
  struct fake_value values[FAKE_KEYS_MAX];
  size_t value_count;
  struct record_head head;
  bool outage;        ///< the store replies STATUS_UNAVAILABLE
  int lost_responses; ///< next publishes that take effect but report unknown
  int conflicts;      ///< next publishes that fail with a conflict
  bool rejected_records; ///< with each record, also write one that was not
                         ///< accepted
};

static struct fake fake;

static const struct config *
fake_current (void)
{
  return config_follower_current (&fake.follower);
}

struct fake_call
{
  struct store_reply reply;
  struct store_key keys[FAKE_KEYS_MAX];
  void (*done) (void *arg, const struct store_reply *reply);
  void *arg;
};

struct fake_publish
{
  enum status status;
  uint64_t version;
  void (*done) (void *arg, enum status status, uint64_t version);
  void *arg;
};

static void
fake_deliver (evutil_socket_t fd, short events, void *arg)
{
  struct fake_call *call = arg;
  call->done (call->arg, &call->reply);
  free (call);
}

static void
fake_deliver_later (struct fake_call *call)
{
  struct timeval now = { 0, 0 };
  if (fake.outage)
    call->reply = (struct store_reply){ .status = STATUS_UNAVAILABLE };
  event_base_once (fake.node.base, -1, EV_TIMEOUT, fake_deliver, call, &now);
}

static struct fake_call *
fake_call (void (*done) (void *arg, const struct store_reply *reply),
           void *arg)
{
  struct fake_call *call = calloc (1, sizeof *call);
  call->done = done;
  call->arg = arg;
  return call;
}

static void
fake_get (void *store, const char *key,
          void (*done) (void *arg, const struct store_reply *reply), void *arg)
{
  struct fake_call *call = fake_call (done, arg);
  call->reply.status = STATUS_NOT_FOUND;
  for (size_t i = 0; i < fake.value_count; i++)
    if (strcmp (fake.values[i].key, key) == 0)
      call->reply = (struct store_reply){ .status = STATUS_OK,
                                          .revision = 1,
                                          .data = fake.values[i].data,
                                          .size = fake.values[i].size };
  fake_deliver_later (call);
}

static void
fake_list (void *store, const char *prefix,
           void (*done) (void *arg, const struct store_reply *reply),
           void *arg)
{
  struct fake_call *call = fake_call (done, arg);
  call->reply.keys = call->keys;
  for (size_t i = 0; i < fake.value_count; i++)
    if (strncmp (fake.values[i].key, prefix, strlen (prefix)) == 0)
      call->keys[call->reply.key_count++]
          = (struct store_key){ .key = fake.values[i].key, .revision = 1 };
  fake_deliver_later (call);
}

static const struct store_ops fake_ops
    = { .get = fake_get, .list = fake_list };

/// Writes a value to the store; the bytes are copied.
static void
fake_put (const char *key, const uint8_t *data, size_t size)
{
  size_t index = 0;
  while (index < fake.value_count && strcmp (fake.values[index].key, key) != 0)
    index++;
  if (index == fake.value_count)
    {
      if (index == FAKE_KEYS_MAX)
        abort ();
      fake.value_count++;
      fake.values[index].data = NULL;
    }
  free (fake.values[index].data);
  snprintf (fake.values[index].key, RECORD_KEY_MAX, "%s", key);
  fake.values[index].data = malloc (size + 1);
  fake.values[index].size = size;
  memcpy (fake.values[index].data, data, size);
}

static void
fake_write_record (const struct config_record *record, void *arena)
{
  char key[RECORD_KEY_MAX];
  uint8_t *bytes;
  size_t size;
  record_version_key (key, record->version, record->nonce);
  if (record_version_encode (record, arena, &bytes, &size) == STATUS_OK)
    fake_put (key, bytes, size);
}

static void
fake_write_snapshot (const struct config *config, uint64_t nonce, void *arena)
{
  struct record_parts parts;
  char key[RECORD_KEY_MAX];
  uint8_t *content;
  size_t size;
  config_encode (config, arena, &content, &size);
  record_snapshot_encode (config->version, content, size, arena, &parts);
  for (size_t i = 0; i < parts.count; i++)
    {
      record_snapshot_key (key, config->version, nonce, (unsigned)i);
      fake_put (key, parts.bytes[i], parts.sizes[i]);
    }
  fake.head.snapshot_version = config->version;
  fake.head.snapshot_nonce = nonce;
}

/// Accepts a configuration as the next version and puts it in force.
static enum status
fake_accept (const struct config *content, const char *author,
             const char *note, uint64_t nonce)
{
  const struct config *config = fake_current ();
  void *arena = talloc_new (NULL);
  uint8_t *bytes;
  size_t size;
  struct config_record record = { .version = config->version + 1,
                                  .previous_hash = config->hash,
                                  .hash = content->hash,
                                  .nonce = nonce,
                                  .author = author,
                                  .note = note,
                                  .wall_ms = clock_wall_ms (),
                                  .base_version = config->version };
  uint8_t *delta;
  config_diff (config, content, arena, &delta, &record.delta_size);
  record.delta = delta;
  enum status status = config_follower_offer_record (&fake.follower, &record,
                                                     clock_monotonic_ms ());
  if (status == STATUS_OK)
    {
      if (fake.rejected_records)
        {
          struct config_record rejected = record;
          rejected.nonce = nonce - 1;
          rejected.hash.bytes[0] ^= 1;
          fake_write_record (&rejected, arena);
        }
      fake_write_record (&record, arena);
      record_head_advance (&fake.head, record.version, &record.hash, nonce);
      if (record.version % FAKE_SNAPSHOT_INTERVAL == 0)
        fake_write_snapshot (config, nonce, arena);
      record_head_encode (&fake.head, arena, &bytes, &size);
      fake_put (RECORD_HEAD_KEY, bytes, size);
    }
  talloc_free (arena);
  return status;
}

static void
fake_published (evutil_socket_t fd, short events, void *arg)
{
  struct fake_publish *publish = arg;
  publish->done (publish->arg, publish->status, publish->version);
  free (publish);
}

void
node_config_publish (
    struct node *node, const struct config *content, uint64_t base_version,
    const char *author, const char *note, uint64_t nonce,
    void (*done) (void *arg, enum status status, uint64_t version), void *arg)
{
  struct timeval now = { 0, 0 };
  struct fake_publish *publish = calloc (1, sizeof *publish);
  publish->done = done;
  publish->arg = arg;
  if (fake.conflicts > 0)
    {
      fake.conflicts--;
      publish->status = STATUS_CONFLICT;
    }
  else
    publish->status = fake_accept (content, author, note, nonce);
  publish->version = fake_current ()->version;
  if (publish->status == STATUS_OK && fake.lost_responses > 0)
    {
      fake.lost_responses--;
      publish->status = STATUS_UNKNOWN;
    }
  event_base_once (node->base, -1, EV_TIMEOUT, fake_published, publish, &now);
}

struct config_follower *
node_config_follower (struct node *node)
{
  return &fake.follower;
}

const struct member_table *
node_members (const struct node *node)
{
  return &fake.table;
}

bool
node_is_relay (const struct node *node)
{
  return true;
}

size_t
node_mesh_zones (struct node *node, struct node_zone_report *zones, size_t max)
{
  zones[0] = (struct node_zone_report){ .name = "praha-a",
                                        .members = 3,
                                        .reachable = true,
                                        .reported = true,
                                        .reporting = 3,
                                        .lowest = fake_current ()->version,
                                        .lagging = { 1 },
                                        .lagging_count = 1 };
  return 1;
}

static void
fake_in_force (void *arg, const struct config *config,
               const struct config_record *record)
{
}

static const struct config_follower_ops fake_config_follower_ops
    = { .in_force = fake_in_force };

/// Starts the node, with members that have targets pecet v1, pecet v2 and
/// archiv v1.
static void
fake_start (uint16_t admin_port, bool ready)
{
  static const char *const services[] = { "pecet", "pecet", "archiv" };
  static const char *const versions[] = { "v1", "v2", "v1" };
  memset (&fake, 0, sizeof fake);
  fake.node.base = event_base_new ();
  fake.node.store_ops = &fake_ops;
  rng_init (&fake.node.rng, 7);
  strcpy (fake.node.settings.mesh, "zapis");
  strcpy (fake.node.settings.slot, "pecet-1");
  strcpy (fake.node.settings.availability_zone, "praha-a");
  strcpy (fake.node.settings.region, "cz-central");
  fake.node.settings.admin.address = 0x7f000001;
  fake.node.settings.admin.port = admin_port;
  config_follower_init (&fake.follower, &fake_config_follower_ops, NULL);
  if (ready)
    config_follower_head_confirmed (&fake.follower, 0);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct member *member = &fake.members[i];
      member->slot_id = i;
      snprintf (member->slot, sizeof member->slot, "slot-%u", i);
      member->target_state = TARGET_READY;
      strcpy (member->availability_zone, "praha-a");
      strcpy (member->service, services[i]);
      strcpy (member->target_version, versions[i]);
    }
  fake.table.items = fake.members;
  fake.table.count = 3;
}

static void
fake_finish (void)
{
  for (size_t i = 0; i < fake.value_count; i++)
    free (fake.values[i].data);
  config_follower_finish (&fake.follower);
  event_base_free (fake.node.base);
}

#endif
