/// JSON encoding of the messages between an entry node and the owner of a
/// quota. A message is about several accounts; the response has one item for
/// each, in the same order.
#ifndef HAWTHORNSEAM_PROTOCOL_QUOTA_MESSAGE_H
#define HAWTHORNSEAM_PROTOCOL_QUOTA_MESSAGE_H

#include "base/status.h"
#include "coordination/quota_owner.h"
#include "state/directory.h"

#include <jansson.h>

/// Accounts in one message; further ones go into the next message.
#define QUOTA_MESSAGE_ACCOUNTS_MAX 256

/// Longest name of an account in a message, bytes. The quota of an account
/// with a longer name cannot be distributed.
#define QUOTA_MESSAGE_NAME_MAX 255

/// Largest count in a message: far more than a node admits within a second.
/// Demand is in thousandths of a request per second.
#define QUOTA_MESSAGE_COUNT_MAX 1000000

/// Bytes of the largest message: names may need six bytes for each of theirs.
#define QUOTA_MESSAGE_BYTES_MAX (512u * 1024)

struct quota_ask
{
  char account[QUOTA_MESSAGE_NAME_MAX + 1];
  struct quota_report report; ///< without node, process and sequence
};

struct quota_request
{
  char node[DIRECTORY_NAME_MAX + 1]; ///< the sender
  uint64_t process;                  ///< of the sender
  uint64_t sequence;                 ///< of the message
  size_t count;
  struct quota_ask asks[QUOTA_MESSAGE_ACCOUNTS_MAX];
};

struct quota_response
{
  size_t count;
  struct quota_answer answers[QUOTA_MESSAGE_ACCOUNTS_MAX];
};

/// @return zero-terminated text to be freed with free, or NULL when a name is
///         not UTF-8 or without memory
char *quota_request_write (const struct quota_request *request);

/// @return STATUS_INVALID when a field is missing or out of range
enum status quota_request_read (const char *data, size_t size,
                                struct quota_request *request);

/// @return as for quota_request_write
char *quota_response_write (const struct quota_response *response);

/// @return as for quota_request_read
enum status quota_response_read (const char *data, size_t size,
                                 struct quota_response *response);

/* For the other messages about quotas. */

/// Reads an integer of an array, from 0 to a limit.
bool quota_message_count (json_t *array, size_t index, uint32_t most,
                          uint32_t *count);

/// Reads an integer that is not negative.
bool quota_message_number (json_t *value, uint64_t *number);

#endif
