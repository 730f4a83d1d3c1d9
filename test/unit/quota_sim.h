/// Virtual-time simulation of the quota's decision modules: entry nodes with
/// shares, owners with tables, a store whose view each node compares with from
/// time to time, and messages that take time, are held up by frozen nodes and
/// lost between separated ones. One step is 1 ms. The glue of src/sidecar is
/// represented by the functions sim_*; the decisions are those of the product.
#ifndef HAWTHORNSEAM_TEST_QUOTA_SIM_H
#define HAWTHORNSEAM_TEST_QUOTA_SIM_H

#include "base/rng.h"
#include "coordination/quota_rank.h"
#include "coordination/quota_share.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_START_MS 1000000
#define SIM_WINDOW_MS 5000
#define SIM_DELAY_MS 1     ///< one way
#define SIM_TIMEOUT_MS 200 ///< QUOTA_ASK_TIMEOUT_MS of the sidecar
#define SIM_DOWN_MS 200    ///< QUOTA_DOWN_MS of the sidecar
#define SIM_DECIDE_MS 360  ///< longest wait, for a deadline of 600 ms
#define SIM_HELD_MAX 512   ///< waiting requests of an account at a node
#define SIM_BATCH 256      ///< accounts in a message
#define SIM_RING 16384     ///< steps that messages can be ahead
#define SIM_LEASE_MS 7000  ///< lease of an entry in the store
#define SIM_RENEW_MS 2200
#define SIM_MISSING_MS 2200 ///< DIRECTORY_MISSING_MS
#define SIM_CHECK_MS 1500   ///< longest pause of a node's watch
#define SIM_VERSIONS 512    ///< changes of the directory
#define SIM_BYTES_HEAD 160  ///< of a request and its response, with HTTP
#define SIM_BYTES_ITEM 40

struct sim_entry
{
  struct quota_share share;
  bool asking;
  bool queued;
  uint64_t owner_seen; ///< node ranked first when it last reported, plus 1
  uint32_t waiting;
  uint32_t until_ms[SIM_HELD_MAX];
};

struct sim_owner
{
  struct quota_tenure tenure;
  struct quota_owner owner;
};

struct sim_account
{
  char name[32];
  struct quota_limit limit;
  double demand_per_s;
  uint32_t callers; ///< nodes that its requests enter at
  uint32_t first;   ///< the first of them; the others follow at `stride`
  uint32_t stride;
  uint32_t *admitted; ///< by ms
  double ideal_tokens;
  uint64_t offered;
  uint64_t total;
  uint64_t ideal;
  uint64_t rejected;
  uint64_t undecided;
};

struct sim_item
{
  uint32_t account;
  struct quota_report report;
  struct quota_answer answer;
};

struct sim_message
{
  struct sim_message *next;
  bool is_answer;
  uint32_t from;
  uint32_t to;
  uint64_t sent_ms; ///< of the report
  uint64_t number;  ///< of the report
  uint32_t count;
  struct sim_item items[];
};

struct sim_peer
{
  uint64_t number; ///< of the report under way; 0: none
  uint64_t sent_ms;
  uint64_t down_until_ms;
  uint32_t queued[SIM_BATCH];
  uint32_t queued_count;
  struct sim_item asked[SIM_BATCH];
  uint32_t asked_count;
};

struct sim_node
{
  bool alive;
  bool leaving;
  bool listed;
  bool store_away;
  uint64_t process;
  uint64_t started_ms;
  uint64_t listed_ms;
  uint64_t renewed_ms; ///< its lease in the store
  uint64_t frozen_until_ms;
  unsigned group; ///< nodes of different groups do not reach each other
  uint32_t view;  ///< version of the directory that it has
  uint64_t checked_ms;
  struct sim_entry **entries;
  struct sim_owner **owners;
  struct sim_peer **peers;
  bool has_queued;
};

