/// After a crash of the own target, records the requests that were in flight
/// as crash suspects and broadcasts them to all nodes.
#include "node/node_call_inbound.h"

#include "base/log.h"

#include <msgpack.h>

/// Fingerprints in one broadcast; bounds the size of its body.
#define SUSPECTS_PER_MESSAGE_MAX 128

static struct counter suspects_raised
    = COUNTER ("calls_suspects_raised", "calls in flight in a crash");

static void
broadcast_suspects (struct node_calls *calls, uint64_t crash,
                    const uint64_t *fingerprints, size_t count)
{
  if (count == 0)
    return;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count + 1);
  msgpack_pack_uint64 (&packer, crash);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_uint64 (&packer, fingerprints[i]);
  node_mesh_broadcast (calls->node, 4, (const uint8_t *)buffer.data,
                       buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

void
node_call_inbound_crashed (struct node_calls *calls, uint64_t crash,
                           uint64_t now_ms)
{
  uint64_t fingerprints[SUSPECTS_PER_MESSAGE_MAX];
  size_t count = 0;
  size_t total = 0;
  struct inbound_call *inbound = calls->inbound;
  size_t lost_index = 0;
  while (inbound != NULL || lost_index < NODE_CALL_LOST_MAX)
    {
      uint64_t fingerprint = 0;
      if (inbound != NULL)
        {
          if (inbound->state != INBOUND_QUEUED)
            fingerprint = inbound->fingerprint;
          inbound = inbound->next;
        }
      else
        {
          const struct lost_call *call = &calls->lost[lost_index++];
          if (now_ms - call->lost_ms < NODE_CALL_LOST_MS)
            fingerprint = call->fingerprint;
        }
      if (fingerprint == 0
          || !suspect_raise (&calls->suspects, fingerprint, crash, now_ms))
        continue;
      total++;
      fingerprints[count++] = fingerprint;
      if (count == SUSPECTS_PER_MESSAGE_MAX)
        {
          broadcast_suspects (calls, crash, fingerprints, count);
          count = 0;
        }
    }
  broadcast_suspects (calls, crash, fingerprints, count);
  counter_add (&suspects_raised, total);
  if (total > 0)
    log_event (LOG_LEVEL_WARNING, "crash_suspects", "count=%zu crash=%016llx",
               total, (unsigned long long)crash);
}
