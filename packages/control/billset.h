/* A set of bills with unique request ids, and its serialization as the value
   of a ledger row.  */

#ifndef CONTROL_BILLSET_H
#define CONTROL_BILLSET_H

#include "control/ledger.h"

typedef struct billset billset_t;

billset_t *billset_create (void);
/* NULL is accepted.  */
void billset_destroy (billset_t *set);
/* Add a copy of BILL.  Of two bills with the same request id, the set keeps
   the bill with more tokens, in whichever order the two are added.  */
void billset_add (billset_t *set, const ledger_bill_t *bill);
size_t billset_size (const billset_t *set);
/* Return the bills in the order of their addition; the set owns the array.  */
const ledger_bill_t *billset_items (const billset_t *set);
/* Append the JSON text of SET to OUT.  */
void billset_write (const billset_t *set, buf_t *out);
/* Add the bills in TEXT, which billset_write produced.  Return VH_OK, or
   VH_E_PROTOCOL if TEXT is not a JSON array.  */
vh_code_t billset_read (billset_t *set, str_t text);

#endif
