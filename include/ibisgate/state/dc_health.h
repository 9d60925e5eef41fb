#ifndef IBISGATE_STATE_DC_HEALTH_H
#define IBISGATE_STATE_DC_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct dc_health - whether the endpoints of a data centre can be reached
 * @share: moving share of attempts that reached nothing, 0 to 1, as of @at_ms
 */
struct dc_health {
	double share;
	int64_t at_ms;
};

/** dc_health_note - an attempt at one of its endpoints was answered, or not even connected */
void dc_health_note(struct dc_health *h, bool reached, int64_t now_ms);

/**
 * dc_health_share - share of attempts that reach nothing, by now
 *
 * Load: a data centre is cut off, with dozens of engines that keep what others ask for. Without it
 * each engine there has to fail by itself before its requests stay at home, and the allowance for
 * repeated sends is used up meanwhile. Decays by itself, since nothing is tried while it is high.
 */
double dc_health_share(const struct dc_health *h, int64_t now_ms);

#endif
