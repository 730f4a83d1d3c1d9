/// Builds and reads the node tree of a YAML document.
#include "protocol/document.h"

#include <assert.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <yaml.h>

/// Nodes per allocation. A talloc header for every node would be larger than
/// the node itself.
#define NODE_BLOCK 256

struct builder
{
  struct document *document;
  const struct document_limits *limits;
  struct findings *findings;
  struct document_node *open[DOCUMENT_DEPTH_MAX];   ///< started lists and maps
  struct document_node **tails[DOCUMENT_DEPTH_MAX]; ///< their last link
  size_t depth;
  struct document_node *block;
  size_t block_used;
  size_t nodes;
  bool ended; ///< the first document has ended
};

static void
problem_at (struct builder *builder, const yaml_mark_t *mark,
            const char *message)
{
  findings_add (builder->findings, (int)mark->line + 1, (int)mark->column + 1,
                "document", "%s", message);
}

/// @return a new node, linked into the tree, or NULL after a finding
static struct document_node *
add_node (struct builder *builder, const yaml_event_t *event,
          enum document_kind kind)
{
  if (builder->nodes == builder->limits->nodes)
    {
      problem_at (builder, &event->start_mark,
                  "the document has too many values");
      return NULL;
    }
  if (builder->nodes % NODE_BLOCK == 0)
    {
      builder->block = talloc_array (builder->document->arena,
                                     struct document_node, NODE_BLOCK);
      builder->block_used = 0;
    }
  if (builder->block == NULL)
    {
      problem_at (builder, &event->start_mark, "out of memory");
      return NULL;
    }
  builder->nodes++;
  struct document_node *node = &builder->block[builder->block_used++];
  *node
      = (struct document_node){ .kind = kind,
                                .line = (int)event->start_mark.line + 1,
                                .column = (int)event->start_mark.column + 1 };
  if (builder->depth == 0)
    {
      builder->document->root = node;
      return node;
    }
  size_t parent = builder->depth - 1;
  assert (builder->open[parent] != NULL && builder->tails[parent] != NULL);
  builder->open[parent]->count++;
  *builder->tails[parent] = node;
  builder->tails[parent] = &node->next;
  return node;
}

static bool
open_node (struct builder *builder, const yaml_event_t *event,
           enum document_kind kind, bool no_anchor_or_tag)
{
  if (!no_anchor_or_tag)
    {
      problem_at (builder, &event->start_mark,
                  "anchors and tags are not accepted");
      return false;
    }
  if (builder->depth == DOCUMENT_DEPTH_MAX)
    {
      problem_at (builder, &event->start_mark,
                  "nested too deeply: at most 8 levels are accepted");
      return false;
    }
  struct document_node *node = add_node (builder, event, kind);
  if (node == NULL)
    return false;
  builder->open[builder->depth] = node;
  builder->tails[builder->depth++] = &node->first;
  return true;
}

static bool
add_scalar (struct builder *builder, const yaml_event_t *event)
{
  size_t size = event->data.scalar.length;
  if (event->data.scalar.anchor != NULL || event->data.scalar.tag != NULL)
    {
      problem_at (builder, &event->start_mark,
                  "anchors and tags are not accepted");
      return false;
    }
  if (memchr (event->data.scalar.value, '\0', size) != NULL)
    {
      problem_at (builder, &event->start_mark,
                  "the value contains a zero byte");
      return false;
    }
  struct document_node *node = add_node (builder, event, DOCUMENT_SCALAR);
  if (node == NULL)
    return false;
  node->text = talloc_strndup (builder->document->arena,
                               (const char *)event->data.scalar.value, size);
  return node->text != NULL;
}