struct sim
{
  uint32_t node_count;
  uint32_t account_count;
  uint64_t now;
  uint64_t length_ms;
  struct rng rng;
  struct directory directory; ///< all nodes
  bool store_down;
  uint32_t version; ///< newest one in the store
  bool *listed[SIM_VERSIONS];
  struct quota_rank *ranks[SIM_VERSIONS]; ///< by account; nodes 0: not known
  bool young[SIM_VERSIONS];
  struct sim_node *nodes;
  struct sim_account *accounts;
  struct sim_message *ring[SIM_RING];
  uint64_t last_number;
  uint64_t messages;
  uint64_t bytes;
  uint64_t asked; ///< requests that waited for a message
  uint64_t lost_tables;
  uint64_t waited_ms;
  uint64_t count_from_ms; ///< requests before are only checked against the
                          ///< bound
};

/* Directory */

/// The directory has changed in the store.
static inline void
sim_publish (struct sim *sim)
{
  sim->version++;
  if (sim->version == SIM_VERSIONS)
    abort ();
  bool *listed = calloc (sim->node_count, sizeof *listed);
  uint64_t first = UINT64_MAX;
  uint64_t last = 0;
  for (uint32_t n = 0; n < sim->node_count; n++)
    {
      listed[n] = sim->nodes[n].listed;
      if (!listed[n])
        continue;
      first = sim->nodes[n].started_ms < first ? sim->nodes[n].started_ms
                                               : first;
      last = sim->nodes[n].started_ms > last ? sim->nodes[n].started_ms : last;
    }
  sim->listed[sim->version] = listed;
  sim->young[sim->version] = first + QUOTA_SPREAD_MS >= last;
}

static inline const struct quota_rank *
sim_rank (struct sim *sim, uint32_t view, uint32_t a)
{
  if (sim->ranks[view] == NULL)
    sim->ranks[view] = calloc (sim->account_count, sizeof (struct quota_rank));
  struct quota_rank *rank = &sim->ranks[view][a];
  if (rank->nodes > 0)
    return rank;
  for (uint32_t n = 0; n < sim->node_count; n++)
    sim->directory.records[n].used = sim->listed[view][n];
  quota_rank_choose (&sim->directory, quota_rank_group (sim->accounts[a].name),
                     rank);
  return rank;
}

/// Node that ranks first for an account in the newest directory.
static inline uint32_t
sim_owner_of (struct sim *sim, uint32_t a)
{
  return (uint32_t)sim_rank (sim, sim->version, a)->handles[0];
}

/* Set-up */

static inline void
sim_start_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  *node = (struct sim_node){ .alive = true,
                             .listed = true,
                             .process = ++sim->last_number,
                             .started_ms = sim->now,
                             .listed_ms = sim->now,
                             .renewed_ms = sim->now,
                             .checked_ms = sim->now,
                             .group = node->group };
  node->entries = calloc (sim->account_count, sizeof *node->entries);
  node->owners = calloc (sim->account_count, sizeof *node->owners);
  node->peers = calloc (sim->node_count, sizeof *node->peers);
}

static inline void
sim_kill (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  if (!node->alive)
    return;
  node->alive = false;
  for (uint32_t a = 0; a < sim->account_count; a++)
    {
      if (node->entries[a] != NULL)
        sim->accounts[a].undecided += node->entries[a]->waiting;
      free (node->entries[a]);
      if (node->owners[a] != NULL)
        quota_owner_finish (&node->owners[a]->owner);
      free (node->owners[a]);
    }
  for (uint32_t p = 0; p < sim->node_count; p++)
    free (node->peers[p]);
  free (node->entries);
  free (node->owners);
  free (node->peers);
}

static inline struct sim *
sim_new (uint32_t nodes, uint32_t accounts, uint64_t length_ms, uint64_t seed)
{
  struct sim *sim = calloc (1, sizeof *sim);
  sim->node_count = nodes;
  sim->account_count = accounts;
  sim->length_ms = length_ms;
  sim->now = SIM_START_MS;
  sim->nodes = calloc (nodes, sizeof *sim->nodes);
  sim->accounts = calloc (accounts, sizeof *sim->accounts);
  rng_init (&sim->rng, seed);
  directory_init (&sim->directory);
  for (uint32_t n = 0; n < nodes; n++)
    {
      struct directory_entry entry
          = { .state = DIRECTORY_READY, .port = 1, .address = 1, .epoch = 1 };
      snprintf (entry.node, sizeof entry.node, "node-%u", n);
      directory_put (&sim->directory, &entry, 5, 0);
      sim_start_node (sim, n);
    }
  sim_publish (sim);
  for (uint32_t n = 0; n < nodes; n++)
    sim->nodes[n].view = sim->version;
  for (uint32_t a = 0; a < accounts; a++)
    {
      struct sim_account *account = &sim->accounts[a];
      snprintf (account->name, sizeof account->name, "account-%u", a);
      account->admitted = calloc (length_ms + 1, sizeof *account->admitted);
      account->callers = nodes;
      account->stride = 1;
      account->first = 7 * a % nodes;
    }
  return sim;
}

