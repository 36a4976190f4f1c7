#include "base/mem.h"
#include "conf/reader.h"
#include "conf/snapshot.h"

#include <stdio.h>
#include <stdlib.h>

/* A delta is text, so that `vanillahook history' can print it without
   conversion:

     delta 1 OLD-HASH NEW-HASH NEW-BYTES
     =N          the next N lines are unchanged
     -LINE       this line is removed
     +LINE       this line is added

   Newlines separate lines and do not terminate them, so that a last line
   without a newline is reproduced.  The hashes of both texts detect a delta
   that was made for another text.  */

enum
{
  /* If more edits than this are needed, all lines from the first to the last
     difference are replaced.  The trace of the shortest path needs memory
     proportional to the square of the number of edits, 4 MiB for 1000.  */
  EDITS_MAX = 1000,
  DELTA_HASH_SEED = 0
};

typedef struct
{
  str_t *items;
  uint64_t *hashes;
  size_t count;
} lines_t;

/* Split TEXT into lines, which point into TEXT.  */
static lines_t
lines_make (str_t text)
{
  lines_t lines = { NULL, NULL, 1 };
  str_t rest = text.ptr != NULL ? text : STR ("");

  text = rest;
  for (size_t i = 0; i < text.len; i++)
    lines.count += text.ptr[i] == '\n';
  lines.items = mem_alloc (lines.count * sizeof *lines.items);
  lines.hashes = mem_alloc (lines.count * sizeof *lines.hashes);
  for (size_t i = 0; i < lines.count; i++)
    {
      lines.items[i] = str_cut (rest, '\n', &rest);
      lines.hashes[i] = str_hash (lines.items[i], DELTA_HASH_SEED);
    }
  return lines;
}

static void
lines_free (lines_t *lines)
{
  free (lines->items);
  free (lines->hashes);
}

static bool
lines_equal (const lines_t *a, size_t i, const lines_t *b, size_t j)
{
  return a->hashes[i] == b->hashes[j] && str_eq (a->items[i], b->items[j]);
}

/* An edit script: the old lines that are kept and the new lines that are
   added.  */
typedef struct
{
  const lines_t *old_lines;
  const lines_t *new_lines;
  bool *is_kept;  /* One entry for each old line.  */
  bool *is_added; /* One entry for each new line.  */
} edit_script_t;

/* Find the shortest edit script from old lines [A, A_END) to new lines
   [B, B_END) and store it in SCRIPT (E. Myers, An O(ND) difference algorithm,
   1986).  Return false with SCRIPT unchanged if the script has more than
   EDITS_MAX edits.  */
static bool
edit_script_find_shortest (edit_script_t *script, size_t a, size_t a_end,
                           size_t b, size_t b_end)
{
  const int n = (int)(a_end - a);
  const int m = (int)(b_end - b);
  int edits_max = n + m < EDITS_MAX ? n + m : EDITS_MAX;
  /* The furthest x reached on each diagonal; TRACE has a copy for each number
     of edits.  */
  int *furthest = mem_zalloc (((size_t)edits_max * 2 + 3) * sizeof (int));
  int **trace = mem_zalloc (((size_t)edits_max + 1) * sizeof (int *));
  int *v = furthest + edits_max + 1;
  int edit_count = -1;
  int x = 0;
  int y = 0;

  for (int d = 0; d <= edits_max && edit_count < 0; d++)
    {
      trace[d] = mem_alloc (((size_t)d * 2 + 1) * sizeof (int));
      for (int k = -d; k <= d; k += 2)
        {
          bool down = k == -d || (k != d && v[k - 1] < v[k + 1]);
          x = down ? v[k + 1] : v[k - 1] + 1;
          if (d == 0)
            x = 0;
          y = x - k;
          while (x < n && y < m
                 && lines_equal (script->old_lines, a + (size_t)x,
                                 script->new_lines, b + (size_t)y))
            {
              x++;
              y++;
            }
          v[k] = x;
          if (x >= n && y >= m)
            {
              edit_count = d;
              break;
            }
        }
      memcpy (trace[d], v - d, ((size_t)d * 2 + 1) * sizeof (int));
    }
  /* Follow the path from its end; each diagonal step is a kept line.  */
  x = n;
  y = m;
  for (int d = edit_count; d >= 0; d--)
    {
      int k = x - y;
      int start_x = 0;
      int start_y = 0;
      bool down = false;
      if (d > 0)
        {
          const int *previous = trace[d - 1] + (d - 1);
          down = k == -d || (k != d && previous[k - 1] < previous[k + 1]);
          int from = down ? k + 1 : k - 1;
          start_x = down ? previous[from] : previous[from] + 1;
          start_y = start_x - k;
        }
      for (; x > start_x; x--, y--)
        {
          script->is_kept[a + (size_t)x - 1] = true;
          script->is_added[b + (size_t)y - 1] = false;
        }
      y = start_y;
      if (d > 0)
        {
          x -= !down;
          y -= down;
        }
    }
  for (int d = 0; d <= edits_max; d++)
    free (trace[d]);
  free (trace);
  free (furthest);
  return edit_count >= 0;
}

