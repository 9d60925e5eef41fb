#include <stdio.h>
#include <string.h>

#include "ibisgate/policy/role.h"
#include "mix.h"

#define ORGANISATIONS 5
#define REQUESTS_PER_S 80.0
#define SWING_PHASE_S 30.0
#define QUICK_PHASE_S 15.0
#define FLUTTER_PHASE_S 2.0
/* Offered load as a part of the capacity at the best split of roles. */
#define OFFERED_LOAD 0.9
/* Lower, so that the initial split serves the mean of the phases when only one role is short. */
#define OFFERED_LOAD_FLUTTER 0.85
#define OFFERED_LOAD_FLOOD 0.8
/* Number of prefill engines that is best for the prompt-heavy phases of swing and loss. */
#define PROMPT_HEAVY_PREFILL_ENGINES 13

static const char *const engine_args[] = { "--prefill-rate",
					   "8000",
					   "--step-base-us",
					   "20000",
					   "--step-per-seq-us",
					   "1200",
					   "--slots",
					   "24",
					   "--role-change-ms",
					   "1500",
					   "--load-lag-ms",
					   "2000",
					   "--threads",
					   "112",
					   NULL };

static const struct harness_deployment deployments[] = {
	{ .region = "de-cymru",
	  .dcs = { "abertawe", "caerdydd", "casnewydd", "merthyr" },
	  .instances = 1,
	  .distance_us = 1500 },
	{ .region = "cordillera",
	  .dcs = { "irazu", "poas", "barva" },
	  .instances = 2,
	  .instances_max = 5,
	  .engines_max = MIX_ENGINES,
	  .distance_us = 500 },
};

static const struct harness_engine_spec prefill_spec = { "prefill", true };
static const struct harness_engine_spec decode_spec = { "decode", true };

static double decode_tokens_per_s(void)
{
	return MIX_SLOTS * 1e6 / (MIX_STEP_BASE_US + MIX_STEP_PER_SEQ_US * MIX_SLOTS);
}

/*
 * Adds a phase whose prompt and output lengths use the part @offered of the capacity of @prefill
 * prefill engines and of the remaining engines in the decode role.
 */
static void phase_add(struct scenario *s, double start_s, double prefill, double offered)
{
	struct scenario_phase *p = &s->phases[s->phase_count++];

	*p = (struct scenario_phase){ .start_s = start_s, .rate = REQUESTS_PER_S };
	snprintf(p->name, sizeof(p->name), "%.1f-prefill", prefill);
	p->prompt_tokens = prefill * MIX_PREFILL_TOKENS_PER_S * offered / REQUESTS_PER_S;
	p->output_tokens =
		(MIX_ENGINES - prefill) * decode_tokens_per_s() * offered / REQUESTS_PER_S;
}

static void organisations_add(struct scenario *s)
{
	for (int i = 0; i < ORGANISATIONS; i++) {
		struct scenario_organisation *o = &s->organisations[s->organisation_count++];

		*o = (struct scenario_organisation){ .weight = 1, .arrival_factor = 1 };
		snprintf(o->name, sizeof(o->name), "firm-%d", i);
		snprintf(o->key, sizeof(o->key), MIX_KEY_PREFIX "%d", i);
	}
}

static void deployment_set(struct mix_plan *plan, int deployment)
{
	int n = 0;

	plan->deployment = deployments[deployment - 1];
	plan->deployment.engine_args = engine_args;
	/* Fewer threads than by default, so that three deployments fit on one machine. */
	plan->deployment.settings = "[http]\nthreads = 320";
	if (deployment == 1) {
		/* Each of four data centres has 2 prefill and 3 decode engines. */
		plan->prefill = 8;
		for (int i = 0; i < 5; i++)
			plan->engines[n++] = i < 2 ? prefill_spec : decode_spec;
	} else {
		/*
		 * Each of three data centres has 3 prefill and 4 decode engines, except that the
		 * last one has one decode engine less.
		 */
		plan->prefill = 9;
		for (int i = 0; i < 7; i++)
			plan->engines[n++] = i < 3 ? prefill_spec : decode_spec;
	}
	plan->deployment.engines = plan->engines;
}

