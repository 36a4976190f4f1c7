/* Quality statistics of model versions, shared between processes through the
   platform's table.

   Each process writes only its own rows, quality/WRITER/PART, and reads the
   rows of all processes.  No process updates the row of another, so no
   coordination is needed.  The contents of a part are opaque to this module,
   and the latest bytes replace earlier ones.  Changed parts are written
   together, in at most one transaction per interval.

   XXX: rows are written without a condition.  A write that reaches the table
   after its timeout of 5 s may overwrite newer bytes with older ones until
   the next save.  */

#ifndef CONTROL_QUALITYSTORE_H
#define CONTROL_QUALITYSTORE_H

#include "control/store.h"

typedef struct qualitystore qualitystore_t;

typedef struct
{
  str_t writer;               /* Name of this process.  */
  uint64_t write_interval_ms; /* Minimum time between writes; 0: 30 s.  */
} qualitystore_options_t;

typedef struct
{
  str_t writer;
  str_t part;
  str_t bytes;
  uint64_t written_at_ms; /* Time of the write, in ms since the epoch.  */
} quality_row_t;

/* Called once for each row, and then once with ROW NULL and the result: VH_OK
   if all rows were read.  */
typedef void (*qualitystore_cb_t) (void *arg, vh_code_t code,
                                   const quality_row_t *row);

qualitystore_t *qualitystore_create (const control_env_t *env,
                                     const qualitystore_options_t *options);
/* Pending loads end with VH_E_CANCELLED; unwritten parts are discarded.  NULL
   is accepted.  */
void qualitystore_destroy (qualitystore_t *quality);
/* Replace the contents of PART by BYTES.  PART is written at the end of the
   write interval.  */
void qualitystore_save (qualitystore_t *quality, str_t part, str_t bytes);
/* Return the number of parts whose latest bytes the store has not
   acknowledged.  */
size_t qualitystore_unsaved_count (const qualitystore_t *quality);
/* Read the rows of all writers.  */
void qualitystore_load (qualitystore_t *quality, qualitystore_cb_t cb,
                        void *arg);

#endif
