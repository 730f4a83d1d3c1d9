/// Virtual-time simulation of the quota's decision modules: entry nodes with
/// leases, owners with buckets, and messages between them that take time, are
/// held up by frozen nodes and lost between separated ones. One step is 1 ms.
/// The glue of src/sidecar is represented by the functions sim_*; the
/// decisions are those of the product.
#ifndef HAWTHORNSEAM_TEST_QUOTA_SIM_H
#define HAWTHORNSEAM_TEST_QUOTA_SIM_H

#include "base/hash.h"
#include "base/rng.h"
#include "coordination/quota_lease.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_WINDOW_MS 5000
#define SIM_DELAY_MS 1     ///< one way
#define SIM_TIMEOUT_MS 200 ///< QUOTA_ASK_TIMEOUT_MS of the sidecar
#define SIM_DOWN_MS 400    ///< QUOTA_DOWN_MS of the sidecar
#define SIM_DECIDE_MS 360  ///< longest wait, for a deadline of 600 ms
#define SIM_HELD_MAX 512   ///< waiting requests of an account at a node
#define SIM_BATCH 256      ///< accounts in a message
#define SIM_RING 16384     ///< steps that messages can be ahead
#define SIM_BYTES_HEAD 60  ///< JSON around the items, without HTTP
#define SIM_BYTES_ITEM 22

enum sim_mode
{
  SIM_LEASE, ///< the product
  SIM_SPLIT, ///< static: each node has rate / nodes
  SIM_SHARES ///< each node's share follows its part of the observed demand
};

struct sim_entry
{
  struct quota_lease lease;
  bool asking;
  bool queued;
  uint32_t waiting;
  uint32_t until_ms[SIM_HELD_MAX];
};

struct sim_local
{
  double tokens;
  uint64_t refilled_ms;
  double seen;   ///< requests in this second
  double before; ///< requests in the second before
};

struct sim_account
{
  char name[32];
  struct quota_limit limit;
  double demand_per_s;
  unsigned zone;      ///< that all of its demand comes from; 0: all zones
  uint32_t *admitted; ///< by ms
  double ideal_tokens;
  uint64_t offered;
  uint64_t total;
  uint64_t ideal;
  uint64_t rejected;
  uint64_t undecided;
};

enum sim_kind
{
  SIM_ASK,
  SIM_ANSWER,
  SIM_VOTE,
  SIM_VOTE_ANSWER
};

struct sim_item
{
  uint32_t account;
  uint32_t pending;
  uint32_t expected;
  uint32_t returned;
  bool ready;
  uint32_t tokens;
  uint32_t wait_ms;
};

struct sim_message
{
  struct sim_message *next;
  enum sim_kind kind;
  uint32_t from;
  uint32_t to;
  uint64_t lender;
  uint64_t sent_ms; ///< of the request
  uint64_t number;  ///< of the request
  uint32_t count;
  struct sim_item items[SIM_BATCH];
};

struct sim_peer
{
  uint64_t number; ///< of the request under way; 0: none
  uint64_t sent_ms;
  uint64_t down_until_ms;
  uint64_t lender;
  uint32_t queued[SIM_BATCH];
  uint32_t queued_count;
  uint32_t asked[SIM_BATCH];
  uint32_t asked_count;
  uint64_t vote_number;
  uint64_t vote_sent_ms;
  uint32_t votes[SIM_BATCH];
  uint32_t vote_count;
};

struct sim_node
{
  bool alive;
  uint64_t lender;
  uint64_t frozen_until_ms;
  unsigned group; ///< nodes of different groups do not reach each other
  unsigned zone;  ///< 1 to 3
  bool store_away;
  unsigned view; ///< index of the directory that it has
  struct sim_entry **entries;
  struct quota_owner **owners;
  struct sim_local *locals;
  struct sim_peer **peers;
  bool has_queued; ///< some peer has accounts for the next message
};

struct sim
{
  enum sim_mode mode;
  uint32_t node_count;
  uint32_t account_count;
  uint64_t now;
  uint64_t length_ms;
  struct rng rng;
  struct directory views[2];
  struct quota_rank *ranks[2]; ///< by view and account, computed when needed
  struct sim_node *nodes;
  struct sim_account *accounts;
  struct sim_message *ring[SIM_RING];
  uint64_t last_number;
  uint64_t messages;
  uint64_t bytes;
  uint64_t waited_ms;     ///< of admitted requests, together
  uint64_t count_from_ms; ///< requests before are not counted, only checked
                          ///< against the bound
};

/* Set-up */