static void swing_set(struct mix_plan *plan, int phases, double phase_s)
{
	for (int i = 0; i < phases; i++)
		phase_add(&plan->scenario, i * phase_s,
			  i % 2 ? PROMPT_HEAVY_PREFILL_ENGINES : plan->prefill, OFFERED_LOAD);
	plan->duration_s = phases * phase_s;
}

static void flutter_set(struct mix_plan *plan, double duration_s)
{
	int phases = (int)(duration_s / FLUTTER_PHASE_S);

	for (int i = 0; i < phases; i++)
		phase_add(&plan->scenario, i * FLUTTER_PHASE_S,
			  plan->prefill + (i % 2 ? 1.5 : -1.5), OFFERED_LOAD_FLUTTER);
	plan->duration_s = phases * FLUTTER_PHASE_S;
}

bool mix_plan_init(struct mix_plan *plan, int deployment, const char *mix, bool quick)
{
	double phase_s = quick ? QUICK_PHASE_S : SWING_PHASE_S;
	struct scenario *s = &plan->scenario;

	if (deployment < 1 || deployment > 2)
		return false;
	*plan = (struct mix_plan){ .name = mix, .flooder = -1 };
	scenario_defaults(s);
	s->phase_count = 0;
	s->seed = 20;
	/*
	 * Streams have a tenth of their usual length, so their lengths have to vary less for them
	 * to fit into the phases.
	 */
	s->size_sigma = 0.3;
	organisations_add(s);
	deployment_set(plan, deployment);
	plan->duration_s = phase_s;
	if (strcmp(mix, "swing") == 0) {
		swing_set(plan, quick ? 2 : 3, phase_s);
	} else if (strcmp(mix, "steady") == 0) {
		phase_add(s, 0, plan->prefill, OFFERED_LOAD);
	} else if (strcmp(mix, "flutter") == 0) {
		flutter_set(plan, phase_s);
	} else if (strcmp(mix, "calm") == 0) {
		phase_add(s, 0, plan->prefill, OFFERED_LOAD_FLOOD);
	} else if (strcmp(mix, "flood") == 0) {
		phase_add(s, 0, plan->prefill, OFFERED_LOAD_FLOOD);
		plan->flooder = 0;
		s->organisations[0].arrival_factor = 10;
	} else if (strcmp(mix, "loss") == 0) {
		swing_set(plan, 2, phase_s);
		plan->kill_s = phase_s;
	} else {
		return false;
	}
	return true;
}

static double best_split_goodput(double prompt_tokens, double output_tokens, double span_s,
				 int engines)
{
	double prefill = prompt_tokens / span_s / MIX_PREFILL_TOKENS_PER_S;
	double decode = output_tokens / span_s / decode_tokens_per_s();
	int best = role_best_split(prefill, decode, engines);

	return role_goodput(prefill, decode, best, engines - best);
}

double mix_goodput_bound(const struct mix_plan *plan, const struct load_result *result)
{
	const struct scenario *s = &plan->scenario;
	double good = 0;

	for (int i = 0; i < s->phase_count; i++) {
		double from = s->phases[i].start_s;
		double to = i + 1 < s->phase_count ? s->phases[i + 1].start_s : plan->duration_s;
		int engines = MIX_ENGINES - (plan->kill_s > 0 && from >= plan->kill_s);
		double prompt = 0;
		double output = 0;
		double count = 0;

		for (size_t k = 0; k < result->count; k++) {
			const struct load_record *r = &result->records[k];
			double at = (double)r->start_us / 1e6;

			if (at < from || at >= to)
				continue;
			count++;
			prompt += (double)r->prompt_tokens;
			output += (double)r->tokens;
		}
		good += count * best_split_goodput(prompt, output, to - from, engines);
	}
	return good;
}
