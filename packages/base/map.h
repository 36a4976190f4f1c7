/* Hash map from byte strings to pointers, with open addressing and linear
   probing.  The map copies each key and does not own the values.  The expected
   cost of each operation is constant.  */

#ifndef BASE_MAP_H
#define BASE_MAP_H

#include "base/str.h"

typedef struct map map_t;

map_t *map_create (void);
/* Release MAP and its keys, but not the values.  MAP may be NULL.  */
void map_destroy (map_t *map);
/* Return the value of KEY, or NULL if KEY is absent.  */
void *map_get (const map_t *map, str_t key);
/* Set the value of KEY to VALUE, which must not be NULL.  Return the replaced
   value, or NULL if KEY was absent.  */
void *map_put (map_t *map, str_t key, void *value);
/* Remove KEY.  Return its value, or NULL if KEY was absent.  */
void *map_remove (map_t *map, str_t key);
size_t map_size (const map_t *map);
/* Iterate over MAP, which must not change meanwhile.  Set *CURSOR to 0 before
   the first call.  KEY may be NULL.  Return false at the end.  */
bool map_next (const map_t *map, size_t *cursor, str_t *key, void **value);

#endif