static inline void
sim_directory (struct sim *sim, struct directory *directory)
{
  directory_init (directory);
  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      struct directory_entry entry
          = { .state = DIRECTORY_READY, .port = 1, .address = 1, .epoch = 1 };
      snprintf (entry.node, sizeof entry.node, "node-%u", i);
      directory_put (directory, &entry, 5, 0);
    }
}

static inline void
sim_start_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  node->alive = true;
  node->lender = ++sim->last_number;
  node->entries = calloc (sim->account_count, sizeof *node->entries);
  node->owners = calloc (sim->account_count, sizeof *node->owners);
  node->locals = calloc (sim->account_count, sizeof *node->locals);
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
        quota_owner_finish (node->owners[a]);
      free (node->owners[a]);
    }
  for (uint32_t p = 0; p < sim->node_count; p++)
    free (node->peers[p]);
  free (node->entries);
  free (node->owners);
  free (node->locals);
  free (node->peers);
}

static inline struct sim *
sim_new (enum sim_mode mode, uint32_t nodes, uint32_t accounts,
         uint64_t length_ms, uint64_t seed)
{
  struct sim *sim = calloc (1, sizeof *sim);
  sim->mode = mode;
  sim->node_count = nodes;
  sim->account_count = accounts;
  sim->length_ms = length_ms;
  sim->now = 1000000;
  sim->nodes = calloc (nodes, sizeof *sim->nodes);
  sim->accounts = calloc (accounts, sizeof *sim->accounts);
  rng_init (&sim->rng, seed);
  sim_directory (sim, &sim->views[0]);
  sim_directory (sim, &sim->views[1]);
  for (uint32_t n = 0; n < nodes; n++)
    {
      sim->nodes[n].zone = 1 + n % 3;
      sim_start_node (sim, n);
    }
  for (uint32_t a = 0; a < accounts; a++)
    {
      snprintf (sim->accounts[a].name, sizeof sim->accounts[a].name,
                "account-%u", a);
      sim->accounts[a].admitted
          = calloc (length_ms + 1, sizeof *sim->accounts[a].admitted);
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
  free (sim->ranks[0]);
  free (sim->ranks[1]);
  directory_finish (&sim->views[0]);
  directory_finish (&sim->views[1]);
  free (sim->nodes);
  free (sim->accounts);
  free (sim);
}

static inline const struct quota_rank *
sim_rank (struct sim *sim, unsigned view, uint32_t a)
{
  if (sim->ranks[view] == NULL)
    sim->ranks[view] = calloc (sim->account_count, sizeof (struct quota_rank));
  struct quota_rank *rank = &sim->ranks[view][a];
  if (rank->nodes == 0)
    quota_rank_choose (&sim->views[view],
                       quota_rank_group (sim->accounts[a].name), rank);
  return rank;
}

/// Adds or removes a node in one of the two directories.
static inline void
sim_list (struct sim *sim, unsigned view, uint32_t n, bool listed)
{
  sim->views[view].records[n].used = listed;
  free (sim->ranks[view]);
  sim->ranks[view] = NULL;
}

/// Index of the node with a rank for an account, in a view.
static inline uint32_t
sim_ranked (struct sim *sim, unsigned view, uint32_t a, unsigned place)
{
  return (uint32_t)sim_rank (sim, view, a)->handles[place];
}

/* Messages */

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

static inline struct sim_peer *
sim_peer (struct sim *sim, uint32_t n, uint32_t p)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->peers[p] == NULL)
    node->peers[p] = calloc (1, sizeof *node->peers[p]);
  return node->peers[p];
}

static inline struct sim_entry *
sim_entry (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->entries[a] == NULL)
    {
      node->entries[a] = calloc (1, sizeof *node->entries[a]);
      quota_lease_init (&node->entries[a]->lease);
    }
  return node->entries[a];
}

static inline struct quota_owner *
sim_owner (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  if (node->owners[a] == NULL)
    {
      node->owners[a] = calloc (1, sizeof *node->owners[a]);
      quota_owner_init (node->owners[a]);
      quota_owner_set_rank (node->owners[a], sim_rank (sim, node->view, a), n,
                            sim->now);
    }
  quota_owner_set_limit (node->owners[a], &sim->accounts[a].limit);
  return node->owners[a];
}

/// A node learns of a change of the directory.
static inline void
sim_set_view (struct sim *sim, uint32_t n, unsigned view)
{
  struct sim_node *node = &sim->nodes[n];
  node->view = view;
  for (uint32_t a = 0; a < sim->account_count; a++)
    if (node->alive && node->owners[a] != NULL)
      quota_owner_set_rank (node->owners[a], sim_rank (sim, view, a), n,
                            sim->now);
}

/* Entry node */

