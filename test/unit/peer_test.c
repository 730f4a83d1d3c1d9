#include "base/clock.h"
#include "ports.h"
#include "testing.h"
#include "transport/peer_internal.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Nodes with slot ids 1 to 4 listen on loopback; each can look up the address
   of every slot. */

struct node
{
  struct peers *peers;
  struct settings settings;
  struct rng rng;
  unsigned received;
  uint64_t last_from;
  unsigned connect_failures;
};

static struct event_base *base;
static struct node nodes[5];
static uint16_t first_port;

static uint16_t
port_of (uint64_t slot_id)
{
  return (uint16_t)(first_port + slot_id);
}

static bool
find_address (void *arg, uint64_t slot_id, uint32_t *address, uint16_t *port)
{
  *address = 0x7f000001;
  *port = port_of (slot_id);
  return slot_id < 100;
}

static void
on_connect_failed (void *arg, uint64_t slot_id)
{
  ((struct node *)arg)->connect_failures++;
}

static void
on_message (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node *node = arg;
  node->received++;
  node->last_from = from;
}

static void
start_node (uint64_t slot_id, uint64_t listen_as, uint8_t key)
{
  struct node *node = &nodes[slot_id];
  memset (node, 0, sizeof *node);
  strcpy (node->settings.mesh, "test");
  node->settings.address = 0x7f000001;
  node->settings.peer_port = port_of (listen_as);
  node->settings.keys[0].id = 1;
  node->settings.keys[0].bytes[0] = key;
  node->settings.key_count = 1;
  rng_init (&node->rng, slot_id);
  struct peers_options options = { .base = base,
                                   .settings = &node->settings,
                                   .slot_id = slot_id,
                                   .rng = &node->rng,
                                   .address = find_address,
                                   .connect_failed = on_connect_failed,
                                   .arg = node };
  CU_ASSERT_EQUAL_FATAL (peers_start (&node->peers, &options), STATUS_OK);
  peer_register_handler (node->peers, 33, on_message, node);
}

static void
run_for (unsigned ms)
{
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };
  event_base_loopexit (base, &time);
  event_base_dispatch (base);
}

static enum status
send_to (uint64_t from, uint64_t to)
{
  static const uint8_t body[] = { 0x91, 5 };
  return peer_send (nodes[from].peers, to, 33, body, sizeof body);
}

static void
stop_nodes (void)
{
  for (int i = 0; i < 5; i++)
    if (nodes[i].peers != NULL)
      peers_stop (nodes[i].peers);
  memset (nodes, 0, sizeof nodes);
  run_for (10);
}

static void
test_one_connection_for_both (void)
{
  start_node (1, 1, 7);
  start_node (2, 2, 7);
  /* Both connect at the same time. */
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (nodes[1].received, 1);
  CU_ASSERT_EQUAL (nodes[2].received, 1);
  for (int i = 0; i < 24; i++)
    {
      run_for (250);
      send_to (1, 2);
      send_to (2, 1);
    }
  run_for (100);
  CU_ASSERT_EQUAL (nodes[1].received, 25);
  CU_ASSERT_EQUAL (nodes[2].received, 25);
  CU_ASSERT_EQUAL (nodes[1].peers->connection_count, 1);
  CU_ASSERT_EQUAL (nodes[2].peers->connection_count, 1);
  /* A reply uses the connection of the message and needs no address. */
  CU_ASSERT_EQUAL (nodes[2].last_from, 1);
  stop_nodes ();
}

static void
test_replaced_connection_works (void)
{
  start_node (1, 1, 7);
  start_node (2, 2, 7);
  send_to (1, 2);
  run_for (100);
  peer_disconnect (nodes[1].peers, 2);
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (nodes[2].received, 2);
  CU_ASSERT_EQUAL (nodes[1].connect_failures, 0);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (nodes[1].received, 1);
  stop_nodes ();
}

static void
test_failed_connects_back_off (void)
{
  start_node (1, 1, 7);
  CU_ASSERT_EQUAL (send_to (1, 100), STATUS_NOT_FOUND);
  CU_ASSERT_EQUAL (send_to (1, 1), STATUS_NOT_FOUND);
  unsigned refused = 0;
  for (int i = 0; i < 40; i++)
    {
      refused += send_to (1, 3) == STATUS_UNAVAILABLE;
      run_for (25);
    }
  /* 40 messages in a second; the backoff allows only a few connects. */
  CU_ASSERT (refused > 20);
  CU_ASSERT (nodes[1].connect_failures >= 2
             && nodes[1].connect_failures <= 15);
  start_node (3, 3, 7);
  for (int i = 0; i < 100 && nodes[3].received == 0; i++)
    {
      send_to (1, 3);
      run_for (50);
    }
  CU_ASSERT (nodes[3].received > 0);
  stop_nodes ();
}

