/// Client accounts of a configuration and the lookup of an account by API key.
/// Keys are kept as hashes only. Built with the configuration and not changed
/// afterwards; all memory belongs to the configuration's talloc context.
#ifndef HAWTHORNSEAM_STATE_CLIENT_ACCOUNT_H
#define HAWTHORNSEAM_STATE_CLIENT_ACCOUNT_H

#include "base/hash.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Longest API key that can be in the table, bytes.
#define CLIENT_ACCOUNT_KEY_MAX 1024

struct client_account
{
  const char *name;
  bool has_priority;
  uint32_t priority; ///< 0 is the most urgent; precedes the route's priority
  double rate_per_s; ///< quota over all nodes, requests per second; 0: none
  double burst;      ///< requests beyond the rate
};

/// A key's hash and its account.
struct client_account_key
{
  struct content_hash hash;
  size_t account; ///< index in the table's accounts
};

struct client_account_table
{
  bool required; ///< the configuration has accounts, so requests need a key
  struct client_account *accounts;
  size_t account_count;
  struct client_account_key *keys; ///< sorted by hash after _prepare
  size_t key_count;
  const struct client_account **by_name; ///< sorted by name after _prepare
};

/// Adds a key of the last account; the key itself is not kept.
/// @param arena  talloc context of the configuration
/// @return STATUS_INVALID for an empty or too long key, STATUS_NO_MEMORY
enum status client_account_add_key (struct client_account_table *table,
                                    void *arena, const char *key, size_t size);

/// Sorts the keys and the names. Called once, after all keys were added.
/// @param arena  talloc context of the configuration
/// @return STATUS_INVALID when two accounts have the same key,
///         STATUS_NO_MEMORY
enum status client_account_prepare (struct client_account_table *table,
                                    void *arena);

/// Finds the account that holds a key. Only hashes are compared, so the time
/// of a comparison tells nothing about the bytes of a key.
/// @return the account, or NULL
const struct client_account *
client_account_find (const struct client_account_table *table,
                     const char *key);

/// @return the account with a name, the first one if there are several, or
/// NULL
const struct client_account *
client_account_by_name (const struct client_account_table *table,
                        const char *name);

#endif
