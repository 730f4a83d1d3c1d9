/// Owns the copies.
#include "state/mirror.h"

#include <stdlib.h>
#include <string.h>

void
mirror_init (struct mirror *mirror)
{
  memset (mirror, 0, sizeof *mirror);
}

void
mirror_clear (struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->count; i++)
    {
      free (mirror->items[i].key);
      free (mirror->items[i].data);
    }
  mirror->count = 0;
}

void
mirror_finish (struct mirror *mirror)
{
  mirror_clear (mirror);
  free (mirror->items);
  mirror_init (mirror);
}

static struct mirror_item *
find (struct mirror *mirror, const char *key)
{
  for (size_t i = 0; i < mirror->count; i++)
    if (strcmp (mirror->items[i].key, key) == 0)
      return &mirror->items[i];
  return NULL;
}

static struct mirror_item *
add (struct mirror *mirror, const char *key)
{
  if (mirror->count == mirror->capacity)
    {
      size_t capacity = mirror->capacity == 0 ? 16 : 2 * mirror->capacity;
      struct mirror_item *items
          = realloc (mirror->items, capacity * sizeof *items);
      if (items == NULL)
        return NULL;
      mirror->items = items;
      mirror->capacity = capacity;
    }
  struct mirror_item *item = &mirror->items[mirror->count];
  *item = (struct mirror_item){ .key = strdup (key) };
  if (item->key == NULL)
    return NULL;
  mirror->count++;
  return item;
}

enum status
mirror_put (struct mirror *mirror, const char *key, uint64_t revision,
            const uint8_t *data, size_t size)
{
  struct mirror_item *item = find (mirror, key);
  if (item != NULL && item->revision >= revision)
    return STATUS_OK;
  uint8_t *copy = malloc (size + 1);
  if (item == NULL)
    item = add (mirror, key);
  if (copy == NULL || item == NULL)
    {
      free (copy);
      return status_set (STATUS_NO_MEMORY, "no memory for a copy of %s", key);
    }
  memcpy (copy, data, size);
  free (item->data);
  item->data = copy;
  item->size = size;
  item->revision = revision;
  return STATUS_OK;
}

void
mirror_remove (struct mirror *mirror, const char *key, uint64_t revision)
{
  struct mirror_item *item = find (mirror, key);
  if (item == NULL || item->revision > revision)
    return;
  free (item->key);
  free (item->data);
  *item = mirror->items[--mirror->count];
}
