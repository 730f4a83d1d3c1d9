/// Prints configurations, differences between them, and deltas.
#include "protocol/declaration.h"

#include "protocol/iso_time.h"
#include "state/config_fields.h"

#include <stdio.h>
#include <string.h>

struct printer
{
  FILE *stream;
  size_t lines;
  bool base_known; ///< false for a delta, which does not tell
                   ///< added from changed objects
};

/// @return true when other YAML parsers, too, read the text as a string
/// without quotes; those of YAML 1.1 read yes, no, on, off, y and n as
/// booleans
static bool
can_be_unquoted (const char *text)
{
  static const char *const words[]
      = { "true", "false", "null", "yes", "no", "on", "off", "y", "n" };
  bool letter = (text[0] >= 'a' && text[0] <= 'z')
                || (text[0] >= 'A' && text[0] <= 'Z') || text[0] == '/';
  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    if (strcasecmp (text, words[i]) == 0)
      return false;
  return letter
         && strspn (text, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789/._-")
                == strlen (text);
}

static void
print_value (const struct config_field *field, const void *item, FILE *stream)
{
  char time[ISO_TIME_SIZE];
  switch (field->type)
    {
    case CONFIG_FIELD_STRING:
      fputs (config_field_string (field, item), stream);
      return;
    case CONFIG_FIELD_BOOL:
      fputs (config_field_number (field, item) != 0 ? "true" : "false",
             stream);
      return;
    case CONFIG_FIELD_TIME:
      iso_time_print (config_field_number (field, item), time);
      fputs (time, stream);
      return;
    case CONFIG_FIELD_PHASE:
      fputs (
          move_phase_name ((enum move_phase)config_field_number (field, item)),
          stream);
      return;
    case CONFIG_FIELD_U32:
      fprintf (stream, "%llu",
               (unsigned long long)config_field_number (field, item));
      return;
    }
}

static void
print_move_state (const struct config_move *move, FILE *stream)
{
  fprintf (stream, "    # %s, share %u.%02u%%, step %u%s%s\n",
           move_phase_name (move->phase), move->share_bp / 100,
           move->share_bp % 100, move->step,
           move->reason == NULL || move->reason[0] == '\0' ? "" : ": ",
           move->reason == NULL ? "" : move->reason);
}

static void
print_object (enum config_kind kind, const void *item, FILE *stream)
{
  const struct config_schema *schema = config_schema (kind);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      if (field->system)
        continue;
      bool quoted = field->type == CONFIG_FIELD_STRING
                    && !can_be_unquoted (config_field_string (field, item));
      fprintf (stream, "  %s %s: %s", i == 0 ? "-" : " ", field->name,
               quoted ? "\"" : "");
      print_value (field, item, stream);
      fputs (quoted ? "\"\n" : "\n", stream);
    }
  if (kind == CONFIG_MOVE)
    print_move_state (item, stream);
}

void
declaration_print (const struct config *config, const char *mesh, FILE *stream)
{
  fprintf (stream, "format: 1\nmesh: %s%s%s\n",
           can_be_unquoted (mesh) ? "" : "\"", mesh,
           can_be_unquoted (mesh) ? "" : "\"");
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count;
      const void *items = config_items (config, kind, &count);
      fprintf (stream, "%s:%s\n", config_schema (kind)->plural,
               count == 0 ? " []" : "");
      for (size_t i = 0; i < count; i++)
        print_object (kind, config_item_at (items, kind, i), stream);
    }
}

static bool
field_equal (const struct config_field *field, const void *a, const void *b)
{
  if (field->type == CONFIG_FIELD_STRING)
    return strcmp (config_field_string (field, a),
                   config_field_string (field, b))
           == 0;
  return config_field_number (field, a) == config_field_number (field, b);
}

/// Prints "<mark> <kind> <name>" with all fields, or with the changed ones.
/// @param before  the object before the change, NULL to print all fields
static void
print_line (struct printer *printer, char mark, enum config_kind kind,
            const void *before, const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  fprintf (printer->stream, "%c %s %s", mark, schema->singular,
           config_item_name (item));
  for (size_t i = 1; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      if (before != NULL && field_equal (field, before, item))
        continue;
      fprintf (printer->stream, " %s=", field->name);
      if (before != NULL)
        {
          print_value (field, before, printer->stream);
          fputs ("->", printer->stream);
        }
      print_value (field, item, printer->stream);
    }
  fputc ('\n', printer->stream);
  printer->lines++;
}

static void
print_upsert (void *arg, enum config_kind kind, const void *before,
              const void *item)
{
  struct printer *printer = arg;
  char mark = before != NULL ? '~' : printer->base_known ? '+' : '=';
  print_line (printer, mark, kind, before, item);
}

static void
print_removal (void *arg, enum config_kind kind, const void *item)
{
  struct printer *printer = arg;
  if (printer->base_known)
    {
      print_line (printer, '-', kind, NULL, item);
      return;
    }
  fprintf (printer->stream, "- %s %s\n", config_schema (kind)->singular,
           config_item_name (item));
  printer->lines++;
}

static const struct config_difference_ops print_ops
    = { print_upsert, print_removal };

size_t
declaration_print_diff (const struct config *from, const struct config *to,
                        FILE *stream)
{
  struct printer printer = { .stream = stream, .base_known = true };
  config_compare (from, to, &print_ops, &printer);
  return printer.lines;
}

enum status
declaration_print_delta (const uint8_t *delta, size_t size, FILE *stream)
{
  struct printer printer = { .stream = stream };
  return config_delta_read (delta, size, &print_ops, &printer);
}
