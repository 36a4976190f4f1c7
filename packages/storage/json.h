/* Rows, transactions and instances as JSON (docs/PLATFORM-CONTRACT.md), for
   the client and for the stand-in that answers it.  */

#ifndef PLATFORM_JSON_H
#define PLATFORM_JSON_H

#include "storage/storage.h"

#include <jansson.h>

/* Set NAME of OBJECT to S: a string, or NAME "-hex" when S is no UTF-8.  */
void json_put_bytes (json_t *object, const char *name, str_t s);
/* Return the string NAME of OBJECT, appended to SCRATCH when it came as
   hexadecimal; STR_NULL without one.  SCRATCH must outlive the result.  */
str_t json_get_bytes (const json_t *object, const char *name, buf_t *scratch);
/* Return the string NAME of OBJECT, or STR_NULL.  */
str_t json_get_utf8 (const json_t *object, const char *name);
uint64_t json_get_u64 (const json_t *object, const char *name);
json_t *json_from_txn (const txn_t *txn);
/* Return the transaction that JSON describes, or NULL; release it with
   txn_free.  */
txn_t *json_to_txn (const json_t *json);
json_t *json_from_row (const row_t *row);
json_t *json_from_instance (const instance_row_t *row);
/* Fill *ROW with strings borrowed from JSON; false when it has no name or
   its state is unknown.  */
bool json_to_instance (const json_t *json, instance_row_t *row);
/* Append the text of JSON to OUT and drop the reference.  */
void json_write_and_free (json_t *json, buf_t *out);

#endif
