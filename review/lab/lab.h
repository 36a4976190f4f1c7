/* Stand-ins for the review's scripts: the platform's store, runners, consumers
   and the platform that starts gateway processes.  All of them use loopback
   addresses and the real clock.  Each connection has a thread.  */

#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_COULD_NOT_RUN = 2,
  LAB_ID_MAX = 64
};

/* Time in ms of the monotonic clock since lab_init.  */
double lab_ms (void);
void lab_sleep_ms (double ms);
/* Read TROUBLE from the environment.  RECORD is the path of the record, DIR a
   temporary directory.  The whole run is ended after LIMIT_S seconds.  */
void lab_init (const char *record, const char *dir, unsigned limit_s);
/* Whether the disruption takes place.  */
bool lab_trouble (void);
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* End the processes that were started, and exit.  */
void lab_exit (int status) __attribute__ ((noreturn));
/* Listen on a free loopback port.  Return the socket.  */
int lab_listen (int *port);
int lab_free_port (void);
int lab_connect (int port);
bool lab_send (int fd, const char *bytes, size_t len);
/* Let the end of the channel of FD be a reset.  */
void lab_reset_channel (int fd);
/* Reset the channel of FD now.  */
void lab_abort_channel (int fd);

/* An HTTP message as it was read.  */
typedef struct
{
  char *head; /* NUL-terminated, with the empty line.  */
  char *body;
  size_t body_len;
  int status;       /* Of a response.  */
  bool is_complete; /* The body is complete by its framing.  */
  bool is_closed;   /* The connection ended.  */
} lab_message_t;

/* Read a request or a response from FD.  BODY_RATE: bytes a second at which the
   body is read; 0: as fast as it comes.  Return false if the connection ended
   before the head was complete.  */
bool lab_read_message (int fd, bool is_response, size_t body_rate,
                       lab_message_t *message);
void lab_free_message (lab_message_t *message);
/* Copy the value of header NAME to OUT; return whether it is there.  */
bool lab_header (const lab_message_t *message, const char *name, char *out,
                 size_t size);

/* The platform's store.  */

/* Start the store at a port of its own for the gateway NAME.  All gateways see
   the same rows.  Rows that list gateways have the address of a proxy before
   the gateway.  Return the port.  */
int lab_store_open (const char *name);
/* Cut the gateway NAME off from the store and from the other gateways, or end
   that: channels are reset, new ones too.  The operator, the runners and the
   consumers are not affected.  */
void lab_cut (const char *name, bool is_cut);
/* Write VALUE to row KEY of TABLE, as the operator or a runner does.  Return
   the time of the acknowledgement.  */
double lab_store_put (const char *table, const char *key, const char *value);

/* Runners.  */

typedef struct lab_runner lab_runner_t;

/* Handle REQUEST, which the runner got on FD and that names the runner.  The
   connection is closed afterwards.  */
typedef void (*lab_handler_t) (lab_runner_t *runner, int fd,
                               const lab_message_t *request);

struct lab_runner
{
  char id[LAB_ID_MAX];
  char service[LAB_ID_MAX];
  int port;
  int listener;
  unsigned slots;
  size_t read_rate; /* Bytes a second of request bodies; 0: no limit.  */
  /* The handler gets the request before its body has been read.  */
  bool answers_early;
  bool is_serial; /* Connections are served one after the other.  */
  int window;     /* Bytes of the receive buffers; 0: the system's default.  */
  lab_handler_t handler;
};

/* Start RUNNER and register it in the store every 1,200 ms.  */
void lab_runner_start (lab_runner_t *runner);
/* Send a complete response with STATUS and BODY, bearing the runner's MAC.
   HEADERS, which may be empty, are lines that end with CR LF.  */
void lab_respond (const lab_runner_t *runner, int fd,
                  const lab_message_t *request, int status,
                  const char *headers, const char *body);

/* Gateways: the command of the deploy file with settings rendered from
   deploy/gateway.ini.  */

typedef struct
{
  char name[LAB_ID_MAX];
  pid_t pid;
  int front;
  int ready;
  int admin;
  int rpc;
} lab_gateway_t;

void lab_gateway_start (lab_gateway_t *gateway, const char *name,
                        int store_port);
/* Wait until the readiness probe succeeds; end the run if it does not.  */
void lab_gateway_wait_ready (const lab_gateway_t *gateway);
bool lab_gateway_is_ready (const lab_gateway_t *gateway);
bool lab_gateway_is_running (lab_gateway_t *gateway);
/* Return the resident memory in MB; 0 if there is no such process.  */
double lab_gateway_memory_mb (const lab_gateway_t *gateway);

#endif
