/// Clients that send further safe requests before the first one has been
/// answered, and what became of each of their requests.
#ifndef REVIEW_PIPELINE_H
#define REVIEW_PIPELINE_H

#include "mesh.h"

#define REQUESTS_MAX 20000
#define CLIENTS_MAX 32

struct sent_request
{
  int client;
  int connection; ///< number of the client's connection
  int position;   ///< on the connection, from 0
  long sent_ms;
  const struct machine *ran_at; ///< NULL: no upstream has run it
  long run_ms;
  long done_ms;     ///< 0: its upstream has not ended its work
  bool broken_off;  ///< its upstream broke its answer off
  long answered_ms; ///< 0: no complete answer
  int status;
  long ended_ms;     ///< end of the connection without an answer; 0: none
  bool began;        ///< a part of the answer arrived
  bool behind_close; ///< an earlier answer on the connection closed it
};

struct pipeline_plan
{
  struct machine *entry;
  int clients;
  const char *host;
  /// Writes the path of the next request.
  void (*draw_path) (unsigned *seed, char *path, size_t size);
  long gap_ms;        ///< between two requests of a client
  int unanswered_max; ///< at most 8
  int deadline_ms;
  long end_ms; ///< no request is sent later
  /// @return false when clients send nothing more; may be NULL
  bool (*may_send) (void);
};

extern struct sent_request requests[REQUESTS_MAX];
extern int request_count;

/// Runs the clients until they end.
void pipeline_run (const struct pipeline_plan *plan);

/// Starts the clients and returns; pipeline_join waits for them.
void pipeline_start (const struct pipeline_plan *plan);
void pipeline_join (void);

/// @return the record of the request that an upstream received
struct sent_request *pipeline_find (const struct upstream_request *request);

#endif
