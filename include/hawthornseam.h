/// Operators' library of hawthornseam: builds the services, routes and moves
/// of a mesh and prints them as the declaration document that
/// `hawthornseam-ctl apply` takes. It needs nothing but the C library.
///
/// The objects are checked as they are added, and the whole once more before
/// it is printed. Every function that can fail returns a status;
/// hawthornseam_message tells what is wrong. Strings are copied.
#ifndef HAWTHORNSEAM_H
#define HAWTHORNSEAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum hawthornseam_status
  {
    HAWTHORNSEAM_OK,
    HAWTHORNSEAM_INVALID,    ///< a value breaks a rule of the document
    HAWTHORNSEAM_DUPLICATE,  ///< the name or prefix is taken
    HAWTHORNSEAM_UNDECLARED, ///< the service was not added before
    HAWTHORNSEAM_TOO_MANY,   ///< a limit of the document is reached
    HAWTHORNSEAM_OUTPUT,     ///< writing to the stream failed
    HAWTHORNSEAM_NO_MEMORY
  };

  struct hawthornseam_service
  {
    const char *name;    ///< [a-z][a-z0-9-]*, at most 31 bytes
    const char *version; ///< target version that carries the traffic
  };

  struct hawthornseam_route
  {
    const char *name;    ///< [a-z][a-z0-9-]*, at most 63 bytes
    const char *prefix;  ///< path prefix; matches whole segments
    const char *service; ///< name of a service added before
    bool idempotent;     ///< false: each request runs at most once
    uint32_t timeout_ms; ///< 1 to 3,600,000
  };

  struct hawthornseam_move
  {
    const char *name; ///< never used before in this mesh
    const char *service;
    const char *from; ///< version of the service
    const char *to;   ///< version that shall carry the traffic
    const char *by;   ///< UTC, "2026-03-12T06:00:00Z"; 60 s ahead at least
  };

  struct hawthornseam_mesh;

  /// Starts the description of a mesh.
  /// @param name  as in the nodes' settings
  /// @param mesh  set with HAWTHORNSEAM_OK; released by hawthornseam_free
  enum hawthornseam_status hawthornseam_new (const char *name,
                                             struct hawthornseam_mesh **mesh);

  /// Releases a mesh; NULL is accepted.
  void hawthornseam_free (struct hawthornseam_mesh *mesh);

  enum hawthornseam_status
  hawthornseam_add_service (struct hawthornseam_mesh *mesh,
                            const struct hawthornseam_service *service);
  enum hawthornseam_status
  hawthornseam_add_route (struct hawthornseam_mesh *mesh,
                          const struct hawthornseam_route *route);
  enum hawthornseam_status
  hawthornseam_add_move (struct hawthornseam_mesh *mesh,
                         const struct hawthornseam_move *move);

  /// Prints the declaration document.
  enum hawthornseam_status
  hawthornseam_print (const struct hawthornseam_mesh *mesh, FILE *stream);

  /// @return what was wrong in the last call that failed, "" before the first;
  /// valid until the next call
  const char *hawthornseam_message (void);

  /// @return fixed name of a status, such as "undeclared"
  const char *hawthornseam_status_name (enum hawthornseam_status status);

#ifdef __cplusplus
}
#endif

#endif
