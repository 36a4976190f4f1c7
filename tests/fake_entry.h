/* An HTTP server, in a thread, that imitates the operators' port of an
   entry.  */

#ifndef TESTS_FAKE_ENTRY_H
#define TESTS_FAKE_ENTRY_H

#include "base/str.h"

#include <pthread.h>

#define CONFIGURATION_PATH "examples/lists.ini"

enum
{
  FIRST_REVISION = 12,
  SIDECAR_COUNT = 26
};

/* Fault that the server simulates.  */
typedef enum
{
  FAULT_NONE,
  FAULT_CLOSE_UNANSWERED, /* Closes each connection without a reply.  */
  FAULT_NO_REPLY,         /* Reads each request and sends no reply.  */
  FAULT_NOT_JSON,         /* Replies with a body that is not JSON.  */
  FAULT_NOT_FOUND,        /* Replies 404, as another HTTP server.  */
  FAULT_STORE_DOWN,       /* Replies 503 not_accepted to each POST.  */
  FAULT_DRAINING,         /* Replies 503 draining to each request.  */
  FAULT_REPLY_LOST,       /* Applies a change and sends no reply.  */
  /* Applies another operator's change before a POST.  */
  FAULT_CONCURRENT_CHANGE
} fault_t;

typedef struct
{
  int fd;
  char address[32];
  pthread_t thread;
  pthread_mutex_t lock;
  /* Set by the test before it runs the program.  */
  fault_t fault;
  /* Number of changes that FAULT_CONCURRENT_CHANGE still makes.  */
  int concurrent_changes;
  /* Number of status replies that still show the previous revision.  */
  int outdated_status_replies;
  bool has_lagging_sidecar; /* Whether one sidecar keeps an old revision.  */
  const char *key;          /* Required operators' key; NULL if none.  */
  /* Checked by the test after it has run the program.  */
  uint64_t revision;
  buf_t text;
  char author[64];
  int post_count;
  int request_count;
  int open_fds[8]; /* Connections held open without a reply.  */
  int open_fd_count;
} fake_entry_t;

/* Start a server with the configuration of CONFIGURATION_PATH in force.  */
void fake_entry_start (fake_entry_t *server);
/* Stop the server and release its memory.  */
void fake_entry_stop (fake_entry_t *server);

#endif
