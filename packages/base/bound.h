/* A bound on how long a peer is waited for.

   libuv runs the timers that are due before it reads the sockets.  A process
   that was busy or stopped for longer than a wait finds its timer due while
   the peer's answer lies unread, and would blame the peer for its own pause:
   an entry with a tenth of a core that read a large configuration gave up 517
   connections to sound upstreams in 34 s, and took one of these for lost with
   all its streams.  A bound fires only after the sockets were read once since
   it fell due.  */

#ifndef BASE_BOUND_H
#define BASE_BOUND_H

#include <stdbool.h>
#include <uv.h>

typedef struct bound peer_timer_t;
typedef void (*peer_timer_cb_t) (void *arg);

/* Lives in its owner; the members are its own.  */
struct bound
{
  uv_timer_t timer;
  peer_timer_cb_t cb;
  void *arg;
  bool is_due; /* It fell due, and the sockets are read next.  */
  void (*closed) (void *arg);
};

/* Make BOUND on LOOP; CB gets ARG.  */
void peer_timer_init (peer_timer_t *bound, uv_loop_t *loop, peer_timer_cb_t cb,
                      void *arg);
/* Fire in MS milliseconds from now, in place of what was started before.  */
void peer_timer_start (peer_timer_t *bound, uint64_t ms);
void peer_timer_stop (peer_timer_t *bound);
/* CLOSED gets the ARG of peer_timer_init on a later turn; then the memory is
   the owner's again.  */
void peer_timer_close (peer_timer_t *bound, void (*closed) (void *arg));

#endif
