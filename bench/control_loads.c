#include <stdio.h>

#include "control_sim.h"
#include "ibisgate/state/relay.h"

#define INITIAL_TURNS 3
#define REPEAT_INTERVAL_TURNS 4
#define LOAD_AGE_MS 500

static struct peer_engine_info worker_fact(int worker)
{
	struct peer_engine_info f = {
		.role = ROLE_MIXED,
		.age_ms = LOAD_AGE_MS,
		.decode_slots = 32,
		.cost = { 10000, 10000000, 200000, 2000 },
		.model = "M",
		.boot_id = "b1",
	};
	char name[16];

	sim_worker_name(worker, name, sizeof(name));
	f.tag = peer_tag(name, 0);
	return f;
}

void sim_loads_report(struct peer_loads *l, const char (*ids)[MEMBER_ID_MAX], int count, int self,
		      int workers, int turn)
{
	for (int i = 0; i < workers && workers > RELAY_ENGINES_MIN; i++) {
		struct peer_engine_info f = worker_fact(i);
		char name[16];

		sim_worker_name(i, name, sizeof(name));
		if (i % SIM_DCS != 0 || relay_poller(name, ids, count) != self ||
		    l->load_count == PEER_LOADS_MAX)
			continue;
		if (turn < INITIAL_TURNS && l->fact_count < PEER_ENGINE_INFOS_MAX)
			l->facts[l->fact_count++] = f;
		l->loads[l->load_count++] = (struct peer_load){
			.tag = f.tag,
			.fact = peer_engine_info_digest(&f),
			.age_ms = LOAD_AGE_MS,
			.role = ROLE_MIXED,
		};
	}
}

void sim_loads_summary(struct peer_loads *l, int dc, int workers, int turn)
{
	struct peer_engine_info f = worker_fact(0);
	int n = 0;

	snprintf(l->dc, sizeof(l->dc), "d%d", dc);
	for (int i = dc; i < workers; i += SIM_DCS, n++) {
		bool repeat = turn % REPEAT_INTERVAL_TURNS == 0 &&
			      n == turn / REPEAT_INTERVAL_TURNS % (workers / SIM_DCS + 1);

		if ((turn < INITIAL_TURNS || repeat) && l->fact_count < PEER_ENGINE_INFOS_MAX)
			l->facts[l->fact_count++] = worker_fact(i);
	}
	if (!n || workers <= RELAY_ENGINES_MIN)
		return;
	l->means[l->mean_count++] = (struct peer_mean_load){
		.model = "M",
		.role = ROLE_MIXED,
		.count = (uint32_t)n,
		.age_ms = LOAD_AGE_MS,
		.decode_slots = f.decode_slots,
		.cost = f.cost,
	};
}
