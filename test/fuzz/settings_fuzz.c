/// Parses arbitrary settings. Invariants: accepted ones have every required
/// value; refused ones have findings and leave the settings unchanged.
#include "protocol/settings.h"

#include <stdlib.h>
#include <string.h>

static void
require (int condition)
{
  if (!condition)
    abort ();
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct settings settings, before;
  struct findings findings;
  memset (&settings, 0x5a, sizeof settings);
  before = settings;
  findings_init (&findings, "fuzz");
  if (settings_parse (&settings, "fuzz", (const char *)data, size, &findings)
      == STATUS_OK)
    {
      require (findings.total == 0);
      require (settings.mesh[0] != '\0' && settings.slot[0] != '\0');
      require (settings.store.port != 0 && settings.address != 0);
      require (settings.key_count >= 1
               && settings.key_count <= SETTINGS_KEYS_MAX);
      require (settings.peer_port != settings.call_port);
    }
  else
    {
      require (findings.total > 0);
      require (memcmp (&settings, &before, sizeof settings) == 0);
    }
  findings_finish (&findings);
  return 0;
}
