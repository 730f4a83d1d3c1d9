/// HTTP interface for operators. Internal to node_admin*.c.
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

/// Responds with a JSON value and releases it.
/// @param code   HTTP status
/// @param value  NULL: responds that the node is out of memory
void node_admin_reply_json (struct admin_request *request, int code,
                            json_t *value);

/// Responds with {"status", "message"} and the HTTP status that corresponds to
/// the status.
void node_admin_reply_status (struct admin_request *request,
                              enum status status, const char *message);

/// @return HTTP status that corresponds to a status
int node_admin_http_status (enum status status);

/// @param text  NULL: empty
/// @return a JSON string, "?" when the text is not valid UTF-8
json_t *node_admin_text (const char *text);

/// @param kind  CONFIG_SERVICE to CONFIG_KIND_LAST
/// @param item  item of that kind
/// @return a JSON object with all fields of the item
json_t *node_admin_item (int kind, const void *item);

/// @return {"services": [...], "routes": [...], "moves": [...]}
json_t *node_admin_config (const struct config *config);

/// @return JSON array of {"line", "column", "path", "message"}
json_t *node_admin_findings (const struct findings *findings);

/// @return JSON array of the lines of a text
json_t *node_admin_lines (const char *text);

/* node_admin_read.c: endpoints that read the state of the node and the mesh.
 */
void node_admin_counters (void *arg, struct admin_request *request);
void node_admin_state (void *arg, struct admin_request *request);
void node_admin_status (void *arg, struct admin_request *request);
void node_admin_get_config (void *arg, struct admin_request *request);
void node_admin_get_config_json (void *arg, struct admin_request *request);
void node_admin_moves (void *arg, struct admin_request *request);

/* node_admin_history.c */
void node_admin_history (void *arg, struct admin_request *request);

/* node_admin_write.c: endpoints that change the configuration, or validate a
   change. */
void node_admin_validate (void *arg, struct admin_request *request);
void node_admin_apply (void *arg, struct admin_request *request);
void node_admin_cancel (void *arg, struct admin_request *request);
void node_admin_rollback (void *arg, struct admin_request *request);

/* node_admin_check.c */

/// Parses a YAML document and merges it with the configuration in force.
/// Checks the name of the mesh, and that live targets run both versions of
/// each new move.
/// @param merged    initialized only with STATUS_OK
/// @param findings  errors of the document are added
/// @return STATUS_INVALID when the document has errors
enum status node_admin_merge (const struct node *node, const char *yaml,
                              size_t size, uint64_t now_wall_ms,
                              struct config *merged,
                              struct findings *findings);

/// Checks that live targets run the version of each service whose version
/// differs from the one in force.
/// @return STATUS_CONFLICT when no live target runs one of them
enum status node_admin_check_versions (const struct node *node,
                                       const struct config *content);

#endif
