#include "conf/schema.h"
#include "base/map.h"
#include "base/mem.h"
#include "conf/reader.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>

enum
{
  /* A name is sent in each SUBMIT message and is a label of each counter, so
     its size is bounded.  */
  NAME_BYTES_MAX = 255,
  /* A shorter shared secret can be guessed.  */
  SECRET_BYTES_MIN = 16,
  DIGEST_DIGITS = 64,
  SECTION_KEYS_MAX = 64, /* Number of bits in checker_t.seen_keys.  */
  /* A longer name is not a misspelling of a known one.  */
  CLOSEST_MATCH_BYTES_MAX = 64
};

/* State of the check of one text.  */
typedef struct
{
  const schema_t *schema;
  void *arg;
  arena_t *result_arena;
  arena_t *scratch;
  conf_errors_t *errors;
  map_t *first_lines; /* Line number (int *) of the first header, by
                         "KIND NAME".  */
  const schema_section_t *section; /* The current section; NULL if it is
                                      unknown.  */
  void *values; /* Struct for the values of the current section; NULL if they
                   are discarded.  */
  int section_line;
  bool is_section_unknown; /* Whether the current section is unknown.  */
  bool has_section;        /* Whether there was a header yet.  */
  uint64_t seen_keys; /* Bit set of the keys that the current section has.  */
} checker_t;

bool
schema_is_valid_name (str_t s)
{
  if (s.len == 0 || s.len > NAME_BYTES_MAX)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.ptr[i];
      if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-'))
        return false;
    }
  return true;
}

bool
schema_is_valid_version (str_t s)
{
  str_t version;
  str_t model = str_cut (s, '@', &version);

  return schema_is_valid_name (model) && schema_is_valid_name (version);
}

bool
schema_is_valid_address (str_t s)
{
  char host[INET6_ADDRSTRLEN];
  struct in6_addr parsed;
  uint64_t port;
  int family = AF_INET;
  size_t colon = s.len;

  while (colon > 0 && s.ptr[colon - 1] != ':')
    colon--;
  if (colon == 0)
    return false;
  if (!str_to_u64 (str_make (s.ptr + colon, s.len - colon), &port)
      || port > UINT16_MAX)
    return false;
  str_t name = str_make (s.ptr, colon - 1);
  if (name.len >= 2 && name.ptr[0] == '[' && name.ptr[name.len - 1] == ']')
    {
      name = str_make (name.ptr + 1, name.len - 2);
      family = AF_INET6;
    }
  if (name.len == 0 || name.len >= sizeof host)
    return false;
  memcpy (host, name.ptr, name.len);
  host[name.len] = '\0';
  return inet_pton (family, host, &parsed) == 1;
}

/* Return the Levenshtein distance of A and B; B has at most
   NEAREST_BYTES_MAX bytes.  */
static size_t
levenshtein_distance (str_t a, str_t b)
{
  size_t row[CLOSEST_MATCH_BYTES_MAX + 1];

  for (size_t j = 0; j <= b.len; j++)
    row[j] = j;
  for (size_t i = 1; i <= a.len; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b.len; j++)
        {
          size_t replace_cost = diagonal + (a.ptr[i - 1] != b.ptr[j - 1]);
          size_t gap_cost = (row[j] < row[j - 1] ? row[j] : row[j - 1]) + 1;
          diagonal = row[j];
          row[j] = replace_cost < gap_cost ? replace_cost : gap_cost;
        }
    }
  return row[b.len];
}

closest_match_t
closest_match_make (str_t word)
{
  return (closest_match_t){ word, STR_NULL, SIZE_MAX };
}

void
closest_match_add_candidate (closest_match_t *match, str_t candidate)
{
  size_t distance;
  size_t distance_max = match->word.len / 3 > 2 ? match->word.len / 3 : 2;

  if (match->word.len > CLOSEST_MATCH_BYTES_MAX
      || candidate.len > CLOSEST_MATCH_BYTES_MAX)
    return;
  distance = levenshtein_distance (match->word, candidate);
  /* A candidate that differs in all letters is not a misspelling.  */
  if (distance >= candidate.len || distance > distance_max
      || distance >= match->distance)
    return;
  match->best_match = candidate;
  match->distance = distance;
}

const char *
closest_match_hint (const closest_match_t *match, const char *fallback,
                    buf_t *buf)
{
  buf->len = 0;
  if (match->best_match.ptr == NULL)
    return fallback;
  buf_printf (buf, "did you mean `%.*s'?", STR_ARG (match->best_match));
  return buf->ptr;
}

