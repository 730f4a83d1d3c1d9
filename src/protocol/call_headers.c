/// Parses and formats the values of call headers.
#include "protocol/call_headers.h"

#include <assert.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char *const outcome_names[] = {
  [CALL_RAN] = "ran",
  [CALL_NOT_RUN] = "not-run",
  [CALL_UNKNOWN] = "unknown",
};

static const char *const hop_by_hop[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect",
};

/// Parses a decimal number of at most 9 digits, which always fit in 32 bits.
/// @return the first byte after it, or NULL when there is none or it is longer
static const char *
read_number (const char *text, uint32_t *value)
{
  uint32_t number = 0;
  unsigned digits = 0;
  for (; *text >= '0' && *text <= '9'; text++)
    {
      if (++digits > 9)
        return NULL;
      number = number * 10 + (uint32_t)(*text - '0');
    }
  *value = number;
  return digits == 0 ? NULL : text;
}

/// Parses exactly `digits` lower-case hexadecimal digits.
/// @return the first byte after them or NULL
static const char *
read_hex (const char *text, unsigned digits, uint64_t *value)
{
  uint64_t number = 0;
  for (unsigned i = 0; i < digits; i++, text++)
    {
      char c = *text;
      if (c >= '0' && c <= '9')
        number = number * 16 + (uint64_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        number = number * 16 + (uint64_t)(c - 'a' + 10);
      else
        return NULL;
    }
  *value = number;
  return text;
}

const char *
call_outcome_name (enum call_outcome outcome)
{
  return outcome_names[outcome];
}

enum status
call_outcome_parse (const char *text, enum call_outcome *outcome)
{
  for (size_t i = 0;
       text != NULL && i < sizeof outcome_names / sizeof outcome_names[0]; i++)
    if (strcmp (text, outcome_names[i]) == 0)
      {
        *outcome = (enum call_outcome)i;
        return STATUS_OK;
      }
  return status_set (STATUS_INVALID, "unknown outcome '%s'",
                     text == NULL ? "" : text);
}

const char *
call_refusal_reason (enum admit_refusal refusal)
{
  switch (refusal)
    {
    case ADMIT_REFUSED_ABSENT:
      return CALL_REASON_NO_TARGET;
    case ADMIT_REFUSED_DRAINING:
      return CALL_REASON_DRAINING;
    case ADMIT_REFUSED_FULL:
      return CALL_REASON_QUEUE_FULL;
    case ADMIT_REFUSED_LATE:
      return CALL_REASON_DEADLINE;
    }
  assert (!"unknown refusal");
  return CALL_REASON_NO_TARGET;
}

enum status
call_deadline_parse (const char *text, uint32_t fallback_ms, uint32_t *left_ms)
{
  uint32_t left = fallback_ms;
  if (text != NULL)
    {
      const char *end = read_number (text, &left);
      if (end == NULL || *end != '\0')
        return status_set (STATUS_INVALID,
                           "%s '%.40s' is not a number of milliseconds",
                           CALL_HEADER_DEADLINE, text);
    }
  *left_ms = left < CALL_DEADLINE_MAX_MS ? left : CALL_DEADLINE_MAX_MS;
  return STATUS_OK;
}

enum status
call_load_parse (const char *text, uint32_t *in_use, uint32_t *slots)
{
  const char *end = read_number (text, in_use);
  if (end != NULL && *end == '/')
    {
      end = read_number (end + 1, slots);
      if (end != NULL && *end == '\0')
        return STATUS_OK;
    }
  return status_set (STATUS_INVALID,
                     "%s '%.40s' does not have the form IN_USE/SLOTS",
                     CALL_HEADER_LOAD, text);
}

enum status
call_crash_parse (const char *text, uint64_t *crash)
{
  const char *end = read_hex (text, 16, crash);
  if (end != NULL && *end == '\0' && *crash != 0)
    return STATUS_OK;
  return status_set (STATUS_INVALID,
                     "%s '%.40s' must be 16 hexadecimal digits, not all 0",
                     CALL_HEADER_CRASH, text);
}

bool
call_header_is_hop_by_hop (const char *name)
{
  if (strncasecmp (name, "Hawthornseam-", 13) == 0)
    return true;
  for (size_t i = 0; i < sizeof hop_by_hop / sizeof hop_by_hop[0]; i++)
    if (strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return false;
}

bool
call_header_is_listed (const char *connection, const char *name)
{
  size_t length = strlen (name);
  for (const char *token = connection; token != NULL;
       token = strchr (token, ','))
    {
      token += strspn (token, ", \t");
      if (strncasecmp (token, name, length) == 0
          && strchr (", \t", token[length]) != NULL)
        return true;
    }
  return false;
}

static void
hash_string (crypto_generichash_state *state, const char *text)
{
  /* Including the terminating zero, so that different lists of strings never
     give the same input. */
  if (text == NULL)
    text = "";
  crypto_generichash_update (state, (const uint8_t *)text, strlen (text) + 1);
}

void
call_hop_write (const struct call_hop *hop, uint32_t key_id,
                const uint8_t key[32], char text[CALL_HOP_SIZE])
{
  uint8_t code[16];
  char code_hex[2 * sizeof code + 1];
  crypto_generichash_state state;
  crypto_generichash_init (&state, key, 32, sizeof code);
  hash_string (&state, "hawthornseam hop 1");
  uint8_t slot[8];
  for (unsigned i = 0; i < sizeof slot; i++)
    slot[i] = (uint8_t)(hop->destination_slot >> (8 * i));
  crypto_generichash_update (&state, slot, sizeof slot);
  hash_string (&state, hop->method);
  hash_string (&state, hop->uri);
  hash_string (&state, hop->key);
  crypto_generichash_final (&state, code, sizeof code);
  sodium_bin2hex (code_hex, sizeof code_hex, code, sizeof code);
  snprintf (text, CALL_HOP_SIZE, "%08x %016llx %s", key_id,
            (unsigned long long)hop->destination_slot, code_hex);
}

enum status
call_hop_key_id (const char *text, uint32_t *key_id)
{
  uint64_t id;
  if (strlen (text) != CALL_HOP_SIZE - 1 || read_hex (text, 8, &id) == NULL)
    return status_set (STATUS_INVALID, "%s has a wrong length or key id",
                       CALL_HEADER_HOP);
  *key_id = (uint32_t)id;
  return STATUS_OK;
}

bool
call_hop_check (const char *text, const struct call_hop *hop, uint32_t key_id,
                const uint8_t key[32])
{
  char expected[CALL_HOP_SIZE];
  call_hop_write (hop, key_id, key, expected);
  return strlen (text) == CALL_HOP_SIZE - 1
         && sodium_memcmp (text, expected, CALL_HOP_SIZE - 1) == 0;
}
