/// What a platform adapter provides: the platform's names, formats and calls,
/// translated to the project's own types. An adapter decides nothing.
#ifndef HAWTHORNSEAM_PROTOCOL_ADAPTER_H
#define HAWTHORNSEAM_PROTOCOL_ADAPTER_H

#include "coordination/store.h"
#include "state/directory.h"
#include "state/mesh_config.h"

/// Names of the headers between callers, nodes and targets.
struct adapter_headers
{
  const char *request_id;     ///< id of one attempt of a caller
  const char *deadline_ms;    ///< milliseconds that the caller still waits
  const char *proof;          ///< the target's proof that an answer is its own
  const char *instance_want;  ///< only this instance may run the request
  const char *not_run;        ///< the target did not run the request
  const char *caller_service; ///< service of the VM where the request began
};

/// One report of the target beside the node.
struct target_report
{
  char instance[DIRECTORY_NAME_MAX + 1];
  char service[DIRECTORY_NAME_MAX + 1];
  char version[DIRECTORY_NAME_MAX + 1];
  char availability_zone[DIRECTORY_NAME_MAX + 1];
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
  uint16_t slots;
  bool draining;
  uint64_t sequence;   ///< larger is newer within one incarnation
  uint64_t started_ms; ///< wall time of the incarnation's start; 0: unknown
  uint32_t cold_ms;
};

/// Calls of the target beside the node and of the platform.
enum adapter_call
{
  ADAPTER_CALL_NONE,
  ADAPTER_CALL_READY,  ///< is the node ready for callers
  ADAPTER_CALL_REPORT, ///< the target reports itself
  ADAPTER_CALL_LEAVE   ///< the target is about to end
};

/// An order to move a service's requests to another version of its targets.
struct move_order
{
  char service[DIRECTORY_NAME_MAX + 1];
  char to_version[DIRECTORY_NAME_MAX + 1];
  uint32_t duration_ms;
};

enum move_phase
{
  MOVE_PHASE_RUNNING,
  MOVE_PHASE_DONE,
  MOVE_PHASE_TAKEN_BACK
};

struct adapter_ops
{
  struct adapter_headers headers;
  const struct store_codec *store;
  /// Store prefix that covers what operators write and the project's own keys,
  /// so that one watch serves both.
  const char *watch_prefix;
  const char *own_prefix;    ///< of the project's own keys
  const char *config_key;    ///< newest configuration
  const char *order_prefix;  ///< move orders, one for each service
  const char *status_prefix; ///< where the outcome of an order is written

  /// @param path  path without query
  /// @param id    set to the instance named in the path; size
  ///              DIRECTORY_NAME_MAX + 1
  enum adapter_call (*classify) (const char *method, const char *path,
                                 char *id);

  /// @return STATUS_INVALID with a message when a field is missing or wrong
  enum status (*read_report) (const char *instance, const char *body,
                              size_t size, struct target_report *report);

  /// @param config  set to a new configuration; free it with talloc_free
  enum status (*read_config) (const uint8_t *data, size_t size,
                              struct mesh_config **config);

  enum status (*read_order) (const uint8_t *data, size_t size,
                             struct move_order *order);

  /// Writes the status of an order.
  /// @return bytes written to `text`
  size_t (*write_status) (const struct move_order *order,
                          enum move_phase phase, char *text, size_t size);
};

#endif
