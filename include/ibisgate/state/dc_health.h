#ifndef IBISGATE_STATE_DC_HEALTH_H
#define IBISGATE_STATE_DC_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct dc_health - moving average of failed attempts at the endpoints of one data centre
 * @unreachable_share: share of attempts that did not connect, 0 to 1, as of @at_ms
 * @at_ms: time of the last attempt
 */
struct dc_health {
	double unreachable_share;
	int64_t at_ms;
};

/**
 * dc_health_record - record an attempt at an endpoint of the data centre
 * @reached: the endpoint answered; false if it could not even be connected to
 */
void dc_health_record(struct dc_health *h, bool reached, int64_t now_ms);

/**
 * dc_health_unreachable_share - share of attempts that did not connect, as of @now_ms
 *
 * When a data centre with dozens of engines is cut off, this keeps requests from being routed to
 * its engines for their cached prefixes. Without it, each engine there has to fail on its own
 * first, which uses up the retry budget. The share decays with time, because no attempts are made
 * while it is high.
 */
double dc_health_unreachable_share(const struct dc_health *h, int64_t now_ms);

/**
 * dc_health_may_be_cut_off - whether the path to the data centre may have failed in the last
 * seconds
 *
 * Connections from before may be dead. A request on one of them is noticed late, and may arrive
 * after the path is back although it was abandoned; a new connection fails before anything is sent.
 */
bool dc_health_may_be_cut_off(const struct dc_health *h, int64_t now_ms);

#endif
