/* The entry: terminates callers' HTTP and runs each request through a chain
   of filters that ends in one or more attempts at sidecars.  It keeps nothing
   that another entry would need to answer in its place.  */

#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/clock.h"
#include "base/metric.h"
#include "conf/settings.h"
#include "conf/snapshot.h"
#include "control/lease.h"
#include "storage/storage.h"
#include "wire/rpc.h"

typedef struct entry entry_t;

/* What an entry sees of an instance directly.  */
typedef enum
{
  INSTANCE_EVENT_ALIVE,
  INSTANCE_EVENT_UNREACHABLE,
  INSTANCE_EVENT_RESTARTED, /* The same name, another process.  */
  INSTANCE_EVENT_DRAINING_STARTED,
  INSTANCE_EVENT_DRAINING_ENDED
} instance_event_t;

/* What the process around the entry does for it.  */
typedef struct
{
  /* Append to UPDATE what a peer at revision HAVE lacks; return false when
     it lacks nothing.  */
  bool (*delta_from) (void *arg, uint64_t have, buf_t *update);
  /* Take a peer's update.  Return VH_OK, or VH_E_STALE_REVISION when it
     starts past the revision in force here.  */
  vh_code_t (*learn) (void *arg, str_t update);
  /* A peer had REVISION confirmed AGE_MS ago.  */
  void (*confirm) (void *arg, uint64_t revision, uint64_t age_ms);
  /* Age of the confirmation of the revision in force.  */
  uint32_t (*confirmed_ms) (void *arg);
  /* An answer was delivered whole, or the bill of one whose entry is gone
     was taken over: write it.  INSTANCE holds a copy until then.  */
  void (*bill) (void *arg, const wire_bill_t *bill, str_t instance);
  /* Bills were taken over: write them without waiting for others.  */
  void (*write_bills) (void *arg);
  /* Instance NAME was seen so.  */
  void (*seen) (void *arg, str_t name, instance_event_t sight);
} entry_callbacks_t;

/* Everything is borrowed and must outlive the entry.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  metrics_t *metrics;
  const settings_t *settings;
  platform_t *platform;
  uint64_t seed;
  const entry_callbacks_t *host;
  void *arg;
} entry_options_t;

/* Listen and serve.  Return VH_OK and *OUT, or VH_E_IO.  */
vh_code_t entry_create (const entry_options_t *options, entry_t **out);
uint16_t entry_port (const entry_t *entry);
rpc_node_t *entry_rpc_node (entry_t *entry);
/* Put TEXT in force as REVISION unless a later one is.  */
vh_code_t entry_configure (entry_t *entry, uint64_t revision, str_t text);
/* The snapshot in force, borrowed; NULL before the first.  */
snapshot_t *entry_snapshot (const entry_t *entry);

/* Make an instance known, or change what is known of it.  */
void entry_put_instance (entry_t *entry, const instance_row_t *row);
void entry_remove_instance (entry_t *entry, str_t name);

/* Entries known, this one included.  */
size_t entry_count_known_entries (const entry_t *entry);
/* Rank of this entry among the entries of its zone that it can reach, from
   0; the first few look after shared duties such as polling the store.  */
size_t entry_zone_rank (const entry_t *entry);

/* Say that this entry leaves, keep accepting.  */
void entry_start_draining (entry_t *entry);
/* Accept no more connections; what is in hand goes on.  */
void entry_stop_listening (entry_t *entry);
size_t entry_count_unfinished_requests (const entry_t *entry);
void entry_destroy (entry_t *entry);

/* Tell the sidecar INSTANCE that the bills of BILL_IDS are written.  */
void entry_acknowledge_bills (entry_t *entry, str_t instance,
                              const str_t *bill_ids, size_t count);
/* Give BILLS to another entry; CB says whether it has them.  Return false
   when there is none to ask.  */
bool entry_transfer_bills (entry_t *entry, wire_bill_t *bills, size_t count,
                           void (*cb) (void *arg, bool taken), void *arg);
/* The lease under which one entry at a time does the shared duties.  */
lease_t *entry_leader_lease (entry_t *entry);
/* Append the service-level burn as text, JSON or one HTML page.  */
typedef enum
{
  BURN_FORMAT_TEXT,
  BURN_FORMAT_JSON,
  BURN_FORMAT_HTML
} burn_format_t;
void entry_write_burn_report (entry_t *entry, burn_format_t format,
                              buf_t *out);
/* Append the parts of the operators' status that the entry knows: "zones",
   "peers", "rollouts" and "decisions".  */
void entry_write_status (entry_t *entry, buf_t *out);

#endif
