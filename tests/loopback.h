/* Listening sockets on loopback for tests.  */

#ifndef TESTS_LOOPBACK_H
#define TESTS_LOOPBACK_H

#include <check.h>
#include <uv.h>

/* Initialize LISTENER, set its data pointer to DATA, bind LISTENER to PORT, or
   to a free port if PORT is 0, and return the port.  */
static inline uint16_t
loopback_bind_port (uv_loop_t *loop, uv_tcp_t *listener, void *data,
                    uint16_t port)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  uv_ip4_addr ("127.0.0.1", port, &addr);
  uv_tcp_init (loop, listener);
  listener->data = data;
  ck_assert_int_eq (uv_tcp_bind (listener, (struct sockaddr *)&addr, 0), 0);
  uv_tcp_getsockname (listener, (struct sockaddr *)&addr, &len);
  return ntohs (addr.sin_port);
}

/* As loopback_bind_port, with a free port.  */
static inline uint16_t
loopback_bind (uv_loop_t *loop, uv_tcp_t *listener, void *data)
{
  return loopback_bind_port (loop, listener, data, 0);
}

/* As loopback_bind, and listen with CB as the connection callback.  */
static inline uint16_t
loopback_listen (uv_loop_t *loop, uv_tcp_t *listener, void *data,
                 uv_connection_cb cb)
{
  uint16_t port = loopback_bind (loop, listener, data);

  ck_assert_int_eq (uv_listen ((uv_stream_t *)listener, SOMAXCONN, cb), 0);
  return port;
}

#endif
