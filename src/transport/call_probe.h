/// Tries whether something listens at an endpoint, to tell a dead process from
/// a connection that merely broke.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_PROBE_H
#define HAWTHORNSEAM_TRANSPORT_CALL_PROBE_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

enum probe_result
{
  PROBE_CONNECTED,
  PROBE_REFUSED,
  PROBE_SILENT ///< neither within the time
};

struct call_probe;

/// Starts a probe.
/// @param address     IPv4, host byte order
/// @param timeout_ms  time to wait for either result
/// @param done        called once, later; the probe is over then
/// @return NULL when it could not be started
struct call_probe *call_probe_start (struct event_base *base, uint32_t address,
                                     uint16_t port, uint32_t timeout_ms,
                                     void (*done) (void *arg,
                                                   enum probe_result result),
                                     void *arg);

/// Ends a probe without `done`.
void call_probe_cancel (struct call_probe *probe);

#endif
