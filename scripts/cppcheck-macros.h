/* Read by cppcheck alone, which does not see the headers of libraries.  */
#define json_array_foreach(a, i, v)                                           \
  for ((i) = 0; ((v) = json_array_get (a, i)) != NULL; (i)++)
#define json_object_foreach(o, k, v)                                          \
  for ((k) = NULL; ((v) = json_object_get (o, k)) != NULL;)