static inline void sim_pump (struct sim *sim, uint32_t n, uint32_t a);

static inline void
sim_admit (struct sim *sim, uint32_t a, uint64_t until_ms)
{
  struct sim_account *account = &sim->accounts[a];
  account->admitted[sim->now - 1000000]++;
  if (sim->now < 1000000 + sim->count_from_ms)
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
         && quota_lease_take (&entry->lease, &token, sim->now))
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
        if (entry->lease.over_wait_ms > 0)
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
           const struct sim_item *answer, uint64_t lender, uint64_t sent_ms)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  if (answer == NULL || !answer->ready)
    {
      if (quota_lease_undecided (&entry->lease, answer != NULL, sim->now))
        while (entry->waiting > 0
               && (quota_lease_take_settling (&entry->lease, sim->now)
                   || quota_lease_take_local (&entry->lease,
                                              &sim->accounts[a].limit,
                                              sim->node_count, sim->now)))
          {
            sim_admit (sim, a, entry->until_ms[0]);
            sim_remove (entry, 0);
          }
    }
  else
    {
      quota_lease_decided (&entry->lease, answer->tokens, answer->wait_ms,
                           lender, sent_ms, sim->now);
      sim_serve (sim, n, a);
      sim_end_before (sim, n, a,
                      quota_lease_reject_before (&entry->lease, sim->now));
    }
  sim_pump (sim, n, a);
}

static inline void
sim_send_queued (struct sim *sim, uint32_t n, uint32_t p)
{
  struct sim_peer *peer = sim_peer (sim, n, p);
  if (peer->number != 0 || peer->queued_count == 0)
    return;
  struct sim_message *message = calloc (1, sizeof *message);
  for (uint32_t i = 0; i < peer->queued_count; i++)
    {
      uint32_t a = peer->queued[i];
      struct sim_entry *entry = sim_entry (sim, n, a);
      entry->queued = false;
      if (entry->waiting == 0 || entry->asking)
        continue;
      entry->asking = true;
      peer->asked[message->count] = a;
      message->items[message->count++] = (struct sim_item){
        .account = a,
        .pending = entry->waiting,
        .expected = quota_lease_expected (&entry->lease, sim->now),
        .returned
        = quota_lease_give_back (&entry->lease, peer->lender, sim->now),
      };
    }
  peer->queued_count = 0;
  if (message->count == 0)
    {
      free (message);
      return;
    }
  peer->asked_count = message->count;
  peer->number = ++sim->last_number;
  peer->sent_ms = sim->now;
  message->kind = SIM_ASK;
  message->from = n;
  message->to = p;
  message->lender = peer->lender;
  message->number = peer->number;
  sim_post (sim, message);
}

static inline void
sim_decide (struct sim *sim, uint32_t n, uint32_t from, uint64_t lender,
            struct sim_item *item)
{
  struct sim_node *node = &sim->nodes[n];
  struct quota_owner *owner = sim_owner (sim, n, item->account);
  struct quota_grant grant = quota_owner_ask (
      owner, from, sim->node_count, !node->store_away, item->pending,
      item->expected, lender == node->lender ? item->returned : 0, sim->now);
  item->ready = grant.verdict == QUOTA_DECIDED;
  item->tokens = grant.tokens;
  item->wait_ms = grant.wait_ms;
}

static inline void
sim_pump (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_node *node = &sim->nodes[n];
  struct sim_entry *entry = sim_entry (sim, n, a);
  sim_serve (sim, n, a);
  if (entry->waiting == 0 || entry->asking || entry->queued
      || sim->now < entry->lease.next_ask_ms)
    return;
  size_t handle
      = sim_rank (sim, node->view, a)
            ->handles[quota_lease_asks_standby (&entry->lease, sim->now)];
  if (handle == n)
    {
      struct sim_item item = {
        .account = a,
        .pending = entry->waiting,
        .expected = quota_lease_expected (&entry->lease, sim->now),
        .returned
        = quota_lease_give_back (&entry->lease, node->lender, sim->now),
      };
      sim_decide (sim, n, n, node->lender, &item);
      sim_apply (sim, n, a, &item, node->lender, sim->now);
      return;
    }
  struct sim_peer *peer
      = handle == SIZE_MAX ? NULL : sim_peer (sim, n, (uint32_t)handle);
  if (peer == NULL || sim->now < peer->down_until_ms
      || peer->queued_count == SIM_BATCH)
    {
      sim_apply (sim, n, a, NULL, 0, sim->now);
      return;
    }
  entry->queued = true;
  peer->queued[peer->queued_count++] = a;
  node->has_queued = true;
}

