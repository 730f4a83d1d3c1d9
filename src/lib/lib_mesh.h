/// Internal declarations of the operators' library.
#ifndef HAWTHORNSEAM_LIB_LIB_MESH_H
#define HAWTHORNSEAM_LIB_LIB_MESH_H

#include "hawthornseam.h"

/// Limits of the declaration document.
#define HAWTHORNSEAM_SERVICES_MAX 4096
#define HAWTHORNSEAM_ROUTES_MAX 16384
#define HAWTHORNSEAM_MOVES_MAX 1024

/// Dynamic array of services, routes or moves.
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

/// Sets the message that hawthornseam_message returns.
/// @return status, for the caller to pass on
enum hawthornseam_status hawthornseam_fail (enum hawthornseam_status status,
                                            const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// Checks of single values; NULL is invalid.
/// @param what    kind of the object, which starts the message
/// @param max     longest name, bytes
/// @param object  name of the object, which starts the message
/// @param field   name of the field in the document
/// @return HAWTHORNSEAM_OK, or HAWTHORNSEAM_INVALID with the message set
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
