#include "base/str.h"

#include "base/mem.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <xxhash.h>

enum
{
  BUF_FIRST_CAP = 64
};

int
str_cmp (str_t a, str_t b)
{
  size_t shared = a.len < b.len ? a.len : b.len;
  int order = shared > 0 ? memcmp (a.ptr, b.ptr, shared) : 0;

  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
str_eq_nocase (str_t a, str_t b)
{
  return a.len == b.len
         && (a.len == 0 || strncasecmp (a.ptr, b.ptr, a.len) == 0);
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

str_t
str_trim (str_t s)
{
  while (s.len > 0 && is_blank (s.ptr[0]))
    {
      s.ptr++;
      s.len--;
    }
  while (s.len > 0 && is_blank (s.ptr[s.len - 1]))
    s.len--;
  return s;
}

str_t
str_cut (str_t s, char sep, str_t *rest)
{
  const char *at = s.len > 0 ? memchr (s.ptr, sep, s.len) : NULL;

  if (at == NULL)
    {
      *rest = STR_NULL;
      return s;
    }
  size_t head = (size_t)(at - s.ptr);
  *rest = str_make (at + 1, s.len - head - 1);
  return str_make (s.ptr, head);
}

bool
str_to_u64 (str_t s, uint64_t *value)
{
  uint64_t sum = 0;

  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.ptr[i] < '0' || s.ptr[i] > '9')
        return false;
      uint64_t digit = (uint64_t)(s.ptr[i] - '0');
      if (sum > (UINT64_MAX - digit) / 10)
        return false;
      sum = sum * 10 + digit;
    }
  *value = sum;
  return true;
}

bool
str_to_double (str_t s, double *value)
{
  char text[64];
  char *end;

  if (s.len == 0 || s.len >= sizeof text || is_blank (s.ptr[0]))
    return false;
  memcpy (text, s.ptr, s.len);
  text[s.len] = '\0';
  errno = 0;
  double parsed = strtod (text, &end);
  if (errno != 0 || *end != '\0')
    return false;
  *value = parsed;
  return true;
}

bool
str_matches_glob (str_t glob, str_t s)
{
  size_t g = 0, i = 0, star = SIZE_MAX, mark = 0;

  while (i < s.len)
    {
      if (g < glob.len && glob.ptr[g] == '*')
        {
          star = g++;
          mark = i;
        }
      else if (g < glob.len && glob.ptr[g] == s.ptr[i])
        {
          g++;
          i++;
        }
      else if (star != SIZE_MAX)
        {
          g = star + 1;
          i = ++mark;
        }
      else
        return false;
    }
  while (g < glob.len && glob.ptr[g] == '*')
    g++;
  return g == glob.len;
}

char *
str_dup (str_t s)
{
  char *copy = mem_alloc (s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.ptr, s.len);
  copy[s.len] = '\0';
  return copy;
}

uint64_t
str_hash (str_t s, uint64_t seed)
{
  return XXH3_64bits_withSeed (s.len > 0 ? s.ptr : "", s.len, seed);
}

void
buf_reserve (buf_t *buf, size_t extra)
{
  size_t need = buf->len + extra;
  size_t cap = buf->cap > 0 ? buf->cap : BUF_FIRST_CAP;

  if (need <= buf->cap)
    return;
  while (cap < need)
    cap *= 2;
  buf->ptr = mem_realloc (buf->ptr, cap);
  buf->cap = cap;
}

void
buf_append (buf_t *buf, const void *bytes, size_t len)
{
  if (len == 0)
    return;
  buf_reserve (buf, len);
  memcpy (buf->ptr + buf->len, bytes, len);
  buf->len += len;
}

void
buf_append_str (buf_t *buf, str_t s)
{
  buf_append (buf, s.ptr, s.len);
}

void
buf_append_char (buf_t *buf, char c)
{
  buf_append (buf, &c, 1);
}

void
buf_vprintf (buf_t *buf, const char *format, va_list args)
{
  va_list again;

  va_copy (again, args);
  int len = vsnprintf (NULL, 0, format, args);
  if (len > 0)
    {
      buf_reserve (buf, (size_t)len + 1);
      vsnprintf (buf->ptr + buf->len, (size_t)len + 1, format, again);
      buf->len += (size_t)len;
    }
  va_end (again);
}

void
buf_printf (buf_t *buf, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  buf_vprintf (buf, format, args);
  va_end (args);
}

void
buf_consume (buf_t *buf, size_t len)
{
  if (len >= buf->len)
    {
      buf->len = 0;
      return;
    }
  memmove (buf->ptr, buf->ptr + len, buf->len - len);
  buf->len -= len;
}

void
buf_append_json_escaped (buf_t *buf, str_t s)
{
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.ptr[i];
      if (c == '"' || c == '\\')
        {
          buf_append_char (buf, '\\');
          buf_append_char (buf, (char)c);
        }
      else if (c < 0x20)
        buf_printf (buf, "\\u%04x", c);
      else
        buf_append_char (buf, (char)c);
    }
}

void
buf_append_hex (buf_t *buf, const void *bytes, size_t len)
{
  static const char digits[] = "0123456789abcdef";
  const uint8_t *at = bytes;

  for (size_t i = 0; i < len; i++)
    {
      buf_append_char (buf, digits[at[i] >> 4]);
      buf_append_char (buf, digits[at[i] & 15]);
    }
}

void
buf_free (buf_t *buf)
{
  free (buf->ptr);
  *buf = BUF_NULL;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool
str_unhex (str_t s, uint8_t *bytes, size_t len)
{
  if (s.len != 2 * len)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      int high = hex_digit (s.ptr[2 * i]);
      int low = hex_digit (s.ptr[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      bytes[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}