static inline void
sim_arrive (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_entry *entry = sim_entry (sim, n, a);
  struct quota_token token;
  quota_lease_arrive (&entry->lease, sim->now);
  if (entry->waiting == 0
      && quota_lease_take (&entry->lease, &token, sim->now))
    sim_admit (sim, a, 0);
  else if (quota_lease_is_far_over (&entry->lease, sim->now)
           || entry->waiting == SIM_HELD_MAX)
    sim->accounts[a].rejected++;
  else if (quota_lease_is_hopeless (&entry->lease, entry->waiting, sim->now))
    {
      if (quota_lease_take_local (&entry->lease, &sim->accounts[a].limit,
                                  sim->node_count, sim->now))
        sim_admit (sim, a, 0);
      else
        sim->accounts[a].undecided++;
    }
  else
    {
      entry->until_ms[entry->waiting++] = (uint32_t)sim->now + SIM_DECIDE_MS;
      sim_pump (sim, n, a);
    }
}

/* Owner */

static inline void
sim_ask_votes (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  for (uint32_t a = 0; a < sim->account_count; a++)
    {
      size_t voter;
      if (node->owners[a] == NULL)
        continue;
      while ((voter = quota_owner_due_vote (node->owners[a], sim->now))
             != SIZE_MAX)
        {
          struct sim_peer *peer = sim_peer (sim, n, (uint32_t)voter);
          if (peer->vote_count < SIM_BATCH)
            peer->votes[peer->vote_count++] = a;
        }
    }
  for (uint32_t p = 0; p < sim->node_count; p++)
    {
      struct sim_peer *peer = node->peers[p];
      if (peer == NULL || peer->vote_count == 0 || peer->vote_number != 0)
        continue;
      struct sim_message *message = calloc (1, sizeof *message);
      for (uint32_t i = 0; i < peer->vote_count; i++)
        message->items[i] = (struct sim_item){
          .account = peer->votes[i],
          .pending
          = quota_owner_known (sim_owner (sim, n, peer->votes[i]), sim->now),
          .expected = quota_owner_is_settled (
              sim_owner (sim, n, peer->votes[i]), sim->now),
        };
      message->count = peer->vote_count;
      peer->vote_count = 0;
      peer->vote_number = ++sim->last_number;
      peer->vote_sent_ms = sim->now;
      message->kind = SIM_VOTE;
      message->from = n;
      message->to = p;
      message->number = peer->vote_number;
      sim_post (sim, message);
    }
}

static inline void
sim_vote (struct sim *sim, uint32_t n, uint32_t from, struct sim_item *item)
{
  bool settled = false;
  struct quota_owner *owner = sim_owner (sim, n, item->account);
  struct quota_candidate candidate = {
    .node = from,
    .rank
    = quota_rank_of (sim_rank (sim, sim->nodes[n].view, item->account), from),
    .settled = item->expected > 0,
    .known = item->pending,
  };
  item->ready = quota_owner_promise (owner, &candidate, &settled, sim->now);
  item->tokens = settled;
  item->wait_ms = quota_owner_known (owner, sim->now);
}

static inline void
sim_receive (struct sim *sim, struct sim_message *message)
{
  struct sim_node *node = &sim->nodes[message->to];
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
  uint32_t n = message->to;
  if (message->kind == SIM_ASK || message->kind == SIM_VOTE)
    {
      for (uint32_t i = 0; i < message->count; i++)
        if (message->kind == SIM_VOTE)
          sim_vote (sim, n, message->from, &message->items[i]);
        else
          sim_decide (sim, n, message->from, message->lender,
                      &message->items[i]);
      message->kind = message->kind == SIM_ASK ? SIM_ANSWER : SIM_VOTE_ANSWER;
      message->to = message->from;
      message->from = n;
      message->lender = node->lender;
      sim_post (sim, message);
      return;
    }
  struct sim_peer *peer = sim_peer (sim, n, message->from);
  if (message->kind == SIM_VOTE_ANSWER && message->number == peer->vote_number)
    {
      peer->vote_number = 0;
      for (uint32_t i = 0; i < message->count; i++)
        if (message->items[i].ready)
          quota_owner_vote (sim_owner (sim, n, message->items[i].account),
                            message->from, message->items[i].tokens > 0,
                            message->items[i].wait_ms, peer->vote_sent_ms,
                            sim->now);
    }
  if (message->kind == SIM_ANSWER && message->number == peer->number)
    {
      uint64_t sent_ms = peer->sent_ms;
      peer->number = 0;
      peer->lender = message->lender;
      for (uint32_t i = 0; i < message->count; i++)
        {
          uint32_t a = message->items[i].account;
          sim_entry (sim, n, a)->asking = false;
          sim_apply (sim, n, a, &message->items[i], message->lender, sent_ms);
        }
    }
  free (message);
}

