/* The entry process: accepts HTTP requests of callers and passes each through
   a chain of filters that ends in one or more attempts on sidecars.  An entry
   holds no state that another entry would need to serve in its place.  */

#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/clock.h"
#include "base/memory_budget.h"
#include "base/metric.h"
#include "conf/settings.h"
#include "conf/snapshot.h"
#include "control/lease.h"
#include "storage/storage.h"
#include "wire/rpc.h"

typedef struct entry entry_t;

/* Changes of an instance that the entry detects on its own connection.  */
typedef enum
{
  INSTANCE_EVENT_ALIVE,       /* The instance sent a message.  */
  INSTANCE_EVENT_UNREACHABLE, /* The connection to the instance failed.  */
  INSTANCE_EVENT_RESTARTED,   /* A new process uses the instance name.  */
  INSTANCE_EVENT_DRAINING_STARTED,
  INSTANCE_EVENT_DRAINING_ENDED
} instance_event_t;

/* Callbacks of the process that runs the entry.  */
typedef struct
{
  /* Append to UPDATE the changes from revision HAVE to the revision in force.
     Return false if a peer at HAVE needs no update.  */
  bool (*build_config_update) (void *arg, uint64_t have, buf_t *update);
  /* Apply the configuration update of a peer.  Return VH_OK, or
     VH_E_STALE_REVISION if UPDATE starts at a later revision than the one in
     force here.  */
  vh_code_t (*apply_config_update) (void *arg, str_t update);
  /* A peer reports that the store confirmed REVISION AGE_MS ago.  */
  void (*confirm_revision) (void *arg, uint64_t revision, uint64_t age_ms);
  /* Return the time in ms since the store last confirmed the revision in
     force.  */
  uint32_t (*get_confirmation_age_ms) (void *arg);
  /* Write BILL to the store: its answer was delivered completely, or the
     entry that held the bill is gone.  INSTANCE is the sidecar that keeps a
     copy until the bill is written; empty if there is none.  */
  void (*record_bill) (void *arg, const wire_bill_t *bill, str_t instance);
  /* Write the pending bills at once, without waiting for a full batch.  */
  void (*flush_bills) (void *arg);
  /* The entry detected EVENT on the connection to instance NAME.  */
  void (*on_instance_event) (void *arg, str_t name, instance_event_t event);
} entry_callbacks_t;

/* All pointers are borrowed and must outlive the entry.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  metrics_t *metrics;
  const settings_t *settings;
  platform_t *platform;
  uint64_t seed;
  memory_budget_t *memory; /* Of requests and responses.  */
  const entry_callbacks_t *callbacks;
  void *arg; /* Passed to the callbacks.  */
} entry_options_t;

/* Open the ports of callers and peers.  Return VH_OK and *OUT, owned by the
   caller, or VH_E_IO.  */
vh_code_t entry_create (const entry_options_t *options, entry_t **out);
uint16_t entry_port (const entry_t *entry);
rpc_node_t *entry_rpc_node (entry_t *entry);
/* Apply configuration TEXT as REVISION.  A revision that is not later than
   the one in force is ignored.  Return VH_OK or the error of the parser.  */
vh_code_t entry_configure (entry_t *entry, uint64_t revision, str_t text);
/* Return the configuration in force, borrowed, or NULL before the first.  */
snapshot_t *entry_snapshot (const entry_t *entry);

/* Add the instance ROW, or update its address, zone and state.  The row of
   this entry itself is ignored.  */
void entry_put_instance (entry_t *entry, const instance_row_t *row);
void entry_remove_instance (entry_t *entry, str_t name);

/* Return the number of known entries, this one included.  */
size_t entry_count_known_entries (const entry_t *entry);
/* Return the rank, from 0, of this entry among the reachable entries of its
   availability zone.  The first few ranks take over shared duties such as
   polling the store.  */
size_t entry_zone_rank (const entry_t *entry);

/* Report this entry as draining to peers and end keep-alive connections of
   callers; new connections are still accepted.  */
void entry_start_draining (entry_t *entry);
/* Accept no more connections; requests in progress continue.  */
void entry_stop_listening (entry_t *entry);
/* Return the number of requests that are unanswered, incompletely written or
   still running after their caller disconnected.  */
size_t entry_count_unfinished_requests (const entry_t *entry);
/* Abort all requests and release ENTRY on a later turn of the loop.  NULL is
   accepted.  */
void entry_destroy (entry_t *entry);

/* Notify the sidecar INSTANCE that the bills BILL_IDS are in the store, so
   that the sidecar drops its copies.  */
void entry_acknowledge_bills (entry_t *entry, str_t instance,
                              const str_t *bill_ids, size_t count);
/* Send BILLS to another entry; CB reports whether that entry accepted them.
   Return false, without calling CB, if no other entry is reachable.  */
bool entry_transfer_bills (entry_t *entry, wire_bill_t *bills, size_t count,
                           void (*cb) (void *arg, bool accepted), void *arg);
/* Return the lease under which one entry at a time performs the duties of the
   leader.  */
lease_t *entry_leader_lease (entry_t *entry);

typedef enum
{
  BURN_FORMAT_TEXT,
  BURN_FORMAT_JSON,
  BURN_FORMAT_HTML
} burn_format_t;
/* Append the report of error budgets and burn rates of the service-level
   objectives.  */
void entry_write_burn_report (entry_t *entry, burn_format_t format,
                              buf_t *out);
/* Set the metrics that are not kept up to date all the time.  */
void entry_update_metrics (entry_t *entry);
/* Append the members "zones", "peers", "rollouts", "alarms" and "decisions"
   of the operators' status object.  */
void entry_write_status (entry_t *entry, buf_t *out);

#endif
