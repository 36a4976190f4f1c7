#include "conf/schema.h"
#include "base/map.h"
#include "base/mem.h"
#include "conf/reader.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>

enum
{
  /* Names travel in every SUBMIT and label every counter.  */
  NAME_BYTES_MAX = 255,
  /* Below this a shared secret can be guessed.  */
  SECRET_BYTES_MIN = 16,
  DIGEST_DIGITS = 64,
  SEEN_BITS = 64,
  /* Longer words are no misspelling of a known one.  */
  NEAREST_BYTES_MAX = 64
};

/* A check of one text in progress.  */
typedef struct
{
  const schema_t *schema;
  void *arg;
  arena_t *keep;
  arena_t *scratch;
  conf_errors_t *errors;
  map_t *lines; /* "kind name" to the line it was first seen in.  */
  const schema_section_t *section;
  void *target; /* NULL for a section that is not kept.  */
  int section_line;
  bool skipping; /* Inside an unknown section.  */
  bool started;  /* Some section was seen.  */
  uint64_t seen; /* Bit of each key of the section that was seen.  */
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

/* Return the Levenshtein distance of A and B, both of bounded length.  */
static size_t
nearest_distance (str_t a, str_t b)
{
  size_t row[NEAREST_BYTES_MAX + 1];

  for (size_t j = 0; j <= b.len; j++)
    row[j] = j;
  for (size_t i = 1; i <= a.len; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b.len; j++)
        {
          size_t change = diagonal + (a.ptr[i - 1] != b.ptr[j - 1]);
          size_t shift = (row[j] < row[j - 1] ? row[j] : row[j - 1]) + 1;
          diagonal = row[j];
          row[j] = change < shift ? change : shift;
        }
    }
  return row[b.len];
}

closest_match_t
closest_match_make (str_t wanted)
{
  return (closest_match_t){ wanted, STR_NULL, SIZE_MAX };
}

void
closest_match_add_candidate (closest_match_t *nearest, str_t candidate)
{
  size_t distance;
  size_t bound = nearest->wanted.len / 3 > 2 ? nearest->wanted.len / 3 : 2;

  if (nearest->wanted.len > NEAREST_BYTES_MAX
      || candidate.len > NEAREST_BYTES_MAX)
    return;
  distance = nearest_distance (nearest->wanted, candidate);
  /* All letters replaced is not a misspelling.  */
  if (distance >= candidate.len || distance > bound
      || distance >= nearest->distance)
    return;
  nearest->best = candidate;
  nearest->distance = distance;
}

const char *
closest_match_hint (const closest_match_t *nearest, const char *fallback,
                    buf_t *buf)
{
  buf->len = 0;
  if (nearest->best.ptr == NULL)
    return fallback;
  buf_printf (buf, "did you mean `%.*s'?", STR_ARG (nearest->best));
  return buf->ptr;
}

void
schema_sort_errors (conf_errors_t *errors)
{
  /* Insertion keeps the order within a line, and the count is bounded.  */
  for (size_t i = 1; i < errors->count; i++)
    {
      conf_error_t error = errors->items[i];
      size_t at = i;
      for (; at > 0 && errors->items[at - 1].line > error.line; at--)
        errors->items[at] = errors->items[at - 1];
      errors->items[at] = error;
    }
}

/* Complain about required keys that the section just ended lacks.  */
static void
checker_end_section (checker_t *checker)
{
  const schema_section_t *section = checker->section;

  if (section == NULL)
    return;
  for (size_t i = 0; i < section->key_count; i++)
    if (section->keys[i].required && (checker->seen >> i & 1) == 0)
      conf_errors_add (checker->errors, checker->section_line, NULL,
                       "[%s] lacks the key `%s'", section->kind,
                       section->keys[i].name);
}

/* Return the section of KIND, or NULL after a complaint.  */
static const schema_section_t *
checker_find_section (checker_t *checker, str_t kind, int line)
{
  closest_match_t nearest = closest_match_make (kind);
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
      closest_match_add_candidate (&nearest, str_from (section->kind));
      buf_printf (&known, "%s%s", i == 0 ? "known are " : ", ", section->kind);
    }
  conf_errors_add (checker->errors, line,
                   closest_match_hint (&nearest, known.ptr, &hint),
                   "unknown section `%.*s'", STR_ARG (kind));
  buf_free (&hint);
  buf_free (&known);
  return NULL;
}

/* Tell whether NAME suits SECTION, after a complaint when not.  */
static bool
checker_name_fits (checker_t *checker, const schema_section_t *section,
                   str_t name, int line)
{
  buf_t hint = BUF_NULL;
  bool fits = false;

  switch (section->form)
    {
    case SECTION_BARE:
      fits = name.len == 0;
      buf_printf (&hint, "write `[%s]'", section->kind);
      break;
    case SECTION_NAMED:
      fits = schema_is_valid_name (name);
      buf_printf (&hint,
                  "write `[%s NAME]', the name of letters, digits, "
                  "`.', `_' and `-'",
                  section->kind);
      break;
    case SECTION_VERSION:
      fits = schema_is_valid_version (name);
      buf_printf (&hint, "write `[%s MODEL@VERSION]'", section->kind);
      break;
    }
  if (!fits)
    conf_errors_add (checker->errors, line, hint.ptr,
                     name.len == 0 ? "[%s] lacks a name"
                                   : "[%s] has a name that does not fit",
                     section->kind);
  buf_free (&hint);
  return fits;
}