void
schema_sort_errors (conf_errors_t *errors)
{
  /* Insertion sort is stable, and fast enough for the bounded number of
     errors.  */
  for (size_t i = 1; i < errors->count; i++)
    {
      conf_error_t error = errors->items[i];
      size_t at = i;
      for (; at > 0 && errors->items[at - 1].line > error.line; at--)
        errors->items[at] = errors->items[at - 1];
      errors->items[at] = error;
    }
}

/* Add an error for each required key that is missing in the section that has
   ended.  */
static void
checker_end_section (checker_t *checker)
{
  const schema_section_t *section = checker->section;

  if (section == NULL)
    return;
  for (size_t i = 0; i < section->key_count; i++)
    if (section->keys[i].is_required && (checker->seen_keys >> i & 1) == 0)
      conf_errors_add (checker->errors, checker->section_line, NULL,
                       "[%s] lacks the key `%s'", section->kind,
                       section->keys[i].name);
}

/* Return the section of KIND, or add an error and return NULL.  */
static const schema_section_t *
checker_find_section (checker_t *checker, str_t kind, int line)
{
  closest_match_t match = closest_match_make (kind);
  buf_t hint = BUF_NULL;
  buf_t known = BUF_NULL;

  for (size_t i = 0; i < checker->schema->section_count; i++)
    {
      const schema_section_t *section = &checker->schema->sections[i];
      if (str_eq (kind, str_from (section->kind)))
        {
          buf_free (&known);
          return section;
        }
      closest_match_add_candidate (&match, str_from (section->kind));
      buf_printf (&known, "%s%s", i == 0 ? "known sections: " : ", ",
                  section->kind);
    }
  conf_errors_add (checker->errors, line,
                   closest_match_hint (&match, known.ptr, &hint),
                   "unknown section `%.*s'", STR_ARG (kind));
  buf_free (&hint);
  buf_free (&known);
  return NULL;
}

/* Return whether NAME is valid for SECTION; add an error if not.  */
static bool
checker_check_section_name (checker_t *checker,
                            const schema_section_t *section, str_t name,
                            int line)
{
  buf_t hint = BUF_NULL;
  bool is_valid = false;

  switch (section->form)
    {
    case SECTION_UNNAMED:
      is_valid = name.len == 0;
      buf_printf (&hint, "write `[%s]'", section->kind);
      break;
    case SECTION_NAMED:
      is_valid = schema_is_valid_name (name);
      buf_printf (&hint,
                  "write `[%s NAME]', the name of letters, digits, "
                  "`.', `_' and `-'",
                  section->kind);
      break;
    case SECTION_VERSION:
      is_valid = schema_is_valid_version (name);
      buf_printf (&hint, "write `[%s MODEL@VERSION]'", section->kind);
      break;
    }
  if (!is_valid)
    conf_errors_add (checker->errors, line, hint.ptr,
                     name.len == 0 ? "[%s] lacks a name"
                                   : "[%s] has an invalid name",
                     section->kind);
  buf_free (&hint);
  return is_valid;
}

/* Return whether this is the first SECTION with the name NAME; add an error if
   not.  */
static bool
checker_check_unique_section (checker_t *checker,
                              const schema_section_t *section, str_t name,
                              int line)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%s %.*s", section->kind, STR_ARG (name));
  const int *first_line = map_get (checker->first_lines, buf_str (&id));
  if (first_line != NULL)
    conf_errors_add (checker->errors, line, "keep one of the two",
                     "[%s%s%.*s] is defined twice, first in line %d",
                     section->kind, name.len > 0 ? " " : "", STR_ARG (name),
                     *first_line);
  else
    {
      int *line_copy = arena_alloc (checker->scratch, sizeof *line_copy);
      *line_copy = line;
      map_put (checker->first_lines, buf_str (&id), line_copy);
    }
  buf_free (&id);
  return first_line == NULL;
}

static void
checker_on_section (void *arg, str_t kind, str_t name, int line)
{
  checker_t *checker = arg;
  const schema_section_t *section;

  checker_end_section (checker);
  section = checker_find_section (checker, kind, line);
  checker->has_section = true;
  checker->section = section;
  checker->section_line = line;
  checker->seen_keys = 0;
  checker->values = NULL;
  checker->is_section_unknown = section == NULL;
  assert (section == NULL || section->key_count <= SECTION_KEYS_MAX);
  if (section != NULL
      && checker_check_section_name (checker, section, name, line)
      && checker_check_unique_section (checker, section, name, line))
    checker->values = section->begin (checker->arg, name, line);
}

/* Return the key NAME of the current section, or add an error and return
   NULL.  */