static inline void
sim_time_out (struct sim *sim, uint32_t n)
{
  for (uint32_t p = 0; p < sim->node_count; p++)
    {
      struct sim_peer *peer = sim->nodes[n].peers[p];
      if (peer == NULL)
        continue;
      if (peer->vote_number != 0
          && sim->now - peer->vote_sent_ms >= SIM_TIMEOUT_MS)
        peer->vote_number = 0;
      if (peer->number == 0 || sim->now - peer->sent_ms < SIM_TIMEOUT_MS)
        continue;
      peer->number = 0;
      peer->down_until_ms = sim->now + SIM_DOWN_MS;
      for (uint32_t i = 0; i < peer->asked_count; i++)
        {
          sim_entry (sim, n, peer->asked[i])->asking = false;
          sim_apply (sim, n, peer->asked[i], NULL, 0, sim->now);
        }
    }
}

/* The policies that the leases are compared with */

static inline double
sim_share (struct sim *sim, uint32_t n, uint32_t a)
{
  if (sim->mode == SIM_SPLIT)
    return 1.0 / sim->node_count;
  double all = 0;
  for (uint32_t k = 0; k < sim->node_count; k++)
    if (sim->nodes[k].alive)
      all += sim->nodes[k].locals[a].before;
  return all == 0 ? 1.0 / sim->node_count
                  : sim->nodes[n].locals[a].before / all;
}

static inline void
sim_arrive_local (struct sim *sim, uint32_t n, uint32_t a)
{
  struct sim_account *account = &sim->accounts[a];
  struct sim_local *local = &sim->nodes[n].locals[a];
  double share = sim_share (sim, n, a);
  double passed_s = local->refilled_ms == 0
                        ? 0
                        : (double)(sim->now - local->refilled_ms) / 1000;
  local->seen++;
  local->refilled_ms = sim->now;
  local->tokens
      = fmin (fmax (1, account->limit.burst * share),
              local->tokens + account->limit.rate_per_s * share * passed_s);
  if (local->tokens < 1)
    {
      account->rejected++;
      return;
    }
  local->tokens--;
  sim_admit (sim, a, 0);
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
      uint32_t n = (uint32_t)rng_below (&sim->rng, sim->node_count);
      while (account->zone != 0 && sim->nodes[n].zone != account->zone)
        n = (uint32_t)rng_below (&sim->rng, sim->node_count);
      if (!sim->nodes[n].alive || sim->now < sim->nodes[n].frozen_until_ms)
        continue;
      bool counted = sim->now >= 1000000 + sim->count_from_ms;
      account->offered += counted;
      if (account->ideal_tokens >= 1)
        {
          account->ideal_tokens--;
          account->ideal += counted;
        }
      if (sim->mode == SIM_LEASE)
        sim_arrive (sim, n, a);
      else
        sim_arrive_local (sim, n, a);
    }
}

static inline void
sim_step_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->nodes[n];
  if (!node->alive || sim->now < node->frozen_until_ms)
    return;
  if (sim->mode != SIM_LEASE)
    {
      for (uint32_t a = 0; sim->now % 1000 == 0 && a < sim->account_count; a++)
        {
          node->locals[a].before = node->locals[a].seen;
          node->locals[a].seen = 0;
        }
      return;
    }
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
      if (node->entries[a] != NULL && node->entries[a]->waiting > 0)
        {
          sim_pump (sim, n, a);
          sim_end_before (sim, n, a, sim->now + 1);
        }
  if ((sim->now + n) % 10 == 0)
    sim_ask_votes (sim, n);
}

/// Runs to a time after the start.
static inline void
sim_run (struct sim *sim, uint64_t until_ms)
{
  for (; sim->now < 1000000 + until_ms; sim->now++)
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

/// Creates the owners' state for all accounts, as the sidecar does for the
/// accounts of a configuration.
static inline void
sim_prepare (struct sim *sim)
{
  for (uint32_t a = 0; a < sim->account_count; a++)
    for (unsigned place = 0; place < QUOTA_RANKS; place++)
      {
        size_t n = sim_rank (sim, 0, a)->handles[place];
        if (n != SIZE_MAX)
          sim_owner (sim, (uint32_t)n, a);
      }
}

/// @return the largest number of admitted requests in a window minus the
/// bound;
///         below 0: all were within it
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
      if (account->ideal > account->total)
        sums.wrong += (double)(account->ideal - account->total);
    }
  return sums;
}

#endif