/// Handles one event of the YAML parser.
/// @return false when parsing must stop
static bool
handle_event (struct builder *builder, const yaml_event_t *event)
{
  switch (event->type)
    {
    case YAML_DOCUMENT_START_EVENT:
      if (builder->ended)
        problem_at (builder, &event->start_mark,
                    "only one YAML document is accepted");
      return !builder->ended;
    case YAML_DOCUMENT_END_EVENT:
      builder->ended = true;
      return true;
    case YAML_SCALAR_EVENT:
      return add_scalar (builder, event);
    case YAML_SEQUENCE_START_EVENT:
      return open_node (builder, event, DOCUMENT_LIST,
                        event->data.sequence_start.anchor == NULL
                            && event->data.sequence_start.tag == NULL);
    case YAML_MAPPING_START_EVENT:
      return open_node (builder, event, DOCUMENT_MAP,
                        event->data.mapping_start.anchor == NULL
                            && event->data.mapping_start.tag == NULL);
    case YAML_SEQUENCE_END_EVENT:
      assert (builder->depth > 0);
      builder->depth--;
      return true;
    case YAML_MAPPING_END_EVENT:
      assert (builder->depth > 0);
      builder->depth--;
      builder->open[builder->depth]->count /= 2;
      return true;
    case YAML_ALIAS_EVENT:
      problem_at (builder, &event->start_mark, "aliases are not accepted");
      return false;
    default:
      return true;
    }
}

static bool
parse_events (struct builder *builder, yaml_parser_t *parser)
{
  for (;;)
    {
      yaml_event_t event;
      if (!yaml_parser_parse (parser, &event))
        {
          findings_add (builder->findings, (int)parser->problem_mark.line + 1,
                        (int)parser->problem_mark.column + 1, "document",
                        "not valid YAML: %s",
                        parser->problem == NULL ? "unknown error"
                                                : parser->problem);
          return false;
        }
      bool last = event.type == YAML_STREAM_END_EVENT;
      bool accepted = handle_event (builder, &event);
      yaml_event_delete (&event);
      if (!accepted || last)
        return accepted;
    }
}

enum status
document_parse (struct document *document, const char *yaml, size_t size,
                const struct document_limits *limits,
                struct findings *findings)
{
  yaml_parser_t parser;
  struct document parsed = { .arena = talloc_new (NULL) };
  struct builder builder
      = { .document = &parsed, .limits = limits, .findings = findings };
  bool accepted = false;
  if (size > limits->bytes)
    findings_add (findings, 0, 0, "document",
                  "has %zu bytes, at most %zu are accepted", size,
                  limits->bytes);
  else if (parsed.arena == NULL || !yaml_parser_initialize (&parser))
    findings_add (findings, 0, 0, "document", "out of memory");
  else
    {
      yaml_parser_set_encoding (&parser, YAML_UTF8_ENCODING);
      yaml_parser_set_input_string (&parser, (const unsigned char *)yaml,
                                    size);
      accepted = parse_events (&builder, &parser);
      yaml_parser_delete (&parser);
      if (accepted && parsed.root == NULL)
        {
          findings_add (findings, 1, 1, "document", "is empty");
          accepted = false;
        }
    }
  if (!accepted)
    {
      talloc_free (parsed.arena);
      return status_set (STATUS_INVALID, "the document has findings");
    }
  *document = parsed;
  return STATUS_OK;
}

void
document_finish (struct document *document)
{
  talloc_free (document->arena);
  *document = (struct document){ 0 };
}

void
document_problem (struct findings *findings, const struct document_node *node,
                  const char *path, const char *format, ...)
{
  char message[512];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  findings_add (findings, node == NULL ? 0 : node->line,
                node == NULL ? 0 : node->column, path, "%s", message);
}

void
document_path (char path[DOCUMENT_PATH_MAX], const char *parent,
               const char *field)
{
  snprintf (path, DOCUMENT_PATH_MAX, "%.40s%s%.40s", parent,
            parent[0] == '\0' ? "" : ".", field);
}

/// Reports a field that is not accepted and lists the accepted ones.
static void
unknown_field (const struct document_node *key, const char *path,
               const char *const *names, size_t count,
               struct findings *findings)
{
  char accepted[320] = "";
  size_t used = 0;
  for (size_t i = 0; i < count && used + 40 < sizeof accepted; i++)
    used += (size_t)snprintf (accepted + used, sizeof accepted - used, "%s%s",
                              i == 0 ? "" : ", ", names[i]);
  document_problem (findings, key, path,
                    "unknown field; accepted fields are: %s", accepted);
}

