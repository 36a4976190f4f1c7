/* The sidecar: the only door to one upstream instance.

   All entries meet here, so what must happen once or in bounded number at
   this upstream needs no agreement: the gate, the limit and the queue are
   exact, a duplicate is seen where it would run, and all orders to the engine
   come from one process that checks their fencing numbers.  */

#ifndef SIDECAR_SIDECAR_H
#define SIDECAR_SIDECAR_H

#include "base/clock.h"
#include "base/metric.h"
#include "conf/settings.h"
#include "conf/snapshot.h"
#include "wire/rpc.h"

typedef struct sidecar sidecar_t;

/* What the process around the sidecar does for it; see entry_callbacks_t.  */
typedef struct
{
  vh_code_t (*learn) (void *arg, str_t update);
  bool (*delta_from) (void *arg, uint64_t have, buf_t *update);
} sidecar_callbacks_t;

/* Everything is borrowed and must outlive the sidecar.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  metrics_t *metrics;
  const settings_t *settings;
  const upstream_settings_t *upstream;
  uint64_t seed;
  const sidecar_callbacks_t *host;
  void *arg;
} sidecar_options_t;

/* Listen and serve.  Return VH_OK and *OUT, or VH_E_IO.  */
vh_code_t sidecar_create (const sidecar_options_t *options, sidecar_t **out);
uint16_t sidecar_port (const sidecar_t *sidecar);
/* Take no new work; what is in hand goes on.  */
void sidecar_drain (sidecar_t *sidecar);
/* Tell whether nothing is in hand: no attempt runs or waits, and every
   answer was taken.  */
bool sidecar_is_idle (const sidecar_t *sidecar);
/* Number of attempts running or waiting.  */
size_t sidecar_count_unfinished (const sidecar_t *sidecar);
void sidecar_destroy (sidecar_t *sidecar);
rpc_node_t *sidecar_node (sidecar_t *sidecar);
uint64_t sidecar_revision (const sidecar_t *sidecar);
/* Append the status as a JSON object.  */
void sidecar_status (const sidecar_t *sidecar, buf_t *out);
/* Put TEXT in force as REVISION unless a later one is.  Return VH_OK or
   VH_E_BAD_CONFIG.  */
vh_code_t sidecar_configure (sidecar_t *sidecar, uint64_t revision,
                             str_t text);

#endif
