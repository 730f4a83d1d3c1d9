#include "hawthornseam.h"
#include "protocol/declaration.h"
#include "testing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct hawthornseam_mesh *
create_mesh (void)
{
  struct hawthornseam_mesh *mesh = NULL;
  struct hawthornseam_service service = { "pecet", "1.0" };
  CU_ASSERT_EQUAL_FATAL (hawthornseam_new ("zapis", &mesh), HAWTHORNSEAM_OK);
  CU_ASSERT_EQUAL (hawthornseam_add_service (mesh, &service), HAWTHORNSEAM_OK);
  return mesh;
}

static void
test_document_is_accepted (void)
{
  struct hawthornseam_mesh *mesh = create_mesh ();
  struct hawthornseam_route route = { "seal", "/s:e,al/", "pecet", false, 9 };
  struct hawthornseam_move move
      = { "true", "pecet", "1.0", "null", "2028-02-29T23:59:59Z" };
  struct declaration declaration;
  struct findings findings;
  char *text = NULL;
  size_t size;
  FILE *stream = open_memstream (&text, &size);
  CU_ASSERT_EQUAL (hawthornseam_add_route (mesh, &route), HAWTHORNSEAM_OK);
  CU_ASSERT_EQUAL (hawthornseam_add_move (mesh, &move), HAWTHORNSEAM_OK);
  CU_ASSERT_EQUAL (hawthornseam_print (mesh, stream), HAWTHORNSEAM_OK);
  fclose (stream);
  findings_init (&findings, "library");
  CU_ASSERT_EQUAL_FATAL (
      declaration_parse (&declaration, text, size, &findings), STATUS_OK);
  CU_ASSERT_STRING_EQUAL (declaration.config.moves[0].to, "null");
  CU_ASSERT_STRING_EQUAL (declaration.config.routes[0].prefix, "/s:e,al/");
  declaration_finish (&declaration);
  findings_finish (&findings);
  hawthornseam_free (mesh);
  free (text);
}

static void
test_wrong_routes (void)
{
  static const struct
  {
    struct hawthornseam_route route;
    enum hawthornseam_status status;
  } rows[] = {
    { { "r", "/r", "absent", true, 1 }, HAWTHORNSEAM_UNDECLARED },
    { { "r", "/r", NULL, true, 1 }, HAWTHORNSEAM_UNDECLARED },
    { { NULL, "/r", "pecet", true, 1 }, HAWTHORNSEAM_INVALID },
    { { "r", NULL, "pecet", true, 1 }, HAWTHORNSEAM_INVALID },
    { { "r", "/a\"b", "pecet", true, 1 }, HAWTHORNSEAM_INVALID },
    { { "r", "/a/..", "pecet", true, 1 }, HAWTHORNSEAM_INVALID },
    { { "r", "/r", "pecet", true, 0 }, HAWTHORNSEAM_INVALID },
    { { "r", "/base", "pecet", true, 1 }, HAWTHORNSEAM_DUPLICATE },
    { { "base", "/r", "pecet", true, 1 }, HAWTHORNSEAM_DUPLICATE },
  };
  struct hawthornseam_mesh *mesh = create_mesh ();
  struct hawthornseam_route base = { "base", "/base/", "pecet", true, 1 };
  CU_ASSERT_EQUAL (hawthornseam_add_route (mesh, &base), HAWTHORNSEAM_OK);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    CU_ASSERT_EQUAL (hawthornseam_add_route (mesh, &rows[i].route),
                     rows[i].status);
  hawthornseam_free (mesh);
}

static void
test_wrong_times (void)
{
  static const char *const rows[] = { NULL,
                                      "",
                                      "2027-02-29T00:00:00Z",
                                      "2027-01-01T24:00:00Z",
                                      "2027-01-01 00:00:00Z",
                                      "2027-00-01T00:00:00Z" };
  struct hawthornseam_mesh *mesh = create_mesh ();
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct hawthornseam_move move = { "m", "pecet", "1.0", "2.0", rows[i] };
      CU_ASSERT_EQUAL (hawthornseam_add_move (mesh, &move),
                       HAWTHORNSEAM_INVALID);
      CU_ASSERT (strstr (hawthornseam_message (), "m: by") != NULL);
    }
  hawthornseam_free (mesh);
}

static void
test_failed_output (void)
{
  struct hawthornseam_mesh *mesh = create_mesh ();
  FILE *stream = fopen ("/dev/full", "w");
  if (stream != NULL)
    {
      CU_ASSERT_EQUAL (hawthornseam_print (mesh, stream), HAWTHORNSEAM_OUTPUT);
      fclose (stream);
    }
  hawthornseam_free (mesh);
}

static const struct test_case cases[] = {
  { "a printed document is refused or read differently",
    test_document_is_accepted },
  { "a wrong route is printed", test_wrong_routes },
  { "a wrong time is printed", test_wrong_times },
  { "a full disk is reported as success", test_failed_output },
};

int
main (void)
{
  return testing_run ("library", cases, sizeof cases / sizeof cases[0]);
}