/* Append SCRIPT to OUT in the format of a delta, without the header.  */
static void
edit_script_write (const edit_script_t *script, buf_t *out)
{
  size_t i = 0;
  size_t j = 0;
  size_t unchanged_count = 0;

  while (i < script->old_lines->count || j < script->new_lines->count)
    {
      bool is_removed = i < script->old_lines->count && !script->is_kept[i];
      bool is_inserted = j < script->new_lines->count && script->is_added[j];
      if (!is_removed && !is_inserted)
        {
          unchanged_count++;
          i++;
          j++;
          continue;
        }
      if (unchanged_count > 0)
        buf_printf (out, "=%zu\n", unchanged_count);
      unchanged_count = 0;
      buf_append_char (out, is_removed ? '-' : '+');
      buf_append_str (out, is_removed ? script->old_lines->items[i++]
                                      : script->new_lines->items[j++]);
      buf_append_char (out, '\n');
    }
  if (unchanged_count > 0)
    buf_printf (out, "=%zu\n", unchanged_count);
}

void
conf_delta_make (str_t old_text, str_t new_text, buf_t *out)
{
  lines_t old_lines = lines_make (old_text);
  lines_t new_lines = lines_make (new_text);
  edit_script_t script = { &old_lines, &new_lines, NULL, NULL };
  size_t a = 0;
  size_t a_end = old_lines.count;
  size_t b_end = new_lines.count;

  script.is_kept = mem_zalloc (old_lines.count);
  script.is_added = mem_alloc (new_lines.count);
  memset (script.is_added, true, new_lines.count);
  while (a < a_end && a < b_end && lines_equal (&old_lines, a, &new_lines, a))
    a++;
  while (a_end > a && b_end > a
         && lines_equal (&old_lines, a_end - 1, &new_lines, b_end - 1))
    {
      a_end--;
      b_end--;
    }
  memset (script.is_kept, true, a);
  memset (script.is_added, false, a);
  memset (script.is_kept + a_end, true, old_lines.count - a_end);
  memset (script.is_added + b_end, false, new_lines.count - b_end);
  edit_script_find_shortest (&script, a, a_end, a, b_end);
  buf_printf (out, "delta 1 %016llx %016llx %zu\n",
              (unsigned long long)str_hash (old_text, DELTA_HASH_SEED),
              (unsigned long long)str_hash (new_text, DELTA_HASH_SEED),
              new_text.len);
  edit_script_write (&script, out);
  free (script.is_kept);
  free (script.is_added);
  lines_free (&old_lines);
  lines_free (&new_lines);
}

/* The first line of a delta.  */
typedef struct
{
  uint64_t old_hash;
  uint64_t new_hash;
  uint64_t new_len;
} delta_header_t;

/* Parse S into *HASH.  Return false unless S has exactly 16 lower-case
   hexadecimal digits.  */
