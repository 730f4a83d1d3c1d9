/// Changes of the configuration by operators. Each change first checks in the
/// head record of the store whether its nonce was already accepted, so that a
/// client that got no response can safely repeat its request. Then it builds
/// the new configuration and publishes it.
#include "node/node_admin.h"

#include "base/clock.h"
#include "node/node_history.h"
#include "protocol/declaration.h"
#include "state/config_check.h"
#include "state/config_rollback.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct change
{
  struct node *node;
  struct admin_request *request;
  /// Builds the new configuration. Must end in publish or respond_refused,
  /// or respond and free the change itself.
  void (*prepare) (struct change *change, const struct record_head *head);
  const char *author;
  const char *note;
  uint64_t nonce;
  uint64_t base_version; ///< stated by the client; 0: none
  uint64_t rollback_version;
  bool retry;    ///< the same request may succeed later
  json_t *lines; ///< lines of the diff; NULL before it is known
};

static const struct config *
in_force (const struct change *change)
{
  return config_follower_current (node_config_follower (change->node));
}

static json_t *
diff_lines (const struct config *from, const struct config *to)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (stream == NULL)
    return json_array ();
  declaration_print_diff (from, to, stream);
  fclose (stream);
  json_t *lines = node_admin_lines (text);
  free (text);
  return lines;
}

static int
free_change (struct change *change)
{
  json_decref (change->lines);
  return 0;
}

/// Responds with an error status, its message and whether the same request may
/// succeed later, and frees the change.
/// @param version  newest version known
static void
respond_refused (struct change *change, enum status status, uint64_t version)
{
  if (status == STATUS_UNAVAILABLE || status == STATUS_UNKNOWN
      || status == STATUS_TIMEOUT)
    change->retry = true;
  node_admin_reply_json (
      change->request, node_admin_http_status (status),
      json_pack ("{s:s, s:o, s:I, s:b}", "status", status_name (status),
                 "message", node_admin_text (status_message ()), "version",
                 (json_int_t)version, "retry", (int)change->retry));
  talloc_free (change);
}

static void
respond_accepted (struct change *change, uint64_t version, bool changed)
{
  json_t *lines
      = change->lines == NULL ? json_array () : json_incref (change->lines);
  node_admin_reply_json (change->request, 200,
                         json_pack ("{s:s, s:I, s:b, s:o}", "status", "ok",
                                    "version", (json_int_t)version, "changed",
                                    (int)changed, "changes", lines));
  talloc_free (change);
}

static void
on_published (void *arg, enum status status, uint64_t version)
{
  struct change *change = arg;
  if (status == STATUS_OK)
    {
      respond_accepted (change, version, true);
      return;
    }
  change->retry = status == STATUS_CONFLICT;
  if (status == STATUS_CONFLICT)
    status_set (status, "another writer published version %llu first",
                (unsigned long long)version);
  else if (status != STATUS_INVALID)
    status_set (status, "the store did not confirm the change: %s",
                status_name (status));
  respond_refused (change, status, version);
}

/// Publishes a configuration as the next version, unless it equals the one in
/// force, and finishes it.
static void
publish (struct change *change, struct config *content)
{
  uint64_t version = in_force (change)->version;
  change->lines = diff_lines (in_force (change), content);
  if (hash_equal (&content->hash, &in_force (change)->hash))
    respond_accepted (change, version, false);
  else
    node_config_publish (change->node, content, version, change->author,
                         change->note, change->nonce, on_published, change);
  config_finish (content);
}

static void
on_head (void *arg, enum status status, const struct record_head *head)
{
  struct change *change = arg;
  uint64_t version = in_force (change)->version;
  if (status != STATUS_OK && status != STATUS_NOT_FOUND)
    {
      respond_refused (change, status, version);
      return;
    }
  uint64_t accepted
      = status == STATUS_OK ? record_head_version_of (head, change->nonce) : 0;
  if (accepted != 0)
    {
      respond_accepted (change, accepted, true);
      return;
    }
  if (change->base_version != 0 && change->base_version != version)
    {
      respond_refused (
          change,
          status_set (STATUS_CONFLICT,
                      "the change is based on version %llu, version %llu "
                      "is in force",
                      (unsigned long long)change->base_version,
                      (unsigned long long)version),
          version);
      return;
    }
  if (status == STATUS_OK && head->version != version)
    {
      change->retry = true;
      respond_refused (
          change,
          status_set (STATUS_CONFLICT,
                      "this node has version %llu, version %llu is "
                      "accepted",
                      (unsigned long long)version,
                      (unsigned long long)head->version),
          head->version);
      return;
    }
  change->prepare (change, head);
}

