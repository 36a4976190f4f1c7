/* A load client of the callers' interface, towards loopback only.  Prints
   counts by status and outcome, latencies in microseconds, and how many
   answers were not byte for byte what the upstream gave.  Exits 1 when there
   was one.  */

#include "standins/common.h"
#include "standins/load.h"
#include "standins/samples.h"

#include "base/map.h"
#include "base/mem.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  MAX_TARGETS = 16,
  /* Bounds that no option can lift: this program is no flood.  */
  MAX_SECONDS = 600,
  MAX_CONCURRENCY = 4096
};

typedef struct
{
  map_t *counts; /* Line of the report to uint64_t.  */
  samples_t total;
  samples_t first;
  samples_t between;
  uint64_t finished;
  uint64_t whole;
  uint64_t wrong;
  bool over;
} report_t;

static void
count (report_t *report, const char *what, str_t name)
{
  buf_t key = BUF_NULL;
  uint64_t *value;

  buf_printf (&key, "%s %.*s", what, STR_ARG (name));
  value = map_get (report->counts, buf_str (&key));
  if (value == NULL)
    {
      value = mem_zalloc (sizeof *value);
      map_put (report->counts, buf_str (&key), value);
    }
  ++*value;
  buf_free (&key);
}

static void
on_finished (void *arg, const loadgen_result_t *result)
{
  report_t *report = arg;
  char status[16];

  snprintf (status, sizeof status, "%d", result->status);
  count (report, "status", str_from (status));
  count (report, "end", str_from (code_info (result->code)->type));
  if (result->outcome.len > 0)
    count (report, "outcome", result->outcome);
  if (result->version.len > 0)
    count (report, "version", result->version);
  report->finished++;
  report->whole += result->whole;
  report->wrong += result->wrong;
  if (!result->whole)
    return;
  samples_add (&report->total, result->total_us);
  samples_add (&report->first, result->first_us);
  if (result->streamed)
    samples_add (&report->between, result->between_us);
}

static void
on_over (void *arg)
{
  ((report_t *)arg)->over = true;
}

static void
print_latency (const char *name, samples_t *samples)
{
  printf ("%s_us p50=%" PRIu64 " p90=%" PRIu64 " p99=%" PRIu64 "\n", name,
          samples_quantile (samples, 0.5), samples_quantile (samples, 0.9),
          samples_quantile (samples, 0.99));
}

static void
print_report (report_t *report, double seconds)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  printf ("finished %" PRIu64 "\nwhole %" PRIu64 "\nwrong %" PRIu64 "\n",
          report->finished, report->whole, report->wrong);
  printf ("seconds %.3f\nrate %.1f\n", seconds,
          (double)report->finished / seconds);
  while (map_next (report->counts, &cursor, &key, &value))
    printf ("%.*s %" PRIu64 "\n", STR_ARG (key), *(uint64_t *)value);
  print_latency ("latency", &report->total);
  print_latency ("first_token", &report->first);
  print_latency ("between_tokens", &report->between);
}

static void
report_free (report_t *report)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (report->counts, &cursor, &key, &value))
    free (value);
  map_destroy (report->counts);
  samples_free (&report->total);
  samples_free (&report->first);
  samples_free (&report->between);
}

