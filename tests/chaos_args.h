/* Command line of the programs that inject seeded faults for some time.  */

#ifndef TESTS_CHAOS_ARGS_H
#define TESTS_CHAOS_ARGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CHAOS_SECONDS_MAX = 600,
  CHAOS_VARIANTS_MAX = 2
};

typedef struct
{
  uint64_t seed;
  uint64_t seconds;
  bool is_variant[CHAOS_VARIANTS_MAX]; /* Whether the option of each variant
                                          was given.  */
} chaos_args_t;

/* A further kind of run that a program has.  */
typedef struct
{
  const char *option; /* Name of a long option.  */
  const char *help;
} chaos_variant_t;

/* Parse --seed, --seconds and the options of the COUNT VARIANTS, at most
   CHAOS_VARIANTS_MAX.  Print SUMMARY and exit on --help, and exit on an
   error.  */
chaos_args_t chaos_args_parse (int argc, char **argv, const char *summary,
                               const chaos_variant_t *variants, size_t count);

#endif
