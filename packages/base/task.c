#include "base/task.h"

#include <stdlib.h>

struct mailbox
{
  uv_async_t wake;
  mailbox_cb_t cb;
  void *owner;
  list_t queue;
};

static void
release_message (message_t *message)
{
  if (message->release != NULL)
    message->release (message);
}

static void
deliver (uv_async_t *wake)
{
  mailbox_t *mailbox = wake->data;
  list_t batch;

  /* Take the queue first: messages posted during delivery wait a turn.  */
  list_init (&batch);
  while (!list_is_empty (&mailbox->queue))
    {
      list_t *node = mailbox->queue.next;
      list_remove (node);
      list_append (&batch, node);
    }
  while (!list_is_empty (&batch))
    {
      message_t *message = CONTAINER_OF (batch.next, message_t, link);
      list_remove (&message->link);
      if (!uv_is_closing ((uv_handle_t *)wake))
        mailbox->cb (mailbox->owner, message);
      release_message (message);
    }
}

mailbox_t *
mailbox_create (uv_loop_t *loop, mailbox_cb_t cb, void *owner)
{
  mailbox_t *mailbox = mem_zalloc (sizeof *mailbox);

  mailbox->cb = cb;
  mailbox->owner = owner;
  list_init (&mailbox->queue);
  uv_async_init (loop, &mailbox->wake, deliver);
  mailbox->wake.data = mailbox;
  return mailbox;
}

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
mailbox_destroy (mailbox_t *mailbox)
{
  if (mailbox == NULL)
    return;
  while (!list_is_empty (&mailbox->queue))
    {
      message_t *message = CONTAINER_OF (mailbox->queue.next, message_t, link);
      list_remove (&message->link);
      release_message (message);
    }
  uv_close ((uv_handle_t *)&mailbox->wake, on_closed);
}

void
mailbox_post (mailbox_t *mailbox, message_t *message)
{
  list_append (&mailbox->queue, &message->link);
  uv_async_send (&mailbox->wake);
}
