#ifndef IBISGATE_DAEMON_ADMIN_H
#define IBISGATE_DAEMON_ADMIN_H

#include "ibisgate/daemon/gate.h"

/** admin_create - start the operators' HTTP listener on settings.admin.listen; NULL with @err */
struct admin *admin_create(struct gate *gate, struct error *err);

/** admin_port - TCP port that the listener is bound to */
int admin_port(const struct admin *a);
void admin_destroy(struct admin *a);

#endif
