#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/standins/engine.h"

#define PREFILL_CHUNK_TOKENS 512
/* Limit of admitted requests per decode slot; further requests are refused as "full". */
#define REQUESTS_PER_SLOT 4
/* If the process pauses for longer, simulated time skips ahead instead of catching up. */
#define CATCH_UP_MAX_US 500000

/** struct sched_step - scheduler iteration: an optional prefill chunk and decode step */
struct sched_step {
	struct seq *prefill;
	int64_t prefill_tokens;
	int decode_seqs;
	int64_t duration_us;
};

void engine_crash(const char *reason)
{
	log_warn("crash", "reason=%s", reason);
	_exit(ENGINE_CRASH_STATUS);
}

static void seq_notify(struct seq *s, int64_t tokens, bool finished)
{
	pthread_mutex_lock(&s->lock);
	s->tokens_ready += tokens;
	s->finished |= finished;
	pthread_cond_signal(&s->changed);
	pthread_mutex_unlock(&s->lock);
}

static struct seq *prefill_choose(const struct engine *e)
{
	struct seq *best = NULL;

	for (struct seq *s = e->seqs; s; s = s->next) {
		if (s->stage == SEQ_PREFILL && (!best || s->priority < best->priority))
			best = s;
	}
	return best;
}

static void prefill_start(struct engine *e, struct seq *s)
{
	int64_t cached;

	if (e->faults.crash_marker[0] && strstr(s->prompt, e->faults.crash_marker))
		engine_crash("marker");
	cached = (int64_t)engine_cache_match(e, s) * ENGINE_PIECE_TOKENS;
	s->started = true;
	s->prefill_left = s->prompt_tokens > cached ? s->prompt_tokens - cached : 0;
	e->stats.cached_tokens += s->prompt_tokens - s->prefill_left;
	e->stats.prefill_tokens += s->prefill_left;
}

static void slots_fill(struct engine *e)
{
	while (e->running < e->opt.slots) {
		struct seq *best = NULL;

		for (struct seq *s = e->seqs; s; s = s->next) {
			if (s->stage == SEQ_WAIT_SLOT && (!best || s->priority < best->priority))
				best = s;
		}
		if (!best)
			return;
		if (best->tokens_left == 0) {
			best->stage = SEQ_FINISHED;
			seq_notify(best, 0, true);
			continue;
		}
		best->stage = SEQ_RUNNING;
		e->running++;
	}
}

static void prefill_finish(struct engine *e, struct seq *s)
{
	engine_cache_store(e, s);
	if (s->tokens_left > 0) {
		s->stage = SEQ_WAIT_SLOT;
		return;
	}
	s->stage = SEQ_FINISHED;
	seq_notify(s, 0, true);
}

static bool step_plan(struct engine *e, struct sched_step *step)
{
	double us = 0;

	*step = (struct sched_step){ 0 };
	slots_fill(e);
	step->prefill = prefill_choose(e);
	step->decode_seqs = e->running;
	if (!step->prefill && !step->decode_seqs)
		return false;
	if (step->prefill) {
		struct seq *s = step->prefill;

		if (!s->started)
			prefill_start(e, s);
		step->prefill_tokens = s->prefill_left < PREFILL_CHUNK_TOKENS
					       ? s->prefill_left
					       : PREFILL_CHUNK_TOKENS;
		if (e->opt.prefill_rate > 0)
			us += (double)step->prefill_tokens * 1e6 / (double)e->opt.prefill_rate;
	}
	if (step->decode_seqs)
		us += (double)(e->opt.step_base_us + e->opt.step_per_seq_us * step->decode_seqs);
	step->duration_us = (int64_t)(us * e->faults.slow_factor);
	return true;
}

static bool seq_is_listed(const struct engine *e, const struct seq *candidate)
{
	for (const struct seq *s = e->seqs; s; s = s->next) {
		if (s == candidate)
			return true;
	}
	return false;
}

static void decode_step(struct engine *e)
{
	for (struct seq *s = e->seqs; s; s = s->next) {
		if (s->stage != SEQ_RUNNING)
			continue;
		s->tokens_left--;
		e->stats.tokens++;
		if (s->tokens_left == 0) {
			s->stage = SEQ_FINISHED;
			e->running--;
		}
		seq_notify(s, 1, s->tokens_left == 0);
	}
}

static void step_apply(struct engine *e, const struct sched_step *step)
{
	struct seq *s = step->prefill;

	/* The request may have been removed during the step. */
	if (s && seq_is_listed(e, s) && s->stage == SEQ_PREFILL) {
		s->prefill_left -= step->prefill_tokens;
		if (s->prefill_left <= 0)
			prefill_finish(e, s);
	}
	if (step->decode_seqs)
		decode_step(e);
}

