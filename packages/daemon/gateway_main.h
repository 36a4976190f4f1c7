/* The daemon in the role of a gateway.  */

#ifndef DAEMON_GATEWAY_MAIN_H
#define DAEMON_GATEWAY_MAIN_H

#include "conf/settings.h"

/* Run SETTINGS, read from PATH, to the end of a planned stop.  Return the
   process's exit status.  */
int gateway_main (const settings_t *settings, const char *path);

#endif
