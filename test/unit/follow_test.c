#include "follow_sim.h"
#include "testing.h"

struct observer
{
  uint64_t last;
  unsigned count;
  uint64_t announced;
};

static void
in_force (void *arg, const struct config *config,
          const struct config_record *record)
{
  struct observer *observer = arg;
  CU_ASSERT (config->version > observer->last);
  CU_ASSERT (record == NULL || record->version == config->version);
  observer->last = config->version;
  observer->count++;
}

static void
announce_floor (void *arg, uint64_t version)
{
  ((struct observer *)arg)->announced = version;
}

static const struct follow_ops direct = { .in_force = in_force };
static const struct follow_ops floored
    = { .in_force = in_force, .announce_floor = announce_floor };

static struct chain *chain;

static enum status
offer (struct follow *follow, uint64_t version)
{
  return follow_offer_record (follow, &chain->records[version], 0);
}

static enum status
offer_snapshot (struct follow *follow, uint64_t version)
{
  return follow_offer_snapshot (
      follow, version, &chain->contents[version].hash,
      chain->encodings[version], chain->encoding_sizes[version], 0);
}

static void
test_crossed_updates (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  CU_ASSERT_EQUAL (offer (&follow, 2), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (offer (&follow, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 3), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (offer (&follow, 2), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 2), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 3), STATUS_OK);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 3);
  CU_ASSERT_EQUAL (seen.count, 3);
  CU_ASSERT (
      hash_equal (&follow_current (&follow)->hash, &chain->contents[3].hash));
  follow_finish (&follow);
}

static void
test_lagging_peer (void)
{
  struct observer seen = { 0 };
  struct follow ahead, behind;
  follow_init (&ahead, &direct, &seen);
  for (uint64_t v = 1; v <= 100; v++)
    CU_ASSERT_EQUAL (offer (&ahead, v), STATUS_OK);
  CU_ASSERT_PTR_NULL (follow_history (&ahead, 36));
  for (uint64_t v = 37; v <= 100; v++)
    CU_ASSERT_EQUAL (follow_history (&ahead, v)->version, v);
  struct observer lagging = { 0 };
  follow_init (&behind, &direct, &lagging);
  CU_ASSERT_EQUAL (offer (&behind, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 60), STATUS_OK);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 50), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 60), STATUS_OK);
  for (uint64_t v = 61; v <= 100; v++)
    CU_ASSERT_EQUAL (
        follow_offer_record (&behind, follow_history (&ahead, v), 0),
        STATUS_OK);
  CU_ASSERT (hash_equal (&follow_current (&ahead)->hash,
                         &follow_current (&behind)->hash));
  follow_finish (&ahead);
  follow_finish (&behind);
}

static void
test_bad_records_change_nothing (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  offer (&follow, 1);
  struct config_record bad = chain->records[2];
  bad.hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (follow_offer_record (&follow, &bad, 0), STATUS_CORRUPT);
  bad = chain->records[2];
  bad.previous_hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (follow_offer_record (&follow, &bad, 0), STATUS_CORRUPT);
  bad = chain->records[2];
  bad.delta_size--;
  CU_ASSERT_EQUAL (follow_offer_record (&follow, &bad, 0), STATUS_CORRUPT);
  bad = chain->records[1];
  bad.hash.bytes[0] ^= 1;
  CU_ASSERT_EQUAL (follow_offer_record (&follow, &bad, 0), STATUS_CORRUPT);
  CU_ASSERT_EQUAL (follow_offer_snapshot (&follow, 5, &chain->contents[6].hash,
                                          chain->encodings[5],
                                          chain->encoding_sizes[5], 0),
                   STATUS_CORRUPT);
  CU_ASSERT_EQUAL (seen.count, 1);
  CU_ASSERT (
      hash_equal (&follow_current (&follow)->hash, &chain->contents[1].hash));
  CU_ASSERT_EQUAL (offer (&follow, 2), STATUS_OK);
  follow_finish (&follow);
}

static void
test_floor_comes_first (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &floored, &seen);
  CU_ASSERT_EQUAL (offer (&follow, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 2), STATUS_OK);
  CU_ASSERT_EQUAL (seen.count, 0);
  CU_ASSERT_EQUAL (follow_newest (&follow), 2);
  CU_ASSERT_EQUAL (seen.announced, 2);
  follow_floor_recorded (&follow, 1);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 1);
  follow_floor_recorded (&follow, 2);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 2);
  /* A push comes from a node that recorded the floor. */
  follow_floor_recorded (&follow, 3);
  CU_ASSERT_EQUAL (offer (&follow, 3), STATUS_OK);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 3);
  /* A bad record is refused at once although it could only wait. */
  struct config_record bad = chain->records[4];
  bad.hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (follow_offer_record (&follow, &bad, 0), STATUS_CORRUPT);
  /* A snapshot overtakes what waits. */
  offer (&follow, 4);
  CU_ASSERT_EQUAL (offer_snapshot (&follow, 9), STATUS_OK);
  follow_floor_recorded (&follow, 9);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 9);
  for (uint64_t v = 10; v < 10 + FOLLOW_WAITING_MAX; v++)
    CU_ASSERT_EQUAL (offer (&follow, v), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follow, 10 + FOLLOW_WAITING_MAX),
                   STATUS_UNAVAILABLE);
  follow_finish (&follow);
}

