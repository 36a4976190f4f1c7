/* Which requests ran on instances that crashed.

   An instance has crashed if a connection to it ended before the response and
   nothing listens at its address right after, or if another process registers
   under its id.  A connection that ends while the instance goes on, a machine
   that no longer responds and an instance that is leaving are no crashes.  A
   crash is recorded for the content of each request of this gateway that was
   lost there, and of those given up shortly before; and for the shared parts
   of its prompt, unless the answer had begun some time before. policy/poison.h
   tells when such a request is refused.

   The records are shared through the store, one row for each crash of a
   content or part, crash/KEY/CRASH, with the store time of the crash as its
   value.  The row crash/KEY/ran, with the store time of a run that did not
   crash, clears the crashes before.  The deletion of a row clears nothing.
   Without crashes there are no rows.  While the store does not answer, each
   gateway uses what it knows.  */

#ifndef GATEWAY_CRASH_RECORDSINT_H
#define GATEWAY_CRASH_RECORDSINT_H

#include "base/eventlog.h"
#include "gateway/request_attrsint.h"

enum
{
  CONTENT_TEXT_SIZE = 17,
  /* Time after the first event of an answer from which a crash is not due to
     its prompt.  */
  CRASH_RUN_BEGUN_MS = 250
};

/* Return the field that tells requests of equal content in the log.  TEXT
   holds its value.  */
log_field_t crash_records_content_field (poison_key_t content,
                                         char text[CONTENT_TEXT_SIZE]);

/* Create the records, at first empty.  STATE and ROWS must outlive the
   result.  */
crash_records_t *crash_records_create (gateway_state_t *state, rows_t *rows);
void crash_records_destroy (crash_records_t *records);

/* Return the class of the request with ATTRS that is about to be sent.  A
   refused request whose test run is due at this gateway is a suspect, and the
   test run counts as started.  */
poison_class_t crash_records_admit (crash_records_t *records,
                                    const request_attrs_t *attrs);
/* Return whether a request with ATTRS would be refused, without a test run. */
bool crash_records_is_refused (const crash_records_t *records,
                               const request_attrs_t *attrs);
/* Write the keys of the parts of a request with ATTRS that are suspected to
   PARTS, which has room for REQUEST_PARTS_MAX.  Return their number.  */
size_t crash_records_suspect_parts (const crash_records_t *records,
                                    const request_attrs_t *attrs,
                                    poison_key_t *parts);
/* Return the key for which the request with ATTRS is refused, its content if
   it is not.  */
poison_key_t crash_records_refused_key (const crash_records_t *records,
                                        const request_attrs_t *attrs);
/* Return the time in ms until a test run of the refused KEY is due; UINT64_MAX
   if there will be none.  */
uint64_t crash_records_test_wait_ms (const crash_records_t *records,
                                     poison_key_t key);
/* Return the number of crashes for which KEY is held.  */
uint32_t crash_records_count (const crash_records_t *records,
                              poison_key_t key);
/* Return the number of suspected and refused contents and parts.  */
size_t crash_records_suspect_count (const crash_records_t *records);

/* Record that a request with ATTRS at UPSTREAM got no complete response.
   HAS_BEGUN: its answer had begun CRASH_RUN_BEGUN_MS before.  IS_CUT: the
   connection ended, so UPSTREAM is probed.  Otherwise this gateway gave the
   request up.  */
void crash_records_send_lost (crash_records_t *records,
                              const upstream_t *upstream,
                              const request_attrs_t *attrs, bool has_begun,
                              bool is_cut);
/* Return whether it is not yet known if an instance crashed under CONTENT.  */
bool crash_records_awaits_probe (const crash_records_t *records,
                                 poison_key_t content);
/* Apply the RESULT of a probe of instance ID.  */
void crash_records_probe_finished (crash_records_t *records, str_t id,
                                   probe_result_t result);
/* Apply the registration INFO before the pool does.  */
void crash_records_apply_registration (crash_records_t *records,
                                       const upstream_info_t *info);
/* Record that a request with CONTENT ran without a crash.  */
void crash_records_send_survived (crash_records_t *records,
                                  poison_key_t content);
/* Record that the parts of a request with ATTRS did not crash an instance that
   answered it.  */
void crash_records_parts_survived (crash_records_t *records,
                                   const request_attrs_t *attrs);

/* Apply ROW, read from the shared table.  */
void crash_records_apply_row (crash_records_t *records, const rows_row_t *row);
/* Handle the deletion of the row KEY.  IS_LOST: the row is only missing in an
   older copy of the table, and is written again.  */
void crash_records_remove_row (crash_records_t *records, str_t key,
                               bool is_lost);
/* Write the rows that the shared table lacks, and delete old ones.  Called
   several times a second.  */
void crash_records_tick (crash_records_t *records);

#endif
