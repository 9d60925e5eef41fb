#include "ibisgate/policy/engine_speed.h"

/* For shorter prompts the fixed overhead is too large a part of the prefill time. */
#define SAMPLE_MIN_TOKENS 1500

/* Weight of one sample in the moving mean, which covers about the last 20 samples. */
#define SAMPLE_WEIGHT 0.05

/* Samples are clamped to this factor above or below the mean, since outliers come from queueing. */
#define SAMPLE_CLAMP_FACTOR 2.0

void engine_speed_add_sample(struct place_speed *speed, const struct engine_speed_sample *s)
{
	double *mean_rate = s->is_prefill_engine ? &speed->prefill_per_ms : &speed->mixed_per_ms;
	double prefill_ms = (double)s->elapsed_ms - speed->overhead_ms;
	double measured_rate;

	if (s->prefilled_tokens < SAMPLE_MIN_TOKENS || s->queue_ahead_tokens > 0 ||
	    s->elapsed_ms <= 0)
		return;
	if (prefill_ms < (double)s->elapsed_ms / 4)
		prefill_ms = (double)s->elapsed_ms / 4;
	measured_rate = (double)s->prefilled_tokens / prefill_ms;
	if (measured_rate > *mean_rate * SAMPLE_CLAMP_FACTOR)
		measured_rate = *mean_rate * SAMPLE_CLAMP_FACTOR;
	if (measured_rate < *mean_rate / SAMPLE_CLAMP_FACTOR)
		measured_rate = *mean_rate / SAMPLE_CLAMP_FACTOR;
	*mean_rate += SAMPLE_WEIGHT * (measured_rate - *mean_rate);
}

double engine_transfer_per_ms(double link_mbps, int64_t token_bytes, double assumed)
{
	double bytes_per_ms = link_mbps * 1e6 / 8 / 1000;

	return link_mbps > 0 && token_bytes > 0 ? bytes_per_ms / (double)token_bytes : assumed;
}
