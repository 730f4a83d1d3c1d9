#include "coordination/relay.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

#define NODES 24

static struct directory directory;
static struct relay_exclusions exclusions;

static void
put (const char *node, const char *zone, enum directory_state state)
{
  struct directory_entry entry
      = { .state = state, .port = 1, .address = 1, .epoch = 1 };
  strcpy (entry.node, node);
  strcpy (entry.availability_zone, zone);
  directory_put (&directory, &entry, 5, 0);
}

static void
name_of (size_t index, char name[32])
{
  snprintf (name, 32, "node-%zu", index);
}

/// Adds nodes, alternating between two zones.
static void
set_up (size_t nodes)
{
  directory_finish (&directory);
  directory_init (&directory);
  memset (&exclusions, 0, sizeof exclusions);
  for (size_t i = 0; i < nodes; i++)
    {
      char name[32];
      name_of (i, name);
      put (name, i % 2 == 0 ? "za" : "zb", DIRECTORY_READY);
    }
}

static void
test_every_node_agrees (void)
{
  set_up (NODES);
  size_t members = 0;
  struct relay_group first;
  relay_choose (&directory, "node-0", "za", &first);
  CU_ASSERT_EQUAL (first.count, RELAY_COUNT);
  for (size_t i = 0; i < NODES; i++)
    {
      char name[32];
      struct relay_group group;
      name_of (i, name);
      relay_choose (&directory, name, i % 2 == 0 ? "za" : "zb", &group);
      members += group.member;
      if (i % 2 == 0)
        CU_ASSERT_EQUAL (
            memcmp (group.handles, first.handles, sizeof first.handles), 0);
    }
  CU_ASSERT_EQUAL (members, 2 * RELAY_COUNT);
}

static void
test_small_zones_share_relays (void)
{
  set_up (RELAY_ZONE_NODES_MIN);
  struct relay_group a;
  struct relay_group b;
  relay_choose (&directory, "node-0", "za", &a);
  relay_choose (&directory, "node-1", "zb", &b);
  CU_ASSERT_EQUAL (a.count, RELAY_COUNT);
  CU_ASSERT_EQUAL (memcmp (a.handles, b.handles, sizeof a.handles), 0);
}

static void
test_leaving_and_missing_nodes_are_excluded (void)
{
  struct relay_group before;
  struct relay_group after;
  set_up (NODES);
  relay_choose (&directory, "none", "za", &before);
  const struct directory_entry *leaving
      = &directory.records[before.handles[0]].entry;
  const struct directory_entry *missing
      = &directory.records[before.handles[1]].entry;
  char name[DIRECTORY_NAME_MAX + 1];
  strcpy (name, missing->node);
  put (leaving->node, "za", DIRECTORY_LEAVING);
  directory_mark_missing (&directory, name, 9, 10);
  relay_choose (&directory, "none", "za", &after);
  for (size_t i = 0; i < RELAY_COUNT; i++)
    for (size_t k = 0; k < RELAY_COUNT; k++)
      CU_ASSERT_NOT_EQUAL (before.handles[i], after.handles[k]);
}

/// After a failure, a follower must use the other relay, then the store, and
/// return to a relay when the exclusion has ended.
static void
test_failed_relays_are_excluded (void)
{
  static const struct
  {
    uint64_t at_ms;
    bool served; ///< a relay is followed
  } steps[] = {
    { 1000, true },
    { 1001, true },
    { 1002, false },
    { 1000 + RELAY_EXCLUSION_MS, true },
  };
  struct relay_group group;
  size_t before = SIZE_MAX;
  set_up (NODES);
  char own[32] = "";
  for (size_t i = 0; i < NODES && own[0] == '\0'; i += 2)
    {
      char name[32];
      name_of (i, name);
      relay_choose (&directory, name, "za", &group);
      if (!group.member)
        strcpy (own, name);
    }
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      size_t handle
          = relay_pick (&exclusions, &directory, own, "za", steps[i].at_ms);
      CU_ASSERT_EQUAL (handle != SIZE_MAX, steps[i].served);
      CU_ASSERT_NOT_EQUAL (handle, before);
      before = handle;
      if (handle != SIZE_MAX)
        relay_exclude (&exclusions, directory.records[handle].serial,
                       RELAY_EXCLUSION_MS, steps[i].at_ms);
    }
}

static void
test_relays_watch_the_store (void)
{
  struct relay_group group;
  set_up (NODES);
  relay_choose (&directory, "none", "za", &group);
  for (size_t i = 0; i < RELAY_COUNT; i++)
    CU_ASSERT_EQUAL (
        relay_pick (&exclusions, &directory,
                    directory.records[group.handles[i]].entry.node, "za", 1),
        SIZE_MAX);
  /* A single node has no relay to follow. */
  set_up (1);
  CU_ASSERT_EQUAL (relay_pick (&exclusions, &directory, "node-0", "za", 1),
                   SIZE_MAX);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "nodes of a zone choose different relays", test_every_node_agrees },
    { "a small zone has relays of its own", test_small_zones_share_relays },
    { "a leaving or missing node is a relay",
      test_leaving_and_missing_nodes_are_excluded },
    { "a relay that failed is followed, or is never tried again",
      test_failed_relays_are_excluded },
    { "relays follow each other", test_relays_watch_the_store },
  };
  return testing_run ("relay", cases, sizeof cases / sizeof cases[0]);
}
