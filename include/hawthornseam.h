/// Operators' library of hawthornseam: describes the services, routes and
/// moves of a mesh and prints them as the declaration document that
/// `hawthornseam-ctl apply` reads. It depends on the C library only.
///
/// Each object is checked when it is added. Every function that can fail
/// returns a status; hawthornseam_message tells what is wrong. Strings are
/// copied. Not safe for use by several threads.
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
    HAWTHORNSEAM_INVALID,    ///< a value violates the rules of the document
    HAWTHORNSEAM_DUPLICATE,  ///< the name or prefix is already in use
    HAWTHORNSEAM_UNDECLARED, ///< the service has not been added
    HAWTHORNSEAM_TOO_MANY,   ///< the document's limit on objects is reached
    HAWTHORNSEAM_OUTPUT,     ///< writing to the stream failed
    HAWTHORNSEAM_NO_MEMORY   ///< memory allocation failed
  };

  struct hawthornseam_service
  {
    const char *name;    ///< [a-z][a-z0-9-]*, at most 31 bytes
    const char *version; ///< target version that receives the calls
  };

  struct hawthornseam_route
  {
    const char *name;    ///< [a-z][a-z0-9-]*, at most 63 bytes
    const char *prefix;  ///< path prefix; matches whole path segments
    const char *service; ///< name of a service that has been added
    bool idempotent;     ///< false: each request runs at most once
    uint32_t timeout_ms; ///< 1 to 3,600,000
  };

  /// A planned transfer of a service's calls to a new target version, to be
  /// completed by a deadline.
  struct hawthornseam_move
  {
    const char *name;    ///< as of a route; never reused in the mesh
    const char *service; ///< name of a service that has been added
    const char *from;    ///< target version that has the calls now
    const char *to;      ///< target version that gets the calls
    const char *by;      ///< UTC, "2026-03-12T06:00:00Z"; at least 60 s ahead
  };

  struct hawthornseam_mesh;

  /// Creates an empty mesh.
  /// @param name  name of the mesh as in the nodes' settings
  /// @param mesh  set with HAWTHORNSEAM_OK; release it with hawthornseam_free
  enum hawthornseam_status hawthornseam_new (const char *name,
                                             struct hawthornseam_mesh **mesh);

  /// Releases a mesh; NULL is accepted.
  void hawthornseam_free (struct hawthornseam_mesh *mesh);

  /// Adds a checked copy of a service, route or move.
  /// @return HAWTHORNSEAM_INVALID, HAWTHORNSEAM_DUPLICATE,
  /// HAWTHORNSEAM_UNDECLARED (routes and moves), HAWTHORNSEAM_TOO_MANY or
  /// HAWTHORNSEAM_NO_MEMORY on failure; the mesh is unchanged then
  enum hawthornseam_status
  hawthornseam_add_service (struct hawthornseam_mesh *mesh,
                            const struct hawthornseam_service *service);
  enum hawthornseam_status
  hawthornseam_add_route (struct hawthornseam_mesh *mesh,
                          const struct hawthornseam_route *route);
  enum hawthornseam_status
  hawthornseam_add_move (struct hawthornseam_mesh *mesh,
                         const struct hawthornseam_move *move);

  /// Prints the declaration document and flushes the stream.
  /// @return HAWTHORNSEAM_OUTPUT when writing fails
  enum hawthornseam_status
  hawthornseam_print (const struct hawthornseam_mesh *mesh, FILE *stream);

  /// @return the error message of the last call that failed, "" before the
  /// first failure; valid until the next failure
  const char *hawthornseam_message (void);

  /// @return the name of a status, such as "undeclared"
  const char *hawthornseam_status_name (enum hawthornseam_status status);

#ifdef __cplusplus
}
#endif

#endif
