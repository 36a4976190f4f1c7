/* Starts and stops the platform stand-in server as a child process of a
   test.  */

#ifndef TESTS_PLATFORM_CHILD_H
#define TESTS_PLATFORM_CHILD_H

#include <stdint.h>
#include <sys/types.h>

typedef struct
{
  pid_t pid;
  uint16_t port;
  char address[32]; /* HOST:PORT */
} platform_child_t;

/* Start the stand-in server on PORT (any free port if 0) and wait until it
   listens.  FAULTS is a JSON object with the faults to inject, or NULL.  The
   test fails if the server does not start.  */
void platform_child_start (platform_child_t *child, uint16_t port,
                           const char *faults);
/* Kill the server, if it runs, and wait for its end.  */
void platform_child_stop (platform_child_t *child);

#endif
