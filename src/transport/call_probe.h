/// Probes whether a process listens at an endpoint, to distinguish a process
/// that has died from a connection that has failed.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_PROBE_H
#define HAWTHORNSEAM_TRANSPORT_CALL_PROBE_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

enum probe_result
{
  PROBE_CONNECTED,
  PROBE_REFUSED,
  PROBE_TIMED_OUT ///< no result before the timeout
};

struct call_probe;

/// Starts a probe, which is one TCP connect.
/// @param address     IPv4, host byte order
/// @param timeout_ms  time limit for the connect
/// @param done        called once, from the event loop; the probe has been
///                    freed by then
/// @return NULL if the probe could not be started
struct call_probe *call_probe_start (struct event_base *base, uint32_t address,
                                     uint16_t port, uint32_t timeout_ms,
                                     void (*done) (void *arg,
                                                   enum probe_result result),
                                     void *arg);

/// Cancels a probe without a call of `done`.
void call_probe_cancel (struct call_probe *probe);

#endif
