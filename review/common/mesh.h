/// A small deployment on loopback for the cases of the review: the store (the
/// project's stand-in), sidecars started as the deploy file says, one sound
/// upstream beside each of them, and helpers for clients. Each machine has a
/// loopback address of its own; the ports are the same on all machines.
#ifndef REVIEW_MESH_H
#define REVIEW_MESH_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MACHINES_MAX 12

/// Exit codes of a case.
enum verdict
{
  VERDICT_HELD = 0,
  VERDICT_BROKEN = 1,
  VERDICT_NOT_RUN = 2
};

struct machine;

/// A request as an upstream received it.
struct upstream_request
{
  struct machine *machine;
  int socket;
  char method[16];
  char path[256];
  char id[256];       ///< Hawthornseam-Request-Id
  char previous[256]; ///< id of the request before it on the connection
  size_t body_size;
  bool close; ///< set by the handler: close the connection after the response
};

/// Answers a request. It is called after the run was recorded.
typedef void upstream_handler (struct upstream_request *request);

struct machine
{
  int index;
  char ip[32];
  char name[32];
  const char *zone;
  const char *service;
  char instance[32];
  char version[16];
  long long born; ///< start of the upstream, Unix ms
  upstream_handler *handler;
  pid_t sidecar; ///< 0: not running
  int listener;  ///< of the upstream, -1: it does not run
  bool beats;    ///< heartbeats are sent
  const char *state;
  long sequence;
};

extern struct machine machines[MACHINES_MAX];
extern int machine_count;
extern bool trouble; ///< false with TROUBLE=0

/// Time since the start of the case, ms.
long now_ms (void);
void sleep_ms (long ms);

/// Appends a line with the time to record.txt.
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/// Starts the store. The case ends with VERDICT_NOT_RUN when something cannot
/// be started.
void mesh_begin (int argc, char **argv);

/// Adds a machine. mesh_start starts its sidecar and upstream.
/// @param handler  NULL: the case starts them itself, and sets the handler
struct machine *mesh_add (const char *zone, const char *service,
                          upstream_handler *handler);

/// Starts the upstreams and the sidecars, writes the configuration and waits
/// until all are ready and each service has answered.
void mesh_start (const char *config);

/// Starts an upstream beside a sidecar, as a new incarnation with an id of its
/// own.
void upstream_start (struct machine *machine, const char *version);

/// Ends an upstream: it says nothing and its connections are closed.
void upstream_stop (struct machine *machine);

void sidecar_start (struct machine *machine);
void sidecar_signal (struct machine *machine, int number);

/// Waits for the end of a sidecar.
/// @return false when it has not ended within the time
bool sidecar_wait (struct machine *machine, long ms);

/// Sends a control request or a value to the store, such as "away?1".
void store_control (const char *path, const char *body);

/// Reads a value from the store, as the operator does.
/// @return false when there is none
bool store_read (const char *key, char *value, size_t size);

/// Ends all processes, records the verdict and exits.
void mesh_end (enum verdict verdict, const char *reason)
    __attribute__ ((noreturn));

/// Port of a machine: 0 Inbound, 1 Outbound, 2 Ready, 3 Control, 4 AppAddr.
int mesh_port (int kind);

/// Connects to a port of a machine.
/// @return the socket, or -1
int mesh_connect (const struct machine *machine, int kind);
void send_text (int socket, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// Sends a heartbeat or another call of an upstream to its node.
/// @return status, 0 when there was none within a second
int upstream_report (struct machine *machine, const char *state,
                     long sequence);
int upstream_deregister (struct machine *machine);

/// @return false when the caller's side closed the connection meanwhile
bool upstream_work (struct upstream_request *request, long ms);

/// Writes a complete response with the id, a seal and a body.
void upstream_answer (struct upstream_request *request, int status,
                      const char *body);

/// Reads from a connection of a client.
struct reader
{
  int socket;
  size_t size;
  size_t used;
  char bytes[65536];
};

struct response
{
  int status; ///< 0: closed or timed out before a status line
  char id[256];
  bool close;
  bool complete;
  bool sealed;
  size_t body_size;
  char body[4096]; ///< its beginning
};

/// Reads one response until it is complete, the connection ends or the time is
/// over.
void read_response (struct reader *reader, struct response *response,
                    long until_ms);

#endif
