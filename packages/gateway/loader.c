#include "gateway/loader.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* Leaves the core to the loop for at least a turn.  */
  PAUSE_MS = 1
};

struct loader
{
  uv_loop_t *loop;
  loader_parse_t read;
  loader_cb_t cb;
  void *arg;
  bool destroyed; /* While a text was being read.  */
  bool is_reading;
  uv_work_t work;
  buf_t text; /* Being read.  */
  catalog_t *catalog;
  vh_code_t code;
  buf_t next; /* To be read after it; empty: none.  */
};

static void start (loader_t *loader);

static void
loader_free (loader_t *loader)
{
  buf_free (&loader->text);
  buf_free (&loader->next);
  free (loader);
}

static void
leave_core (void)
{
  uv_sleep (PAUSE_MS);
}

/* On a thread of the pool: touches nothing that the loop touches meanwhile. */
static void
on_work (uv_work_t *work)
{
  loader_t *loader = work->data;

  loader->code
      = loader->read (buf_str (&loader->text), leave_core, &loader->catalog);
}

static void
on_worked (uv_work_t *work, int status)
{
  loader_t *loader = work->data;
  catalog_t *catalog = loader->catalog;

  loader->is_reading = false;
  if (status == UV_ECANCELED)
    {
      loader->code = VH_E_INTERNAL;
      catalog = NULL;
    }
  if (loader->destroyed)
    {
      catalog_unref (catalog);
      loader_free (loader);
      return;
    }
  loader->cb (loader->arg, loader->code, catalog, loader->text.len);
  if (loader->next.len > 0)
    start (loader);
}

/* Read what waits.  */
static void
start (loader_t *loader)
{
  buf_t text = loader->text;

  loader->text = loader->next;
  loader->next = text;
  loader->next.len = 0;
  loader->catalog = NULL;
  loader->is_reading = true;
  loader->work.data = loader;
  if (uv_queue_work (loader->loop, &loader->work, on_work, on_worked) == 0)
    return;
  /* No pool: better late streams than an old configuration.  */
  on_work (&loader->work);
  on_worked (&loader->work, 0);
}

void
loader_submit (loader_t *loader, str_t text, bool first)
{
  catalog_t *catalog = NULL;

  if (!loader->is_reading && (first || text.len < LOADER_ASYNC_BYTES_MIN))
    {
      vh_code_t code = loader->read (text, NULL, &catalog);
      loader->cb (loader->arg, code, catalog, text.len);
      return;
    }
  loader->next.len = 0;
  buf_append_str (&loader->next, text);
  if (!loader->is_reading)
    start (loader);
}

bool
loader_is_busy (const loader_t *loader)
{
  return loader->is_reading || loader->next.len > 0;
}

loader_t *
loader_create (uv_loop_t *loop, loader_parse_t read, loader_cb_t cb, void *arg)
{
  loader_t *loader = mem_zalloc (sizeof *loader);

  loader->loop = loop;
  loader->read = read;
  loader->cb = cb;
  loader->arg = arg;
  return loader;
}

void
loader_destroy (loader_t *loader)
{
  if (loader == NULL)
    return;
  if (!loader->is_reading)
    {
      loader_free (loader);
      return;
    }
  loader->destroyed = true;
  uv_cancel ((uv_req_t *)&loader->work);
}
