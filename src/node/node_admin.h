/// Parts of the operators' interface that its files share.
#ifndef HAWTHORNSEAM_NODE_NODE_ADMIN_H
#define HAWTHORNSEAM_NODE_NODE_ADMIN_H

#include "node/node.h"
#include "transport/admin.h"

#include <jansson.h>

struct node_admin
{
  struct node *node;
  struct admin_server *server;
};

/* node_admin_json.c */

/// Answers with a JSON value and releases it.
void node_admin_reply_json (struct admin_request *request, int code,
                            json_t *value);

/// Answers with {"status", "message"}; the HTTP status follows from the code.
void node_admin_reply_status (struct admin_request *request,
                              enum status status, const char *message);

/// @return HTTP status of an error
int node_admin_http_status (enum status status);

/// @return a string, or "?" when it is no valid UTF-8
json_t *node_admin_text (const char *text);

/// @return one object with all its fields
json_t *node_admin_item (int kind, const void *item);

/// @return {"services": [...], "routes": [...], "moves": [...]}
json_t *node_admin_config (const struct config *config);

/// @return list of {"line", "column", "path", "message"}
json_t *node_admin_findings (const struct findings *findings);

/// @return list of the lines of a text
json_t *node_admin_lines (const char *text);

/* node_admin_read.c: endpoints that read. */
void node_admin_counters (void *arg, struct admin_request *request);
void node_admin_state (void *arg, struct admin_request *request);
void node_admin_status (void *arg, struct admin_request *request);
void node_admin_get_config (void *arg, struct admin_request *request);
void node_admin_get_config_json (void *arg, struct admin_request *request);
void node_admin_moves (void *arg, struct admin_request *request);

/* node_admin_history.c */
void node_admin_history (void *arg, struct admin_request *request);

/* node_admin_write.c: endpoints that publish. */
void node_admin_validate (void *arg, struct admin_request *request);
void node_admin_apply (void *arg, struct admin_request *request);
void node_admin_cancel (void *arg, struct admin_request *request);
void node_admin_rollback (void *arg, struct admin_request *request);

/* node_admin_check.c */

/// Parses a document and merges it with the configuration in force; checks
/// the mesh's name and that live targets run the versions of new moves.
/// @param merged  started only with STATUS_OK
enum status node_admin_merge (const struct node *node, const char *yaml,
                              size_t size, uint64_t now_wall_ms,
                              struct config *merged,
                              struct findings *findings);

/// Checks that live targets run the versions that services return to.
enum status node_admin_check_versions (const struct node *node,
                                       const struct config *content);

#endif