static void
test_restart_with_store (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  CU_ASSERT_FALSE (follow_ready (&follow));
  offer (&follow, 1);
  offer (&follow, 2);
  CU_ASSERT_FALSE (follow_ready (&follow));
  follow_head_confirmed (&follow, 3);
  CU_ASSERT_FALSE (follow_ready (&follow));
  offer (&follow, 3);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
  /* An empty store of a new mesh. */
  follow_init (&follow, &direct, &seen);
  follow_head_confirmed (&follow, 0);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
}

static void
test_restart_without_store (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  follow_ask_peers (&follow, 1000);
  follow_floor_reply (&follow, 11, 0, 2, true, 9);
  follow_floor_reply (&follow, 11, 0, 2, true, 9);
  follow_floor_reply (&follow, 12, 4, 2, true, 9);
  offer (&follow, 1);
  offer (&follow, 2);
  CU_ASSERT_FALSE (follow_ready (&follow));
  follow_floor_reply (&follow, 13, 0, 1, true, 9);
  CU_ASSERT_FALSE (follow_ready (&follow));
  offer (&follow, 3);
  CU_ASSERT_FALSE (follow_ready (&follow));
  offer (&follow, 4);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
  /* Fewer than three others are alive. */
  struct observer second = { 0 };
  follow_init (&follow, &direct, &second);
  follow_ask_peers (&follow, 1000);
  follow_floor_reply (&follow, 11, 1, 0, true, 1);
  CU_ASSERT_FALSE (follow_ready (&follow));
  offer (&follow, 1);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
}

static void
test_lost_floor (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  follow_ask_peers (&follow, 1000);
  follow_tick (&follow, 1000 + FOLLOW_ANSWERS_MS);
  CU_ASSERT_FALSE (follow_ready (&follow));
  /* All peers restarted as well; one has caught up with something. */
  follow_floor_reply (&follow, 11, 0, 2, false, 5);
  offer (&follow, 1);
  offer (&follow, 2);
  follow_tick (&follow, 999 + FOLLOW_ANSWERS_MS);
  CU_ASSERT_FALSE (follow_ready (&follow));
  follow_tick (&follow, 1000 + FOLLOW_ANSWERS_MS);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
}

static void
test_floors_of_others (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  CU_ASSERT_EQUAL (follow_get_floor (&follow, 5), 0);
  for (uint64_t slot = 1; slot <= 5100; slot++)
    follow_set_floor (&follow, slot * 0x9e3779b97f4a7c15, slot);
  for (uint64_t slot = 1; slot <= 5100; slot++)
    {
      follow_set_floor (&follow, slot * 0x9e3779b97f4a7c15, slot - 1);
      CU_ASSERT_EQUAL (follow_get_floor (&follow, slot * 0x9e3779b97f4a7c15),
                       slot);
    }
  follow_finish (&follow);
}

static void
test_older_head (void)
{
  struct observer seen = { 0 };
  struct follow follow;
  follow_init (&follow, &direct, &seen);
  offer (&follow, 1);
  offer (&follow, 2);
  /* The store recovered with an older head. */
  follow_head_confirmed (&follow, 1);
  CU_ASSERT_EQUAL (follow_current (&follow)->version, 2);
  CU_ASSERT (follow_ready (&follow));
  follow_finish (&follow);
}

static const struct test_case cases[] = {
  { "crossed updates lose or repeat a version", test_crossed_updates },
  { "a lagging peer does not catch up", test_lagging_peer },
  { "a bad record changes something", test_bad_records_change_nothing },
  { "a version comes into force without a floor", test_floor_comes_first },
  { "a restarted node is ready too early", test_restart_with_store },
  { "a floor is ignored without the store", test_restart_without_store },
  { "a lost floor keeps a node from serving", test_lost_floor },
  { "a recorded floor falls", test_floors_of_others },
  { "an older head takes a version back", test_older_head },
};

int
main (void)
{
  chain = chain_new (101);
  int code = testing_run ("follow", cases, sizeof cases / sizeof cases[0]);
  chain_free (chain);
  return code;
}
