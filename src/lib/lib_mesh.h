/// Parts of the operators' library that its files share.
#ifndef HAWTHORNSEAM_LIB_LIB_MESH_H
#define HAWTHORNSEAM_LIB_LIB_MESH_H

#include "hawthornseam.h"

#define HAWTHORNSEAM_SERVICES_MAX 4096
#define HAWTHORNSEAM_ROUTES_MAX 16384
#define HAWTHORNSEAM_MOVES_MAX 1024

/// Growing array of copied objects.
struct hawthornseam_list
{
  void *items;
  size_t count;
  size_t capacity;
};

struct hawthornseam_mesh
{
  char *name;
  struct hawthornseam_list services; ///< struct hawthornseam_service
  struct hawthornseam_list routes;   ///< struct hawthornseam_route
  struct hawthornseam_list moves;    ///< struct hawthornseam_move
};

/// Records the message of a failure.
/// @return status
enum hawthornseam_status hawthornseam_fail (enum hawthornseam_status status,
                                            const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// Each check records a message that starts with the object's name.
enum hawthornseam_status
hawthornseam_check_name (const char *what, const char *name, size_t max);
enum hawthornseam_status hawthornseam_check_version (const char *object,
                                                     const char *field,
                                                     const char *version);
enum hawthornseam_status hawthornseam_check_prefix (const char *object,
                                                    const char *prefix);
enum hawthornseam_status hawthornseam_check_time (const char *object,
                                                  const char *time);

#endif