static bool
delta_parse_hash (str_t s, uint64_t *hash)
{
  uint8_t bytes[8];

  if (s.ptr == NULL || !str_unhex (s, bytes, sizeof bytes))
    return false;
  *hash = 0;
  for (size_t i = 0; i < sizeof bytes; i++)
    *hash = *hash << 8 | bytes[i];
  return true;
}

static bool
delta_parse_header (str_t line, delta_header_t *header)
{
  str_t rest;

  if (!str_eq (str_cut (line, ' ', &rest), STR ("delta")))
    return false;
  if (rest.ptr == NULL || !str_eq (str_cut (rest, ' ', &rest), STR ("1")))
    return false;
  if (rest.ptr == NULL
      || !delta_parse_hash (str_cut (rest, ' ', &rest), &header->old_hash))
    return false;
  if (rest.ptr == NULL
      || !delta_parse_hash (str_cut (rest, ' ', &rest), &header->new_hash))
    return false;
  return rest.ptr != NULL && str_to_u64 (rest, &header->new_len)
         && header->new_len <= CONF_TEXT_BYTES_MAX;
}

/* Appends lines to OUT with newlines between them.  */
typedef struct
{
  buf_t *out;
  size_t text_start; /* Offset in OUT of the first line.  */
  size_t bytes_max;  /* Largest total size of the lines and newlines.  */
  bool has_lines;
} line_joiner_t;

/* Append LINE.  Return false if the text would exceed its largest size.  */
static bool
line_joiner_add (line_joiner_t *joiner, str_t line)
{
  size_t text_len = joiner->out->len - joiner->text_start;

  if (line.len + joiner->has_lines > joiner->bytes_max - text_len)
    return false;
  if (joiner->has_lines)
    buf_append_char (joiner->out, '\n');
  buf_append_str (joiner->out, line);
  joiner->has_lines = true;
  return true;
}

/* Apply OP, one line of a delta.  *REST is the old text that is not consumed
   yet; its ptr is NULL after the last line.  Return false if OP is malformed
   or does not match *REST.  */
static bool
delta_apply_op (line_joiner_t *joiner, str_t op, str_t *rest)
{
  str_t operand;
  uint64_t count;

  if (op.len == 0)
    return false;
  operand = str_make (op.ptr + 1, op.len - 1);
  switch (op.ptr[0])
    {
    case '=':
      if (!str_to_u64 (operand, &count) || count == 0)
        return false;
      for (; count > 0; count--)
        if (rest->ptr == NULL
            || !line_joiner_add (joiner, str_cut (*rest, '\n', rest)))
          return false;
      return true;
    case '-':
      return rest->ptr != NULL
             && str_eq (str_cut (*rest, '\n', rest), operand);
    case '+':
      return line_joiner_add (joiner, operand);
    default:
      return false;
    }
}

vh_code_t
conf_delta_apply (str_t old_text, str_t delta, buf_t *out)
{
  str_t rest = old_text.ptr != NULL ? old_text : STR ("");
  line_joiner_t joiner = { out, out->len, 0, false };
  delta_header_t header;
  str_t ops;
  str_t text;

  if (delta.len == 0 || delta.ptr[delta.len - 1] != '\n')
    return VH_E_PROTOCOL;
  delta.len--;
  if (!delta_parse_header (str_cut (delta, '\n', &ops), &header)
      || header.old_hash != str_hash (old_text, DELTA_HASH_SEED))
    return VH_E_PROTOCOL;
  joiner.bytes_max = (size_t)header.new_len;
  while (ops.ptr != NULL)
    if (!delta_apply_op (&joiner, str_cut (ops, '\n', &ops), &rest))
      goto rejected;
  text = str_make (out->ptr + joiner.text_start, out->len - joiner.text_start);
  if (rest.ptr != NULL || text.len != header.new_len
      || str_hash (text, DELTA_HASH_SEED) != header.new_hash)
    goto rejected;
  return VH_OK;

rejected:
  out->len = joiner.text_start;
  return VH_E_PROTOCOL;
}