bool
document_fields (const struct document_node *map, const char *path,
                 const char *const *names, size_t count, unsigned required,
                 const struct document_node **values,
                 struct findings *findings)
{
  char field[DOCUMENT_PATH_MAX];
  memset ((void *)values, 0, count * sizeof (const struct document_node *));
  if (map->kind != DOCUMENT_MAP)
    {
      document_problem (findings, map, path[0] == '\0' ? "document" : path,
                        "must be a map of fields");
      return false;
    }
  for (const struct document_node *key = map->first; key != NULL;
       key = key->next->next)
    {
      size_t at = 0;
      const char *name = key->kind == DOCUMENT_SCALAR ? key->text : "?";
      while (at < count && strcmp (names[at], name) != 0)
        at++;
      document_path (field, path, name);
      if (at == count)
        unknown_field (key, field, names, count, findings);
      else if (values[at] != NULL)
        document_problem (findings, key, field,
                          "given twice; the first is in line %d",
                          values[at]->line);
      else
        values[at] = key->next;
    }
  for (size_t i = 0; i < count; i++)
    if (values[i] == NULL && (required >> i & 1) != 0)
      {
        document_path (field, path, names[i]);
        document_problem (findings, map, field, "is missing");
      }
  return true;
}

const char *
document_text (const struct document_node *node, const char *path,
               struct findings *findings)
{
  if (node == NULL)
    return NULL;
  if (node->kind == DOCUMENT_SCALAR)
    return node->text;
  document_problem (findings, node, path, "must be a single value");
  return NULL;
}

bool
document_number (const struct document_node *node, const char *path,
                 uint64_t min, uint64_t max, uint64_t *value,
                 struct findings *findings)
{
  if (node == NULL)
    return false;
  const char *text = node->kind == DOCUMENT_SCALAR ? node->text : "";
  size_t size = strlen (text);
  uint64_t number = 0;
  bool accepted = size > 0 && size <= 18 && strspn (text, "0123456789") == size
                  && (text[0] != '0' || size == 1);
  for (size_t i = 0; i < size && accepted; i++)
    number = number * 10 + (uint64_t)(text[i] - '0');
  if (!accepted || number < min || number > max)
    {
      document_problem (findings, node, path,
                        "\"%.40s\" must be a whole number from %llu to %llu",
                        text, (unsigned long long)min,
                        (unsigned long long)max);
      return false;
    }
  *value = number;
  return true;
}

bool
document_bool (const struct document_node *node, const char *path, bool *value,
               struct findings *findings)
{
  if (node == NULL)
    return false;
  const char *text = node->kind == DOCUMENT_SCALAR ? node->text : "";
  if (strcmp (text, "true") != 0 && strcmp (text, "false") != 0)
    {
      document_problem (findings, node, path,
                        "\"%.40s\" must be true or false", text);
      return false;
    }
  *value = text[0] == 't';
  return true;
}

const struct document_node *
document_list (const struct document_node *node, const char *path, size_t max,
               struct findings *findings)
{
  if (node == NULL)
    return NULL;
  /* "routes:" without a value is an empty list. */
  if (node->kind == DOCUMENT_SCALAR && node->text[0] == '\0')
    return NULL;
  if (node->kind != DOCUMENT_LIST)
    {
      document_problem (findings, node, path, "must be a list");
      return NULL;
    }
  if (node->count > max)
    {
      document_problem (findings, node, path,
                        "has %zu entries, at most %zu are accepted",
                        node->count, max);
      return NULL;
    }
  return node;
}

enum status
document_read_file (const char *path, size_t max, char **text, size_t *size)
{
  FILE *stream = fopen (path, "re");
  if (stream == NULL)
    return status_set (STATUS_NOT_FOUND, "%s: %s", path, strerror (errno));
  enum status status = STATUS_OK;
  char *bytes = malloc (max + 1);
  if (bytes == NULL)
    status = status_set (STATUS_NO_MEMORY, "%s: out of memory", path);
  else
    *size = fread (bytes, 1, max + 1, stream);
  if (status == STATUS_OK && ferror (stream))
    status = status_set (STATUS_UNAVAILABLE, "%s cannot be read", path);
  fclose (stream);
  if (status == STATUS_OK)
    *text = bytes;
  else
    free (bytes);
  return status;
}
