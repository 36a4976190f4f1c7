#include "chaos_args.h"

#include "standins/common.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  USAGE_ERROR_STATUS = 2
};

chaos_args_t
chaos_args_parse (int argc, char **argv, const char *summary,
                  const chaos_variant_t *variants, size_t count)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "seed of the fault schedule (1)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "length of the run (30)");
  struct arg_end *end = arg_end (5);
  struct arg_lit *options[CHAOS_VARIANTS_MAX];
  void *argtable[4 + CHAOS_VARIANTS_MAX] = { help, seed, seconds };

  for (size_t i = 0; i < count; i++)
    argtable[3 + i] = options[i]
        = arg_lit0 (NULL, variants[i].option, variants[i].help);
  argtable[3 + count] = end;

  seed->ival[0] = 1;
  seconds->ival[0] = 30;
  standin_parse_args (argc, argv, argtable, summary);
  if (seconds->ival[0] < 1 || seconds->ival[0] > CHAOS_SECONDS_MAX)
    {
      fprintf (stderr, "%s: --seconds must be from 1 to %d\n", argv[0],
               CHAOS_SECONDS_MAX);
      exit (USAGE_ERROR_STATUS);
    }
  chaos_args_t args = { .seed = (uint64_t)seed->ival[0],
                        .seconds = (uint64_t)seconds->ival[0] };
  for (size_t i = 0; i < count; i++)
    args.is_variant[i] = options[i]->count > 0;
  arg_freetable (argtable, 4 + count);
  return args;
}
