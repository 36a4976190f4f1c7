/* Uses the decisions under load in a program of one's own: admission takes
   or refuses a request, balance chooses its upstream, limit says whether that
   can carry one more.  The upstreams are timers here.
     cc embed.c $(pkg-config --cflags --libs vanillahook) -o embed  */

#include "policy/admission.h"
#include "policy/balance.h"
#include "policy/limit.h"
#include <stdio.h>
#include <uv.h>

#define UPSTREAMS 3
#define REQUESTS 200

typedef struct
{
  const char *name;
  uint64_t service_ms;
  upstream_id_t id;
  limit_t *limit;
  unsigned served;
} upstream_t;

static upstream_t upstreams[UPSTREAMS] = { { .name = "a", .service_ms = 5 },
                                           { .name = "b", .service_ms = 5 },
                                           { .name = "c", .service_ms = 20 } };
static uv_timer_t calls[REQUESTS]; /* One a request.  */
static unsigned arrived, refused;
static admission_t *admission;
static balance_t *balance;

static void
on_answered (uv_timer_t *call)
{
  upstream_t *upstream = call->data;

  limit_release (upstream->limit, upstream->service_ms * 1000, 1, true);
  balance_request_ended (balance, upstream->id, true);
  upstream->served++;
}

static void
on_arrival (uv_timer_t *arrivals)
{
  balance_request_t request
      = { .pool = balance_find_or_add_pool (balance, STR ("m@1")) };
  uv_timer_t *call = &calls[arrived++];
  upstream_t *chosen = upstreams;
  upstream_id_t id;

  if (arrived == REQUESTS)
    uv_timer_stop (arrivals);
  if (admission_decide (admission, STR ("team"), 1, QUEUE_PRIORITY_NORMAL)
          != VH_OK
      || balance_pick (balance, &request, &id) != VH_OK)
    {
      refused++;
      return;
    }
  while (chosen->id != id)
    chosen++;
  bool taken = limit_acquire (chosen->limit) == VH_OK;
  admission_record_result (admission, 1, taken);
  refused += !taken;
  if (!taken)
    return;
  balance_request_started (balance, id);
  uv_timer_init (arrivals->loop, call);
  call->data = chosen;
  uv_timer_start (call, on_answered, chosen->service_ms, 0);
}

int
main (void)
{
  rng_t rng = rng_make (1);
  uv_timer_t arrivals;

  admission = admission_create (clock_system (), &rng);
  balance = balance_create (STR ("embed"), STR ("z"), clock_system (), &rng);
  for (upstream_t *u = upstreams; u < upstreams + UPSTREAMS; u++)
    {
      u->limit = limit_create (NULL, clock_system ());
      u->id = balance_update (balance, str_from (u->name), STR ("z"),
                              &STR ("m@1"), 1, false);
    }
  uv_timer_init (uv_default_loop (), &arrivals);
  uv_timer_start (&arrivals, on_arrival, 0, 2);
  uv_run (uv_default_loop (), UV_RUN_DEFAULT);
  for (upstream_t *u = upstreams; u < upstreams + UPSTREAMS; u++)
    {
      printf ("upstream=%s served=%u\n", u->name, u->served);
      limit_destroy (u->limit);
    }
  printf ("arrived=%u refused=%u\n", arrived, refused);
  balance_destroy (balance);
  admission_destroy (admission);
  return refused < REQUESTS / 10 ? 0 : 1;
}
