/* Formats and prints tables with aligned columns.  */

#ifndef CLI_TABLE_H
#define CLI_TABLE_H

#include "base/str.h"

enum
{
  TABLE_COLUMNS_MAX = 10
};

typedef struct
{
  size_t columns;
  buf_t cells; /* Cell texts, row by row, each terminated by NUL.  */
  size_t cell_count;
  /* Length of the longest cell of each column, in bytes.  */
  size_t widths[TABLE_COLUMNS_MAX];
} table_t;

void table_init (table_t *table, size_t columns);
void table_free (table_t *table);
/* Append a formatted cell; the cells fill the table row by row.  */
void table_add_cell (table_t *table, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Print all rows on standard output.  */
void table_print (const table_t *table);

#endif
