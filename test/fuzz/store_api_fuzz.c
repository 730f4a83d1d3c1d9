/// Feeds arbitrary responses and keys to the store's HTTP codec. Invariants: a
/// successful reply is complete; a path holds no character that would end or
/// escape it, and at most one query string.
#include "protocol/store_api.h"

#include <string.h>
#include <talloc.h>

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      __builtin_trap ();                                                      \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_path (enum store_call call, const char *key)
{
  struct store_request request = { .call = call, .key = key, .revision = 1 };
  char path[STORE_API_PATH_MAX];
  if (store_api_path (&request, path) != STATUS_OK)
    return;
  CHECK (path[0] == '/' && strpbrk (path, " \r\n\t%#") == NULL);
  const char *query = strchr (path, '?');
  CHECK (query == NULL || strchr (query + 1, '?') == NULL);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const int codes[]
      = { 200, 304, 404, 409, 400, 413, 429, 503, 500, 0, 302 };
  if (size < 3)
    return 0;
  enum store_call call = data[0] % 7;
  int code = codes[data[1] % (sizeof codes / sizeof codes[0])];
  size_t text_size = data[2] % 32;
  data += 3;
  size -= 3;
  if (text_size > size)
    text_size = size;
  char text[32] = { 0 };
  memcpy (text, data, text_size);
  check_path (call, text);
  void *arena = talloc_new (NULL);
  struct store_reply reply;
  store_api_parse_response (call, code, text_size == 0 ? NULL : text,
                            data + text_size, size - text_size, arena, &reply);
  CHECK (
      reply.data == NULL
      || (reply.data == data + text_size && reply.size == size - text_size));
  if (reply.status == STATUS_OK
      && (call == STORE_CALL_GET || call == STORE_CALL_PUT))
    CHECK (reply.revision > 0);
  if (reply.status == STATUS_OK && call == STORE_CALL_LIST)
    for (size_t i = 0; i < reply.key_count; i++)
      CHECK (reply.keys[i].revision > 0 && reply.keys[i].key[0] != '\0');
  if (reply.status == STATUS_CONFLICT)
    CHECK (reply.revision > 0 || reply.size == 0);
  talloc_free (arena);
  return 0;
}
