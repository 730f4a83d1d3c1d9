/// Owns nothing; the caller keeps the history.
#include "state/target_history.h"

#include <string.h>

void
target_history_restore (struct target_history *history,
                        const struct directory_entry *entry)
{
  bool same
      = history->known && strcmp (history->instance, entry->instance) == 0;
  bool both_known = history->started_ms != 0 && entry->started_ms != 0;
  if (entry->instance[0] == '\0'
      || (history->known && !same && entry->started_ms <= history->started_ms)
      || (same && both_known && entry->started_ms < history->started_ms))
    return;
  bool restarted = both_known && entry->started_ms > history->started_ms;
  bool leaving = entry->leaving || (same && !restarted && history->leaving);
  uint64_t started_ms = entry->started_ms;
  if (same && started_ms == 0)
    started_ms = history->started_ms;
  *history = (struct target_history){ .known = true,
                                      .started_ms = started_ms,
                                      .leaving = leaving };
  strcpy (history->instance, entry->instance);
}

void
target_history_note_leave (struct target_history *history,
                           const char *instance)
{
  if (!history->known || strcmp (history->instance, instance) != 0)
    {
      *history = (struct target_history){ .known = true };
      strncpy (history->instance, instance, DIRECTORY_NAME_MAX);
    }
  history->leaving = true;
}

enum target_verdict
target_history_judge (const struct target_history *history,
                      const char *instance, uint64_t started_ms)
{
  if (!history->known)
    return TARGET_CURRENT;
  bool both_known = history->started_ms != 0 && started_ms != 0;
  if (both_known && started_ms < history->started_ms)
    return TARGET_REPLACED;
  /* An instance may start again under the same name; its later start tells it
     from the one that has left. */
  if (strcmp (history->instance, instance) != 0
      || (both_known && started_ms > history->started_ms))
    return TARGET_CURRENT;
  return history->leaving ? TARGET_LEAVING : TARGET_CURRENT;
}
