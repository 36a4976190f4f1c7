/* INI reader on top of inih.  It adds two things that inih as packaged by
   Debian lacks: the line number of each section and key, and section names of
   any length (inih truncates them at 50 bytes).  */

#ifndef CONF_READER_H
#define CONF_READER_H

#include "conf/settings.h"

enum
{
  /* Largest text that is parsed.  A configuration with 11,000 instances and
     thousands of teams, the expected size in two years, takes under 1 MiB.  */
  CONF_TEXT_BYTES_MAX = 4 * 1024 * 1024
};

/* Callbacks for the sections and keys of a text, in the order of the text.
   Their strings are valid only during the call.  */
typedef struct
{
  /* Called for the header [KIND] with an empty NAME, or [KIND NAME].  */
  void (*section) (void *arg, str_t kind, str_t name, int line);
  void (*key) (void *arg, str_t key, str_t value, int line);
} reader_callbacks_t;

/* Parse TEXT and call CALLBACKS with ARG.  Lines that are not valid INI are
   added to ERRORS and skipped.  */
void reader_parse (str_t text, const reader_callbacks_t *callbacks, void *arg,
                   conf_errors_t *errors);

/* Return whether LINE starts a section header, and set *KIND and *NAME, which
   point into LINE.  *IS_WELL_FORMED is set to whether the header has its `]'
   and nothing but a comment after it.  */
bool reader_parse_section_header (str_t line, str_t *kind, str_t *name,
                                  bool *is_well_formed);

#endif
