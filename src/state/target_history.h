/// What a node knows of its target from before its own process started. The
/// process may have restarted while the target was leaving or was replaced; a
/// delayed report of that time must not bring the target back.
#ifndef HAWTHORNSEAM_STATE_TARGET_HISTORY_H
#define HAWTHORNSEAM_STATE_TARGET_HISTORY_H

#include "state/directory.h"

struct target_history
{
  bool known;
  char instance[DIRECTORY_NAME_MAX + 1];
  uint64_t started_ms; ///< start of that incarnation, wall clock; 0: unknown
  bool leaving;        ///< an acknowledged report announced its end
};

/// What a report has to be taken for in view of the history.
enum target_verdict
{
  TARGET_CURRENT,  ///< as the report states
  TARGET_LEAVING,  ///< its end was acknowledged earlier, whatever it states
  TARGET_REPLACED, ///< a newer incarnation was known already
};

/// Records the target in the entry of an earlier process of this node. An
/// older incarnation than the known one is ignored.
void target_history_restore (struct target_history *history,
                             const struct directory_entry *entry);

/// Records that an incarnation has announced its end, of which nothing else is
/// known.
void target_history_note_leave (struct target_history *history,
                                const char *instance);

/// @param started_ms  start of the reporting incarnation; 0: unknown
enum target_verdict target_history_judge (const struct target_history *history,
                                          const char *instance,
                                          uint64_t started_ms);

#endif
