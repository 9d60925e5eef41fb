#ifndef BENCH_CONTROL_SIM_H
#define BENCH_CONTROL_SIM_H

#include <stddef.h>

#include "ibisgate/net/codec.h"

/* Member or worker i belongs to data centre i modulo SIM_DCS. */
#define SIM_DCS 3

/** sim_worker_name - name of worker @index in the platform's list */
void sim_worker_name(int index, char *out, size_t size);

/**
 * sim_loads_report - fill in the load report that a member of the instance's data centre relays
 * @ids: live instances of that data centre
 * @self: index of the member in @ids
 * @turn: number of reports that the member has sent before
 */
void sim_loads_report(struct peer_loads *l, const char (*ids)[MEMBER_ID_MAX], int count, int self,
		      int workers, int turn);

/** sim_loads_summary - fill in the load summary that the delegate of data centre @dc sends */
void sim_loads_summary(struct peer_loads *l, int dc, int workers, int turn);

#endif