static void
test_silent_listener_times_out (void)
{
  start_node (1, 1, 7);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port_of (3)),
                                 .sin_addr.s_addr = htonl (0x7f000001) };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  CU_ASSERT_EQUAL_FATAL (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  listen (listener, 5);
  send_to (1, 3);
  run_for (PEER_HANDSHAKE_TIMEOUT_MS - 500);
  CU_ASSERT_EQUAL (nodes[1].connect_failures, 0);
  run_for (1000);
  CU_ASSERT_EQUAL (nodes[1].connect_failures, 1);
  close (listener);
  stop_nodes ();
}

static void
test_wrong_peers_are_rejected (void)
{
  start_node (1, 1, 7);
  start_node (2, 2, 8); /* another mesh key with the same key id */
  start_node (4, 3, 7); /* listens at the address of slot 3 */
  send_to (1, 2);
  send_to (1, 3);
  run_for (300);
  CU_ASSERT_EQUAL (nodes[2].received, 0);
  CU_ASSERT_EQUAL (nodes[4].received, 0);
  CU_ASSERT_EQUAL (nodes[1].connect_failures, 2);
  stop_nodes ();
}

static void
test_seed_by_address (void)
{
  start_node (1, 1, 7);
  start_node (2, 2, 7);
  static const uint8_t body[] = { 0x91, 5 };
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (peer_send_address (nodes[1].peers, 0x7f000001,
                                          port_of (2), 33, body, sizeof body),
                       STATUS_OK);
      run_for (100);
    }
  CU_ASSERT_EQUAL (nodes[2].received, 3);
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (nodes[2].received, 4);
  CU_ASSERT_EQUAL (nodes[1].received, 1);
  CU_ASSERT_EQUAL (nodes[1].peers->connection_count, 1);
  stop_nodes ();
}

static void
test_output_is_bounded (void)
{
  start_node (1, 1, 7);
  start_node (2, 2, 7);
  send_to (1, 2);
  run_for (100);
  size_t size = 512 * 1024;
  uint8_t *body = calloc (1, size);
  body[0] = 0x91;
  body[1] = 0xc6; /* bin32 */
  body[2] = 0;
  body[3] = (uint8_t)((size - 6) >> 16);
  body[4] = (uint8_t)((size - 6) >> 8);
  body[5] = (uint8_t)(size - 6);
  unsigned queued = 0;
  while (queued < 100
         && peer_send (nodes[1].peers, 2, 33, body, size) == STATUS_OK)
    queued++;
  CU_ASSERT (queued >= 6 && queued <= 8);
  CU_ASSERT_EQUAL (peer_send (nodes[1].peers, 2, 33, body, FRAME_PLAIN_MAX),
                   STATUS_TOO_LARGE);
  /* The connection was closed; the next message opens a new one. */
  run_for (100);
  unsigned before = nodes[2].received;
  CU_ASSERT_EQUAL (peer_send (nodes[1].peers, 2, 33, body, size), STATUS_OK);
  run_for (300);
  CU_ASSERT_EQUAL (nodes[2].received, before + 1);
  free (body);
  stop_nodes ();
}

static const struct test_case cases[] = {
  { "two nodes that connect at the same time keep two connections",
    test_one_connection_for_both },
  { "messages are lost after a connection is replaced",
    test_replaced_connection_works },
  { "failed connects are repeated without backoff",
    test_failed_connects_back_off },
  { "a listener that sends no HELLO holds a connection open",
    test_silent_listener_times_out },
  { "an unauthenticated or wrong node exchanges messages",
    test_wrong_peers_are_rejected },
  { "a seed gets a second connection once its slot is known",
    test_seed_by_address },
  { "output to a slow peer grows without bound", test_output_is_bounded },
};

int
main (void)
{
  base = event_base_new ();
  first_port = free_ports (5);
  int code = testing_run ("peer", cases, sizeof cases / sizeof cases[0]);
  event_base_free (base);
  return code;
}
