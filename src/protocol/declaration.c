/// Parses a declaration document and records the positions of its fields.
#include "protocol/declaration.h"

#include "protocol/iso_time.h"
#include "state/config_check.h"
#include "state/config_fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Fields of an object that operators may declare.
#define FIELDS_MAX 8

/// YAML nodes that are accepted in one document: three lists of objects, each
/// field counted as two nodes, its name and its value.
#define NODES_MAX 400000

/// One object of the document with the YAML nodes of its fields.
struct declaration_entry
{
  const char *name;
  size_t index; ///< in its list in the document
  const struct document_node *node;
  const struct document_node *values[FIELDS_MAX];
  unsigned invalid_fields; ///< bit i: field i is missing or not valid
};

struct parse
{
  struct declaration *declaration;
  struct findings *findings;
};

/// Lists the fields of a kind that a document may contain. Fields that only
/// the system writes come last in the schema and are left out.
/// @return number of names
static size_t
declarable_fields (enum config_kind kind, const char *names[FIELDS_MAX])
{
  const struct config_schema *schema = config_schema (kind);
  size_t count = 0;
  while (count < schema->field_count && !schema->fields[count].system)
    {
      names[count] = schema->fields[count].name;
      count++;
    }
  return count;
}

static bool
read_time (const struct document_node *node, const char *path, uint64_t *value,
           struct findings *findings)
{
  const char *text = document_text (node, path, findings);
  if (text == NULL)
    return false;
  if (iso_time_parse (text, value) == STATUS_OK)
    return true;
  document_problem (findings, node, path, "%s", status_message ());
  return false;
}

/// Parses one field into an object.
/// @return false when the value is not valid or the field is absent
static bool
read_field (const struct config_field *field, const struct document_node *node,
            const char *path, void *item, struct findings *findings)
{
  uint64_t number = 0;
  bool truth = false;
  const char *text;
  switch (field->type)
    {
    case CONFIG_FIELD_STRING:
      text = document_text (node, path, findings);
      config_field_set_string (field, item, text == NULL ? "" : text);
      return text != NULL;
    case CONFIG_FIELD_BOOL:
      if (!document_bool (node, path, &truth, findings))
        return false;
      number = truth;
      break;
    case CONFIG_FIELD_TIME:
      if (!read_time (node, path, &number, findings))
        return false;
      break;
    default:
      if (!document_number (node, path, 1, field->max, &number, findings))
        return false;
      break;
    }
  config_field_set_number (field, item, number);
  return true;
}

static enum status
set_item (struct config *config, enum config_kind kind, const void *item)
{
  switch (kind)
    {
    case CONFIG_SERVICE:
      return config_set_service (config, item);
    case CONFIG_ROUTE:
      return config_set_route (config, item);
    default:
      return config_set_move (config, item);
    }
}

/// Parses one object of a list and adds it to the configuration.
/// @param entry  its name is set only when the object was added
static void
read_object (struct parse *parse, enum config_kind kind,
             const struct document_node *node, size_t index,
             struct declaration_entry *entry)
{
  const struct config_schema *schema = config_schema (kind);
  const char *names[FIELDS_MAX];
  char path[DOCUMENT_PATH_MAX], field_path[DOCUMENT_PATH_MAX];
  union
  {
    struct config_service service;
    struct config_route route;
    struct config_move move;
  } item;
  memset (&item, 0, sizeof item);
  size_t count = declarable_fields (kind, names);
  snprintf (path, sizeof path, "%s[%zu]", schema->plural, index);
  if (!document_fields (node, path, names, count, (1U << count) - 1,
                        entry->values, parse->findings))
    return;
  entry->index = index;
  entry->node = node;
  for (size_t i = 0; i < count; i++)
    {
      document_path (field_path, path, names[i]);
      if (!read_field (&schema->fields[i], entry->values[i], field_path, &item,
                       parse->findings))
        entry->invalid_fields |= 1U << i;
    }
  const char *name = config_item_name (&item);
  if ((entry->invalid_fields & 1) != 0)
    return;
  document_path (field_path, path, "name");
  if (config_find (&parse->declaration->config, kind, name) != NULL)
    document_problem (parse->findings, entry->values[0], field_path,
                      "\"%.80s\" is declared twice", name);
  else if (set_item (&parse->declaration->config, kind, &item) != STATUS_OK)
    document_problem (parse->findings, node, path, "%s", status_message ());
  else
    entry->name = name;
}

static int
compare_entries (const void *a, const void *b)
{
  const struct declaration_entry *x = a, *y = b;
  return strcmp (x->name, y->name);
}

/// Parses the list of one kind. Entries are sorted by name, as the objects of
/// the configuration are.
static void
read_list (struct parse *parse, enum config_kind kind,
           const struct document_node *value)
{
  const struct config_schema *schema = config_schema (kind);
  const struct document_node *list = document_list (
      value, schema->plural, schema->count_max, parse->findings);
  if (list == NULL || list->count == 0)
    return;
  struct declaration_entry *entries
      = talloc_zero_array (parse->declaration->document.arena,
                           struct declaration_entry, list->count);
  if (entries == NULL)
    {
      document_problem (parse->findings, list, schema->plural,
                        "out of memory");
      return;
    }
  parse->declaration->entries[kind] = entries;
  size_t kept = 0, index = 0;
  for (const struct document_node *node = list->first; node != NULL;
       node = node->next)
    {
      struct declaration_entry entry = { 0 };
      read_object (parse, kind, node, index++, &entry);
      if (entry.name != NULL)
        entries[kept++] = entry;
    }
  qsort (entries, kept, sizeof *entries, compare_entries);
}

