/* How the cost of each part grows: processor time, memory and bytes at four
   points or more, and the straight line of least squares through them.

   Rows: slope NAME unit=U intercept=A slope=B r2=R points=N, where the cost is
   A + B * X and U says both units.  Each time is the least of several runs,
   since whatever else the machine does only adds to it.

   bench_slopes --fit NAME UNIT reads "X Y" lines and prints their row, for
   what scripts/bench-slopes measures of whole processes.  */

#include "points.h"

#include "base/mem.h"
#include "conf/snapshot.h"
#include "policy/admission.h"
#include "policy/balance.h"
#include "policy/cascade.h"
#include "policy/queue.h"
#include "wire/rpc.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  RUNS = 5,
  ZONES = 10,
  START_S = 1700000000
};

/* Routing: choose one of KNOWN upstreams of one pool in ten zones.  */

static balance_t *
make_balance (clock_iface_t *clock, rng_t *rng, int known)
{
  const str_t pool = STR ("draft-small@3");
  balance_t *balance
      = balance_create (STR ("entry-1"), STR ("zone-0"), clock, rng);
  char name[32];
  char zone[32];

  balance_find_or_add_pool (balance, pool);
  for (int i = 0; i < known; i++)
    {
      upstream_id_t id = balance_update (
          balance, name_of (name, sizeof name, "runner", i),
          name_of (zone, sizeof zone, "zone", i % ZONES), &pool, 1, false);
      const balance_load_t load
          = { .in_flight = (uint32_t)i % 7, .slots = 16 };
      balance_record_load (balance, id, &load, 0);
    }
  return balance;
}

static double
time_decisions (balance_t *balance, rng_t *rng, int decisions)
{
  const pool_id_t pool
      = balance_find_or_add_pool (balance, STR ("draft-small@3"));
  double begin = cpu_ns ();

  for (int i = 0; i < decisions; i++)
    {
      const balance_request_t request
          = { .pool = pool, .affinity = i % 2 == 0 ? rng_u64 (rng) | 1 : 0 };
      upstream_id_t id;
      if (balance_pick (balance, &request, &id) != VH_OK)
        abort ();
      balance_request_started (balance, id);
      balance_request_ended (balance, id, true);
    }
  return (cpu_ns () - begin) / decisions;
}

static void
bench_balance (void)
{
  static const int sizes[] = { 20, 200, 2000, 5000, 11000 };
  points_t cpu = { 0 };
  points_t memory = { 0 };
  points_t joins = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      rng_t rng = rng_make (7);
      double heap = heap_bytes ();
      double begin = cpu_ns ();
      balance_t *balance = make_balance (clock, &rng, sizes[s]);
      const balance_request_t first = { .pool = balance_find_or_add_pool (
                                            balance, STR ("draft-small@3")) };
      upstream_id_t id;
      balance_pick (balance, &first, &id);
      points_add (&joins, sizes[s], (cpu_ns () - begin) / 1e3);
      points_add (&memory, sizes[s], heap_bytes () - heap);
      double best = INFINITY;
      for (int run = 0; run < RUNS; run++)
        best = fmin (best, time_decisions (balance, &rng, 5000));
      points_add (&cpu, sizes[s], best);
      balance_destroy (balance);
      clock_manual_destroy (clock);
    }
  points_print (&cpu, "decision-cpu", "ns/upstream");
  points_print (&memory, "balance-memory", "bytes/upstream");
  points_print (&joins, "balance-join-cpu", "us/upstream");
}

static void
bench_cascade (void)
{
  static const int sizes[] = { 1, 2, 4, 8 };
  points_t cpu = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      cascade_t *cascade = cascade_create (1);
      rng_t rng = rng_make (3);
      char names[8][32];
      cascade_candidate_t candidates[8];
      for (int i = 0; i < sizes[s]; i++)
        candidates[i] = (cascade_candidate_t){
          .version = name_of (names[i], sizeof names[i], "model@", i),
          .cost = 1 + i,
          .quality = { .mean = 0.6 + 0.04 * i, .lower = 0.5 + 0.04 * i },
          .latency_ms = 500
        };
      const cascade_request_t request = { .task = STR ("draft"),
                                          .candidates = candidates,
                                          .count = (size_t)sizes[s],
                                          .target = 0.75,
                                          .deadline_left_ms = 60000,
                                          .rating_cost = 0.1,
                                          .rating_latency_ms = 50,
                                          .is_rater_available = true };
      double best = INFINITY;
      for (int run = 0; run < RUNS; run++)
        {
          double begin = cpu_ns ();
          for (int i = 0; i < 2000; i++)
            cascade_plan (cascade, &rng, &request, (uint64_t)START_S * 1000);
          best = fmin (best, (cpu_ns () - begin) / 2000);
        }
      points_add (&cpu, sizes[s], best);
      cascade_destroy (cascade);
    }
  points_print (&cpu, "cascade-cpu", "ns/candidate");
}

