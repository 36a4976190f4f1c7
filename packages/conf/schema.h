/* Typed INI: tables of sections and keys, made from X-macro lists, against
   which a text is checked and its values stored in structs.  */

#ifndef CONF_SCHEMA_H
#define CONF_SCHEMA_H

#include "conf/arena.h"
#include "conf/settings.h"

/* Each type names the field that it fills.  */
typedef enum
{
  VALUE_TEXT,    /* str_t */
  VALUE_NAME,    /* str_t of letters, digits, `.', `_' and `-' */
  VALUE_SECRET,  /* str_t; never quoted in a message */
  VALUE_DIGEST,  /* str_t of 64 hexadecimal digits */
  VALUE_ADDRESS, /* str_t, numeric HOST:PORT */
  VALUE_U32,     /* uint32_t */
  VALUE_U64,     /* uint64_t */
  VALUE_DOUBLE,  /* double */
  VALUE_WORD,    /* An enumeration, in the order of the words.  */
  VALUE_FLAG,    /* bool; the first word is false.  */
  VALUE_REF,     /* value_ref_t, looked up later.  */
  VALUE_LIST,    /* value_list_t, looked into later.  */
  VALUE_SECRETS  /* value_list_t of VALUE_SECRET */
} value_type_t;

typedef struct
{
  str_t text; /* Empty when the key is absent.  */
  int line;
} value_ref_t;

typedef struct
{
  str_t *items;
  size_t count;
  int line; /* 0 when the key is absent.  */
} value_list_t;

typedef struct
{
  const char *name;
  value_type_t type;
  bool required;
  size_t offset; /* Of the field in what the section's open returns.  */
  double min;    /* For numbers.  */
  double max;
  const char *const *words; /* For words and flags; ends in NULL.  */
} schema_key_t;

typedef enum
{
  SECTION_BARE,   /* [process] */
  SECTION_NAMED,  /* [team coast-office] */
  SECTION_VERSION /* [version draft-small@3] */
} section_form_t;

typedef struct
{
  const char *kind;
  section_form_t form;
  const schema_key_t *keys;
  size_t key_count;
  /* Return the struct that the section's values go to.  NAME lives for the
     call only.  */
  void *(*open) (void *arg, str_t name, int line);
} schema_section_t;

typedef struct
{
  const schema_section_t *sections;
  size_t section_count;
} schema_t;

/* Check TEXT against SCHEMA.  Strings go to KEEP, references and lists to
   SCRATCH.  Complaints go to ERRORS.  */
void schema_run (const schema_t *schema, str_t text, void *arg, arena_t *keep,
                 arena_t *scratch, conf_errors_t *errors);

/* Tell whether S may be the name of something.  */
bool schema_is_valid_name (str_t s);
/* Tell whether S is MODEL@VERSION.  */
bool schema_is_valid_version (str_t s);
/* Tell whether S is HOST:PORT with a numeric host.  */
bool schema_is_valid_address (str_t s);

/* The nearest known word to one that is not, by edit distance.  */
typedef struct
{
  str_t wanted;
  str_t best;
  size_t distance;
} closest_match_t;

closest_match_t closest_match_make (str_t wanted);
void closest_match_add_candidate (closest_match_t *nearest, str_t candidate);
/* Write "did you mean `X'?" to BUF when something is near, else FALLBACK,
   and return what stands there; FALLBACK may be NULL.  */
const char *closest_match_hint (const closest_match_t *nearest,
                                const char *fallback, buf_t *buf);

/* Put ERRORS in the order of their lines.  */
void schema_sort_errors (conf_errors_t *errors);

#endif
