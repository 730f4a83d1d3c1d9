#include "config_follower_sim.h"
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

static const struct config_follower_ops ops_without_floor
    = { .in_force = in_force };
static const struct config_follower_ops ops_with_floor
    = { .in_force = in_force, .announce_floor = announce_floor };

static struct chain *chain;

static enum status
offer (struct config_follower *follower, uint64_t version)
{
  return config_follower_offer_record (follower, &chain->records[version], 0);
}

static enum status
offer_snapshot (struct config_follower *follower, uint64_t version)
{
  return config_follower_offer_snapshot (
      follower, version, &chain->contents[version].hash,
      chain->encodings[version], chain->encoding_sizes[version], 0);
}

static void
test_updates_out_of_order (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  CU_ASSERT_EQUAL (offer (&follower, 2), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (offer (&follower, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 3), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (offer (&follower, 2), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 2), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 3), STATUS_OK);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 3);
  CU_ASSERT_EQUAL (observer.count, 3);
  CU_ASSERT (hash_equal (&config_follower_current (&follower)->hash,
                         &chain->contents[3].hash));
  config_follower_finish (&follower);
}

static void
test_lagging_peer (void)
{
  struct observer observer = { 0 };
  struct config_follower ahead, behind;
  config_follower_init (&ahead, &ops_without_floor, &observer);
  for (uint64_t v = 1; v <= 100; v++)
    CU_ASSERT_EQUAL (offer (&ahead, v), STATUS_OK);
  CU_ASSERT_PTR_NULL (config_follower_history (&ahead, 36));
  for (uint64_t v = 37; v <= 100; v++)
    CU_ASSERT_EQUAL (config_follower_history (&ahead, v)->version, v);
  struct observer lagging = { 0 };
  config_follower_init (&behind, &ops_without_floor, &lagging);
  CU_ASSERT_EQUAL (offer (&behind, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 60), STATUS_OK);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 50), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (offer_snapshot (&behind, 60), STATUS_OK);
  for (uint64_t v = 61; v <= 100; v++)
    CU_ASSERT_EQUAL (config_follower_offer_record (
                         &behind, config_follower_history (&ahead, v), 0),
                     STATUS_OK);
  CU_ASSERT (hash_equal (&config_follower_current (&ahead)->hash,
                         &config_follower_current (&behind)->hash));
  config_follower_finish (&ahead);
  config_follower_finish (&behind);
}

static void
test_bad_records_change_nothing (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  offer (&follower, 1);
  struct config_record bad = chain->records[2];
  bad.hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (config_follower_offer_record (&follower, &bad, 0),
                   STATUS_CORRUPT);
  bad = chain->records[2];
  bad.previous_hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (config_follower_offer_record (&follower, &bad, 0),
                   STATUS_CORRUPT);
  bad = chain->records[2];
  bad.delta_size--;
  CU_ASSERT_EQUAL (config_follower_offer_record (&follower, &bad, 0),
                   STATUS_CORRUPT);
  bad = chain->records[1];
  bad.hash.bytes[0] ^= 1;
  CU_ASSERT_EQUAL (config_follower_offer_record (&follower, &bad, 0),
                   STATUS_CORRUPT);
  CU_ASSERT_EQUAL (config_follower_offer_snapshot (
                       &follower, 5, &chain->contents[6].hash,
                       chain->encodings[5], chain->encoding_sizes[5], 0),
                   STATUS_CORRUPT);
  CU_ASSERT_EQUAL (observer.count, 1);
  CU_ASSERT (hash_equal (&config_follower_current (&follower)->hash,
                         &chain->contents[1].hash));
  CU_ASSERT_EQUAL (offer (&follower, 2), STATUS_OK);
  config_follower_finish (&follower);
}

static void
test_floor_comes_first (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_with_floor, &observer);
  CU_ASSERT_EQUAL (offer (&follower, 1), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 2), STATUS_OK);
  CU_ASSERT_EQUAL (observer.count, 0);
  CU_ASSERT_EQUAL (config_follower_newest (&follower), 2);
  CU_ASSERT_EQUAL (observer.announced, 2);
  config_follower_floor_recorded (&follower, 1);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 1);
  config_follower_floor_recorded (&follower, 2);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 2);
  /* A node that pushes a version has recorded the floor. */
  config_follower_floor_recorded (&follower, 3);
  CU_ASSERT_EQUAL (offer (&follower, 3), STATUS_OK);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 3);
  /* A bad record is refused at once, not when the floor is recorded. */
  struct config_record bad = chain->records[4];
  bad.hash.bytes[3] ^= 1;
  CU_ASSERT_EQUAL (config_follower_offer_record (&follower, &bad, 0),
                   STATUS_CORRUPT);
  /* A snapshot replaces the versions that wait. */
  offer (&follower, 4);
  CU_ASSERT_EQUAL (offer_snapshot (&follower, 9), STATUS_OK);
  config_follower_floor_recorded (&follower, 9);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 9);
  for (uint64_t v = 10; v < 10 + CONFIG_FOLLOWER_WAITING_MAX; v++)
    CU_ASSERT_EQUAL (offer (&follower, v), STATUS_OK);
  CU_ASSERT_EQUAL (offer (&follower, 10 + CONFIG_FOLLOWER_WAITING_MAX),
                   STATUS_UNAVAILABLE);
  config_follower_finish (&follower);
}