/// @param usual_per_s  usual demand; the quota is 1.6 times of it
static inline void
sim_set_account (struct sim *sim, uint32_t a, double usual_per_s, double burst)
{
  struct sim_account *account = &sim->accounts[a];
  account->demand_per_s = usual_per_s;
  account->limit.rate_per_s = 1.6 * usual_per_s;
  account->limit.burst = burst;
}

static inline void
sim_free (struct sim *sim)
{
  for (uint32_t n = 0; n < sim->node_count; n++)
    sim_kill (sim, n);
  for (uint32_t a = 0; a < sim->account_count; a++)
    free (sim->accounts[a].admitted);
  for (size_t i = 0; i < SIM_RING; i++)
    while (sim->ring[i] != NULL)
      {
        struct sim_message *message = sim->ring[i];
        sim->ring[i] = message->next;
        free (message);
      }
  for (uint32_t v = 0; v <= sim->version; v++)
    {
      free (sim->listed[v]);
      free (sim->ranks[v]);
    }
  directory_finish (&sim->directory);
  free (sim->nodes);
  free (sim->accounts);
  free (sim);
}

/* Owner */

static inline struct sim_owner *
sim_owner (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->owners[a] == NULL)
    {
      node->owners[a] = calloc (1, sizeof *node->owners[a]);
      quota_owner_init (&node->owners[a]->owner);
    }
  struct sim_owner *owner = node->owners[a];
  const struct quota_rank *rank = sim_rank (sim, node->view, a);
  struct quota_standing standing = {
    .first
    = rank->handles[0] == n && !(node->leaving && owner->tenure.handed_over),
    .fresh = sim->now - node->checked_ms <= QUOTA_FRESH_MS,
    .joined = sim->now - node->listed_ms < QUOTA_JOIN_MS,
    .young = sim->young[node->view],
    .starting = sim->now - node->started_ms < QUOTA_SPREAD_MS,
  };
  quota_owner_set_limit (&owner->owner, &sim->accounts[a].limit);
  quota_tenure_observe (&owner->tenure, &standing, sim->now);
  return owner;
}

/// The table arrives after a while; frozen and separated nodes lose it.
static inline void
sim_hand_over (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_owner *from = sim_owner (sim, n, a);
  const struct quota_rank *rank = sim_rank (sim, sim->nodes[n].view, a);
  size_t to = rank->handles[rank->handles[0] == n];
  if (!quota_tenure_hands_over (&from->tenure, sim->nodes[n].leaving,
                                sim->now))
    return;
  quota_tenure_end (&from->tenure);
  if (to == SIZE_MAX || !sim->nodes[to].alive
      || sim->nodes[to].group != sim->nodes[n].group
      || sim->now < sim->nodes[to].frozen_until_ms)
    {
      sim->lost_tables++;
      return;
    }
  struct sim_owner *taker = sim_owner (sim, (uint32_t)to, a);
  if (!quota_tenure_accept (&taker->tenure,
                            quota_tenure_unused_ms (&from->tenure, sim->now),
                            sim->now))
    return;
  sim->messages++;
  sim->bytes += SIM_BYTES_HEAD + SIM_BYTES_ITEM * from->owner.count;
  quota_owner_accept (&taker->owner, &taker->tenure, from->owner.tokens,
                      sim->now);
  for (size_t i = 0; i < from->owner.count; i++)
    {
      struct quota_holder holder = from->owner.holders[i];
      holder.process = 0;
      holder.sequence = 0;
      if (sim->now < holder.until_ms)
        quota_owner_accept_holder (&taker->owner, &holder);
    }
}

