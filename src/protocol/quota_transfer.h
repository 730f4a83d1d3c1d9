/// JSON encoding of the message by which the owner of a group of accounts
/// hands its tables over to the next owner.
#ifndef HAWTHORNSEAM_PROTOCOL_QUOTA_TRANSFER_H
#define HAWTHORNSEAM_PROTOCOL_QUOTA_TRANSFER_H

#include "protocol/quota_message.h"

/// The table of one account.
struct quota_transfer_account
{
  char name[QUOTA_MESSAGE_NAME_MAX + 1];
  double tokens;
  size_t first; ///< of its holders
  size_t count;
};

struct quota_transfer
{
  char node[DIRECTORY_NAME_MAX + 1]; ///< the sender
  uint32_t group;
  uint32_t unused_ms; ///< for how long other buckets have been filling
  struct quota_transfer_account *accounts;
  size_t count;
  struct quota_holder *holders; ///< of all accounts; `until_ms` is relative to
                                ///< the time of sending
  size_t holder_count;
};

/// Begins the text of a message.
/// @return NULL without memory
json_t *quota_transfer_begin (const char *node, uint32_t group,
                              uint64_t unused_ms);

/// Adds an account.
/// @return false when its name is not UTF-8, or without memory
bool quota_transfer_add (json_t *object, const char *name,
                         const struct quota_owner *owner, uint64_t now_ms);

/// Ends the text; frees the object.
/// @return zero-terminated text to be freed with free; NULL when it is longer
///         than QUOTA_MESSAGE_BYTES_MAX
char *quota_transfer_end (json_t *object);

/// @return STATUS_INVALID when a field is missing or out of range; otherwise
///         the transfer is to be ended with quota_transfer_finish
enum status quota_transfer_read (const char *data, size_t size,
                                 struct quota_transfer *transfer);

void quota_transfer_finish (struct quota_transfer *transfer);

#endif
