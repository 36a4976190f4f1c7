/* Reads INI text by inih and tells the line of each section and key, which
   Debian's inih does not.  Section names may be of any length, which inih
   alone would cut at 50 bytes.  */

#ifndef CONF_READER_H
#define CONF_READER_H

#include "conf/settings.h"

enum
{
  /* An operators' list of two years hence (11,000 instances, thousands of
     teams) takes under 1 MiB.  */
  READER_TEXT_MAX = 4 * 1024 * 1024
};

/* What the reader finds, in order; the strings live for the call only.  */
typedef struct
{
  /* [KIND] or [KIND NAME]; NAME is empty in the first case.  */
  void (*section) (void *arg, str_t kind, str_t name, int line);
  void (*key) (void *arg, str_t key, str_t value, int line);
} reader_events_t;

/* Read TEXT; lines that are not INI are added to ERRORS.  */
void reader_run (str_t text, const reader_events_t *events, void *arg,
                 conf_errors_t *errors);

/* If LINE is a section header return true and its KIND and NAME; *CLOSED
   tells whether it ends in `]' and at most a comment.  */
bool reader_parse_section_header (str_t line, str_t *kind, str_t *name,
                                  bool *closed);

#endif