/* Admission and queue, by teams.  */

static const int team_sizes[] = { 10, 100, 1000, 5000 };

static void
bench_admission (void)
{
  points_t cpu = { 0 };
  points_t memory = { 0 };

  for (size_t s = 0; s < sizeof team_sizes / sizeof team_sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      double heap = heap_bytes ();
      rng_t rng = rng_make (5);
      admission_t *admission = admission_create (clock, &rng);
      char name[32];
      double best = INFINITY;
      for (int i = 0; i < team_sizes[s]; i++)
        admission_set_weight (admission,
                              name_of (name, sizeof name, "team", i), 1);
      points_add (&memory, team_sizes[s], heap_bytes () - heap);
      for (int run = 0; run < RUNS; run++)
        {
          double begin = cpu_ns ();
          /* 2,400 a second: each tick of 100 ms sees 240 requests.  */
          for (int i = 0; i < 4800; i++)
            {
              str_t team
                  = name_of (name, sizeof name, "team", i % team_sizes[s]);
              vh_code_t code = admission_decide (admission, team, 256,
                                                 QUEUE_PRIORITY_NORMAL);
              if (code == VH_OK)
                admission_record_result (admission, 256, i % 3 != 0);
              if (i % 24 == 0)
                clock_manual_advance_us (clock, 10000);
            }
          best = fmin (best, (cpu_ns () - begin) / 4800);
        }
      points_add (&cpu, team_sizes[s], best);
      admission_destroy (admission);
      clock_manual_destroy (clock);
    }
  points_print (&cpu, "admission-cpu", "ns/team");
  points_print (&memory, "admission-memory", "bytes/team");
}

static void
run_queue (queue_t *queue, clock_iface_t *clock, queue_waiter_t *waiters,
           int jobs, int teams)
{
  char name[32];

  for (int i = 0; i < jobs; i++)
    {
      const queue_job_t job
          = { .team = name_of (name, sizeof name, "team", i % teams),
              .cost = 256,
              .priority = QUEUE_PRIORITY_NORMAL,
              .deadline_us = QUEUE_NO_DEADLINE };
      queue_waiter_t *evicted;
      memset (&waiters[i], 0, sizeof waiters[i]);
      if (queue_push (queue, &waiters[i], &job, &evicted) != VH_OK)
        abort ();
    }
  queue_waiter_t *next;
  while ((next = queue_pop (queue)) != NULL)
    {
      clock_manual_advance_us (clock, 1000);
      queue_done (queue, next, 1000, 256);
    }
}

static void
bench_queue (void)
{
  enum
  {
    JOBS = 4000
  };
  points_t cpu = { 0 };
  points_t memory = { 0 };
  queue_waiter_t *waiters = mem_zalloc (JOBS * sizeof *waiters);

  for (size_t s = 0; s < sizeof team_sizes / sizeof team_sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      double heap = heap_bytes ();
      queue_t *queue = queue_create (NULL, clock);
      char name[32];
      double best = INFINITY;
      queue_set_slots (queue, 16);
      for (int i = 0; i < team_sizes[s]; i++)
        queue_set_weight (queue, name_of (name, sizeof name, "team", i), 1);
      points_add (&memory, team_sizes[s], heap_bytes () - heap);
      for (int run = 0; run < RUNS; run++)
        {
          double begin = cpu_ns ();
          run_queue (queue, clock, waiters, JOBS, team_sizes[s]);
          best = fmin (best, (cpu_ns () - begin) / JOBS);
        }
      points_add (&cpu, team_sizes[s], best);
      queue_destroy (queue);
      clock_manual_destroy (clock);
    }
  free (waiters);
  points_print (&cpu, "queue-cpu", "ns/team");
  points_print (&memory, "queue-memory", "bytes/team");
}

/* Configuration: texts of TEAMS, VERSIONS and INSTANCES.  CHANGED teams have
   another weight.  */
static void
make_lists (buf_t *text, int teams, int versions, int instances, int changed)
{
  buf_printf (text, "[model draft]\ntask = draft\ncost = 1.0\n");
  for (int i = 0; i < versions; i++)
    buf_printf (text, "\n[version draft@%d]\nstate = serving\n", i);
  buf_printf (text, "\n[plan grants]\nallow = draft@*\n"
                    "quality-target = 0.8\nprefer = cost\n");
  for (int i = 0; i < teams; i++)
    buf_printf (text,
                "\n[team team-%d]\nplan = grants\nkey-sha256 = %064x\n"
                "weight = %d\n",
                i, (unsigned)i + 1, i < changed ? 7 : 4);
  for (int i = 0; i < instances; i++)
    buf_printf (text, "\n[instance runner-%d]\nstate = in\n", i);
}

