#include "wire/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>

/* Split TEXT at the last colon into HOST, without brackets, and *PORT.  Return
   false when either part is missing or not valid.  */
static bool
split_host_port (str_t text, char *host, size_t host_size, uint16_t *port)
{
  size_t colon = text.len;
  uint64_t number;

  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  if (colon < 2)
    return false;
  str_t name = str_make (text.ptr, colon - 1);
  if (name.ptr[0] == '[' && name.ptr[name.len - 1] == ']')
    name = str_make (name.ptr + 1, name.len - 2);
  if (name.len >= host_size
      || !str_to_u64 (str_make (text.ptr + colon, text.len - colon), &number)
      || number > UINT16_MAX)
    return false;
  memcpy (host, name.ptr, name.len);
  host[name.len] = '\0';
  *port = (uint16_t)number;
  return true;
}

bool
addr_parse (str_t text, struct sockaddr_storage *addr, socklen_t *len)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)addr;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)addr;
  char host[INET6_ADDRSTRLEN];
  uint16_t port;

  if (!split_host_port (text, host, sizeof host, &port))
    return false;
  memset (addr, 0, sizeof *addr);
  if (inet_pton (AF_INET, host, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *len = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, host, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      *len = sizeof *v6;
      return true;
    }
  return false;
}

bool
addr_is_valid (str_t text)
{
  struct sockaddr_storage addr;
  socklen_t len;

  /* sin_port and sin6_port have the same offset.  */
  return addr_parse (text, &addr, &len)
         && ((struct sockaddr_in *)&addr)->sin_port != 0;
}

bool
addr_listen (uv_tcp_t *listener, str_t address, int backlog,
             uv_connection_cb cb, uint16_t *port)
{
  struct sockaddr_storage addr;
  socklen_t len;
  int bound = sizeof addr;

  if (!addr_parse (address, &addr, &len)
      || uv_tcp_bind (listener, (struct sockaddr *)&addr, 0) != 0
      || uv_listen ((uv_stream_t *)listener, backlog, cb) != 0
      || uv_tcp_getsockname (listener, (struct sockaddr *)&addr, &bound) != 0)
    return false;
  /* sin_port and sin6_port have the same offset.  */
  *port = ntohs (((struct sockaddr_in *)&addr)->sin_port);
  return true;
}
