/// Serves the admin interface of a fake node on 127.0.0.1, for tests of
/// hawthornseam-ctl. Usage: standin-admin PORT LOST_ANSWERS SECONDS. The first
/// LOST_ANSWERS changes are applied, but reported as unknown; running moves
/// are completed every 300 ms; the process exits after SECONDS.
#include "../unit/fake_node.h"

/// Completes all running moves.
static void
complete_moves (evutil_socket_t fd, short events, void *arg)
{
  struct config next;
  const struct config *current = fake_current ();
  if (config_copy (&next, current) != STATUS_OK)
    return;
  for (size_t i = 0; i < current->move_count; i++)
    {
      if (current->moves[i].phase != MOVE_RUNNING)
        continue;
      struct config_move move = current->moves[i];
      struct config_service service = { move.service, move.to };
      move.phase = MOVE_DONE;
      move.share_bp = CONFIG_SHARE_ALL;
      config_set_move (&next, &move);
      config_set_service (&next, &service);
    }
  config_rehash (&next);
  if (!hash_equal (&next.hash, &current->hash))
    fake_accept (&next, "move-driver pecet-1", "", rng_u64 (&fake.node.rng));
  config_finish (&next);
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      fprintf (stderr, "usage: %s PORT LOST_ANSWERS SECONDS\n", argv[0]);
      return 2;
    }
  struct timeval period = { 0, 300000 };
  struct timeval lifetime = { atoi (argv[3]), 0 };
  fake_start ((uint16_t)atoi (argv[1]), true);
  fake.lost_responses = atoi (argv[2]);
  if (node_admin_start (&fake.node) != STATUS_OK)
    {
      fprintf (stderr, "cannot start the admin interface: %s\n",
               status_message ());
      return 1;
    }
  struct event *timer
      = event_new (fake.node.base, -1, EV_PERSIST, complete_moves, NULL);
  event_add (timer, &period);
  puts ("ready");
  fflush (stdout);
  event_base_loopexit (fake.node.base, &lifetime);
  event_base_dispatch (fake.node.base);
  event_free (timer);
  node_admin_stop (&fake.node);
  fake_finish ();
  return 0;
}