static void
add_snapshot (points_t *cpu, points_t *memory, double x, int teams,
              int versions, int instances)
{
  buf_t text = BUF_NULL;
  double best = INFINITY;
  double used = 0;

  make_lists (&text, teams, versions, instances, 0);
  for (int run = 0; run < RUNS; run++)
    {
      conf_errors_t errors = { 0 };
      snapshot_t *snapshot;
      double heap = heap_bytes ();
      double begin = cpu_ns ();
      if (snapshot_parse (buf_str (&text), 1, &snapshot, &errors) != VH_OK)
        abort ();
      best = fmin (best, (cpu_ns () - begin) / 1e3);
      used = heap_bytes () - heap;
      snapshot_unref (snapshot);
      conf_errors_free (&errors);
    }
  points_add (cpu, x, best);
  points_add (memory, x, used);
  buf_free (&text);
}

static void
bench_snapshot (void)
{
  static const int versions[] = { 5, 23, 100, 400 };
  static const int instances[] = { 26, 500, 3000, 11000 };
  points_t cpu[3] = { 0 };
  points_t memory[3] = { 0 };

  for (size_t i = 0; i < 4; i++)
    {
      add_snapshot (&cpu[0], &memory[0], team_sizes[i], team_sizes[i], 23, 0);
      add_snapshot (&cpu[1], &memory[1], versions[i], 100, versions[i], 0);
      add_snapshot (&cpu[2], &memory[2], instances[i], 100, 23, instances[i]);
    }
  points_print (&cpu[0], "snapshot-cpu-teams", "us/team");
  points_print (&memory[0], "snapshot-memory-teams", "bytes/team");
  points_print (&cpu[1], "snapshot-cpu-versions", "us/version");
  points_print (&memory[1], "snapshot-memory-versions", "bytes/version");
  points_print (&cpu[2], "snapshot-cpu-instances", "us/instance");
  points_print (&memory[2], "snapshot-memory-instances", "bytes/instance");
}

static void
bench_delta (void)
{
  static const int changes[] = { 1, 2, 4, 8, 16 };
  points_t size = { 0 };
  points_t cpu = { 0 };

  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      buf_t before = BUF_NULL;
      buf_t after = BUF_NULL;
      buf_t delta = BUF_NULL;
      make_lists (&before, 1000, 23, 1000, 0);
      make_lists (&after, 1000, 23, 1000, changes[i]);
      conf_delta_make (buf_str (&before), buf_str (&after), &delta);
      points_add (&size, changes[i], (double)delta.len);
      buf_free (&before);
      buf_free (&after);
      buf_free (&delta);
    }
  for (size_t i = 0; i < 4; i++)
    {
      buf_t before = BUF_NULL;
      buf_t after = BUF_NULL;
      buf_t delta = BUF_NULL;
      buf_t made = BUF_NULL;
      make_lists (&before, team_sizes[i], 23, 0, 0);
      make_lists (&after, team_sizes[i], 23, 0, 1);
      conf_delta_make (buf_str (&before), buf_str (&after), &delta);
      double begin = cpu_ns ();
      if (conf_delta_apply (buf_str (&before), buf_str (&delta), &made)
          != VH_OK)
        abort ();
      points_add (&cpu, team_sizes[i], (cpu_ns () - begin) / 1e3);
      buf_free (&before);
      buf_free (&after);
      buf_free (&delta);
      buf_free (&made);
    }
  points_print (&size, "delta-size", "bytes/change");
  points_print (&cpu, "delta-apply-cpu", "us/team");
}

/* RPC: both ends in this process, so each time holds both.  */

typedef struct
{
  uv_loop_t loop;
  rpc_node_t *node;
  rpc_server_t *server;
  rpc_peer_t *peer;
  char *answer;
  size_t answer_len;
  int left;
} rpc_bench_t;

static void
serve (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  rpc_bench_t *bench = arg;
  char nothing[] = "";

  (void)args;
  if (proc == WIRE_PING)
    {
      char zone[] = "nairobi-a";
      char instance[] = "runner-17";
      char *serves[] = { zone };
      wire_ping_res_t pong
          = { .instance = instance, .zone = zone, .serves = { 1, serves } };
      rpc_reply (request, &pong);
      return;
    }
  wire_answer_t answer;
  memset (&answer, 0, sizeof answer);
  answer.started = true;
  if (proc == WIRE_FETCH)
    {
      answer.bytes.bytes_val = bench->answer;
      answer.bytes.bytes_len = (u_int)bench->answer_len;
      answer.end = true;
    }
  else
    answer.bytes.bytes_val = nothing;
  rpc_reply (request, &answer);
}

