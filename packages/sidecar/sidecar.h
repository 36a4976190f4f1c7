/* The sidecar: the only process that sends requests to one upstream instance.

   All entries reach the upstream through its sidecar, so limits that hold for
   the whole upstream need no agreement between processes: admission, the
   concurrency limit and the queue are exact, a duplicate request is detected
   where it would run, and all orders to the engine come from one process,
   which checks their fencing numbers.  */

#ifndef SIDECAR_SIDECAR_H
#define SIDECAR_SIDECAR_H

#include "base/clock.h"
#include "base/memory_budget.h"
#include "base/metric.h"
#include "conf/settings.h"
#include "conf/snapshot.h"
#include "wire/rpc.h"

typedef struct sidecar sidecar_t;

/* Callbacks of the process that runs the sidecar.  */
typedef struct
{
  /* Apply a configuration update from another process.  Return VH_OK, or
     VH_E_STALE_REVISION when the update starts after the revision in force
     in this process.  */
  vh_code_t (*apply_update) (void *arg, str_t update);
  /* Append to UPDATE the changes of the configuration since revision HAVE;
     return false when there are none.  */
  bool (*append_update) (void *arg, uint64_t have, buf_t *update);
} sidecar_callbacks_t;

/* All pointers are borrowed and must outlive the sidecar.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  metrics_t *metrics;
  const settings_t *settings;
  const upstream_settings_t *upstream;
  memory_budget_t *memory; /* Of requests.  */
  uint64_t seed;
  const sidecar_callbacks_t *callbacks;
  void *arg; /* First argument of the functions in CALLBACKS.  */
} sidecar_options_t;

/* Create a sidecar that listens and serves RPCs.  Return VH_OK and the
   sidecar in *OUT, or VH_E_IO.  */
vh_code_t sidecar_create (const sidecar_options_t *options, sidecar_t **out);
uint16_t sidecar_port (const sidecar_t *sidecar);
/* Reject new attempts from now on; queued and running ones continue.  */
void sidecar_drain (sidecar_t *sidecar);
/* Return whether no attempt is queued or running.  */
bool sidecar_is_idle (const sidecar_t *sidecar);
/* Return the number of running and queued attempts, of recent answers whose
   end no entry has fetched, and of held bills that would be lost if the
   process stopped now.  */
size_t sidecar_count_unfinished (const sidecar_t *sidecar);
void sidecar_destroy (sidecar_t *sidecar);
rpc_node_t *sidecar_node (sidecar_t *sidecar);
uint64_t sidecar_revision (const sidecar_t *sidecar);
/* Append the status as a JSON object.  */
void sidecar_status (const sidecar_t *sidecar, buf_t *out);
/* Put the configuration TEXT in force as REVISION, unless the revision in
   force is the same or later.  Return VH_OK or VH_E_BAD_CONFIG.  */
vh_code_t sidecar_configure (sidecar_t *sidecar, uint64_t revision,
                             str_t text);

#endif
