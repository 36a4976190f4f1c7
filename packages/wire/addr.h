/* Parsing of numeric socket addresses and listening on them.  */

#ifndef WIRE_ADDR_H
#define WIRE_ADDR_H

#include "base/str.h"

#include <sys/socket.h>
#include <uv.h>

/* Parse TEXT, a numeric HOST:PORT or [HOST]:PORT, into ADDR and set *LEN to
   the length of the socket address.  Return false when TEXT has neither
   form.  */
bool addr_parse (str_t text, struct sockaddr_storage *addr, socklen_t *len);

/* Return whether a connection to TEXT, a numeric HOST:PORT, can be tried.  */
bool addr_is_valid (str_t text);

/* Bind LISTENER to ADDRESS, listen with CB as the connection callback and set
   *PORT to the bound port.  Return false when ADDRESS is not valid or cannot
   be bound.  */
bool addr_listen (uv_tcp_t *listener, str_t address, int backlog,
                  uv_connection_cb cb, uint16_t *port);

#endif
