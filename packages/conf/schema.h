/* Typed INI parser: tables of sections and keys, generated from X-macro lists,
   against which a text is checked and its values are stored in structs.  */

#ifndef CONF_SCHEMA_H
#define CONF_SCHEMA_H

#include "base/arena.h"
#include "conf/settings.h"

/* Types of values.  Each comment gives the C type of the struct field and the
   accepted text.  */
typedef enum
{
  VALUE_STRING,  /* str_t, not empty.  */
  VALUE_NAME,    /* str_t of letters, digits, `.', `_' and `-'.  */
  VALUE_SECRET,  /* str_t; error messages never quote it.  */
  VALUE_DIGEST,  /* str_t of 64 hexadecimal digits.  */
  VALUE_ADDRESS, /* str_t HOST:PORT, where HOST is an IP address.  */
  VALUE_U32,     /* uint32_t */
  VALUE_U64,     /* uint64_t */
  VALUE_DOUBLE,  /* double */
  VALUE_ENUM,    /* An enum; its value is the index in value_names.  */
  VALUE_BOOL,    /* bool; value_names has the names of false and of true.  */
  VALUE_REF,     /* value_ref_t: name of another section.  */
  VALUE_LIST,    /* value_list_t: comma-separated strings.  */
  VALUE_SECRETS  /* value_list_t whose items are like VALUE_SECRET.  */
} value_type_t;

/* Name of another section, not yet resolved.  */
typedef struct
{
  str_t text; /* Empty if the key is absent.  */
  int line;
} value_ref_t;

typedef struct
{
  str_t *items;
  size_t count;
  int line; /* Line of the key; 0 if the key is absent.  */
} value_list_t;

/* A key of a section.  */
typedef struct
{
  const char *name;
  value_type_t type;
  bool is_required;
  size_t offset; /* Offset of the value in the struct that the section's
                    begin callback returns.  */
  double min;    /* Smallest value of a number.  */
  double max;    /* Largest value of a number.  */
  const char *const *value_names; /* Values of VALUE_ENUM and VALUE_BOOL,
                                     terminated by NULL; else NULL.  */
} schema_key_t;

/* Form of a section header.  */
typedef enum
{
  SECTION_UNNAMED, /* [process] */
  SECTION_NAMED,   /* [team coast-office] */
  SECTION_VERSION  /* [version draft-small@3] */
} section_form_t;

typedef struct
{
  const char *kind;
  section_form_t form;
  const schema_key_t *keys;
  size_t key_count;
  /* Called at each valid header.  Return the struct in which the values of the
     section are stored.  NAME is valid only during the call.  */
  void *(*begin) (void *arg, str_t name, int line);
} schema_section_t;

typedef struct
{
  const schema_section_t *sections;
  size_t section_count;
} schema_t;

/* Parse TEXT, check it against SCHEMA and store its values in the structs that
   the begin callbacks return for ARG.  Strings are allocated in RESULT_ARENA,
   references and lists in SCRATCH.  Errors are added to ERRORS.  */
void schema_parse (const schema_t *schema, str_t text, void *arg,
                   arena_t *result_arena, arena_t *scratch,
                   conf_errors_t *errors);

/* Return whether S is a valid name of a section, such as a team or model.  */
bool schema_is_valid_name (str_t s);
/* Return whether S is MODEL@VERSION with valid names.  */
bool schema_is_valid_version (str_t s);
/* Return whether S is HOST:PORT where HOST is an IP address.  */
bool schema_is_valid_address (str_t s);

/* Search for the known name that is closest to an unknown one by Levenshtein
   distance, for the hint of an error message.  */
typedef struct
{
  str_t word;       /* The unknown name.  */
  str_t best_match; /* ptr is NULL if no candidate was close enough.  */
  size_t distance;  /* Distance of BEST_MATCH from WORD.  */
} closest_match_t;

/* Start a search for names close to WORD, which is borrowed.  */
closest_match_t closest_match_make (str_t word);
/* Compare CANDIDATE, which is borrowed, with the best match.  */
void closest_match_add_candidate (closest_match_t *match, str_t candidate);
/* Write "did you mean `X'?" to BUF and return it, or return FALLBACK, which
   may be NULL, if no candidate was close enough.  */
const char *closest_match_hint (const closest_match_t *match,
                                const char *fallback, buf_t *buf);

/* Sort ERRORS by line, stably.  */
void schema_sort_errors (conf_errors_t *errors);

#endif