/* Run the load of OPTIONS to its end.  Return the exit status.  */
static int
run (loadgen_options_t *options)
{
  uv_loop_t loop;
  report_t report = { .counts = map_create () };
  uint64_t started = uv_hrtime ();

  options->finished = on_finished;
  options->over = on_over;
  options->arg = &report;
  uv_loop_init (&loop);
  load_t *load = loadgen_create (&loop, options);
  if (load == NULL)
    {
      fprintf (stderr, "standin_client: targets must be 127.x.x.x:PORT\n");
      return 2;
    }
  while (!report.over)
    uv_run (&loop, UV_RUN_ONCE);
  print_report (&report, (double)(uv_hrtime () - started) / 1e9);
  loadgen_destroy (load);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  report_free (&report);
  return report.wrong > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *targets = arg_strn (NULL, "target", "HOST:PORT", 1,
                                      MAX_TARGETS, "an entry, taken in turn");
  struct arg_int *concurrency
      = arg_int0 (NULL, "concurrency", "N", "requests at a time (8)");
  struct arg_dbl *rate
      = arg_dbl0 (NULL, "rate", "N",
                  "requests a second, whatever the answers (open loop)");
  struct arg_int *requests
      = arg_int0 (NULL, "requests", "N", "end after so many (100)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "end after so long (60)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of prompts (1)");
  struct arg_dbl *stream
      = arg_dbl0 (NULL, "stream", "SHARE", "streamed chats (0.5)");
  struct arg_dbl *service_share
      = arg_dbl0 (NULL, "service-share", "SHARE",
                  "calls of the service (0; 1 with none "
                  "but --service)");
  struct arg_str *key = arg_str0 (NULL, "key", "KEY", "API key");
  struct arg_str *model
      = arg_str0 (NULL, "model", "NAME", "model, version or task (draft)");
  struct arg_str *service = arg_str0 (NULL, "service", "NAME", "service");
  struct arg_str *session = arg_str0 (NULL, "session", "ID", "session");
  struct arg_str *keys
      = arg_str0 (NULL, "idempotency-keys", "PREFIX", "send keys PREFIX-N");
  struct arg_int *resends
      = arg_int0 (NULL, "resends", "N", "after an unclear end (0)");
  struct arg_int *tokens
      = arg_int0 (NULL, "max-tokens", "N", "length of answers (16)");
  struct arg_int *prompt
      = arg_int0 (NULL, "prompt-bytes", "N", "length of prompts (64)");
  struct arg_int *deadline
      = arg_int0 (NULL, "deadline-ms", "N", "deadline sent (none)");
  struct arg_end *end = arg_end (5);
  void *argtable[]
      = { help,    targets, concurrency,   rate,   requests, seconds,
          seed,    stream,  service_share, key,    model,    service,
          session, keys,    resends,       tokens, prompt,   deadline,
          end };
  str_t target_names[MAX_TARGETS];

  concurrency->ival[0] = 8;
  rate->dval[0] = 0;
  requests->ival[0] = 0;
  seconds->ival[0] = 60;
  seed->ival[0] = 1;
  stream->dval[0] = 0.5;
  service_share->dval[0] = -1;
  key->sval[0] = "";
  model->sval[0] = "draft";
  service->sval[0] = "";
  session->sval[0] = "";
  keys->sval[0] = "";
  resends->ival[0] = 0;
  tokens->ival[0] = 16;
  prompt->ival[0] = 64;
  deadline->ival[0] = 0;
  standin_parse_args (argc, argv, argtable,
                      "A load client, for loopback only.");
  if (requests->count == 0 && seconds->count == 0)
    requests->ival[0] = 100;
  if (service_share->count == 0)
    service_share->dval[0] = service->count > 0 && model->count == 0;
  if (seconds->ival[0] < 1 || seconds->ival[0] > MAX_SECONDS
      || concurrency->ival[0] < 1 || concurrency->ival[0] > MAX_CONCURRENCY)
    {
      fprintf (stderr, "standin_client: at most %d s and %d at a time\n",
               MAX_SECONDS, MAX_CONCURRENCY);
      return 2;
    }
  for (int i = 0; i < targets->count; i++)
    target_names[i] = str_from (targets->sval[i]);
  loadgen_options_t options
      = { .targets = target_names,
          .target_count = (size_t)targets->count,
          .concurrency = (size_t)concurrency->ival[0],
          .rate = rate->dval[0],
          .requests = (uint64_t)requests->ival[0],
          .duration_ms = (uint64_t)seconds->ival[0] * 1000,
          .seed = (uint64_t)seed->ival[0],
          .stream_share = stream->dval[0],
          .service_share = service_share->dval[0],
          .api_key = str_from (key->sval[0]),
          .model = str_from (model->sval[0]),
          .service = str_from (service->sval[0]),
          .session = str_from (session->sval[0]),
          .key_prefix = str_from (keys->sval[0]),
          .max_tokens = (uint32_t)tokens->ival[0],
          .prompt_bytes = (size_t)prompt->ival[0],
          .deadline_ms = (uint64_t)deadline->ival[0],
          .resends = (unsigned)resends->ival[0] };
  int status = run (&options);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