/* Entry node */

static inline void sim_pump (struct sim *sim, uint32_t n, uint32_t a);

static inline struct sim_entry *
sim_entry (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->entries[a] == NULL)
    {
      node->entries[a] = calloc (1, sizeof *node->entries[a]);
      quota_share_init (&node->entries[a]->share);
    }
  quota_share_set_limit (&node->entries[a]->share, &sim->accounts[a].limit);
  return node->entries[a];
}

static inline struct sim_peer *
sim_peer (struct sim *sim, uint32_t n, uint32_t p)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->peers[p] == NULL)
    node->peers[p] = calloc (1, sizeof *node->peers[p]);
  return node->peers[p];
}

static inline void
sim_put (struct sim *sim, struct sim_message *message, uint64_t at_ms)
{
  struct sim_message **place = &sim->ring[at_ms % SIM_RING];
  while (*place != NULL)
    place = &(*place)->next;
  message->next = NULL;
  *place = message;
}

static inline void
sim_post (struct sim *sim, struct sim_message *message)
{
  sim->messages++;
  sim->bytes += SIM_BYTES_HEAD + SIM_BYTES_ITEM * message->count;
  sim_put (sim, message, sim->now + SIM_DELAY_MS);
}

static inline void
sim_admit (struct sim *sim, uint32_t a, uint64_t until_ms)
{
  struct sim_account *account = &sim->accounts[a];
  account->admitted[sim->now - SIM_START_MS]++;
  if (sim->now < SIM_START_MS + sim->count_from_ms)
    return;
  account->total++;
  if (until_ms != 0)
    sim->waited_ms += sim->now + SIM_DECIDE_MS - until_ms;
}

static inline void
sim_remove (struct sim_entry *entry, uint32_t index)
{
  memmove (&entry->until_ms[index], &entry->until_ms[index + 1],
           (entry->waiting - index - 1) * sizeof entry->until_ms[0]);
  entry->waiting--;
}

static inline void
sim_serve (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  struct quota_token token;
  while (entry->waiting > 0
         && quota_share_take (&entry->share, &token, sim->now))
    {
      sim_admit (sim, a, entry->until_ms[0]);
      sim_remove (entry, 0);
    }
}

static inline void
sim_end_before (struct sim *sim, uint32_t n, uint32_t a, uint64_t time_ms)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  for (uint32_t i = 0; i < entry->waiting;)
    if (entry->until_ms[i] < time_ms)
      {
        if (entry->share.over_wait_ms > 0)
          sim->accounts[a].rejected++;
        else
          sim->accounts[a].undecided++;
        sim_remove (entry, i);
      }
    else
      i++;
}

static inline void
sim_apply (struct sim *sim, uint32_t n, uint32_t a,
           const struct quota_answer *answer, uint32_t pending,
           uint64_t sent_ms)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  if (answer == NULL || answer->verdict == QUOTA_NOT_READY)
    {
      quota_share_undecided (&entry->share, entry->waiting > 0, sim->now);
      while (
          entry->waiting > 0
          && quota_share_take_local (&entry->share, sim->node_count, sim->now))
        {
          sim_admit (sim, a, entry->until_ms[0]);
          sim_remove (entry, 0);
        }
    }
  else
    {
      quota_share_decided (&entry->share, answer, pending, sent_ms, sim->now);
      sim_serve (sim, n, a);
      sim_end_before (sim, n, a,
                      quota_share_reject_before (&entry->share, sim->now));
    }
  if (entry->waiting > 0)
    sim_pump (sim, n, a);
}

static inline void
sim_report (struct sim *sim, uint32_t n, uint32_t a,
            struct quota_report *report, uint64_t sequence)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  *report = (struct quota_report){ 0 };
  quota_share_report (&entry->share, report, sim->now);
  report->node = n + 1;
  report->process = sim->nodes[n].process;
  report->sequence = sequence;
  report->pending = entry->waiting;
}

