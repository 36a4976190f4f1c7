#include "control/billset.h"

#include "base/map.h"
#include "base/mem.h"
#include "storage/json.h"

#include <stdlib.h>

struct billset
{
  ledger_bill_t *items; /* Each bill owns its strings.  */
  size_t count;
  size_t capacity;
  map_t *by_id; /* Maps request id to index + 1 in ITEMS.  */
};

billset_t *
billset_create (void)
{
  billset_t *set = mem_zalloc (sizeof *set);

  set->by_id = map_create ();
  return set;
}

static str_t
copy_str (str_t s)
{
  return str_make (str_dup (s), s.len);
}

static void
bill_free (ledger_bill_t *bill)
{
  free ((char *)bill->request_id.ptr);
  free ((char *)bill->team.ptr);
  free ((char *)bill->model.ptr);
  free ((char *)bill->version.ptr);
}

static ledger_bill_t
bill_copy (const ledger_bill_t *bill)
{
  ledger_bill_t copy = *bill;

  copy.request_id = copy_str (bill->request_id);
  copy.team = copy_str (bill->team);
  copy.model = copy_str (bill->model);
  copy.version = copy_str (bill->version);
  return copy;
}

void
billset_destroy (billset_t *set)
{
  if (set == NULL)
    return;
  for (size_t i = 0; i < set->count; i++)
    bill_free (&set->items[i]);
  free (set->items);
  map_destroy (set->by_id);
  free (set);
}

void
billset_add (billset_t *set, const ledger_bill_t *bill)
{
  size_t index = (size_t)(uintptr_t)map_get (set->by_id, bill->request_id);

  if (index > 0)
    {
      ledger_bill_t *held = &set->items[index - 1];
      if (bill->tokens <= held->tokens)
        return;
      ledger_bill_t old = *held;
      *held = bill_copy (bill);
      bill_free (&old);
      return;
    }
  if (set->count == set->capacity)
    {
      set->capacity = set->capacity > 0 ? set->capacity * 2 : 16;
      set->items
          = mem_realloc (set->items, set->capacity * sizeof *set->items);
    }
  set->items[set->count++] = bill_copy (bill);
  map_put (set->by_id, bill->request_id, (void *)(uintptr_t)set->count);
}

size_t
billset_size (const billset_t *set)
{
  return set->count;
}

const ledger_bill_t *
billset_items (const billset_t *set)
{
  return set->items;
}

void
billset_write (const billset_t *set, buf_t *out)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < set->count; i++)
    {
      const ledger_bill_t *bill = &set->items[i];
      json_t *json = json_object ();
      json_put_bytes (json, "id", bill->request_id);
      json_put_bytes (json, "team", bill->team);
      json_put_bytes (json, "model", bill->model);
      json_put_bytes (json, "version", bill->version);
      json_object_set_new (json, "tokens",
                           json_integer ((json_int_t)bill->tokens));
      json_object_set_new (json, "cost", json_real (bill->cost));
      json_object_set_new (json, "at_ms",
                           json_integer ((json_int_t)bill->created_at_ms));
      json_array_append_new (list, json);
    }
  json_write_and_free (list, out);
}

vh_code_t
billset_read (billset_t *set, str_t text)
{
  json_t *list = json_loadb (text.len > 0 ? text.ptr : "", text.len,
                             JSON_ALLOW_NUL, NULL);
  const json_t *json;
  size_t index;

  if (!json_is_array (list))
    {
      json_decref (list);
      return VH_E_PROTOCOL;
    }
  json_array_foreach (list, index, json)
  {
    buf_t id = BUF_NULL;
    buf_t team = BUF_NULL;
    buf_t model = BUF_NULL;
    buf_t version = BUF_NULL;
    const ledger_bill_t bill
        = { .request_id = json_get_bytes (json, "id", &id),
            .team = json_get_bytes (json, "team", &team),
            .model = json_get_bytes (json, "model", &model),
            .version = json_get_bytes (json, "version", &version),
            .tokens = json_get_u64 (json, "tokens"),
            .cost = json_number_value (json_object_get (json, "cost")),
            .created_at_ms = json_get_u64 (json, "at_ms") };
    billset_add (set, &bill);
    buf_free (&id);
    buf_free (&team);
    buf_free (&model);
    buf_free (&version);
  }
  json_decref (list);
  return VH_OK;
}
