/// Interface of a platform adapter. It translates the platform's names,
/// formats and calls to the types of this system, and contains no policy.
#ifndef HAWTHORNSEAM_PROTOCOL_ADAPTER_H
#define HAWTHORNSEAM_PROTOCOL_ADAPTER_H

#include "coordination/store.h"
#include "state/directory.h"
#include "state/mesh_config.h"

/// Names of the HTTP headers between callers, nodes and targets.
struct adapter_headers
{
  const char *request_id;  ///< id of one attempt of a caller
  const char *deadline_ms; ///< time until the caller's timeout, ms
  const char
      *response_proof; ///< proof by the target that it wrote the response
  const char
      *expected_instance;     ///< the only instance that may run the request
  const char *not_run;        ///< set by a target that did not run the request
  const char *caller_service; ///< service of the VM where a request starts
  const char *api_key;        ///< key of the caller's client account
  const char *account;        ///< name of that account, for the target
  const char *target_load;    ///< load that a target states, see target_load.h
};

/// One report of the target on the same VM.
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
  uint64_t sequence;   ///< a larger number is newer within an incarnation
  uint64_t started_ms; ///< wall time of the incarnation's start; 0: unknown
  uint32_t cold_ms;    ///< rest of the warm-up, in which the target is slower
};

/// Calls to the node by the local target and the platform.
enum adapter_call
{
  ADAPTER_CALL_NONE,
  ADAPTER_CALL_READY,  ///< is the node ready for callers?
  ADAPTER_CALL_REPORT, ///< the target reports itself
  ADAPTER_CALL_LEAVE   ///< the target announces its shutdown
};

/// An operator's order to move the requests of a service to another target
/// version.
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
  MOVE_PHASE_ROLLED_BACK
};

struct adapter_ops
{
  struct adapter_headers headers;
  const struct store_codec *store;
  /// Store prefix of the keys that operators write and of this system's own
  /// keys, so that one watch covers both.
  const char *watch_prefix;
  const char *own_prefix;    ///< prefix of this system's own keys
  const char *config_key;    ///< key of the newest configuration
  const char *order_prefix;  ///< prefix of the move orders, one per service
  const char *status_prefix; ///< prefix of the outcomes of orders
  const char *evacuation_prefix; ///< prefix of the evacuated zones

  /// Tells which call a request is.
  /// @param path  path without query
  /// @param id    set to the instance named in the path; size
  ///              DIRECTORY_NAME_MAX + 1
  enum adapter_call (*classify) (const char *method, const char *path,
                                 char *id);

  /// Parses a report of the local target.
  /// @return STATUS_INVALID with a message when a field is missing or wrong
  enum status (*read_report) (const char *instance, const char *body,
                              size_t size, struct target_report *report);

  /// Parses a configuration.
  /// @param config  set to a new configuration; free it with talloc_free
  enum status (*read_config) (const uint8_t *data, size_t size,
                              struct mesh_config **config);

  /// Parses a move order.
  enum status (*read_order) (const uint8_t *data, size_t size,
                             struct move_order *order);

  /// Writes the status of a move order.
  /// @return bytes written to `text`
  size_t (*write_status) (const struct move_order *order,
                          enum move_phase phase, char *text, size_t size);
};

#endif
