/// Parses arbitrary documents. Invariants: an accepted document, printed and
/// parsed again, gives the same configuration; merging it a second time
/// changes nothing; a refused document has findings.
#include "protocol/declaration.h"

#include <stdlib.h>

static void
require (int condition)
{
  if (!condition)
    abort ();
}

static void
check_round_trip (const struct declaration *declaration)
{
  struct declaration again;
  struct findings findings;
  char *text = NULL;
  size_t size;
  FILE *stream = open_memstream (&text, &size);
  declaration_print (&declaration->config, declaration->mesh, stream);
  fclose (stream);
  findings_init (&findings, "printed");
  if (size <= DECLARATION_BYTES_MAX)
    {
      require (declaration_parse (&again, text, size, &findings) == STATUS_OK);
      require (hash_equal (&again.config.hash, &declaration->config.hash));
      declaration_finish (&again);
    }
  findings_finish (&findings);
  free (text);
}

static void
check_merge (const struct declaration *declaration)
{
  struct config empty, merged, again;
  struct findings findings;
  findings_init (&findings, "merge");
  config_init (&empty);
  if (declaration_merge (declaration, &empty, 0, &merged, &findings)
      == STATUS_OK)
    {
      require (config_check (&merged, &findings) == STATUS_OK);
      require (declaration_merge (declaration, &merged, 0, &again, &findings)
               == STATUS_OK);
      require (hash_equal (&merged.hash, &again.hash));
      config_finish (&merged);
      config_finish (&again);
    }
  else
    require (findings.total > 0);
  config_finish (&empty);
  findings_finish (&findings);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct declaration declaration;
  struct findings findings;
  findings_init (&findings, "fuzz");
  if (declaration_parse (&declaration, (const char *)data, size, &findings)
      == STATUS_OK)
    {
      check_round_trip (&declaration);
      check_merge (&declaration);
      declaration_finish (&declaration);
    }
  else
    require (findings.total > 0);
  findings_finish (&findings);
  return 0;
}
