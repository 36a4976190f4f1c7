/* Measures how the processor time, memory and bytes of each component grow
   with its input.  Each cost is taken at four points or more, and a straight
   line is fitted to them by least squares.

   Rows: slope NAME unit=U intercept=A slope=B r2=R points=N, where the cost is
   A + B * X and U is the unit of the cost over the unit of X.  Most processor
   times are the minimum of several runs, because other load on the machine can
   only add to a time.

   bench_slopes --fit NAME UNIT reads "X Y" lines and prints their row;
   scripts/bench-slopes calls it for its measurements of whole processes.  */

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
  RUNS_PER_POINT = 5,
  ZONES = 10,
  START_S = 1700000000
};

/* Selection of an upstream.  */

/* Return a new balance with UPSTREAM_COUNT upstreams of one pool in ten zones;
   the caller destroys it.  */
static balance_t *
create_balance (clock_iface_t *clock, rng_t *rng, int upstream_count)
{
  const str_t pool = STR ("draft-small@3");
  balance_t *balance
      = balance_create (STR ("entry-1"), STR ("zone-0"), clock, rng);
  char name[32];
  char zone[32];

  balance_find_or_add_pool (balance, pool);
  for (int i = 0; i < upstream_count; i++)
    {
      upstream_id_t id = balance_update (
          balance, format_name (name, sizeof name, "runner", i),
          format_name (zone, sizeof zone, "zone", i % ZONES), &pool, 1, false);
      const balance_load_t load
          = { .in_flight = (uint32_t)i % 7, .slots = 16 };
      balance_record_load (balance, id, &load, 0);
    }
  return balance;
}

/* Return the mean processor time of a selection, in ns.  Every second request
   has an affinity.  */
static double
time_selections (balance_t *balance, rng_t *rng, int selections)
{
  const pool_id_t pool
      = balance_find_or_add_pool (balance, STR ("draft-small@3"));
  double begin_ns = cpu_time_ns ();

  for (int i = 0; i < selections; i++)
    {
      const balance_request_t request
          = { .pool = pool, .affinity = i % 2 == 0 ? rng_u64 (rng) | 1 : 0 };
      upstream_id_t id;
      if (balance_pick (balance, &request, &id) != VH_OK)
        abort ();
      balance_request_started (balance, id);
      balance_request_ended (balance, id, true);
    }
  return (cpu_time_ns () - begin_ns) / selections;
}

static void
bench_balance (void)
{
  static const int sizes[] = { 20, 200, 2000, 5000, 11000 };
  points_t cpu = { 0 };
  points_t memory = { 0 };
  points_t registration = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      rng_t rng = rng_make (7);
      double heap_before = heap_used_bytes ();
      double begin_ns = cpu_time_ns ();
      balance_t *balance = create_balance (clock, &rng, sizes[s]);
      const balance_request_t first = { .pool = balance_find_or_add_pool (
                                            balance, STR ("draft-small@3")) };
      upstream_id_t id;
      balance_pick (balance, &first, &id);
      points_add (&registration, sizes[s], (cpu_time_ns () - begin_ns) / 1e3);
      points_add (&memory, sizes[s], heap_used_bytes () - heap_before);
      double best_time = INFINITY;
      for (int run = 0; run < RUNS_PER_POINT; run++)
        best_time = fmin (best_time, time_selections (balance, &rng, 5000));
      points_add (&cpu, sizes[s], best_time);
      balance_destroy (balance);
      clock_manual_destroy (clock);
    }
  points_print_fit (&cpu, "decision-cpu", "ns/upstream");
  points_print_fit (&memory, "balance-memory", "bytes/upstream");
  points_print_fit (&registration, "balance-join-cpu", "us/upstream");
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
          .version = format_name (names[i], sizeof names[i], "model@", i),
          .cost = 1 + i,
          .quality = { .mean = 0.6 + 0.04 * i, .lower = 0.5 + 0.04 * i },
          .latency_ms = 500
        };
      const cascade_request_t request = { .task = STR ("draft"),
                                          .candidates = candidates,
                                          .candidate_count = (size_t)sizes[s],
                                          .target = 0.75,
                                          .deadline_left_ms = 60000,
                                          .rating_cost = 0.1,
                                          .rating_latency_ms = 50,
                                          .is_rater_available = true };
      double best_time = INFINITY;
      for (int run = 0; run < RUNS_PER_POINT; run++)
        {
          double begin_ns = cpu_time_ns ();
          for (int i = 0; i < 2000; i++)
            cascade_plan (cascade, &rng, &request, (uint64_t)START_S * 1000);
          best_time = fmin (best_time, (cpu_time_ns () - begin_ns) / 2000);
        }
      points_add (&cpu, sizes[s], best_time);
      cascade_destroy (cascade);
    }
  points_print_fit (&cpu, "cascade-cpu", "ns/candidate");
}

