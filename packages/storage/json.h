/* JSON encoding and decoding of rows, transactions and instances, as specified
   in docs/PLATFORM-CONTRACT.md; used by the HTTP client and by the tests'
   stand-in server.  */

#ifndef STORAGE_JSON_H
#define STORAGE_JSON_H

#include "storage/storage.h"

#include <jansson.h>

/* Set member NAME of OBJECT to the string S.  If S is not valid UTF-8, set
   member NAME "-hex" to its hexadecimal form instead.  */
void json_put_bytes (json_t *object, const char *name, str_t s);
/* Return the string that json_put_bytes stored under NAME in OBJECT, or
   STR_NULL if there is none.  A hexadecimal form is decoded into SCRATCH, so
   SCRATCH must outlive the result.  */
str_t json_get_bytes (const json_t *object, const char *name, buf_t *scratch);
/* Return the string member NAME of OBJECT, or STR_NULL if there is none.  */
str_t json_get_utf8 (const json_t *object, const char *name);
/* Return the integer member NAME of OBJECT; 0 if it is missing or negative. */
uint64_t json_get_u64 (const json_t *object, const char *name);
json_t *json_from_txn (const txn_t *txn);
/* Return the transaction that JSON describes, to be released with txn_free, or
   NULL if a key is missing or empty.  */
txn_t *json_to_txn (const json_t *json);
json_t *json_from_row (const row_t *row);
json_t *json_from_instance (const instance_row_t *row);
/* Fill *ROW with strings borrowed from JSON.  Return false if the name is
   missing or the state is unknown.  */
bool json_to_instance (const json_t *json, instance_row_t *row);
/* Append the text of JSON to OUT and release the caller's reference.  */
void json_write_and_free (json_t *json, buf_t *out);

#endif
