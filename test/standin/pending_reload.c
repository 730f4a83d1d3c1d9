/// Runs a program with a SIGHUP that is pending from the first instruction on,
/// as if it had been sent right after the start. Usage:
///   standin-pending_reload PROGRAM [ARGUMENT]...
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  if (argc < 2 || sigprocmask (SIG_BLOCK, &set, NULL) != 0
      || raise (SIGHUP) != 0)
    return 2;
  execv (argv[1], argv + 1);
  perror (argv[1]);
  return 2;
}
