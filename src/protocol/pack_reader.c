/// Reads msgpack values in place.
#include "protocol/pack_reader.h"

static bool
fail (struct pack_reader *reader)
{
  reader->failed = true;
  return false;
}

static size_t
remaining (const struct pack_reader *reader)
{
  return (size_t)(reader->end - reader->at);
}

/// Reads a big-endian number of 1, 2, 4 or 8 bytes.
static bool
read_number (struct pack_reader *reader, size_t size, uint64_t *value)
{
  if (remaining (reader) < size)
    return fail (reader);
  *value = 0;
  for (size_t i = 0; i < size; i++)
    *value = *value << 8 | *reader->at++;
  return true;
}

static bool
read_tag (struct pack_reader *reader, uint8_t *tag)
{
  if (reader->failed || remaining (reader) == 0)
    return fail (reader);
  *tag = *reader->at++;
  return true;
}

void
pack_reader_init (struct pack_reader *reader, const uint8_t *bytes,
                  size_t size)
{
  *reader = (struct pack_reader){ .at = bytes, .end = bytes + size };
}

uint32_t
pack_read_array (struct pack_reader *reader)
{
  uint8_t tag;
  uint64_t count;
  if (!read_tag (reader, &tag))
    return 0;
  if ((tag & 0xf0) == 0x90)
    count = tag & 0x0f;
  else if (tag != 0xdc && tag != 0xdd)
    return fail (reader);
  else if (!read_number (reader, tag == 0xdc ? 2 : 4, &count))
    return 0;
  if (count > remaining (reader))
    return fail (reader);
  return (uint32_t)count;
}

uint64_t
pack_read_uint (struct pack_reader *reader, uint64_t max)
{
  uint8_t tag;
  uint64_t value;
  if (!read_tag (reader, &tag))
    return 0;
  if (tag < 0x80)
    value = tag;
  else if (tag < 0xcc || tag > 0xcf)
    return fail (reader);
  else if (!read_number (reader, (size_t)1 << (tag - 0xcc), &value))
    return 0;
  if (value > max)
    return fail (reader);
  return value;
}

bool
pack_read_bool (struct pack_reader *reader)
{
  uint8_t tag;
  if (!read_tag (reader, &tag))
    return false;
  if (tag != 0xc2 && tag != 0xc3)
    return fail (reader);
  return tag == 0xc3;
}

const uint8_t *
pack_read_bin (struct pack_reader *reader, size_t size_min, size_t size_max,
               size_t *size)
{
  uint8_t tag;
  uint64_t count;
  *size = 0;
  if (!read_tag (reader, &tag))
    return NULL;
  if (tag < 0xc4 || tag > 0xc6)
    {
      fail (reader);
      return NULL;
    }
  if (!read_number (reader, (size_t)1 << (tag - 0xc4), &count))
    return NULL;
  if (count > remaining (reader) || count < size_min || count > size_max)
    {
      fail (reader);
      return NULL;
    }
  const uint8_t *bytes = reader->at;
  reader->at += count;
  *size = (size_t)count;
  return bytes;
}

bool
pack_reader_done (const struct pack_reader *reader)
{
  return !reader->failed && reader->at == reader->end;
}