/// @param max  bytes
/// @return true when a text may be stored in a version record: not too long,
/// valid UTF-8, no control characters
static bool
text_is_valid (const char *text, size_t max)
{
  json_t *value = strlen (text) <= max ? json_string (text) : NULL;
  bool accepted = value != NULL;
  json_decref (value);
  for (; accepted && *text != '\0'; text++)
    accepted = (unsigned char)*text >= ' ' && *text != 0x7f;
  return accepted;
}

/// Parses a number from a header or query parameter.
/// @param text    NULL: absent; `number` keeps its value
/// @param base    10 or 16
/// @return false when the text is present and not a number of at most 16
/// digits
static bool
read_number (const char *text, int base, uint64_t *number)
{
  const char *digits = base == 16 ? "0123456789abcdef" : "0123456789";
  if (text == NULL)
    return true;
  size_t size = strlen (text);
  if (size == 0 || size > 16 || strspn (text, digits) != size)
    return false;
  *number = strtoull (text, NULL, base);
  return true;
}

/// Reads the headers that are common to all changes.
static enum status
read_headers (struct change *change)
{
  const struct admin_request *request = change->request;
  const char *note = admin_header (request, "Hawthornseam-Note");
  change->author = admin_header (request, "Hawthornseam-Author");
  change->note = note == NULL ? "" : note;
  change->nonce = rng_u64 (&change->node->rng);
  /* This header is required because a web page cannot set it on a cross-origin
     request, so no page in an operator's browser can change the mesh. */
  if (change->author == NULL || change->author[0] == '\0'
      || !text_is_valid (change->author, RECORD_AUTHOR_MAX))
    return status_set (STATUS_INVALID,
                       "header Hawthornseam-Author is required: 1 to %d bytes "
                       "of UTF-8 text without control characters",
                       RECORD_AUTHOR_MAX);
  if (!text_is_valid (change->note, RECORD_NOTE_MAX))
    return status_set (STATUS_INVALID,
                       "header Hawthornseam-Note must be at most %d bytes of "
                       "UTF-8 text without control characters",
                       RECORD_NOTE_MAX);
  if (!read_number (admin_header (request, "Hawthornseam-Nonce"), 16,
                    &change->nonce)
      || change->nonce == 0)
    return status_set (STATUS_INVALID,
                       "header Hawthornseam-Nonce must be 1 to 16 lower-case "
                       "hexadecimal digits and not 0");
  if (!read_number (admin_header (request, "Hawthornseam-Base-Version"), 10,
                    &change->base_version))
    return status_set (STATUS_INVALID,
                       "header Hawthornseam-Base-Version must be a version "
                       "number");
  return STATUS_OK;
}

static void
start_change (struct node *node, struct admin_request *request,
              void (*prepare) (struct change *change,
                               const struct record_head *head))
{
  struct change *change = talloc_zero (NULL, struct change);
  if (change == NULL)
    {
      node_admin_reply_status (request, STATUS_NO_MEMORY, "out of memory");
      return;
    }
  talloc_set_destructor (change, free_change);
  change->node = node;
  change->request = request;
  change->prepare = prepare;
  enum status status = read_headers (change);
  if (status == STATUS_OK && prepare != NULL
      && !config_follower_ready (node_config_follower (node)))
    status = status_set (STATUS_UNAVAILABLE,
                         "the node is not ready: its configuration may be "
                         "outdated");
  const char *version = admin_query (request, "version");
  if (status == STATUS_OK
      && !read_number (version, 10, &change->rollback_version))
    status = status_set (STATUS_INVALID,
                         "parameter version must be a decimal number");
  if (status != STATUS_OK)
    respond_refused (change, status, in_force (change)->version);
  else
    node_history_head (node, on_head, change);
}

static void
reply_findings (struct admin_request *request, const struct findings *findings,
                uint64_t version)
{
  char message[64];
  snprintf (message, sizeof message, "%zu findings", findings->total);
  node_admin_reply_json (request, 400,
                         json_pack ("{s:s, s:s, s:I, s:o}", "status",
                                    "invalid", "message", message, "version",
                                    (json_int_t)version, "findings",
                                    node_admin_findings (findings)));
}