/* Tell whether this is the first SECTION of NAME.  */
static bool
checker_is_first (checker_t *checker, const schema_section_t *section,
                  str_t name, int line)
{
  buf_t id = BUF_NULL;

  buf_printf (&id, "%s %.*s", section->kind, STR_ARG (name));
  const int *first = map_get (checker->lines, buf_str (&id));
  if (first != NULL)
    conf_errors_add (checker->errors, line, "keep one of the two",
                     "[%s%s%.*s] stands twice, first in line %d",
                     section->kind, name.len > 0 ? " " : "", STR_ARG (name),
                     *first);
  else
    {
      int *here = arena_alloc (checker->scratch, sizeof *here);
      *here = line;
      map_put (checker->lines, buf_str (&id), here);
    }
  buf_free (&id);
  return first == NULL;
}

static void
checker_on_section (void *arg, str_t kind, str_t name, int line)
{
  checker_t *checker = arg;
  const schema_section_t *section;

  checker_end_section (checker);
  section = checker_find_section (checker, kind, line);
  checker->started = true;
  checker->section = section;
  checker->section_line = line;
  checker->seen = 0;
  checker->target = NULL;
  checker->skipping = section == NULL;
  assert (section == NULL || section->key_count <= SEEN_BITS);
  if (section != NULL && checker_name_fits (checker, section, name, line)
      && checker_is_first (checker, section, name, line))
    checker->target = section->open (checker->arg, name, line);
}

/* Return the key NAME of the section at hand, or NULL after a complaint.  */
static const schema_key_t *
checker_find_key (checker_t *checker, str_t name, int line)
{
  const schema_section_t *section = checker->section;
  closest_match_t nearest = closest_match_make (name);
  buf_t hint = BUF_NULL;
  buf_t other = BUF_NULL;

  for (size_t i = 0; i < section->key_count; i++)
    {
      if (str_eq (name, str_from (section->keys[i].name)))
        return &section->keys[i];
      closest_match_add_candidate (&nearest, str_from (section->keys[i].name));
    }
  for (size_t i = 0; i < checker->schema->section_count; i++)
    for (size_t k = 0; k < checker->schema->sections[i].key_count; k++)
      if (str_eq (name, str_from (checker->schema->sections[i].keys[k].name))
          && other.len == 0)
        buf_printf (&other, "it belongs in [%s]",
                    checker->schema->sections[i].kind);
  if (other.len == 0)
    {
      buf_printf (&other, "known are ");
      for (size_t i = 0; i < section->key_count; i++)
        buf_printf (&other, "%s%s", i == 0 ? "" : ", ", section->keys[i].name);
    }
  conf_errors_add (
      checker->errors, line, closest_match_hint (&nearest, other.ptr, &hint),
      "unknown key `%.*s' in [%s]", STR_ARG (name), section->kind);
  buf_free (&hint);
  buf_free (&other);
  return NULL;
}

/* A value of any type, on its way to the field.  */
typedef union
{
  str_t text;
  uint32_t u32;
  uint64_t u64;
  double number;
  int word;
  bool flag;
  value_ref_t ref;
  value_list_t list;
} value_t;

/* Complain that KEY's VALUE is not what it should be.  */
static void
checker_bad_value (checker_t *checker, const schema_key_t *key, str_t value,
                   int line, const char *wanted)
{
  if (key->type == VALUE_SECRET || key->type == VALUE_SECRETS)
    conf_errors_add (checker->errors, line, wanted,
                     "`%s' has a value that does not fit", key->name);
  else
    conf_errors_add (checker->errors, line, wanted, "`%s' cannot be `%.*s'",
                     key->name, STR_ARG (value));
}

/* Parse a number of KEY's range.  */
static bool
checker_number (checker_t *checker, const schema_key_t *key, str_t text,
                int line, value_t *value)
{
  buf_t hint = BUF_NULL;
  uint64_t whole = 0;
  double number = 0;
  bool fits;

  if (key->type == VALUE_DOUBLE)
    {
      fits = str_to_double (text, &number);
      buf_printf (&hint, "a number from %g to %g", key->min, key->max);
    }
  else
    {
      fits = str_to_u64 (text, &whole);
      number = (double)whole;
      buf_printf (&hint, "a whole number from %.0f to %.0f", key->min,
                  key->max);
    }
  /* A NaN fails both comparisons.  */
  fits = fits && number >= key->min && number <= key->max;
  if (!fits)
    checker_bad_value (checker, key, text, line, hint.ptr);
  else if (key->type == VALUE_DOUBLE)
    value->number = number;
  else if (key->type == VALUE_U32)
    value->u32 = (uint32_t)whole;
  else
    value->u64 = whole;
  buf_free (&hint);
  return fits;
}

