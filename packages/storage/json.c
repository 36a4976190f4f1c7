#include "storage/json.h"

#include "base/mem.h"

#include <stdlib.h>

static const char *const instance_states[] = { "live", "leaving", "gone" };

void
json_put_bytes (json_t *object, const char *name, str_t s)
{
  json_t *string = json_stringn (s.len > 0 ? s.ptr : "", s.len);

  if (string != NULL)
    {
      json_object_set_new (object, name, string);
      return;
    }
  buf_t key = BUF_NULL;
  buf_t hex = BUF_NULL;
  buf_printf (&key, "%s-hex%c", name, '\0');
  buf_append_hex (&hex, s.ptr, s.len);
  json_object_set_new (object, key.ptr, json_stringn (hex.ptr, hex.len));
  buf_free (&hex);
  buf_free (&key);
}

str_t
json_get_utf8 (const json_t *object, const char *name)
{
  const json_t *string = json_object_get (object, name);

  return str_make (json_string_value (string), json_string_length (string));
}

str_t
json_get_bytes (const json_t *object, const char *name, buf_t *scratch)
{
  str_t plain = json_get_utf8 (object, name);

  if (plain.ptr != NULL)
    return plain;
  buf_t key = BUF_NULL;
  buf_printf (&key, "%s-hex%c", name, '\0');
  str_t hex = json_get_utf8 (object, key.ptr);
  buf_free (&key);
  if (hex.len == 0 || hex.len % 2 != 0)
    return STR_NULL;
  buf_reserve (scratch, hex.len / 2);
  char *at = scratch->ptr + scratch->len;
  if (!str_unhex (hex, (uint8_t *)at, hex.len / 2))
    return STR_NULL;
  scratch->len += hex.len / 2;
  return str_make (at, hex.len / 2);
}

uint64_t
json_get_u64 (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value > 0 ? (uint64_t)value : 0;
}

json_t *
json_from_txn (const txn_t *txn)
{
  json_t *json = json_object ();
  json_t *conditions = json_array ();
  json_t *writes = json_array ();

  for (size_t i = 0; i < txn->condition_count; i++)
    {
      json_t *condition = json_object ();
      json_put_bytes (condition, "key", txn->conditions[i].key);
      json_object_set_new (
          condition, "version",
          json_integer ((json_int_t)txn->conditions[i].version));
      json_array_append_new (conditions, condition);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      json_t *write = json_object ();
      json_put_bytes (write, "key", txn->writes[i].key);
      if (txn->writes[i].is_delete)
        json_object_set_new (write, "delete", json_true ());
      else
        json_put_bytes (write, "value", txn->writes[i].value);
      json_array_append_new (writes, write);
    }
  if (txn->token.len > 0)
    json_put_bytes (json, "token", txn->token);
  json_object_set_new (json, "conditions", conditions);
  json_object_set_new (json, "writes", writes);
  return json;
}

txn_t *
json_to_txn (const json_t *json)
{
  const json_t *conditions = json_object_get (json, "conditions");
  const json_t *writes = json_object_get (json, "writes");
  size_t condition_count = json_array_size (conditions);
  size_t write_count = json_array_size (writes);
  txn_condition_t *condition
      = mem_zalloc ((condition_count + 1) * sizeof *condition);
  txn_write_t *write = mem_zalloc ((write_count + 1) * sizeof *write);
  /* One buffer a string: growing a shared one would move earlier ones.  */
  buf_t *scratch = mem_zalloc ((write_count + 1) * sizeof *scratch);
  txn_t *txn = NULL;

  for (size_t i = 0; i < condition_count; i++)
    {
      const json_t *item = json_array_get (conditions, i);
      condition[i].key = json_get_utf8 (item, "key");
      condition[i].version = json_get_u64 (item, "version");
      if (condition[i].key.len == 0)
        goto done;
    }
  for (size_t i = 0; i < write_count; i++)
    {
      const json_t *item = json_array_get (writes, i);
      write[i].key = json_get_utf8 (item, "key");
      write[i].value = json_get_bytes (item, "value", &scratch[i]);
      write[i].is_delete = json_is_true (json_object_get (item, "delete"));
      if (write[i].key.len == 0)
        goto done;
    }
  const txn_t borrowed = { condition, condition_count, write, write_count,
                           json_get_utf8 (json, "token") };
  txn = txn_copy (&borrowed);

done:
  for (size_t i = 0; i < write_count; i++)
    buf_free (&scratch[i]);
  free (scratch);
  free (write);
  free (condition);
  return txn;
}

json_t *
json_from_row (const row_t *row)
{
  json_t *json = json_object ();

  json_put_bytes (json, "key", row->key);
  json_put_bytes (json, "value", row->value);
  json_object_set_new (json, "version",
                       json_integer ((json_int_t)row->version));
  return json;
}

json_t *
json_from_instance (const instance_row_t *row)
{
  json_t *json = json_object ();

  json_put_bytes (json, "name", row->name);
  json_put_bytes (json, "role", row->role);
  json_put_bytes (json, "zone", row->zone);
  json_put_bytes (json, "region", row->region);
  json_put_bytes (json, "address", row->address);
  json_put_bytes (json, "serves", row->serves);
  json_object_set_new (json, "state",
                       json_string (instance_states[row->state]));
  return json;
}

bool
json_to_instance (const json_t *json, instance_row_t *row)
{
  str_t state = json_get_utf8 (json, "state");

  *row = (instance_row_t){ .name = json_get_utf8 (json, "name"),
                           .role = json_get_utf8 (json, "role"),
                           .zone = json_get_utf8 (json, "zone"),
                           .region = json_get_utf8 (json, "region"),
                           .address = json_get_utf8 (json, "address"),
                           .serves = json_get_utf8 (json, "serves") };
  for (int i = INSTANCE_LIVE; i <= INSTANCE_GONE; i++)
    if (str_eq (state, str_from (instance_states[i])))
      {
        row->state = (instance_state_t)i;
        return row->name.len > 0;
      }
  return false;
}

void
json_write_and_free (json_t *json, buf_t *out)
{
  char *text = json_dumps (json, JSON_COMPACT);

  buf_append_str (out, str_from (text));
  free (text);
  json_decref (json);
}
