#include "wire/request_framing.h"

enum
{
  /* Digits of a chunk size; more would not fit into an int64_t.  */
  CHUNK_DIGITS_MAX = 15
};

typedef enum
{
  START,       /* Before a request, or its method.  */
  START_LF,    /* In the empty line before a request.  */
  AFTER_EMPTY, /* After that line.  */
  METHOD,
  TARGET_FIRST,
  TARGET,
  VERSION,
  MINOR_VERSION,
  VERSION_CR,
  VERSION_LF,
  FIELD_FIRST, /* At the begin of a header or trailer line.  */
  FIELD_NAME,
  FIELD_VALUE,
  FIELD_LF,
  HEAD_LF, /* In the empty line after headers or trailers.  */
  BODY,
  CHUNK_SIZE,
  CHUNK_BLANK,
  CHUNK_EXTENSION,
  CHUNK_SIZE_LF,
  CHUNK_DATA,
  CHUNK_DATA_CR,
  CHUNK_DATA_LF,
  MALFORMED
} state_t;

static const str_t version_prefix = { "HTTP/1.", 7 };

static bool
is_token_char (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z')
         || (c >= 'a' && c <= 'z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_blank (unsigned char c)
{
  return c == ' ' || c == '\t';
}

/* Return whether C may stand in a target; bytes of other character sets
   may.  */
static bool
is_target_char (unsigned char c)
{
  return c > ' ' && c != 0x7f;
}

static bool
is_value_char (unsigned char c)
{
  return is_blank (c) || is_target_char (c);
}

/* Return whether IS_ALLOWED for each character of TEXT.  */
static bool
consists_of (str_t text, bool (*is_allowed) (unsigned char c))
{
  for (size_t i = 0; i < text.len; i++)
    if (!is_allowed ((unsigned char)text.ptr[i]))
      return false;
  return true;
}

bool
request_framing_is_token (str_t text)
{
  return text.len > 0 && consists_of (text, is_token_char);
}

bool
request_framing_is_target (str_t text)
{
  return text.len > 0 && consists_of (text, is_target_char);
}

bool
request_framing_is_value (str_t text)
{
  return consists_of (text, is_value_char);
}

/* Return the value of the hexadecimal digit C, or -1.  */
static int
hex_value (unsigned char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

static void
begin_field (request_framing_t *framing)
{
  framing->name_len = 0;
  framing->value_len = 0;
  framing->is_value_too_long = false;
}

static void
add_to_name (request_framing_t *framing, char c)
{
  if (framing->name_len < REQUEST_FRAMING_NAME_SIZE)
    framing->name[framing->name_len++]
        = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

static bool
add_to_value (request_framing_t *framing, unsigned char c)
{
  if (!is_value_char (c))
    return false;
  if (is_blank (c) && framing->value_len == 0)
    return true;
  if (framing->value_len < REQUEST_FRAMING_VALUE_SIZE)
    framing->value[framing->value_len++] = (char)c;
  else if (!is_blank (c))
    framing->is_value_too_long = true;
  return true;
}

static bool
end_length (request_framing_t *framing, str_t value)
{
  uint64_t length = 0;

  if (!str_to_u64 (value, &length)
      || (framing->has_length && length != framing->length))
    return false;
  framing->has_length = true;
  framing->length = length;
  return true;
}

/* Return whether the header that ends here is allowed.  */
static bool
end_field (request_framing_t *framing)
{
  str_t name = str_make (framing->name, framing->name_len);
  str_t value = str_trim (str_make (framing->value, framing->value_len));

  if (framing->is_in_trailer)
    return true;
  if (str_eq (name, STR ("host")))
    {
      if (framing->has_host)
        return false;
      framing->has_host = true;
      return true;
    }
  if (str_eq (name, STR ("content-length")))
    return !framing->is_value_too_long && end_length (framing, value);
  if (str_eq (name, STR ("transfer-encoding")))
    {
      bool is_chunked = !framing->is_value_too_long
                        && str_eq_nocase (value, STR ("chunked"));
      if (!is_chunked || framing->has_coding)
        return false;
      framing->has_coding = true;
    }
  else if (str_eq (name, STR ("expect")))
    return !framing->is_value_too_long
           && str_eq_nocase (value, STR ("100-continue"));
  return true;
}

static state_t
end_request (request_framing_t *framing)
{
  uint64_t requests = framing->requests + 1;

  *framing = (request_framing_t){ .requests = requests };
  return START;
}

/* Return the state after the empty line that ends the head or the
   trailers.  */
static state_t
end_head (request_framing_t *framing)
{
  if (framing->is_in_trailer)
    return end_request (framing);
  if ((framing->minor_version > 0 && !framing->has_host)
      || (framing->has_coding
          && (framing->has_length || framing->minor_version == 0)))
    return MALFORMED;
  if (framing->has_coding)
    {
      framing->digits = 0;
      framing->left = 0;
      return CHUNK_SIZE;
    }
  framing->left = framing->length;
  return framing->left > 0 ? BODY : end_request (framing);
}

static state_t
scan_chunk_size (request_framing_t *framing, unsigned char c)
{
  int digit = hex_value (c);

  if (digit >= 0 && framing->digits < CHUNK_DIGITS_MAX)
    {
      framing->digits++;
      framing->left = framing->left * 16 + (uint64_t)digit;
      return CHUNK_SIZE;
    }
  if (framing->digits == 0)
    return MALFORMED;
  return c == '\r'      ? CHUNK_SIZE_LF
         : c == ';'     ? CHUNK_EXTENSION
         : is_blank (c) ? CHUNK_BLANK
                        : MALFORMED;
}

/* Return the state after the line of a chunk size.  */
static state_t
end_chunk_size (request_framing_t *framing)
{
  framing->digits = 0;
  if (framing->left > 0)
    return CHUNK_DATA;
  framing->is_in_trailer = true;
  return FIELD_FIRST;
}

static state_t
scan_start (request_framing_t *framing, unsigned char c)
{
  framing->matched = 0;
  return is_token_char (c) ? METHOD : MALFORMED;
}

static state_t
scan_version (request_framing_t *framing, unsigned char c)
{
  if (c != (unsigned char)version_prefix.ptr[framing->matched])
    return MALFORMED;
  return ++framing->matched < version_prefix.len ? VERSION : MINOR_VERSION;
}

static state_t
scan_field_first (request_framing_t *framing, unsigned char c)
{
  begin_field (framing);
  if (c == '\r')
    return HEAD_LF;
  if (!is_token_char (c))
    return MALFORMED;
  add_to_name (framing, (char)c);
  return FIELD_NAME;
}

static state_t
scan_field_name (request_framing_t *framing, unsigned char c)
{
  if (c == ':')
    return FIELD_VALUE;
  if (!is_token_char (c))
    return MALFORMED;
  add_to_name (framing, (char)c);
  return FIELD_NAME;
}

/* Return the state after C, which is no byte of a body.  */
static state_t
scan_char (request_framing_t *framing, unsigned char c)
{
  switch ((state_t)framing->state)
    {
    case START:
      return c == '\r' ? START_LF : scan_start (framing, c);
    case START_LF:
      return c == '\n' ? AFTER_EMPTY : MALFORMED;
    case AFTER_EMPTY:
      return scan_start (framing, c);
    case METHOD:
      return c == ' ' ? TARGET_FIRST : is_token_char (c) ? METHOD : MALFORMED;
    case TARGET_FIRST:
      return is_target_char (c) ? TARGET : MALFORMED;
    case TARGET:
      return c == ' ' ? VERSION : is_target_char (c) ? TARGET : MALFORMED;
    case VERSION:
      return scan_version (framing, c);
    case MINOR_VERSION:
      framing->minor_version = c == '1';
      return c == '0' || c == '1' ? VERSION_CR : MALFORMED;
    case VERSION_CR:
      return c == '\r' ? VERSION_LF : MALFORMED;
    case VERSION_LF:
      return c == '\n' ? FIELD_FIRST : MALFORMED;
    case FIELD_FIRST:
      return scan_field_first (framing, c);
    case FIELD_NAME:
      return scan_field_name (framing, c);
    case FIELD_VALUE:
      return c == '\r'                   ? FIELD_LF
             : add_to_value (framing, c) ? FIELD_VALUE
                                         : MALFORMED;
    case FIELD_LF:
      return c == '\n' && end_field (framing) ? FIELD_FIRST : MALFORMED;
    case HEAD_LF:
      return c == '\n' ? end_head (framing) : MALFORMED;
    case CHUNK_SIZE:
      return scan_chunk_size (framing, c);
    case CHUNK_BLANK:
      return c == ';'       ? CHUNK_EXTENSION
             : is_blank (c) ? CHUNK_BLANK
                            : MALFORMED;
    case CHUNK_EXTENSION:
      return c == '\r'           ? CHUNK_SIZE_LF
             : is_value_char (c) ? CHUNK_EXTENSION
                                 : MALFORMED;
    case CHUNK_SIZE_LF:
      return c == '\n' ? end_chunk_size (framing) : MALFORMED;
    case CHUNK_DATA_CR:
      return c == '\r' ? CHUNK_DATA_LF : MALFORMED;
    case CHUNK_DATA_LF:
      return c == '\n' ? CHUNK_SIZE : MALFORMED;
    case BODY:
    case CHUNK_DATA:
    case MALFORMED:
      break;
    }
  return MALFORMED;
}

bool
request_framing_scan (request_framing_t *framing, str_t bytes)
{
  size_t at = 0;

  while (at < bytes.len && framing->state != MALFORMED)
    if (framing->state == BODY || framing->state == CHUNK_DATA)
      {
        size_t len = bytes.len - at;
        if (len > framing->left)
          len = (size_t)framing->left;
        at += len;
        framing->left -= len;
        if (framing->left == 0)
          framing->state
              = framing->state == BODY ? end_request (framing) : CHUNK_DATA_CR;
      }
    else
      framing->state = scan_char (framing, (unsigned char)bytes.ptr[at++]);
  return framing->state != MALFORMED;
}