static const schema_key_t *
checker_find_key (checker_t *checker, str_t name, int line)
{
  const schema_section_t *section = checker->section;
  closest_match_t match = closest_match_make (name);
  buf_t hint = BUF_NULL;
  buf_t alternatives = BUF_NULL;

  for (size_t i = 0; i < section->key_count; i++)
    {
      if (str_eq (name, str_from (section->keys[i].name)))
        return &section->keys[i];
      closest_match_add_candidate (&match, str_from (section->keys[i].name));
    }
  for (size_t i = 0; i < checker->schema->section_count; i++)
    for (size_t k = 0; k < checker->schema->sections[i].key_count; k++)
      if (str_eq (name, str_from (checker->schema->sections[i].keys[k].name))
          && alternatives.len == 0)
        buf_printf (&alternatives, "it belongs in [%s]",
                    checker->schema->sections[i].kind);
  if (alternatives.len == 0)
    {
      buf_printf (&alternatives, "known keys: ");
      for (size_t i = 0; i < section->key_count; i++)
        buf_printf (&alternatives, "%s%s", i == 0 ? "" : ", ",
                    section->keys[i].name);
    }
  conf_errors_add (checker->errors, line,
                   closest_match_hint (&match, alternatives.ptr, &hint),
                   "unknown key `%.*s' in [%s]", STR_ARG (name),
                   section->kind);
  buf_free (&hint);
  buf_free (&alternatives);
  return NULL;
}

/* A parsed value of any type, to be copied to its struct field.  */
typedef union
{
  str_t text;
  uint32_t u32;
  uint64_t u64;
  double number;
  int enum_index;
  bool boolean;
  value_ref_t ref;
  value_list_t list;
} value_t;

/* Add an error for the invalid VALUE of KEY, with EXPECTED as the hint.  */
static void
checker_report_bad_value (checker_t *checker, const schema_key_t *key,
                          str_t value, int line, const char *expected)
{
  if (key->type == VALUE_SECRET || key->type == VALUE_SECRETS)
    conf_errors_add (checker->errors, line, expected,
                     "`%s' has an invalid value", key->name);
  else
    conf_errors_add (checker->errors, line, expected, "`%s' cannot be `%.*s'",
                     key->name, STR_ARG (value));
}

/* Parse TEXT as a number in KEY's range.  Return false after adding an
   error.  */
static bool
checker_parse_number (checker_t *checker, const schema_key_t *key, str_t text,
                      int line, value_t *value)
{
  buf_t hint = BUF_NULL;
  uint64_t whole = 0;
  double number = 0;
  bool is_valid;

  if (key->type == VALUE_DOUBLE)
    {
      is_valid = str_to_double (text, &number);
      buf_printf (&hint, "a number from %g to %g", key->min, key->max);
    }
  else
    {
      is_valid = str_to_u64 (text, &whole);
      number = (double)whole;
      buf_printf (&hint, "a whole number from %.0f to %.0f", key->min,
                  key->max);
    }
  /* Both comparisons are false for a NaN.  */
  is_valid = is_valid && number >= key->min && number <= key->max;
  if (!is_valid)
    checker_report_bad_value (checker, key, text, line, hint.ptr);
  else if (key->type == VALUE_DOUBLE)
    value->number = number;
  else if (key->type == VALUE_U32)
    value->u32 = (uint32_t)whole;
  else
    value->u64 = whole;
  buf_free (&hint);
  return is_valid;
}

/* Parse TEXT as one of KEY's value names.  Return false after adding an
   error.  */
static bool
checker_parse_enum (checker_t *checker, const schema_key_t *key, str_t text,
                    int line, value_t *value)
{
  buf_t hint = BUF_NULL;

  buf_printf (&hint, "one of ");
  for (int i = 0; key->value_names[i] != NULL; i++)
    {
      if (str_eq (text, str_from (key->value_names[i])))
        {
          if (key->type == VALUE_BOOL)
            value->boolean = i == 1;
          else
            value->enum_index = i;
          buf_free (&hint);
          return true;
        }
      buf_printf (&hint, "%s%s", i == 0 ? "" : ", ", key->value_names[i]);
    }
  checker_report_bad_value (checker, key, text, line, hint.ptr);
  buf_free (&hint);
  return false;
}

/* Parse TEXT as a comma-separated list.  Return false after adding an
   error.  */
static bool
checker_parse_list (checker_t *checker, const schema_key_t *key, str_t text,
                    int line, value_t *value)
{
  value_list_t list = { .line = line };
  str_t rest = arena_str (checker->scratch, text);
  size_t commas = 0;

  for (size_t i = 0; i < rest.len; i++)
    commas += rest.ptr[i] == ',';
  list.items
      = arena_alloc (checker->scratch, (commas + 1) * sizeof *list.items);
  while (rest.ptr != NULL)
    {
      str_t item = str_trim (str_cut (rest, ',', &rest));
      if (item.len == 0)
        {
          checker_report_bad_value (checker, key, text, line,
                                    "separate the items by commas");
          return false;
        }
      if (key->type == VALUE_SECRETS && item.len < SECRET_BYTES_MIN)
        {
          checker_report_bad_value (checker, key, text, line,
                                    "each secret needs 16 bytes or more");
          return false;
        }
      list.items[list.count++] = item;
    }
  value->list = list;
  return true;
}