/* Admission and queue, by the number of teams.  */

static const int team_sizes[] = { 10, 100, 1000, 5000 };

static void
bench_admission (void)
{
  points_t cpu = { 0 };
  points_t memory = { 0 };

  for (size_t s = 0; s < sizeof team_sizes / sizeof team_sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      double heap_before = heap_used_bytes ();
      rng_t rng = rng_make (5);
      admission_t *admission = admission_create (clock, &rng);
      char name[32];
      double best_time = INFINITY;
      for (int i = 0; i < team_sizes[s]; i++)
        admission_set_weight (admission,
                              format_name (name, sizeof name, "team", i), 1);
      points_add (&memory, team_sizes[s], heap_used_bytes () - heap_before);
      for (int run = 0; run < RUNS_PER_POINT; run++)
        {
          double begin_ns = cpu_time_ns ();
          /* 2,400 requests per simulated second, 240 in each 100 ms interval
             of the admission.  */
          for (int i = 0; i < 4800; i++)
            {
              str_t team
                  = format_name (name, sizeof name, "team", i % team_sizes[s]);
              vh_code_t code = admission_decide (admission, team, 256,
                                                 QUEUE_PRIORITY_NORMAL);
              if (code == VH_OK)
                admission_record_result (admission, 256, i % 3 != 0);
              if (i % 24 == 0)
                clock_manual_advance_us (clock, 10000);
            }
          best_time = fmin (best_time, (cpu_time_ns () - begin_ns) / 4800);
        }
      points_add (&cpu, team_sizes[s], best_time);
      admission_destroy (admission);
      clock_manual_destroy (clock);
    }
  points_print_fit (&cpu, "admission-cpu", "ns/team");
  points_print_fit (&memory, "admission-memory", "bytes/team");
}

