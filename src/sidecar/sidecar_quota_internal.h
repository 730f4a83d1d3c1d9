/// State shared by the files of the quota: accounts and their requests
/// in sidecar_quota.c, decisions for other nodes in sidecar_quota_serve.c,
/// messages to other nodes in sidecar_quota_call.c.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_INTERNAL_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_INTERNAL_H

#include "protocol/quota_message.h"
#include "sidecar/sidecar_quota.h"

/// Time after which an unanswered request counts as failed. A round trip
/// takes a few milliseconds, but a node that has a tenth of a core stands
/// still for up to 90 ms when it has used its share. The second-ranked node is
/// asked after this time, and callers' deadlines start at 600 ms.
#define QUOTA_ASK_TIMEOUT_MS 200

/// A node that did not answer is not asked again for this long.
#define QUOTA_DOWN_MS 200

/// Longest idle time after which a connection to another node is reused.
#define PEER_REUSE_MS 3000

#define QUOTA_BUCKETS 1024

TAILQ_HEAD (quota_waiters, quota_waiter);

/// Ranked nodes of a group of accounts.
struct quota_group
{
  struct quota_rank rank;
  uint64_t serial;     ///< grows with each change of the rank; 0: never ranked
  uint64_t generation; ///< of the directory
  uint64_t ranked_ms;
};

/// A list of accounts that grows as needed.
struct quota_list
{
  struct quota_account **items;
  size_t count;
  size_t capacity;
};

/// What this node knows of one account, as entry node and as owner.
struct quota_account
{
  char name[QUOTA_MESSAGE_NAME_MAX + 1];
  struct quota_account *next; ///< in its hash bucket
  TAILQ_ENTRY (quota_account) link;
  uint64_t config_version; ///< from which the limit was taken
  struct quota_limit limit;
  unsigned group;       ///< in which it is ranked
  uint64_t rank_serial; ///< of the group's rank that was applied; 0: none
  struct quota_lease lease;
  struct quota_owner owner;
  struct quota_waiters waiters;
  uint32_t waiting;
  struct quota_call *call;      ///< asks for this account now, or NULL
  struct quota_peer *queued_at; ///< is part of the next message to it, or NULL
  uint32_t votes_asked;         ///< messages that ask for a vote
  uint32_t users;               ///< requests in progress that point here
  uint64_t offered;
  uint64_t admitted;
  uint64_t rejected;
};
TAILQ_HEAD (quota_accounts, quota_account);

/// One message to another node.
struct quota_call
{
  struct sidecar *sidecar;
  struct quota_peer *peer;
  struct http_exchange *exchange; ///< NULL: unused
  struct evbuffer *body;
  struct event timer;
  bool vote; ///< asks for votes, else for tokens
  unsigned status;
  uint64_t sent_ms;
  struct quota_list accounts; ///< empty: nothing is under way
};

/// Another node that was asked.
struct quota_peer
{
  struct quota_peer *next;
  size_t handle;
  uint64_t serial;
  uint64_t lender; ///< its process, as of its last response; 0: unknown
  uint64_t down_until_ms;
  struct quota_call ask;
  struct quota_call vote;
  struct quota_list queued; ///< for the next request for tokens
  struct quota_list votes;  ///< for the next request for votes
};

struct sidecar_quota
{
  struct quota_account *buckets[QUOTA_BUCKETS];
  struct quota_accounts accounts;
  size_t account_count;
  struct quota_account *cursor; ///< of the periodic update
  struct quota_peer *peers;
  struct event timer;   ///< while requests wait
  size_t waiting;       ///< requests of all accounts
  uint64_t lender;      ///< id of this process
  size_t own_handle;    ///< in the directory
  uint64_t generation;  ///< of the directory, for own_handle
  uint64_t prepared_ms; ///< when the accounts that this node ranks for were
                        ///< created
  struct quota_group groups[QUOTA_GROUPS];
  struct quota_request request;   ///< being written or read
  struct quota_response response; ///< being written or read
};

/* sidecar_quota.c */

/// Finds or creates the state of an account.
/// @return NULL when there are too many, or the name is too long
struct quota_account *sidecar_quota_find (struct sidecar *sidecar,
                                          const char *name);

/// Frees the state of an account that is not in use.
void sidecar_quota_forget (struct sidecar *sidecar,
                           struct quota_account *account);

/// @return the ranked nodes of a group, as the directory has them
const struct quota_group *
sidecar_quota_group (struct sidecar *sidecar, unsigned group, uint64_t now_ms);

/// @return the ranked nodes of an account, as last applied
const struct quota_rank *
sidecar_quota_rank (const struct sidecar *sidecar,
                    const struct quota_account *account);

/// Brings the account's limit and rank in step with the configuration and the
/// directory.
void sidecar_quota_refresh (struct sidecar *sidecar,
                            struct quota_account *account, uint64_t now_ms);

/// Applies an answer and serves the waiting requests.
/// @param answer  NULL when the node did not answer
void sidecar_quota_apply (struct sidecar *sidecar,
                          struct quota_account *account,
                          const struct quota_answer *answer, uint64_t lender,
                          uint64_t sent_ms);

/// Asks for tokens if requests wait.
void sidecar_quota_pump (struct sidecar *sidecar,
                         struct quota_account *account);

/* sidecar_quota_serve.c */

/// Decides at this node, as owner or standby.
/// @param node  directory handle of the node that asks
struct quota_answer sidecar_quota_decide (struct sidecar *sidecar,
                                          struct quota_account *account,
                                          size_t node,
                                          const struct quota_ask *ask,
                                          uint64_t now_ms);

/* sidecar_quota_call.c */

/// @return the peer with a directory handle, created if needed, or NULL
struct quota_peer *sidecar_quota_peer (struct sidecar *sidecar, size_t handle);

/// Includes an account in the next message to a peer, and sends it unless one
/// is under way.
void sidecar_quota_ask (struct sidecar *sidecar, struct quota_peer *peer,
                        struct quota_account *account);

/// Includes an account in the next request for votes to a peer.
void sidecar_quota_queue_vote (struct quota_peer *peer,
                               struct quota_account *account);

/// Sends the requests for votes, unless one to the peer is under way.
void sidecar_quota_send_votes (struct sidecar *sidecar);

/// Asks for a vote at once.
void sidecar_quota_ask_vote (struct sidecar *sidecar, struct quota_peer *peer,
                             struct quota_account *account);

void sidecar_quota_free_peers (struct sidecar *sidecar);

/// Frees the peers that have left the directory.
void sidecar_quota_sweep_peers (struct sidecar *sidecar);

#endif
