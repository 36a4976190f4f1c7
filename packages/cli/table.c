#include "cli/table.h"

#include <stdio.h>

void
table_init (table_t *table, size_t columns)
{
  *table = (table_t){ .columns = columns };
}

void
table_free (table_t *table)
{
  buf_free (&table->cells);
}

void
table_add_cell (table_t *table, const char *format, ...)
{
  size_t column = table->cell_count++ % table->columns;
  size_t start = table->cells.len;
  va_list args;

  va_start (args, format);
  buf_vprintf (&table->cells, format, args);
  va_end (args);
  /* An empty cell would look like a missing column.  */
  if (table->cells.len == start)
    buf_append_char (&table->cells, '-');
  size_t width = table->cells.len - start;
  if (width > table->widths[column])
    table->widths[column] = width;
  buf_append_char (&table->cells, '\0');
}

void
table_print (const table_t *table)
{
  const char *cell = table->cells.ptr;

  for (size_t i = 0; i < table->cell_count; i++)
    {
      size_t column = i % table->columns;
      size_t len = strlen (cell);
      /* The last column is not padded, to avoid trailing blanks.  */
      if (column + 1 == table->columns)
        printf ("%s\n", cell);
      else
        printf ("%-*s  ", (int)table->widths[column], cell);
      cell += len + 1;
    }
}
