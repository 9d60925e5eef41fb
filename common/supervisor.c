#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <time.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/str.h"
#include "ibisgate/common/supervisor.h"

#define CHILDREN_MAX 32
#define RESTARTS_MAX 64
#define RESTART_DELAY_MS 50

struct child {
	struct child_spec spec;
	struct supervisor *sup;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t stop_cond;
	_Atomic bool is_stopping;
	int64_t cpu_us;
};

struct supervisor {
	struct child children[CHILDREN_MAX];
	int count;
	int max_restarts;
	int window_ms;
	void (*give_up)(void *ctx);
	void *ctx;
	pthread_mutex_t lock;
	int64_t restart_times_ms[RESTARTS_MAX];
	int restart_count;
	bool has_given_up;
};

static _Thread_local struct child *current_child;

struct supervisor *supervisor_create(int max_restarts, int window_ms, void (*give_up)(void *ctx),
				     void *ctx)
{
	struct supervisor *sup = mem_zalloc(sizeof(*sup));

	sup->max_restarts = max_restarts < RESTARTS_MAX ? max_restarts : RESTARTS_MAX - 1;
	sup->window_ms = window_ms;
	sup->give_up = give_up;
	sup->ctx = ctx;
	pthread_mutex_init(&sup->lock, NULL);
	return sup;
}

/* Records a restart; true if the limit is exceeded for the first time. */
static bool restart_limit_exceeded(struct supervisor *sup)
{
	int64_t now_ms = clock_boot_ms();
	bool is_first;
	int kept = 0;

	pthread_mutex_lock(&sup->lock);
	for (int i = 0; i < sup->restart_count; i++) {
		if (now_ms - sup->restart_times_ms[i] < sup->window_ms)
			sup->restart_times_ms[kept++] = sup->restart_times_ms[i];
	}
	if (kept < RESTARTS_MAX)
		sup->restart_times_ms[kept++] = now_ms;
	sup->restart_count = kept;
	is_first = kept > sup->max_restarts && !sup->has_given_up;
	if (is_first)
		sup->has_given_up = true;
	pthread_mutex_unlock(&sup->lock);
	return is_first;
}

static void *child_main(void *arg)
{
	struct child *child = arg;
	struct supervisor *sup = child->sup;

	current_child = child;
	pthread_setname_np(pthread_self(), child->spec.name);
	while (!atomic_load(&child->is_stopping)) {
		struct error err = { 0 };

		if (child->spec.run(child->spec.ctx, &err) == 0)
			break;
		metric_add(METRIC_CHILD_RESTARTS, 1);
		log_error("child-failed", "child=%s error=\"%s\"", child->spec.name, err.text);
		event_record("child-restart", NULL, NULL, NULL, "child=%s", child->spec.name);
		if (restart_limit_exceeded(sup))
			sup->give_up(sup->ctx);
		clock_sleep_ms(RESTART_DELAY_MS);
	}
	return NULL;
}

void supervisor_start(struct supervisor *sup, const struct child_spec *spec)
{
	pthread_condattr_t attr;
	struct child *child;

	if (sup->count == CHILDREN_MAX)
		abort();
	child = &sup->children[sup->count++];
	child->spec = *spec;
	child->sup = sup;
	pthread_mutex_init(&child->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&child->stop_cond, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&child->thread, NULL, child_main, child) != 0)
		abort();
}

void supervisor_stop(struct supervisor *sup)
{
	for (int i = sup->count - 1; i >= 0; i--) {
		struct child *child = &sup->children[i];

		pthread_mutex_lock(&child->lock);
		atomic_store(&child->is_stopping, true);
		pthread_cond_signal(&child->stop_cond);
		pthread_mutex_unlock(&child->lock);
		if (child->spec.wake)
			child->spec.wake(child->spec.ctx);
		pthread_join(child->thread, NULL);
		pthread_cond_destroy(&child->stop_cond);
		pthread_mutex_destroy(&child->lock);
	}
	sup->count = 0;
}

void supervisor_destroy(struct supervisor *sup)
{
	if (!sup)
		return;
	supervisor_stop(sup);
	pthread_mutex_destroy(&sup->lock);
	free(sup);
}

bool child_is_stopping(void)
{
	return current_child && atomic_load(&current_child->is_stopping);
}

bool child_sleep_ms(int ms)
{
	struct timespec deadline = clock_monotonic_after(ms);
	int rc = 0;

	if (!current_child) {
		clock_sleep_ms(ms);
		return false;
	}
	pthread_mutex_lock(&current_child->lock);
	while (!rc && !child_is_stopping())
		rc = pthread_cond_timedwait(&current_child->stop_cond, &current_child->lock,
					    &deadline);
	pthread_mutex_unlock(&current_child->lock);
	return child_is_stopping();
}

void child_account_cpu(void)
{
	struct timespec ts;
	int64_t us;

	if (!current_child || !current_child->spec.is_control)
		return;
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	us = (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
	metric_add(METRIC_CONTROL_CPU_US, us - current_child->cpu_us);
	current_child->cpu_us = us;
}
