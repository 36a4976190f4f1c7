/* Length-counted strings and growable byte buffers.

   A str_t borrows its bytes: it neither owns nor terminates them.  A buf_t
   owns its bytes.  NUL-terminated text stays at the edges of libraries.  */

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
/* For printf: "%.*s" takes STR_ARG (s).  */
#define STR_ARG(s) (int)(s).len, ((s).ptr != NULL ? (s).ptr : "")

static inline str_t
str_make (const char *ptr, size_t len)
{
  return (str_t){ ptr, len };
}

/* Wrap the NUL-terminated TEXT; NULL gives the empty string.  */
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

/* Compare bytewise; the result has the sign of memcmp.  */
int str_cmp (str_t a, str_t b);

/* Compare ASCII letters without regard to case.  */
bool str_eq_nocase (str_t a, str_t b);

/* Return S without leading and trailing blanks, tabs, CR and LF.  */
str_t str_trim (str_t s);

/* Split S at the first SEP: return what stands before it and leave the rest
   in *REST.  Without SEP the whole of S is returned and *REST is STR_NULL
   (ptr NULL).  */
str_t str_cut (str_t s, char sep, str_t *rest);

/* Parse all of S as decimal digits.  Return false on anything else or on
   overflow, with *VALUE unchanged.  */
bool str_to_u64 (str_t s, uint64_t *value);

/* Parse all of S as a decimal number.  Return false on anything else.  */
bool str_to_double (str_t s, double *value);

/* Match S against GLOB, in which '*' stands for any run of bytes.  */
bool str_matches_glob (str_t glob, str_t s);

/* Return a NUL-terminated heap copy of S, for the caller to free.  */
char *str_dup (str_t s);

/* Return a 64-bit hash of S, the same in every process.  */
uint64_t str_hash (str_t s, uint64_t seed);

/* Weight of A for B, both of them hashes, to rank the A by for a B: rendezvous
   hashing.  */
static inline uint64_t
rendezvous_weight (uint64_t a, uint64_t b)
{
  uint64_t hash = (a ^ b) * 0x9e3779b97f4a7c15u;

  hash ^= hash >> 32;
  return hash * 0xd6e8feb86659fd93u;
}

/* A growable byte buffer.  Zero-initialise before the first use.  */
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

/* Make room for EXTRA more bytes.  Memory exhaustion aborts.  */
void buf_reserve (buf_t *buf, size_t extra);
void buf_append (buf_t *buf, const void *bytes, size_t len);
void buf_append_str (buf_t *buf, str_t s);
void buf_append_char (buf_t *buf, char c);
void buf_printf (buf_t *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void buf_vprintf (buf_t *buf, const char *format, va_list args);
/* Drop the first LEN bytes.  */
void buf_consume (buf_t *buf, size_t len);
/* Append S as the inside of a JSON string, without the quotes.  */
void buf_append_json_escaped (buf_t *buf, str_t s);
/* Append the lower-case hexadecimal form of BYTES.  */
void buf_append_hex (buf_t *buf, const void *bytes, size_t len);
void buf_free (buf_t *buf);

/* Decode S, exactly 2 * LEN hexadecimal digits, into BYTES.  */
bool str_unhex (str_t s, uint8_t *bytes, size_t len);

#endif