static void
pong (void *arg, const wire_ping_res_t *result)
{
  rpc_bench_t *bench = arg;

  (void)result;
  if (--bench->left > 0)
    rpc_peer_ping (bench->peer);
}

static void
state_changed (void *arg, rpc_peer_state_t state)
{
  (void)arg;
  (void)state;
}

static void
fill_context (void *arg, wire_context_t *context)
{
  (void)arg;
  context->revision = 12345;
}

static void
see_context (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  (void)arg;
  (void)peer;
  (void)context;
}

static const rpc_hooks_t hooks = { fill_context, see_context };
static const rpc_peer_events_t events = { state_changed, pong };

static void
count_pong (void *arg, const wire_ping_res_t *result)
{
  (void)result;
  ((rpc_bench_t *)arg)->left--;
}

static const rpc_peer_events_t quiet_events = { state_changed, count_pong };

static void submit (rpc_bench_t *bench);

static void
on_fetched (void *arg, vh_code_t code, void *result, unsigned sent)
{
  rpc_bench_t *bench = arg;

  (void)result;
  (void)sent;
  if (code != VH_OK)
    abort ();
  if (--bench->left > 0)
    submit (bench);
}

static void
on_submitted (void *arg, vh_code_t code, void *result, unsigned sent)
{
  rpc_bench_t *bench = arg;
  char attempt[] = "0123456789abcdef0123456789abcdef-1";
  wire_fetch_args_t args = { .attempt = attempt, .max_bytes = 1 << 20 };

  (void)result;
  (void)sent;
  if (code != VH_OK)
    abort ();
  rpc_peer_call (bench->peer, WIRE_FETCH, &args, 10000, on_fetched, bench);
}

static void
submit (rpc_bench_t *bench)
{
  char id[] = "0123456789abcdef0123456789abcdef-1";
  char team[] = "coast-office";
  char target[] = "draft-small@3";
  char method[] = "POST";
  char path[] = "/v1/chat/completions";
  char body[512];
  wire_submit_args_t args = { .attempt = id,
                              .request_id = id,
                              .team = team,
                              .target = target,
                              .method = method,
                              .path = path,
                              .body = { sizeof body, body } };

  memset (body, 'x', sizeof body);
  rpc_peer_call (bench->peer, WIRE_SUBMIT, &args, 10000, on_submitted, bench);
}

static void
rpc_bench_init (rpc_bench_t *bench)
{
  const str_t key = STR ("an-rpc-key-for-measuring");
  char address[32];

  memset (bench, 0, sizeof *bench);
  uv_loop_init (&bench->loop);
  bench->node = rpc_node_create (&bench->loop, clock_system (), rng_make (1),
                                 STR ("entry-1"), &key, 1, &hooks, bench);
  if (rpc_server_create (bench->node, STR ("127.0.0.1:0"), serve, bench,
                         &bench->server)
      != VH_OK)
    abort ();
  snprintf (address, sizeof address, "127.0.0.1:%u",
            rpc_server_port (bench->server));
  bench->peer
      = rpc_peer_create (bench->node, str_from (address), &events, bench);
}

static void
rpc_bench_run (rpc_bench_t *bench, int count, bool pings)
{
  bench->left = count;
  if (pings)
    rpc_peer_ping (bench->peer);
  else
    submit (bench);
  while (bench->left > 0)
    uv_run (&bench->loop, UV_RUN_ONCE);
}

static void
rpc_bench_end (rpc_bench_t *bench)
{
  rpc_peer_destroy (bench->peer);
  rpc_server_destroy (bench->server);
  rpc_node_destroy (bench->node);
  uv_run (&bench->loop, UV_RUN_DEFAULT);
  uv_loop_close (&bench->loop);
}

static void
bench_pings (void)
{
  static const int counts[] = { 250, 500, 1000, 2000 };
  points_t cpu = { 0 };
  points_t bytes = { 0 };
  rpc_bench_t bench;

  rpc_bench_init (&bench);
  rpc_bench_run (&bench, 100, true);
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      const rpc_stats_t before = *rpc_node_stats (bench.node);
      double best = INFINITY;
      for (int run = 0; run < RUNS; run++)
        {
          double begin = cpu_ns ();
          rpc_bench_run (&bench, counts[i], true);
          best = fmin (best, (cpu_ns () - begin) / 1e3);
        }
      points_add (&cpu, counts[i], best);
      points_add (
          &bytes, counts[i],
          (double)(rpc_node_stats (bench.node)->bytes_out - before.bytes_out)
              / RUNS);
    }
  rpc_bench_end (&bench);
  points_print (&cpu, "ping-cpu", "us/ping");
  points_print (&bytes, "ping-bytes", "bytes/ping");
}

