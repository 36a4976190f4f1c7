/* Shared by process.c and admin.c alone.  */

#ifndef DAEMON_PROCESSINT_H
#define DAEMON_PROCESSINT_H

#include "base/mem.h"
#include "base/metric.h"
#include "base/map.h"
#include "control/confstore.h"
#include "control/ledger.h"
#include "control/roster.h"
#include "daemon/process.h"
#include "entry/entry.h"
#include "storage/storage.h"
#include "policy/drain.h"
#include "sidecar/sidecar.h"
#include "wire/httpd.h"

struct process
{
  uv_loop_t *loop;
  const settings_t *settings;
  clock_iface_t *clock;
  metrics_t *metrics;
  platform_t *platform;
  entry_t *entry;       /* NULL in a sidecar process.  */
  sidecar_t **sidecars; /* One, or one for each upstream of a standalone.  */
  size_t sidecar_count;
  httpd_t *admin;
  uv_timer_t tick;
  /* How long the loop works between two waits.  */
  uv_prepare_t turn;
  uint64_t turn_ns;
  uint64_t idle_ns;
  histogram_t *busy;
  uint64_t started_ms; /* Monotonic.  */
  drain_t *drain;
  drain_state_t drain_state; /* At the last step.  */
  bool over;                 /* The roles are gone.  */
  uint64_t seed;
  confstore_t *conf;
  roster_t *roster;  /* NULL in a sidecar process.  */
  uint64_t peers_ms; /* When the settings' peers were last put in.  */
  /* Bills.  */
  ledger_t *ledger;
  map_t *bill_homes;   /* Bill id to the instance that holds a copy.  */
  uint64_t drained_ms; /* When the last request was done; 0: not yet.  */
  bool handing_over;
  bool handed_over;
};

enum
{
  /* How long a stopping entry waits for its last rows before it gives the
     bills to a peer.  */
  BILLS_FLUSH_MS = 1500,
  BILLS_GIVE_UP_MS = 10000
};

/* bills.c */
void bills_start (process_t *process);
void bills_end (process_t *process);
void bills_add (process_t *process, const wire_bill_t *wire, str_t instance);
/* INSTANCE is gone with the copies that it held.  */
void bills_home_lost (process_t *process, str_t instance);
/* Tell whether a stop may go on: all bills are written or handed over.  */
bool bills_settled (process_t *process);

vh_code_t admin_create (process_t *process);
bool process_ready (const process_t *process);

#endif
