/* Exchange of the time factors of instances between gateways.

   A gateway learns the time factor of an instance from the instance's load
   reports (policy/instance_speed.h).  One that gets few of them, or has just
   started, learns it from the others:

   - Each gateway sends the factors that it found itself along with its calls
     to its reader: those that are not in the row or differ from it by a tenth
     or more, if they changed by a tenth since they were sent.  A factor that
     differs from the row by a quarter or more is sent again every
     RESEND_INTERVAL_MS, in case the message was lost.
   - A reader of an availability zone merges what it receives, and sends it on
     to the reader of the store in the same way.
   - The gateway that reads the store merges the factors into the row speed/0
     of the shared table, if one of them changed by a quarter or an instance is
     new.  With more than SPEED_CODEC_ENTRIES_MAX instances the row has those
     whose factors differ most from 1.
   - Each gateway applies the row.  The age of an entry counts, so that a row
     that was written long ago says little against own reports.

   Load pattern: hundreds of gateways get reports of the same instances, and
   the means of two gateways always differ a little.  The reader averages over
   them; with the last message alone the row would change all the time.  The
   bytes that a reader receives do not grow with the number of gateways that it
   serves: each sends at a share of a rate.

   Without the store or the reader each gateway keeps what it knows and learns
   from its own reports.  Where no instance reports a factor, nothing is sent
   or written.  */

#ifndef GATEWAY_SPEED_ROWS_H
#define GATEWAY_SPEED_ROWS_H

#include "base/clock.h"
#include "base/metric.h"
#include "gateway/peerrows.h"
#include "gateway/rows.h"
#include "policy/pool.h"

/* Key of the row in the shared table.  */
#define SPEED_ROWS_KEY "speed/0"

typedef struct speed_rows speed_rows_t;

typedef struct
{
  /* All are borrowed and must outlive the result of speed_rows_create.  */
  clock_iface_t *clock;
  pool_t *pool;
  const allotment_t *gateways;
  rows_t *rows;
  peer_rows_t *peer_rows; /* NULL if this gateway does not share reads of the
                             store with others; it then writes the row
                             itself.  */
  uint64_t seed;          /* Differs between gateways.  */
  counter_t *bytes_sent;  /* Of messages to the reader, with their keys.  */
  counter_t *rows_written;
  counter_t *entries_applied;
  counter_t *rows_unreadable; /* Rows and messages.  */
} speed_rows_options_t;

/* Create the exchange, at first without any factor.  */
speed_rows_t *speed_rows_create (const speed_rows_options_t *options);
/* Free SPEED_ROWS, which may be NULL.  PEER_ROWS must not pass on messages
   after that.  */
void speed_rows_destroy (speed_rows_t *speed_rows);

/* Apply ROW, read from the shared table at STORE_NOW_MS of the store's clock,
   or 0 if that is unknown.  A row that cannot be read is counted and
   ignored.  */
void speed_rows_apply_row (speed_rows_t *speed_rows, const rows_row_t *row,
                           uint64_t store_now_ms);
/* Handle the deletion of the row.  */
void speed_rows_remove_row (speed_rows_t *speed_rows);
/* Apply the row to instance ID, whose registration was read just now.  */
void speed_rows_apply_registration (speed_rows_t *speed_rows, str_t id);
/* Set whether the rows that are applied or removed from now on are those of an
   older copy of the table.  What is known is then kept, and written again
   where the copy differs.  */
void speed_rows_set_copy (speed_rows_t *speed_rows, bool is_copy);
/* Take over new own factors, apply the row again, and write the row if that is
   due and MAY_WRITE, which is false while the store does not answer.
   STORE_NOW_MS is the time of the store's clock, or 0 if it is unknown.
   Called several times a second.  */
void speed_rows_tick (speed_rows_t *speed_rows, uint64_t store_now_ms,
                      bool may_write);

#endif
