#include "state/config_rollback.h"
#include "testing.h"

#include <string.h>

struct rollback_case
{
  const char *older_version;   ///< of the service; NULL: no such service
  enum move_phase older_phase; ///< of the move in the older version
  enum move_phase phase;       ///< of the move in the current version
  bool has_move;               ///< the move is in the current version
  enum status status;
  int result; ///< phase after the rollback, -1: the move is absent
};

static const struct rollback_case rollback_cases[] = {
  /* The service keeps the version from which the move starts. */
  { "v1", MOVE_RUNNING, MOVE_RUNNING, true, STATUS_OK, MOVE_RUNNING },
  /* The service returns to a version before the move, or does not exist. */
  { "v0", MOVE_RUNNING, MOVE_RUNNING, true, STATUS_OK, MOVE_CANCELLED },
  { NULL, MOVE_RUNNING, MOVE_RUNNING, true, STATUS_CONFLICT, 0 },
  { NULL, MOVE_RUNNING, MOVE_DONE, true, STATUS_OK, -1 },
  { "v1", MOVE_RUNNING, MOVE_ROLLED_BACK, true, STATUS_OK, MOVE_ROLLED_BACK },
  { "v1", MOVE_RUNNING, MOVE_DONE, true, STATUS_OK, MOVE_DONE },
  /* The move was removed since the older version. */
  { "v1", MOVE_RUNNING, MOVE_DONE, false, STATUS_OK, -1 },
  { "v1", MOVE_CANCELLED, MOVE_DONE, false, STATUS_OK, MOVE_CANCELLED },
};

static void
build (struct config *config, const char *version, bool has_move,
       enum move_phase phase)
{
  struct config_service pecet = { "pecet", version },
                        other = { "other", "v1" };
  struct config_move move = { .name = "pecet-v2",
                              .service = "pecet",
                              .from = "v1",
                              .to = "v2",
                              .phase = phase,
                              .share_bp = 500 };
  config_init (config);
  config_set_service (config, &other);
  if (version == NULL)
    return;
  config_set_service (config, &pecet);
  if (has_move)
    config_set_move (config, &move);
}

static void
test_moves_are_not_rolled_back (void)
{
  for (size_t i = 0; i < sizeof rollback_cases / sizeof rollback_cases[0]; i++)
    {
      const struct rollback_case *row = &rollback_cases[i];
      struct config older, current, content;
      bool older_has_move = row->older_version != NULL
                            && strcmp (row->older_version, "v1") == 0;
      build (&older, row->older_version, older_has_move, row->older_phase);
      build (&current, row->phase == MOVE_DONE ? "v2" : "v1", row->has_move,
             row->phase);
      older.version = 3;
      current.version = 9;
      enum status status = config_rollback (&older, &current, &content);
      CU_ASSERT_EQUAL (status, row->status);
      if (status == STATUS_OK)
        {
          const struct config_move *move
              = config_find_move (&content, "pecet-v2");
          CU_ASSERT_EQUAL (move == NULL ? -1 : (int)move->phase, row->result);
          CU_ASSERT (move == NULL || move->phase != MOVE_CANCELLED
                     || !row->has_move || move->share_bp == 0);
          CU_ASSERT_EQUAL (content.version, 9);
          config_finish (&content);
        }
      config_finish (&older);
      config_finish (&current);
    }
}

static const struct test_case cases[] = {
  { "a rollback restarts a move, or keeps one that cannot run",
    test_moves_are_not_rolled_back },
};

int
main (void)
{
  return testing_run ("config_rollback", cases,
                      sizeof cases / sizeof cases[0]);
}
