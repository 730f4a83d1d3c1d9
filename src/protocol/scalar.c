/// Parsers of single values.
#include "protocol/scalar.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/// Digits of the largest port.
#define PORT_DIGITS 5

bool
scalar_address (const char *text, uint32_t *address)
{
  struct in_addr parsed;
  if (inet_pton (AF_INET, text, &parsed) != 1 || parsed.s_addr == 0)
    return false;
  *address = ntohl (parsed.s_addr);
  return true;
}

bool
scalar_endpoint (const char *text, uint32_t *address, uint16_t *port)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  size_t size = colon == NULL ? 0 : (size_t)(colon - text);
  if (colon == NULL || size >= sizeof host)
    return false;
  memcpy (host, text, size);
  host[size] = '\0';
  const char *digits = colon + 1;
  size_t count = strlen (digits);
  if (count > PORT_DIGITS || strspn (digits, "0123456789") != count
      || digits[0] == '0')
    return false;
  long number = strtol (digits, NULL, 10);
  if (number < 1 || number > UINT16_MAX || !scalar_address (host, address))
    return false;
  *port = (uint16_t)number;
  return true;
}

bool
scalar_duration_ms (const char *text, uint32_t max_ms, uint32_t *ms)
{
  if (text[0] < '0' || text[0] > '9')
    return false;
  char *unit;
  double number = strtod (text, &unit);
  if (strcmp (unit, "s") == 0)
    number *= 1000;
  else if (strcmp (unit, "ms") != 0)
    return false;
  if (!(number >= 0 && number <= max_ms))
    return false;
  *ms = (uint32_t)(number + 0.5);
  return true;
}
