/// Stateless; heads belong to their talloc contexts.
#include "transport/http_head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/// Names in a Connection field up to which each field is compared with all of
/// them. A longer list is sorted first: a head of 16 KiB could otherwise cost
/// millions of comparisons.
#define NAMES_COMPARED_MAX 8

struct name
{
  const char *text;
  size_t size;
};

bool
http_head_next (const struct http_head *head, struct http_field *field)
{
  const char *last = field->name == NULL ? head->text : field->value;
  if (last == NULL)
    return false;
  const char *next = last + strlen (last) + 1;
  if (next >= head->text + head->text_size)
    return false;
  field->name = next;
  field->value = next + strlen (next) + 1;
  return true;
}

const char *
http_head_find (const struct http_head *head, const char *name)
{
  struct http_field field = { 0 };
  while (http_head_next (head, &field))
    if (strcasecmp (field.name, name) == 0)
      return field.value;
  return NULL;
}

struct http_head *
http_head_copy (void *context, const struct http_head *head)
{
  struct http_head *copy = talloc (context, struct http_head);
  if (copy == NULL)
    return NULL;
  *copy = *head;
  char *text = talloc_memdup (copy, head->text, head->text_size);
  if (text == NULL)
    {
      talloc_free (copy);
      return NULL;
    }
  copy->text = text;
  if (head->target != NULL)
    copy->target = text;
  return copy;
}

size_t
http_head_memory (const struct http_head *head)
{
  return sizeof *head + head->text_size;
}

bool
http_field_is_hop_by_hop (const char *name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Upgrade",
                                       "Transfer-Encoding",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static int
compare_names (const void *a, const void *b)
{
  const struct name *left = a;
  const struct name *right = b;
  if (left->size != right->size)
    return left->size < right->size ? -1 : 1;
  return strncasecmp (left->text, right->text, left->size);
}

/// Moves to the next name in a Connection field.
/// @param name  its text is the field's value and its size 0 before the first
///              one
/// @return false when there is none left
static bool
next_name (struct name *name)
{
  const char *text = name->text + name->size;
  name->text = text + strspn (text, " \t,");
  name->size = strcspn (name->text, " \t,");
  return name->size > 0;
}

/// Sorts the names in a Connection field.
/// @param count  set to their number
/// @return NULL if they are few, or memory is exhausted
static struct name *
sort_names (const char *list, size_t *count)
{
  struct name name = { .text = list };
  *count = 0;
  while (next_name (&name))
    ++*count;
  if (*count <= NAMES_COMPARED_MAX)
    return NULL;
  struct name *names = calloc (*count, sizeof *names);
  if (names == NULL)
    return NULL;
  name = (struct name){ .text = list };
  for (size_t i = 0; i < *count && next_name (&name); i++)
    names[i] = name;
  qsort (names, *count, sizeof *names, compare_names);
  return names;
}

/// @param names  sorted names of the list, or NULL
static bool
contains_name (const char *list, const struct name *names, size_t count,
               const char *text)
{
  struct name wanted = { .text = text, .size = strlen (text) };
  if (names != NULL)
    return bsearch (&wanted, names, count, sizeof wanted, compare_names)
           != NULL;
  struct name name = { .text = list };
  while (next_name (&name))
    if (compare_names (&wanted, &name) == 0)
      return true;
  return false;
}

void
http_write_fields (struct evbuffer *buffer, const struct http_head *head,
                   const char *const *skip)
{
  const char *connection = http_head_find (head, "Connection");
  if (connection == NULL)
    connection = "";
  size_t count;
  struct name *names = sort_names (connection, &count);
  struct http_field field = { 0 };
  while (http_head_next (head, &field))
    {
      bool skip_field
          = strcasecmp (field.name, "Content-Length") == 0
            || http_field_is_hop_by_hop (field.name)
            || contains_name (connection, names, count, field.name);
      for (size_t k = 0; !skip_field && skip != NULL && skip[k] != NULL; k++)
        skip_field = strcasecmp (field.name, skip[k]) == 0;
      if (skip_field)
        continue;
      evbuffer_add (buffer, field.name, strlen (field.name));
      evbuffer_add (buffer, ": ", 2);
      evbuffer_add (buffer, field.value, strlen (field.value));
      evbuffer_add (buffer, "\r\n", 2);
    }
  free (names);
}
