/* Runners begin to answer long requests before these have been read, and their
   answers end with the channel.  One of two runners breaks off one answer in 20
   by a reset.  A consumer must not get what came of such an answer as a
   complete one.  */

#include "../lab/lab.h"

#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  GATEWAYS = 3, /* Each has one consumer.  */
  RUNNERS = 2,
  START_MS = 1000,
  PERIODS = 3, /* Of traffic, each of PERIOD_MS, one each INTERVAL_MS.  */
  PERIOD_MS = 5000,
  INTERVAL_MS = 8000,
  BODY_BYTES = 4000000, /* Within maxBodyBytes, 4,194,304.  */
  ANSWER_BYTES = 30000,
  WINDOW_BYTES = 16384,
  FIRST_BYTES = 9000,  /* Sent before the body has been read.  */
  FAULTY_INTERVAL = 20 /* One answer in so many is broken off.  */
};

enum
{
  REQUESTS_MAX = 20000
};

typedef struct
{
  double sent_ms;
  double run_ms;
  double answered_ms;
  const char *runner;
  bool is_broken_off;
  int status; /* 0: no answer.  */
  bool is_complete;
  size_t bytes;
} attempt_t;

static attempt_t attempts[REQUESTS_MAX];
static lab_gateway_t gateways[GATEWAYS];
static char *body;
static lab_runner_t runners[RUNNERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned last_id;
static unsigned faulty_runs;
static size_t runs;
static size_t broken_off;
static size_t whole;
static size_t failed;
static size_t cut;

/* Read the rest of the body.  */
static void
read_rest (int fd)
{
  static __thread char bytes[65536];
  size_t left = BODY_BYTES;

  while (left > 0)
    {
      ssize_t got = recv (fd, bytes, sizeof bytes, 0);
      if (got <= 0)
        return;
      left -= (size_t)got;
    }
}

static void
answer_early (lab_runner_t *runner, int fd, const lab_message_t *request)
{
  char answer[ANSWER_BYTES + 512];
  char id[64] = "";

  lab_header (request, "Attempt-Id", id, sizeof id);
  pthread_mutex_lock (&lock);
  runs++;
  bool breaks_off = lab_trouble () && runner == &runners[0]
                    && ++faulty_runs % FAULTY_INTERVAL == 0;
  broken_off += breaks_off;
  unsigned long index = strtoul (id, NULL, 16);
  if (index < REQUESTS_MAX)
    {
      attempts[index].run_ms = lab_ms ();
      attempts[index].runner = runner->id;
      attempts[index].is_broken_off = breaks_off;
    }
  pthread_mutex_unlock (&lock);
  int head_len
      = snprintf (answer, sizeof answer,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                  "Server-Seal: seal-%s-%s\r\nConnection: close\r\n\r\n",
                  id, runner->id, id);
  for (int i = 0; i < ANSWER_BYTES; i++)
    answer[head_len + i] = (char)('a' + i % 26);
  lab_sleep_ms (5);
  lab_send (fd, answer, (size_t)head_len + FIRST_BYTES);
  if (breaks_off)
    {
      lab_abort_channel (fd);
      return;
    }
  read_rest (fd);
  lab_send (fd, answer + head_len + FIRST_BYTES, ANSWER_BYTES - FIRST_BYTES);
}

static void
judge (unsigned id, bool is_answered, const lab_message_t *response)
{
  attempt_t *attempt = &attempts[id];

  pthread_mutex_lock (&lock);
  attempt->answered_ms = lab_ms ();
  if (is_answered)
    {
      attempt->status = response->status;
      attempt->is_complete = response->is_complete;
      attempt->bytes = response->body_len;
    }
  if (attempt->status != 200 || !attempt->is_complete)
    failed++;
  else if (attempt->bytes == ANSWER_BYTES)
    whole++;
  else
    cut++;
  pthread_mutex_unlock (&lock);
}

static void
record_attempts (void)
{
  for (unsigned id = 1; id <= last_id; id++)
    {
      const attempt_t *attempt = &attempts[id];
      bool is_cut = attempt->status == 200 && attempt->is_complete
                    && attempt->bytes != ANSWER_BYTES;
      lab_record ("%srequest %016x: sent at %.1f; run by %s at %.1f%s; "
                  "answered %d at %.1f, %zu bytes, %s",
                  is_cut ? "BROKEN: " : "", id, attempt->sent_ms,
                  attempt->runner != NULL ? attempt->runner : "none",
                  attempt->run_ms,
                  attempt->is_broken_off ? ", which broke off its answer "
                                           "after 9000 of 30000 bytes (reset)"
                                         : "",
                  attempt->status, attempt->answered_ms, attempt->bytes,
                  attempt->is_complete ? "complete" : "not complete");
    }
}

static void *
run_consumer (void *arg)
{
  const lab_gateway_t *gateway = arg;

  while (lab_ms () < START_MS + (PERIODS - 1) * INTERVAL_MS + PERIOD_MS)
    {
      double in_interval_ms = fmod (lab_ms () - START_MS, INTERVAL_MS);
      if (in_interval_ms > PERIOD_MS)
        {
          lab_sleep_ms (INTERVAL_MS - in_interval_ms);
          continue;
        }
      lab_message_t response;
      char head[512];
      int fd = lab_connect (gateway->front);
      pthread_mutex_lock (&lock);
      unsigned id = ++last_id;
      if (id == REQUESTS_MAX)
        lab_exit (EXIT_COULD_NOT_RUN);
      attempts[id].sent_ms = lab_ms ();
      pthread_mutex_unlock (&lock);
      int len = snprintf (head, sizeof head,
                          "POST /tag/1 HTTP/1.1\r\nHost: desk.example\r\n"
                          "Attempt-Id: %016x\r\nDeadline-Ms: 5000\r\n"
                          "Content-Length: %d\r\n\r\n",
                          id, BODY_BYTES);
      bool is_sent = fd >= 0 && lab_send (fd, head, (size_t)len)
                     && lab_send (fd, body, BODY_BYTES);
      bool is_answered = is_sent && lab_read_message (fd, true, 0, &response);
      judge (id, is_answered, &response);
      if (is_sent)
        lab_free_message (&response);
      if (fd >= 0)
        close (fd);
    }
  return NULL;
}

static const char manifest[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-tag\",\"hostname\":"
      "\"desk.example\",\"prefix\":\"/tag/\",\"kind\":\"non_idempotent\","
      "\"timeoutMs\":5000,\"targetLatencyMs\":1500,\"priority\":0,"
      "\"service\":\"photos\",\"maxAttempts\":1,\"public\":true}],"
      "\"services\":[{\"name\":\"photos\",\"healthPath\":\"/health\","
      "\"maxConns\":200,\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

int
main (int argc, char **argv)
{
  pthread_t threads[GATEWAYS];

  if (argc != 3)
    return EXIT_COULD_NOT_RUN;
  lab_init (argv[1], argv[2], 60);
  lab_store_put ("op", "config", manifest);
  for (int i = 0; i < RUNNERS; i++)
    {
      lab_runner_t *runner = &runners[i];
      snprintf (runner->id, sizeof runner->id, "i-photos-%d", i + 1);
      snprintf (runner->service, sizeof runner->service, "photos");
      runner->slots = 64;
      runner->answers_early = true;
      runner->is_serial = true;
      runner->window = WINDOW_BYTES;
      runner->handler = answer_early;
      lab_runner_start (runner);
    }
  for (int i = 0; i < GATEWAYS; i++)
    {
      char name[LAB_ID_MAX];
      snprintf (name, sizeof name, "front-a-%d", i + 1);
      lab_gateway_start (&gateways[i], name, lab_store_open (name));
    }
  for (int i = 0; i < GATEWAYS; i++)
    lab_gateway_wait_ready (&gateways[i]);
  lab_sleep_ms (START_MS - lab_ms ());
  body = malloc (BODY_BYTES);
  memset (body, 'x', BODY_BYTES);
  for (int i = 0; i < GATEWAYS; i++)
    pthread_create (&threads[i], NULL, run_consumer,
                    &gateways[i]);
  for (int i = 0; i < GATEWAYS; i++)
    pthread_join (threads[i], NULL);
  record_attempts ();
  lab_record ("requests sent %u, runs %zu, answers broken off by a runner "
              "%zu; consumers got: whole %zu, failures %zu, cut but complete "
              "by their framing %zu",
              last_id, runs, broken_off, whole, failed, cut);
  if (whole < 50 || (lab_trouble () && broken_off < 5))
    lab_exit (EXIT_COULD_NOT_RUN);
  lab_exit (cut > 0 ? EXIT_BROKEN : EXIT_HELD);
}
