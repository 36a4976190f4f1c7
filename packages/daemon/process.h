/* A daemon process in an entry, sidecar or standalone role, from start to
   planned stop.  */

#ifndef DAEMON_PROCESS_H
#define DAEMON_PROCESS_H

#include "base/stop_time.h"
#include "conf/settings.h"

#include <uv.h>

typedef struct process process_t;

/* Start the roles that SETTINGS name on LOOP; both must outlive the process.
   Return VH_OK with the process in *OUT, or an error code after logging the
   error.  Release the process with process_destroy.  */
vh_code_t process_create (uv_loop_t *loop, const settings_t *settings,
                          process_t **out);
/* Begin the planned stop for which the signal was sent at TIME; further calls
   have no effect.  The loop ends when the stop is complete.  */
void process_stop (process_t *process, const stop_time_t *time);
/* Release PROCESS after its loop has ended.  Return false if the planned stop
   timed out and aborted unfinished requests.  */
bool process_destroy (process_t *process);

#endif
