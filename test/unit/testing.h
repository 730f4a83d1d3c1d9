/// Runs a table of CUnit cases as one test binary.
#ifndef HAWTHORNSEAM_TEST_TESTING_H
#define HAWTHORNSEAM_TEST_TESTING_H

#include <CUnit/Basic.h>
#include <stddef.h>

struct test_case
{
  const char *name; ///< the failure that the case guards against
  void (*run) (void);
};

/// Runs all cases and prints CUnit's summary.
/// @return exit code for main: 0 if all cases passed, else 1
static inline int
testing_run (const char *suite, const struct test_case *cases, size_t count)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  CU_pSuite registered = CU_add_suite (suite, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    CU_add_test (registered, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  int failures = (int)CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

#endif
