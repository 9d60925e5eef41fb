#ifndef IBISGATE_TESTS_PLACE_COSTS_H
#define IBISGATE_TESTS_PLACE_COSTS_H

extern "C" {
#include "ibisgate/policy/place.h"
}

/* The default settings of [place]. */
const struct place_costs PLACE_COSTS = {
	.remote_ms = 12,
	.handoff_ms = 15,
	.fetch_ms = 8,
	.move_token_ms = 0.002,
	.home_ms = 60,
	.work_weight = 0.5,
	.disturb_weight = 0.15,
};

#endif