static inline void
sim_send_queued (struct sim *sim, uint32_t n, uint32_t p)
{
  struct sim_peer *peer = sim_peer (sim, n, p);
  if (peer->number != 0 || peer->queued_count == 0)
    return;
  struct sim_message *message = calloc (
      1, sizeof *message + peer->queued_count * sizeof message->items[0]);
  peer->number = ++sim->last_number;
  for (uint32_t i = 0; i < peer->queued_count; i++)
    {
      uint32_t a = peer->queued[i];
      struct sim_entry *entry = sim_entry (sim, n, a);
      entry->queued = false;
      if (entry->asking
          || (entry->waiting == 0
              && !quota_share_is_due (&entry->share, sim->now)))
        continue;
      entry->asking = true;
      struct sim_item *item = &message->items[message->count];
      item->account = a;
      sim_report (sim, n, a, &item->report, peer->number);
      peer->asked[message->count++] = *item;
    }
  peer->queued_count = 0;
  if (message->count == 0)
    {
      peer->number = 0;
      free (message);
      return;
    }
  peer->asked_count = message->count;
  peer->sent_ms = sim->now;
  message->from = n;
  message->to = p;
  message->number = peer->number;
  sim_post (sim, message);
}

static inline void
sim_pump (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  struct sim_entry *entry = sim_entry (sim, n, a);
  const struct quota_rank *rank = sim_rank (sim, node->view, a);
  if (entry->owner_seen != rank->handles[0] + 1)
    {
      entry->owner_seen = rank->handles[0] + 1;
      entry->share.next_report_ms = 0;
      entry->share.second_until_ms = 0;
    }
  sim_serve (sim, n, a);
  bool asks = entry->waiting > 0 && sim->now >= entry->share.next_ask_ms;
  if (entry->asking || entry->queued
      || (!asks && !quota_share_is_due (&entry->share, sim->now)))
    return;
  size_t handle
      = rank->handles[asks
                      && quota_share_asks_second (&entry->share, sim->now)];
  if (handle == n)
    {
      struct quota_report report;
      sim_report (sim, n, a, &report, ++sim->last_number);
      struct sim_owner *owner = sim_owner (sim, n, a);
      struct quota_answer answer = quota_owner_report (
          &owner->owner, &owner->tenure, &report, sim->now);
      sim_apply (sim, n, a, &answer, report.pending, sim->now);
      return;
    }
  struct sim_peer *peer
      = handle == SIZE_MAX ? NULL : sim_peer (sim, n, (uint32_t)handle);
  if (peer != NULL && sim->now >= peer->down_until_ms
      && peer->queued_count < SIM_BATCH)
    {
      entry->queued = true;
      peer->queued[peer->queued_count++] = a;
      node->has_queued = true;
    }
  else if (asks)
    sim_apply (sim, n, a, NULL, 0, sim->now);
}

static inline void
sim_arrive (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  struct quota_token token;
  quota_share_arrive (&entry->share, sim->now);
  if (entry->waiting == 0
      && quota_share_take (&entry->share, &token, sim->now))
    sim_admit (sim, a, 0);
  else if (quota_share_is_far_over (&entry->share, sim->now)
           || entry->waiting == SIM_HELD_MAX)
    sim->accounts[a].rejected++;
  else if (quota_share_is_hopeless (&entry->share, entry->waiting, sim->now))
    {
      if (quota_share_take_local (&entry->share, sim->node_count, sim->now))
        sim_admit (sim, a, 0);
      else
        sim->accounts[a].undecided++;
    }
  else
    {
      sim->asked += sim->now >= SIM_START_MS + sim->count_from_ms;
      entry->until_ms[entry->waiting++] = (uint32_t)sim->now + SIM_DECIDE_MS;
      sim_pump (sim, n, a);
    }
}

