/// Baseline without a mesh: one process simulates N pollers, each of which
/// fetches the whole configuration from the store at a fixed interval. A
/// writer in the same process replaces the configuration at a fixed rate.
/// Prints bytes, store reads and convergence times.
#include "base/clock.h"
#include "base/rng.h"

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define POLLERS_MAX 10000
#define CHANGES_MAX 1000
#define SAMPLES_MAX (POLLERS_MAX * 100)
#define URI "/kv/baseline/config"

struct baseline;

struct poller
{
  struct baseline *baseline;
  struct evhttp_connection *connection;
  struct event poll_timer; ///< time of the next poll
  uint64_t revision;       ///< of the configuration that was fetched last
};

/// A change of the configuration that the store has accepted.
struct change
{
  uint64_t sent_us;
  uint64_t revision;
};

struct baseline
{
  struct event_base *base;
  struct rng rng;
  struct poller *pollers;
  int poller_count;
  double interval_s;
  uint16_t port;
  char *document;
  size_t document_size;
  struct evhttp_connection *writer;
  struct event change_timer;
  struct timeval change_interval;
  struct change changes[CHANGES_MAX]; ///< in ascending order of revision
  size_t change_count;
  uint64_t sent_us; ///< of the change in progress
  uint64_t bytes;
  uint64_t polls;
  uint64_t failures;
  double *samples; ///< convergence time of each change at each poller, ms
  size_t sample_count;
};

static struct timeval
to_timeval (double seconds)
{
  return (struct timeval){ (time_t)seconds,
                           (suseconds_t)((seconds - (time_t)seconds) * 1e6) };
}

static uint64_t
get_revision (struct evhttp_request *request)
{
  const char *text = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Revision");
  return text == NULL ? 0 : strtoull (text, NULL, 10);
}

/// @return size of the headers on the wire, bytes
static size_t
header_bytes (struct evkeyvalq *headers)
{
  size_t bytes = 0;
  for (const struct evkeyval *header = TAILQ_FIRST (headers); header != NULL;
       header = TAILQ_NEXT (header, next))
    bytes += strlen (header->key) + strlen (header->value) + strlen (": \r\n");
  return bytes;
}

static void
on_fetched (struct evhttp_request *request, void *arg)
{
  struct poller *poller = arg;
  struct baseline *baseline = poller->baseline;
  if (request == NULL || evhttp_request_get_response_code (request) != 200)
    {
      baseline->failures++;
      return;
    }
  baseline->bytes
      += strlen ("GET " URI " HTTP/1.1\r\n\r\n")
         + header_bytes (evhttp_request_get_output_headers (request))
         + strlen ("HTTP/1.1 200 OK\r\n\r\n")
         + header_bytes (evhttp_request_get_input_headers (request))
         + evbuffer_get_length (evhttp_request_get_input_buffer (request));
  uint64_t revision = get_revision (request);
  uint64_t now = clock_monotonic_us ();
  for (size_t i = baseline->change_count; i > 0; i--)
    {
      const struct change *change = &baseline->changes[i - 1];
      if (change->revision <= poller->revision)
        break;
      if (change->revision <= revision && baseline->sample_count < SAMPLES_MAX)
        baseline->samples[baseline->sample_count++]
            = (double)(now - change->sent_us) / 1000;
    }
  if (revision > poller->revision)
    poller->revision = revision;
}

static void
fetch (evutil_socket_t fd, short what, void *arg)
{
  struct poller *poller = arg;
  struct baseline *baseline = poller->baseline;
  struct timeval next = to_timeval (baseline->interval_s);
  evtimer_add (&poller->poll_timer, &next);
  struct evhttp_request *request = evhttp_request_new (on_fetched, poller);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "127.0.0.1");
  baseline->polls++;
  evhttp_make_request (poller->connection, request, EVHTTP_REQ_GET, URI);
}

static void
on_changed (struct evhttp_request *request, void *arg)
{
  struct baseline *baseline = arg;
  if (request == NULL || evhttp_request_get_response_code (request) != 200)
    {
      baseline->failures++;
      return;
    }
  if (baseline->change_count < CHANGES_MAX)
    baseline->changes[baseline->change_count++]
        = (struct change){ baseline->sent_us, get_revision (request) };
}

static void
change (evutil_socket_t fd, short what, void *arg)
{
  struct baseline *baseline = arg;
  uint64_t previous
      = baseline->change_count == 0
            ? 0
            : baseline->changes[baseline->change_count - 1].revision;
  char uri[96];
  snprintf (uri, sizeof uri, URI "?prev=%llu", (unsigned long long)previous);
  struct evhttp_request *request = evhttp_request_new (on_changed, baseline);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "127.0.0.1");
  evbuffer_add (evhttp_request_get_output_buffer (request), baseline->document,
                baseline->document_size);
  baseline->sent_us = clock_monotonic_us ();
  evhttp_make_request (baseline->writer, request, EVHTTP_REQ_PUT, uri);
  evtimer_add (&baseline->change_timer, &baseline->change_interval);
}

