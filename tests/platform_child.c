#include "platform_child.h"

#include <check.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

/* Return the port from the line that the server prints to FD when it
   listens.  */
static uint16_t
read_port (int fd)
{
  FILE *out = fdopen (fd, "r");
  unsigned port = 0;

  ck_assert_ptr_nonnull (out);
  ck_assert_int_eq (fscanf (out, "listening %u", &port), 1);
  fclose (out);
  return (uint16_t)port;
}

void
platform_child_start (platform_child_t *child, uint16_t port,
                      const char *faults)
{
  const char *build = getenv ("VH_BUILD");
  char path[1024];
  char listen_option[64];
  char faults_option[1024];
  char *argv[]
      = { path, listen_option, faults != NULL ? faults_option : NULL, NULL };
  posix_spawn_file_actions_t actions;
  int pipe_fds[2];

  snprintf (path, sizeof path, "%s/tests/standin_platform",
            build != NULL ? build : "build");
  snprintf (listen_option, sizeof listen_option, "--listen=127.0.0.1:%u",
            port);
  snprintf (faults_option, sizeof faults_option, "--faults=%s",
            faults != NULL ? faults : "");
  ck_assert_int_eq (pipe (pipe_fds), 0);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, pipe_fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose (&actions, pipe_fds[0]);
  posix_spawn_file_actions_addclose (&actions, pipe_fds[1]);
  ck_assert_int_eq (
      posix_spawn (&child->pid, path, &actions, NULL, argv, environ), 0);
  posix_spawn_file_actions_destroy (&actions);
  close (pipe_fds[1]);
  child->port = read_port (pipe_fds[0]);
  snprintf (child->address, sizeof child->address, "127.0.0.1:%u",
            child->port);
}

void
platform_child_stop (platform_child_t *child)
{
  if (child->pid == 0)
    return;
  kill (child->pid, SIGKILL);
  waitpid (child->pid, NULL, 0);
  child->pid = 0;
}
