#include <stdio.h>

#include "ibisgate/standins/engine.h"

void engine_load_sample(struct engine *e)
{
	struct load_sample *sample;

	pthread_mutex_lock(&e->lock);
	if (e->faults.load_frozen) {
		pthread_mutex_unlock(&e->lock);
		return;
	}
	sample = &e->samples[e->sample_count % ENGINE_SAMPLES_MAX];
	*sample = (struct load_sample){
		.at_us = mono_now_us(),
		.decode_seqs = e->running,
		.in_flight = e->in_flight,
		.changing = e->current_order >= 0,
	};
	for (const struct seq *s = e->seqs; s; s = s->next) {
		if (s->stage == SEQ_PREFILL)
			sample->prefill_backlog += s->prefill_left;
		else if (s->stage == SEQ_WAIT_SLOT)
			sample->decode_seqs++;
	}
	str_copy(sample->role, sizeof(sample->role), str_from(e->role));
	str_copy(sample->model, sizeof(sample->model), str_from(e->model));
	e->sample_count++;
	pthread_mutex_unlock(&e->lock);
}

static const struct load_sample *sample_at(const struct engine *e, int64_t at_us)
{
	int64_t first = e->sample_count - ENGINE_SAMPLES_MAX;
	int64_t i = e->sample_count - 1;

	if (first < 0)
		first = 0;
	while (i > first && e->samples[i % ENGINE_SAMPLES_MAX].at_us > at_us)
		i--;
	return &e->samples[i % ENGINE_SAMPLES_MAX];
}

json_t *engine_load_json(struct engine *e)
{
	const struct engine_options *o = &e->opt;
	const struct load_sample *s;
	int64_t at_us = mono_now_us();
	json_t *out;

	pthread_mutex_lock(&e->lock);
	if (e->faults.load_frozen && at_us > e->load_frozen_at_us)
		at_us = e->load_frozen_at_us;
	s = sample_at(e, at_us - o->load_lag_ms * 1000);
	out = json_pack("{s:s,s:s,s:s,s:b,s:I,s:i,s:I,s:I,s:I,s:I,s:I,s:i}", "boot_id", e->boot_id,
			"role", s->role, "model", s->model, "changing", s->changing,
			"prefill_backlog", (json_int_t)s->prefill_backlog, "decode_seqs",
			s->decode_seqs, "decode_slots", (json_int_t)o->slots,
			"prefill_tokens_per_s", (json_int_t)o->prefill_rate, "step_base_us",
			(json_int_t)o->step_base_us, "step_per_seq_us",
			(json_int_t)o->step_per_seq_us, "kv_token_us", (json_int_t)o->kv_token_us,
			"in_flight", s->in_flight);
	pthread_mutex_unlock(&e->lock);
	return out;
}
