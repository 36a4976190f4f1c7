/* Private declarations of the sidecar: sidecar.c (life cycle and timers),
   serve.c (RPC procedures), upstream.c (calls to the upstream) and
   bill_backup.c (bills not yet in the ledger).  */

#ifndef SIDECAR_SIDECARINT_H
#define SIDECAR_SIDECARINT_H

#include "policy/limit.h"
#include "policy/poison.h"
#include "policy/queue.h"
#include "sidecar/attempt.h"
#include "sidecar/sidecar.h"

enum
{
  /* Number of received but not yet fetched bytes of an answer above which
     reading from the upstream is paused.  */
  ANSWER_UNFETCHED_BYTES_MAX = 256 << 10,
  /* Time without a FETCH after which an idempotent attempt is cancelled:
     its entry no longer waits for the answer.  */
  ABANDONED_ATTEMPT_MS = 15000,
  ATTEMPT_ANSWER_BYTES_MAX = 32 << 20,
  RECENT_SUSPECTS_MAX = 64
};

/* Copies of the bills of delivered answers, kept until the entry confirms
   that the ledger has them.  */
typedef struct bill_backup bill_backup_t;

#define SIDECAR_COUNTERS(X)                                                   \
  X (submitted, "vanillahook_sidecar_submitted_total",                        \
     "Attempts taken or refused.")                                            \
  X (started, "vanillahook_sidecar_started_total",                            \
     "Attempts started at the upstream.")                                     \
  X (answered, "vanillahook_sidecar_answered_total",                          \
     "Attempts whose answer was whole.")                                      \
  X (failed, "vanillahook_sidecar_failed_total",                              \
     "Attempts that the upstream failed.")                                    \
  X (not_admitted, "vanillahook_sidecar_gated_total",                         \
     "Attempts refused by the gate.")                                         \
  X (refused, "vanillahook_sidecar_refused_total",                            \
     "Attempts refused by queue or deadline.")                                \
  X (joined, "vanillahook_sidecar_joined_total",                              \
     "Requests joined to an attempt that was here already.")                  \
  X (fenced, "vanillahook_sidecar_fenced_total", "Attempts fenced.")          \
  X (cancelled, "vanillahook_sidecar_cancelled_total", "Attempts cancelled.") \
  X (upstream_crashes, "vanillahook_sidecar_upstream_deaths_total",           \
     "Deaths of the upstream.")

struct sidecar
{
  sidecar_options_t options;
  uv_loop_t *loop;
  clock_iface_t *clock;
  const upstream_settings_t *upstream;
  rpc_node_t *node;
  rpc_server_t *server;
  httpc_t *http_client;
  attempts_t *attempts;
  limit_t *limit;
  queue_t *queue;
  snapshot_t *snapshot; /* NULL before the first configuration.  */
  bill_backup_t *bill_backup;
  char *caller_id; /* NAME/EPOCH of the sender of the current RPC.  */
  uint64_t caller_epoch;
  bool draining;
  uint64_t drain_started_ms;
  bool is_destroyed;
  uv_timer_t maintenance_timer;
  uv_timer_t expiry_timer; /* Expires with the next deadline in the queue.  */
  rng_t rng;
  uint64_t started_real_ms; /* Start of the sidecar, in real time.  */
  uint32_t running_count;
  uint32_t running_nonidempotent_count;
  uint32_t running_suspect_count;
  uint32_t crash_count;        /* Crashes of the upstream detected so far.  */
  uint64_t mean_first_byte_us; /* Moving mean of the time to first byte.  */
  wire_suspect_t suspects[RECENT_SUSPECTS_MAX]; /* Ring buffer of suspects.  */
  size_t suspects_recorded; /* Total, with overwritten suspects.  */
  map_t *fence_by_subject;  /* Highest fencing number of each subject.  */
  struct
  {
#define X(name, series, help) counter_t *name;
    SIDECAR_COUNTERS (X)
#undef X
  } counters;
};

/* serve.c: handle the RPC REQUEST of procedure PROC.  */
void sidecar_handle_rpc (void *arg, rpc_request_t *request, uint32_t proc,
                         void *args);
/* Reply to the pending fetches of ATTEMPT for which enough bytes have come
   or whose answer has ended.  */
void sidecar_answer_fetches (sidecar_t *sidecar, attempt_t *attempt);
/* Reply to the pending fetches of ATTEMPT whose wait has timed out.  */
void sidecar_answer_expired_fetches (sidecar_t *sidecar, attempt_t *attempt,
                                     uint64_t now_ms);
/* End ATTEMPT, which has not started, with CODE.  */
void sidecar_reject_attempt (sidecar_t *sidecar, attempt_t *attempt,
                             vh_code_t code);
/* Return VH_OK if a request of TEAM for TARGET may run at this upstream,
   VH_E_DRAINING, or VH_E_GATE when the configuration forbids the request.  */
vh_code_t sidecar_check_admission (const sidecar_t *sidecar, str_t team,
                                   str_t target);

/* upstream.c: reject queued attempts that can't make their deadline and start
   as many of the others as the concurrency limit allows.  */
void sidecar_dispatch (sidecar_t *sidecar);
/* Abort ATTEMPT's call to the upstream and end ATTEMPT with CODE.  */
void sidecar_abort_call (sidecar_t *sidecar, attempt_t *attempt,
                         vh_code_t code);
/* Resume reading a paused answer once its fetcher has caught up.  */
void sidecar_resume_reading (const sidecar_t *sidecar, attempt_t *attempt);

/* bill_backup.c.  An entry is identified by its NAME/EPOCH.  */
bill_backup_t *bill_backup_create (clock_iface_t *clock);
void bill_backup_destroy (bill_backup_t *backup);
/* Record that a message from ENTRY_ID has arrived.  */
void bill_backup_record_contact (bill_backup_t *backup, str_t entry_id);
/* Keep a copy of the bill of ATTEMPT for the entry ENTRY_ID.  */
void bill_backup_add (bill_backup_t *backup, const attempt_t *attempt,
                      str_t entry_id, uint64_t cost_micro);
void bill_backup_remove (bill_backup_t *backup, str_t bill_id);
/* Return the number of bills whose entry is considered dead.  */
size_t bill_backup_count_orphans (const bill_backup_t *backup);
/* Return the number of bills whose entry has sent no message since
   SINCE_MS.  */
size_t bill_backup_count_silent (const bill_backup_t *backup,
                                 uint64_t since_ms);
/* Reassign up to MAX_COUNT orphaned bills to the entry ENTRY_ID and store
   them in BILLS; their strings are borrowed.  Return their number.  */
size_t bill_backup_adopt (bill_backup_t *backup, str_t entry_id,
                          size_t max_count, wire_bill_t *bills);
/* Remove the record of one entry that is considered dead and has no bills
   left, if there is one.  Called periodically, as a call removes at most one
   record.  */
void bill_backup_remove_dead_entry (bill_backup_t *backup);
size_t bill_backup_count (const bill_backup_t *backup);

#endif
