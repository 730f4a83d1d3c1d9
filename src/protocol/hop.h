/// Headers between the node that routes a request and the node of the
/// target: the routing decision in the request, and the target's load in the
/// response.
#ifndef HAWTHORNSEAM_PROTOCOL_HOP_H
#define HAWTHORNSEAM_PROTOCOL_HOP_H

#include "base/status.h"
#include "state/directory.h"
#include "state/mesh_config.h"

/// Bytes of the value that hop_write gives to CALL_HEADER_HOP, including the
/// terminating zero.
#define HOP_SIZE_MAX 240

/// Bytes of the value that hop_load_write gives to CALL_HEADER_LOAD, including
/// the terminating zero.
#define HOP_LOAD_SIZE_MAX 80

/// Routing decision about one request.
struct hop
{
  char service[DIRECTORY_NAME_MAX + 1]; ///< chosen by the configuration
  char version[DIRECTORY_NAME_MAX + 1]; ///< version of the chosen target
  enum mesh_retry_class retry_class;
  uint32_t rank;         ///< priority; 0 is the highest
  uint32_t kind;         ///< kind of request: hash of the route
  uint32_t objective_ms; ///< time left until the response loses value
  bool is_retry;         ///< the request was sent to a target before
  uint32_t address;      ///< where the sender accepts requests of other
                         ///< nodes; IPv4, host byte order
  uint16_t port;
  uint32_t account;  ///< hash of the client account's name; 0: none
  uint32_t whole_ms; ///< time left in which the sender needs the whole
                     ///< response, since it stops; 0: until the deadline
};

/// Load of a target.
struct hop_load
{
  uint32_t running; ///< requests in the target
  uint32_t waiting; ///< requests in the queue of its node
  uint32_t slots;
  uint32_t service_us;    ///< mean time of a request in the target; at 100
                          ///< percent if `speed_percent` is known
  uint32_t speed_percent; ///< how long work takes in the target now; 100: as
                          ///< usual, 0: unknown and not written
  uint32_t
      link_free_kbytes_per_s; ///< what is left of the VM's link for bodies;
                              ///< 0: unknown; written with the speed only
};

void hop_write (const struct hop *hop, char text[HOP_SIZE_MAX]);

/// @return STATUS_INVALID when a field is missing or out of range
enum status hop_parse (const char *text, struct hop *hop);

void hop_load_write (const struct hop_load *load,
                     char text[HOP_LOAD_SIZE_MAX]);

/// Nodes whose target does not report its speed, and older nodes, send only
/// the first four numbers.
/// @return STATUS_INVALID when a field is missing or the speed is out of range
enum status hop_load_parse (const char *text, struct hop_load *load);

#endif
