#include "faults.h"
#include "ibisgate/common/clock.h"

#define TICK_MS 10
#define ENGINE_BACK_MS 1000
#define READY_MS 20000

/* Engines that ended start again, as the platform would start them. */
static int endpoints_tick(struct faults *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (e->process->pid && harness_wait(e->process, 0) == 0)
			r->restart_ms[i] = now + ENGINE_BACK_MS;
		if (e->process->pid || now < r->restart_ms[i])
			continue;
		pthread_mutex_lock(&r->lock);
		if (harness_endpoint_start(r->fleet, i, err) < 0) {
			pthread_mutex_unlock(&r->lock);
			return -1;
		}
		pthread_mutex_unlock(&r->lock);
		faults_arm(r, i);
	}
	return 0;
}

static int faults_tick(struct faults *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fault_count; i++) {
		struct fault *f = &r->faults[i];

		if (!f->begun && now >= f->at_ms) {
			f->begun = true;
			if (faults_apply(r, f, true, err) < 0)
				return -1;
		}
		if (f->begun && !f->ended && now >= f->end_ms) {
			f->ended = true;
			if (faults_apply(r, f, false, err) < 0)
				return -1;
		}
	}
	return 0;
}

static void heal(struct faults *r)
{
	faults_set(r, r->fleet->proxy,
		   json_pack("{s:s, s:s, s:i}", "route", "*", "mode", "pass", "delay_ms", 0));
	faults_set(r, r->fleet->platform,
		   json_pack("{s:b, s:i, s:f}", "down", 0, "delay_ms", 0, "drop_reply", 0.0));
	r->heal_ms = clock_wall_ms();
}

static int tick(struct faults *r, struct error *err)
{
	int64_t now = clock_wall_ms() - r->start_ms;

	if (faults_tick(r, now, err) < 0 || endpoints_tick(r, now, err) < 0 ||
	    faults_graceful_tick(r, err) < 0)
		return -1;
	clock_sleep_ms(TICK_MS);
	return 0;
}

int faults_play(struct faults *r, struct error *err)
{
	int64_t end = r->length_ms + FAULTS_TAIL_MS;

	r->start_ms = clock_wall_ms();
	while (clock_wall_ms() - r->start_ms < end) {
		if (tick(r, err) < 0)
			return -1;
		if (!r->heal_ms && clock_wall_ms() - r->start_ms >= r->length_ms)
			heal(r);
	}
	pthread_join(r->load_thread, NULL);
	for (int i = 0; i < r->thread_count; i++)
		pthread_join(r->threads[i], NULL);
	for (int i = 0; i < 200; i++) {
		if (tick(r, err) < 0)
			return -1;
	}
	return harness_ready(r->fleet, READY_MS, err);
}
