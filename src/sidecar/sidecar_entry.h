/// One request of a caller, from its arrival to the answer's end.
#ifndef HAWTHORNSEAM_SIDECAR_SIDECAR_ENTRY_H
#define HAWTHORNSEAM_SIDECAR_SIDECAR_ENTRY_H

#include "coordination/resend.h"
#include "protocol/hop.h"
#include "sidecar/sidecar.h"

/// Largest answer that is held until it is whole, so that one that is cut can
/// be replaced; larger ones are passed on as they come.
#define ENTRY_HELD_MAX (16u * 1024)

struct sidecar_entry
{
  struct sidecar *sidecar;
  struct http_request *request;
  struct http_exchange *exchange; ///< NULL between two offers
  struct event timer;             ///< end of the time for an answer
  TAILQ_ENTRY (sidecar_entry) link;
  const char *id; ///< in the request's arena
  char route[64];
  char service[DIRECTORY_NAME_MAX + 1];
  uint64_t config_version; ///< that chose the route
  struct resend resend;
  uint32_t rank;
  uint32_t kind;
  uint64_t arrived_ms;
  uint64_t objective_ms; ///< absolute time by which an answer has full value
  uint64_t answer_by_ms; ///< route's timeout or the caller's deadline
  uint64_t deadline_ms;  ///< absolute time at which the caller leaves
  size_t tried[PLACE_TRIED_MAX];
  size_t tried_count;
  size_t member; ///< handle of the node that has it now
  uint64_t member_serial;
  uint64_t sent_us;
  uint64_t retry_after_ms;  ///< smallest that a node asked for; 0: none
  const char *refusal;      ///< last reason for not running; static text
  bool reported;            ///< the current node's result was counted
  bool passing;             ///< the answer's head was passed on
  bool not_run;             ///< the current answer says so
  bool failure;             ///< the current answer is the target's failure
  bool unusable;            ///< the current answer is not the target's
  struct http_head *answer; ///< held head, child of the request's arena
  struct evbuffer *held;    ///< held body, NULL until needed
};

/* sidecar_entry.c */

/// @return the record of the node that has the request now, NULL when gone
struct directory_record *sidecar_entry_member (struct sidecar_entry *entry);

/// Counts the result of the current offer, once.
void sidecar_entry_report (struct sidecar_entry *entry,
                           enum place_result result);

/// Passes on what was held, and from now on each piece as it comes.
void sidecar_entry_start_passing (struct sidecar_entry *entry);

/// Ends the request with the target's answer.
void sidecar_entry_end_answered (struct sidecar_entry *entry);

/// Ends the request with a failure of its own, or cuts a started answer.
void sidecar_entry_end_failed (struct sidecar_entry *entry, unsigned status,
                               const char *reason);

/// Goes on after an offer that brought no good answer.
void sidecar_entry_go_on (struct sidecar_entry *entry, enum resend_event event,
                          const char *reason);

/* sidecar_entry_answer.c */
extern const struct http_exchange_ops sidecar_entry_exchange_ops;

#endif
