/// Five nodes in two zones under crashes, restarts with empty memory, pauses,
/// partitions, silent connections, and loss, delay, duplication and reordering
/// of messages. After the faults end all views must match the actual states.
#include "../unit/mesh_sim.h"

#define REQUIRE(condition)                                                    \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);      \
        abort ();                                                             \
      }                                                                       \
  while (0)

#define NODES 5
/// Time for the views to converge after the faults. When two sides consider
/// each other dead, each node retries one member every 5 to 15 s and may have
/// several to retry.
#define CONVERGENCE_MAX_MS 120000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
apply_action (struct sim *sim, uint8_t action, uint8_t argument)
{
  struct sim_node *node = &sim->nodes[argument % NODES];
  switch (action % 12)
    {
    case 0:
      sim_run (sim, 1 + (uint64_t)argument * 4);
      break;
    case 1:
      sim_run (sim, (uint64_t)argument * 50);
      break;
    case 2:
      sim_kill (sim, node->index, argument >= 128);
      break;
    case 3:
      if (!node->up)
        sim_start (sim, node->index);
      break;
    case 4:
      node->paused = !node->paused && node->up;
      break;
    case 5:
      node->side = argument / NODES % 3;
      break;
    case 6:
      sim->drop_permille = argument * 2;
      break;
    case 7:
      sim->duplicate_permille = argument * 3;
      break;
    case 8:
      sim->delay_ms = argument * 4;
      break;
    case 9:
      sim->silent_a = node->index;
      sim->silent_b = argument / NODES % NODES;
      break;
    case 10:
      if (node->up)
        membership_set_target (
            &node->m, node->record.service, "v2", argument,
            argument % 2 == 0 ? TARGET_READY : TARGET_DRAINING, sim->now_ms);
      break;
    default:
      if (node->up && !node->paused)
        {
          membership_leave (&node->m, sim->now_ms);
          sim_run (sim, argument);
          sim_kill (sim, node->index, false);
        }
      break;
    }
}

static void
clear_faults (struct sim *sim)
{
  sim->drop_permille = sim->duplicate_permille = 0;
  sim->delay_ms = 4;
  sim->silent_a = sim->silent_b = 0;
  for (unsigned i = 0; i < NODES; i++)
    {
      sim->nodes[i].side = 0;
      sim->nodes[i].paused = false;
      if (!sim->nodes[i].up)
        sim_start (sim, i);
    }
}

static bool
views_agree (struct sim *sim)
{
  if (sim_wrong_views (sim) > 0)
    return false;
  for (unsigned i = 0; i < NODES; i++)
    for (unsigned j = 0; j < NODES; j++)
      {
        const struct member_table *table = &sim->nodes[i].m.table;
        uint32_t handle = member_find (table, sim->nodes[j].record.slot_id);
        const struct member *seen = member_get (table, handle);
        const struct member *own = membership_self (&sim->nodes[j].m);
        if (seen->incarnation != own->incarnation
            || seen->target_state != own->target_state
            || seen->target_slots != own->target_slots
            || !membership_zone_reachable (&sim->nodes[i].m,
                                           own->availability_zone))
          return false;
      }
  return true;
}

/// Checks that the digest is the XOR of all buckets.
static void
check_digest (const struct membership *m)
{
  uint64_t digest = 0;
  for (unsigned i = 0; i < MEMBERSHIP_BUCKETS; i++)
    digest ^= m->buckets[i];
  REQUIRE (digest == m->digest);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 1)
    return 0;
  struct sim sim;
  sim_init (&sim, NODES, 2, data[0]);
  for (unsigned i = 0; i < NODES; i++)
    sim_start (&sim, i);
  for (size_t i = 1; i + 1 < size && i < 80; i += 2)
    {
      apply_action (&sim, data[i], data[i + 1]);
      for (unsigned j = 0; j < NODES; j++)
        if (sim.nodes[j].up)
          check_digest (&sim.nodes[j].m);
    }
  clear_faults (&sim);
  uint64_t end_ms = sim.now_ms + CONVERGENCE_MAX_MS;
  while (!views_agree (&sim) && sim.now_ms < end_ms)
    sim_run (&sim, 250);
  REQUIRE (views_agree (&sim));
  sim_finish (&sim);
  return 0;
}
