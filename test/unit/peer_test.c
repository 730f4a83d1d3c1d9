#include "base/clock.h"
#include "ports.h"
#include "testing.h"
#include "transport/peer_parts.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Nodes with the slots 1 to 4 listen on loopback; each knows all addresses. */

struct host
{
  struct peers *peers;
  struct settings settings;
  struct rng rng;
  unsigned received;
  uint64_t last_from;
  unsigned failed;
};

static struct event_base *base;
static struct host hosts[5];
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
on_failed (void *arg, uint64_t slot_id)
{
  ((struct host *)arg)->failed++;
}

static void
on_message (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct host *host = arg;
  host->received++;
  host->last_from = from;
}

static void
start_host (uint64_t slot_id, uint64_t listen_as, uint8_t key)
{
  struct host *host = &hosts[slot_id];
  memset (host, 0, sizeof *host);
  strcpy (host->settings.mesh, "test");
  host->settings.address = 0x7f000001;
  host->settings.peer_port = port_of (listen_as);
  host->settings.keys[0].id = 1;
  host->settings.keys[0].bytes[0] = key;
  host->settings.key_count = 1;
  rng_init (&host->rng, slot_id);
  struct peers_options options = { .base = base,
                                   .settings = &host->settings,
                                   .slot_id = slot_id,
                                   .rng = &host->rng,
                                   .address = find_address,
                                   .connect_failed = on_failed,
                                   .arg = host };
  CU_ASSERT_EQUAL_FATAL (peers_start (&host->peers, &options), STATUS_OK);
  peer_handle (host->peers, 33, on_message, host);
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
  return peer_send (hosts[from].peers, to, 33, body, sizeof body);
}

static void
stop_hosts (void)
{
  for (int i = 0; i < 5; i++)
    if (hosts[i].peers != NULL)
      peers_stop (hosts[i].peers);
  memset (hosts, 0, sizeof hosts);
  run_for (10);
}

static void
test_one_connection_for_both (void)
{
  start_host (1, 1, 7);
  start_host (2, 2, 7);
  /* Both connect at the same time. */
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (hosts[1].received, 1);
  CU_ASSERT_EQUAL (hosts[2].received, 1);
  for (int i = 0; i < 24; i++)
    {
      run_for (250);
      send_to (1, 2);
      send_to (2, 1);
    }
  run_for (100);
  CU_ASSERT_EQUAL (hosts[1].received, 25);
  CU_ASSERT_EQUAL (hosts[2].received, 25);
  CU_ASSERT_EQUAL (hosts[1].peers->connection_count, 1);
  CU_ASSERT_EQUAL (hosts[2].peers->connection_count, 1);
  /* An answer needs no address of the other end. */
  CU_ASSERT_EQUAL (hosts[2].last_from, 1);
  stop_hosts ();
}

static void
test_replaced_connection_works (void)
{
  start_host (1, 1, 7);
  start_host (2, 2, 7);
  send_to (1, 2);
  run_for (100);
  peer_replace (hosts[1].peers, 2);
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (hosts[2].received, 2);
  CU_ASSERT_EQUAL (hosts[1].failed, 0);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (hosts[1].received, 1);
  stop_hosts ();
}

static void
test_failed_connects_back_off (void)
{
  start_host (1, 1, 7);
  CU_ASSERT_EQUAL (send_to (1, 100), STATUS_NOT_FOUND);
  CU_ASSERT_EQUAL (send_to (1, 1), STATUS_NOT_FOUND);
  unsigned refused = 0;
  for (int i = 0; i < 40; i++)
    {
      refused += send_to (1, 3) == STATUS_UNAVAILABLE;
      run_for (25);
    }
  /* 40 attempts in a second; the backoff lets a few of them connect. */
  CU_ASSERT (refused > 20);
  CU_ASSERT (hosts[1].failed >= 2 && hosts[1].failed <= 15);
  start_host (3, 3, 7);
  for (int i = 0; i < 100 && hosts[3].received == 0; i++)
    {
      send_to (1, 3);
      run_for (50);
    }
  CU_ASSERT (hosts[3].received > 0);
  stop_hosts ();
}

static void
test_silent_listener_times_out (void)
{
  start_host (1, 1, 7);
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
  run_for (PEER_HELLO_MS - 500);
  CU_ASSERT_EQUAL (hosts[1].failed, 0);
  run_for (1000);
  CU_ASSERT_EQUAL (hosts[1].failed, 1);
  close (listener);
  stop_hosts ();
}

static void
test_strangers_are_refused (void)
{
  start_host (1, 1, 7);
  start_host (2, 2, 8); /* another mesh key under the same id */
  start_host (4, 3, 7); /* listens at the address of slot 3 */
  send_to (1, 2);
  send_to (1, 3);
  run_for (300);
  CU_ASSERT_EQUAL (hosts[2].received, 0);
  CU_ASSERT_EQUAL (hosts[4].received, 0);
  CU_ASSERT_EQUAL (hosts[1].failed, 2);
  stop_hosts ();
}

static void
test_seed_by_address (void)
{
  start_host (1, 1, 7);
  start_host (2, 2, 7);
  static const uint8_t body[] = { 0x91, 5 };
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (peer_send_address (hosts[1].peers, 0x7f000001,
                                          port_of (2), 33, body, sizeof body),
                       STATUS_OK);
      run_for (100);
    }
  CU_ASSERT_EQUAL (hosts[2].received, 3);
  CU_ASSERT_EQUAL (send_to (1, 2), STATUS_OK);
  CU_ASSERT_EQUAL (send_to (2, 1), STATUS_OK);
  run_for (100);
  CU_ASSERT_EQUAL (hosts[2].received, 4);
  CU_ASSERT_EQUAL (hosts[1].received, 1);
  CU_ASSERT_EQUAL (hosts[1].peers->connection_count, 1);
  stop_hosts ();
}

static void
test_output_is_bounded (void)
{
  start_host (1, 1, 7);
  start_host (2, 2, 7);
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
         && peer_send (hosts[1].peers, 2, 33, body, size) == STATUS_OK)
    queued++;
  CU_ASSERT (queued >= 6 && queued <= 8);
  CU_ASSERT_EQUAL (peer_send (hosts[1].peers, 2, 33, body, FRAME_PLAIN_MAX),
                   STATUS_TOO_LARGE);
  /* The connection was dropped; the next one works. */
  run_for (100);
  unsigned before = hosts[2].received;
  CU_ASSERT_EQUAL (peer_send (hosts[1].peers, 2, 33, body, size), STATUS_OK);
  run_for (300);
  CU_ASSERT_EQUAL (hosts[2].received, before + 1);
  free (body);
  stop_hosts ();
}

static const struct test_case cases[] = {
  { "two nodes keep two connections", test_one_connection_for_both },
  { "a replaced connection stays silent", test_replaced_connection_works },
  { "failing connects repeat without pause", test_failed_connects_back_off },
  { "a listener without HELLO holds a connection",
    test_silent_listener_times_out },
  { "a stranger gets or sends messages", test_strangers_are_refused },
  { "a seed is connected twice", test_seed_by_address },
  { "a slow peer fills the memory", test_output_is_bounded },
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
