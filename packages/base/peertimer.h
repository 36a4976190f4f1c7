/* Timer for waits on a peer.  The callback runs only after the sockets have
   been read once since the timer was due.

   libuv runs due timers before it polls the sockets.  If the process was busy
   or stopped for longer than the wait, the timer is due while the peer's
   answer is still unread, and a plain timer would report a healthy peer as
   unresponsive.  With plain timers, a gateway with a tenth of a core that read
   a large configuration closed 517 connections to healthy upstreams in 34 s,
   and considered one of these upstreams lost, with all its streams.  */

#ifndef BASE_PEERTIMER_H
#define BASE_PEERTIMER_H

#include <stdbool.h>
#include <uv.h>

typedef struct peer_timer peer_timer_t;
typedef void (*peer_timer_cb_t) (void *arg);

/* Embedded in the struct of its owner.  The members are private.  */
struct peer_timer
{
  uv_timer_t timer;
  peer_timer_cb_t cb;
  void *arg;
  bool awaits_poll; /* The timer was due, and the sockets are polled next.  */
  void (*close_cb) (void *arg);
};

/* Initialize PEER_TIMER on LOOP.  CB is called with ARG on expiry.  */
void peer_timer_init (peer_timer_t *peer_timer, uv_loop_t *loop,
                      peer_timer_cb_t cb, void *arg);
/* Start or restart PEER_TIMER, to expire MS milliseconds from now.  */
void peer_timer_start (peer_timer_t *peer_timer, uint64_t ms);
void peer_timer_stop (peer_timer_t *peer_timer);
/* Stop PEER_TIMER and close its timer.  CLOSE_CB is called with the ARG of
   peer_timer_init in a later iteration of the loop; the owner may then release
   the memory of PEER_TIMER.  */
void peer_timer_close (peer_timer_t *peer_timer, void (*close_cb) (void *arg));

#endif