/* Parse TEXT as KEY's type and set *VALUE.  Return false after adding an
   error.  */
static bool
checker_parse_value (checker_t *checker, const schema_key_t *key, str_t text,
                     int line, value_t *value)
{
  const char *expected = NULL;
  uint8_t digest[DIGEST_DIGITS / 2];

  switch (key->type)
    {
    case VALUE_STRING:
      expected = text.len > 0 ? NULL : "give a value or remove the key";
      break;
    case VALUE_NAME:
      expected = schema_is_valid_name (text)
                     ? NULL
                     : "letters, digits, `.', `_' and `-' only";
      break;
    case VALUE_SECRET:
      expected = text.len >= SECRET_BYTES_MIN
                     ? NULL
                     : "a secret needs 16 bytes or more";
      break;
    case VALUE_DIGEST:
      expected = str_unhex (text, digest, sizeof digest)
                     ? NULL
                     : "64 hexadecimal digits, as by `sha256sum'";
      break;
    case VALUE_ADDRESS:
      expected = schema_is_valid_address (text)
                     ? NULL
                     : "HOST:PORT with an IP address, such as 127.0.0.1:8080";
      break;
    case VALUE_U32:
    case VALUE_U64:
    case VALUE_DOUBLE:
      return checker_parse_number (checker, key, text, line, value);
    case VALUE_ENUM:
    case VALUE_BOOL:
      return checker_parse_enum (checker, key, text, line, value);
    case VALUE_LIST:
    case VALUE_SECRETS:
      return checker_parse_list (checker, key, text, line, value);
    case VALUE_REF:
      expected = text.len > 0 ? NULL : "give a name or remove the key";
      value->ref = (value_ref_t){ arena_str (checker->scratch, text), line };
      break;
    }
  if (expected != NULL)
    {
      checker_report_bad_value (checker, key, text, line, expected);
      return false;
    }
  if (key->type != VALUE_REF)
    value->text = arena_str (checker->result_arena, text);
  return true;
}

/* Return the size of a struct field of TYPE.  */
static size_t
value_size (value_type_t type)
{
  switch (type)
    {
    case VALUE_U32:
      return sizeof (uint32_t);
    case VALUE_U64:
      return sizeof (uint64_t);
    case VALUE_DOUBLE:
      return sizeof (double);
    case VALUE_ENUM:
      return sizeof (int);
    case VALUE_BOOL:
      return sizeof (bool);
    case VALUE_REF:
      return sizeof (value_ref_t);
    case VALUE_LIST:
    case VALUE_SECRETS:
      return sizeof (value_list_t);
    default:
      return sizeof (str_t);
    }
}

_Static_assert(sizeof (role_t) == sizeof (int),
               "VALUE_ENUM stores an int in an enum field");

static void
checker_on_key (void *arg, str_t name, str_t text, int line)
{
  checker_t *checker = arg;
  const schema_key_t *key;
  value_t value;

  if (checker->is_section_unknown)
    return;
  if (!checker->has_section)
    {
      conf_errors_add (checker->errors, line, "start with a `[section]'",
                       "the key `%.*s' is outside of any section",
                       STR_ARG (name));
      return;
    }
  key = checker_find_key (checker, name, line);
  if (key == NULL)
    return;
  uint64_t bit = (uint64_t)1 << (key - checker->section->keys);
  if ((checker->seen_keys & bit) != 0)
    {
      conf_errors_add (checker->errors, line, "keep one of the two",
                       "the key `%s' is set twice in [%s]", key->name,
                       checker->section->kind);
      return;
    }
  checker->seen_keys |= bit;
  if (checker_parse_value (checker, key, text, line, &value)
      && checker->values != NULL)
    memcpy ((char *)checker->values + key->offset, &value,
            value_size (key->type));
}

void
schema_parse (const schema_t *schema, str_t text, void *arg,
              arena_t *result_arena, arena_t *scratch, conf_errors_t *errors)
{
  static const reader_callbacks_t callbacks
      = { .section = checker_on_section, .key = checker_on_key };
  checker_t checker = { .schema = schema,
                        .arg = arg,
                        .result_arena = result_arena,
                        .scratch = scratch,
                        .errors = errors,
                        .first_lines = map_create () };

  reader_parse (text, &callbacks, &checker, errors);
  checker_end_section (&checker);
  map_destroy (checker.first_lines);
}