static bool
read_document (struct baseline *baseline, const char *path)
{
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return false;
  baseline->document = malloc (1024 * 1024);
  baseline->document_size = fread (baseline->document, 1, 1024 * 1024, file);
  fclose (file);
  return baseline->document_size > 0;
}

static void
run (struct baseline *baseline, double duration_s)
{
  baseline->base = event_base_new ();
  rng_init (&baseline->rng, 1);
  baseline->pollers
      = calloc ((size_t)baseline->poller_count, sizeof *baseline->pollers);
  baseline->samples = malloc (SAMPLES_MAX * sizeof *baseline->samples);
  baseline->writer = evhttp_connection_base_new (baseline->base, NULL,
                                                 "127.0.0.1", baseline->port);
  evtimer_assign (&baseline->change_timer, baseline->base, change, baseline);
  event_active (&baseline->change_timer, EV_TIMEOUT, 1);
  for (int i = 0; i < baseline->poller_count; i++)
    {
      struct poller *poller = &baseline->pollers[i];
      poller->baseline = baseline;
      poller->connection = evhttp_connection_base_new (
          baseline->base, NULL, "127.0.0.1", baseline->port);
      evtimer_assign (&poller->poll_timer, baseline->base, fetch, poller);
      /* Spread the first polls over one interval after the first change. */
      struct timeval first = to_timeval (
          0.1 + baseline->interval_s * i / baseline->poller_count);
      evtimer_add (&poller->poll_timer, &first);
    }
  struct timeval end = to_timeval (duration_s);
  event_base_loopexit (baseline->base, &end);
  event_base_dispatch (baseline->base);
  for (int i = 0; i < baseline->poller_count; i++)
    evhttp_connection_free (baseline->pollers[i].connection);
  evhttp_connection_free (baseline->writer);
  event_base_free (baseline->base);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
percentile (const struct baseline *baseline, double fraction)
{
  if (baseline->sample_count == 0)
    return 0;
  return baseline
      ->samples[(size_t)(fraction * (double)(baseline->sample_count - 1))];
}

static void
print (struct baseline *baseline, double duration_s)
{
  int n = baseline->poller_count;
  qsort (baseline->samples, baseline->sample_count, sizeof (double), compare);
  printf ("poll_%d_document %zu B\n", n, baseline->document_size);
  printf ("poll_%d_bytes_per_node %.0f B/s\n", n,
          (double)baseline->bytes / duration_s / n);
  printf ("poll_%d_store_reads %.1f 1/s\n", n,
          (double)baseline->polls / duration_s);
  printf ("poll_%d_convergence_p50 %.0f ms\n", n, percentile (baseline, 0.5));
  printf ("poll_%d_convergence_p99 %.0f ms\n", n, percentile (baseline, 0.99));
  printf ("poll_%d_convergence_last %.0f ms\n", n, percentile (baseline, 1));
  printf ("poll_%d_changes %zu count\n", n, baseline->change_count);
  printf ("poll_%d_failures %llu count\n", n,
          (unsigned long long)baseline->failures);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this text");
  struct arg_int *port = arg_int1 (NULL, "store-port", "PORT",
                                   "port of the store on 127.0.0.1");
  struct arg_int *pollers = arg_int1 (NULL, "pollers", "N", "pollers");
  struct arg_str *document
      = arg_str1 (NULL, "document", "FILE", "configuration to store");
  struct arg_dbl *every
      = arg_dbl0 (NULL, "interval-s", "S", "time between polls, default 5");
  struct arg_dbl *rate = arg_dbl0 (NULL, "changes-per-s", "N",
                                   "changes per second, default 0.9");
  struct arg_dbl *duration
      = arg_dbl0 (NULL, "duration-s", "S", "run time, default 20");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { help, port, pollers, document, every, rate, duration, end };
  if (arg_nullcheck (table) != 0)
    return 1;
  every->dval[0] = 5;
  rate->dval[0] = 0.9;
  duration->dval[0] = 20;
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      return 0;
    }
  if (errors > 0 || pollers->ival[0] < 1 || pollers->ival[0] > POLLERS_MAX
      || every->dval[0] <= 0 || rate->dval[0] <= 0 || duration->dval[0] <= 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  static struct baseline baseline;
  baseline.port = (uint16_t)port->ival[0];
  baseline.poller_count = pollers->ival[0];
  baseline.interval_s = every->dval[0];
  baseline.change_interval = to_timeval (1 / rate->dval[0]);
  if (!read_document (&baseline, document->sval[0]))
    {
      fprintf (stderr, "%s: cannot read %s\n", argv[0], document->sval[0]);
      return 1;
    }
  run (&baseline, duration->dval[0]);
  print (&baseline, duration->dval[0]);
  free (baseline.document);
  free (baseline.pollers);
  free (baseline.samples);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return baseline.failures > 0 ? 1 : 0;
}
