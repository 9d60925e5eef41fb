#ifndef IBISGATE_STATE_RELAY_H
#define IBISGATE_STATE_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

/* Above this number of engines each is polled by one instance, which relays its reports. */
#define RELAY_ENGINES_MIN 64
/* Time between two relayed reports of an engine. */
#define RELAY_MS 1000
/* An engine without a report of this age or younger is polled directly. */
#define RELAY_FRESH_MS 3000
/*
 * Direct polls a second. They cost 400 bytes each, so that an instance that hears no other one
 * stays below its budget, and 1,500 workers are not polled by all instances at once.
 */
#define RELAY_DIRECT_PER_S 16

/** relay_poller - index in @ids of the instance that polls @engine; -1 when there is none */
int relay_poller(const char *engine, const char (*ids)[MEMBER_ID_MAX], int count);

/** struct relay_budget - tokens for direct polls; starts full when zeroed */
struct relay_budget {
	double tokens;
	int64_t at_ms;
};

enum relay_poll {
	RELAY_POLL_NONE,
	RELAY_POLL_OWN,
	RELAY_POLL_EVIDENCE,
	RELAY_POLL_STALE,
};

/**
 * struct relay_view - what decides whether this instance polls one engine now
 * @engines: engines in the region's list
 * @mine: this instance is the poller of the engine
 * @awaited: evidence about a crash of the engine is awaited here
 * @unknown: never reported with a boot id, or died since its last report
 * @report_ms: time of the last report, own or relayed; 0 for none
 * @asked_ms: when this instance last polled the engine; 0 for never
 */
struct relay_view {
	int engines;
	bool mine;
	bool awaited;
	bool unknown;
	int64_t report_ms;
	int64_t asked_ms;
};

/** relay_decide - whether and why to poll; takes from @b for RELAY_POLL_STALE only */
enum relay_poll relay_decide(const struct relay_view *v, struct relay_budget *b, int64_t now_ms);

#endif
