#include "gateway/loader.h"

#include "base/loop_watch.h"
#include "base/mem.h"
#include "policy/trial.h"

#include <stdlib.h>

enum
{
  /* Long enough for the event loop to run one iteration.  */
  PAUSE_MS = 1
};

struct loader
{
  uv_loop_t *loop;
  loader_parse_t parse;
  loader_cb_t cb;
  void *arg;
  bool is_destroyed; /* loader_destroy was called while a text was parsed.  */
  bool is_parsing;
  bool is_urgent; /* The text is parsed without pauses.  */
  uv_work_t work;
  buf_t text;         /* Text that is being parsed.  */
  catalog_t *catalog; /* Result for TEXT; NULL if it is invalid.  */
  vh_code_t code;
  buf_t next_text; /* Text to parse after TEXT; empty: none.  */
  bool is_next_urgent;
};

static void parse_next (loader_t *loader);

static void
loader_free (loader_t *loader)
{
  buf_free (&loader->text);
  buf_free (&loader->next_text);
  free (loader);
}

static void
yield_to_loop (void)
{
  uv_sleep (PAUSE_MS);
}

/* Parse TEXT, calling PAUSE, which may be NULL, from time to time.  */
static vh_code_t
parse_text (const loader_t *loader, str_t text, void (*pause) (void),
            catalog_t **out)
{
  vh_code_t code = loader->parse (text, pause, out);

  if (code == VH_OK)
    catalog_group_routes (*out, TRIAL_ROUTE_CELLS);
  return code;
}

/* Parse loader->text on a thread of the pool.  The loop does not access the
   fields text, catalog and code before on_work_done.  */
static void
on_work (uv_work_t *work)
{
  loader_t *loader = work->data;

  loader->code = parse_text (loader, buf_str (&loader->text),
                             loader->is_urgent ? NULL : yield_to_loop,
                             &loader->catalog);
}

static void
on_work_done (uv_work_t *work, int status)
{
  loader_t *loader = work->data;
  catalog_t *catalog = loader->catalog;

  loader->is_parsing = false;
  if (status == UV_ECANCELED)
    {
      loader->code = VH_E_INTERNAL;
      catalog = NULL;
    }
  if (loader->is_destroyed)
    {
      catalog_unref (catalog);
      loader_free (loader);
      return;
    }
  loader->cb (loader->arg, loader->code, catalog, loader->text.len);
  if (loader->next_text.len > 0)
    parse_next (loader);
}

/* Parse the next text on the thread pool.  */
static void
parse_next (loader_t *loader)
{
  buf_t text = loader->text;

  loader->text = loader->next_text;
  loader->next_text = text;
  loader->next_text.len = 0;
  loader->is_urgent = loader->is_next_urgent;
  loader->catalog = NULL;
  loader->is_parsing = true;
  loader->work.data = loader;
  if (uv_queue_work (loader->loop, &loader->work, on_work, on_work_done) == 0)
    return;
  /* The thread pool is unavailable.  Parsing on the loop delays streams, but
     is better than keeping an old configuration.  */
  on_work (&loader->work);
  on_work_done (&loader->work, 0);
}

void
loader_submit (loader_t *loader, str_t text, bool is_urgent)
{
  catalog_t *catalog = NULL;

  if (!loader->is_parsing && text.len < LOADER_ASYNC_BYTES_MIN)
    {
      loop_work_t outer = loop_work_begin (LOOP_WORK_CONFIG);
      vh_code_t code = parse_text (loader, text, NULL, &catalog);
      loop_work_end (outer);
      loader->cb (loader->arg, code, catalog, text.len);
      return;
    }
  loader->next_text.len = 0;
  buf_append_str (&loader->next_text, text);
  loader->is_next_urgent = is_urgent;
  if (!loader->is_parsing)
    parse_next (loader);
}

bool
loader_is_busy (const loader_t *loader)
{
  return loader->is_parsing || loader->next_text.len > 0;
}

loader_t *
loader_create (uv_loop_t *loop, loader_parse_t parse, loader_cb_t cb,
               void *arg)
{
  loader_t *loader = mem_zalloc (sizeof *loader);

  loader->loop = loop;
  loader->parse = parse;
  loader->cb = cb;
  loader->arg = arg;
  return loader;
}

void
loader_destroy (loader_t *loader)
{
  if (loader == NULL)
    return;
  if (!loader->is_parsing)
    {
      loader_free (loader);
      return;
    }
  loader->is_destroyed = true;
  uv_cancel ((uv_req_t *)&loader->work);
}
