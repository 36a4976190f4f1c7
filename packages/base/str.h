/* Length-counted strings and growable byte buffers.

   A str_t borrows its bytes, which need no terminating NUL.  A buf_t owns its
   bytes.  NUL-terminated strings are used only where a library needs them.  */

#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

typedef struct
{
  const char *ptr;
  size_t len;
} str_t;

#define STR(literal) ((str_t){ (literal), sizeof (literal) - 1 })
#define STR_NULL ((str_t){ NULL, 0 })
/* Arguments for "%.*s" in a printf format.  */
#define STR_ARG(s) (int)(s).len, ((s).ptr != NULL ? (s).ptr : "")

static inline str_t
str_make (const char *ptr, size_t len)
{
  return (str_t){ ptr, len };
}

/* Return a view of the NUL-terminated TEXT; NULL gives the empty string.  */
static inline str_t
str_from (const char *text)
{
  return (str_t){ text, text != NULL ? strlen (text) : 0 };
}

static inline bool
str_eq (str_t a, str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

static inline bool
str_starts_with (str_t s, str_t prefix)
{
  return s.len >= prefix.len
         && (prefix.len == 0 || memcmp (s.ptr, prefix.ptr, prefix.len) == 0);
}

/* Compare bytewise.  Return a negative number, 0 or a positive number, like
   memcmp; a proper prefix sorts first.  */
int str_cmp (str_t a, str_t b);

/* Return whether A and B are equal, ignoring the case of ASCII letters.  */
bool str_eq_nocase (str_t a, str_t b);

/* Return S without leading and trailing blanks, tabs, CR and LF.  */
str_t str_trim (str_t s);

/* Split S at the first SEP.  Return the part before SEP and set *REST to the
   part after SEP.  If S has no SEP, return S and set *REST to STR_NULL.  */
str_t str_cut (str_t s, char sep, str_t *rest);

/* Parse S, a number in decimal digits only.  If S has other bytes or the
   number overflows, return false and leave *VALUE unchanged.  */
bool str_to_u64 (str_t s, uint64_t *value);

/* Parse S, a number in the syntax of strtod, without leading blanks and
   shorter than 64 bytes.  For any other S, return false and leave *VALUE
   unchanged.  */
bool str_to_double (str_t s, double *value);

/* Return whether S matches GLOB, in which `*' matches any bytes, or none.  */
bool str_matches_glob (str_t glob, str_t s);

/* Return a NUL-terminated copy of S, to be released with free.  */
char *str_dup (str_t s);

/* Return a 64-bit hash of S, the same in every process.  */
uint64_t str_hash (str_t s, uint64_t seed);

/* Return the rendezvous hashing weight of node hash A for key hash B.  The key
   is assigned to the node with the highest weight.  */
static inline uint64_t
rendezvous_weight (uint64_t a, uint64_t b)
{
  uint64_t hash = (a ^ b) * 0x9e3779b97f4a7c15u;

  hash ^= hash >> 32;
  return hash * 0xd6e8feb86659fd93u;
}

/* Growable byte buffer.  Initialize with BUF_NULL.  */
typedef struct
{
  char *ptr;
  size_t len;
  size_t cap;
} buf_t;

#define BUF_NULL ((buf_t){ NULL, 0, 0 })

static inline str_t
buf_str (const buf_t *buf)
{
  return (str_t){ buf->ptr, buf->len };
}

/* Ensure capacity for EXTRA more bytes.  Abort if there is no memory.  */
void buf_reserve (buf_t *buf, size_t extra);
void buf_append (buf_t *buf, const void *bytes, size_t len);
void buf_append_str (buf_t *buf, str_t s);
void buf_append_char (buf_t *buf, char c);
void buf_printf (buf_t *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void buf_vprintf (buf_t *buf, const char *format, va_list args);
/* Remove the first LEN bytes, or all if there are fewer.  */
void buf_consume (buf_t *buf, size_t len);
/* Append S, escaped for use inside a JSON string, without the quotes.  */
void buf_append_json_escaped (buf_t *buf, str_t s);
/* Append BYTES in lower-case hexadecimal.  */
void buf_append_hex (buf_t *buf, const void *bytes, size_t len);
void buf_free (buf_t *buf);

/* Decode S into LEN bytes at BYTES.  Return false if S is not exactly 2 * LEN
   hexadecimal digits.  */
bool str_unhex (str_t s, uint8_t *bytes, size_t len);

#endif
