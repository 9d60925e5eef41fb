#ifndef IBISGATE_STATE_RELAY_H
#define IBISGATE_STATE_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

/* Above this number of engines, each engine is polled by one instance, which relays its reports. */
#define RELAY_ENGINES_MIN 64
/* Interval between two relayed reports of an engine. */
#define RELAY_INTERVAL_MS 1000
/* An engine is polled directly if its last report is this old. */
#define RELAY_REPORT_MAX_AGE_MS 3000
/*
 * Limit on direct polls. Each costs 400 bytes, so an instance that hears from no other one stays
 * within its traffic budget, and 1,500 engines are not polled by all instances at the same time.
 */
#define RELAY_DIRECT_POLLS_PER_S 16

/**
 * relay_poller - choose the instance that polls @engine, by rendezvous hashing
 *
 * Return: its index in @ids; -1 when @count is 0.
 */
int relay_poller(const char *engine, const char (*ids)[MEMBER_ID_MAX], int count);

/** struct relay_budget - token bucket for direct polls; a zeroed bucket starts full */
struct relay_budget {
	double tokens;
	int64_t at_ms;
};

/**
 * enum relay_poll - why to poll an engine
 * @RELAY_POLL_NONE: no poll
 * @RELAY_POLL_OWN: the region is small, or this instance is the engine's poller
 * @RELAY_POLL_EVIDENCE: a suspected crash of the engine has to be confirmed or refuted
 * @RELAY_POLL_STALE: the last report is too old or unusable
 */
enum relay_poll {
	RELAY_POLL_NONE,
	RELAY_POLL_OWN,
	RELAY_POLL_EVIDENCE,
	RELAY_POLL_STALE,
};

/**
 * struct relay_view - input for the decision whether this instance polls an engine now
 * @engines: number of engines in the region's list
 * @is_poller: this instance is the poller of the engine
 * @crash_unconfirmed: this instance has an unconfirmed crash of the engine
 * @report_unusable: no report has contained a boot id, or the engine has died since its last report
 * @report_ms: time of the last report, polled here or relayed; 0 for none
 * @last_poll_ms: when this instance last polled the engine; 0 for never
 */
struct relay_view {
	int engines;
	bool is_poller;
	bool crash_unconfirmed;
	bool report_unusable;
	int64_t report_ms;
	int64_t last_poll_ms;
};

/** relay_poll_decide - whether and why to poll an engine; only RELAY_POLL_STALE uses a token of @b
 */
enum relay_poll relay_poll_decide(const struct relay_view *v, struct relay_budget *b,
				  int64_t now_ms);

#endif