static void
test_restart_with_store (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  offer (&follower, 1);
  offer (&follower, 2);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  config_follower_head_confirmed (&follower, 3);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  offer (&follower, 3);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
  /* A new mesh with an empty store. */
  config_follower_init (&follower, &ops_without_floor, &observer);
  config_follower_head_confirmed (&follower, 0);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
}

static void
test_restart_without_store (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  config_follower_ask_peers (&follower, 1000);
  config_follower_floor_reply (&follower, 11, 0, 2, true, 9);
  config_follower_floor_reply (&follower, 11, 0, 2, true, 9);
  config_follower_floor_reply (&follower, 12, 4, 2, true, 9);
  offer (&follower, 1);
  offer (&follower, 2);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  config_follower_floor_reply (&follower, 13, 0, 1, true, 9);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  offer (&follower, 3);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  offer (&follower, 4);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
  /* Fewer than CONFIG_FOLLOWER_REPLIES_MIN other members are alive. */
  struct observer second = { 0 };
  config_follower_init (&follower, &ops_without_floor, &second);
  config_follower_ask_peers (&follower, 1000);
  config_follower_floor_reply (&follower, 11, 1, 0, true, 1);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  offer (&follower, 1);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
}

static void
test_lost_floor (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  config_follower_ask_peers (&follower, 1000);
  config_follower_tick (&follower, 1000 + CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  /* All peers have restarted as well; one of them holds a version again. */
  config_follower_floor_reply (&follower, 11, 0, 2, false, 5);
  offer (&follower, 1);
  offer (&follower, 2);
  config_follower_tick (&follower, 999 + CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS);
  CU_ASSERT_FALSE (config_follower_ready (&follower));
  config_follower_tick (&follower, 1000 + CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
}

static void
test_floors_of_others (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  CU_ASSERT_EQUAL (config_follower_get_floor (&follower, 5), 0);
  for (uint64_t slot = 1; slot <= 5100; slot++)
    config_follower_set_floor (&follower, slot * 0x9e3779b97f4a7c15, slot);
  for (uint64_t slot = 1; slot <= 5100; slot++)
    {
      config_follower_set_floor (&follower, slot * 0x9e3779b97f4a7c15,
                                 slot - 1);
      CU_ASSERT_EQUAL (
          config_follower_get_floor (&follower, slot * 0x9e3779b97f4a7c15),
          slot);
    }
  config_follower_finish (&follower);
}

static void
test_older_head (void)
{
  struct observer observer = { 0 };
  struct config_follower follower;
  config_follower_init (&follower, &ops_without_floor, &observer);
  offer (&follower, 1);
  offer (&follower, 2);
  /* The store has recovered with an older head. */
  config_follower_head_confirmed (&follower, 1);
  CU_ASSERT_EQUAL (config_follower_current (&follower)->version, 2);
  CU_ASSERT (config_follower_ready (&follower));
  config_follower_finish (&follower);
}

static const struct test_case cases[] = {
  { "updates out of order lose or repeat a version",
    test_updates_out_of_order },
  { "a lagging peer does not catch up", test_lagging_peer },
  { "a bad record changes the configuration in force",
    test_bad_records_change_nothing },
  { "a version comes into force before its floor is recorded",
    test_floor_comes_first },
  { "a restarted node is ready too early", test_restart_with_store },
  { "a restarted node ignores the floor when the store is unavailable",
    test_restart_without_store },
  { "a node whose floor is lost is never ready", test_lost_floor },
  { "a recorded floor is lowered", test_floors_of_others },
  { "an older head replaces a newer version", test_older_head },
};

int
main (void)
{
  chain = chain_new (101);
  int code
      = testing_run ("config follower", cases, sizeof cases / sizeof cases[0]);
  chain_free (chain);
  return code;
}