static inline void
sim_receive (struct sim *sim, struct sim_message *message)
{
  struct sim_node *node = &sim->nodes[message->to];
  uint32_t n = message->to;
  if (!node->alive || node->group != sim->nodes[message->from].group)
    {
      free (message);
      return;
    }
  if (sim->now < node->frozen_until_ms)
    {
      sim_put (sim, message, node->frozen_until_ms);
      return;
    }
  if (!message->is_answer)
    {
      for (uint32_t i = 0; i < message->count; i++)
        {
          struct sim_item *item = &message->items[i];
          struct sim_owner *owner = sim_owner (sim, n, item->account);
          item->answer = quota_owner_report (&owner->owner, &owner->tenure,
                                             &item->report, sim->now);
        }
      message->is_answer = true;
      message->to = message->from;
      message->from = n;
      sim_post (sim, message);
      return;
    }
  struct sim_peer *peer = sim_peer (sim, n, message->from);
  if (message->number == peer->number)
    {
      uint64_t sent_ms = peer->sent_ms;
      peer->number = 0;
      for (uint32_t i = 0; i < message->count; i++)
        sim_entry (sim, n, message->items[i].account)->asking = false;
      for (uint32_t i = 0; i < message->count; i++)
        sim_apply (sim, n, message->items[i].account,
                   &message->items[i].answer, message->items[i].report.pending,
                   sent_ms);
    }
  free (message);
}

static inline void
sim_time_out (struct sim *sim, uint32_t n)
{
  for (uint32_t p = 0; p < sim->node_count; p++)
    {
      struct sim_peer *peer = sim->nodes[n].peers[p];
      if (peer == NULL || peer->number == 0
          || sim->now - peer->sent_ms < SIM_TIMEOUT_MS)
        continue;
      peer->number = 0;
      peer->down_until_ms = sim->now + SIM_DOWN_MS;
      for (uint32_t i = 0; i < peer->asked_count; i++)
        sim_entry (sim, n, peer->asked[i].account)->asking = false;
      for (uint32_t i = 0; i < peer->asked_count; i++)
        sim_apply (sim, n, peer->asked[i].account, NULL, 0, sim->now);
    }
}

/* Running */

static inline void
sim_offer (struct sim *sim, uint32_t a)
{
  struct sim_account *account = &sim->accounts[a];
  double rate = account->demand_per_s / 1000;
  account->ideal_tokens
      = fmin (account->limit.burst > 1 ? account->limit.burst : 1,
              account->ideal_tokens + account->limit.rate_per_s / 1000);
  /* The sum of exponential times gives a Poisson number of arrivals. */
  for (double t = -log (1 - rng_unit (&sim->rng)); t < rate;
       t -= log (1 - rng_unit (&sim->rng)))
    {
      uint32_t k = (uint32_t)rng_below (&sim->rng, account->callers);
      uint32_t n = (account->first + k * account->stride) % sim->node_count;
      /* The callers of a node that is not there use the next one. */
      for (uint32_t i = 0; i < sim->node_count
                           && (!sim->nodes[n].alive || sim->nodes[n].leaving);
           i++)
        n = (n + 1) % sim->node_count;
      if (!sim->nodes[n].alive || sim->now < sim->nodes[n].frozen_until_ms)
        continue;
      bool counted = sim->now >= SIM_START_MS + sim->count_from_ms;
      account->offered += counted;
      if (account->ideal_tokens >= 1)
        {
          account->ideal_tokens--;
          account->ideal += counted;
        }
      sim_arrive (sim, n, a);
    }
}

/// The node's contact with the store.
static inline void
sim_step_store (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  bool reaches = node->alive && !node->store_away && !sim->store_down
                 && sim->now >= node->frozen_until_ms;
  if (sim->store_down)
    node->renewed_ms += 10;
  if (reaches && sim->now - node->renewed_ms >= SIM_RENEW_MS)
    node->renewed_ms = sim->now;
  if (node->listed
      && sim->now - node->renewed_ms >= SIM_LEASE_MS + SIM_MISSING_MS)
    {
      node->listed = false;
      sim_publish (sim);
    }
  if (reaches && !node->listed && !node->leaving)
    {
      node->listed = true;
      node->listed_ms = sim->now;
      sim_publish (sim);
    }
  if (reaches && (sim->now + 37 * n) % SIM_CHECK_MS < 10)
    {
      node->view = sim->version;
      node->checked_ms = sim->now;
    }
}

