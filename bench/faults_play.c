#include "faults.h"
#include "ibisgate/common/clock.h"

#define TICK_MS 10
#define ENGINE_RESTART_MS 1000
#define READY_TIMEOUT_MS 20000

/* Restarts endpoints ENGINE_RESTART_MS after they have exited, as the platform does. */
static int endpoints_restart(struct fault_run *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (e->process->pid && harness_process_wait(e->process, 0) == 0)
			r->endpoint_restart_ms[i] = now + ENGINE_RESTART_MS;
		if (e->process->pid || now < r->endpoint_restart_ms[i])
			continue;
		pthread_mutex_lock(&r->lock);
		if (harness_endpoint_start(r->fleet, i, err) < 0) {
			pthread_mutex_unlock(&r->lock);
			return -1;
		}
		pthread_mutex_unlock(&r->lock);
		faults_crash_marker_set(r, i);
	}
	return 0;
}

static int schedule_tick(struct fault_run *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fault_count; i++) {
		struct fault *f = &r->faults[i];

		if (!f->has_begun && now >= f->at_ms) {
			f->has_begun = true;
			if (faults_apply(r, f, true, err) < 0)
				return -1;
		}
		if (f->has_begun && !f->has_ended && now >= f->end_ms) {
			f->has_ended = true;
			if (faults_apply(r, f, false, err) < 0)
				return -1;
		}
	}
	return 0;
}

static void faults_clear(struct fault_run *r)
{
	faults_inject(r, r->fleet->proxy,
		      json_pack("{s:s, s:s, s:i}", "route", "*", "mode", "pass", "delay_ms", 0));
	faults_inject(r, r->fleet->platform,
		      json_pack("{s:b, s:i, s:f}", "down", 0, "delay_ms", 0, "drop_reply", 0.0));
	r->faults_end_ms = clock_wall_ms();
}

static int run_tick(struct fault_run *r, struct error *err)
{
	int64_t now = clock_wall_ms() - r->start_ms;

	if (schedule_tick(r, now, err) < 0 || endpoints_restart(r, now, err) < 0 ||
	    faults_graceful_stops_poll(r, err) < 0)
		return -1;
	clock_sleep_ms(TICK_MS);
	return 0;
}

int faults_schedule_run(struct fault_run *r, struct error *err)
{
	int64_t end = r->schedule_ms + FAULTS_TAIL_MS;

	r->start_ms = clock_wall_ms();
	while (clock_wall_ms() - r->start_ms < end) {
		if (run_tick(r, err) < 0)
			return -1;
		if (!r->faults_end_ms && clock_wall_ms() - r->start_ms >= r->schedule_ms)
			faults_clear(r);
	}
	pthread_join(r->load_thread, NULL);
	for (int i = 0; i < r->thread_count; i++)
		pthread_join(r->threads[i], NULL);
	for (int i = 0; i < 200; i++) {
		if (run_tick(r, err) < 0)
			return -1;
	}
	return harness_wait_ready(r->fleet, READY_TIMEOUT_MS, err);
}
