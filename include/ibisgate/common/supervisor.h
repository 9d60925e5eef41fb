#ifndef IBISGATE_COMMON_SUPERVISOR_H
#define IBISGATE_COMMON_SUPERVISOR_H

#include <stdbool.h>

#include "ibisgate/common/error.h"

/**
 * struct child_spec - one supervised thread
 * @name: short name, also the thread's name
 * @run: thread body; rebuilds its state each time it starts; returns 0 on a requested stop, -1 with
 *       @err set on failure
 * @ctx: argument of @run
 * @is_control: true if its CPU time is added to METRIC_CONTROL_CPU_US
 * @wake: called from the stopping thread once child_is_stopping() is true, if @run waits for
 *	something else; may be NULL
 *
 * @run must poll child_is_stopping() at least every 200 ms while @wake can't end its wait.
 */
struct child_spec {
	const char *name;
	int (*run)(void *ctx, struct error *err);
	void *ctx;
	bool is_control;
	void (*wake)(void *ctx);
};

struct supervisor;

/**
 * supervisor_create - create a supervisor, which restarts children that fail
 * @max_restarts: restarts allowed within @window_ms, counted over all children
 * @window_ms: length of the sliding window in milliseconds
 * @give_up: called once, from a child's thread, when the limit is exceeded
 * @ctx: argument of @give_up
 */
struct supervisor *supervisor_create(int max_restarts, int window_ms, void (*give_up)(void *ctx),
				     void *ctx);

/** supervisor_start - start a child; children are stopped in the reverse order of their start */
void supervisor_start(struct supervisor *sup, const struct child_spec *spec);

/** supervisor_stop - ask all children to stop and wait until they have ended */
void supervisor_stop(struct supervisor *sup);
void supervisor_destroy(struct supervisor *sup);

/** child_is_stopping - true once the calling thread's child has been asked to stop */
bool child_is_stopping(void);

/** child_sleep_ms - sleep for @ms, or until asked to stop; returns child_is_stopping() */
bool child_sleep_ms(int ms);

/**
 * child_account_cpu - add the calling thread's CPU time to METRIC_CONTROL_CPU_US
 *
 * Control children call this once per loop iteration. It has no effect in other children.
 */
void child_account_cpu(void);

#endif