static inline void
sim_step_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  if ((sim->now + n) % 10 == 0)
    sim_step_store (sim, n);
  if (!node->alive || sim->now < node->frozen_until_ms)
    return;
  bool has_queued = node->has_queued;
  node->has_queued = false;
  for (uint32_t p = 0; has_queued && p < sim->node_count; p++)
    if (node->peers[p] != NULL)
      {
        sim_send_queued (sim, n, p);
        node->has_queued |= node->peers[p]->queued_count > 0;
      }
  if ((sim->now + n) % 5 == 0)
    sim_time_out (sim, n);
  if ((sim->now + n) % 20 == 0)
    for (uint32_t a = 0; a < sim->account_count; a++)
      if (node->entries[a] != NULL)
        {
          sim_pump (sim, n, a);
          sim_end_before (sim, n, a, sim->now + 1);
        }
  if ((sim->now + n) % 200 == 0)
    for (uint32_t a = 0; a < sim->account_count; a++)
      if (node->owners[a] != NULL
          || sim_rank (sim, node->view, a)->handles[0] == n)
        sim_hand_over (sim, n, a);
}

/// Runs to a time after the start.
static inline void
sim_run (struct sim *sim, uint64_t until_ms)
{
  for (; sim->now < SIM_START_MS + until_ms; sim->now++)
    {
      struct sim_message *due = sim->ring[sim->now % SIM_RING];
      sim->ring[sim->now % SIM_RING] = NULL;
      while (due != NULL)
        {
          struct sim_message *next = due->next;
          sim_receive (sim, due);
          due = next;
        }
      for (uint32_t a = 0; a < sim->account_count; a++)
        sim_offer (sim, a);
      for (uint32_t n = 0; n < sim->node_count; n++)
        sim_step_node (sim, n);
    }
}

/// A planned stop begins: the node hands over and its entry says so.
static inline void
sim_leave (struct sim *sim, uint32_t n)
{
  sim->nodes[n].leaving = true;
  for (uint32_t a = 0; a < sim->account_count; a++)
    {
      if (sim->nodes[n].entries[a] != NULL)
        {
          quota_share_release (&sim->nodes[n].entries[a]->share, sim->now);
          sim_pump (sim, n, a);
        }
      sim_hand_over (sim, n, a);
    }
  sim->nodes[n].listed = false;
  sim_publish (sim);
}

/// A killed node starts again with empty memory.
static inline void
sim_restart (struct sim *sim, uint32_t n)
{
  sim_start_node (sim, n);
  sim_publish (sim);
  sim->nodes[n].view = sim->version;
}

/* Results */

/// @return the largest number of admitted requests in a window minus the
///         bound; below 0: all were within it
static inline double
sim_excess (const struct sim *sim, uint32_t a)
{
  const struct sim_account *account = &sim->accounts[a];
  uint64_t sum = 0;
  uint64_t worst = 0;
  for (uint64_t t = 0; t < sim->length_ms; t++)
    {
      sum += account->admitted[t];
      if (t >= SIM_WINDOW_MS)
        sum -= account->admitted[t - SIM_WINDOW_MS];
      worst = sum > worst ? sum : worst;
    }
  double bound = (account->limit.rate_per_s * SIM_WINDOW_MS / 1000
                  + account->limit.burst)
                     * 1.1
                 + 20;
  return (double)worst - bound;
}

static inline double
sim_worst_excess (const struct sim *sim)
{
  double worst = -1e9;
  for (uint32_t a = 0; a < sim->account_count; a++)
    worst = fmax (worst, sim_excess (sim, a));
  return worst;
}

struct sim_sums
{
  double offered;
  double admitted;
  double wrong; ///< not admitted although one bucket for all nodes would have
  double worst; ///< largest such share of an account
};

static inline struct sim_sums
sim_sums (const struct sim *sim)
{
  struct sim_sums sums = { 0 };
  for (uint32_t a = 0; a < sim->account_count; a++)
    {
      const struct sim_account *account = &sim->accounts[a];
      sums.offered += (double)account->offered;
      sums.admitted += (double)account->total;
      if (account->ideal <= account->total)
        continue;
      double wrong = (double)(account->ideal - account->total);
      sums.wrong += wrong;
      sums.worst = fmax (sums.worst, wrong / (double)account->offered);
    }
  return sums;
}

#endif