void
declaration_problem (const struct declaration *declaration,
                     enum config_kind kind, size_t index, const char *field,
                     const char *message, struct findings *findings)
{
  const struct config_schema *schema = config_schema (kind);
  char path[DOCUMENT_PATH_MAX];
  if (index == SIZE_MAX)
    {
      document_problem (findings, declaration->document.root, schema->plural,
                        "%s", message);
      return;
    }
  const struct declaration_entry *entry = &declaration->entries[kind][index];
  const struct document_node *node = entry->node;
  snprintf (path, sizeof path, "%s[%zu]%s%s", schema->plural, entry->index,
            field == NULL ? "" : ".", field == NULL ? "" : field);
  for (size_t i = 0; i < schema->field_count && i < FIELDS_MAX; i++)
    if (field != NULL && strcmp (schema->fields[i].name, field) == 0)
      {
        if ((entry->invalid_fields >> i & 1) != 0)
          return;
        if (entry->values[i] != NULL)
          node = entry->values[i];
      }
  document_problem (findings, node, path, "%s", message);
}

static void
report_problem (void *arg, enum config_kind kind, size_t index,
                const char *field, const char *message)
{
  const struct parse *parse = arg;
  declaration_problem (parse->declaration, kind, index, field, message,
                       parse->findings);
}

/// @return true when the move starts or ends at the declared version of its
/// service, or another declared move of the service ends where it starts or
/// starts where it ends
static bool
move_is_connected (const struct config *config, const struct config_move *move,
                   const struct config_service *service)
{
  if (strcmp (move->from, service->version) == 0
      || strcmp (move->to, service->version) == 0)
    return true;
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *other = &config->moves[i];
      if (other != move && strcmp (other->service, move->service) == 0
          && (strcmp (other->to, move->from) == 0
              || strcmp (other->from, move->to) == 0))
        return true;
    }
  return false;
}

/// Reports moves that are connected neither to the declared version of their
/// service nor to another declared move. Which moves are done is known only
/// from the configuration in force, so any such connection is accepted here.
static void
check_moves_connected (struct parse *parse)
{
  const struct config *config = &parse->declaration->config;
  char message[256];
  for (size_t i = 0; i < config->move_count; i++)
    {
      const struct config_move *move = &config->moves[i];
      const struct config_service *service
          = config_find_service (config, move->service);
      if (service == NULL || move_is_connected (config, move, service))
        continue;
      snprintf (message, sizeof message,
                "\"%.31s\" is not the version of service \"%.31s\", which is "
                "\"%.31s\"",
                move->from, service->name, service->version);
      report_problem (parse, CONFIG_MOVE, i, "from", message);
    }
}

static void
read_root (struct parse *parse)
{
  static const char *const names[]
      = { "format", "mesh", "services", "routes", "moves" };
  const struct document_node *values[5];
  uint64_t format;
  struct declaration *declaration = parse->declaration;
  if (!document_fields (declaration->document.root, "", names, 5, 0x3, values,
                        parse->findings))
    return;
  document_number (values[0], "format", 1, 1, &format, parse->findings);
  declaration->mesh = document_text (values[1], "mesh", parse->findings);
  if (declaration->mesh != NULL
      && !config_name_valid (declaration->mesh, CONFIG_TARGET_NAME_MAX))
    document_problem (parse->findings, values[1], "mesh",
                      "\"%.80s\" is not a valid name: must be 1 to %d of "
                      "a-z, 0-9 and '-', starting with a letter",
                      declaration->mesh, CONFIG_TARGET_NAME_MAX);
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    read_list (parse, kind, values[1 + kind]);
  struct config_report report = { report_problem, parse };
  config_check_each (&declaration->config, false, &report);
  check_moves_connected (parse);
}

enum status
declaration_parse (struct declaration *declaration, const char *yaml,
                   size_t size, struct findings *findings)
{
  static const struct document_limits limits
      = { DECLARATION_BYTES_MAX, NODES_MAX };
  struct declaration parsed = { 0 };
  struct parse parse = { &parsed, findings };
  size_t before = findings->total;
  enum status status
      = document_parse (&parsed.document, yaml, size, &limits, findings);
  if (status != STATUS_OK)
    return status;
  config_init (&parsed.config);
  read_root (&parse);
  status = config_rehash (&parsed.config);
  if (findings->total != before)
    status = status_set (STATUS_INVALID, "the document has %zu findings",
                         findings->total - before);
  if (status == STATUS_OK)
    *declaration = parsed;
  else
    declaration_finish (&parsed);
  return status;
}

void
declaration_finish (struct declaration *declaration)
{
  config_finish (&declaration->config);
  document_finish (&declaration->document);
  *declaration = (struct declaration){ 0 };
}
