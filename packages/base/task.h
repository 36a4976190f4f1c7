/* Mailboxes for tasks on a libuv loop.  A task owns its sockets and state, and
   other tasks interact with it only by posting messages to its mailbox.  A
   message is delivered in a later iteration of the loop, never inside the call
   that posts it, so a task is never re-entered while it handles an event.  */

#ifndef BASE_TASK_H
#define BASE_TASK_H

#include "base/mem.h"

#include <uv.h>

typedef struct mailbox mailbox_t;

/* First member of every message struct.  `release', if not NULL, frees the
   message; it is called once, after delivery or by mailbox_destroy.  */
typedef struct message
{
  list_t link;
  int type;
  void (*release) (struct message *message);
} message_t;

typedef void (*mailbox_cb_t) (void *owner, message_t *message);

/* Create a mailbox on LOOP.  CB is called with OWNER for each message.  */
mailbox_t *mailbox_create (uv_loop_t *loop, mailbox_cb_t cb, void *owner);
/* Release the undelivered messages.  The mailbox itself is released when the
   loop has closed its handle.  MAILBOX may be NULL.  */
void mailbox_destroy (mailbox_t *mailbox);
/* Take ownership of MESSAGE and deliver it in a later iteration of the loop,
   in the order of posting.  Must be called on the thread of the loop.  */
void mailbox_post (mailbox_t *mailbox, message_t *message);

#endif
