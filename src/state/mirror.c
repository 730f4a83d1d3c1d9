/// Copies of keys and values in an array that is searched linearly. The mirror
/// owns the copies.
#include "state/mirror.h"

#include <stdlib.h>
#include <string.h>

void
mirror_init (struct mirror *mirror)
{
  memset (mirror, 0, sizeof *mirror);
}

void
mirror_clear (struct mirror *mirror, uint64_t as_of)
{
  for (size_t i = 0; i < mirror->count; i++)
    {
      free (mirror->items[i].key);
      free (mirror->items[i].data);
    }
  mirror->count = 0;
  mirror->removed = 0;
  mirror->complete_since = as_of;
}

void
mirror_finish (struct mirror *mirror)
{
  mirror_clear (mirror, 0);
  free (mirror->items);
  mirror_init (mirror);
}

static struct mirror_item *
find_item (struct mirror *mirror, const char *key)
{
  for (size_t i = 0; i < mirror->count; i++)
    if (strcmp (mirror->items[i].key, key) == 0)
      return &mirror->items[i];
  return NULL;
}

static struct mirror_item *
add_item (struct mirror *mirror, const char *key)
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
  struct mirror_item *item = find_item (mirror, key);
  if (item != NULL && item->revision >= revision)
    return STATUS_OK;
  uint8_t *copy = malloc (size + 1);
  if (item == NULL)
    item = add_item (mirror, key);
  if (copy == NULL || item == NULL)
    {
      free (copy);
      return status_set (STATUS_NO_MEMORY, "no memory for a copy of %s", key);
    }
  memcpy (copy, data, size);
  mirror->removed -= item->removed;
  item->removed = false;
  free (item->data);
  item->data = copy;
  item->size = size;
  item->revision = revision;
  return STATUS_OK;
}

/// Discards the oldest removed key; the copy is then complete only for changes
/// after that removal.
static void
discard_oldest_removal (struct mirror *mirror)
{
  struct mirror_item *oldest = NULL;
  for (size_t i = 0; i < mirror->count; i++)
    if (mirror->items[i].removed
        && (oldest == NULL || mirror->items[i].revision < oldest->revision))
      oldest = &mirror->items[i];
  if (oldest == NULL)
    return;
  if (oldest->revision > mirror->complete_since)
    mirror->complete_since = oldest->revision;
  free (oldest->key);
  *oldest = mirror->items[--mirror->count];
  mirror->removed--;
}

enum status
mirror_remove (struct mirror *mirror, const char *key, uint64_t revision)
{
  struct mirror_item *item = find_item (mirror, key);
  if (item == NULL)
    item = add_item (mirror, key);
  if (item == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the removal of %s",
                       key);
  if (item->revision > revision)
    return STATUS_OK;
  mirror->removed += !item->removed;
  item->removed = true;
  item->revision = revision;
  free (item->data);
  item->data = NULL;
  item->size = 0;
  if (mirror->removed > MIRROR_REMOVED_MAX)
    discard_oldest_removal (mirror);
  return STATUS_OK;
}
