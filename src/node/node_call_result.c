/// Owns the meaning of a try's end: what it says of the call, and the reason
/// that the caller is told.
#include "node/node_call_entry.h"

#include <assert.h>
#include <string.h>

enum call_end
node_call_entry_end (const struct call_entry *entry, enum call_end_kind kind)
{
  if (entry->outcome_known && entry->outcome == CALL_NOT_RUN)
    return CALL_END_REFUSED;
  switch (kind)
    {
    case CALL_EXCHANGE_COMPLETE:
      if (entry->answering)
        return CALL_END_ANSWERED;
      /* The target responded, so another try could run the call again. */
      return strcmp (entry->reason, CALL_REASON_UNFRAMED) == 0
                 ? CALL_END_UNFRAMED
                 : CALL_END_UNKNOWN_BY_NODE;
    case CALL_EXCHANGE_NOT_CONNECTED:
      return CALL_END_NOT_CONNECTED;
    case CALL_EXCHANGE_LOST:
      return CALL_END_LOST;
    case CALL_EXCHANGE_TIMED_OUT:
      return CALL_END_TIMED_OUT;
    case CALL_EXCHANGE_UNFRAMED:
      return CALL_END_UNFRAMED;
    }
  assert (!"unknown end of an exchange");
  return CALL_END_LOST;
}

const char *
node_call_entry_reason (const struct call_entry *entry, enum call_end end)
{
  if (entry->reason[0] != '\0')
    return entry->reason;
  switch (end)
    {
    case CALL_END_NOT_CONNECTED:
      return CALL_REASON_NOT_CONNECTED;
    case CALL_END_TIMED_OUT:
      return CALL_REASON_TIMEOUT;
    case CALL_END_UNFRAMED:
      return CALL_REASON_UNFRAMED;
    default:
      return CALL_REASON_CONNECTION_LOST;
    }
}