static void
bench_calls (void)
{
  static const size_t sizes[] = { 64, 1024, 8192, 32768, 65536 };
  enum
  {
    CALLS = 500
  };
  points_t cpu = { 0 };
  points_t bytes = { 0 };
  rpc_bench_t bench;

  rpc_bench_init (&bench);
  bench.answer = mem_zalloc (1 << 17);
  rpc_bench_run (&bench, 100, false);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      double best = INFINITY;
      bench.answer_len = sizes[i];
      const rpc_stats_t before = *rpc_node_stats (bench.node);
      for (int run = 0; run < RUNS; run++)
        {
          double begin = cpu_ns ();
          rpc_bench_run (&bench, CALLS, false);
          best = fmin (best, (cpu_ns () - begin) / 1e3 / CALLS);
        }
      points_add (&cpu, (double)sizes[i] / 1024, best);
      points_add (
          &bytes, (double)sizes[i] / 1024,
          (double)(rpc_node_stats (bench.node)->bytes_out - before.bytes_out)
              / RUNS / CALLS);
    }
  free (bench.answer);
  rpc_bench_end (&bench);
  points_print (&cpu, "call-cpu", "us/KiB");
  points_print (&bytes, "call-bytes", "bytes/KiB");
}

/* Connections that were pinged once: memory of both ends.  */
static void
bench_connections (void)
{
  static const int sizes[] = { 25, 50, 100, 200, 400 };
  points_t memory = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      rpc_bench_t bench;
      rpc_peer_t *peers[400];
      char address[32];
      rpc_bench_init (&bench);
      snprintf (address, sizeof address, "127.0.0.1:%u",
                rpc_server_port (bench.server));
      rpc_bench_run (&bench, 1, true);
      double heap = heap_bytes ();
      bench.left = sizes[s] + 1;
      for (int i = 0; i < sizes[s]; i++)
        {
          peers[i] = rpc_peer_create (bench.node, str_from (address),
                                      &quiet_events, &bench);
          rpc_peer_ping (peers[i]);
        }
      while (bench.left > 1)
        uv_run (&bench.loop, UV_RUN_ONCE);
      points_add (&memory, sizes[s], heap_bytes () - heap);
      for (int i = 0; i < sizes[s]; i++)
        rpc_peer_destroy (peers[i]);
      rpc_bench_end (&bench);
    }
  points_print (&memory, "connection-memory", "bytes/connection");
}

/* Print the row of the points on standard input.  */
static int
fit (const char *name, const char *unit)
{
  points_t points = { 0 };
  double x;
  double y;

  while (points.count < POINTS_MAX && scanf ("%lf %lf", &x, &y) == 2)
    points_add (&points, x, y);
  if (points.count < 4)
    {
      fprintf (stderr, "bench_slopes: %s has fewer than four points\n", name);
      return EXIT_FAILURE;
    }
  points_print (&points, name, unit);
  return EXIT_SUCCESS;
}

static int
usage (void)
{
  fprintf (stderr, "Usage: bench_slopes [--pattern PART] [--seed N] "
                   "[--seconds N] | --fit NAME UNIT\n");
  return EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } parts[] = {
    { "balance", bench_balance },
    { "cascade", bench_cascade },
    { "admission", bench_admission },
    { "queue", bench_queue },
    { "snapshot", bench_snapshot },
    { "delta", bench_delta },
    { "pings", bench_pings },
    { "calls", bench_calls },
    { "connections", bench_connections },
  };
  const char *pattern = "*";

  if (argc == 4 && strcmp (argv[1], "--fit") == 0)
    return fit (argv[2], argv[3]);
  /* The work is fixed; of the options that every benchmark takes, only the
     pattern has an effect.  */
  for (int i = 1; i < argc; i += 2)
    {
      if (i + 1 < argc && strcmp (argv[i], "--pattern") == 0)
        pattern = argv[i + 1];
      else if (i + 1 == argc
               || (strcmp (argv[i], "--seed") != 0
                   && strcmp (argv[i], "--seconds") != 0))
        return usage ();
    }
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    if (str_matches_glob (str_from (pattern), str_from (parts[i].name)))
      parts[i].run ();
  return EXIT_SUCCESS;
}
