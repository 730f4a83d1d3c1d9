/// Classifies the end of an attempt: what it implies for the call, and the
/// reason reported to the caller.
#include "node/node_call_outbound.h"

#include <assert.h>
#include <string.h>

enum call_end
node_call_outbound_attempt_end (const struct outbound_call *call,
                                enum call_exchange_end kind)
{
  if (call->outcome_known && call->outcome == CALL_NOT_RUN)
    return CALL_END_REFUSED;
  switch (kind)
    {
    case CALL_EXCHANGE_COMPLETE:
      if (call->forwarding)
        return CALL_END_ANSWERED;
      /* The target did respond, so a retry could run the call twice. */
      return strcmp (call->reason, CALL_REASON_UNFRAMED) == 0
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
node_call_outbound_reason (const struct outbound_call *call, enum call_end end)
{
  if (call->reason[0] != '\0')
    return call->reason;
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
