#ifndef IBISGATE_COMMON_SUPERVISOR_H
#define IBISGATE_COMMON_SUPERVISOR_H

#include <stdbool.h>

#include "ibisgate/common/error.h"

/**
 * struct child_spec - one supervised thread
 * @name: short name, also the thread's name
 * @run: body; rebuilds its state at entry; returns 0 on a requested stop, -1 with @err on failure
 * @ctx: passed to @run
 * @control: true if its processor time counts as control work (METRIC_CONTROL_CPU_US)
 *
 * @run polls child_stopping() at least every 200 ms.
 */
struct child_spec {
	const char *name;
	int (*run)(void *ctx, struct error *err);
	void *ctx;
	bool control;
};

struct supervisor;

/**
 * supervisor_create - supervisor that restarts failing children
 * @max_restarts: restarts of all children allowed within @window_ms
 * @window_ms: window in milliseconds
 * @give_up: called once from a child's thread when the limit is passed
 * @ctx: passed to @give_up
 */
struct supervisor *supervisor_create(int max_restarts, int window_ms, void (*give_up)(void *ctx),
				     void *ctx);

/** supervisor_start - start a child; children stop in reverse order of their start */
void supervisor_start(struct supervisor *sup, const struct child_spec *spec);

/** supervisor_stop - ask all children to end and wait for them */
void supervisor_stop(struct supervisor *sup);
void supervisor_destroy(struct supervisor *sup);

/** child_stopping - true once the child of the calling thread has been asked to end */
bool child_stopping(void);

/** child_sleep_ms - sleep up to @ms, cut short by a stop; returns child_stopping() */
bool child_sleep_ms(int ms);

/**
 * child_account_cpu - publish the processor time of the calling control thread
 *
 * Control children call this once per loop; others need not.
 */
void child_account_cpu(void);

#endif
