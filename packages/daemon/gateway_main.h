/* Main function of a daemon process in the gateway role.  */

#ifndef DAEMON_GATEWAY_MAIN_H
#define DAEMON_GATEWAY_MAIN_H

#include "conf/settings.h"

/* Run a gateway with SETTINGS, which were read from the file PATH, until a
   planned stop is complete.  Return the exit status of the process.  */
int gateway_main (const settings_t *settings, const char *path);

#endif