/* Push JOBS jobs of TEAMS teams in turn, then pop and finish all of them.  */
static void
run_queue_jobs (queue_t *queue, clock_iface_t *clock, queue_waiter_t *waiters,
                int jobs, int teams)
{
  char name[32];

  for (int i = 0; i < jobs; i++)
    {
      const queue_job_t job
          = { .team = format_name (name, sizeof name, "team", i % teams),
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
      double heap_before = heap_used_bytes ();
      queue_t *queue = queue_create (NULL, clock);
      char name[32];
      double best_time = INFINITY;
      queue_set_slots (queue, 16);
      for (int i = 0; i < team_sizes[s]; i++)
        queue_set_weight (queue, format_name (name, sizeof name, "team", i),
                          1);
      points_add (&memory, team_sizes[s], heap_used_bytes () - heap_before);
      for (int run = 0; run < RUNS_PER_POINT; run++)
        {
          double begin_ns = cpu_time_ns ();
          run_queue_jobs (queue, clock, waiters, JOBS, team_sizes[s]);
          best_time = fmin (best_time, (cpu_time_ns () - begin_ns) / JOBS);
        }
      points_add (&cpu, team_sizes[s], best_time);
      queue_destroy (queue);
      clock_manual_destroy (clock);
    }
  free (waiters);
  points_print_fit (&cpu, "queue-cpu", "ns/team");
  points_print_fit (&memory, "queue-memory", "bytes/team");
}

/* Configuration.  */

/* Append a configuration with TEAMS teams, VERSIONS versions and INSTANCES
   instances to TEXT.  The first CHANGED teams have a weight of 7, the others
   of 4, so that two configurations differ by that many changes.  */
static void
append_config (buf_t *text, int teams, int versions, int instances,
               int changed)
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

/* Parse a configuration of the given size; add the processor time in us and
   the memory of its snapshot at X.  */
static void
add_snapshot_points (points_t *cpu, points_t *memory, double x, int teams,
                     int versions, int instances)
{
  buf_t text = BUF_NULL;
  double best_time = INFINITY;
  double used_bytes = 0;

  append_config (&text, teams, versions, instances, 0);
  for (int run = 0; run < RUNS_PER_POINT; run++)
    {
      conf_errors_t errors = { 0 };
      snapshot_t *snapshot;
      double heap_before = heap_used_bytes ();
      double begin_ns = cpu_time_ns ();
      if (snapshot_parse (buf_str (&text), 1, &snapshot, &errors) != VH_OK)
        abort ();
      best_time = fmin (best_time, (cpu_time_ns () - begin_ns) / 1e3);
      used_bytes = heap_used_bytes () - heap_before;
      snapshot_unref (snapshot);
      conf_errors_free (&errors);
    }
  points_add (cpu, x, best_time);
  points_add (memory, x, used_bytes);
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
      add_snapshot_points (&cpu[0], &memory[0], team_sizes[i], team_sizes[i],
                           23, 0);
      add_snapshot_points (&cpu[1], &memory[1], versions[i], 100, versions[i],
                           0);
      add_snapshot_points (&cpu[2], &memory[2], instances[i], 100, 23,
                           instances[i]);
    }
  points_print_fit (&cpu[0], "snapshot-cpu-teams", "us/team");
  points_print_fit (&memory[0], "snapshot-memory-teams", "bytes/team");
  points_print_fit (&cpu[1], "snapshot-cpu-versions", "us/version");
  points_print_fit (&memory[1], "snapshot-memory-versions", "bytes/version");
  points_print_fit (&cpu[2], "snapshot-cpu-instances", "us/instance");
  points_print_fit (&memory[2], "snapshot-memory-instances", "bytes/instance");
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
      append_config (&before, 1000, 23, 1000, 0);
      append_config (&after, 1000, 23, 1000, changes[i]);
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
      buf_t result_text = BUF_NULL;
      append_config (&before, team_sizes[i], 23, 0, 0);
      append_config (&after, team_sizes[i], 23, 0, 1);
      conf_delta_make (buf_str (&before), buf_str (&after), &delta);
      double begin_ns = cpu_time_ns ();
      if (conf_delta_apply (buf_str (&before), buf_str (&delta), &result_text)
          != VH_OK)
        abort ();
      points_add (&cpu, team_sizes[i], (cpu_time_ns () - begin_ns) / 1e3);
      buf_free (&before);
      buf_free (&after);
      buf_free (&delta);
      buf_free (&result_text);
    }
  points_print_fit (&size, "delta-size", "bytes/change");
  points_print_fit (&cpu, "delta-apply-cpu", "us/team");
}

/* RPC.  Client and server run in this process, so every processor time
   includes both.  */

typedef struct
{
  uv_loop_t loop;
  rpc_node_t *node;
  rpc_server_t *server;
  rpc_peer_t *peer;
  char *answer;
  size_t answer_len;
  int pending_count; /* Number of calls or pings that have not finished.  */
} rpc_bench_t;