/* Parse one of KEY's words.  */
static bool
checker_word (checker_t *checker, const schema_key_t *key, str_t text,
              int line, value_t *value)
{
  buf_t hint = BUF_NULL;

  buf_printf (&hint, "one of ");
  for (int i = 0; key->words[i] != NULL; i++)
    {
      if (str_eq (text, str_from (key->words[i])))
        {
          if (key->type == VALUE_FLAG)
            value->flag = i == 1;
          else
            value->word = i;
          buf_free (&hint);
          return true;
        }
      buf_printf (&hint, "%s%s", i == 0 ? "" : ", ", key->words[i]);
    }
  checker_bad_value (checker, key, text, line, hint.ptr);
  buf_free (&hint);
  return false;
}

/* Parse a comma-separated list.  */
static bool
checker_list (checker_t *checker, const schema_key_t *key, str_t text,
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
          checker_bad_value (checker, key, text, line,
                             "write items with commas between them");
          return false;
        }
      if (key->type == VALUE_SECRETS && item.len < SECRET_BYTES_MIN)
        {
          checker_bad_value (checker, key, text, line,
                             "each secret needs 16 bytes or more");
          return false;
        }
      list.items[list.count++] = item;
    }
  value->list = list;
  return true;
}

/* Parse TEXT as KEY's type into VALUE; return false after a complaint.  */
static bool
checker_parse (checker_t *checker, const schema_key_t *key, str_t text,
               int line, value_t *value)
{
  const char *wanted = NULL;
  uint8_t digest[DIGEST_DIGITS / 2];

  switch (key->type)
    {
    case VALUE_TEXT:
      wanted = text.len > 0 ? NULL : "give a value or remove the key";
      break;
    case VALUE_NAME:
      wanted = schema_is_valid_name (text)
                   ? NULL
                   : "letters, digits, `.', `_' and `-' only";
      break;
    case VALUE_SECRET:
      wanted
          = text.len >= SECRET_BYTES_MIN ? NULL : "it needs 16 bytes or more";
      break;
    case VALUE_DIGEST:
      wanted = str_unhex (text, digest, sizeof digest)
                   ? NULL
                   : "64 hexadecimal digits, as by `sha256sum'";
      break;
    case VALUE_ADDRESS:
      wanted = schema_is_valid_address (text)
                   ? NULL
                   : "HOST:PORT by IP number, such as 127.0.0.1:8080";
      break;
    case VALUE_U32:
    case VALUE_U64:
    case VALUE_DOUBLE:
      return checker_number (checker, key, text, line, value);
    case VALUE_WORD:
    case VALUE_FLAG:
      return checker_word (checker, key, text, line, value);
    case VALUE_LIST:
    case VALUE_SECRETS:
      return checker_list (checker, key, text, line, value);
    case VALUE_REF:
      wanted = text.len > 0 ? NULL : "give a name or remove the key";
      value->ref = (value_ref_t){ arena_str (checker->scratch, text), line };
      break;
    }
  if (wanted != NULL)
    {
      checker_bad_value (checker, key, text, line, wanted);
      return false;
    }
  if (key->type != VALUE_REF)
    value->text = arena_str (checker->keep, text);
  return true;
}

/* Return the size of the field that TYPE fills.  */
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
    case VALUE_WORD:
      return sizeof (int);
    case VALUE_FLAG:
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

_Static_assert(sizeof (role_t) == sizeof (int), "words fill enumerations");

static void
checker_on_key (void *arg, str_t name, str_t text, int line)
{
  checker_t *checker = arg;
  const schema_key_t *key;
  value_t value;

  if (checker->skipping)
    return;
  if (!checker->started)
    {
      conf_errors_add (checker->errors, line, "start with a `[section]'",
                       "the key `%.*s' stands in no section", STR_ARG (name));
      return;
    }
  key = checker_find_key (checker, name, line);
  if (key == NULL)
    return;
  uint64_t bit = (uint64_t)1 << (key - checker->section->keys);
  if ((checker->seen & bit) != 0)
    {
      conf_errors_add (checker->errors, line, "keep one of the two",
                       "the key `%s' stands twice in [%s]", key->name,
                       checker->section->kind);
      return;
    }
  checker->seen |= bit;
  if (checker_parse (checker, key, text, line, &value)
      && checker->target != NULL)
    memcpy ((char *)checker->target + key->offset, &value,
            value_size (key->type));
}

void
schema_run (const schema_t *schema, str_t text, void *arg, arena_t *keep,
            arena_t *scratch, conf_errors_t *errors)
{
  static const reader_events_t events
      = { .section = checker_on_section, .key = checker_on_key };
  checker_t checker = { .schema = schema,
                        .arg = arg,
                        .keep = keep,
                        .scratch = scratch,
                        .errors = errors,
                        .lines = map_create () };

  reader_run (text, &events, &checker, errors);
  checker_end_section (&checker);
  map_destroy (checker.lines);
}
