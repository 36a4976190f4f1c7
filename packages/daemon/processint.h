/* Internals shared by process.c, admin.c and bills.c only.  */

#ifndef DAEMON_PROCESSINT_H
#define DAEMON_PROCESSINT_H

#include "base/loop_watch.h"
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
  sidecar_t **sidecars; /* One for each upstream in the settings.  */
  size_t sidecar_count;
  httpd_t *admin; /* Server of the operators' port.  */
  memory_budget_t admin_memory;
  memory_budget_t memory; /* Of requests and responses of callers.  */
  uv_timer_t tick_timer;
  loop_watch_t *loop_watch;
  uint64_t started_ms; /* Start of the process on the monotonic clock.  */
  drain_t *drain;
  drain_state_t drain_state; /* State after the last update.  */
  bool are_roles_destroyed;
  uint64_t seed;
  confstore_t *conf;
  roster_t *roster; /* NULL in a sidecar process.  */
  /* Time when the peers from the settings were last added to the roster.  */
  uint64_t configured_peers_added_ms;
  ledger_t *ledger;
  /* Bill ID to the name of the sidecar instance that holds a copy of the bill.
     The map owns the names.  */
  map_t *bill_holders;
  /* Time during a planned stop when the last request finished; 0 if requests
     are unfinished.  */
  uint64_t requests_finished_ms;
  /* Whether a transfer of bills awaits the reply of a peer.  */
  bool is_transfer_pending;
  /* Whether a peer accepted the bills, or the transfer timed out.  */
  bool is_transfer_finished;
};

enum
{
  /* Time that a stopping entry gives the store to write the pending bills
     before it transfers them to a peer.  */
  BILLS_WRITE_TIMEOUT_MS = 1500,
  /* Time after which a stopping entry no longer waits for the store or a peer;
     the sidecars keep their copies of the bills.  */
  BILLS_TRANSFER_TIMEOUT_MS = 10000
};

/* Create the ledger of PROCESS.  */
void bills_start (process_t *process);
/* Release the table of bill copies.  */
void bills_free (process_t *process);
/* Add the bill WIRE to the ledger.  INSTANCE names the sidecar that holds a
   copy, or is empty.  */
void bills_add (process_t *process, const wire_bill_t *wire, str_t instance);
/* Write the pending bills and send copies to a peer, because INSTANCE became
   unreachable or restarted.  Do nothing if INSTANCE holds no copy.  */
void bills_replace_lost_copies (process_t *process, str_t instance);
/* Write the pending bills to the store during a planned stop or, after a
   timeout, transfer them to a peer.  Return whether the stop may proceed.  */
bool bills_write_or_transfer (process_t *process);

/* Start the server of the operators' port.  Return VH_OK, or an error code
   after logging the error.  */
vh_code_t admin_create (process_t *process);
/* Return whether PROCESS is not draining and has a configuration in force.  */
bool process_is_ready (const process_t *process);

#endif
