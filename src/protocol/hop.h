/// What the node that received a request tells the node beside its target, and
/// what that node answers beside the target's own answer.
#ifndef HAWTHORNSEAM_PROTOCOL_HOP_H
#define HAWTHORNSEAM_PROTOCOL_HOP_H

#include "base/status.h"
#include "state/directory.h"
#include "state/mesh_config.h"

/// Bytes of the value of CALL_HEADER_HOP with the terminating zero.
#define HOP_SIZE_MAX 224

/// Bytes of the value of CALL_HEADER_LOAD with the terminating zero.
#define HOP_LOAD_SIZE_MAX 64

struct hop
{
  char service[DIRECTORY_NAME_MAX + 1]; ///< that the configuration chose
  char version[DIRECTORY_NAME_MAX + 1]; ///< of the target that was chosen
  enum mesh_repeat repeat;
  uint32_t rank;         ///< priority, 0 is the highest
  uint32_t kind;         ///< hash of the route
  uint32_t objective_ms; ///< time left for full value
  bool repeated;         ///< the request was sent before
  uint32_t address;      ///< where the sending node takes calls of other
                         ///< nodes, IPv4, host byte order
  uint16_t port;
};

struct hop_load
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t service_us; ///< mean time in the target
};

void hop_write (const struct hop *hop, char text[HOP_SIZE_MAX]);

/// @return STATUS_INVALID for text that hop_write did not write
enum status hop_parse (const char *text, struct hop *hop);

void hop_load_write (const struct hop_load *load,
                     char text[HOP_LOAD_SIZE_MAX]);
enum status hop_load_parse (const char *text, struct hop_load *load);

#endif
