#ifndef IBISGATE_NET_CODEC_REPORT_H
#define IBISGATE_NET_CODEC_REPORT_H

#include <stdint.h>

#define PEER_REPORT_VALUES_MAX 4096

/**
 * enum report_topic - what the numbers of a report describe; each module defines the layout of its
 *	own topic and checks it
 */
enum report_topic {
	/* Requests of organisations that began to run, by window. */
	REPORT_USAGE = 1,
	/* Engine time that callers asked for, by service. */
	REPORT_DEMAND,
	/* Speeds of endpoints. */
	REPORT_SPEED,
	/* How short room is, by service. */
	REPORT_PRESSURE,
	/* Engine time that organisations have used. */
	REPORT_SHARES,
	/* Who holds the duties, and the time that it goes by. */
	REPORT_DUTIES,
	/* What an engine has cached. */
	REPORT_CACHE,
	REPORT_TOPICS,
};

/** struct peer_report - a list of numbers on one topic */
struct peer_report {
	enum report_topic topic;
	int count;
	uint64_t values[PEER_REPORT_VALUES_MAX];
};

#endif