static void sched_wait_until(struct engine *e, int64_t deadline_us)
{
	struct timespec ts = mono_timespec(deadline_us);
	int rc = 0;

	while (!e->stopping && rc == 0)
		rc = pthread_cond_timedwait(&e->stop_cond, &e->lock, &ts);
}

void *engine_sched_run(void *engine)
{
	struct engine *e = engine;
	int64_t sim_now_us = mono_now_us();
	struct sched_step step;

	pthread_mutex_lock(&e->lock);
	while (!e->stopping) {
		int64_t now_us;

		if (!step_plan(e, &step)) {
			pthread_cond_wait(&e->work_cond, &e->lock);
			sim_now_us = mono_now_us();
			continue;
		}
		sim_now_us += step.duration_us;
		if (sim_now_us < e->faults.stall_until_us)
			sim_now_us = e->faults.stall_until_us;
		now_us = mono_now_us();
		if (sim_now_us > now_us)
			sched_wait_until(e, sim_now_us);
		else if (now_us - sim_now_us > CATCH_UP_MAX_US)
			sim_now_us = now_us;
		step_apply(e, &step);
	}
	pthread_mutex_unlock(&e->lock);
	return NULL;
}

static bool role_serves(const char *role, const struct seq *s)
{
	if (strcmp(role, "prefill") == 0)
		return s->remote_decode;
	if (strcmp(role, "decode") == 0)
		return s->remote_prefill;
	return true;
}

static const char *admit_check_locked(const struct engine *e, const struct seq *s)
{
	if (e->current_order >= 0)
		return "changing";
	if (s->requested_model && strcmp(s->requested_model, e->model) != 0)
		return "wrong_model";
	if (!role_serves(e->role, s))
		return "wrong_role";
	if (e->in_flight >= e->opt.slots * REQUESTS_PER_SLOT)
		return "full";
	return NULL;
}

const char *engine_seq_admit_check(struct engine *e, const struct seq *s)
{
	const char *refusal;

	pthread_mutex_lock(&e->lock);
	refusal = admit_check_locked(e, s);
	pthread_mutex_unlock(&e->lock);
	return refusal;
}

const char *engine_seq_admit(struct engine *e, struct seq *s)
{
	const char *refusal;

	pthread_mutex_lock(&e->lock);
	refusal = admit_check_locked(e, s);
	if (!refusal) {
		int64_t cached = (int64_t)engine_cache_match(e, s) * ENGINE_PIECE_TOKENS;

		s->stage = s->remote_prefill ? SEQ_WAIT_SLOT : SEQ_PREFILL;
		s->prefill_left = s->prompt_tokens > cached ? s->prompt_tokens - cached : 0;
		s->next = NULL;
		*e->seqs_tail = s;
		e->seqs_tail = &s->next;
		e->in_flight++;
		e->stats.requests++;
		pthread_cond_signal(&e->work_cond);
	}
	pthread_mutex_unlock(&e->lock);
	return refusal;
}

void engine_seq_remove(struct engine *e, struct seq *s)
{
	pthread_mutex_lock(&e->lock);
	for (struct seq **pos = &e->seqs; *pos; pos = &(*pos)->next) {
		if (*pos != s)
			continue;
		*pos = s->next;
		if (!s->next)
			e->seqs_tail = pos;
		break;
	}
	if (s->stage == SEQ_RUNNING)
		e->running--;
	e->in_flight--;
	pthread_mutex_unlock(&e->lock);
}

int engine_seqs_abort(struct engine *e, const char *attempt)
{
	int n = 0;

	for (struct seq *s = e->seqs; s; s = s->next) {
		if (s->stage == SEQ_FINISHED || (attempt && strcmp(s->attempt, attempt) != 0))
			continue;
		if (s->stage == SEQ_RUNNING)
			e->running--;
		s->stage = SEQ_FINISHED;
		pthread_mutex_lock(&s->lock);
		s->aborted = true;
		pthread_cond_signal(&s->changed);
		pthread_mutex_unlock(&s->lock);
		n++;
	}
	return n;
}

uint64_t engine_kv_store(struct engine *e, int64_t tokens)
{
	uint64_t handle = random_u64();

	pthread_mutex_lock(&e->lock);
	e->kv[e->kv_count++ % ENGINE_KV_MAX] = (struct kv_entry){ handle, tokens };
	pthread_mutex_unlock(&e->lock);
	return handle;
}

int64_t engine_kv_find(struct engine *e, uint64_t handle)
{
	int64_t tokens = -1;

	pthread_mutex_lock(&e->lock);
	for (int64_t i = 0; i < ENGINE_KV_MAX && i < e->kv_count; i++) {
		if (e->kv[i].handle == handle)
			tokens = e->kv[i].tokens;
	}
	pthread_mutex_unlock(&e->lock);
	return tokens;
}
