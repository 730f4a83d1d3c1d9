/// State shared by the files of the quota: accounts and their requests
/// in sidecar_quota.c, decisions for other nodes in sidecar_quota_serve.c,
/// reports to other nodes in sidecar_quota_call.c, tables that are handed over
/// in sidecar_quota_transfer.c.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_INTERNAL_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_QUOTA_INTERNAL_H

#include "coordination/quota_rank.h"
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
  struct quota_tenure tenure; ///< this node's right to decide
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
  struct quota_share share;
  struct quota_owner owner;
  struct quota_waiters waiters;
  uint32_t waiting;
  struct quota_call *call;      ///< reports this account now, or NULL
  struct quota_peer *queued_at; ///< is part of the next message to it, or NULL
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
  unsigned status;
  uint64_t sent_ms;
  struct quota_list accounts; ///< empty: nothing is under way
  uint32_t pending[QUOTA_MESSAGE_ACCOUNTS_MAX]; ///< as reported
};

/// Another node that was asked.
struct quota_peer
{
  struct quota_peer *next;
  size_t handle;
  uint64_t serial;
  uint64_t down_until_ms;
  struct quota_call call;
  struct quota_list queued; ///< for the next report
};

struct quota_hand_over;
LIST_HEAD (quota_hand_overs, quota_hand_over);

struct sidecar_quota
{
  struct quota_account *buckets[QUOTA_BUCKETS];
  struct quota_accounts accounts;
  size_t account_count;
  struct quota_account *cursor; ///< of the periodic update
  struct quota_peer *peers;
  struct event timer; ///< while requests wait
  size_t waiting;     ///< requests of all accounts
  uint64_t process;   ///< id of this process
  uint64_t sequence;  ///< of the last report
  uint64_t node;      ///< hash of this node's name, as others send it
  uint64_t started_ms;
  size_t own_handle;    ///< in the directory
  uint64_t generation;  ///< of the directory, for own_handle
  uint64_t observed_ms; ///< when the groups were last looked at
  bool all_young;       ///< no listed process is older
  bool released;        ///< the shares, as this node is shutting down
  bool gathering;       ///< reports are queued before any is sent
  struct quota_hand_overs hand_overs;
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
struct quota_group *sidecar_quota_group (struct sidecar *sidecar,
                                         unsigned group, uint64_t now_ms);

/// @return the ranked nodes of an account, as last applied
const struct quota_rank *
sidecar_quota_rank (const struct sidecar *sidecar,
                    const struct quota_account *account);

/// Brings the account's limit and rank in step with the configuration and the
/// directory, and this node's right to decide with the view of the store.
void sidecar_quota_refresh (struct sidecar *sidecar,
                            struct quota_account *account, uint64_t now_ms);

/// Applies an answer and serves the waiting requests.
/// @param answer   NULL when the node did not answer
/// @param pending  requests that the report was for
void sidecar_quota_apply (struct sidecar *sidecar,
                          struct quota_account *account,
                          const struct quota_answer *answer, uint32_t pending,
                          uint64_t sent_ms);

/// Serves waiting requests, and reports to the owner if that is due or if
/// requests wait without a token.
void sidecar_quota_pump (struct sidecar *sidecar,
                         struct quota_account *account);

/* sidecar_quota_serve.c */

/// Looks at this node's place in a group's ranking.
void sidecar_quota_observe (struct sidecar *sidecar, struct quota_group *group,
                            uint64_t now_ms);

/// Decides at this node.
struct quota_answer sidecar_quota_decide (struct sidecar *sidecar,
                                          struct quota_account *account,
                                          const struct quota_report *report,
                                          uint64_t now_ms);

/* sidecar_quota_call.c */

/// @return the peer with a directory handle, created if needed, or NULL
struct quota_peer *sidecar_quota_peer (struct sidecar *sidecar, size_t handle);

/// Includes an account in the next report to a peer, and sends it unless one
/// is under way.
void sidecar_quota_ask (struct sidecar *sidecar, struct quota_peer *peer,
                        struct quota_account *account);

/// Sends what is queued for any peer.
void sidecar_quota_send_queued (struct sidecar *sidecar);

void sidecar_quota_free_peers (struct sidecar *sidecar);

/// Frees the peers that have left the directory.
void sidecar_quota_sweep_peers (struct sidecar *sidecar);

/* sidecar_quota_transfer.c */

/// Hands the tables of a group over to the node that ranks first without this
/// one. This node decides no more.
void sidecar_quota_hand_over (struct sidecar *sidecar, unsigned group,
                              uint64_t now_ms);

/// Takes over the tables in a message.
/// @return status of the response: 400 for a malformed message
unsigned sidecar_quota_take_over (struct sidecar *sidecar, const char *data,
                                  size_t size, uint64_t now_ms);

void sidecar_quota_free_hand_overs (struct sidecar *sidecar);

#endif