void
node_admin_validate (void *arg, struct admin_request *request)
{
  struct node *node = arg;
  const struct config *current
      = config_follower_current (node_config_follower (node));
  struct config merged;
  struct findings findings;
  size_t size;
  const char *body = admin_body (request, &size);
  findings_init (&findings, "document");
  enum status status = node_admin_merge (node, body, size, clock_wall_ms (),
                                         &merged, &findings);
  if (status == STATUS_OK)
    {
      node_admin_reply_json (
          request, 200,
          json_pack ("{s:s, s:I, s:o}", "status", "ok", "version",
                     (json_int_t)current->version, "changes",
                     diff_lines (current, &merged)));
      config_finish (&merged);
    }
  else if (findings.total > 0)
    reply_findings (request, &findings, current->version);
  else
    node_admin_reply_status (request, status, status_message ());
  findings_finish (&findings);
}

static void
prepare_apply (struct change *change, const struct record_head *head)
{
  struct config merged;
  struct findings findings;
  size_t size;
  const char *body = admin_body (change->request, &size);
  findings_init (&findings, "document");
  enum status status = node_admin_merge (change->node, body, size,
                                         clock_wall_ms (), &merged, &findings);
  if (status == STATUS_OK)
    publish (change, &merged);
  else if (findings.total > 0)
    {
      reply_findings (change->request, &findings, in_force (change)->version);
      talloc_free (change);
    }
  else
    respond_refused (change, status, in_force (change)->version);
  findings_finish (&findings);
}

void
node_admin_apply (void *arg, struct admin_request *request)
{
  start_change (arg, request, prepare_apply);
}

static void
prepare_cancel (struct change *change, const struct record_head *head)
{
  const struct config *current = in_force (change);
  const char *name = admin_segment (change->request);
  const struct config_move *move = config_find_move (current, name);
  struct config content;
  char reason[64];
  enum status status = STATUS_OK;
  if (move == NULL)
    status = status_set (STATUS_NOT_FOUND, "no move \"%.63s\"", name);
  else if (move->phase != MOVE_RUNNING)
    status = status_set (STATUS_CONFLICT, "move \"%s\" has ended", name);
  else
    status = config_copy (&content, current);
  if (status != STATUS_OK || move == NULL)
    {
      respond_refused (change, status, current->version);
      return;
    }
  struct config_move cancelled = *move;
  snprintf (reason, sizeof reason, "cancelled by an operator");
  cancelled.phase = MOVE_CANCELLED;
  cancelled.share_bp = 0;
  cancelled.reason = reason;
  status = config_set_move (&content, &cancelled);
  if (status == STATUS_OK)
    status = config_rehash (&content);
  if (status == STATUS_OK)
    {
      publish (change, &content);
      return;
    }
  config_finish (&content);
  respond_refused (change, status, current->version);
}

void
node_admin_cancel (void *arg, struct admin_request *request)
{
  start_change (arg, request, prepare_cancel);
}

static void
on_restored (void *arg, enum status status, struct config *older)
{
  struct change *change = arg;
  struct config content;
  if (status == STATUS_OK)
    {
      status = config_rollback (older, in_force (change), &content);
      config_finish (older);
    }
  if (status == STATUS_OK)
    {
      status = node_admin_check_versions (change->node, &content);
      if (status != STATUS_OK)
        config_finish (&content);
    }
  if (status == STATUS_OK)
    publish (change, &content);
  else
    respond_refused (change, status, in_force (change)->version);
}

static void
prepare_rollback (struct change *change, const struct record_head *head)
{
  uint64_t version = in_force (change)->version;
  if (change->rollback_version == 0 || change->rollback_version >= version)
    respond_refused (
        change,
        status_set (STATUS_INVALID,
                    "version must be from 1 to %llu, below the one in "
                    "force",
                    (unsigned long long)(version == 0 ? 0 : version - 1)),
        version);
  else
    node_history_restore (change->node, head, change->rollback_version,
                          on_restored, change);
}

void
node_admin_rollback (void *arg, struct admin_request *request)
{
  start_change (arg, request, prepare_rollback);
}
