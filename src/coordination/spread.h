/// Interval broadcast of opaque bodies over the ring of a zone, and between
/// zones through their relays. Performs no I/O.
#ifndef HAWTHORNSEAM_COORDINATION_SPREAD_H
#define HAWTHORNSEAM_COORDINATION_SPREAD_H

#include "base/rng.h"
#include "coordination/ring.h"

#define SPREAD_PARTS 8    ///< parts into which an interval is split
#define SPREAD_ACK_MS 300 ///< after this another member is asked
#define SPREAD_ATTEMPTS 4 ///< members asked for one part
/// A version record of the largest size fits, and with it into a frame.
#define SPREAD_BODY_MAX (1024 * 1024 - 4096)
/// The second relay repeats a broadcast to the other zones after this time.
#define SPREAD_SECOND_MS 600
/// Broadcast ids remembered to recognise duplicates. At 100 broadcasts a
/// second, far above the design load, an id is kept for about 20 s.
#define SPREAD_SEEN_SETS 512
#define SPREAD_SEEN_WAYS 4
/// Parts that wait for an acknowledgement; further ones are sent once.
#define SPREAD_PENDING_MAX 1024

enum spread_kind
{
  SPREAD_VERSION_RECORD = 1,
  SPREAD_MEMBER_EVENTS = 2,
  SPREAD_TRIP = 3,
  SPREAD_CRASH_SUSPECT = 4,
  SPREAD_SUSPECT_CLEARED = 5,
  SPREAD_KINDS = 16
};

struct spread_id
{
  uint64_t origin; ///< slot id of the node that started it
  uint64_t number; ///< unique at the origin
};

struct spread_message
{
  struct spread_id id;
  uint64_t lo; ///< the receiver covers the members in [lo, hi) on the ring;
  uint64_t hi; ///< lo == hi is the whole ring
  unsigned kind;
  const uint8_t *body;
  size_t size;
  bool zone_only; ///< relays do not pass it to other zones
};

struct spread_ops
{
  void (*send) (void *arg, uint64_t slot_id,
                const struct spread_message *message);
  void (*send_ack) (void *arg, uint64_t slot_id, const struct spread_id *id);
  /// Called once per id, not at the origin.
  void (*deliver) (void *arg, uint64_t origin, unsigned kind,
                   const uint8_t *body, size_t size);
};

struct spread_seen
{
  struct spread_id id;
  uint64_t lo, hi;
};

struct spread_body;

/// One part of an interval, or one other zone, that was asked.
struct spread_part
{
  struct spread_id id;
  uint64_t lo, hi;
  uint64_t zone;  ///< id of the zone to pass to; 0: a part of the own ring
  uint64_t asked; ///< slot id; 0: not sent yet
  uint64_t due_ms;
  unsigned attempts;
  unsigned kind;
  bool zone_only;
  struct spread_body *body;
};

struct spread
{
  const struct spread_ops *ops;
  void *arg;
  struct rng *rng;
  struct ring *ring;
  uint64_t self;
  uint64_t number; ///< of the last own broadcast
  struct spread_seen *seen;
  uint8_t *seen_next; ///< way to replace next, per set
  struct spread_part *parts;
  uint32_t part_count, part_capacity;
};

/// @param ring  outlives the spread and is kept fresh by it
enum status spread_init (struct spread *spread, uint64_t self,
                         struct ring *ring, const struct spread_ops *ops,
                         void *arg, struct rng *rng);
void spread_finish (struct spread *spread);

/// Starts a broadcast.
/// @param size  at most SPREAD_BODY_MAX
/// @return STATUS_TOO_LARGE or STATUS_NO_MEMORY when nothing was sent
enum status spread_start (struct spread *spread, unsigned kind,
                          const uint8_t *body, size_t size, bool zone_only,
                          uint64_t now_ms);

/// Takes a BROADCAST.
void spread_receive (struct spread *spread, uint64_t from,
                     const struct spread_message *message, uint64_t now_ms);

/// Takes a BROADCAST_ACK.
void spread_ack (struct spread *spread, uint64_t from,
                 const struct spread_id *id);

/// Asks other members for parts without acknowledgement.
void spread_tick (struct spread *spread, uint64_t now_ms);

#endif
