/// Broadcast of opaque bodies along a tree of members. Each message makes its
/// receiver responsible for an interval of the zone's ring; the receiver
/// splits the interval into parts and forwards the message to one member of
/// each. Relays carry broadcasts to other zones. Performs no I/O.
#ifndef HAWTHORNSEAM_COORDINATION_BROADCAST_H
#define HAWTHORNSEAM_COORDINATION_BROADCAST_H

#include "base/rng.h"
#include "coordination/ring.h"

#define BROADCAST_FANOUT 8 ///< parts into which an interval is split
/// Without BROADCAST_ACK for this long, a part is sent to another member.
#define BROADCAST_ACK_TIMEOUT_MS 300
#define BROADCAST_ATTEMPTS_MAX 4 ///< sends of one part
/// Maximum size of a body, bytes. The largest version record fits, and a
/// message with it fits into a frame.
#define BROADCAST_BODY_MAX (1024 * 1024 - 4096)
/// The second relay repeats a broadcast to the other zones after this delay.
#define BROADCAST_SECOND_RELAY_DELAY_MS 600
/// Size of the set-associative cache of broadcast ids that detects duplicates.
/// At 100 broadcasts per second, far above the design load, an id stays in it
/// for about 20 s.
#define BROADCAST_SEEN_SETS 512
#define BROADCAST_SEEN_WAYS 4
/// Limit of parts that wait for a BROADCAST_ACK. Parts past it are sent once,
/// without retry.
#define BROADCAST_PENDING_MAX 1024

enum broadcast_kind
{
  BROADCAST_KIND_VERSION_RECORD = 1,
  BROADCAST_KIND_MEMBER_EVENTS = 2,
  BROADCAST_KIND_TRIP = 3,
  BROADCAST_KIND_CRASH_SUSPECT = 4,
  BROADCAST_KIND_SUSPECT_CLEARED = 5,
  BROADCAST_KINDS = 16 ///< kinds are below this number
};

struct broadcast_id
{
  uint64_t origin; ///< slot id of the node that started it
  uint64_t number; ///< unique at the origin
};

struct broadcast_message
{
  struct broadcast_id id;
  uint64_t lo; ///< the receiver forwards to the members in [lo, hi) on the
  uint64_t hi; ///< ring; lo == hi: the whole ring
  unsigned kind;
  const uint8_t *body;
  size_t size;
  bool zone_only; ///< relays do not forward it to other zones
};

struct broadcast_ops
{
  void (*send) (void *arg, uint64_t slot_id,
                const struct broadcast_message *message);
  void (*send_ack) (void *arg, uint64_t slot_id,
                    const struct broadcast_id *id);
  /// Delivers a body. Called once per broadcast, and not at its origin.
  void (*deliver) (void *arg, uint64_t origin, unsigned kind,
                   const uint8_t *body, size_t size);
};

struct broadcast_seen
{
  struct broadcast_id id;
  uint64_t lo, hi; ///< interval of the last message that was forwarded
};

struct broadcast_body;

/// A part of an interval, or another zone, that waits for a BROADCAST_ACK.
struct broadcast_part
{
  struct broadcast_id id;
  uint64_t lo, hi;
  uint64_t zone;     ///< id of the other zone; 0: a part of the own ring
  uint64_t receiver; ///< slot id it was last sent to; 0: not sent yet
  uint64_t due_ms;   ///< when to send it (again)
  unsigned attempts; ///< sends so far
  unsigned kind;
  bool zone_only;
  struct broadcast_body *body;
};

struct broadcaster
{
  const struct broadcast_ops *ops;
  void *arg;
  struct rng *rng;
  struct ring *ring;
  uint64_t self;
  uint64_t number; ///< of the last own broadcast
  /// BROADCAST_SEEN_SETS sets of BROADCAST_SEEN_WAYS.
  struct broadcast_seen *seen;
  uint8_t *seen_next; ///< per set: the way to replace next
  struct broadcast_part *parts;
  uint32_t part_count, part_capacity;
};

/// @param self  slot id of this node
/// @param ring  must outlive the broadcaster, which refreshes it
enum status broadcast_init (struct broadcaster *broadcaster, uint64_t self,
                            struct ring *ring, const struct broadcast_ops *ops,
                            void *arg, struct rng *rng);
void broadcast_finish (struct broadcaster *broadcaster);

/// Starts a broadcast.
/// @param size       at most BROADCAST_BODY_MAX
/// @param zone_only  to the own zone only, otherwise to all zones
/// @return STATUS_TOO_LARGE or STATUS_NO_MEMORY; nothing was sent then
enum status broadcast_start (struct broadcaster *broadcaster, unsigned kind,
                             const uint8_t *body, size_t size, bool zone_only,
                             uint64_t now_ms);

/// Handles a BROADCAST: acknowledges, forwards and delivers it.
void broadcast_receive (struct broadcaster *broadcaster, uint64_t from,
                        const struct broadcast_message *message,
                        uint64_t now_ms);

/// Handles a BROADCAST_ACK.
void broadcast_receive_ack (struct broadcaster *broadcaster, uint64_t from,
                            const struct broadcast_id *id);

/// Sends parts without BROADCAST_ACK to other members, and drops them after
/// BROADCAST_ATTEMPTS_MAX sends.
void broadcast_tick (struct broadcaster *broadcaster, uint64_t now_ms);

#endif
