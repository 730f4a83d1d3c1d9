/// Successive configuration versions, with records and encodings, for tests.
#ifndef HAWTHORNSEAM_TEST_CONFIG_FOLLOWER_SIM_H
#define HAWTHORNSEAM_TEST_CONFIG_FOLLOWER_SIM_H

#include "coordination/config_follower_state.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CHAIN_MAX 200

struct chain
{
  void *arena;
  struct config contents[CHAIN_MAX + 1]; ///< by version
  struct config_record records[CHAIN_MAX + 1];
  uint8_t *encodings[CHAIN_MAX + 1];
  size_t encoding_sizes[CHAIN_MAX + 1];
  uint64_t newest;
  /// A pointer to an empty talloc context points past its memory block and is
  /// missed by the leak check; the pointer to this child of it is not.
  void *anchor;
};

static inline void
chain_add (struct chain *chain)
{
  assert (chain->newest < CHAIN_MAX);
  const struct config *from = &chain->contents[chain->newest];
  uint64_t version = ++chain->newest;
  struct config *to = &chain->contents[version];
  config_copy (to, from);
  char name[16];
  snprintf (name, sizeof name, "service-%d", (int)version);
  config_set_service (to, &(struct config_service){ name, "v1" });
  config_rehash (to);
  to->version = version;
  struct config_record *record = &chain->records[version];
  *record = (struct config_record){ .version = version,
                                    .previous_hash = from->hash,
                                    .hash = to->hash,
                                    .nonce = version,
                                    .author = "test",
                                    .note = "" };
  uint8_t *delta;
  config_diff (from, to, chain->arena, &delta, &record->delta_size);
  record->delta = delta;
  config_encode (to, chain->arena, &chain->encodings[version],
                 &chain->encoding_sizes[version]);
}

static inline struct chain *
chain_new (uint64_t versions)
{
  struct chain *chain = calloc (1, sizeof *chain);
  chain->arena = talloc_new (NULL);
  config_init (&chain->contents[0]);
  chain->anchor = talloc_size (chain->contents[0].arena, 1);
  while (chain->newest < versions)
    chain_add (chain);
  return chain;
}

static inline void
chain_free (struct chain *chain)
{
  for (uint64_t i = 0; i <= chain->newest; i++)
    config_finish (&chain->contents[i]);
  talloc_free (chain->arena);
  free (chain);
}

#endif
