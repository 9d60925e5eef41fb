#ifndef BENCH_CONTROL_SIM_H
#define BENCH_CONTROL_SIM_H

#include <stddef.h>

#include "ibisgate/net/codec.h"

/* Members and workers are spread over this many data centres, number modulo. */
#define SIM_DCS 3

/** sim_worker_name - name of worker @index in the platform's list */
void sim_worker_name(int index, char *out, size_t size);

/**
 * sim_loads_report - what member @self of the instance's data centre relays in its @turn
 * @ids: the live instances of that data centre
 */
void sim_loads_report(struct peer_loads *l, const char (*ids)[MEMBER_ID_MAX], int count, int self,
		      int workers, int turn);

/** sim_loads_summary - what the delegate of data centre @dc tells the others in its @turn */
void sim_loads_summary(struct peer_loads *l, int dc, int workers, int turn);

#endif