static void
handle_request (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  rpc_bench_t *bench = arg;
  char empty[] = "";

  (void)args;
  if (proc == WIRE_PING)
    {
      char zone[] = "nairobi-a";
      char instance[] = "runner-17";
      char *serves[] = { zone };
      wire_ping_res_t ping_result
          = { .instance = instance, .zone = zone, .serves = { 1, serves } };
      rpc_reply (request, &ping_result);
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
    answer.bytes.bytes_val = empty;
  rpc_reply (request, &answer);
}

static void
on_pong_send_next (void *arg, const wire_ping_res_t *result)
{
  rpc_bench_t *bench = arg;

  (void)result;
  if (--bench->pending_count > 0)
    rpc_peer_ping (bench->peer);
}

static void
ignore_state (void *arg, rpc_peer_state_t state)
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
ignore_context (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  (void)arg;
  (void)peer;
  (void)context;
}

static const rpc_hooks_t hooks = { fill_context, ignore_context };
static const rpc_peer_events_t ping_chain_events
    = { ignore_state, on_pong_send_next };

static void
on_pong_count (void *arg, const wire_ping_res_t *result)
{
  (void)result;
  ((rpc_bench_t *)arg)->pending_count--;
}

static const rpc_peer_events_t ping_once_events
    = { ignore_state, on_pong_count };

static void send_submit (rpc_bench_t *bench);

static void
on_fetched (void *arg, vh_code_t code, void *result, unsigned sent)
{
  rpc_bench_t *bench = arg;

  (void)result;
  (void)sent;
  if (code != VH_OK)
    abort ();
  if (--bench->pending_count > 0)
    send_submit (bench);
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
send_submit (rpc_bench_t *bench)
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
  if (rpc_server_create (bench->node, STR ("127.0.0.1:0"), handle_request,
                         bench, &bench->server)
      != VH_OK)
    abort ();
  snprintf (address, sizeof address, "127.0.0.1:%u",
            rpc_server_port (bench->server));
  bench->peer = rpc_peer_create (bench->node, str_from (address),
                                 &ping_chain_events, bench);
}

static void
rpc_bench_run_sequence (rpc_bench_t *bench, int count, bool pings)
{
  bench->pending_count = count;
  if (pings)
    rpc_peer_ping (bench->peer);
  else
    send_submit (bench);
  while (bench->pending_count > 0)
    uv_run (&bench->loop, UV_RUN_ONCE);
}

static void
rpc_bench_destroy (rpc_bench_t *bench)
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
  rpc_bench_run_sequence (&bench, 100, true);
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      const rpc_stats_t before = *rpc_node_stats (bench.node);
      double best_time = INFINITY;
      for (int run = 0; run < RUNS_PER_POINT; run++)
        {
          double begin_ns = cpu_time_ns ();
          rpc_bench_run_sequence (&bench, counts[i], true);
          best_time = fmin (best_time, (cpu_time_ns () - begin_ns) / 1e3);
        }
      points_add (&cpu, counts[i], best_time);
      points_add (
          &bytes, counts[i],
          (double)(rpc_node_stats (bench.node)->bytes_out - before.bytes_out)
              / RUNS_PER_POINT);
    }
  rpc_bench_destroy (&bench);
  points_print_fit (&cpu, "ping-cpu", "us/ping");
  points_print_fit (&bytes, "ping-bytes", "bytes/ping");
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
  rpc_bench_run_sequence (&bench, 100, false);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      double best_time = INFINITY;
      bench.answer_len = sizes[i];
      const rpc_stats_t before = *rpc_node_stats (bench.node);
      for (int run = 0; run < RUNS_PER_POINT; run++)
        {
          double begin_ns = cpu_time_ns ();
          rpc_bench_run_sequence (&bench, CALLS, false);
          best_time
              = fmin (best_time, (cpu_time_ns () - begin_ns) / 1e3 / CALLS);
        }
      points_add (&cpu, (double)sizes[i] / 1024, best_time);
      points_add (
          &bytes, (double)sizes[i] / 1024,
          (double)(rpc_node_stats (bench.node)->bytes_out - before.bytes_out)
              / RUNS_PER_POINT / CALLS);
    }
  free (bench.answer);
  rpc_bench_destroy (&bench);
  points_print_fit (&cpu, "call-cpu", "us/KiB");
  points_print_fit (&bytes, "call-bytes", "bytes/KiB");
}

/* Print the memory of connections after one ping on each, client's and
   server's side together.  */
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
      rpc_bench_run_sequence (&bench, 1, true);
      double heap_before = heap_used_bytes ();
      bench.pending_count = sizes[s] + 1;
      for (int i = 0; i < sizes[s]; i++)
        {
          peers[i] = rpc_peer_create (bench.node, str_from (address),
                                      &ping_once_events, &bench);
          rpc_peer_ping (peers[i]);
        }
      while (bench.pending_count > 1)
        uv_run (&bench.loop, UV_RUN_ONCE);
      points_add (&memory, sizes[s], heap_used_bytes () - heap_before);
      for (int i = 0; i < sizes[s]; i++)
        rpc_peer_destroy (peers[i]);
      rpc_bench_destroy (&bench);
    }
  points_print_fit (&memory, "connection-memory", "bytes/connection");
}

/* Read points from standard input, fit a line to them and print its row.
   Return the exit status.  */
static int
fit_input (const char *name, const char *unit)
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
  points_print_fit (&points, name, unit);
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
    return fit_input (argv[2], argv[3]);
  /* scripts/bench passes --pattern, --seed and --seconds to every benchmark.
     The work here is fixed, so --seed and --seconds have no effect.  */
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
