/// Owns the stored findings with their paths and messages.
#include "base/findings.h"

#include <stdarg.h>
#include <talloc.h>

void
findings_init (struct findings *findings, const char *file)
{
  *findings = (struct findings){ .file = file };
}

void
findings_finish (struct findings *findings)
{
  talloc_free (findings->items);
  *findings = (struct findings){ .file = findings->file };
}

void
findings_add (struct findings *findings, int line, int column,
              const char *path, const char *format, ...)
{
  findings->total++;
  if (findings->count == FINDINGS_MAX)
    return;
  if (findings->items == NULL)
    findings->items = talloc_array (NULL, struct finding, FINDINGS_MAX);
  if (findings->items == NULL)
    return;
  struct finding *item = &findings->items[findings->count++];
  va_list args;
  va_start (args, format);
  item->line = line;
  item->column = column;
  item->path = talloc_strdup (findings->items, path);
  item->message = talloc_vasprintf (findings->items, format, args);
  va_end (args);
}

void
findings_print (const struct findings *findings, FILE *stream)
{
  for (size_t i = 0; i < findings->count; i++)
    {
      const struct finding *item = &findings->items[i];
      fprintf (stream, "%s:%d:%d: %s: %s\n", findings->file, item->line,
               item->column, item->path, item->message);
    }
  if (findings->total > findings->count)
    fprintf (stream, "%s: %zu more findings not shown\n", findings->file,
             findings->total - findings->count);
}
